//! The home in the policy of the fleet: passes events to a cell and executes its actions, as
//! `peridotspread::daemon::home` does.

use std::collections::BTreeSet;

use peridotspread::coordination::cell;
use peridotspread::coordination::cost;
use peridotspread::protocol::peer;
use peridotspread::protocol::refusal;
use peridotspread::state::clock;
use peridotspread::state::hash;
use peridotspread::state::ids;

use crate::replay::fleet;
use crate::replay::fleet::{
    CellLocation, ExchangeId, Fleet, Home, Message, Quarantined, Simulation,
};
use crate::replay::sim;
use crate::replay::target;

/// The maximum time between two ticks of a cell.
const MAX_TICK_INTERVAL: clock::Millis = clock::Millis(250);

/// The delay before the first [`Message::Queued`], which shows the entry that the home is alive.
const FIRST_QUEUED: clock::Millis = clock::Millis(20);

/// The interval between two [`Message::Queued`] of an exchange.
const QUEUED_INTERVAL: clock::Millis = clock::Millis(250);

impl Fleet {
    /// Passes one event to a cell, creating the cell if necessary, and executes its actions.
    pub(super) fn handle_event(
        &mut self,
        sim: &mut Simulation,
        location: CellLocation,
        event: cell::Event<'_>,
    ) {
        let now = sim.now();
        if !self.cells.contains_key(&location) {
            self.create_cell(sim, location);
        }
        let Some(home) = self.cells.get_mut(&location) else {
            return;
        };
        let actions = home.cell.handle(now, event);
        let due = home
            .cell
            .wake()
            .max(now + clock::Millis(1))
            .min(now + MAX_TICK_INTERVAL);
        if home.next_tick <= now || due < home.next_tick {
            home.next_tick = due;
            sim.schedule_message(
                due - now,
                location.daemon,
                Message::Tick { location, at: due },
            );
        }
        report_ejections(sim, location, home);
        for action in actions {
            self.execute(sim, location, action);
        }
    }

    fn create_cell(&mut self, sim: &Simulation, location: CellLocation) {
        let mut cell = cell::Cell::new(&self.cell_ids[location.cell]);
        let now = sim.now();
        cell.handle(now, cell::Event::Rules(&sim.scenario().service));
        for quarantined in self.quarantined.get(&location.daemon).into_iter().flatten() {
            let (fingerprint, span) = (quarantined.fingerprint, quarantined.until - now);
            cell.handle(now, cell::Event::Quarantined { fingerprint, span });
        }
        self.cells.insert(
            location,
            Home {
                cell,
                ejected: BTreeSet::new(),
                next_tick: clock::Millis::ZERO,
            },
        );
    }

    fn execute(&mut self, sim: &mut Simulation, location: CellLocation, action: cell::Action) {
        match action {
            cell::Action::Grant { ticket, target } => self.grant(sim, ticket, &target),
            cell::Action::Refuse { ticket, refusal } => {
                self.send_reply(sim, exchange_index(ticket), sim::Answer::Refused(refusal));
            }
            cell::Action::GiveUp { ticket } => self.reply_last_failure(sim, location, ticket),
            cell::Action::Abandon { ticket } => self.cancel_try(sim, exchange_index(ticket)),
            cell::Action::RequestEjection { target } => self.acquire_lease(sim, location, target),
            cell::Action::ReleaseEjection { target } => {
                if sim.scenario().table_up(sim.now()) {
                    self.table.release(&target, location.daemon);
                }
            }
            cell::Action::Record { .. } | cell::Action::EndProbation { .. } => {}
            cell::Action::Quarantine { fingerprint, span } => {
                let until = sim.now() + span;
                for daemon in 0..self.selectors.len() {
                    sim.send(
                        location.daemon,
                        daemon,
                        Message::Quarantine {
                            daemon,
                            fingerprint,
                            until,
                        },
                    );
                }
            }
        }
    }

    pub(super) fn admit(
        &mut self,
        sim: &mut Simulation,
        exchange: ExchangeId,
        peers: &[peer::CellSummary],
    ) {
        let location = self.exchanges[exchange].location;
        let details = *sim.request(self.exchanges[exchange].request);
        self.handle_event(sim, location, cell::Event::OtherCells(peers));
        sim.schedule_message(FIRST_QUEUED, location.daemon, Message::QueuedDue(exchange));
        let left = details.deadline - sim.now();
        sim.schedule_message(left, location.daemon, Message::HomeDeadline(exchange));
        let stream = details.stream.map(|s| &sim.scenario().streams[s]);
        let organisation = stream.map_or(0, |s| hash::hash(&[&s.organisation]));
        let kind = stream.map_or(cost::Kind::default(), |s| {
            cost::Kind::new(hash::hash(&[&s.route]), s.length)
        });
        let arrival = cell::Arrival {
            ticket: ids::Ticket(exchange as u64),
            tier: details.tier,
            deadline: details.deadline,
            objective: details.objective,
            max_tries: u32::MAX,
            prior_tries: 0,
            origin: ids::DomainId::default(),
            body: 0,
            idempotent: details.idempotent,
            replayable: true,
            fingerprint: details.fingerprint,
            organisation,
            kind,
        };
        let known = &[];
        self.handle_event(sim, location, cell::Event::Arrive { arrival, known });
    }

