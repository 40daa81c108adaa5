//! The baseline policy, in which each daemon decides on its own.
//!
//! Each daemon balances requests over the targets in round-robin order and ejects a target for a fixed time after a
//! number of consecutive failures. It limits the share of ejected targets, but keeps no floor. Daemons share neither
//! slots, queues nor observations of targets.

use std::collections::BTreeMap;

use peridotspread::coordination::cell;
use peridotspread::protocol::refusal;
use peridotspread::state::clock;

use crate::replay::sim;
use crate::replay::target;

const FAILURES_IN_ROW: u32 = 5;
const EJECTION_TIME: clock::Millis = clock::Millis(30_000);
const MAX_EJECTED_SHARE: f64 = 0.5;
const TRY_TIMEOUT: clock::Millis = clock::Millis(1_000);
const MAX_TRIES: u32 = 2;

/// A timer of the baseline policy.
#[derive(Debug)]
pub(crate) enum Message {
    /// The timeout of a try.
    TimedOut(target::TryId),
    /// The end of an ejection.
    Reinstate {
        /// The daemon that ejected the target.
        daemon: usize,
        /// The ejected target.
        target: usize,
    },
}

/// The state of the baseline policy for all daemons.
#[derive(Debug, Default)]
pub(crate) struct Baseline {
    daemons: BTreeMap<usize, Daemon>,
    tries_in_flight: BTreeMap<target::TryId, Try>,
}

#[derive(Debug, Default)]
struct Daemon {
    next_index: usize,
    health: BTreeMap<usize, TargetHealth>,
}

#[derive(Clone, Copy, Debug, Default)]
struct TargetHealth {
    failures: u32,
    ejected: bool,
}

#[derive(Clone, Copy, Debug)]
struct Try {
    request: usize,
    target: usize,
    tries: u32,
}

type Simulation = sim::Simulation<Message>;

impl sim::Policy for Baseline {
    type Message = Message;

    fn handle(&mut self, sim: &mut Simulation, input: sim::Input<Message>) {
        match input {
            sim::Input::Request(request) => self.start_try(sim, request, 1),
            sim::Input::TryEnded { id, outcome, .. } => self.handle_outcome(sim, id, outcome),
            sim::Input::Message(Message::TimedOut(id)) => {
                if self.tries_in_flight.contains_key(&id) {
                    sim.cancel(id);
                    self.handle_outcome(sim, id, cell::Outcome::TimedOut);
                }
            }
            sim::Input::Message(Message::Reinstate { daemon, target }) => {
                let health = &mut self.daemons.entry(daemon).or_default().health;
                health.insert(target, TargetHealth::default());
                sim.set_ejected(daemon, target, false);
            }
            sim::Input::Rules => {}
        }
    }
}

impl Baseline {
    fn start_try(&mut self, sim: &mut Simulation, request: usize, tries: u32) {
        let daemon = sim.request(request).entry;
        let Some(target) = self.next_target(sim, daemon) else {
            let refusal = refusal::Refusal::not_run(refusal::Cause::NoTarget, None);
            sim.answer(request, sim::Answer::Refused(refusal));
            return;
        };
        let id = sim.dispatch(request, daemon, target, false);
        let attempt = Try {
            request,
            target,
            tries,
        };
        self.tries_in_flight.insert(id, attempt);
        let left = sim.request(request).deadline - sim.now();
        sim.schedule_message(TRY_TIMEOUT.min(left), daemon, Message::TimedOut(id));
    }

    /// Returns the next target in round-robin order that the daemon has not ejected and that is not leaving.
    fn next_target(&mut self, sim: &Simulation, daemon: usize) -> Option<usize> {
        let targets = &sim.scenario().service.targets;
        let fresh = Daemon {
            next_index: daemon,
            health: BTreeMap::new(),
        };
        let daemon = self.daemons.entry(daemon).or_insert(fresh);
        for _ in 0..targets.len() {
            let at = daemon.next_index % targets.len();
            daemon.next_index += 1;
            let ejected = daemon.health.get(&at).is_some_and(|v| v.ejected);
            if !targets[at].leaving && !ejected {
                return Some(at);
            }
        }
        None
    }

    fn handle_outcome(&mut self, sim: &mut Simulation, id: target::TryId, outcome: cell::Outcome) {
        let Some(attempt) = self.tries_in_flight.remove(&id) else {
            return;
        };
        let request = *sim.request(attempt.request);
        self.record_outcome(sim, request.entry, attempt.target, outcome);
        if outcome == cell::Outcome::Answered {
            sim.answer(attempt.request, sim::Answer::Served);
            return;
        }
        let no_run = matches!(outcome, cell::Outcome::Shed | cell::Outcome::ConnectFailed);
        let may_retry = request.idempotent || no_run;
        if may_retry && attempt.tries < MAX_TRIES && sim.now() < request.deadline {
            self.start_try(sim, attempt.request, attempt.tries + 1);
            return;
        }
        sim.answer(attempt.request, final_answer(outcome, attempt.tries));
    }

    fn record_outcome(
        &mut self,
        sim: &mut Simulation,
        daemon: usize,
        target: usize,
        outcome: cell::Outcome,
    ) {
        let count = sim.scenario().service.targets.len();
        let health = &mut self.daemons.entry(daemon).or_default().health;
        let ejected = health.values().filter(|v| v.ejected).count();
        let target_health = health.entry(target).or_default();
        if outcome == cell::Outcome::Answered {
            target_health.failures = 0;
            return;
        }
        target_health.failures += 1;
        let below_limit = ((ejected + 1) as f64) <= MAX_EJECTED_SHARE * count as f64;
        if target_health.failures >= FAILURES_IN_ROW && !target_health.ejected && below_limit {
            target_health.ejected = true;
            sim.set_ejected(daemon, target, true);
            sim.schedule_message(EJECTION_TIME, daemon, Message::Reinstate { daemon, target });
        }
    }
}

/// Returns the answer to the caller after the last try. `not run` is proven only if the single try was refused without
/// running the request.
fn final_answer(outcome: cell::Outcome, tries: u32) -> sim::Answer {
    let no_run = matches!(outcome, cell::Outcome::Shed | cell::Outcome::ConnectFailed);
    let refused = match outcome {
        cell::Outcome::Answered => return sim::Answer::Served,
        cell::Outcome::Failed => return sim::Answer::Failed,
        _ if no_run && tries == 1 => refusal::Refusal::not_run(refusal::Cause::ConnectFailed, None),
        cell::Outcome::TimedOut => refusal::Refusal::unknown(refusal::Cause::TargetTimeout),
        _ => refusal::Refusal::unknown(refusal::Cause::TargetBroke),
    };
    sim::Answer::Refused(refused)
}
