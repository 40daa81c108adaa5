//! Does what is due by time: requests in flight that age, deadlines, leases, and when the next of them is due.

use std::collections::BTreeSet;

use crate::coordination::cell;
use crate::coordination::evidence;
use crate::protocol::refusal;
use crate::state::clock;
use crate::state::ids;

use super::queue;
use super::{Cell, Phase, Running};

/// A tick that comes later than this after it was due shows that the home itself was paused.
const LATE_SPAN: clock::Millis = clock::Millis(100);

/// How often waiting requests are looked at again, as they come to accept targets that are in doubt.
const PATIENCE_STEP: clock::Millis = clock::Millis(50);

impl Cell {
    /// Returns when [`cell::Event::Tick`] is due at the latest; later than the last event that was handled.
    pub fn wake(&self) -> clock::Millis {
        let first = |at: Option<clock::Millis>| at.unwrap_or(clock::Millis::MAX);
        let mut wake = first(self.dues.first().map(|d| d.0))
            .min(first(self.held.first().map(|h| h.0)))
            .min(first(self.lingering.first().map(|l| l.0)))
            .min(self.queue.deadline());
        if self.rules.soundness && !self.queue.is_empty() {
            wake = wake.min(self.last + PATIENCE_STEP);
        }
        let patience = self.patient_until();
        for (name, target) in &self.targets {
            wake = wake.min(self.standing_wake(name, target));
            let waits = !target.is_normal() && target.is_free(self.last);
            if !self.queue.is_empty() && waits && patience > self.last {
                wake = wake.min(patience);
            }
            if !self.queue.is_empty() {
                wake = wake.min(target.opens_at(self.last));
            }
        }
        wake
    }

    /// Leaves the home's own pauses out of the ages of requests in flight.
    pub(super) fn excuse(&mut self, now: clock::Millis) {
        self.last = now;
        let Some((due, _)) = self.dues.first() else {
            return;
        };
        let late = now - *due;
        if late <= LATE_SPAN {
            return;
        }
        for run in self.running.values_mut() {
            if let Phase::Sent(at) = &mut run.phase {
                *at += late;
                run.due += late;
            }
        }
        self.dues = std::mem::take(&mut self.dues)
            .into_iter()
            .map(|(due, ticket)| (due + late, ticket))
            .collect::<BTreeSet<_>>();
    }

    /// Begins to watch the age of a request in flight.
    pub(super) fn watch(&mut self, now: clock::Millis, ticket: ids::Ticket) {
        let Some(run) = self.running.get(&ticket) else {
            return;
        };
        let slow = self.reference(now, &run.target).limits.slow;
        self.set_due(ticket, now + slow);
    }

    /// Ends the watch of a request whose outcome is known.
    pub(super) fn end_watch(&mut self, ticket: ids::Ticket) -> Option<&mut Running> {
        let mut run = self.running.remove(&ticket)?;
        self.unwatch(ticket, &run);
        self.held.remove(&(run.work.arrival.deadline, ticket));
        run.due = clock::Millis::MAX;
        run.overdue = false;
        Some(self.running.entry(ticket).or_insert(run))
    }

    /// Takes a request out of the tables of ages.
    pub(super) fn unwatch(&mut self, ticket: ids::Ticket, run: &Running) {
        self.dues.remove(&(run.due, ticket));
        self.stuck.remove(&ticket);
        if let Some(target) = self.targets.get_mut(&run.target) {
            target.overdue -= usize::from(run.overdue);
        }
    }

    /// Counts the requests in flight that fell into a worse class.
    pub(super) fn age(&mut self, now: clock::Millis, actions: &mut Vec<cell::Action>) {
        while let Some((due, ticket)) = self.dues.first().copied() {
            if due > now {
                return;
            }
            self.dues.pop_first();
            self.age_one(now, ticket, actions);
        }
    }

