//! Gives out slots: which request goes to which target, and when.

use std::cmp;

use crate::coordination::breadth;
use crate::coordination::cell;
use crate::coordination::evidence;
use crate::protocol::refusal;
use crate::state::clock;
use crate::state::ids;

use super::queue;
use super::target;
use super::{Cell, Phase, Running};

/// The waiting requests that are looked at in one search for one that a free target may take.
const SEARCH_DEPTH: usize = 16;

/// The longest time that a request waits for a target in favour, or a sound one, while another is free.
const MOST_PATIENCE: clock::Millis = clock::Millis(1_000);

/// The doubt above which a target takes one request at a time.
const SINGLE_DOUBT: f64 = 0.5;
/// The highest doubt for requests that may run more than once: most of these are served by the next try.
const MOST_DOUBT: f64 = 0.7;
/// The highest doubt for requests that have one try.
const MOST_DOUBT_ONCE: f64 = 0.4;
/// The shortest time in which a waiting request comes to accept any target.
const LEAST_PATIENCE: clock::Millis = clock::Millis(100);

/// How well a free target fits a request; the least is taken.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Fit {
    /// Whether a request that crashed another target runs there, and this one did so too.
    clash: bool,
    rank: Rank,
    /// How likely the target is to fail, in levels.
    doubt: usize,
    /// Whether it is in use up to its last slot, where targets tend to be slower.
    crowded: bool,
    /// Whether it stands in another failure domain than the entry that sends to it.
    far: bool,
    score: f64,
    load: usize,
    granted: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// The request serves as the target's trial.
    Trial,
    /// The target is in favour.
    Normal,
    /// A request in flight there is slow already.
    Overdue,
    /// The target is avoided.
    Avoided,
}

impl Cell {
    /// Grants free slots to waiting requests, and frees idempotent ones from targets where they stall.
    pub(super) fn dispatch(&mut self, now: clock::Millis, actions: &mut Vec<cell::Action>) {
        while let Some((ticket, target, rank)) = self.next_grant(now) {
            let Some(work) = self.queue.remove(ticket) else {
                return;
            };
            self.grant(now, work, &target, rank == Rank::Trial, actions);
            self.note_spare(now);
        }
        if self.queue.is_empty() {
            self.rescue(now, actions);
        }
    }

    /// Counts a grant towards what is left of the slots for late requests.
    fn note_spare(&mut self, now: clock::Millis) {
        let timely = self.queue.highest_timely(now + self.run_span());
        for tier in self.queue.tiers() {
            let spare = self.spare.entry(tier).or_insert(1.0);
            let left = if timely.is_some_and(|t| t <= tier) {
                0.0
            } else {
                1.0
            };
            *spare += (left - *spare) * super::SPARE_STEP;
        }
    }

    /// Returns whether a target in favour is free for the request now.
    pub(super) fn has_room(&self, now: clock::Millis, work: &queue::Waiting) -> bool {
        matches!(self.pick(now, work), Some((_, Rank::Normal)))
    }

    /// Grants the request at once at a target in favour, which [`Cell::has_room`] has found.
    pub(super) fn regrant(
        &mut self,
        now: clock::Millis,
        work: queue::Waiting,
        actions: &mut Vec<cell::Action>,
    ) {
        if let Some((target, _)) = self.pick(now, &work) {
            self.budget.spend();
            self.grant(now, work, &target, false, actions);
        }
    }

    fn next_grant(&self, now: clock::Millis) -> Option<(ids::Ticket, String, Rank)> {
        let free = |t: &target::Target| t.is_free(now) || t.awaits_trial(now);
        if self.queue.is_empty() || !self.targets.values().any(free) {
            return None;
        }
        let ordered = self.queue.order(now + self.run_span());
        let mut searched = ordered.into_iter().take(SEARCH_DEPTH);
        searched.find_map(|work| {
            let (target, rank) = self.pick(now, work)?;
            Some((work.arrival.ticket, target, rank))
        })
    }

