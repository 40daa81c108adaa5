//! The cell: queues the requests to one service's targets in one failure domain, and dispatches them to target slots.
//!
//! The home's actor passes [`Event`]s to [`Cell::handle`] and carries out the returned [`Action`]s. The cell is the
//! only place that decides which target a request goes to. This module routes the events. `queue` and `target` hold the
//! state, `dispatch` grants slots, `finish` handles the outcomes of tries and their retries, `health` avoids, ejects
//! and reinstates targets by the test of [`crate::coordination::outlier`], `rules` applies a new bundle, `watch` runs
//! the timers, and `order` applies [`crate::coordination::scarcity`] where the bundle sets the order `value`.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::cost;
use crate::coordination::evidence;
use crate::coordination::quarantine;
use crate::coordination::retry;
use crate::coordination::scarcity;
use crate::protocol::peer;
use crate::protocol::refusal;
use crate::state::bundle;
use crate::state::clock;
use crate::state::ids;

mod dispatch;
mod event;
mod finish;
mod health;
mod order;
mod queue;
mod rules;
mod target;
mod watch;

pub use event::{Action, Arrival, Event, Outcome};

/// The least share of bad requests that a home reports while all targets of its cell are suspected, that is, avoided or
/// ejected.
///
/// The cause may be the home's own link or its whole failure domain. Entries send their requests to other cells when a
/// cell reports this share or more.
pub const DEGRADED_SHARE: f32 = 0.5;

/// The share of bad requests below which another cell counts as healthy.
const HEALTHY_SHARE: f64 = 0.25;
/// The retry-after time of a refusal because no target accepts requests.
const NO_TARGET_RETRY: clock::Millis = clock::Millis(1_000);
/// The shortest retry-after time of a refusal.
const MIN_RETRY_AFTER: clock::Millis = clock::Millis(100);
/// The longest retry-after time of a refusal.
const MAX_RETRY_AFTER: clock::Millis = clock::Millis(30_000);
/// The least number of concurrent requests by which the expected wait is computed.
const MIN_CONCURRENCY: f64 = 0.001;
/// The weight of a new grant in the moving average [`Cell::late_share`].
const LATE_SHARE_STEP: f64 = 0.05;
/// The weight of a new value in the moving average [`Cell::mean_hold`].
const HOLD_STEP: f64 = 0.05;

/// A request that holds a slot.
#[derive(Debug)]
struct Running {
    request: queue::Request,
    target: String,
    granted: clock::Millis,
    phase: Phase,
    /// The worst class that was recorded for it so far.
    class: evidence::Class,
    /// The log-likelihood ratio that was added to its target's score for it so far.
    added: f64,
    /// When its age reaches the next worse class.
    due: clock::Millis,
    /// Whether it counts in `overdue` of its target.
    overdue: bool,
    /// Whether it is a trial of its target.
    trial: bool,
    /// Whether a request with the same fingerprint had crashed another target when the slot was granted.
    crash_risk: bool,
}

/// The progress of a request that holds a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The slot is granted, and nothing has been sent.
    Held,
    /// The request has been sent, or is being sent, since this time.
    Sent(clock::Millis),
    /// The response is being forwarded to the caller.
    Answering,
}

/// The settings of the cell in the bundle in force.
#[derive(Debug, Default)]
struct Rules {
    queue: usize,
    order: bundle::Order,
    /// Whether targets are ranked by their failure probability.
    rank_by_failure: bool,
    /// The least share of targets, from 0 to 1, that keep receiving requests.
    breadth: f64,
    ejection: bundle::Ejection,
    /// The number of ejections that the service's floor allows.
    max_ejections: usize,
}

