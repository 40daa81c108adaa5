//! Handles the outcomes of tries: retries, and the slots of requests that ended or were abandoned.

use crate::coordination::cell;
use crate::coordination::evidence;
use crate::coordination::quarantine;
use crate::coordination::retry;
use crate::protocol::refusal;
use crate::state::clock;
use crate::state::ids;
use crate::state::timeline;

use super::queue;
use super::target;
use super::{Cell, Phase, Running};

/// The shortest time that the slot of an abandoned request stays in use.
const MIN_LINGER: clock::Millis = clock::Millis(20);
/// The longest time that the slot of an abandoned request stays in use.
const MAX_LINGER: clock::Millis = clock::Millis(2_000);
/// The time between the turns of two cells to run a request on probation.
const TRIAL_INTERVAL: clock::Millis = clock::Millis(1_000);

impl Cell {
    /// Records that a granted request is being sent, and starts the timer of its age.
    pub(super) fn mark_sent(&mut self, now: clock::Millis, ticket: ids::Ticket) {
        let Some(run) = self.running.get_mut(&ticket) else {
            return;
        };
        if run.phase != Phase::Held {
            return;
        }
        run.phase = Phase::Sent(now);
        self.held.remove(&(run.request.arrival.deadline, ticket));
        self.start_timer(now, ticket);
    }

    /// Handles the outcome of a try.
    pub(super) fn end_try(
        &mut self,
        now: clock::Millis,
        ticket: ids::Ticket,
        outcome: cell::Outcome,
        actions: &mut Vec<cell::Action>,
    ) {
        let known = self.running.get(&ticket);
        if known.is_none_or(|r| r.phase == Phase::Answering) {
            return;
        }
        if let Some(run) = known
            && let Some(target) = self.targets.get_mut(&run.target)
        {
            target.record_outcome(now, outcome);
        }
        match outcome {
            cell::Outcome::Answered => self.handle_answer(now, ticket, actions),
            cell::Outcome::Failed => self.handle_failure(now, ticket, actions),
            cell::Outcome::Expired => self.handle_expiry(ticket, actions),
            cell::Outcome::Shed => self.handle_shed(now, ticket, false, actions),
            cell::Outcome::NotRun => self.handle_shed(now, ticket, true, actions),
            cell::Outcome::Misplaced => self.handle_misplaced(now, ticket, actions),
            cell::Outcome::Unlisted | cell::Outcome::Unreachable => {
                self.handle_unused(now, ticket, actions);
            }
            cell::Outcome::Withdrawn => drop(self.free_slot(ticket)),
            cell::Outcome::ConnectFailed => self.handle_connect_failure(now, ticket, actions),
            cell::Outcome::Broken => self.handle_break(now, ticket, actions),
            cell::Outcome::TimedOut => {
                self.abandon(now, ticket);
                actions.push(cell::Action::GiveUp { ticket });
            }
        }
    }

    /// Frees the slot of a request whose response has ended, or cancels the request if no response was received.
    pub(super) fn end_response(&mut self, now: clock::Millis, ticket: ids::Ticket) {
        match self.running.get(&ticket).map(|r| r.phase) {
            Some(Phase::Answering) => {
                self.complete(now, ticket);
            }
            Some(Phase::Held | Phase::Sent(_)) => self.cancel(now, ticket),
            None => {}
        }
    }

    /// Removes a request whose caller disconnected.
    pub(super) fn cancel(&mut self, now: clock::Millis, ticket: ids::Ticket) {
        self.queue.remove(ticket);
        match self.running.get(&ticket).map(|r| r.phase) {
            Some(Phase::Held) => {
                self.free_slot(ticket);
            }
            Some(Phase::Sent(_) | Phase::Answering) => self.abandon(now, ticket),
            None => {}
        }
    }

    /// Removes a request that holds a slot, and frees the slot.
    pub(super) fn free_slot(&mut self, ticket: ids::Ticket) -> Option<Running> {
        let run = self.remove_running(ticket)?;
        if let Some(target) = self.targets.get_mut(&run.target) {
            target.busy -= 1;
            target.body_bytes -= run.request.arrival.body;
        }
        Some(run)
    }

    /// Removes a request that its target may still be running. The slot stays in use for the target's slow limit,
    /// between [`MIN_LINGER`] and [`MAX_LINGER`].
    pub(super) fn abandon(&mut self, now: clock::Millis, ticket: ids::Ticket) {
        let Some(run) = self.remove_running(ticket) else {
            return;
        };
        let slow = self.reference(now, &run.target).limits.slow;
        let until = now + slow.clamp(MIN_LINGER, MAX_LINGER);
        self.sequence += 1;
        let body = run.request.arrival.body;
        self.lingering
            .insert((until, self.sequence, run.target, body));
    }