    /// Chooses the target for a request, if one is free for it.
    fn pick(&self, now: clock::Millis, work: &queue::Waiting) -> Option<(String, Rank)> {
        if let Some(name) = self.left_out(now, work) {
            return Some((name, Rank::Normal));
        }
        let limit = self.doubt_limit(now, work);
        let fits = self.targets.iter().filter_map(|(name, target)| {
            if work.excluded.contains(name) || !self.is_sound_enough(now, target, limit) {
                return None;
            }
            Some((self.fit(now, work, name, target)?, name))
        });
        let best = fits.min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(cmp::Ordering::Equal));
        best.map(|(fit, name)| (name.clone(), fit.rank))
    }

    /// Returns a free target that joined and has had no work yet; else the soundest one without work of late, where too few
    /// others get some while many requests fail.
    fn left_out(&self, now: clock::Millis, work: &queue::Waiting) -> Option<String> {
        if !self.rules.soundness {
            return None;
        }
        let free = || {
            let targets = self.targets.iter();
            targets.filter(|(name, t)| t.is_free(now) && !work.excluded.contains(name))
        };
        if let Some((name, _)) = free().find(|(_, t)| t.newcomer) {
            return Some(name.clone());
        }
        if !self.breadth.is_required(now) {
            return None;
        }
        let is_used = |t: &target::Target| now - t.used <= breadth::SPAN;
        // Those that failed a moment ago had work, and are no capacity that is left idle.
        let counted = || {
            let working = self.targets.values().filter(|t| t.takes_work());
            working.filter(|t| t.failed.is_none_or(|at| now - at > breadth::FLOOR_SPAN))
        };
        let used = counted().filter(|t| is_used(t)).count();
        if used as f64 >= self.rules.breadth * counted().count() as f64 {
            return None;
        }
        let doubt = |t: &target::Target| t.doubt.value(now);
        let idle = free().filter(|(_, t)| !is_used(t));
        let soundest = idle.min_by(|a, b| doubt(a.1).total_cmp(&doubt(b.1)));
        soundest.map(|(name, _)| name.clone())
    }

    fn fit(
        &self,
        now: clock::Millis,
        work: &queue::Waiting,
        name: &str,
        target: &target::Target,
    ) -> Option<Fit> {
        let print = work.arrival.fingerprint;
        let suspect = self.strikes.crashed_other(now, print, name);
        let rank = match target.awaits_trial(now) {
            true if work.fits_trial() && !suspect => Rank::Trial,
            _ if !target.is_free(now) => return None,
            _ if !target.is_normal() && self.patient_until() > now => return None,
            _ if !target.is_normal() => Rank::Avoided,
            _ if target.overdue > 0 => Rank::Overdue,
            _ => Rank::Normal,
        };
        Some(Fit {
            clash: suspect && target.suspects > 0,
            rank,
            doubt: match self.rules.soundness {
                true => target.doubt.level(now),
                false => 0,
            },
            crowded: target.busy + 1 >= target.slots(now).max(2),
            far: target.place != work.arrival.origin,
            score: if rank == Rank::Avoided {
                target.score.value()
            } else {
                0.0
            },
            load: target.busy * 1_000 / target.slots(now).max(1),
            granted: target.granted,
        })
    }

    /// Returns whether a target's doubt is within `limit`; one that is in doubt takes one request at a time.
    fn is_sound_enough(&self, now: clock::Millis, target: &target::Target, limit: f64) -> bool {
        if !self.rules.soundness {
            return true;
        }
        let doubt = target.doubt.value(now);
        doubt <= limit && (doubt <= SINGLE_DOUBT || target.busy == 0)
    }

    /// Returns the highest doubt about a target that a request is sent to; without end where no target is sounder, since
    /// there is nothing to wait for then.
    ///
    /// Work that has one try only is held to more than work that may be repeated. A target that fails at once has its slot
    /// free at once: without a limit it would draw all that waits under load. So the limit rises only as the request's
    /// time to wait runs out.
    fn doubt_limit(&self, now: clock::Millis, work: &queue::Waiting) -> f64 {
        if !self.rules.soundness {
            return f64::INFINITY;
        }
        let least = match work.arrival.is_repeatable() {
            true => MOST_DOUBT,
            false => MOST_DOUBT_ONCE,
        };
        let run = self.run_span();
        let patience = (work.arrival.objective - run) - work.since;
        let patience = patience.clamp(LEAST_PATIENCE, MOST_PATIENCE);
        let waited = (now - work.since).0 as f64 / patience.0 as f64;
        let limit = least + (1.0 - least) * waited.min(1.0);
        let mut working = self.targets.values().filter(|t| t.takes_work());
        match working.any(|t| t.doubt.value(now) <= limit) {
            true => limit,
            false => f64::INFINITY,
        }
    }

    /// Returns when waiting requests may go to targets that are avoided.
    ///
    /// That is as soon as one of them has waited for the time that a slot is held: until then another target is likely to
    /// come free. Under lasting load all slots are in use. Where no target is in favour there is nothing to wait for.
    pub(super) fn patient_until(&self) -> clock::Millis {
        let normal = |t: &target::Target| t.is_normal() && !t.leaving;
        if !self.targets.values().any(normal) {
            return clock::Millis::ZERO;
        }
        let patience = clock::Millis(self.hold.unwrap_or_default().ceil() as u64);
        let oldest = self.queue.oldest();
        oldest.map_or(clock::Millis::MAX, |since| {
            since + patience.min(MOST_PATIENCE)
        })
    }

    fn grant(
        &mut self,
        now: clock::Millis,
        mut work: queue::Waiting,
        name: &str,
        trial: bool,
        actions: &mut Vec<cell::Action>,
    ) {
        let arrival = work.arrival;
        let suspect = self.strikes.crashed_other(now, arrival.fingerprint, name);
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        self.count += 1;
        target.granted = self.count;
        target.used = now;
        target.newcomer = false;
        target.busy += 1;
        target.suspects += usize::from(suspect);
        if trial {
            target.trial.grant();
        }
        let others = self.targets.iter_mut().filter(|(n, _)| *n != name);
        for (_, other) in others.filter(|(_, t)| !t.is_normal()) {
            other.trial.pass_by();
        }
        if work.tries == 0 {
            self.budget.earn();
        }
        work.tries += 1;
        work.sent += 1;
        let running = Running {
            work,
            target: name.to_owned(),
            granted: now,
            phase: Phase::Held,
            class: evidence::Class::Good,
            added: 0.0,
            due: clock::Millis::MAX,
            overdue: false,
            trial,
            suspect,
        };
        self.running.insert(arrival.ticket, running);
        self.held.insert((arrival.deadline, arrival.ticket));
        actions.push(cell::Action::Grant {
            ticket: arrival.ticket,
            target: name.to_owned(),
        });
    }

    /// Takes idempotent requests from targets where they stall to others that are in favour and free, while there is time
    /// for another run.
    fn rescue(&mut self, now: clock::Millis, actions: &mut Vec<cell::Action>) {
        let stuck: Vec<_> = self.stuck.iter().copied().collect();
        for ticket in stuck {
            self.rescue_one(now, ticket, actions);
        }
    }

    fn rescue_one(
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
        let mut work = run.work.clone();
        work.excluded.push(name.clone());
        work.lost = Some(refusal::Cause::TargetTimeout);
        let runs = now + self.run_span() < work.arrival.deadline;
        if runs && self.may_retry(now, &work) && self.budget.funded() && self.has_room(now, &work) {
            self.abandon(now, ticket);
            if let Some(target) = self.targets.get_mut(&name) {
                target.evidence.outlast(now - sent);
            }
            actions.push(cell::Action::Abandon { ticket });
            self.regrant(now, work, actions);
        }
    }
}
