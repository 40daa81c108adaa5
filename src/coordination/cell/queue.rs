//! The queue of one cell: strict priority by tier; within a tier, requests that can still meet their objective come
//! before those that cannot.
//!
//! Load pattern: more requests than slots for longer than an objective. In first-in, first-out order each request would
//! be served just before its deadline, too late to be worth much, while a newer one could have met its objective. So
//! while some requests of a tier are late, the newest of the others are served first, and late ones get the slots that
//! are left. A shorter burst is served in the order of arrival.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::cell;
use crate::protocol::refusal;
use crate::state::clock;
use crate::state::ids;

/// A request that waits for a slot, or holds one, with the state of its retries.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// The request as it arrived.
    pub(super) arrival: cell::Arrival,
    /// When it started to wait.
    pub(super) queued_at: clock::Millis,
    /// When it is refused because a slot would come too late.
    pub(super) expiry: clock::Millis,
    /// Its number in the order of arrival, which a retry keeps.
    pub(super) sequence: u64,
    /// The tries that were started, at this home and at others.
    pub(super) tries: u32,
    /// The tries in which something was sent to a target.
    pub(super) sent: u32,
    /// The targets that it is not sent to again.
    pub(super) excluded: Vec<String>,
    /// Why its outcome is unknown, if an earlier try may have run.
    pub(super) unknown_cause: Option<refusal::Cause>,
    /// The weight of its value under the order by value.
    pub(super) weight: f64,
}

impl Request {
    /// Returns the refusal of a request that gets no further try.
    ///
    /// If an earlier try may have run, the refusal states that the outcome is unknown, and `cause` and `retry_after`
    /// are not used.
    pub(super) fn refusal(
        &self,
        cause: refusal::Cause,
        retry_after: Option<clock::Millis>,
    ) -> refusal::Refusal {
        match self.unknown_cause {
            Some(cause) => refusal::Refusal::unknown(cause),
            None => refusal::Refusal::not_run(cause, retry_after),
        }
    }

    /// Returns whether the request may be a trial: it can be resent if it fails, and it has had no try yet, so it
    /// cannot have crashed a target.
    pub(super) fn may_be_trial(&self) -> bool {
        self.arrival.can_be_resent() && self.tries == 0
    }
}

type Key = (u8, u64);

/// The waiting requests in the order of their dispatch.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: BTreeMap<Key, Request>,
    by_ticket: BTreeMap<ids::Ticket, Key>,
    expiries: BTreeSet<(clock::Millis, Key)>,
    by_age: BTreeSet<(clock::Millis, Key)>,
    tiers: BTreeMap<u8, usize>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests that would be served before a new one of `tier`. A request that is
    /// granted a slot now is expected to end at `expected_end`.
    pub(super) fn ahead(&self, tier: u8, expected_end: clock::Millis) -> usize {
        let higher: usize = self.tiers.range(..tier).map(|(_, n)| n).sum();
        let (timely, late) = self.split_tier(tier, expected_end);
        match late.is_empty() {
            true => higher + timely.len(),
            false => higher,
        }
    }

    pub(super) fn push(&mut self, request: Request) {
        let key = (request.arrival.tier, request.sequence);
        self.by_ticket.insert(request.arrival.ticket, key);
        self.expiries.insert((request.expiry, key));
        self.by_age.insert((request.queued_at, key));
        *self.tiers.entry(key.0).or_default() += 1;
        self.waiting.insert(key, request);
    }

    /// Returns the waiting requests in the order in which they are served.
    pub(super) fn ordered(&self, expected_end: clock::Millis) -> Vec<&Request> {
        let mut ordered = Vec::with_capacity(self.len());
        for tier in self.tiers.keys() {
            let (mut timely, late) = self.split_tier(*tier, expected_end);
            if !late.is_empty() {
                timely.reverse();
            }
            ordered.extend(timely);
            ordered.extend(late);
        }
        ordered
    }

    /// Returns the highest tier with a waiting request that can still meet its objective.
    pub(super) fn highest_timely(&self, expected_end: clock::Millis) -> Option<u8> {
        let mut waiting = self.waiting.values();
        let timely = waiting.find(|request| request.arrival.objective >= expected_end);
        timely.map(|request| request.arrival.tier)
    }

    /// Returns the tiers that have waiting requests, or had some before.
    pub(super) fn tiers(&self) -> impl Iterator<Item = u8> {
        self.tiers.keys().copied()
    }

    /// Returns the requests that can no longer meet their objective, in the order in which they are served.
    pub(super) fn late(&self, expected_end: clock::Millis) -> Vec<&Request> {
        let late = self
            .tiers
            .keys()
            .map(|tier| self.split_tier(*tier, expected_end).1);
        late.flatten().collect()
    }

    /// Splits the requests of a tier into those that can still meet their objective and those that cannot, oldest
    /// first.
    fn split_tier(&self, tier: u8, expected_end: clock::Millis) -> (Vec<&Request>, Vec<&Request>) {
        let of_tier = self.waiting.range((tier, 0)..=(tier, u64::MAX));
        of_tier
            .map(|(_, request)| request)
            .partition(|request| request.arrival.objective >= expected_end)
    }

    /// Returns the waiting requests by tier and order of arrival.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Request> {
        self.waiting.values()
    }

    /// Returns the waiting request with this ticket.
    pub(super) fn get(&self, ticket: ids::Ticket) -> Option<&Request> {
        self.waiting.get(self.by_ticket.get(&ticket)?)
    }

    pub(super) fn remove(&mut self, ticket: ids::Ticket) -> Option<Request> {
        let key = *self.by_ticket.get(&ticket)?;
        self.remove_key(key)
    }

    /// Removes and returns the newest request of the lowest tier.
    pub(super) fn pop_lowest(&mut self) -> Option<Request> {
        let key = *self.waiting.last_key_value()?.0;
        self.remove_key(key)
    }

    /// Removes and returns one request that has reached its expiry.
    pub(super) fn pop_expired(&mut self, now: clock::Millis) -> Option<Request> {
        let (expiry, key) = *self.expiries.first()?;
        if expiry > now {
            return None;
        }
        self.remove_key(key)
    }

    /// Returns the earliest expiry of the waiting requests; [`clock::Millis::MAX`] if the queue is empty.
    pub(super) fn next_expiry(&self) -> clock::Millis {
        self.expiries.first().map_or(clock::Millis::MAX, |d| d.0)
    }

    /// Returns when the request that has waited longest was queued.
    pub(super) fn oldest(&self) -> Option<clock::Millis> {
        self.by_age.first().map(|s| s.0)
    }

    fn remove_key(&mut self, key: Key) -> Option<Request> {
        let request = self.waiting.remove(&key)?;
        self.by_ticket.remove(&request.arrival.ticket);
        self.by_age.remove(&(request.queued_at, key));
        self.expiries.remove(&(request.expiry, key));
        if let Some(count) = self.tiers.get_mut(&key.0) {
            *count -= 1;
        }
        Some(request)
    }
}