/// The state of one cell at its home.
#[derive(Debug)]
pub struct Cell {
    id: ids::CellId,
    rules: Rules,
    targets: BTreeMap<String, target::Target>,
    other_cells: BTreeMap<ids::CellId, evidence::PeerStats>,
    queue: queue::Queue,
    running: BTreeMap<ids::Ticket, Running>,
    /// When each request in flight reaches its next worse class.
    class_timers: BTreeSet<(clock::Millis, ids::Ticket)>,
    /// The deadlines of requests that hold a slot and have not been sent.
    held: BTreeSet<(clock::Millis, ids::Ticket)>,
    /// The requests in flight that stall and may be retried at another target.
    stalled: BTreeSet<ids::Ticket>,
    /// When the slots of abandoned requests become free, with their targets and the bytes of their bodies.
    lingering: BTreeSet<(clock::Millis, u64, String, u64)>,
    budget: retry::Budget,
    /// When a request that can be resent last got a slot for its first try.
    last_resendable: clock::Millis,
    quarantine: quarantine::Quarantine,
    crash_history: quarantine::CrashHistory,
    /// The moving average of the time that a request holds a slot, in milliseconds.
    mean_hold: Option<f64>,
    /// For each tier, the moving average of the share of grants after which the queue held no request of that tier or a
    /// higher one that could still meet its objective. It estimates the share of the slots that is left for late
    /// requests.
    late_share: BTreeMap<u8, f64>,
    /// The estimates of the time that a request holds a slot, by kind.
    estimator: cost::Estimator,
    /// How often organisations and kinds of requests are served.
    ledger: scarcity::Ledger,
    /// The numbers of refused and delayed requests.
    counts: scarcity::Counts,
    /// When a request was last refused for lack of capacity.
    last_shortage: Option<clock::Millis>,
    draining: bool,
    /// Whether this home ranks first for the cell.
    is_first: bool,
    /// The last number given to an arrival, a grant or an abandoned try.
    sequence: u64,
    /// When the last event was handled.
    last_event: clock::Millis,
}

impl Cell {
    /// Creates a cell without targets; [`Event::Rules`] adds them.
    pub fn new(id: &ids::CellId) -> Cell {
        Cell {
            id: id.clone(),
            rules: Rules::default(),
            targets: BTreeMap::new(),
            other_cells: BTreeMap::new(),
            queue: queue::Queue::default(),
            running: BTreeMap::new(),
            class_timers: BTreeSet::new(),
            held: BTreeSet::new(),
            stalled: BTreeSet::new(),
            lingering: BTreeSet::new(),
            budget: retry::Budget::default(),
            last_resendable: clock::Millis::ZERO,
            quarantine: quarantine::Quarantine::default(),
            crash_history: quarantine::CrashHistory::default(),
            mean_hold: None,
            late_share: BTreeMap::new(),
            estimator: cost::Estimator::default(),
            ledger: scarcity::Ledger::default(),
            counts: scarcity::Counts::default(),
            last_shortage: None,
            draining: false,
            is_first: true,
            sequence: 0,
            last_event: clock::Millis::ZERO,
        }
    }

    /// Handles one event at time `now` and returns the actions to carry out, in order.
    ///
    /// Events about requests that the cell does not know have no effect.
    pub fn handle(&mut self, now: clock::Millis, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        let arrived = match &event {
            Event::Arrive { arrival, .. } => Some(arrival.ticket),
            _ => None,
        };
        self.shift_timers(now);
        self.update_classes(now, &mut actions);
        match event {
            Event::Arrive { arrival, known } => self.arrive(now, arrival, known, &mut actions),
            Event::Sent(ticket) => self.mark_sent(now, ticket),
            Event::Done { ticket, outcome } => self.end_try(now, ticket, outcome, &mut actions),
            Event::Stated { ticket, statement } => {
                self.apply_statement(now, ticket, statement, &mut actions);
            }
            Event::Ranked { is_first } => self.apply_rank(is_first),
            Event::Release(ticket) => self.end_response(now, ticket),
            Event::Cancel(ticket) => self.cancel(now, ticket),
            Event::Rules(service) => self.adopt(now, service, &mut actions),
            Event::OtherCells(summaries) => self.update_other_cells(now, summaries),
            Event::EjectionGranted { target, until } => {
                self.apply_grant(now, target, until, &mut actions);
            }
            Event::EjectionDenied { target } => self.apply_denial(now, target),
            Event::Quarantined { fingerprint, span } => {
                self.apply_quarantine(now, fingerprint, span, &mut actions);
            }
            Event::Drain => self.drain(&mut actions),
            Event::Tick => {}
        }
        self.run_timers(now, &mut actions);
        self.dispatch(now, &mut actions);
        self.limit_queue(now, arrived, &mut actions);
        actions
    }

