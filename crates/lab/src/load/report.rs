//! The results of a load as callers saw them, and their comparison with the log of the targets' stand-in.

use std::collections::{BTreeMap, BTreeSet};
use std::time;

use hdrhistogram::Histogram;
use peridotspread::state::clock;
use serde::Serialize;

use crate::target;

/// The result of one attempt at a request, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Result {
    /// The complete response of a target.
    Served,
    /// The recorded outcome of a run that an earlier attempt started.
    Replayed,
    /// A refusal which states that the request did not run.
    NotRun,
    /// A refusal which states that the request may have run.
    Unknown,
    /// No response, or one that visibly broke off.
    Lost,
    /// The response to another request, or an altered one.
    Wrong,
    /// A truncated response that ended as if it were complete.
    Short,
}

/// One attempt at a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Attempt {
    /// The attempt's identity, which targets record with each run.
    pub id: String,
    /// The idempotency key; empty if the request has none.
    pub key: String,
    /// The entry it was sent to; empty if no entry accepted a connection.
    pub entry: String,
    /// When the attempt ended.
    pub at: clock::Millis,
    /// The result that the caller saw.
    pub result: Result,
}

/// The counters of one group of requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Group {
    /// Requests that arrived.
    pub sent: u64,
    /// Requests that were answered completely, by a target or with a recorded outcome.
    pub served: u64,
    /// Requests refused as not run in all of their attempts.
    pub not_run: u64,
    /// Requests that failed and may have run.
    pub unknown: u64,
}

/// The results of all requests of a load.
#[derive(Clone, Debug)]
pub struct Report {
    /// The counters of all requests.
    pub total: Group,
    /// The counters by service.
    pub services: BTreeMap<String, Group>,
    /// The counters by tier.
    pub tiers: BTreeMap<String, Group>,
    /// Requests whose result is [`Result::Wrong`].
    pub wrong: u64,
    /// Requests whose result is [`Result::Short`].
    pub short: u64,
    /// All attempts.
    pub attempts: Vec<Attempt>,
    /// The latency of served requests from their scheduled arrival, in microseconds.
    pub latency: Histogram<u64>,
    /// The latency of served requests by tier, in microseconds.
    pub tier_latency: BTreeMap<String, Histogram<u64>>,
}

fn histogram() -> Histogram<u64> {
    const SIGNIFICANT_DIGITS: u8 = 3;
    Histogram::new(SIGNIFICANT_DIGITS).expect("three significant digits are supported")
}

/// Records a value in a histogram that resizes automatically.
fn record(histogram: &mut Histogram<u64>, value: u64) {
    histogram
        .record(value)
        .expect("the histogram resizes to any value that occurs");
}

impl Default for Report {
    fn default() -> Report {
        Report {
            total: Group::default(),
            services: BTreeMap::new(),
            tiers: BTreeMap::new(),
            wrong: 0,
            short: 0,
            attempts: Vec::new(),
            latency: histogram(),
            tier_latency: BTreeMap::new(),
        }
    }
}

/// Violations found by comparing the results of callers with the runs that targets recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Responses to another request, altered ones, and recorded outcomes of requests that never ran.
    #[serde(rename = "wrong_answers")]
    pub wrong: u64,
    /// Truncated responses that ended as if they were complete.
    #[serde(rename = "truncated_unseen")]
    pub short: u64,
    /// Non-idempotent requests that ran more than once.
    #[serde(rename = "ran_twice")]
    pub twice: u64,
    /// Attempts that were refused as not run although they ran.
    #[serde(rename = "ran_though_refused")]
    pub refused: u64,
}

impl Report {
    pub(super) fn record_arrival(&mut self, service: &str, tier: &str) {
        self.update_groups(service, tier, |g| g.sent += 1);
    }

    pub(super) fn record_result(
        &mut self,
        service: &str,
        tier: &str,
        result: Result,
        span: time::Duration,
    ) {
        match result {
            Result::Served | Result::Replayed => {
                self.update_groups(service, tier, |g| g.served += 1);
                let us = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
                record(&mut self.latency, us);
                let latency = self.tier_latency.entry(tier.to_owned());
                record(latency.or_insert_with(histogram), us);
            }
            Result::NotRun => self.update_groups(service, tier, |g| g.not_run += 1),
            Result::Unknown | Result::Lost => self.update_groups(service, tier, |g| g.unknown += 1),
            Result::Wrong => self.wrong += 1,
            Result::Short => self.short += 1,
        }
    }

    fn update_groups(&mut self, service: &str, tier: &str, change: impl Fn(&mut Group)) {
        change(&mut self.total);
        change(self.services.entry(service.to_owned()).or_default());
        change(self.tiers.entry(tier.to_owned()).or_default());
    }

    /// Counts the attempts through `entry` that ended as [`Result::Lost`] at or after `since`.
    pub fn count_lost(&self, entry: &str, since: clock::Millis) -> u64 {
        let lost = self
            .attempts
            .iter()
            .filter(|a| a.entry == entry && a.at >= since && a.result == Result::Lost);
        lost.count() as u64
    }

    /// Compares the results with the runs that the targets recorded.
    pub fn verdict(&self, observed: &target::Snapshot) -> Verdict {
        let ran: BTreeSet<_> = observed.runs.iter().map(|r| r.attempt.as_str()).collect();
        let keys: BTreeSet<_> = observed.runs.iter().map(|r| r.key.as_str()).collect();
        let unfounded = self
            .attempts
            .iter()
            .filter(|a| a.result == Result::Replayed && !keys.contains(a.key.as_str()));
        let refused = self
            .attempts
            .iter()
            .filter(|a| a.result == Result::NotRun && ran.contains(a.id.as_str()));
        Verdict {
            wrong: self.wrong + unfounded.count() as u64,
            short: self.short,
            twice: observed.ran_twice() as u64,
            refused: refused.count() as u64,
        }
    }
}
