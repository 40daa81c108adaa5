//! The cell: slots, queue and dispatch of one service's targets in one failure domain.
//!
//! The home's actor feeds it [`Event`]s and carries out its [`Action`]s; it is the only place that decides which
//! target a request goes to. This module routes the events; the rules stand in its neighbours: `queue` and `target` hold
//! the state, `dispatch` gives out slots, `finish` takes tries back, `standing` applies the judgement of
//! [`crate::coordination::outlier`], and `watch` does what is due by time.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::breadth;
use crate::coordination::evidence;
use crate::coordination::quarantine;
use crate::coordination::retry;
use crate::protocol::peer;
use crate::protocol::refusal;
use crate::state::bundle;
use crate::state::clock;
use crate::state::ids;

mod dispatch;
mod event;
mod finish;
mod health;
mod queue;
mod rules;
mod target;
mod watch;

pub use event::{Action, Arrival, Event, Outcome};

/// The share of bad requests that a home reports at least while all targets of its cell are under suspicion.
///
/// Its own link or its whole failure domain may be at fault; entries send their requests to other cells from this share on.
pub const DEGRADED_SHARE: f32 = 0.5;

/// The share of bad requests below which another cell is taken to be well.
const WELL_SHARE: f64 = 0.25;
/// The shortest time after which a refused caller is told to come back.
const LEAST_RETRY_AFTER: clock::Millis = clock::Millis(100);
/// The longest time after which a refused caller is told to come back.
const MOST_RETRY_AFTER: clock::Millis = clock::Millis(30_000);
/// The share of a new grant in the running share of grants that leave nobody waiting who can be on time.
const SPARE_STEP: f64 = 0.05;
/// The share of a new value in the running mean of the time that a slot is held.
const HOLD_STEP: f64 = 0.05;

/// One request that holds a slot.
#[derive(Debug)]
struct Running {
    work: queue::Waiting,
    target: String,
    granted: clock::Millis,
    phase: Phase,
    /// The worst class that was counted so far.
    class: evidence::Class,
    /// The log-likelihood ratio that was added so far.
    added: f64,
    /// When it falls into the next worse class.
    due: clock::Millis,
    /// Whether its target counts it as slow.
    overdue: bool,
    /// Whether it is a trial of its target.
    trial: bool,
    /// Whether it was part of a crash of another target.
    suspect: bool,
}

/// How far a request that holds a slot has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The slot is held, nothing was sent.
    Held,
    /// The request is being sent, or was.
    Sent(clock::Millis),
    /// The answer is being passed on.
    Answering,
}

/// What the bundle in force says about the cell.
#[derive(Debug, Default)]
struct Rules {
    queue: usize,
    /// Whether targets are ranked by doubt.
    soundness: bool,
    /// The share of targets, from 0 to 1, that keep getting work while many requests fail.
    breadth: f64,
    ejection: bundle::Ejection,
    /// The ejections that the service's floor allows.
    spare: usize,
}

/// The state of one cell at its home.
#[derive(Debug)]
pub struct Cell {
    id: ids::CellId,
    rules: Rules,
    targets: BTreeMap<String, target::Target>,
    peers: BTreeMap<ids::CellId, evidence::Peer>,
    queue: queue::Queue,
    running: BTreeMap<ids::Ticket, Running>,
    /// When requests in flight fall into the next worse class.
    dues: BTreeSet<(clock::Millis, ids::Ticket)>,
    /// The deadlines of requests that hold a slot and were not sent.
    held: BTreeSet<(clock::Millis, ids::Ticket)>,
    /// The requests in flight that stall and may be tried at another target.
    stuck: BTreeSet<ids::Ticket>,
    /// When slots of abandoned requests are free again.
    lingering: BTreeSet<(clock::Millis, u64, String)>,
    budget: retry::Budget,
    breadth: breadth::Breadth,
    quarantine: quarantine::Quarantine,
    strikes: quarantine::CrashHistory,
    /// The running mean of the time that a slot is held, in milliseconds.
    hold: Option<f64>,
    /// By tier, the running share of grants that leave nobody of it or a higher one waiting who can be on time: what is left of
    /// the slots for late requests.
    spare: BTreeMap<u8, f64>,
    draining: bool,
    /// The number of arrivals, grants and abandoned tries.
    count: u64,
    /// When the last event came.
    last: clock::Millis,
}

impl Cell {
    /// Creates a cell without targets; [`Event::Rules`] brings them.
    pub fn new(id: &ids::CellId) -> Cell {
        Cell {
            id: id.clone(),
            rules: Rules::default(),
            targets: BTreeMap::new(),
            peers: BTreeMap::new(),
            queue: queue::Queue::default(),
            running: BTreeMap::new(),
            dues: BTreeSet::new(),
            held: BTreeSet::new(),
            stuck: BTreeSet::new(),
            lingering: BTreeSet::new(),
            budget: retry::Budget::default(),
            breadth: breadth::Breadth::default(),
            quarantine: quarantine::Quarantine::default(),
            strikes: quarantine::CrashHistory::default(),
            hold: None,
            spare: BTreeMap::new(),
            draining: false,
            count: 0,
            last: clock::Millis::ZERO,
        }
    }