    /// Returns the cell's load and its statistics, for entries and for the service's other cells.
    ///
    /// Suspected targets are left out of the slots and the statistics unless all targets are suspected. In that case
    /// the reported share of bad requests is at least [`DEGRADED_SHARE`].
    ///
    /// If targets are ranked by failure probability, the share of bad requests is the lowest such probability among the
    /// targets with a free slot.
    pub fn summary(&self, now: clock::Millis) -> peer::CellSummary {
        let degraded = self.is_degraded();
        let counted = || {
            let targets = self.targets.values().filter(|t| !t.leaving);
            targets.filter(|t| degraded || t.is_normal())
        };
        let seen: f64 = counted().map(|t| t.evidence.weight(now)).sum();
        let bad: f64 = counted()
            .map(|t| t.evidence.weight(now) * t.evidence.recent().bad())
            .sum();
        let bad = match self.rules.rank_by_failure {
            true => self.lowest_probability(now) as f32,
            false if seen > 0.0 => (bad / seen) as f32,
            false => 0.0,
        };
        let median = evidence::median(now, counted().map(|t| &t.evidence), std::iter::empty());
        peer::CellSummary {
            cell: self.id.clone(),
            slots: as_count(counted().map(|t| t.open_slots(now)).sum()),
            busy: as_count(counted().map(|t| t.busy).sum()),
            queued: as_count(self.queue.len()),
            wait: self.expected_wait(now, u8::MAX),
            median: clock::Millis(median.unwrap_or_default().round() as u64),
            bad: if degraded {
                bad.max(DEGRADED_SHARE)
            } else {
                bad
            },
            seen: seen.round() as u32,
            idle: as_count(self.usage(now).missing(self.required_breadth())),
            age: clock::Millis::ZERO,
        }
    }

    /// Returns the lowest failure probability of the targets with a free slot, or of all targets if none has one; 0 if
    /// that target is in the best level of [`crate::coordination::failure_model::FailureModel`].
    fn lowest_probability(&self, now: clock::Millis) -> f64 {
        let working = || self.targets.values().filter(|t| t.accepts_requests());
        let order = |a: &&target::Target, b: &&target::Target| {
            let value = |t: &target::Target| t.failure_model.probability(now);
            value(a).total_cmp(&value(b))
        };
        let free = working().filter(|t| t.has_free_slot(now)).min_by(order);
        let safest = free.or_else(|| working().min_by(order));
        let at_risk = safest.filter(|t| t.failure_model.level(now) > 0);
        at_risk.map_or(0.0, |t| t.failure_model.probability(now))
    }

