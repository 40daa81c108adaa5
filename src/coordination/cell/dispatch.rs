//! Dispatch: chooses which waiting request gets a slot, at which target and when.

use std::cmp;

use crate::coordination::breadth;
use crate::coordination::cell;
use crate::coordination::evidence;
use crate::coordination::retry;
use crate::protocol::refusal;
use crate::state::clock;
use crate::state::ids;

use super::queue;
use super::target;
use super::{Cell, Phase, Running};

/// The most waiting requests that one search tries in order to find one that a free target accepts.
const SEARCH_DEPTH: usize = 16;

/// The longest time that a request waits for a normal target, or one with a lower failure probability, while another
/// target is free.
const MAX_TARGET_WAIT: clock::Millis = clock::Millis(1_000);

/// The failure probability above which a target runs one request at a time.
const SERIAL_PROBABILITY: f64 = 0.5;
/// The limit on a target's failure probability for a new request that can be resent; it rises while the request
/// waits. A high limit is acceptable because most requests that fail succeed on the next try.
const INITIAL_LIMIT: f64 = 0.7;
/// The same limit for a new request that has only one try.
const INITIAL_LIMIT_ONCE: f64 = 0.4;
/// While requests that can be resent are granted slots at least this often, those with one try are not sent to idle
/// targets above [`INITIAL_LIMIT_ONCE`]. Shorter than [`breadth::USE_SPAN`], so that either kind keeps the breadth.
const RESENDABLE_SPAN: clock::Millis = clock::Millis(300);
/// The shortest time over which the limit of a waiting request rises to 1.
const MIN_TARGET_WAIT: clock::Millis = clock::Millis(100);

/// How well a free target fits a request, by the most important criterion first; the target with the least value is
/// chosen.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Fit {
    /// Whether the request's fingerprint crashed another target and a request with such a fingerprint is running here.
    clash: bool,
    rank: Rank,
    /// The level of the target's failure probability.
    failure_level: usize,
    /// Whether only its last slot is free; targets tend to be slower when they are full.
    last_slot: bool,
    /// Whether it is in another failure domain than the entry that sends the request.
    remote: bool,
    score: f64,
    load: usize,
    last_grant: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// The request serves as the target's trial.
    Trial,
    /// The target is normal.
    Normal,
    /// The target is normal, and a request in flight there is slow or worse.
    Overdue,
    /// The target is avoided.
    Avoided,
}

impl Cell {
    /// Grants free slots to waiting requests. Once the queue is empty, moves requests that can be resent away from
    /// targets where they stall.
    pub(super) fn dispatch(&mut self, now: clock::Millis, actions: &mut Vec<cell::Action>) {
        while let Some((ticket, target, rank)) = self.next_grant(now) {
            let Some(request) = self.queue.remove(ticket) else {
                return;
            };
            self.count_delay(now, &request);
            self.grant(now, request, &target, rank == Rank::Trial, actions);
            self.update_late_share(now);
        }
        if self.queue.is_empty() {
            self.move_stalled(now, actions);
        }
    }

    /// Updates the estimates of the share of slots that is left for late requests after a grant.
    fn update_late_share(&mut self, now: clock::Millis) {
        let timely = match self.by_value() {
            true => self.highest_timely_by_value(now),
            false => self.queue.highest_timely(now + self.mean_hold()),
        };
        for tier in self.queue.tiers() {
            let share = self.late_share.entry(tier).or_insert(1.0);
            let left = if timely.is_some_and(|t| t <= tier) {
                0.0
            } else {
                1.0
            };
            *share += (left - *share) * super::LATE_SHARE_STEP;
        }
    }

    /// Returns whether the request would now get a slot at a normal target without slow requests, or at an underused
    /// target.
    pub(super) fn has_retry_slot(&self, now: clock::Millis, request: &queue::Request) -> bool {
        matches!(self.choose_target(now, request), Some((_, Rank::Normal)))
    }

