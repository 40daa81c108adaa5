//! Timers: the ages of requests in flight, deadlines and ejections, and when the next timer is due.

use std::collections::BTreeSet;

use crate::coordination::cell;
use crate::coordination::evidence;
use crate::coordination::scarcity;
use crate::protocol::refusal;
use crate::state::clock;
use crate::state::ids;

use super::queue;
use super::{Cell, Phase, Running};

/// If a tick is later than this, the home itself was paused.
const MAX_TICK_DELAY: clock::Millis = clock::Millis(100);

/// How often the queue is searched again, since waiting requests accept higher failure probabilities over time.
const RECHECK_INTERVAL: clock::Millis = clock::Millis(50);

impl Cell {
    /// Returns when [`cell::Event::Tick`] is due at the latest; always later than the last event that was handled.
    pub fn wake(&self) -> clock::Millis {
        let first = |at: Option<clock::Millis>| at.unwrap_or(clock::Millis::MAX);
        let mut wake = first(self.class_timers.first().map(|d| d.0))
            .min(first(self.held.first().map(|h| h.0)))
            .min(first(self.lingering.first().map(|l| l.0)))
            .min(self.queue.next_expiry());
        if self.rules.rank_by_failure && !self.queue.is_empty() {
            wake = wake.min(self.last_event + RECHECK_INTERVAL);
        }
        let avoided_at = self.avoided_allowed_at();
        for (name, target) in &self.targets {
            wake = wake.min(self.health_wake(name, target));
            let waits = !target.is_normal() && target.has_free_slot(self.last_event);
            if !self.queue.is_empty() && waits && avoided_at > self.last_event {
                wake = wake.min(avoided_at);
            }
            if !self.queue.is_empty() {
                wake = wake.min(target.next_slot_at(self.last_event));
            }
        }
        wake
    }

    /// Shifts the timers of requests in flight by the time that the home itself was paused, so that the pause does not
    /// count as time that targets took.
    pub(super) fn shift_timers(&mut self, now: clock::Millis) {
        self.last_event = now;
        let Some((due, _)) = self.class_timers.first() else {
            return;
        };
        let late = now - *due;
        if late <= MAX_TICK_DELAY {
            return;
        }
        for run in self.running.values_mut() {
            if let Phase::Sent(at) = &mut run.phase {
                *at += late;
                run.due += late;
            }
        }
        self.class_timers = std::mem::take(&mut self.class_timers)
            .into_iter()
            .map(|(due, ticket)| (due + late, ticket))
            .collect::<BTreeSet<_>>();
    }

    /// Starts the timer of the age of a request in flight.
    pub(super) fn start_timer(&mut self, now: clock::Millis, ticket: ids::Ticket) {
        let Some(run) = self.running.get(&ticket) else {
            return;
        };
        let slow = self.reference(now, &run.target).limits.slow;
        self.set_timer(ticket, now + slow);
    }

    /// Stops the timer of a request whose outcome is known.
    pub(super) fn stop_timer(&mut self, ticket: ids::Ticket) -> Option<&mut Running> {
        let mut run = self.running.remove(&ticket)?;
        self.remove_timers(ticket, &run);
        self.held.remove(&(run.request.arrival.deadline, ticket));
        run.due = clock::Millis::MAX;
        run.overdue = false;
        Some(self.running.entry(ticket).or_insert(run))
    }

    /// Removes the timers of a request, and its entries among the slow and stalled requests.
    pub(super) fn remove_timers(&mut self, ticket: ids::Ticket, run: &Running) {
        self.class_timers.remove(&(run.due, ticket));
        self.stalled.remove(&ticket);
        if let Some(target) = self.targets.get_mut(&run.target) {
            target.overdue -= usize::from(run.overdue);
        }
    }

    /// Scores the requests in flight whose age reached a worse class.
    pub(super) fn update_classes(&mut self, now: clock::Millis, actions: &mut Vec<cell::Action>) {
        while let Some((due, ticket)) = self.class_timers.first().copied() {
            if due > now {
                return;
            }
            self.class_timers.pop_first();
            self.update_class(now, ticket, actions);
        }
    }