    /// Returns a report on each target; the caller fills in the home's name.
    pub fn target_reports(&self) -> Vec<peer::TargetReport> {
        let report = |(name, t): (&String, &target::Target)| peer::TargetReport {
            cell: self.id.clone(),
            name: name.clone(),
            standing: t.state_label().to_owned(),
            slots: as_count(t.total_slots),
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

    /// Returns whether all targets are suspected. The cause may then be the home's own link or its whole failure
    /// domain.
    pub fn is_degraded(&self) -> bool {
        let mut targets = self.targets.values().filter(|t| !t.leaving).peekable();
        targets.peek().is_some() && targets.all(|t| !t.is_normal())
    }

    /// Returns whether the cell defers to the service's other cells: all of its own targets are suspected, and the
    /// other cells are healthy.
    ///
    /// It then admits one idempotent request at a time, to detect that its targets have recovered, and those that keep
    /// the breadth of the service. All others are refused at once, so that their entries try another cell.
    fn defers(&self, now: clock::Millis) -> bool {
        self.is_degraded() && self.other_cells_healthy(now)
    }

    fn arrive(
        &mut self,
        now: clock::Millis,
        arrival: Arrival,
        known: &[peer::KnownTarget],
        actions: &mut Vec<Action>,
    ) {
        self.sequence += 1;
        self.apply_known(now, known, actions);
        let request = queue::Request {
            arrival,
            queued_at: now,
            expiry: self.expiry(now, &arrival),
            sequence: self.sequence,
            tries: arrival.prior_tries,
            sent: arrival.prior_tries,
            excluded: paused_targets(known).map(str::to_owned).collect(),
            unknown_cause: None,
            weight: match self.by_value() {
                true => self.ledger.arrive(now, arrival.organisation),
                false => 1.0,
            },
        };
        match self.admit(now, &request, known) {
            Ok(()) => {
                if arrival.prior_tries > 0 {
                    self.budget.take_token(now);
                }
                self.queue.push(request);
            }
            Err(refusal) => actions.push(Action::Refuse {
                ticket: arrival.ticket,
                refusal,
            }),
        }
    }

    fn admit(
        &mut self,
        now: clock::Millis,
        request: &queue::Request,
        known: &[peer::KnownTarget],
    ) -> Result<(), refusal::Refusal> {
        let arrival = &request.arrival;
        let refuse = |cause, after| Err(refusal::Refusal::not_run(cause, after));
        if self.draining {
            return refuse(refusal::Cause::Draining, Some(clock::Millis::ZERO));
        }
        if let Some(left) = self.quarantine.remaining(now, arrival.fingerprint) {
            return refuse(refusal::Cause::Quarantined, Some(left));
        }
        if let Some(wait) = self.probation_wait(now, arrival.fingerprint) {
            return refuse(refusal::Cause::Quarantined, Some(wait));
        }
        if arrival.deadline <= now {
            return refuse(refusal::Cause::DeadlinePassed, None);
        }
        if self.concurrency(now) == 0.0 || (!self.by_value() && !self.may_probe(now, request)) {
            return refuse(refusal::Cause::NoTarget, Some(NO_TARGET_RETRY));
        }
        if let Some(pause) = self.pause_of_all(known) {
            return refuse(refusal::Cause::TargetShed, Some(retry_after(pause)));
        }
        let wait = self.expected_wait(now, arrival.tier);
        if self.by_value() {
            if let Some((check, after)) = self.failed_check(now, request) {
                self.count_refusal(now, request, check);
                return refuse(check.cause(), Some(retry_after(after)));
            }
        } else {
            let hold = self.mean_hold();
            if wait > clock::Millis::ZERO && now + wait + hold >= arrival.deadline {
                self.count_refusal(now, request, scarcity::Check::Wait);
                return refuse(refusal::Cause::DeadlineTooShort, Some(retry_after(wait)));
            }
        }
        // The request was sent by another home before, so it counts as a retry here too.
        if arrival.prior_tries > 0 && !self.budget.has_token(now, retry::Need::Low) {
            return refuse(refusal::Cause::TargetShed, Some(retry_after(wait)));
        }
        Ok(())
    }

    /// Returns whether a request may be admitted although the cell may defer to others: it then probes whether the
    /// targets have recovered, or goes to a target that must not be left without requests.
    fn may_probe(&self, now: clock::Millis, request: &queue::Request) -> bool {
        let is_probe = self.running.is_empty() && request.arrival.idempotent;
        is_probe || !self.defers(now) || self.underused_target(now, request).is_some()
    }

    /// Returns the mean hold time, which is the mean time that a request holds a slot; zero before the first answer.
    fn mean_hold(&self) -> clock::Millis {
        clock::Millis(self.mean_hold.unwrap_or_default() as u64)
    }

    /// Returns when to refuse a request that starts to wait now: its expected hold time before its deadline, but not
    /// before half of the remaining time has passed.
    fn expiry(&self, now: clock::Millis, arrival: &Arrival) -> clock::Millis {
        let hold = clock::Millis(self.work(arrival) as u64);
        let deadline = arrival.deadline;
        deadline - hold.min(clock::Millis((deadline - now).0 / 2))
    }

    /// Returns the expected wait of a new request of `tier`.
    fn expected_wait(&self, now: clock::Millis, tier: u8) -> clock::Millis {
        if self.by_value() {
            return self.wait_by_value(now, tier);
        }
        let ahead = self.queue.ahead(tier, now + self.mean_hold());
        if ahead == 0 && self.targets.values().any(|t| t.has_free_slot(now)) {
            return clock::Millis::ZERO;
        }
        let concurrency = self.concurrency(now).max(MIN_CONCURRENCY);
        let hold = self.mean_hold.unwrap_or_default();
        clock::Millis((hold * (ahead + 1) as f64 / concurrency).ceil() as u64)
    }

    /// Returns the number of requests that the targets can run at a time, by their slots and rate limits.
    fn concurrency(&self, now: clock::Millis) -> f64 {
        let hold = self.mean_hold();
        let of_targets = self.targets.values().map(|t| t.concurrency(now, hold));
        of_targets.sum()
    }

    /// Applies what a target states in its response to a request. A pause binds the request's entry alone, which sends
    /// it along with its requests.
    fn apply_statement(
        &mut self,
        now: clock::Millis,
        ticket: ids::Ticket,
        statement: peer::Statement,
        actions: &mut Vec<Action>,
    ) {
        let Some(run) = self.running.get(&ticket) else {
            return;
        };
        let name = run.target.clone();
        if let Some(target) = self.targets.get_mut(&name) {
            let limit = statement.limit;
            target.limiter.state_in_response(now, run.granted, limit);
            target.asked_pause = statement.pause;
        }
        if statement.leaving {
            self.mark_leaving(&name, actions);
        }
    }

    /// Applies what an entry knows of targets from their statements, apart from their pauses.
    fn apply_known(
        &mut self,
        now: clock::Millis,
        known: &[peer::KnownTarget],
        actions: &mut Vec<Action>,
    ) {
        for known in known {
            if let Some(limit) = known.limit
                && let Some(target) = self.targets.get_mut(&known.target)
            {
                let rate = peer::RateLimit::PerSecond(limit.rate);
                target.limiter.state(now, now - limit.age, rate);
            }
            if known.leaving {
                self.mark_leaving(&known.target, actions);
            }
        }
    }

    /// Returns the shortest pause if all targets that accept requests have one for the entry that knows `known`.
    fn pause_of_all(&self, known: &[peer::KnownTarget]) -> Option<clock::Millis> {
        let is_open = |(name, target): (&String, &target::Target)| {
            target.accepts_requests() && !paused_targets(known).any(|paused| paused == name)
        };
        if self.targets.iter().any(is_open) {
            return None;
        }
        let of_cell = known.iter().filter(|k| {
            let target = self.targets.get(&k.target);
            k.pause > clock::Millis::ZERO && target.is_some_and(target::Target::accepts_requests)
        });
        of_cell.map(|k| k.pause).min()
    }

    /// Leaves targets with a rate limit to the home that ranks first: several homes together would exceed it.
    fn apply_rank(&mut self, is_first: bool) {
        if self.is_first && !is_first {
            self.budget.drop_savings();
        }
        self.is_first = is_first;
        for target in self.targets.values_mut() {
            target.limiter.enforce_elsewhere(!is_first);
        }
    }

    /// Refuses the newest requests of the lowest tiers while the queue is longer than its limit.
    fn limit_queue(
        &mut self,
        now: clock::Millis,
        arrived: Option<ids::Ticket>,
        actions: &mut Vec<Action>,
    ) {
        let defers = self.defers(now);
        let limit = if defers { 0 } else { self.rules.queue };
        while self.queue.len() > limit {
            let wait = retry_after(self.expected_wait(now, u8::MAX));
            let first = match self.by_value() && !defers {
                true => self.first_to_leave(now).and_then(|t| self.queue.remove(t)),
                false => self.queue.pop_lowest(),
            };
            let Some(request) = first else {
                return;
            };
            let check = match defers {
                true => scarcity::Check::Trial,
                false => scarcity::Check::Queue,
            };
            self.count_refusal(now, &request, check);
            let cause = if defers {
                refusal::Cause::NoTarget
            } else if arrived == Some(request.arrival.ticket) {
                refusal::Cause::QueueFull
            } else {
                refusal::Cause::Displaced
            };
            actions.push(refuse(&request, cause, Some(wait)));
        }
    }

    fn drain(&mut self, actions: &mut Vec<Action>) {
        self.draining = true;
        let held: Vec<_> = self.held.iter().map(|(_, ticket)| *ticket).collect();
        let held = held.into_iter().filter_map(|t| self.free_slot(t));
        let mut returned: Vec<_> = held.map(|r| r.request).collect();
        while let Some(request) = self.queue.pop_lowest() {
            returned.push(request);
        }
        let at_once = Some(clock::Millis::ZERO);
        actions.extend(
            returned
                .iter()
                .map(|w| refuse(w, refusal::Cause::Draining, at_once)),
        );
        self.release_ejections(actions);
    }
}

fn refuse(request: &queue::Request, cause: refusal::Cause, after: Option<clock::Millis>) -> Action {
    Action::Refuse {
        ticket: request.arrival.ticket,
        refusal: request.refusal(cause, after),
    }
}

/// Returns the names of the targets that accept no requests from the entry that knows `known`.
fn paused_targets(known: &[peer::KnownTarget]) -> impl Iterator<Item = &str> {
    let paused = known.iter().filter(|k| k.pause > clock::Millis::ZERO);
    paused.map(|k| k.target.as_str())
}

fn retry_after(wait: clock::Millis) -> clock::Millis {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

fn as_count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
