//! Takes tries back: outcomes, retries, and the slots of requests that ended or were abandoned.

use crate::coordination::cell;
use crate::coordination::evidence;
use crate::coordination::quarantine;
use crate::protocol::refusal;
use crate::state::clock;
use crate::state::ids;
use crate::state::timeline;

use super::queue;
use super::target;
use super::{Cell, Phase, Running};

/// The shortest time that the slot of an abandoned request stays taken.
const LEAST_LINGER: clock::Millis = clock::Millis(20);
/// The longest time that the slot of an abandoned request stays taken.
const MOST_LINGER: clock::Millis = clock::Millis(2_000);

impl Cell {
    /// Notes that a granted request is being sent.
    pub(super) fn sent(&mut self, now: clock::Millis, ticket: ids::Ticket) {
        let Some(run) = self.running.get_mut(&ticket) else {
            return;
        };
        if run.phase != Phase::Held {
            return;
        }
        run.phase = Phase::Sent(now);
        self.held.remove(&(run.work.arrival.deadline, ticket));
        self.watch(now, ticket);
    }

    /// Takes the outcome of a try.
    pub(super) fn done(
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
            target.took(now, outcome);
        }
        if outcome == cell::Outcome::Answered {
            self.breadth.count(now, false);
        }
        match outcome {
            cell::Outcome::Answered => self.answered(now, ticket, actions),
            cell::Outcome::Failed => self.failed(now, ticket, actions),
            cell::Outcome::Expired => self.expired(ticket, actions),
            cell::Outcome::Shed => self.shed(now, ticket, false, actions),
            cell::Outcome::NotRun => self.shed(now, ticket, true, actions),
            cell::Outcome::Misplaced => self.misplaced(now, ticket, actions),
            cell::Outcome::Unlisted => self.unlisted(now, ticket, actions),
            cell::Outcome::Withdrawn => drop(self.free(ticket)),
            cell::Outcome::ConnectFailed => self.unconnected(now, ticket, actions),
            cell::Outcome::Broken => self.broken(now, ticket, actions),
            cell::Outcome::TimedOut => {
                self.abandon(now, ticket);
                actions.push(cell::Action::GiveUp { ticket });
            }
        }
    }

    /// Frees the slot of a request whose answer has ended.
    pub(super) fn release(&mut self, now: clock::Millis, ticket: ids::Ticket) {
        match self.running.get(&ticket).map(|r| r.phase) {
            Some(Phase::Answering) => {
                self.finish(now, ticket);
            }
            Some(Phase::Held | Phase::Sent(_)) => self.cancel(now, ticket),
            None => {}
        }
    }

    /// Forgets a request whose caller left.
    pub(super) fn cancel(&mut self, now: clock::Millis, ticket: ids::Ticket) {
        self.queue.remove(ticket);
        match self.running.get(&ticket).map(|r| r.phase) {
            Some(Phase::Held) => {
                self.free(ticket);
            }
            Some(Phase::Sent(_) | Phase::Answering) => self.abandon(now, ticket),
            None => {}
        }
    }

    /// Takes a request out whose slot is free from now on.
    pub(super) fn free(&mut self, ticket: ids::Ticket) -> Option<Running> {
        let run = self.detach(ticket)?;
        if let Some(target) = self.targets.get_mut(&run.target) {
            target.busy -= 1;
        }
        Some(run)
    }

    /// Takes a request out that its target may still be working on: the slot stays taken for a while.
    pub(super) fn abandon(&mut self, now: clock::Millis, ticket: ids::Ticket) {
        let Some(run) = self.detach(ticket) else {
            return;
        };
        let slow = self.reference(now, &run.target).limits.slow;
        let until = now + slow.clamp(LEAST_LINGER, MOST_LINGER);
        self.count += 1;
        self.lingering.insert((until, self.count, run.target));
    }

    /// Takes a request out of all tables, and leaves its slot taken.
    fn detach(&mut self, ticket: ids::Ticket) -> Option<Running> {
        let run = self.running.remove(&ticket)?;
        self.unwatch(ticket, &run);
        self.held.remove(&(run.work.arrival.deadline, ticket));
        if let Some(target) = self.targets.get_mut(&run.target) {
            target.suspects -= usize::from(run.suspect);
            if run.trial {
                target.trial.end();
            }
        }
        Some(run)
    }

    /// Frees the slot of a try that ended by itself, and learns how long it was held.
    fn finish(&mut self, now: clock::Millis, ticket: ids::Ticket) -> Option<Running> {
        let run = self.free(ticket)?;
        let took = (now - run.granted).0 as f64;
        let mean = self.hold.unwrap_or(took);
        self.hold = Some(mean + (took - mean) * super::HOLD_STEP);
        Some(run)
    }

    fn answered(
        &mut self,
        now: clock::Millis,
        ticket: ids::Ticket,
        actions: &mut Vec<cell::Action>,
    ) {
        let Some(run) = self.end_watch(ticket) else {
            return;
        };
        let name = run.target.clone();
        let class = run.class;
        let print = run.work.arrival.fingerprint;
        let phase = std::mem::replace(&mut run.phase, Phase::Answering);
        self.end_trial(ticket);
        let Phase::Sent(at) = phase else {
            return;
        };
        self.strikes.clear(print);
        if let Some(target) = self.targets.get_mut(&name) {
            target.evidence.time(now - at);
            target.answered();
        }
        if class == evidence::Class::Good {
            self.judge(now, &name, class, 0.0, actions);
        }
    }

    fn failed(&mut self, now: clock::Millis, ticket: ids::Ticket, actions: &mut Vec<cell::Action>) {
        let Some(run) = self.end_watch(ticket) else {
            return;
        };
        run.phase = Phase::Answering;
        let name = run.target.clone();
        let added = run.added;
        let mut work = run.work.clone();
        self.judge(now, &name, evidence::Class::Failed, added, actions);
        self.end_trial(ticket);
        work.excluded.push(name);
        work.lost = Some(refusal::Cause::TargetBroke);
        if self.may_rerun(now, &work) && self.budget.funded() && self.has_room(now, &work) {
            self.finish(now, ticket);
            self.regrant(now, work, actions);
        } else {
            actions.push(cell::Action::GiveUp { ticket });
        }
    }

    /// Ends a request whose target gave it up at the deadline. That the work was long is no evidence, and no try is left.
    fn expired(&mut self, ticket: ids::Ticket, actions: &mut Vec<cell::Action>) {
        let Some(run) = self.end_watch(ticket) else {
            return;
        };
        run.phase = Phase::Answering;
        self.end_trial(ticket);
        actions.push(cell::Action::GiveUp { ticket });
    }

    /// Takes a request back that its target refused undone; where that is `proven`, any request may be tried again.
    fn shed(
        &mut self,
        now: clock::Millis,
        ticket: ids::Ticket,
        proven: bool,
        actions: &mut Vec<cell::Action>,
    ) {
        let Some(run) = self.free(ticket) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(&run.target) {
            target.pause_shedding(now);
        }
        let mut work = run.work;
        work.excluded.push(run.target);
        let repeatable = work.arrival.replayable && (proven || work.arrival.idempotent);
        let again = repeatable && self.may_retry(now, &work);
        let again = again && self.budget.funded() && self.holds_more();
        self.requeue(now, work, again, actions);
    }

    /// Takes a request back whose target has left its address to another one.
    fn misplaced(
        &mut self,
        now: clock::Millis,
        ticket: ids::Ticket,
        actions: &mut Vec<cell::Action>,
    ) {
        if let Some(run) = self.running.get(&ticket)
            && let Some(target) = self.targets.get_mut(&run.target)
        {
            target.leaving = true;
            target.ejection.clear();
        }
        self.shed(now, ticket, true, actions);
    }

    /// Takes a request back whose entry knows better of the target; nothing was sent, and nothing speaks against it.
    fn unlisted(
        &mut self,
        now: clock::Millis,
        ticket: ids::Ticket,
        actions: &mut Vec<cell::Action>,
    ) {
        if let Some(run) = self.free(ticket) {
            self.retry_unsent(now, run, actions);
        }
    }

    fn unconnected(
        &mut self,
        now: clock::Millis,
        ticket: ids::Ticket,
        actions: &mut Vec<cell::Action>,
    ) {
        let Some(run) = self.free(ticket) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(&run.target) {
            target.pause_unconnected(now);
        }
        let class = evidence::Class::Failed;
        self.judge(now, &run.target, class, run.added, actions);
        self.retry_unsent(now, run, actions);
    }

    /// Tries a request elsewhere of which nothing was sent: that is no second run, and no load on any target.
    fn retry_unsent(&mut self, now: clock::Millis, run: Running, actions: &mut Vec<cell::Action>) {
        let mut work = run.work;
        work.excluded.push(run.target);
        work.sent -= 1;
        let again = self.may_retry(now, &work) && self.holds_more();
        self.put_back(now, work, again, actions);
    }

    fn broken(&mut self, now: clock::Millis, ticket: ids::Ticket, actions: &mut Vec<cell::Action>) {
        let Some(run) = self.running.get(&ticket) else {
            return;
        };
        let name = run.target.clone();
        let added = run.added;
        let suspect = run.suspect;
        let print = run.work.arrival.fingerprint;
        let target = self.targets.get_mut(&name);
        let blame = target.map_or(target::Blame::Same, |t| t.crashed(now));
        let Some(run) = self.free(ticket) else {
            return;
        };
        if blame == target::Blame::Open {
            self.judge(now, &name, evidence::Class::Failed, added, actions);
        }
        let struck = suspect || blame != target::Blame::Request;
        let guilty = struck
            && self
                .strikes
                .record_crash(now, print, &name, self.rules.soundness);
        if guilty {
            self.convict(now, print, actions);
        }
        let mut work = run.work;
        work.excluded.push(name);
        let again = !guilty && self.may_rerun(now, &work);
        let again = again && self.budget.funded() && self.holds_more();
        if again {
            work.lost = Some(refusal::Cause::TargetBroke);
        }
        self.requeue(now, work, again, actions);
    }

    /// Quarantines a fingerprint in the whole fleet.
    fn convict(
        &mut self,
        now: clock::Millis,
        fingerprint: ids::Fingerprint,
        actions: &mut Vec<cell::Action>,
    ) {
        let span = quarantine::SPAN;
        actions.push(cell::Action::Quarantine { fingerprint, span });
        actions.push(cell::Action::Record {
            kind: timeline::Kind::Quarantined,
            target: String::new(),
            detail: format!("fingerprint {:016x} crashed targets", fingerprint.0),
        });
        self.quarantine(now, fingerprint, span, actions);
    }

    /// Refuses requests of a fingerprint that crashed targets, those in the queue among them.
    pub(super) fn quarantine(
        &mut self,
        now: clock::Millis,
        fingerprint: ids::Fingerprint,
        span: clock::Millis,
        actions: &mut Vec<cell::Action>,
    ) {
        self.quarantine.insert(now, fingerprint, span);
        let left = self.quarantine.remaining(now, fingerprint);
        let of_print = |w: &&queue::Waiting| w.arrival.fingerprint == fingerprint;
        let waiting: Vec<_> = self.queue.iter().filter(of_print).collect();
        let waiting: Vec<_> = waiting.iter().map(|w| w.arrival.ticket).collect();
        for work in waiting.iter().filter_map(|t| self.queue.remove(*t)) {
            actions.push(super::refuse(&work, refusal::Cause::Quarantined, left));
        }
    }

    /// Puts a request back for another try, or gives it up.
    fn requeue(
        &mut self,
        now: clock::Millis,
        work: queue::Waiting,
        again: bool,
        actions: &mut Vec<cell::Action>,
    ) {
        if again {
            self.budget.spend();
        }
        self.put_back(now, work, again, actions);
    }

    /// Puts a request back into the queue, or gives it up.
    fn put_back(
        &mut self,
        now: clock::Millis,
        mut work: queue::Waiting,
        again: bool,
        actions: &mut Vec<cell::Action>,
    ) {
        work.since = now;
        work.expiry = self.expiry(now, work.arrival.deadline);
        match again {
            true => self.queue.push(work),
            false => actions.push(give_up(&work)),
        }
    }

    /// Returns whether a request that may have run, or whose body was sent, may be tried again.
    fn may_rerun(&self, now: clock::Millis, work: &queue::Waiting) -> bool {
        work.arrival.is_repeatable() && self.may_retry(now, work)
    }

    /// Returns whether the queue has room for a retry.
    fn holds_more(&self) -> bool {
        self.queue.len() < self.rules.queue
    }

    /// Returns whether tries and time are left, and a target that was not tried.
    pub(super) fn may_retry(&self, now: clock::Millis, work: &queue::Waiting) -> bool {
        let untried = |(name, target): (&String, &target::Target)| {
            target.takes_work() && !work.excluded.contains(name)
        };
        !self.draining
            && now < work.arrival.deadline
            && self.budget.allows(work.tries)
            && work.sent < work.arrival.max_tries
            && self.targets.iter().any(untried)
    }

    /// Ends the trial that a request is, once its outcome is known.
    fn end_trial(&mut self, ticket: ids::Ticket) {
        let Some(run) = self.running.get_mut(&ticket) else {
            return;
        };
        if !std::mem::take(&mut run.trial) {
            return;
        }
        if let Some(target) = self.targets.get_mut(&run.target) {
            target.trial.end();
        }
    }
}

/// Ends a request whose last try failed: what that try showed is passed on, unless an earlier one may have run.
fn give_up(work: &queue::Waiting) -> cell::Action {
    let ticket = work.arrival.ticket;
    match work.lost {
        Some(lost) => cell::Action::Refuse {
            ticket,
            refusal: refusal::Refusal::unknown(lost),
        },
        None => cell::Action::GiveUp { ticket },
    }
}