    fn update_class(
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
            let added = added.max(self.score_request(now, &name, class, added, actions));
            self.set_class(ticket, class, added);
        }
        if let Some(age) = limits.next_age(class) {
            self.set_timer(ticket, at + age);
        }
    }

    fn set_class(&mut self, ticket: ids::Ticket, class: evidence::Class, added: f64) {
        let Some(run) = self.running.get_mut(&ticket) else {
            return;
        };
        run.class = class;
        run.added = added;
        let arrival = run.request.arrival;
        if class == evidence::Class::Stalled && arrival.can_be_resent() {
            self.stalled.insert(ticket);
        }
        let newly = !std::mem::replace(&mut run.overdue, true);
        if let Some(target) = self.targets.get_mut(&run.target) {
            target.overdue += usize::from(newly);
        }
    }

    fn set_timer(&mut self, ticket: ids::Ticket, due: clock::Millis) {
        if let Some(run) = self.running.get_mut(&ticket) {
            run.due = due;
            self.class_timers.insert((due, ticket));
        }
    }

    /// Returns the refusal of a request that waited until a slot would come too late.
    fn expiry_refusal(
        &mut self,
        now: clock::Millis,
        request: &queue::Request,
        check: scarcity::Check,
    ) -> cell::Action {
        self.count_refusal(now, request, check);
        if request.arrival.deadline <= now {
            return super::refuse(request, refusal::Cause::DeadlinePassed, None);
        }
        let wait = super::retry_after(self.expected_wait(now, request.arrival.tier));
        super::refuse(request, refusal::Cause::DeadlineTooShort, Some(wait))
    }

    /// Refuses late requests that are unlikely to be served before their deadline, judged by the share of recent slots
    /// that was left for late requests. This spares their callers the wait until the deadline.
    fn refuse_unservable(&mut self, now: clock::Millis, actions: &mut Vec<cell::Action>) {
        if self.by_value() {
            return self.refuse_by_value(now, actions);
        }
        let hold = self.mean_hold();
        let late = self.queue.late(now + hold);
        let slots = self.concurrency(now).max(super::MIN_CONCURRENCY);
        let wait = |ahead: usize, tier: u8| {
            let share = self.late_share.get(&tier).copied().unwrap_or(1.0);
            let span = hold.0 as f64 * (ahead + 1) as f64 / (slots * share);
            clock::Millis(span as u64)
        };
        let unservable = late.iter().enumerate().filter(|(ahead, request)| {
            now + wait(*ahead, request.arrival.tier) + hold > request.arrival.deadline
        });
        let unservable: Vec<_> = unservable
            .map(|(_, request)| request.arrival.ticket)
            .collect();
        for ticket in unservable {
            if let Some(request) = self.queue.remove(ticket) {
                actions.push(self.expiry_refusal(now, &request, scarcity::Check::Late));
            }
        }
    }

    /// Runs the timers that are due: frees the slots of abandoned requests, refuses requests whose time has run out,
    /// and updates ejections.
    pub(super) fn run_timers(&mut self, now: clock::Millis, actions: &mut Vec<cell::Action>) {
        while self.lingering.first().is_some_and(|l| l.0 <= now) {
            let Some((_, _, name, body)) = self.lingering.pop_first() else {
                break;
            };
            if let Some(target) = self.targets.get_mut(&name) {
                target.busy -= 1;
                target.body_bytes -= body;
            }
        }
        while let Some(request) = self.queue.pop_expired(now) {
            actions.push(self.expiry_refusal(now, &request, scarcity::Check::Expiry));
        }
        self.refuse_unservable(now, actions);
        let cause = refusal::Cause::DeadlinePassed;
        while let Some((deadline, ticket)) = self.held.first().copied() {
            if deadline > now {
                break;
            }
            self.held.pop_first();
            if let Some(run) = self.free_slot(ticket) {
                actions.push(super::refuse(&run.request, cause, None));
            }
        }
        self.update_ejections(now, actions);
    }
}
