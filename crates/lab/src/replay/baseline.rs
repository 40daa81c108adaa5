//! The baseline policy: each daemon for itself.
//!
//! A daemon sends to the service's targets in turn, ejects a target for a time after a number of failures in a row, and
//! keeps no floor but a largest share ejected. Daemons share neither slots, queues nor evidence.

use std::collections::BTreeMap;

use peridotspread::coordination::cell;
use peridotspread::protocol::refusal;
use peridotspread::state::clock;

use crate::replay::target;
use crate::replay::world;

const FAILURES_IN_ROW: u32 = 5;
const EJECTION: clock::Millis = clock::Millis(30_000);
const MAX_EJECTED_SHARE: f64 = 0.5;
const TRY_TIMEOUT: clock::Millis = clock::Millis(1_000);
const MAX_TRIES: u32 = 2;

/// What the baseline sends itself for later.
#[derive(Debug)]
pub(crate) enum Message {
    /// A try has taken too long.
    TimedOut(target::TryId),
    /// An ejection ends.
    Reinstate {
        /// The daemon.
        daemon: usize,
        /// The target.
        target: usize,
    },
}

/// The baseline policy of all daemons.
#[derive(Debug, Default)]
pub(crate) struct Baseline {
    daemons: BTreeMap<usize, Daemon>,
    flights: BTreeMap<target::TryId, Flight>,
}

#[derive(Debug, Default)]
struct Daemon {
    next: usize,
    views: BTreeMap<usize, View>,
}

#[derive(Clone, Copy, Debug, Default)]
struct View {
    failures: u32,
    ejected: bool,
}

#[derive(Clone, Copy, Debug)]
struct Flight {
    request: usize,
    target: usize,
    tries: u32,
}

type World = world::World<Message>;

impl world::Policy for Baseline {
    type Message = Message;

    fn handle(&mut self, world: &mut World, input: world::Input<Message>) {
        match input {
            world::Input::Request(request) => self.attempt(world, request, 1),
            world::Input::Ended { id, outcome } => self.ended(world, id, outcome),
            world::Input::Message(Message::TimedOut(id)) => {
                if self.flights.contains_key(&id) {
                    world.cancel(id);
                    self.ended(world, id, cell::Outcome::TimedOut);
                }
            }
            world::Input::Message(Message::Reinstate { daemon, target }) => {
                let views = &mut self.daemons.entry(daemon).or_default().views;
                views.insert(target, View::default());
                world.mark_ejected(daemon, target, false);
            }
            world::Input::Rules => {}
        }
    }
}

impl Baseline {
    fn attempt(&mut self, world: &mut World, request: usize, tries: u32) {
        let daemon = world.request(request).entry;
        let Some(target) = self.pick(world, daemon) else {
            let refusal = refusal::Refusal::not_run(refusal::Cause::NoTarget, None);
            world.answer(request, world::Answer::Refused(refusal));
            return;
        };
        let id = world.dispatch(request, daemon, target, false);
        let flight = Flight {
            request,
            target,
            tries,
        };
        self.flights.insert(id, flight);
        let left = world.request(request).deadline - world.now();
        world.after(TRY_TIMEOUT.min(left), daemon, Message::TimedOut(id));
    }

    /// Returns the next target in turn that the daemon does not eject.
    fn pick(&mut self, world: &World, daemon: usize) -> Option<usize> {
        let targets = &world.scene().service.targets;
        let fresh = Daemon {
            next: daemon,
            views: BTreeMap::new(),
        };
        let daemon = self.daemons.entry(daemon).or_insert(fresh);
        for _ in 0..targets.len() {
            let at = daemon.next % targets.len();
            daemon.next += 1;
            let ejected = daemon.views.get(&at).is_some_and(|v| v.ejected);
            if !targets[at].leaving && !ejected {
                return Some(at);
            }
        }
        None
    }

    fn ended(&mut self, world: &mut World, id: target::TryId, outcome: cell::Outcome) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let request = *world.request(flight.request);
        self.observe(world, request.entry, flight.target, outcome);
        if outcome == cell::Outcome::Answered {
            world.answer(flight.request, world::Answer::Served);
            return;
        }
        let undone = matches!(outcome, cell::Outcome::Shed | cell::Outcome::ConnectFailed);
        let again = request.idempotent || undone;
        if again && flight.tries < MAX_TRIES && world.now() < request.deadline {
            self.attempt(world, flight.request, flight.tries + 1);
            return;
        }
        world.answer(flight.request, answer(outcome, flight.tries));
    }

    fn observe(&mut self, world: &mut World, daemon: usize, target: usize, outcome: cell::Outcome) {
        let count = world.scene().service.targets.len();
        let views = &mut self.daemons.entry(daemon).or_default().views;
        let ejected = views.values().filter(|v| v.ejected).count();
        let view = views.entry(target).or_default();
        if outcome == cell::Outcome::Answered {
            view.failures = 0;
            return;
        }
        view.failures += 1;
        let room = ((ejected + 1) as f64) <= MAX_EJECTED_SHARE * count as f64;
        if view.failures >= FAILURES_IN_ROW && !view.ejected && room {
            view.ejected = true;
            world.mark_ejected(daemon, target, true);
            world.after(EJECTION, daemon, Message::Reinstate { daemon, target });
        }
    }
}

/// Returns what a caller is told of a last try that failed; only a first try that was refused undone proves "not run".
fn answer(outcome: cell::Outcome, tries: u32) -> world::Answer {
    let undone = matches!(outcome, cell::Outcome::Shed | cell::Outcome::ConnectFailed);
    let refused = match outcome {
        cell::Outcome::Answered => return world::Answer::Served,
        cell::Outcome::Failed => return world::Answer::Failed,
        _ if undone && tries == 1 => refusal::Refusal::not_run(refusal::Cause::ConnectFailed, None),
        cell::Outcome::TimedOut => refusal::Refusal::unknown(refusal::Cause::TargetTimeout),
        _ => refusal::Refusal::unknown(refusal::Cause::TargetBroke),
    };
    world::Answer::Refused(refused)
}
