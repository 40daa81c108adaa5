//! Random events, faults and delays, with the invariants checked after every step.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner;

use super::*;

const CASES: u32 = 200;
const STEPS: usize = 300;
const SEED: [u8; 32] = [7; 32];

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        tier: u8,
        span: u64,
        idempotent: bool,
        replayable: bool,
        fingerprint: u64,
    },
    Advance(u64),
    Dispatch(usize),
    Done(usize, Outcome),
    Release(usize),
    Cancel(usize),
    Peers(f32),
    Grant(usize, u64),
    Deny(usize),
    Rules {
        leaving: usize,
        floor: usize,
        queue: usize,
    },
    Quarantined(u64),
    Drain,
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        8 => Just(Outcome::Answered),
        2 => Just(Outcome::Failed),
        1 => Just(Outcome::Shed),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Broken),
        1 => Just(Outcome::TimedOut),
    ];
    let arrive = (0..3u8, 1..5_000u64, any::<bool>(), any::<bool>(), 0..40u64);
    prop_oneof![
        200 => arrive.prop_map(|(tier, span, idempotent, replayable, fingerprint)| Step::Arrive {
            tier, span, idempotent, replayable, fingerprint,
        }),
        60 => (0..30u64).prop_map(Step::Advance),
        5 => (0..3_000u64).prop_map(Step::Advance),
        160 => any::<usize>().prop_map(Step::Dispatch),
        130 => (any::<usize>(), outcome).prop_map(|(i, o)| Step::Done(i, o)),
        100 => any::<usize>().prop_map(Step::Release),
        10 => any::<usize>().prop_map(Step::Cancel),
        5 => (0.0..1.0f32).prop_map(Step::Peers),
        30 => (any::<usize>(), 0..4_000u64).prop_map(|(i, s)| Step::Grant(i, s)),
        10 => any::<usize>().prop_map(Step::Deny),
        4 => (0..8usize, 0..6usize, 0..12usize).prop_map(|(leaving, floor, queue)| Step::Rules {
            leaving, floor, queue,
        }),
        1 => (0..40u64).prop_map(Step::Quarantined),
        1 => Just(Step::Drain),
    ]
}

/// The progress of a request, as its caller and its target see it.
#[derive(Clone, Debug, PartialEq)]
enum State {
    Queued,
    Held(String),
    Sent(String),
    Answering(String),
    Over,
}

#[derive(Clone, Debug)]
struct Tracked {
    arrival: cell::Arrival,
    state: State,
    tries: u32,
    /// Whether a target may have run it in any try so far.
    may_have_run: bool,
    /// Whether the last try shows that it did not run.
    did_not_run: bool,
    /// Whether all tries so far failed to connect.
    unsent: bool,
    /// Whether the outcome was reported to the caller.
    reported: bool,
}

struct Model {
    cell: cell::Cell,
    now: Millis,
    rules: bundle::Service,
    requests: BTreeMap<u64, Tracked>,
    ejected: BTreeMap<String, Millis>,
    ejection_requests: BTreeSet<String>,
    draining: bool,
}

impl Model {
    fn new() -> Model {
        let mut rules = service(5, 2, 3);
        rules.ejection.lease_ms = Millis(2_000);
        let mut cell = cell::Cell::new(&ids::CellId::new("s", "d"));
        cell.handle(Millis::ZERO, Event::Rules(&rules));
        Model {
            cell,
            now: Millis(5_000),
            rules,
            requests: BTreeMap::new(),
            ejected: BTreeMap::new(),
            ejection_requests: BTreeSet::new(),
            draining: false,
        }
    }

    fn choose(&self, i: usize, wanted: impl Fn(&State) -> bool) -> Option<u64> {
        let matching = self.requests.iter().filter(|(_, s)| wanted(&s.state));
        let matching: Vec<_> = matching.map(|(t, _)| *t).collect();
        (!matching.is_empty()).then(|| matching[i % matching.len()])
    }