    /// Removes a request from all tables but leaves its slot in use.
    fn remove_running(&mut self, ticket: ids::Ticket) -> Option<Running> {
        let run = self.running.remove(&ticket)?;
        self.remove_timers(ticket, &run);
        self.held.remove(&(run.request.arrival.deadline, ticket));
        if let Some(target) = self.targets.get_mut(&run.target) {
            target.crash_risks -= usize::from(run.crash_risk);
            if run.trial {
                target.trial.end_trial();
            }
        }
        Some(run)
    }

    /// Frees the slot of a try that ended, and updates the mean time that slots are held.
    fn complete(&mut self, now: clock::Millis, ticket: ids::Ticket) -> Option<Running> {
        let run = self.free_slot(ticket)?;
        self.record_work(now, &run);
        let took = (now - run.granted).0 as f64;
        let mean = self.mean_hold.unwrap_or(took);
        self.mean_hold = Some(mean + (took - mean) * super::HOLD_STEP);
        Some(run)
    }

    fn handle_answer(
        &mut self,
        now: clock::Millis,
        ticket: ids::Ticket,
        actions: &mut Vec<cell::Action>,
    ) {
        let Some(run) = self.stop_timer(ticket) else {
            return;
        };
        let name = run.target.clone();
        let class = run.class;
        let fingerprint = run.request.arrival.fingerprint;
        let phase = std::mem::replace(&mut run.phase, Phase::Answering);
        self.end_trial(ticket);
        let Phase::Sent(at) = phase else {
            return;
        };
        self.crash_history.record_answer(fingerprint);
        if self.quarantine.end_probation(now, fingerprint) {
            actions.push(cell::Action::EndProbation { fingerprint });
        }
        if let Some(target) = self.targets.get_mut(&name) {
            target.evidence.record_time(now - at);
            target.record_answer();
        }
        if class == evidence::Class::Good {
            self.score_request(now, &name, class, 0.0, actions);
        }
    }

    fn handle_failure(
        &mut self,
        now: clock::Millis,
        ticket: ids::Ticket,
        actions: &mut Vec<cell::Action>,
    ) {
        let Some(run) = self.stop_timer(ticket) else {
            return;
        };
        run.phase = Phase::Answering;
        let name = run.target.clone();
        let added = run.added;
        let mut request = run.request.clone();
        self.score_request(now, &name, evidence::Class::Failed, added, actions);
        self.end_trial(ticket);
        request.excluded.push(name);
        request.unknown_cause = Some(refusal::Cause::TargetBroke);
        if self.may_repeat(now, &request)
            && self.has_retry_slot(now, &request)
            && self.has_token(now, &request)
        {
            self.complete(now, ticket);
            self.grant_retry(now, request, actions);
        } else {
            actions.push(cell::Action::GiveUp { ticket });
        }
    }

    /// Ends a request that its target gave up at the deadline. A long run is no evidence against the target, and no
    /// time is left for another try.
    fn handle_expiry(&mut self, ticket: ids::Ticket, actions: &mut Vec<cell::Action>) {
        let Some(run) = self.stop_timer(ticket) else {
            return;
        };
        run.phase = Phase::Answering;
        self.end_trial(ticket);
        actions.push(cell::Action::GiveUp { ticket });
    }

    /// Handles a request that its target refused. If the target proves that the request did not run (`not_run`), any
    /// request may be retried.
    fn handle_shed(
        &mut self,
        now: clock::Millis,
        ticket: ids::Ticket,
        not_run: bool,
        actions: &mut Vec<cell::Action>,
    ) {
        let Some(run) = self.free_slot(ticket) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(&run.target) {
            target.pause_after_shed(now);
        }
        let mut request = run.request;
        request.excluded.push(run.target);
        let repeatable = request.arrival.replayable && (not_run || request.arrival.idempotent);
        let retry = repeatable && self.has_try_left(now, &request);
        let retry = retry && self.has_queue_room() && self.has_token(now, &request);
        self.retry_or_give_up(now, request, retry, actions);
    }

    /// Handles a request that reached another target, which now has the address. The target is marked as leaving.
    fn handle_misplaced(
        &mut self,
        now: clock::Millis,
        ticket: ids::Ticket,
        actions: &mut Vec<cell::Action>,
    ) {
        if let Some(run) = self.running.get(&ticket) {
            let name = run.target.clone();
            self.mark_leaving(&name, actions);
        }
        self.handle_shed(now, ticket, true, actions);
    }

