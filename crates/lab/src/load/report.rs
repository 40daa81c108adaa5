//! What a load counted, and the comparison with what the targets counted.

use std::collections::{BTreeMap, BTreeSet};
use std::time;

use hdrhistogram::Histogram;
use peridotspread::state::clock;
use serde::Serialize;

use crate::target;

/// What a caller was told by one send of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Result {
    /// The whole answer of a target.
    Served,
    /// The recorded outcome of a run that an earlier send began.
    Replayed,
    /// A refusal that says that the request did not run.
    NotRun,
    /// A refusal that says that the request may have run.
    Unknown,
    /// No answer, or one that was seen to break off.
    Lost,
    /// An answer to another request, or altered.
    Wrong,
    /// An answer that ended as if whole, but was not.
    Short,
}

/// One send of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Attempt {
    /// Names the send; targets note it with each run.
    pub id: String,
    /// The idempotency key; empty without.
    pub key: String,
    /// The entry that it went to; empty where none took a connection.
    pub entry: String,
    /// When it ended.
    pub at: clock::Millis,
    /// What the caller was told.
    pub result: Result,
}

/// The counts of one group of requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Group {
    /// Requests that arrived.
    pub sent: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were refused as not run, with all their resends.
    pub not_run: u64,
    /// Requests whose caller can't know whether they ran.
    pub unknown: u64,
}

/// What callers were told.
#[derive(Clone, Debug)]
pub struct Report {
    /// All requests.
    pub total: Group,
    /// Requests by service.
    pub services: BTreeMap<String, Group>,
    /// Requests by tier.
    pub tiers: BTreeMap<String, Group>,
    /// Answers to another request, or altered.
    pub wrong: u64,
    /// Answers that ended as if whole, but were not.
    pub short: u64,
    /// Every send.
    pub attempts: Vec<Attempt>,
    /// Microseconds from the scheduled arrival until the request was served.
    pub latency: Histogram<u64>,
    /// The same by tier.
    pub waits: BTreeMap<String, Histogram<u64>>,
}

fn histogram() -> Histogram<u64> {
    const SIGNIFICANT_DIGITS: u8 = 3;
    Histogram::new(SIGNIFICANT_DIGITS).expect("three digits are allowed")
}

/// Records a value; the histogram grows as far as it needs.
fn record(histogram: &mut Histogram<u64>, value: u64) {
    histogram
        .record(value)
        .expect("the histogram grows to any value that occurs");
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
            waits: BTreeMap::new(),
        }
    }
}

/// The comparison of what callers were told with what targets counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Answers to another request, altered ones, and recorded outcomes of work that never ran.
    #[serde(rename = "wrong_answers")]
    pub wrong: u64,
    /// Answers that ended as if whole, but were not.
    #[serde(rename = "truncated_unseen")]
    pub short: u64,
    /// Non-idempotent requests that ran more than once.
    #[serde(rename = "ran_twice")]
    pub twice: u64,
    /// Sends that were refused as not run, and yet ran.
    #[serde(rename = "ran_though_refused")]
    pub refused: u64,
}

impl Report {
    pub(super) fn arrived(&mut self, service: &str, tier: &str) {
        self.each(service, tier, |g| g.sent += 1);
    }

    pub(super) fn finished(
        &mut self,
        service: &str,
        tier: &str,
        result: Result,
        span: time::Duration,
    ) {
        match result {
            Result::Served | Result::Replayed => {
                self.each(service, tier, |g| g.served += 1);
                let us = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
                record(&mut self.latency, us);
                let wait = self.waits.entry(tier.to_owned());
                record(wait.or_insert_with(histogram), us);
            }
            Result::NotRun => self.each(service, tier, |g| g.not_run += 1),
            Result::Unknown | Result::Lost => self.each(service, tier, |g| g.unknown += 1),
            Result::Wrong => self.wrong += 1,
            Result::Short => self.short += 1,
        }
    }

    fn each(&mut self, service: &str, tier: &str, change: impl Fn(&mut Group)) {
        change(&mut self.total);
        change(self.services.entry(service.to_owned()).or_default());
        change(self.tiers.entry(tier.to_owned()).or_default());
    }

    /// Counts the sends through `entry` that got no answer from `since` on.
    pub fn lost_at(&self, entry: &str, since: clock::Millis) -> u64 {
        let lost = self
            .attempts
            .iter()
            .filter(|a| a.entry == entry && a.at >= since && a.result == Result::Lost);
        lost.count() as u64
    }

    /// Compares the report with what the targets counted.
    pub fn verdict(&self, counted: &target::Snapshot) -> Verdict {
        let ran: BTreeSet<_> = counted.runs.iter().map(|r| r.attempt.as_str()).collect();
        let keys: BTreeSet<_> = counted.runs.iter().map(|r| r.key.as_str()).collect();
        let replayed = self
            .attempts
            .iter()
            .filter(|a| a.result == Result::Replayed && !keys.contains(a.key.as_str()));
        let refused = self
            .attempts
            .iter()
            .filter(|a| a.result == Result::NotRun && ran.contains(a.id.as_str()));
        Verdict {
            wrong: self.wrong + replayed.count() as u64,
            short: self.short,
            twice: counted.ran_twice() as u64,
            refused: refused.count() as u64,
        }
    }
}