    fn count(&self, wanted: impl Fn(&State) -> bool) -> usize {
        self.requests.values().filter(|s| wanted(&s.state)).count()
    }

    fn apply(&mut self, step: &Step) {
        let held = |s: &State| matches!(s, State::Held(_));
        let sent = |s: &State| matches!(s, State::Sent(_));
        let open = |s: &State| *s != State::Over;
        match *step {
            Step::Arrive {
                tier,
                span,
                idempotent,
                replayable,
                fingerprint,
            } => {
                let ticket = self.requests.len() as u64;
                let arrival = cell::Arrival {
                    ticket: ids::Ticket(ticket),
                    tier,
                    deadline: self.now + Millis(span),
                    objective: self.now + Millis(span),
                    max_tries: u32::MAX,
                    prior_tries: 0,
                    origin: ids::DomainId::default(),
                    body: 0,
                    idempotent,
                    replayable,
                    fingerprint: ids::Fingerprint(fingerprint),
                    organisation: 0,
                    kind: cost::Kind::default(),
                };
                let tracked = Tracked {
                    arrival,
                    state: State::Queued,
                    tries: 0,
                    may_have_run: false,
                    did_not_run: false,
                    unsent: true,
                    reported: false,
                };
                self.requests.insert(ticket, tracked);
                self.handle(Event::Arrive {
                    arrival,
                    known: &[],
                });
            }
            Step::Advance(span) => self.advance(span),
            Step::Dispatch(i) => {
                let Some(ticket) = self.choose(i, held) else {
                    return;
                };
                let tracked = self.requests.get_mut(&ticket).unwrap();
                tracked.state = match &tracked.state {
                    State::Held(target) => State::Sent(target.clone()),
                    _ => unreachable!(),
                };
                self.handle(Event::Sent(ids::Ticket(ticket)));
            }
            Step::Done(i, outcome) => {
                let Some(ticket) = self.choose(i, sent) else {
                    return;
                };
                self.end_try(ticket, outcome);
            }
            Step::Release(i) => {
                let answering = |s: &State| matches!(s, State::Answering(_));
                let Some(ticket) = self.choose(i, answering) else {
                    return;
                };
                self.requests.get_mut(&ticket).unwrap().state = State::Over;
                self.handle(Event::Release(ids::Ticket(ticket)));
            }
            Step::Cancel(i) => {
                let Some(ticket) = self.choose(i, open) else {
                    return;
                };
                let tracked = self.requests.get_mut(&ticket).unwrap();
                tracked.state = State::Over;
                tracked.reported = true;
                self.handle(Event::Cancel(ids::Ticket(ticket)));
            }
            Step::Peers(bad) => self.handle(Event::OtherCells(&[summary("e", bad)])),
            Step::Grant(i, span) => {
                let Some(target) = self.remove_ejection_request(i) else {
                    return;
                };
                let until = self.now + Millis(span);
                if let Some(held) = self.ejected.get_mut(&target) {
                    *held = until.max(*held);
                }
                self.handle_grant(&target, until);
            }
            Step::Deny(i) => {
                let Some(target) = self.remove_ejection_request(i) else {
                    return;
                };
                self.handle(Event::EjectionDenied { target: &target });
            }
            Step::Rules {
                leaving,
                floor,
                queue,
            } => {
                self.rules.floor = floor;
                self.rules.queue = queue;
                for (i, target) in self.rules.targets.iter_mut().enumerate() {
                    target.leaving = i == leaving;
                }
                let rules = self.rules.clone();
                self.handle(Event::Rules(&rules));
            }
            Step::Quarantined(fingerprint) => self.handle(Event::Quarantined {
                fingerprint: ids::Fingerprint(fingerprint),
                span: Millis(400),
            }),
            Step::Drain => {
                self.draining = true;
                self.handle(Event::Drain);
                assert_eq!(
                    self.count(|s| matches!(s, State::Queued | State::Held(_))),
                    0
                );
                // Later steps use a new cell, as a new home would.
                let open_tickets: Vec<_> = self
                    .requests
                    .iter()
                    .filter(|(_, s)| s.state != State::Over)
                    .collect();
                let open_tickets: Vec<_> = open_tickets.iter().map(|(t, _)| **t).collect();
                for ticket in open_tickets {
                    self.requests.get_mut(&ticket).unwrap().state = State::Over;
                    self.requests.get_mut(&ticket).unwrap().reported = true;
                }
                assert!(self.ejected.is_empty());
                self.cell = cell::Cell::new(&ids::CellId::new("s", "d"));
                self.ejection_requests.clear();
                let rules = self.rules.clone();
                self.handle(Event::Rules(&rules));
                self.draining = false;
            }
        }
    }

