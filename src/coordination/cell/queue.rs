//! The queue of one cell: strict by tier; within a tier, what can still meet its objective comes before what cannot.
//!
//! Load pattern: more requests than slots for longer than an objective. Oldest first, each would be served just before its
//! deadline, too late to be worth much, and the next could have been on time. So once some are late, the newest of the
//! others come first; late ones get what is left. A load that passes sooner is served in the order of arrival.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::cell;
use crate::protocol::refusal;
use crate::state::clock;
use crate::state::ids;

/// A request that waits for a slot, the first or another one.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    /// The request.
    pub(super) arrival: cell::Arrival,
    /// When it came to wait.
    pub(super) since: clock::Millis,
    /// When a slot would come too late for it.
    pub(super) expiry: clock::Millis,
    /// Its place among all arrivals; a retried request keeps it.
    pub(super) place: u64,
    /// The tries that it had.
    pub(super) tries: u32,
    /// The tries that were sent to a target.
    pub(super) sent: u32,
    /// The targets that it is not tried at again.
    pub(super) excluded: Vec<String>,
    /// Why its outcome is unknown, where it may have run.
    pub(super) lost: Option<refusal::Cause>,
}

impl Waiting {
    /// Returns the refusal of a request that gets no further try.
    pub(super) fn refusal(
        &self,
        cause: refusal::Cause,
        retry_after: Option<clock::Millis>,
    ) -> refusal::Refusal {
        match self.lost {
            Some(lost) => refusal::Refusal::unknown(lost),
            None => refusal::Refusal::not_run(cause, retry_after),
        }
    }

    /// Returns whether the request may serve as a trial: a failure of it is retried, and it did not crash a target.
    pub(super) fn fits_trial(&self) -> bool {
        self.arrival.is_repeatable() && self.tries == 0
    }
}

type Key = (u8, u64);

/// The waiting requests in the order of their dispatch.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: BTreeMap<Key, Waiting>,
    by_ticket: BTreeMap<ids::Ticket, Key>,
    deadlines: BTreeSet<(clock::Millis, Key)>,
    since: BTreeSet<(clock::Millis, Key)>,
    tiers: BTreeMap<u8, usize>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of requests that are served before a new one of `tier`.
    pub(super) fn ahead(&self, tier: u8, soonest: clock::Millis) -> usize {
        let higher: usize = self.tiers.range(..tier).map(|(_, n)| n).sum();
        let (timely, late) = self.split(tier, soonest);
        match late.is_empty() {
            true => higher + timely.len(),
            false => higher,
        }
    }

    pub(super) fn push(&mut self, work: Waiting) {
        let key = (work.arrival.tier, work.place);
        self.by_ticket.insert(work.arrival.ticket, key);
        self.deadlines.insert((work.expiry, key));
        self.since.insert((work.since, key));
        *self.tiers.entry(key.0).or_default() += 1;
        self.waiting.insert(key, work);
    }

    /// Returns the waiting requests, first to be served first, where a request that is granted a slot now ends at `soonest`.
    pub(super) fn order(&self, soonest: clock::Millis) -> Vec<&Waiting> {
        let mut ordered = Vec::with_capacity(self.len());
        for tier in self.tiers.keys() {
            let (mut timely, late) = self.split(*tier, soonest);
            if !late.is_empty() {
                timely.reverse();
            }
            ordered.extend(timely);
            ordered.extend(late);
        }
        ordered
    }

    /// Returns the highest tier of which a request waits that can still meet its objective.
    pub(super) fn highest_timely(&self, soonest: clock::Millis) -> Option<u8> {
        let mut waiting = self.waiting.values();
        let timely = waiting.find(|work| work.arrival.objective >= soonest);
        timely.map(|work| work.arrival.tier)
    }

    /// Returns the tiers of the requests that wait, or did so before.
    pub(super) fn tiers(&self) -> impl Iterator<Item = u8> {
        self.tiers.keys().copied()
    }

    /// Returns the requests that can't meet their objective any more, first to be served first.
    pub(super) fn late(&self, soonest: clock::Millis) -> Vec<&Waiting> {
        let late = self.tiers.keys().map(|tier| self.split(*tier, soonest).1);
        late.flatten().collect()
    }

    /// Parts the requests of a tier into those that can still meet their objective and those that can't, oldest first.
    fn split(&self, tier: u8, soonest: clock::Millis) -> (Vec<&Waiting>, Vec<&Waiting>) {
        let of_tier = self.waiting.range((tier, 0)..=(tier, u64::MAX));
        of_tier
            .map(|(_, work)| work)
            .partition(|work| work.arrival.objective >= soonest)
    }

    /// Returns the waiting requests by tier and arrival.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.values()
    }

    pub(super) fn remove(&mut self, ticket: ids::Ticket) -> Option<Waiting> {
        let key = *self.by_ticket.get(&ticket)?;
        self.take(key)
    }

    /// Takes out the newest request of the lowest tier.
    pub(super) fn pop_last(&mut self) -> Option<Waiting> {
        let key = *self.waiting.last_key_value()?.0;
        self.take(key)
    }

    /// Takes out one request for which a slot would come too late.
    pub(super) fn pop_expired(&mut self, now: clock::Millis) -> Option<Waiting> {
        let (deadline, key) = *self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.take(key)
    }

    /// Returns when the next request is to be taken out so.
    pub(super) fn deadline(&self) -> clock::Millis {
        self.deadlines.first().map_or(clock::Millis::MAX, |d| d.0)
    }

    /// Returns since when the request that waits longest has done so.
    pub(super) fn oldest(&self) -> Option<clock::Millis> {
        self.since.first().map(|s| s.0)
    }

    fn take(&mut self, key: Key) -> Option<Waiting> {
        let work = self.waiting.remove(&key)?;
        self.by_ticket.remove(&work.arrival.ticket);
        self.since.remove(&(work.since, key));
        self.deadlines.remove(&(work.expiry, key));
        if let Some(count) = self.tiers.get_mut(&key.0) {
            *count -= 1;
        }
        Some(work)
    }
}