    /// Grants the request a slot for a retry at once, at the target that [`Cell::has_retry_slot`] found.
    pub(super) fn grant_retry(
        &mut self,
        now: clock::Millis,
        request: queue::Request,
        actions: &mut Vec<cell::Action>,
    ) {
        if let Some((target, _)) = self.choose_target(now, &request) {
            self.budget.take_token(now);
            self.grant(now, request, &target, false, actions);
        }
    }

    fn next_grant(&self, now: clock::Millis) -> Option<(ids::Ticket, String, Rank)> {
        let free = |t: &target::Target| t.has_free_slot(now) || t.is_trial_due(now);
        if self.queue.is_empty() || !self.targets.values().any(free) {
            return None;
        }
        // Long bodies that no free target has room for do not keep the requests behind them from being searched.
        let has_room = |request: &&queue::Request| {
            let mut targets = self.targets.values();
            targets.any(|t| free(t) && t.has_room(request.arrival.body))
        };
        let ordered = match self.by_value() {
            true => self.ordered_by_value(now),
            false => self.queue.ordered(now + self.mean_hold()),
        };
        let mut searched = ordered.into_iter().filter(has_room).take(SEARCH_DEPTH);
        searched.find_map(|request| {
            let (target, rank) = self.choose_target(now, request)?;
            Some((request.arrival.ticket, target, rank))
        })
    }