    fn age_one(
        &mut self,
        now: clock::Millis,
        ticket: ids::Ticket,
        actions: &mut Vec<cell::Action>,
    ) {
        let Some(run) = self.running.get(&ticket) else {
            return;
        };
        let Phase::Sent(at) = run.phase else {
            return;
        };
        let name = run.target.clone();
        let (old, added) = (run.class, run.added);
        let limits = self.reference(now, &name).limits;
        let class = limits.class(now - at).max(old);
        if class > old {
            let added = added.max(self.judge(now, &name, class, added, actions));
            self.note_class(ticket, class, added);
        }
        if let Some(age) = limits.next(class) {
            self.set_due(ticket, at + age);
        }
    }

    fn note_class(&mut self, ticket: ids::Ticket, class: evidence::Class, added: f64) {
        let Some(run) = self.running.get_mut(&ticket) else {
            return;
        };
        run.class = class;
        run.added = added;
        let arrival = run.work.arrival;
        if class == evidence::Class::Stalled && arrival.is_repeatable() {
            self.stuck.insert(ticket);
        }
        let newly = !std::mem::replace(&mut run.overdue, true);
        if let Some(target) = self.targets.get_mut(&run.target) {
            target.overdue += usize::from(newly);
        }
    }

    fn set_due(&mut self, ticket: ids::Ticket, due: clock::Millis) {
        if let Some(run) = self.running.get_mut(&ticket) {
            run.due = due;
            self.dues.insert((due, ticket));
        }
    }

    /// Refuses a request that waited until a slot would come too late for it.
    fn expire(&self, now: clock::Millis, work: &queue::Waiting) -> cell::Action {
        if work.arrival.deadline <= now {
            return super::refuse(work, refusal::Cause::DeadlinePassed, None);
        }
        let wait = super::retry_after(self.wait(now, work.arrival.tier));
        super::refuse(work, refusal::Cause::DeadlineTooShort, Some(wait))
    }

    /// Refuses late requests for which no slot is likely to be left before their deadline, by what was left of late, so that
    /// their callers need not wait for that.
    fn drop_hopeless(&mut self, now: clock::Millis, actions: &mut Vec<cell::Action>) {
        let run = self.run_span();
        let late = self.queue.late(now + run);
        let slots = self.slots(now).max(1) as f64;
        let wait = |ahead: usize, tier: u8| {
            let spare = self.spare.get(&tier).copied().unwrap_or(1.0);
            let span = run.0 as f64 * (ahead + 1) as f64 / (slots * spare);
            clock::Millis(span as u64)
        };
        let hopeless = late.iter().enumerate().filter(|(ahead, work)| {
            now + wait(*ahead, work.arrival.tier) + run > work.arrival.deadline
        });
        let hopeless: Vec<_> = hopeless.map(|(_, work)| work.arrival.ticket).collect();
        for ticket in hopeless {
            if let Some(work) = self.queue.remove(ticket) {
                actions.push(self.expire(now, &work));
            }
        }
    }

    /// Frees, refuses and lapses what is over.
    pub(super) fn elapse(&mut self, now: clock::Millis, actions: &mut Vec<cell::Action>) {
        while let Some(lingering) = self.lingering.first() {
            if lingering.0 > now {
                break;
            }
            let name = self.lingering.pop_first().map(|l| l.2).unwrap_or_default();
            if let Some(target) = self.targets.get_mut(&name) {
                target.busy -= 1;
            }
        }
        while let Some(work) = self.queue.pop_expired(now) {
            actions.push(self.expire(now, &work));
        }
        self.drop_hopeless(now, actions);
        let cause = refusal::Cause::DeadlinePassed;
        while let Some((deadline, ticket)) = self.held.first().copied() {
            if deadline > now {
                break;
            }
            self.held.pop_first();
            if let Some(run) = self.free(ticket) {
                actions.push(super::refuse(&run.work, cause, None));
            }
        }
        self.review(now, actions);
    }
}