    /// Takes one event at time `now` and returns what has to be done, in order.
    ///
    /// Events of requests that the cell no longer knows change nothing.
    pub fn handle(&mut self, now: clock::Millis, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        let newest = match &event {
            Event::Arrive(arrival) => Some(arrival.ticket),
            _ => None,
        };
        self.excuse(now);
        self.age(now, &mut actions);
        match event {
            Event::Arrive(arrival) => self.arrive(now, arrival, &mut actions),
            Event::Dispatch(ticket) => self.sent(now, ticket),
            Event::Done { ticket, outcome } => self.done(now, ticket, outcome, &mut actions),
            Event::Release(ticket) => self.release(now, ticket),
            Event::Cancel(ticket) => self.cancel(now, ticket),
            Event::Rules(service) => self.adopt(now, service, &mut actions),
            Event::Peers(summaries) => self.hear(now, summaries),
            Event::Granted { target, until } => self.granted(now, target, until, &mut actions),
            Event::Denied { target } => self.denied(now, target),
            Event::Quarantined { fingerprint, span } => {
                self.quarantine(now, fingerprint, span, &mut actions);
            }
            Event::Drain => self.drain(&mut actions),
            Event::Tick => {}
        }
        self.elapse(now, &mut actions);
        self.dispatch(now, &mut actions);
        self.bound(now, newest, &mut actions);
        for _ in actions.iter().filter(|a| a.is_unserved()) {
            self.breadth.count(now, true);
        }
        actions
    }

    /// Tells the cell's load and evidence.
    ///
    /// Targets under suspicion count, in slots as in evidence, only where all are; the share of bad requests is then at least [`DEGRADED_SHARE`].
    pub fn summary(&self, now: clock::Millis) -> peer::CellSummary {
        let sick = self.is_degraded();
        let counted = || {
            let targets = self.targets.values().filter(|t| !t.leaving);
            targets.filter(|t| sick || t.is_normal())
        };
        let seen: f64 = counted().map(|t| t.evidence.weight(now)).sum();
        let bad: f64 = counted()
            .map(|t| t.evidence.weight(now) * t.evidence.recent().bad())
            .sum();
        let bad = match self.rules.soundness {
            true => self.least_doubt(now) as f32,
            false if seen > 0.0 => (bad / seen) as f32,
            false => 0.0,
        };
        let median = evidence::median(now, counted().map(|t| &t.evidence), std::iter::empty());
        peer::CellSummary {
            cell: self.id.clone(),
            slots: as_count(counted().map(|t| t.slots(now)).sum()),
            busy: as_count(counted().map(|t| t.busy).sum()),
            queued: as_count(self.queue.len()),
            wait: self.wait(now, u8::MAX),
            median: clock::Millis(median.unwrap_or_default().round() as u64),
            bad: if sick { bad.max(DEGRADED_SHARE) } else { bad },
            seen: seen.round() as u32,
            age: clock::Millis::ZERO,
        }
    }

    /// Returns the doubt about the soundest target that is free, or of all where none is; 0 where it was proved sound.
    fn least_doubt(&self, now: clock::Millis) -> f64 {
        let working = || self.targets.values().filter(|t| t.takes_work());
        let order = |a: &&target::Target, b: &&target::Target| {
            let value = |t: &target::Target| t.doubt.value(now);
            value(a).total_cmp(&value(b))
        };
        let free = working().filter(|t| t.is_free(now)).min_by(order);
        let soundest = free.or_else(|| working().min_by(order));
        let doubted = soundest.filter(|t| t.doubt.level(now) > 0);
        doubted.map_or(0.0, |t| t.doubt.value(now))
    }

    /// Tells how the targets are judged; the caller names the home.
    pub fn target_reports(&self) -> Vec<peer::TargetReport> {
        let report = |(name, t): (&String, &target::Target)| peer::TargetReport {
            cell: self.id.clone(),
            name: name.clone(),
            standing: t.describe().to_owned(),
            slots: as_count(t.total),
            busy: as_count(t.busy),
            ratio: t.score.value(),
            home: String::new(),
        };
        self.targets.iter().map(report).collect()
    }

    /// Returns whether the request runs as a trial at a target that is avoided or ejected.
    pub fn is_trial(&self, ticket: ids::Ticket) -> bool {
        self.running.get(&ticket).is_some_and(|r| r.trial)
    }

    /// Returns whether all targets are under suspicion, so that the fault may be the home's own link or its whole
    /// failure domain.
    pub fn is_degraded(&self) -> bool {
        let mut targets = self.targets.values().filter(|t| !t.leaving).peekable();
        targets.peek().is_some() && targets.all(|t| !t.is_normal())
    }

    /// Returns whether the home steps aside: its targets all look sick, and another cell of the service is well.
    ///
    /// It then takes one idempotent request at a time, to see whether its targets are well again. All others are refused
    /// at once, so that their entries try another cell.
    fn steps_aside(&self, now: clock::Millis) -> bool {
        self.is_degraded() && self.peers_well(now)
    }