    /// Returns the target for a request and its rank; absent if no target has a slot for the request now.
    fn choose_target(
        &self,
        now: clock::Millis,
        request: &queue::Request,
    ) -> Option<(String, Rank)> {
        if let Some(name) = self.underused_target(now, request) {
            return Some((name, Rank::Normal));
        }
        let limit = self.probability_limit(now, request);
        let fits = self.targets.iter().filter_map(|(name, target)| {
            let is_excluded =
                request.excluded.contains(name) || !target.has_room(request.arrival.body);
            if is_excluded || !self.is_acceptable(now, target, limit) {
                return None;
            }
            Some((self.fit(now, request, name, target)?, name))
        });
        let best = fits.min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(cmp::Ordering::Equal));
        best.map(|(fit, name)| (name.clone(), fit.rank))
    }

    /// Returns the free target that has been idle longest, among those that were added and have received no request yet
    /// and, if too few targets receive requests, all idle ones.
    ///
    /// A request with one try does not go to a target that is likely to fail while others can be resent.
    pub(super) fn underused_target(
        &self,
        now: clock::Millis,
        request: &queue::Request,
    ) -> Option<String> {
        if !self.rules.rank_by_failure {
            return None;
        }
        // A request that failed before goes to the target that is most likely to answer.
        let includes_idle = request.tries == 0 && self.usage(now).is_short(self.rules.breadth);
        let avoids_risk = !request.arrival.can_be_resent() && self.has_resendable_load(now);
        let is_idle = |t: &target::Target| {
            let is_risky = t.failure_model.probability(now) > INITIAL_LIMIT_ONCE;
            includes_idle && !t.is_used(now) && !(avoids_risk && is_risky)
        };
        let free = self.targets.iter();
        let free =
            free.filter(|(name, t)| t.has_free_slot(now) && !request.excluded.contains(name));
        let free = free.filter(|(_, t)| t.has_room(request.arrival.body));
        let underused = free.filter(|(_, t)| t.newcomer || is_idle(t));
        let longest_idle = underused.min_by_key(|(_, t)| t.idle_since());
        longest_idle.map(|(name, _)| name.clone())
    }

    /// Returns whether requests that can be resent arrive often enough to find out which idle targets have recovered.
    fn has_resendable_load(&self, now: clock::Millis) -> bool {
        now - self.last_resendable <= RESENDABLE_SPAN
    }

    /// Returns how many of the targets receive requests.
    pub fn usage(&self, now: clock::Millis) -> breadth::Usage {
        // A target that failed a moment ago has received requests, so it is not counted as idle capacity.
        let counted = || {
            let working = self.targets.values().filter(|t| t.accepts_requests());
            let working = working.filter(|t| {
                t.failed_at
                    .is_none_or(|at| now - at >= breadth::FAILED_SPAN)
            });
            // A target gets no more requests than its rate limit allows.
            working.filter(|t| t.limiter.allows(now) || t.is_used(now))
        };
        let longest_idle = counted().map(|t| now - t.last_used).max();
        breadth::Usage {
            counted: counted().count(),
            used: counted().filter(|t| t.is_used(now)).count(),
            longest_idle: longest_idle.unwrap_or_default(),
        }
    }

    /// Returns the least share of the targets that should receive requests, from 0 to 1; 0 if it is not enforced.
    pub fn required_breadth(&self) -> f64 {
        match self.rules.rank_by_failure {
            true => self.rules.breadth,
            false => 0.0,
        }
    }

    fn fit(
        &self,
        now: clock::Millis,
        request: &queue::Request,
        name: &str,
        target: &target::Target,
    ) -> Option<Fit> {
        let fingerprint = request.arrival.fingerprint;
        let crash_risk = self.crash_history.crashed_other(now, fingerprint, name);
        let rank = match target.is_trial_due(now) {
            true if request.may_be_trial() && !crash_risk => Rank::Trial,
            _ if !target.has_free_slot(now) => return None,
            _ if !target.is_normal() && self.avoided_allowed_at() > now => return None,
            _ if !target.is_normal() => Rank::Avoided,
            _ if target.overdue > 0 => Rank::Overdue,
            _ => Rank::Normal,
        };
        Some(Fit {
            clash: crash_risk && target.crash_risks > 0,
            rank,
            failure_level: match self.rules.rank_by_failure {
                true => target.failure_model.level(now),
                false => 0,
            },
            last_slot: target.busy + 1 >= target.usable_slots(now).max(2),
            remote: target.domain != request.arrival.origin,
            score: if rank == Rank::Avoided {
                target.score.value()
            } else {
                0.0
            },
            load: target.busy * 1_000 / target.usable_slots(now).max(1),
            last_grant: target.last_grant,
        })
    }

    /// Returns whether a target's failure probability is within `limit`. Above [`SERIAL_PROBABILITY`] the target must
    /// also be idle.
    fn is_acceptable(&self, now: clock::Millis, target: &target::Target, limit: f64) -> bool {
        if !self.rules.rank_by_failure {
            return true;
        }
        let probability = target.failure_model.probability(now);
        probability <= limit && (probability <= SERIAL_PROBABILITY || target.busy == 0)
    }

    /// Returns the highest failure probability that the request accepts now; infinity if all targets exceed it, since
    /// waiting would not help then.
    ///
    /// The limit is lower for requests that have one try than for requests that can be resent. A target that fails at
    /// once frees its slot at once, so without a limit it would attract all waiting requests under load. Therefore the
    /// limit rises to 1 only as the time that the request can wait runs out.
    fn probability_limit(&self, now: clock::Millis, request: &queue::Request) -> f64 {
        if !self.rules.rank_by_failure {
            return f64::INFINITY;
        }
        let initial = match request.arrival.can_be_resent() {
            true => INITIAL_LIMIT,
            false => INITIAL_LIMIT_ONCE,
        };
        let hold = self.mean_hold();
        let max_wait = (request.arrival.objective - hold) - request.queued_at;
        let max_wait = max_wait.clamp(MIN_TARGET_WAIT, MAX_TARGET_WAIT);
        let waited = (now - request.queued_at).0 as f64 / max_wait.0 as f64;
        let limit = initial + (1.0 - initial) * waited.min(1.0);
        let mut working = self.targets.values().filter(|t| t.accepts_requests());
        match working.any(|t| t.failure_model.probability(now) <= limit) {
            true => limit,
            false => f64::INFINITY,
        }
    }

    /// Returns when waiting requests may use targets that are avoided: once the oldest has waited for the mean hold
    /// time, or for [`MAX_TARGET_WAIT`] if that is shorter.
    ///
    /// By then a normal target is likely to have had a free slot, unless sustained load keeps all slots in use. Returns
    /// zero if no target is normal, since there is nothing to wait for, or if the cell is short of capacity, and [`clock::Millis::MAX`] if no request waits.
    pub(super) fn avoided_allowed_at(&self) -> clock::Millis {
        let normal = |t: &target::Target| t.is_normal() && !t.leaving;
        if self.is_short() || !self.targets.values().any(normal) {
            return clock::Millis::ZERO;
        }
        let hold = clock::Millis(self.mean_hold.unwrap_or_default().ceil() as u64);
        let oldest = self.queue.oldest();
        oldest.map_or(clock::Millis::MAX, |since| {
            since + hold.min(MAX_TARGET_WAIT)
        })
    }

    fn grant(
        &mut self,
        now: clock::Millis,
        mut request: queue::Request,
        name: &str,
        trial: bool,
        actions: &mut Vec<cell::Action>,
    ) {
        let arrival = request.arrival;
        let crash_risk = self
            .crash_history
            .crashed_other(now, arrival.fingerprint, name);
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        self.sequence += 1;
        target.last_grant = self.sequence;
        target.last_used = now;
        target.limiter.take(now);
        target.newcomer = false;
        target.busy += 1;
        target.body_bytes += arrival.body;
        target.crash_risks += usize::from(crash_risk);
        if trial {
            target.trial.start_trial();
        }
        let others = self.targets.iter_mut().filter(|(n, _)| *n != name);
        for (_, other) in others.filter(|(_, t)| !t.is_normal()) {
            other.trial.count_other_request();
        }
        if request.tries == 0 {
            self.count_served(now, &arrival);
            self.budget.add_first_try(now);
            if arrival.can_be_resent() {
                self.last_resendable = now;
            }
        }
        request.tries += 1;
        request.sent += 1;
        let running = Running {
            request,
            target: name.to_owned(),
            granted: now,
            phase: Phase::Held,
            class: evidence::Class::Good,
            added: 0.0,
            due: clock::Millis::MAX,
            overdue: false,
            trial,
            crash_risk,
        };
        self.running.insert(arrival.ticket, running);
        self.held.insert((arrival.deadline, arrival.ticket));
        actions.push(cell::Action::Grant {
            ticket: arrival.ticket,
            target: name.to_owned(),
        });
    }

    /// Moves requests that can be resent from targets where they stall to other targets with a free slot, if there is
    /// time for another run.
    fn move_stalled(&mut self, now: clock::Millis, actions: &mut Vec<cell::Action>) {
        let stalled: Vec<_> = self.stalled.iter().copied().collect();
        for ticket in stalled {
            self.move_stalled_request(now, ticket, actions);
        }
    }

    fn move_stalled_request(
        &mut self,
        now: clock::Millis,
        ticket: ids::Ticket,
        actions: &mut Vec<cell::Action>,
    ) {
        let Some(run) = self.running.get(&ticket) else {
            return;
        };
        let Phase::Sent(sent) = run.phase else {
            return;
        };
        let name = run.target.clone();
        let mut request = run.request.clone();
        request.excluded.push(name.clone());
        request.unknown_cause = Some(refusal::Cause::TargetTimeout);
        let in_time = now + self.mean_hold() < request.arrival.deadline;
        if in_time
            && self.has_try_left(now, &request)
            && self.has_retry_slot(now, &request)
            // It may still be answered, so that it does not compete with requests that failed.
            && self.budget.has_token(now, retry::Need::Low)
        {
            self.abandon(now, ticket);
            if let Some(target) = self.targets.get_mut(&name) {
                target.evidence.record_unfinished(now - sent);
            }
            actions.push(cell::Action::Abandon { ticket });
            self.grant_retry(now, request, actions);
        }
    }
}