    /// Handles a request whose entry knows from a newer update that the target is gone, or found no path to it. Nothing
    /// was sent, so this is no evidence against the target.
    fn handle_unused(
        &mut self,
        now: clock::Millis,
        ticket: ids::Ticket,
        actions: &mut Vec<cell::Action>,
    ) {
        if let Some(run) = self.free_slot(ticket) {
            self.retry_unsent(now, run, actions);
        }
    }

    fn handle_connect_failure(
        &mut self,
        now: clock::Millis,
        ticket: ids::Ticket,
        actions: &mut Vec<cell::Action>,
    ) {
        let Some(run) = self.free_slot(ticket) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(&run.target) {
            target.pause_after_connect_failure(now);
        }
        let class = evidence::Class::Failed;
        self.score_request(now, &run.target, class, run.added, actions);
        self.retry_unsent(now, run, actions);
    }

    /// Retries a request of which nothing was sent. The retry is no second run and adds no load to any target, so it
    /// takes no token of the retry budget.
    fn retry_unsent(&mut self, now: clock::Millis, run: Running, actions: &mut Vec<cell::Action>) {
        let mut request = run.request;
        request.excluded.push(run.target);
        request.sent -= 1;
        let retry = self.has_try_left(now, &request) && self.has_queue_room();
        self.enqueue_or_give_up(now, request, retry, actions);
    }

    fn handle_break(
        &mut self,
        now: clock::Millis,
        ticket: ids::Ticket,
        actions: &mut Vec<cell::Action>,
    ) {
        let Some(run) = self.running.get(&ticket) else {
            return;
        };
        let name = run.target.clone();
        let added = run.added;
        let crash_risk = run.crash_risk;
        let fingerprint = run.request.arrival.fingerprint;
        let target = self.targets.get_mut(&name);
        let kind = target.map_or(target::BreakKind::Further, |t| t.classify_break(now));
        let Some(run) = self.free_slot(ticket) else {
            return;
        };
        if kind == target::BreakKind::First {
            self.score_request(now, &name, evidence::Class::Failed, added, actions);
        }
        // A crash that another request explains is not counted against this one. Targets are ranked by failure
        // probability where they often break the connections of harmless requests.
        let counts = crash_risk || kind != target::BreakKind::Explained;
        let broken = quarantine::Break {
            fingerprint,
            target: &name,
            granted: run.granted,
            repeated: run.request.unknown_cause == Some(refusal::Cause::TargetBroke),
            noisy: self.rules.rank_by_failure,
        };
        let is_suspect = counts && self.crash_history.record_crash(now, broken);
        let is_on_probation = self.quarantine.probation(now, fingerprint).is_some();
        if is_suspect || counts && is_on_probation {
            self.start_quarantine(now, fingerprint, actions);
        }
        let quarantined = self.quarantine.remaining(now, fingerprint).is_some();
        let mut request = run.request;
        request.excluded.push(name);
        let retry = !quarantined && self.may_repeat(now, &request);
        let retry = retry && self.has_queue_room() && self.has_token(now, &request);
        if retry {
            request.unknown_cause = Some(refusal::Cause::TargetBroke);
        }
        self.retry_or_give_up(now, request, retry, actions);
    }

    /// Quarantines, in the whole fleet, a fingerprint whose requests crashed targets, unless it is quarantined already.
    fn start_quarantine(
        &mut self,
        now: clock::Millis,
        fingerprint: ids::Fingerprint,
        actions: &mut Vec<cell::Action>,
    ) {
        if self.quarantine.remaining(now, fingerprint).is_some() {
            return;
        }
        let span = self.quarantine.next_span(now, fingerprint);
        let targets = self.crash_history.targets(fingerprint).join(", ");
        actions.push(cell::Action::Quarantine { fingerprint, span });
        actions.push(cell::Action::Record {
            kind: timeline::Kind::Quarantined,
            target: String::new(),
            detail: format!("fingerprint {fingerprint} crashed {targets}; refused for {span}"),
        });
        self.apply_quarantine(now, fingerprint, span, actions);
    }

