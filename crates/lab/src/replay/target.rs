//! A fake target: slots, a short backlog, and what is wrong with it over time.

use std::collections::{BTreeMap, VecDeque};

use peridotspread::coordination::cell;
use peridotspread::state::clock;

use crate::replay::trace;

/// How long a target takes to restart after a crash.
const RESTART: clock::Millis = clock::Millis(2_000);

/// How long a target is cold after a start.
const COLD: clock::Millis = clock::Millis(5_000);

/// How much longer work takes on a target that has just started.
const COLD_FACTOR: f64 = 3.0;

/// The share of its work after which a failing request fails.
const FAILURE_SHARE: f64 = 0.3;

/// One try of a request at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TryId(pub usize);

/// What a target is asked to do.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The try.
    pub id: TryId,
    /// The time that it takes on a healthy, warm target.
    pub work: clock::Millis,
    /// Whether it crashes the target.
    pub crash: bool,
    /// A draw from 0 to 1 that decides whether it fails.
    pub luck: f64,
}

/// What follows from an event at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// The try begins to run.
    Started(TryId),
    /// [`Target::finish`] is due for the try at a time.
    FinishAt(TryId, clock::Millis),
    /// The try has ended.
    Ended(TryId, cell::Outcome),
}

/// One condition of the target: when it holds and what is wrong.
#[derive(Clone, Copy, Debug)]
pub struct Spell {
    /// When it sets in.
    pub from: clock::Millis,
    /// When it ends.
    pub to: clock::Millis,
    /// It holds for this long, then not for as long, and so on.
    pub period: Option<clock::Millis>,
    /// Whether other targets share the cause.
    pub shared: bool,
    /// What is wrong.
    pub fault: trace::Fault,
}

impl Spell {
    /// Tells whether the condition holds at `now`.
    pub fn holds(&self, now: clock::Millis) -> bool {
        let within = self.from <= now && now < self.to;
        let on = |p: clock::Millis| ((now - self.from).0 / p.0.max(1)).is_multiple_of(2);
        within && self.period.is_none_or(on)
    }

    /// Returns when the condition sets in or ends, in order.
    pub fn turns(&self) -> Vec<clock::Millis> {
        let mut turns = vec![self.from];
        if let Some(period) = self.period {
            let mut at = self.from + period;
            while at < self.to {
                turns.push(at);
                at += period;
            }
        }
        turns.push(self.to);
        turns
    }
}

/// A fake target.
#[derive(Debug, Default)]
pub struct Target {
    slots: usize,
    spells: Vec<Spell>,
    running: BTreeMap<TryId, Running>,
    backlog: VecDeque<Job>,
    /// When the last start ends and the target begins to warm up; the start of all is long past.
    started: Option<clock::Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    /// Whether it fails in the end.
    fails: bool,
    /// The work is done, but for a stall.
    held: bool,
}

impl Target {
    /// Creates a healthy, warm target to which `spells` happen.
    pub fn new(slots: usize, spells: Vec<Spell>) -> Target {
        Target {
            slots,
            spells,
            ..Target::default()
        }
    }

    /// Returns what happens to the target.
    pub fn spells(&self) -> &[Spell] {
        &self.spells
    }

    /// Tells whether the target is restarting or cold after a crash.
    pub fn restarting(&self, now: clock::Millis) -> bool {
        self.started.is_some_and(|at| now < at + COLD)
    }

    /// Takes a request.
    pub fn take(&mut self, now: clock::Millis, job: Job) -> Vec<Effect> {
        if self.down(now) {
            return vec![Effect::Ended(job.id, cell::Outcome::ConnectFailed)];
        }
        if self.sheds(now) || self.overfull(now) {
            return vec![Effect::Ended(job.id, cell::Outcome::Shed)];
        }
        if self.running.len() >= self.slots {
            self.backlog.push_back(job);
            return Vec::new();
        }
        self.start(now, job)
    }

