//! A simulated target with slots, a bounded backlog and faults over time.

use std::collections::{BTreeMap, VecDeque};

use peridotspread::coordination::cell;
use peridotspread::state::clock;

use crate::replay::trace;

/// The time that a target takes to restart after a crash.
const RESTART_TIME: clock::Millis = clock::Millis(2_000);

/// The time after a restart until a target runs at full speed.
const WARM_UP_TIME: clock::Millis = clock::Millis(5_000);

/// The factor by which service times are longer on a target that has just restarted.
const COLD_FACTOR: f64 = 3.0;

/// The share of its service time after which a failing request fails.
const FAILURE_SHARE: f64 = 0.3;

/// The number of a try: one attempt to run a request on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TryId(pub usize);

/// A request as the target receives it.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The try that the request belongs to.
    pub id: TryId,
    /// The service time on a healthy, warm target.
    pub work: clock::Millis,
    /// Whether the request crashes the target.
    pub crash: bool,
    /// A random number from 0 to 1; the request fails if it is below the failure share of the target.
    pub failure_draw: f64,
}

/// A consequence of an event at a target, for the simulation to carry out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// The try starts to run.
    Started(TryId),
    /// [`Target::finish`] must be called for the try at this time.
    FinishAt(TryId, clock::Millis),
    /// The try has ended with this outcome.
    Ended(TryId, cell::Outcome),
}

/// A fault and the time for which it lasts.
#[derive(Clone, Copy, Debug)]
pub struct FaultWindow {
    /// The start of the fault.
    pub from: clock::Millis,
    /// The end of the fault.
    pub to: clock::Millis,
    /// The half-period of a fault that comes and goes: it is active for this time, then inactive for the same time, and
    /// so on.
    pub period: Option<clock::Millis>,
    /// Whether all targets are affected by a shared cause.
    pub shared: bool,
    /// The kind of fault.
    pub fault: trace::Fault,
}

impl FaultWindow {
    /// Returns whether the fault is active at `now`.
    pub fn is_active(&self, now: clock::Millis) -> bool {
        let within = self.from <= now && now < self.to;
        let on = |p: clock::Millis| ((now - self.from).0 / p.0.max(1)).is_multiple_of(2);
        within && self.period.is_none_or(on)
    }

    /// Returns the times at which the fault starts or stops to be active, in ascending order.
    pub fn transitions(&self) -> Vec<clock::Millis> {
        let mut transitions = vec![self.from];
        if let Some(period) = self.period {
            let mut at = self.from + period;
            while at < self.to {
                transitions.push(at);
                at += period;
            }
        }
        transitions.push(self.to);
        transitions
    }
}

/// A simulated target.
#[derive(Debug, Default)]
pub struct Target {
    slots: usize,
    windows: Vec<FaultWindow>,
    running: BTreeMap<TryId, Running>,
    backlog: VecDeque<Job>,
    /// The end of the last restart, from which the target warms up; `None` if it has not restarted during the run.
    ready_at: Option<clock::Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    /// Whether the request fails when it ends.
    fails: bool,
    /// Whether the service time is over and a stall keeps the request from ending.
    blocked: bool,
}

impl Target {
    /// Creates a warm target that is affected by the faults in `windows`.
    pub fn new(slots: usize, windows: Vec<FaultWindow>) -> Target {
        Target {
            slots,
            windows,
            ..Target::default()
        }
    }

    /// Returns the faults of the target.
    pub fn windows(&self) -> &[FaultWindow] {
        &self.windows
    }

    /// Returns whether the target is restarting, or is still cold after a restart.
    pub fn restarting_or_cold(&self, now: clock::Millis) -> bool {
        self.ready_at.is_some_and(|at| now < at + WARM_UP_TIME)
    }

    /// Starts a request, queues it in the backlog, or rejects it if the target is restarting, sheds or has a full
    /// backlog.
    pub fn submit(&mut self, now: clock::Millis, job: Job) -> Vec<Effect> {
        if self.is_restarting(now) {
            return vec![Effect::Ended(job.id, cell::Outcome::ConnectFailed)];
        }
        if self.is_shedding(now) || self.is_backlog_full(now) {
            return vec![Effect::Ended(job.id, cell::Outcome::Shed)];
        }
        if self.running.len() >= self.slots {
            self.backlog.push_back(job);
            return Vec::new();
        }
        self.start(now, job)
    }