    fn arrive(&mut self, now: clock::Millis, arrival: Arrival, actions: &mut Vec<Action>) {
        self.count += 1;
        match self.admit(now, &arrival) {
            Ok(()) => {
                if arrival.prior_tries > 0 {
                    self.budget.spend();
                }
                self.queue.push(queue::Waiting {
                    arrival,
                    since: now,
                    expiry: self.expiry(now, arrival.deadline),
                    place: self.count,
                    tries: arrival.prior_tries,
                    sent: arrival.prior_tries,
                    excluded: Vec::new(),
                    lost: None,
                });
            }
            Err(refusal) => actions.push(Action::Refuse {
                ticket: arrival.ticket,
                refusal,
            }),
        }
    }

    fn admit(&self, now: clock::Millis, arrival: &Arrival) -> Result<(), refusal::Refusal> {
        let refuse = |cause, after| Err(refusal::Refusal::not_run(cause, after));
        if self.draining {
            return refuse(refusal::Cause::Draining, Some(clock::Millis::ZERO));
        }
        if let Some(left) = self.quarantine.remaining(now, arrival.fingerprint) {
            return refuse(refusal::Cause::Quarantined, Some(left));
        }
        if arrival.deadline <= now {
            return refuse(refusal::Cause::DeadlinePassed, None);
        }
        let probes = self.running.is_empty() && arrival.idempotent;
        if self.slots(now) == 0 || (self.steps_aside(now) && !probes) {
            return refuse(refusal::Cause::NoTarget, Some(clock::Millis(1_000)));
        }
        let wait = self.wait(now, arrival.tier);
        let run = self.run_span();
        if wait > clock::Millis::ZERO && now + wait + run >= arrival.deadline {
            return refuse(refusal::Cause::DeadlineTooShort, Some(retry_after(wait)));
        }
        // Another home has sent the request before: here too that is a retry.
        if arrival.prior_tries > 0 && !self.budget.funded() {
            return refuse(refusal::Cause::TargetShed, Some(retry_after(wait)));
        }
        Ok(())
    }

    /// Returns the time that a slot is held on the mean; zero before the first answer.
    fn run_span(&self) -> clock::Millis {
        clock::Millis(self.hold.unwrap_or_default() as u64)
    }

    /// Returns when a slot comes too late for a request that comes to wait now: when no time is left for an ordinary run,
    /// or for half of what is left now where that is shorter.
    fn expiry(&self, now: clock::Millis, deadline: clock::Millis) -> clock::Millis {
        let run = self.run_span();
        deadline - run.min(clock::Millis((deadline - now).0 / 2))
    }

    /// Returns the wait that a new request of `tier` is to expect.
    fn wait(&self, now: clock::Millis, tier: u8) -> clock::Millis {
        let ahead = self.queue.ahead(tier, now + self.run_span());
        if ahead == 0 && self.targets.values().any(|t| t.is_free(now)) {
            return clock::Millis::ZERO;
        }
        let slots = self.slots(now).max(1) as f64;
        let hold = self.hold.unwrap_or_default();
        clock::Millis((hold * (ahead + 1) as f64 / slots).ceil() as u64)
    }

    fn slots(&self, now: clock::Millis) -> usize {
        self.targets.values().map(|t| t.slots(now)).sum()
    }

    /// Refuses the newest requests of the lowest tiers that the queue does not hold.
    fn bound(
        &mut self,
        now: clock::Millis,
        newest: Option<ids::Ticket>,
        actions: &mut Vec<Action>,
    ) {
        let aside = self.steps_aside(now);
        let limit = if aside { 0 } else { self.rules.queue };
        while self.queue.len() > limit {
            let wait = retry_after(self.wait(now, u8::MAX));
            let Some(work) = self.queue.pop_last() else {
                return;
            };
            let cause = if aside {
                refusal::Cause::NoTarget
            } else if newest == Some(work.arrival.ticket) {
                refusal::Cause::QueueFull
            } else {
                refusal::Cause::Displaced
            };
            actions.push(refuse(&work, cause, Some(wait)));
        }
    }

    fn drain(&mut self, actions: &mut Vec<Action>) {
        self.draining = true;
        let held: Vec<_> = self.held.iter().map(|(_, ticket)| *ticket).collect();
        let held = held.into_iter().filter_map(|t| self.free(t));
        let mut back: Vec<_> = held.map(|r| r.work).collect();
        while let Some(work) = self.queue.pop_last() {
            back.push(work);
        }
        let at_once = Some(clock::Millis::ZERO);
        actions.extend(
            back.iter()
                .map(|w| refuse(w, refusal::Cause::Draining, at_once)),
        );
        self.end_ejections(actions);
    }
}

fn refuse(work: &queue::Waiting, cause: refusal::Cause, after: Option<clock::Millis>) -> Action {
    Action::Refuse {
        ticket: work.arrival.ticket,
        refusal: work.refusal(cause, after),
    }
}

fn retry_after(wait: clock::Millis) -> clock::Millis {
    wait.clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER)
}

fn as_count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
