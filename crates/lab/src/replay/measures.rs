//! Measurements of one run, and their aggregation over the runs of a family.

use std::collections::BTreeMap;

use peridotspread::state::clock;
use serde::Serialize;

const MS_PER_HOUR: f64 = 3_600_000.0;

/// The time for which a target with a gray failure kept receiving new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Detection {
    /// The time from the onset of the fault to the last new request.
    After(clock::Millis),
    /// The target received new requests until the end of the fault.
    Never,
}

/// The measurements of one run.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// The detection time of each target that has a fault of its own.
    pub detections: Vec<Detection>,
    /// The number of requests that were not served, or were served later than the trace allows.
    pub harmed: usize,
    /// The requests of each tier: all of them, and those served.
    pub tiers: BTreeMap<u8, Share>,
    /// The requests of each stream.
    pub streams: BTreeMap<usize, Share>,
    /// The worth of the answers to the requests of streams: 1 within the objective, and a third after it.
    pub worth: f64,
    /// The number of requests that were not served, by tier and cause.
    pub causes: BTreeMap<(u8, &'static str), usize>,
    /// The number of requests, including resent ones.
    pub requests: usize,
    /// The number of tries beyond the first of each request.
    pub retries: usize,
    /// The number of trials: half-open tries that probe whether an avoided or ejected target has recovered.
    pub trials: usize,
    /// The number of ejections of targets without a fault of their own. In the baseline, where each daemon ejects on
    /// its own, an ejection by one daemon counts as that daemon's share of the fleet.
    pub false_ejections: f64,
    /// The total time, over all targets, without a fault of the target's own.
    pub healthy: clock::Millis,
    /// The number of times that ejections left fewer targets than the floor of the service.
    pub floor_breaches: usize,
    /// The number of repeated runs of non-idempotent requests.
    pub ran_twice: usize,
    /// The number of requests that were refused as not run but did run.
    pub ran_though_refused: usize,
    /// The number of target restarts that requests caused.
    pub crashes: usize,
}

/// The number of served requests out of all requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    /// The number of all requests.
    pub all: usize,
    /// The number of served requests.
    pub served: usize,
}

impl Share {
    /// Returns the share of requests that were served, or 1 if there are no requests.
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
    /// The family of the trace.
    pub family: String,
    /// The user whose fleet and rules the trace was replayed on.
    pub user: String,
    /// The name of the policy.
    pub policy: String,
    /// The median detection time, in milliseconds; absent if it is [`Detection::Never`] or no target had a fault of its
    /// own.
    pub detect_p50_ms: Option<u64>,
    /// The 99th percentile of the detection time, in milliseconds; absent as above.
    pub detect_p99_ms: Option<u64>,
    /// The number of gray targets that received new requests until the end of the fault.
    pub never: usize,
    /// The number of gray targets in all runs.
    pub gray: usize,
    /// The number of requests that were not served, or were served later than the trace allows.
    pub harmed: usize,
    /// The number of requests, including resent ones.
    pub requests: usize,
    /// The number of ejections of targets without a fault of their own.
    pub false_ejections: f64,
    /// The total time, over all targets, without a fault of the target's own, in hours.
    pub target_hours: f64,
    /// The share of requests served in each tier, first tier first.
    pub served_by_tier: Vec<f64>,
    /// The average number of tries beyond the first per request.
    pub retries_per_request: f64,
    /// The number of half-open tries at avoided or ejected targets.
    pub trials: usize,
    /// The number of times that ejections left fewer targets than the floor of the service.
    pub floor_breaches: usize,
    /// The number of repeated runs of non-idempotent requests.
    pub ran_twice: usize,
    /// The number of requests that were refused as not run but did run.
    pub ran_though_refused: usize,
    /// The number of target restarts that requests caused.
    pub crashes: usize,
    /// The mean worth of the answers to the requests of streams; absent without streams.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub worth: Option<f64>,
    /// The share of requests served in each stream.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub served_by_stream: Vec<f64>,
    /// The number of requests that were not served, by tier and cause.
    pub causes: BTreeMap<String, usize>,
    /// The number of runs that the line aggregates.
    pub seeds: usize,
}

impl Line {
    /// Aggregates the runs of one family, user and policy.
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
            worth: worth(runs).map(rounded),
            served_by_stream: streams(runs).iter().map(|s| rounded(s.value())).collect(),
            causes: causes(runs),
            seeds: runs.len(),
        }
    }
}

/// Returns the detections of all runs in ascending order, with [`Detection::Never`] last.
fn detections(runs: &[Run]) -> Vec<Detection> {
    let mut all: Vec<_> = runs
        .iter()
        .flat_map(|r| r.detections.iter().copied())
        .collect();
    all.sort();
    all
}

/// Returns the percentile `share` (0 to 1) of sorted detections by the nearest-rank method, in milliseconds; `None` if
/// it is [`Detection::Never`] or there are no detections.
fn percentile(sorted: &[Detection], share: f64) -> Option<u64> {
    let rank = (share * sorted.len() as f64).ceil() as usize;
    match sorted.get(rank.saturating_sub(1))? {
        Detection::After(span) => Some(span.0),
        Detection::Never => None,
    }
}

/// Returns the share of requests served in each tier over all runs, first tier first.
pub fn served(runs: &[Run]) -> Vec<f64> {
    let mut tiers = BTreeMap::<u8, Share>::new();
    for (tier, share) in runs.iter().flat_map(|r| &r.tiers) {
        let sum = tiers.entry(*tier).or_default();
        sum.all += share.all;
        sum.served += share.served;
    }
    tiers.values().map(Share::value).collect()
}

/// Returns the requests of each stream over all runs.
pub fn streams(runs: &[Run]) -> Vec<Share> {
    let mut streams = BTreeMap::<usize, Share>::new();
    for (stream, share) in runs.iter().flat_map(|r| &r.streams) {
        let sum = streams.entry(*stream).or_default();
        sum.all += share.all;
        sum.served += share.served;
    }
    streams.into_values().collect()
}

/// Returns the mean worth of the answers to the requests of streams over all runs; `None` if there are none.
pub fn worth(runs: &[Run]) -> Option<f64> {
    let requests: usize = streams(runs).iter().map(|s| s.all).sum();
    let sum: f64 = runs.iter().map(|r| r.worth).sum();
    (requests > 0).then(|| sum / requests as f64)
}

/// Returns the number of requests that were not served over all runs, by tier and cause.
fn causes(runs: &[Run]) -> BTreeMap<String, usize> {
    let mut sums = BTreeMap::new();
    for ((tier, cause), count) in runs.iter().flat_map(|r| &r.causes) {
        *sums.entry(format!("{tier}-{cause}")).or_default() += count;
    }
    sums
}

/// Rounds `value` to four decimal places.
fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