    /// Returns how long a request with a fingerprint on probation has to wait, or `None` if it may run now.
    ///
    /// The service's cells take turns, so that a request that still crashes targets does not crash one in each cell.
    pub(super) fn probation_wait(
        &self,
        now: clock::Millis,
        fingerprint: ids::Fingerprint,
    ) -> Option<clock::Millis> {
        let since = self.quarantine.probation(now, fingerprint)?;
        let before = self.other_cells.keys().filter(|id| **id < self.id).count();
        let turn = since + clock::Millis(TRIAL_INTERVAL.0 * before as u64);
        if turn > now {
            return Some(turn - now);
        }
        let matches = |arrival: &cell::Arrival| arrival.fingerprint == fingerprint;
        let is_running = self.running.values().any(|r| matches(&r.request.arrival));
        let is_waiting = self.queue.iter().any(|w| matches(&w.arrival));
        (is_running || is_waiting).then_some(TRIAL_INTERVAL)
    }

    /// Refuses requests with a quarantined fingerprint for `span`, including those in the queue.
    pub(super) fn apply_quarantine(
        &mut self,
        now: clock::Millis,
        fingerprint: ids::Fingerprint,
        span: clock::Millis,
        actions: &mut Vec<cell::Action>,
    ) {
        self.quarantine.insert(now, fingerprint, span);
        let left = self.quarantine.remaining(now, fingerprint);
        let matches = |w: &&queue::Request| w.arrival.fingerprint == fingerprint;
        let waiting: Vec<_> = self.queue.iter().filter(matches).collect();
        let waiting: Vec<_> = waiting.iter().map(|w| w.arrival.ticket).collect();
        for request in waiting.iter().filter_map(|t| self.queue.remove(*t)) {
            actions.push(super::refuse(&request, refusal::Cause::Quarantined, left));
        }
    }

    /// Queues a request for a retry, which takes a token of the retry budget, or gives it up.
    fn retry_or_give_up(
        &mut self,
        now: clock::Millis,
        request: queue::Request,
        retry: bool,
        actions: &mut Vec<cell::Action>,
    ) {
        if retry {
            self.budget.take_token(now);
        }
        self.enqueue_or_give_up(now, request, retry, actions);
    }

    /// Puts a request back into the queue, or gives it up.
    fn enqueue_or_give_up(
        &mut self,
        now: clock::Millis,
        mut request: queue::Request,
        retry: bool,
        actions: &mut Vec<cell::Action>,
    ) {
        request.queued_at = now;
        request.expiry = self.expiry(now, &request.arrival);
        match retry {
            true => self.queue.push(request),
            false => actions.push(give_up(&request)),
        }
    }

    /// Returns whether a request that may have run, or whose body was sent, may be tried again.
    fn may_repeat(&self, now: clock::Millis, request: &queue::Request) -> bool {
        request.arrival.can_be_resent() && self.has_try_left(now, request)
    }

    /// Returns whether a retry of a failed request can be paid for, ahead of requests that lose less without one.
    fn has_token(&mut self, now: clock::Millis, request: &queue::Request) -> bool {
        let arrival = &request.arrival;
        let is_last_chance = !arrival.idempotent;
        let lowest_tier = self.late_share.keys().next_back();
        let is_higher = lowest_tier.is_some_and(|lowest| arrival.tier < *lowest);
        let is_in_time = now + self.mean_hold() < arrival.objective;
        let need = match is_in_time && (is_last_chance || is_higher) {
            true => retry::Need::High,
            false => retry::Need::Low,
        };
        self.budget.has_token(now, need)
    }

    /// Returns whether the queue has room for a retry.
    fn has_queue_room(&self) -> bool {
        self.queue.len() < self.rules.queue
    }

    /// Returns whether the request has tries and time left, and a target that it has not been sent to.
    pub(super) fn has_try_left(&self, now: clock::Millis, request: &queue::Request) -> bool {
        let untried = |(name, target): (&String, &target::Target)| {
            target.accepts_requests() && !request.excluded.contains(name)
        };
        !self.draining
            && now < request.arrival.deadline
            && self.budget.allows_retry(request.tries)
            && request.sent < request.arrival.max_tries
            && self.targets.iter().any(untried)
    }

    /// Ends the trial of a request whose outcome is known.
    fn end_trial(&mut self, ticket: ids::Ticket) {
        let Some(run) = self.running.get_mut(&ticket) else {
            return;
        };
        if !std::mem::take(&mut run.trial) {
            return;
        }
        if let Some(target) = self.targets.get_mut(&run.target) {
            target.trial.end_trial();
        }
    }
}

/// Ends a request whose last try failed. The outcome of that try is reported to the caller, unless an earlier try may
/// have run: then the outcome is unknown.
fn give_up(request: &queue::Request) -> cell::Action {
    let ticket = request.arrival.ticket;
    match request.unknown_cause {
        Some(cause) => cell::Action::Refuse {
            ticket,
            refusal: refusal::Refusal::unknown(cause),
        },
        None => cell::Action::GiveUp { ticket },
    }
}