    fn remove_ejection_request(&mut self, i: usize) -> Option<String> {
        let all: Vec<_> = self.ejection_requests.iter().cloned().collect();
        let target = all.get(i.checked_rem(all.len())?)?.clone();
        self.ejection_requests.remove(&target);
        Some(target)
    }

    fn end_try(&mut self, ticket: u64, outcome: Outcome) {
        let tracked = self.requests.get_mut(&ticket).unwrap();
        let State::Sent(target) = tracked.state.clone() else {
            unreachable!()
        };
        let did_not_run = matches!(outcome, Outcome::ConnectFailed | Outcome::Shed);
        tracked.may_have_run |= !did_not_run;
        tracked.did_not_run = did_not_run;
        tracked.unsent = outcome == Outcome::ConnectFailed;
        tracked.state = match outcome {
            Outcome::Answered | Outcome::Failed => State::Answering(target),
            _ => State::Queued,
        };
        tracked.reported = outcome == Outcome::Answered;
        self.handle(Event::Done {
            ticket: ids::Ticket(ticket),
            outcome,
        });
        if outcome == Outcome::Failed {
            let tracked = &self.requests[&ticket];
            let answered = tracked.reported || matches!(tracked.state, State::Held(_));
            assert!(answered, "a failed response does not wait for a slot");
        }
    }

    fn handle_grant(&mut self, target: &str, until: Millis) {
        let before = self.ejected.len();
        let actions = self
            .cell
            .handle(self.now, Event::EjectionGranted { target, until });
        let ejects = |a: &Action| matches!(a, Action::Record { kind, target: t, .. } if *kind == peridotspread::state::timeline::Kind::Ejected && t == target);
        if actions.iter().any(ejects) {
            self.ejected.insert(target.to_owned(), until);
            assert_eq!(self.ejected.len(), before + 1);
        }
        self.check(actions);
    }

