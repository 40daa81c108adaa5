//! Applies [`scarcity`] to the cell's queue where the bundle sets the order [`bundle::Order::Value`], and counts the
//! requests that are refused or delayed.

use std::collections::BTreeMap;

use crate::coordination::cell;
use crate::coordination::scarcity;
use crate::state::bundle;
use crate::state::clock;
use crate::state::ids;

use super::queue;
use super::{Cell, Running};

/// How long after such a refusal a cell counts as short of capacity.
const SHORTAGE_SPAN: clock::Millis = clock::Millis(1_000);

impl Cell {
    /// Returns the numbers of requests that were refused or delayed since the last call, by tier and check.
    pub fn take_counts(&mut self) -> BTreeMap<scarcity::Event, u64> {
        self.counts.take()
    }

    /// Returns whether requests are served by value instead of by arrival.
    pub(super) fn by_value(&self) -> bool {
        self.rules.order == bundle::Order::Value
    }

    /// Returns the time that a request is expected to hold a slot, in milliseconds; the mean of the cell while nothing
    /// is known of its kind, or if requests are served by arrival.
    pub(super) fn work(&self, arrival: &cell::Arrival) -> f64 {
        let estimate = match self.by_value() {
            true => self.estimator.estimate(arrival.kind),
            false => None,
        };
        estimate.or(self.mean_hold).unwrap_or_default()
    }

    /// Records the hold time of an answered request, unless its target is suspected and others are not.
    pub(super) fn record_work(&mut self, now: clock::Millis, run: &Running) {
        let is_normal = self.targets.get(&run.target).is_none_or(|t| t.is_normal());
        if self.by_value() && (is_normal || self.is_degraded()) {
            let kind = run.request.arrival.kind;
            self.estimator.record(now, kind, now - run.granted);
        }
    }

    /// Returns the first check that a new request fails, with the time at which to retry.
    pub(super) fn failed_check(
        &self,
        now: clock::Millis,
        request: &queue::Request,
    ) -> Option<(scarcity::Check, clock::Millis)> {
        let places = self.places(now, Some(request));
        let decisions = self.decisions(now, &places);
        let ticket = request.arrival.ticket;
        let own = places.iter().position(|p| p.waiting.ticket == ticket)?;
        let decision = decisions[own];
        let wait = clock::Millis(places[own].wait.ceil() as u64);
        // A free slot empties the queue by one before it is limited.
        let is_full = self.queue.len() >= self.rules.queue && decision != scarcity::Decision::Now;
        scarcity::first_failure(|check| match check {
            scarcity::Check::Queue => {
                let leaves = is_full && scarcity::first_to_leave(now, &places) == Some(ticket);
                leaves.then_some(wait)
            }
            scarcity::Check::Trial => {
                let may_probe = self.may_probe(now, request);
                (!may_probe).then_some(super::NO_TARGET_RETRY)
            }
            other => match decision {
                scarcity::Decision::No { check, retry_after } if check == other => {
                    Some(retry_after)
                }
                _ => None,
            },
        })
    }

    /// Refuses the waiting requests that are not expected to be served before their deadline.
    pub(super) fn refuse_by_value(&mut self, now: clock::Millis, actions: &mut Vec<cell::Action>) {
        let places = self.places(now, None);
        let decisions = self.decisions(now, &places);
        for (place, decision) in places.iter().zip(decisions) {
            let scarcity::Decision::No { check, retry_after } = decision else {
                continue;
            };
            if let Some(request) = self.queue.remove(place.waiting.ticket) {
                self.count_refusal(now, &request, check);
                let after = Some(super::retry_after(retry_after));
                actions.push(super::refuse(&request, check.cause(), after));
            }
        }
    }

    /// Returns the waiting requests in the order in which they are served.
    pub(super) fn ordered_by_value(&self, now: clock::Millis) -> Vec<&queue::Request> {
        let places = self.places(now, None);
        let requests = places.iter().map(|p| self.queue.get(p.waiting.ticket));
        requests.flatten().collect()
    }

    /// Returns the highest tier with a waiting request that is expected to meet its objective.
    pub(super) fn highest_timely_by_value(&self, now: clock::Millis) -> Option<u8> {
        let places = self.places(now, None);
        let timely = places.iter().find(|p| p.is_timely);
        timely.map(|p| p.waiting.tier)
    }

    /// Returns the request that leaves the queue if it is too long.
    pub(super) fn first_to_leave(&self, now: clock::Millis) -> Option<ids::Ticket> {
        scarcity::first_to_leave(now, &self.places(now, None))
    }