    /// Ends a try whose work is done, or holds it for as long as the target stalls.
    pub fn finish(&mut self, now: clock::Millis, id: TryId) -> Vec<Effect> {
        let stalled = self.stalled(now);
        let Some(running) = self.running.get_mut(&id) else {
            return Vec::new();
        };
        if stalled {
            running.held = true;
            return Vec::new();
        }
        let outcome = if running.fails {
            cell::Outcome::Failed
        } else {
            cell::Outcome::Answered
        };
        self.running.remove(&id);
        let mut effects = vec![Effect::Ended(id, outcome)];
        effects.extend(self.refill(now));
        effects
    }

    /// Cancels a try; its slot is free at once.
    pub fn cancel(&mut self, now: clock::Millis, id: TryId) -> Vec<Effect> {
        self.backlog.retain(|j| j.id != id);
        self.running.remove(&id);
        self.refill(now)
    }

    /// Applies a condition that sets in or ends.
    pub fn turn(&mut self, now: clock::Millis) -> Vec<Effect> {
        let restarts = |s: &Spell| s.fault == trace::Fault::Restart && s.from == now;
        if let Some(spell) = self.spells.iter().copied().find(restarts) {
            return self.restart(spell.to);
        }
        if self.stalled(now) {
            return Vec::new();
        }
        let held: Vec<_> = self
            .running
            .iter()
            .filter(|(_, r)| r.held)
            .map(|(id, _)| *id)
            .collect();
        held.into_iter()
            .flat_map(|id| self.finish(now, id))
            .collect()
    }

    fn start(&mut self, now: clock::Millis, job: Job) -> Vec<Effect> {
        let mut effects = vec![Effect::Started(job.id)];
        let fails = job.luck < self.failures(now);
        let held = false;
        self.running.insert(job.id, Running { fails, held });
        if job.crash {
            effects.extend(self.restart(now + RESTART));
            return effects;
        }
        let share = if fails { FAILURE_SHARE } else { 1.0 };
        let work = job.work.scaled(share * self.factor(now));
        effects.push(Effect::FinishAt(job.id, now + work));
        effects
    }

    fn refill(&mut self, now: clock::Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        while self.running.len() < self.slots {
            let Some(job) = self.backlog.pop_front() else {
                break;
            };
            effects.extend(self.start(now, job));
        }
        effects
    }

    fn restart(&mut self, until: clock::Millis) -> Vec<Effect> {
        self.started = Some(until);
        let running = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.backlog);
        let ids = running.into_keys().chain(waiting.into_iter().map(|j| j.id));
        ids.map(|id| Effect::Ended(id, cell::Outcome::Broken))
            .collect()
    }

    fn faults(&self, now: clock::Millis) -> impl Iterator<Item = trace::Fault> {
        self.spells
            .iter()
            .filter(move |s| s.holds(now))
            .map(|s| s.fault)
    }

    /// Tells whether the backlog is full; a target that stalls does not get to refuse.
    fn overfull(&self, now: clock::Millis) -> bool {
        self.backlog.len() >= self.slots && !self.stalled(now)
    }

    fn stalled(&self, now: clock::Millis) -> bool {
        self.faults(now).any(|f| f == trace::Fault::Stall)
    }

    fn sheds(&self, now: clock::Millis) -> bool {
        self.faults(now)
            .any(|f| matches!(f, trace::Fault::Shed | trace::Fault::Drain { .. }))
    }

    fn down(&self, now: clock::Millis) -> bool {
        self.started.is_some_and(|at| now < at)
    }

    fn failures(&self, now: clock::Millis) -> f64 {
        let share = |f| match f {
            trace::Fault::Fail { share } => share,
            _ => 0.0,
        };
        self.faults(now).map(share).fold(0.0, f64::max)
    }

    fn factor(&self, now: clock::Millis) -> f64 {
        let slow = |f| match f {
            trace::Fault::Slow { factor } => factor,
            _ => 1.0,
        };
        let slowest = self.faults(now).map(slow).fold(1.0, f64::max);
        slowest * self.coldness(now)
    }

    /// Falls evenly from [`COLD_FACTOR`] to 1 over [`COLD`] after a start.
    fn coldness(&self, now: clock::Millis) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let warm = ((now - started).0 as f64 / COLD.0 as f64).min(1.0);
        COLD_FACTOR - (COLD_FACTOR - 1.0) * warm
    }
}