    /// Ends a try whose service time is over; while the target stalls, the try ends only after the stall.
    pub fn finish(&mut self, now: clock::Millis, id: TryId) -> Vec<Effect> {
        let stalled = self.is_stalled(now);
        let Some(running) = self.running.get_mut(&id) else {
            return Vec::new();
        };
        if stalled {
            running.blocked = true;
            return Vec::new();
        }
        let outcome = if running.fails {
            cell::Outcome::Failed
        } else {
            cell::Outcome::Answered
        };
        self.running.remove(&id);
        let mut effects = vec![Effect::Ended(id, outcome)];
        effects.extend(self.start_queued(now));
        effects
    }

    /// Cancels a try and frees its slot immediately.
    pub fn cancel(&mut self, now: clock::Millis, id: TryId) -> Vec<Effect> {
        self.backlog.retain(|j| j.id != id);
        self.running.remove(&id);
        self.start_queued(now)
    }

    /// Applies a fault that starts or stops to be active at `now`.
    pub fn handle_transition(&mut self, now: clock::Millis) -> Vec<Effect> {
        let restarts = |s: &FaultWindow| s.fault == trace::Fault::Restart && s.from == now;
        if let Some(window) = self.windows.iter().copied().find(restarts) {
            return self.restart(window.to);
        }
        if self.is_stalled(now) {
            return Vec::new();
        }
        let blocked: Vec<_> = self
            .running
            .iter()
            .filter(|(_, r)| r.blocked)
            .map(|(id, _)| *id)
            .collect();
        blocked
            .into_iter()
            .flat_map(|id| self.finish(now, id))
            .collect()
    }

    fn start(&mut self, now: clock::Millis, job: Job) -> Vec<Effect> {
        let mut effects = vec![Effect::Started(job.id)];
        let fails = job.failure_draw < self.failure_share(now);
        let blocked = false;
        self.running.insert(job.id, Running { fails, blocked });
        if job.crash {
            effects.extend(self.restart(now + RESTART_TIME));
            return effects;
        }
        let share = if fails { FAILURE_SHARE } else { 1.0 };
        let work = job.work.scaled(share * self.slow_factor(now));
        effects.push(Effect::FinishAt(job.id, now + work));
        effects
    }

    fn start_queued(&mut self, now: clock::Millis) -> Vec<Effect> {
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
        self.ready_at = Some(until);
        let running = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.backlog);
        let ids = running.into_keys().chain(waiting.into_iter().map(|j| j.id));
        ids.map(|id| Effect::Ended(id, cell::Outcome::Broken))
            .collect()
    }

    fn faults(&self, now: clock::Millis) -> impl Iterator<Item = trace::Fault> {
        self.windows
            .iter()
            .filter(move |s| s.is_active(now))
            .map(|s| s.fault)
    }

    /// Returns whether the target refuses requests because its backlog is full; a stalled target does not refuse.
    fn is_backlog_full(&self, now: clock::Millis) -> bool {
        self.backlog.len() >= self.slots && !self.is_stalled(now)
    }

    fn is_stalled(&self, now: clock::Millis) -> bool {
        self.faults(now).any(|f| f == trace::Fault::Stall)
    }

    fn is_shedding(&self, now: clock::Millis) -> bool {
        self.faults(now)
            .any(|f| matches!(f, trace::Fault::Shed | trace::Fault::Drain { .. }))
    }

    /// Returns whether the target drains, which it states in its responses.
    pub fn is_draining(&self, now: clock::Millis) -> bool {
        self.faults(now)
            .any(|f| matches!(f, trace::Fault::Drain { .. }))
    }

    fn is_restarting(&self, now: clock::Millis) -> bool {
        self.ready_at.is_some_and(|at| now < at)
    }

    fn failure_share(&self, now: clock::Millis) -> f64 {
        let share = |f| match f {
            trace::Fault::Fail { share } => share,
            _ => 0.0,
        };
        self.faults(now).map(share).fold(0.0, f64::max)
    }

    fn slow_factor(&self, now: clock::Millis) -> f64 {
        let slow = |f| match f {
            trace::Fault::Slow { factor } => factor,
            _ => 1.0,
        };
        let slowest = self.faults(now).map(slow).fold(1.0, f64::max);
        slowest * self.cold_factor(now)
    }

    /// Returns the factor on service times after a restart: it falls linearly from [`COLD_FACTOR`] to 1 over
    /// [`WARM_UP_TIME`].
    fn cold_factor(&self, now: clock::Millis) -> f64 {
        let Some(ready_at) = self.ready_at else {
            return 1.0;
        };
        let warmed = ((now - ready_at).0 as f64 / WARM_UP_TIME.0 as f64).min(1.0);
        COLD_FACTOR - (COLD_FACTOR - 1.0) * warmed
    }
}