    /// Returns the expected wait of a new request of `tier` that needs the mean hold time.
    pub(super) fn wait_by_value(&self, now: clock::Millis, tier: u8) -> clock::Millis {
        let places = self.places(now, None);
        let ahead = || {
            let before = |p: &&scarcity::Place| p.waiting.tier < tier;
            let beside = |p: &&scarcity::Place| p.waiting.tier == tier && p.is_timely;
            let of_tiers = places.iter().filter(move |p| before(p) || beside(p));
            of_tiers.map(|p| p.waiting.work)
        };
        let wait = self.capacity(now).wait(ahead().count(), ahead().sum());
        clock::Millis(wait.ceil() as u64)
    }

    /// Counts a request that got its first slot.
    pub(super) fn count_served(&mut self, now: clock::Millis, arrival: &cell::Arrival) {
        if self.by_value() {
            let (tier, organisation) = (arrival.tier, arrival.organisation);
            self.ledger.end(now, tier, organisation, arrival.kind, true);
        }
    }

    /// Counts a request that is refused by `check`.
    pub(super) fn count_refusal(
        &mut self,
        now: clock::Millis,
        request: &queue::Request,
        check: scarcity::Check,
    ) {
        let arrival = request.arrival;
        let tier = arrival.tier;
        self.counts.add(scarcity::Event {
            tier,
            check,
            refused: true,
        });
        if check != scarcity::Check::Trial {
            self.last_shortage = Some(now);
        }
        if self.by_value() && request.tries == 0 {
            self.ledger
                .end(now, tier, arrival.organisation, arrival.kind, false);
        }
    }

    /// Counts a request that waited for the slot that it gets now. If it is of a group below the fairness bound, the
    /// others of its tier are delayed by it.
    pub(super) fn count_delay(&mut self, now: clock::Millis, request: &queue::Request) {
        let tier = request.arrival.tier;
        let overtakes = |other: &queue::Request| {
            other.arrival.tier == tier && other.sequence < request.sequence
        };
        let goes_first =
            self.by_value() && self.is_owed(&request.arrival) && self.queue.iter().any(overtakes);
        let checks = [
            (request.queued_at < now, scarcity::Check::Wait),
            (goes_first, scarcity::Check::Floor),
        ];
        for (_, check) in checks.into_iter().filter(|(delayed, _)| *delayed) {
            self.counts.add(scarcity::Event {
                tier,
                check,
                refused: false,
            });
        }
    }

    /// Returns whether requests were refused for lack of capacity a short time ago. Since this happens at once, the wait
    /// of the oldest request does not show it.
    pub(super) fn is_short(&self) -> bool {
        let recent = |at| self.last_event - at <= SHORTAGE_SPAN;
        self.by_value() && self.last_shortage.is_some_and(recent)
    }

    fn is_owed(&self, arrival: &cell::Arrival) -> bool {
        self.ledger
            .is_owed(arrival.tier, arrival.organisation, arrival.kind)
    }

    /// Returns the decisions on the requests at `places`, in the same order.
    fn decisions(&self, now: clock::Millis, places: &[scarcity::Place]) -> Vec<scarcity::Decision> {
        let share = |tier| self.late_share.get(&tier).copied().unwrap_or(1.0);
        scarcity::decide(now, self.capacity(now), places, share)
    }

    /// Returns the places of the waiting requests and of `new`, in the order of service.
    fn places(&self, now: clock::Millis, new: Option<&queue::Request>) -> Vec<scarcity::Place> {
        if self.queue.is_empty() && new.is_none() {
            return Vec::new();
        }
        let waiting = |request: &queue::Request| scarcity::Waiting {
            ticket: request.arrival.ticket,
            tier: request.arrival.tier,
            sequence: request.sequence,
            queued_at: request.queued_at,
            objective: request.arrival.objective,
            deadline: request.arrival.deadline,
            work: self.work(&request.arrival),
            weight: request.weight,
            owed: self.is_owed(&request.arrival),
        };
        let waiting: Vec<_> = self.queue.iter().chain(new).map(waiting).collect();
        scarcity::plan(now, self.capacity(now), &waiting)
    }

    fn capacity(&self, now: clock::Millis) -> scarcity::Capacity {
        let free = |t: &super::target::Target| match t.has_free_slot(now) {
            true => t.usable_slots(now) - t.busy,
            false => 0,
        };
        scarcity::Capacity {
            free: self.targets.values().map(free).sum(),
            slots: self.concurrency(now).max(super::MIN_CONCURRENCY),
            mean: self.mean_hold.unwrap_or_default(),
        }
    }
}
