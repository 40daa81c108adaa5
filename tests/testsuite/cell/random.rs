//! Random events, faults and times, with the invariants checked after every step.

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
        print: u64,
    },
    Pass(u64),
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
        200 => arrive.prop_map(|(tier, span, idempotent, replayable, print)| Step::Arrive {
            tier, span, idempotent, replayable, print,
        }),
        60 => (0..30u64).prop_map(Step::Pass),
        5 => (0..3_000u64).prop_map(Step::Pass),
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

/// How far a request has come, as a caller and a target see it.
#[derive(Clone, Debug, PartialEq)]
enum State {
    Queued,
    Held(String),
    Sent(String),
    Answering(String),
    Over,
}

#[derive(Clone, Debug)]
struct Seen {
    arrival: cell::Arrival,
    state: State,
    tries: u32,
    /// Whether a target may have run it in any try so far.
    ran: bool,
    /// Whether the last try shows that nothing ran.
    undone: bool,
    /// Whether all tries so far failed to connect.
    unsent: bool,
    /// Whether the outcome is known to the caller.
    told: bool,
}

struct Model {
    cell: cell::Cell,
    now: Millis,
    rules: bundle::Service,
    seen: BTreeMap<u64, Seen>,
    ejected: BTreeMap<String, Millis>,
    asked: BTreeSet<String>,
    drained: bool,
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
            seen: BTreeMap::new(),
            ejected: BTreeMap::new(),
            asked: BTreeSet::new(),
            drained: false,
        }
    }

    fn pick(&self, i: usize, wanted: impl Fn(&State) -> bool) -> Option<u64> {
        let fit = self.seen.iter().filter(|(_, s)| wanted(&s.state));
        let fit: Vec<_> = fit.map(|(t, _)| *t).collect();
        (!fit.is_empty()).then(|| fit[i % fit.len()])
    }

    fn count(&self, wanted: impl Fn(&State) -> bool) -> usize {
        self.seen.values().filter(|s| wanted(&s.state)).count()
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
                print,
            } => {
                let ticket = self.seen.len() as u64;
                let arrival = cell::Arrival {
                    ticket: ids::Ticket(ticket),
                    tier,
                    deadline: self.now + Millis(span),
                    objective: self.now + Millis(span),
                    max_tries: u32::MAX,
                    prior_tries: 0,
                    origin: ids::DomainId::default(),
                    idempotent,
                    replayable,
                    fingerprint: ids::Fingerprint(print),
                };
                let seen = Seen {
                    arrival,
                    state: State::Queued,
                    tries: 0,
                    ran: false,
                    undone: false,
                    unsent: true,
                    told: false,
                };
                self.seen.insert(ticket, seen);
                self.handle(Event::Arrive(arrival));
            }
            Step::Pass(span) => self.pass(span),
            Step::Dispatch(i) => {
                let Some(ticket) = self.pick(i, held) else {
                    return;
                };
                let seen = self.seen.get_mut(&ticket).unwrap();
                seen.state = match &seen.state {
                    State::Held(target) => State::Sent(target.clone()),
                    _ => unreachable!(),
                };
                self.handle(Event::Dispatch(ids::Ticket(ticket)));
            }
            Step::Done(i, outcome) => {
                let Some(ticket) = self.pick(i, sent) else {
                    return;
                };
                self.done(ticket, outcome);
            }
            Step::Release(i) => {
                let answering = |s: &State| matches!(s, State::Answering(_));
                let Some(ticket) = self.pick(i, answering) else {
                    return;
                };
                self.seen.get_mut(&ticket).unwrap().state = State::Over;
                self.handle(Event::Release(ids::Ticket(ticket)));
            }
            Step::Cancel(i) => {
                let Some(ticket) = self.pick(i, open) else {
                    return;
                };
                let seen = self.seen.get_mut(&ticket).unwrap();
                seen.state = State::Over;
                seen.told = true;
                self.handle(Event::Cancel(ids::Ticket(ticket)));
            }
            Step::Peers(bad) => self.handle(Event::Peers(&[summary("e", bad)])),
            Step::Grant(i, span) => {
                let Some(target) = self.take_asked(i) else {
                    return;
                };
                let until = self.now + Millis(span);
                if let Some(held) = self.ejected.get_mut(&target) {
                    *held = until.max(*held);
                }
                self.handle_grant(&target, until);
            }
            Step::Deny(i) => {
                let Some(target) = self.take_asked(i) else {
                    return;
                };
                self.handle(Event::Denied { target: &target });
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
            Step::Quarantined(print) => self.handle(Event::Quarantined {
                fingerprint: ids::Fingerprint(print),
                span: Millis(400),
            }),
            Step::Drain => {
                self.drained = true;
                self.handle(Event::Drain);
                assert_eq!(
                    self.count(|s| matches!(s, State::Queued | State::Held(_))),
                    0
                );
                // A later step finds the cell as a new home would.
                let rest: Vec<_> = self
                    .seen
                    .iter()
                    .filter(|(_, s)| s.state != State::Over)
                    .collect();
                let rest: Vec<_> = rest.iter().map(|(t, _)| **t).collect();
                for ticket in rest {
                    self.seen.get_mut(&ticket).unwrap().state = State::Over;
                    self.seen.get_mut(&ticket).unwrap().told = true;
                }
                assert!(self.ejected.is_empty());
                self.cell = cell::Cell::new(&ids::CellId::new("s", "d"));
                self.asked.clear();
                let rules = self.rules.clone();
                self.handle(Event::Rules(&rules));
                self.drained = false;
            }
        }
    }

    fn take_asked(&mut self, i: usize) -> Option<String> {
        let all: Vec<_> = self.asked.iter().cloned().collect();
        let target = all.get(i.checked_rem(all.len())?)?.clone();
        self.asked.remove(&target);
        Some(target)
    }

    fn done(&mut self, ticket: u64, outcome: Outcome) {
        let seen = self.seen.get_mut(&ticket).unwrap();
        let State::Sent(target) = seen.state.clone() else {
            unreachable!()
        };
        let undone = matches!(outcome, Outcome::ConnectFailed | Outcome::Shed);
        seen.ran |= !undone;
        seen.undone = undone;
        seen.unsent = outcome == Outcome::ConnectFailed;
        seen.state = match outcome {
            Outcome::Answered | Outcome::Failed => State::Answering(target),
            _ => State::Queued,
        };
        seen.told = outcome == Outcome::Answered;
        self.handle(Event::Done {
            ticket: ids::Ticket(ticket),
            outcome,
        });
        if outcome == Outcome::Failed {
            let seen = &self.seen[&ticket];
            let answered = seen.told || matches!(seen.state, State::Held(_));
            assert!(answered, "a failed answer waits for no slot");
        }
    }

    fn handle_grant(&mut self, target: &str, until: Millis) {
        let before = self.ejected.len();
        let actions = self.cell.handle(self.now, Event::Granted { target, until });
        let ejects = |a: &Action| matches!(a, Action::Record { kind, target: t, .. } if *kind == peridotspread::state::timeline::Kind::Ejected && t == target);
        if actions.iter().any(ejects) {
            self.ejected.insert(target.to_owned(), until);
            assert_eq!(self.ejected.len(), before + 1);
        }
        self.check(actions);
    }

    fn pass(&mut self, span: u64) {
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
        let healthy = self.rules.targets.iter().filter(|t| !t.leaving).count();
        let spare = healthy.saturating_sub(self.rules.floor);
        assert!(self.ejected.len() <= spare, "{:?} of {spare}", self.ejected);
        assert!(self.count(|s| *s == State::Queued) <= self.rules.queue);
        let told = self.cell.summary(self.now);
        assert!(told.bad.is_finite() && told.queued as usize <= self.rules.queue);
    }

    fn check_action(&mut self, action: Action) {
        match action {
            Action::Grant { ticket, target } => self.check_grant(ticket.0, target),
            Action::Refuse { ticket, refusal } => {
                let seen = self.seen.get_mut(&ticket.0).unwrap();
                assert!(!std::mem::replace(&mut seen.told, true), "told twice");
                assert!(matches!(seen.state, State::Queued | State::Held(_)));
                let not_run = refusal.outcome == refusal::Outcome::NotRun;
                assert!(!(not_run && seen.ran), "{seen:?} {refusal:?}");
                seen.state = State::Over;
            }
            Action::GiveUp { ticket } => {
                let seen = self.seen.get_mut(&ticket.0).unwrap();
                assert!(!std::mem::replace(&mut seen.told, true), "told twice");
                assert!(matches!(seen.state, State::Queued | State::Answering(_)));
                assert!(!(seen.undone && seen.ran), "{seen:?} is told as not run");
                if seen.state == State::Queued {
                    seen.state = State::Over;
                }
            }
            Action::Abandon { ticket } => {
                let seen = self.seen.get_mut(&ticket.0).unwrap();
                assert!(seen.arrival.idempotent && seen.arrival.replayable);
                assert!(matches!(seen.state, State::Sent(_)));
                seen.state = State::Queued;
                seen.unsent = false;
                seen.ran = true;
            }
            Action::RequestEjection { target } => {
                assert!(!self.drained);
                self.asked.insert(target);
            }
            Action::ReleaseEjection { target } => {
                self.ejected.remove(&target);
            }
            Action::Record { .. } | Action::Quarantine { .. } => {}
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
        let retried = matches!(self.seen[&ticket].state, State::Answering(_));
        let busy = self.count(at_target);
        assert!(busy < rule.slots, "{busy} at {target}");
        let seen = &self.seen[&ticket];
        assert!(retried || seen.state == State::Queued, "{seen:?}");
        assert!(!seen.told && seen.arrival.deadline > self.now);
        let trial = self.cell.is_trial(ids::Ticket(ticket));
        let fits = seen.arrival.idempotent && seen.arrival.replayable;
        assert!(!trial || (fits && seen.tries == 0));
        if self.ejected.contains_key(&target) {
            assert!(trial, "{target} is ejected");
        }
        if seen.tries > 0 {
            assert!(seen.tries < self.rules.retry.tries);
            assert!(seen.unsent || seen.arrival.idempotent, "{seen:?}");
        }
        if seen.tries == 0 && !trial {
            let (tier, place) = (seen.arrival.tier, ticket);
            let earlier = self
                .seen
                .iter()
                .filter(|(_, s)| s.state == State::Queued && s.tries == 0);
            let mut earlier = earlier.map(|(t, s)| (s.arrival.tier, *t));
            assert!(earlier.all(|e| e >= (tier, place)), "a better one waits");
        }
        let seen = self.seen.get_mut(&ticket).unwrap();
        seen.tries += 1;
        seen.state = State::Held(target);
    }

    /// Ends all that is open, and checks that every request was told its outcome once.
    fn finish(mut self) {
        self.pass(20_000);
        while let Some(ticket) = self.pick(0, |s| matches!(s, State::Sent(_))) {
            self.done(ticket, Outcome::Answered);
        }
        for seen in self.seen.values() {
            assert!(seen.told, "{seen:?}");
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