    fn advance(&mut self, span: u64) {
        let end = self.now + Millis(span);
        while self.cell.wake() <= end {
            self.now = self.cell.wake();
            self.handle(Event::Tick);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event<'_>) {
        let actions = self.cell.handle(self.now, event);
        self.check(actions);
    }

    fn check(&mut self, actions: Vec<Action>) {
        let now = self.now;
        self.ejected.retain(|_, until| *until > now);
        for action in actions {
            self.check_action(action);
        }
        assert!(self.cell.wake() > self.now, "{:?}", self.cell);
        let remaining = self.rules.targets.iter().filter(|t| !t.leaving).count();
        let spare = remaining.saturating_sub(self.rules.floor);
        assert!(self.ejected.len() <= spare, "{:?} of {spare}", self.ejected);
        assert!(self.count(|s| *s == State::Queued) <= self.rules.queue);
        let summary = self.cell.summary(self.now);
        assert!(summary.bad.is_finite() && summary.queued as usize <= self.rules.queue);
    }

    fn check_action(&mut self, action: Action) {
        match action {
            Action::Grant { ticket, target } => self.check_grant(ticket.0, target),
            Action::Refuse { ticket, refusal } => {
                let tracked = self.requests.get_mut(&ticket.0).unwrap();
                assert!(
                    !std::mem::replace(&mut tracked.reported, true),
                    "reported twice"
                );
                assert!(matches!(tracked.state, State::Queued | State::Held(_)));
                let not_run = refusal.outcome == refusal::Outcome::NotRun;
                assert!(
                    !(not_run && tracked.may_have_run),
                    "{tracked:?} {refusal:?}"
                );
                tracked.state = State::Over;
            }
            Action::GiveUp { ticket } => {
                let tracked = self.requests.get_mut(&ticket.0).unwrap();
                assert!(
                    !std::mem::replace(&mut tracked.reported, true),
                    "reported twice"
                );
                assert!(matches!(tracked.state, State::Queued | State::Answering(_)));
                assert!(
                    !(tracked.did_not_run && tracked.may_have_run),
                    "{tracked:?} is reported as not run"
                );
                if tracked.state == State::Queued {
                    tracked.state = State::Over;
                }
            }
            Action::Abandon { ticket } => {
                let tracked = self.requests.get_mut(&ticket.0).unwrap();
                assert!(tracked.arrival.idempotent && tracked.arrival.replayable);
                assert!(matches!(tracked.state, State::Sent(_)));
                tracked.state = State::Queued;
                tracked.unsent = false;
                tracked.may_have_run = true;
            }
            Action::RequestEjection { target } => {
                assert!(!self.draining);
                self.ejection_requests.insert(target);
            }
            Action::ReleaseEjection { target } => {
                self.ejected.remove(&target);
            }
            Action::Record { .. } | Action::Quarantine { .. } | Action::EndProbation { .. } => {}
        }
    }

    fn check_grant(&mut self, ticket: u64, target: String) {
        let rule = self
            .rules
            .targets
            .iter()
            .find(|t| t.name == target)
            .unwrap();
        assert!(!rule.leaving);
        let at_target = |s: &State| matches!(s, State::Held(t) | State::Sent(t) | State::Answering(t) if *t == target);
        let retried = matches!(self.requests[&ticket].state, State::Answering(_));
        let busy = self.count(at_target);
        assert!(busy < rule.slots, "{busy} at {target}");
        let tracked = &self.requests[&ticket];
        assert!(retried || tracked.state == State::Queued, "{tracked:?}");
        assert!(!tracked.reported && tracked.arrival.deadline > self.now);
        let trial = self.cell.is_trial(ids::Ticket(ticket));
        let fits = tracked.arrival.idempotent && tracked.arrival.replayable;
        assert!(!trial || (fits && tracked.tries == 0));
        if self.ejected.contains_key(&target) {
            assert!(trial, "{target} is ejected");
        }
        if tracked.tries > 0 {
            assert!(tracked.tries < self.rules.retry.tries);
            assert!(tracked.unsent || tracked.arrival.idempotent, "{tracked:?}");
        }
        if tracked.tries == 0 && !trial {
            let (tier, order) = (tracked.arrival.tier, ticket);
            let earlier = self
                .requests
                .iter()
                .filter(|(_, s)| s.state == State::Queued && s.tries == 0);
            let mut earlier = earlier.map(|(t, s)| (s.arrival.tier, *t));
            assert!(
                earlier.all(|e| e >= (tier, order)),
                "a request with higher priority waits"
            );
        }
        let tracked = self.requests.get_mut(&ticket).unwrap();
        tracked.tries += 1;
        tracked.state = State::Held(target);
    }

    /// Ends all open requests, and checks that each outcome was reported once.
    fn finish(mut self) {
        self.advance(20_000);
        while let Some(ticket) = self.choose(0, |s| matches!(s, State::Sent(_))) {
            self.end_try(ticket, Outcome::Answered);
        }
        for tracked in self.requests.values() {
            assert!(tracked.reported, "{tracked:?}");
        }
    }
}

#[test]
fn invariants_hold_under_random_events() {
    let config = test_runner::Config {
        cases: CASES,
        failure_persistence: None,
        max_shrink_iters: 200,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &SEED);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), STEPS);
    let result = runner.run(&steps, |steps| {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
        }
        model.finish();
        Ok(())
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}
