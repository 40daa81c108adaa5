//! What one run showed, and what the runs of a family show together.

use std::collections::BTreeMap;

use peridotspread::state::clock;
use serde::Serialize;

const MS_PER_HOUR: f64 = 3_600_000.0;

/// How long a gray target got new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Detection {
    /// The time from onset to the last new request.
    After(clock::Millis),
    /// New requests went on until the fault's end.
    Never,
}

/// What one run showed.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// One entry for each target with a fault of its own.
    pub detections: Vec<Detection>,
    /// Requests that were not served, or later than the trace allows.
    pub harmed: usize,
    /// Requests by tier: all, and those served.
    pub tiers: BTreeMap<u8, Share>,
    /// What callers were told in place of the target's answer, by tier and cause.
    pub causes: BTreeMap<(u8, &'static str), usize>,
    /// Requests, resent ones included.
    pub requests: usize,
    /// Tries beyond the first of each request.
    pub retries: usize,
    /// Trials: tries by which the policy finds out whether a target that is passed over has recovered.
    pub trials: usize,
    /// Ejections of targets with no fault of their own; a policy of daemons for themselves counts each daemon's share.
    pub false_ejections: f64,
    /// The time that targets spent without a fault of their own.
    pub healthy: clock::Millis,
    /// Times at which ejection took a service's targets below its floor.
    pub floor_breaches: usize,
    /// Non-idempotent requests that ran again.
    pub ran_twice: usize,
    /// Requests that ran though they were refused as not run.
    pub ran_though_refused: usize,
    /// Restarts of targets that requests caused.
    pub crashes: usize,
}

/// Served requests among all.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    /// All requests.
    pub all: usize,
    /// Those served.
    pub served: usize,
}

impl Share {
    /// Returns the share; 1 where there are no requests.
    pub fn value(&self) -> f64 {
        if self.all == 0 {
            return 1.0;
        }
        self.served as f64 / self.all as f64
    }
}

/// One line of `cargo lab policy --json`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The trace's family.
    pub family: String,
    /// The user whose fleet and rules it ran on.
    pub user: String,
    /// The policy.
    pub policy: String,
    /// The median detection time; absent where it is "never" or nothing was to detect.
    pub detect_p50_ms: Option<u64>,
    /// The 99th percentile of the detection time.
    pub detect_p99_ms: Option<u64>,
    /// Gray targets that got new requests until the fault's end.
    pub never: usize,
    /// Gray targets in all runs.
    pub gray: usize,
    /// Requests harmed.
    pub harmed: usize,
    /// Requests in all.
    pub requests: usize,
    /// Ejections of targets with no fault of their own.
    pub false_ejections: f64,
    /// Hours that targets spent without a fault of their own.
    pub target_hours: f64,
    /// Shares served, first tier first.
    pub served_by_tier: Vec<f64>,
    /// Tries beyond the first, for each request.
    pub retries_per_request: f64,
    /// Trials at targets that are passed over.
    pub trials: usize,
    /// Times at which ejection took a service's targets below its floor.
    pub floor_breaches: usize,
    /// Non-idempotent requests that ran again.
    pub ran_twice: usize,
    /// Requests that ran though they were refused as not run.
    pub ran_though_refused: usize,
    /// Restarts of targets that requests caused.
    pub crashes: usize,
    /// What callers were told in place of the target's answer, by tier and cause.
    pub causes: BTreeMap<String, usize>,
    /// The runs behind the line.
    pub seeds: usize,
}

impl Line {
    /// Sums up the runs of one family, user and policy.
    pub fn new(family: &str, user: &str, policy: &str, runs: &[Run]) -> Line {
        let count = |f: fn(&Run) -> usize| runs.iter().map(f).sum::<usize>();
        let detections = detections(runs);
        let requests = count(|r| r.requests);
        Line {
            family: family.to_owned(),
            user: user.to_owned(),
            policy: policy.to_owned(),
            detect_p50_ms: percentile(&detections, 0.50),
            detect_p99_ms: percentile(&detections, 0.99),
            never: detections
                .iter()
                .filter(|d| **d == Detection::Never)
                .count(),
            gray: detections.len(),
            harmed: count(|r| r.harmed),
            requests,
            false_ejections: rounded(runs.iter().map(|r| r.false_ejections).sum()),
            target_hours: rounded(runs.iter().map(|r| r.healthy.0 as f64 / MS_PER_HOUR).sum()),
            served_by_tier: served(runs).into_iter().map(rounded).collect(),
            retries_per_request: rounded(count(|r| r.retries) as f64 / requests.max(1) as f64),
            trials: count(|r| r.trials),
            floor_breaches: count(|r| r.floor_breaches),
            ran_twice: count(|r| r.ran_twice),
            ran_though_refused: count(|r| r.ran_though_refused),
            crashes: count(|r| r.crashes),
            causes: causes(runs),
            seeds: runs.len(),
        }
    }
}

/// Returns the detections of all runs, shortest first and "never" last.
fn detections(runs: &[Run]) -> Vec<Detection> {
    let mut all: Vec<_> = runs
        .iter()
        .flat_map(|r| r.detections.iter().copied())
        .collect();
    all.sort();
    all
}

/// Returns the percentile `share` of sorted detections by the nearest rank.
fn percentile(sorted: &[Detection], share: f64) -> Option<u64> {
    let rank = (share * sorted.len() as f64).ceil() as usize;
    match sorted.get(rank.saturating_sub(1))? {
        Detection::After(span) => Some(span.0),
        Detection::Never => None,
    }
}

/// Returns the shares served by tier over all runs, first tier first.
pub fn served(runs: &[Run]) -> Vec<f64> {
    let mut tiers = BTreeMap::<u8, Share>::new();
    for (tier, share) in runs.iter().flat_map(|r| &r.tiers) {
        let sum = tiers.entry(*tier).or_default();
        sum.all += share.all;
        sum.served += share.served;
    }
    tiers.values().map(Share::value).collect()
}

/// Sums up by tier and cause what callers were told in place of the target's answer.
fn causes(runs: &[Run]) -> BTreeMap<String, usize> {
    let mut sums = BTreeMap::new();
    for ((tier, cause), count) in runs.iter().flat_map(|r| &r.causes) {
        *sums.entry(format!("{tier}-{cause}")).or_default() += count;
    }
    sums
}

/// Rounds to four decimal places.
fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