    fn grant(&mut self, sim: &mut Simulation, ticket: ids::Ticket, target: &str) {
        let exchange = exchange_index(ticket);
        self.exchanges[exchange].granted = sim.scenario().target(target);
        if self.exchanges[exchange].allowed {
            self.dispatch(sim, exchange);
        } else {
            self.send_to_entry(sim, exchange, Message::Ready(exchange));
        }
    }

    pub(super) fn dispatch_allowed(&mut self, sim: &mut Simulation, exchange: ExchangeId) {
        if !self.exchanges[exchange].finished {
            self.dispatch(sim, exchange);
        }
    }

    fn dispatch(&mut self, sim: &mut Simulation, exchange: ExchangeId) {
        let location = self.exchanges[exchange].location;
        let state = &mut self.exchanges[exchange];
        let Some(target) = state.granted.take() else {
            return;
        };
        let ticket = ids::Ticket(exchange as u64);
        let trial = self
            .cells
            .get(&location)
            .is_some_and(|h| h.cell.is_trial(ticket));
        let id = sim.dispatch(state.request, location.daemon, target, trial);
        state.running = Some(id);
        self.tries.insert(id, exchange);
        self.handle_event(
            sim,
            location,
            cell::Event::Sent(ids::Ticket(exchange as u64)),
        );
    }

    pub(super) fn handle_outcome(
        &mut self,
        sim: &mut Simulation,
        id: target::TryId,
        outcome: cell::Outcome,
        statement: peer::Statement,
    ) {
        let Some(exchange) = self.tries.remove(&id) else {
            return;
        };
        let location = self.exchanges[exchange].location;
        let ticket = ids::Ticket(exchange as u64);
        self.exchanges[exchange].running = None;
        self.exchanges[exchange].last_outcome = Some(outcome);
        match outcome {
            cell::Outcome::Failed | cell::Outcome::Broken => {
                self.exchanges[exchange].lost_cause = Some(refusal::Cause::TargetBroke);
            }
            cell::Outcome::TimedOut | cell::Outcome::Expired => {
                self.exchanges[exchange].lost_cause = Some(refusal::Cause::TargetTimeout);
            }
            cell::Outcome::Answered
            | cell::Outcome::Shed
            | cell::Outcome::ConnectFailed
            | cell::Outcome::NotRun
            | cell::Outcome::Misplaced
            | cell::Outcome::Unlisted
            | cell::Outcome::Withdrawn
            | cell::Outcome::Unreachable => {}
        }
        self.handle_event(sim, location, cell::Event::Stated { ticket, statement });
        self.handle_event(sim, location, cell::Event::Done { ticket, outcome });
        if outcome == cell::Outcome::Answered {
            self.handle_event(sim, location, cell::Event::Release(ticket));
            self.send_reply(sim, exchange, sim::Answer::Served);
        }
    }

    pub(super) fn handle_home_deadline(&mut self, sim: &mut Simulation, exchange: ExchangeId) {
        if self.exchanges[exchange].finished {
            return;
        }
        if let Some(id) = self.exchanges[exchange].running {
            sim.cancel(id);
            self.handle_outcome(sim, id, cell::Outcome::TimedOut, peer::Statement::default());
        } else {
            self.handle_event(sim, self.exchanges[exchange].location, cell::Event::Tick);
        }
    }

    fn reply_last_failure(
        &mut self,
        sim: &mut Simulation,
        location: CellLocation,
        ticket: ids::Ticket,
    ) {
        let exchange = exchange_index(ticket);
        let answer = final_answer(self.exchanges[exchange].last_outcome);
        self.send_reply(sim, exchange, answer);
        self.handle_event(sim, location, cell::Event::Release(ticket));
    }

    fn cancel_try(&mut self, sim: &mut Simulation, exchange: ExchangeId) {
        if let Some(id) = self.exchanges[exchange].running.take() {
            self.tries.remove(&id);
            sim.cancel(id);
            self.exchanges[exchange].lost_cause = Some(refusal::Cause::TargetTimeout);
        }
    }

