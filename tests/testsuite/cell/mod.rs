//! The cell: each rule by itself, simulations of whole services, and random events checked against the invariants.

use peridotspread::coordination::cell;
use peridotspread::coordination::cell::{Action, Event, Outcome};
use peridotspread::coordination::cost;
use peridotspread::protocol::peer;
use peridotspread::protocol::refusal;
use peridotspread::state::bundle;
use peridotspread::state::clock::Millis;
use peridotspread::state::ids;

mod body_bytes;
mod breadth;
mod dispatch;
mod ejection;
mod overload;
mod quarantine;
mod random;
mod retry;
mod scarcity;
pub(crate) mod scene;
mod scenes;
mod soundness;

/// Returns a service whose targets are all in one failure domain.
fn service(targets: usize, slots: usize, floor: usize) -> bundle::Service {
    let targets = (0..targets).map(|i| bundle::Target {
        name: format!("t{i}"),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d".to_owned(),
        slots,
        connections: 400,
        leaving: false,
    });
    bundle::Service {
        order: bundle::Order::default(),
        name: "s".to_owned(),
        floor,
        deadline_ms: Millis(10_000),
        queue: 4,
        cells: None,
        parts: 1,
        soundness: false,
        breadth_pct: 0.0,
        ejection: bundle::Ejection::default(),
        retry: bundle::Retry {
            budget_pct: 100.0,
            tries: 3,
            ..bundle::Retry::default()
        },
        targets: targets.collect(),
    }
}

fn arrival(ticket: u64) -> cell::Arrival {
    cell::Arrival {
        ticket: ids::Ticket(ticket),
        tier: 0,
        deadline: Millis(1_000_000),
        objective: Millis(1_000_000),
        max_tries: u32::MAX,
        prior_tries: 0,
        origin: ids::DomainId::default(),
        body: 0,
        idempotent: true,
        replayable: true,
        fingerprint: ids::Fingerprint(ticket),
        organisation: 0,
        kind: cost::Kind::default(),
    }
}

fn non_idempotent(ticket: u64) -> cell::Arrival {
    cell::Arrival {
        idempotent: false,
        ..arrival(ticket)
    }
}

/// A cell whose slow starts are over, with the current time.
struct Harness {
    cell: cell::Cell,
    now: Millis,
}

impl Harness {
    fn new(service: &bundle::Service) -> Harness {
        let mut cell = cell::Cell::new(&ids::CellId::new("s", "d"));
        cell.handle(Millis::ZERO, Event::Rules(service));
        let now = Millis(100_000);
        Harness { cell, now }
    }

    fn handle(&mut self, event: Event<'_>) -> Vec<Action> {
        let actions = self.cell.handle(self.now, event);
        assert!(self.cell.wake() > self.now, "{:?}", self.cell);
        actions
    }

    fn arrive(&mut self, arrival: cell::Arrival) -> Vec<Action> {
        self.handle(Event::Arrive {
            arrival,
            known: &[],
        })
    }

    /// Advances the time, with a tick whenever one is due.
    fn advance(&mut self, span: u64) -> Vec<Action> {
        let end = self.now + Millis(span);
        let mut actions = Vec::new();
        while self.cell.wake() <= end {
            self.now = self.cell.wake();
            actions.extend(self.handle(Event::Tick));
        }
        self.now = end;
        actions
    }

    fn end_try(&mut self, ticket: u64, outcome: Outcome) -> Vec<Action> {
        let ticket = ids::Ticket(ticket);
        self.handle(Event::Done { ticket, outcome })
    }

    /// Runs one request that ends after `span` ms; returns its target and the actions of its end.
    fn run(
        &mut self,
        arrival: cell::Arrival,
        span: u64,
        outcome: Outcome,
    ) -> (String, Vec<Action>) {
        let target = granted(&self.arrive(arrival)).expect("a slot is free");
        self.handle(Event::Sent(arrival.ticket));
        let mut actions = self.advance(span);
        actions.extend(self.end_try(arrival.ticket.0, outcome));
        if matches!(outcome, Outcome::Answered) {
            actions.extend(self.handle(Event::Release(arrival.ticket)));
        }
        (target, actions)
    }

    /// Runs one request that takes `span` ms at any target, restarting it wherever the cell moves it.
    fn run_anywhere(&mut self, arrival: cell::Arrival, span: u64) {
        let mut actions = self.arrive(arrival);
        let mut ends_at = self.now;
        loop {
            if granted(&actions).is_some() {
                self.handle(Event::Sent(arrival.ticket));
                ends_at = self.now + Millis(span);
            }
            let next = self.cell.wake().min(ends_at);
            if next >= ends_at {
                break;
            }
            self.now = next;
            actions = self.handle(Event::Tick);
        }
        self.now = ends_at;
        self.end_try(arrival.ticket.0, Outcome::Answered);
        self.handle(Event::Release(arrival.ticket));
    }

    /// Runs `count` requests that are answered after 20 ms, so that the cell has ordinary statistics.
    fn warm_up(&mut self, count: u64) {
        for i in 0..count {
            self.run(arrival(1_000_000 + i), 20, Outcome::Answered);
        }
    }
}

fn granted(actions: &[Action]) -> Option<String> {
    actions.iter().find_map(|a| match a {
        Action::Grant { target, .. } => Some(target.clone()),
        _ => None,
    })
}

fn refused(actions: &[Action]) -> Option<(u64, refusal::Refusal)> {
    actions.iter().find_map(|a| match a {
        Action::Refuse { ticket, refusal } => Some((ticket.0, *refusal)),
        _ => None,
    })
}

fn ejection_request(actions: &[Action]) -> Option<String> {
    actions.iter().find_map(|a| match a {
        Action::RequestEjection { target } => Some(target.clone()),
        _ => None,
    })
}

fn gave_up(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::GiveUp { .. }))
}

fn summary(domain: &str, bad: f32) -> peer::CellSummary {
    peer::CellSummary {
        cell: ids::CellId::new("s", domain),
        slots: 9,
        busy: 3,
        queued: 0,
        wait: Millis::ZERO,
        median: Millis(20),
        bad,
        seen: 48,
        idle: 0,
        age: Millis::ZERO,
    }
}