    /// Cancels an exchange that the entry no longer waits for.
    pub(super) fn cancel_exchange(&mut self, sim: &mut Simulation, exchange: ExchangeId) {
        if self.exchanges[exchange].finished {
            return;
        }
        self.cancel_try(sim, exchange);
        self.exchanges[exchange].finished = true;
        let ticket = ids::Ticket(exchange as u64);
        self.handle_event(
            sim,
            self.exchanges[exchange].location,
            cell::Event::Cancel(ticket),
        );
    }

    /// Sends the home's final answer on a request to the entry.
    fn send_reply(&mut self, sim: &mut Simulation, exchange: ExchangeId, answer: sim::Answer) {
        if std::mem::replace(&mut self.exchanges[exchange].finished, true) {
            return;
        }
        let location = self.exchanges[exchange].location;
        let Some(home) = self.cells.get(&location) else {
            return;
        };
        let summary = home.cell.summary(sim.now());
        let answer = match answer {
            sim::Answer::Refused(r) => {
                sim::Answer::Refused(r.after_unknown_try(self.exchanges[exchange].lost_cause))
            }
            _ => answer,
        };
        self.send_to_entry(
            sim,
            exchange,
            Message::Reply {
                exchange,
                answer,
                summary,
            },
        );
    }

    pub(super) fn send_queued(&mut self, sim: &mut Simulation, exchange: ExchangeId) {
        if !self.exchanges[exchange].finished {
            self.send_to_entry(sim, exchange, Message::Queued(exchange));
            let home = self.exchanges[exchange].location.daemon;
            sim.schedule_message(QUEUED_INTERVAL, home, Message::QueuedDue(exchange));
        }
    }

    fn send_to_entry(&self, sim: &mut Simulation, exchange: ExchangeId, message: Message) {
        let state = &self.exchanges[exchange];
        let entry = sim.request(state.request).entry;
        sim.send(state.location.daemon, entry, message);
    }

    fn acquire_lease(&mut self, sim: &mut Simulation, location: CellLocation, target: String) {
        let now = sim.now();
        let scenario = sim.scenario();
        let lease = scenario.service.ejection.lease_ms;
        let available = scenario.table_up(now);
        let granted = available
            && self
                .table
                .acquire(now, &scenario.service, &target, location.daemon);
        let until = granted.then(|| now + lease);
        let span = if available {
            fleet::TABLE_LATENCY
        } else {
            fleet::TABLE_TIMEOUT
        };
        sim.schedule_message(
            span,
            location.daemon,
            Message::Ejection {
                location,
                target,
                until,
            },
        );
    }

    pub(super) fn apply_quarantine(
        &mut self,
        sim: &mut Simulation,
        daemon: usize,
        fingerprint: ids::Fingerprint,
        until: clock::Millis,
    ) {
        let quarantined = self.quarantined.entry(daemon).or_default();
        quarantined.push(Quarantined { fingerprint, until });
        let span = until - sim.now();
        let locations: Vec<_> = self
            .cells
            .keys()
            .copied()
            .filter(|p| p.daemon == daemon)
            .collect();
        for location in locations {
            self.handle_event(
                sim,
                location,
                cell::Event::Quarantined { fingerprint, span },
            );
        }
    }
}

/// Reports changes of a cell's ejections to the simulation.
fn report_ejections(sim: &mut Simulation, location: CellLocation, home: &mut Home) {
    let now: BTreeSet<_> = home.cell.ejected_targets().map(str::to_owned).collect();
    if now == home.ejected {
        return;
    }
    let before = std::mem::replace(&mut home.ejected, now);
    for name in before.union(&home.ejected) {
        if let Some(target) = sim.scenario().target(name) {
            sim.set_ejected(location.daemon, target, home.ejected.contains(name));
        }
    }
}

fn exchange_index(ticket: ids::Ticket) -> ExchangeId {
    usize::try_from(ticket.0).unwrap_or(usize::MAX)
}

/// Returns the answer to the caller after the last try.
fn final_answer(last: Option<cell::Outcome>) -> sim::Answer {
    let refusal = match last {
        Some(cell::Outcome::Answered) => return sim::Answer::Served,
        Some(cell::Outcome::Failed | cell::Outcome::Shed) => return sim::Answer::Failed,
        Some(
            cell::Outcome::ConnectFailed
            | cell::Outcome::NotRun
            | cell::Outcome::Misplaced
            | cell::Outcome::Unlisted
            | cell::Outcome::Withdrawn
            | cell::Outcome::Unreachable,
        ) => refusal::Refusal::not_run(refusal::Cause::ConnectFailed, Some(fleet::RETRY_AFTER)),
        Some(cell::Outcome::TimedOut | cell::Outcome::Expired) => {
            refusal::Refusal::unknown(refusal::Cause::TargetTimeout)
        }
        Some(cell::Outcome::Broken) | None => {
            refusal::Refusal::unknown(refusal::Cause::TargetBroke)
        }
    };
    sim::Answer::Refused(refusal)
}
