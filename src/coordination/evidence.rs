//! Evidence: statistics of the requests to each target, and of the rest of the service for comparison.
//!
//! Each target of a cell keeps one [`Evidence`]. [`reference()`] pools the evidence of the other targets and of the
//! service's other cells into the [`Reference`] with which [`crate::coordination::outlier`] compares a target.

use crate::protocol::peer;
use crate::state::clock;

/// A request is slow from this multiple of the median on.
const SLOW_FACTOR: f64 = 2.5;
/// A request is never slow within this time above the median.
const SLOW_MARGIN_MS: f64 = 10.0;
/// A request stalls from this multiple of the slow limit on.
const STALL_FACTOR: f64 = 4.0;
/// A request stalls from this multiple of the tail on, if that is longer because run times vary widely.
const STALL_TAIL_FACTOR: f64 = 2.0;
/// The quantile of the times of good answers that the tail estimates.
const TAIL_SHARE: f64 = 0.95;
/// The largest step of the tail for one answer, as a share of the tail.
const TAIL_STEP: f64 = 0.2;
/// The median that is assumed until one is measured.
const DEFAULT_MEDIAN_MS: f64 = 400.0;
/// The number of requests over which the recent rates are averaged.
const RECENT_COUNT: f64 = 16.0;
/// The number of requests over which the long-term rates are averaged.
const LONG_TERM_COUNT: f64 = 256.0;
/// The number of requests that the prior rates count for in a pool.
const PRIOR_COUNT: f64 = 8.0;
/// The time in which the weight of evidence halves.
const HALF_LIFE_MS: f64 = 30_000.0;
/// The age above which the statistics in the summary of another cell are outdated.
const STATS_MAX_AGE: clock::Millis = clock::Millis(5_000);
/// The smallest step of the median estimate, as a share of the median.
const MEDIAN_STEP: f64 = 0.05;
/// The least share of good requests in a reference.
const MIN_GOOD_SHARE: f64 = 0.02;

/// The class of a request, from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Answered within the slow limit.
    Good,
    /// Older than the slow limit.
    Slow,
    /// Older than the stall limit.
    Stalled,
    /// Failed, whatever time it took.
    Failed,
}

/// The ages from which a request is slow or stalls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The age from which a request is slow.
    pub slow: clock::Millis,
    /// The age from which a request stalls.
    pub stalled: clock::Millis,
}

impl Limits {
    /// Derives the limits from the median and the tail of the times of good answers, in milliseconds.
    ///
    /// Load pattern: short and long requests of one service, where the median is that of the short ones. By the median
    /// alone each long request would count as stalled.
    pub fn new(median: f64, tail: f64) -> Limits {
        let slow = (median * SLOW_FACTOR).max(median + SLOW_MARGIN_MS);
        let stalled = (slow * STALL_FACTOR).max(tail * STALL_TAIL_FACTOR);
        Limits {
            slow: clock::Millis(slow.ceil() as u64),
            stalled: clock::Millis(stalled.ceil() as u64),
        }
    }

    /// Returns the class of a request by its age.
    pub fn class(&self, age: clock::Millis) -> Class {
        if age >= self.stalled {
            return Class::Stalled;
        }
        if age >= self.slow {
            return Class::Slow;
        }
        Class::Good
    }

    /// Returns the age at which a request of `class` enters the next worse class.
    pub fn next_age(&self, class: Class) -> Option<clock::Millis> {
        match class {
            Class::Good => Some(self.slow),
            Class::Slow => Some(self.stalled),
            Class::Stalled | Class::Failed => None,
        }
    }
}

/// The shares of requests in the bad classes, each from 0 to 1; the rest are good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// The share of slow requests.
    pub slow: f64,
    /// The share of stalled requests.
    pub stalled: f64,
    /// The share of failed requests.
    pub failed: f64,
}

impl Rates {
    /// The rates that are assumed for a healthy service, and the lowest rates of a reference.
    pub const PRIOR: Rates = Rates {
        slow: 0.05,
        stalled: 0.001,
        failed: 0.01,
    };

    /// Returns the share of requests that were not good.
    pub fn bad(&self) -> f64 {
        self.slow + self.stalled + self.failed
    }

    /// Returns the share of good requests.
    pub fn good(&self) -> f64 {
        1.0 - self.bad()
    }

    fn from_class(class: Class) -> Rates {
        let share = |c| if class == c { 1.0 } else { 0.0 };
        Rates {
            slow: share(Class::Slow),
            stalled: share(Class::Stalled),
            failed: share(Class::Failed),
        }
    }

    fn zip(self, other: Rates, f: impl Fn(f64, f64) -> f64) -> Rates {
        Rates {
            slow: f(self.slow, other.slow),
            stalled: f(self.stalled, other.stalled),
            failed: f(self.failed, other.failed),
        }
    }

    fn scaled(self, factor: f64) -> Rates {
        self.zip(self, |share, _| share * factor)
    }

    /// Scales the bad shares down if they leave less than [`MIN_GOOD_SHARE`] of good requests.
    fn bounded(self) -> Rates {
        let max_bad = 1.0 - MIN_GOOD_SHARE;
        if self.bad() <= max_bad {
            return self;
        }
        self.scaled(max_bad / self.bad())
    }
}

/// The statistics of the requests to one target.
#[derive(Clone, Debug)]
pub struct Evidence {
    recent: Rates,
    long_term: Rates,
    count: f64,
    median: Option<f64>,
    /// The time within which nearly all good answers are received, in milliseconds.
    tail: Option<f64>,
    time_count: f64,
    last: clock::Millis,
}

impl Default for Evidence {
    fn default() -> Evidence {
        Evidence {
            recent: Rates::PRIOR,
            long_term: Rates::PRIOR,
            count: 0.0,
            median: None,
            tail: None,
            time_count: 0.0,
            last: clock::Millis::ZERO,
        }
    }
}

impl Evidence {
    /// Counts one request.
    pub fn record(&mut self, now: clock::Millis, class: Class) {
        let sample = Rates::from_class(class);
        let step = (1.0 / (self.count + PRIOR_COUNT)).max(1.0 / LONG_TERM_COUNT);
        self.recent = self
            .recent
            .zip(sample, |old, new| old + (new - old) / RECENT_COUNT);
        self.long_term = self
            .long_term
            .zip(sample, |old, new| old + (new - old) * step);
        self.count += 1.0;
        self.last = now;
    }

    /// Updates the median and the tail with the time of a good answer.
    pub fn record_time(&mut self, took: clock::Millis) {
        let took = took.0.max(1) as f64;
        self.time_count += 1.0;
        let step = (1.0 / self.time_count).max(MEDIAN_STEP);
        self.median = Some(match self.median {
            None => took,
            Some(m) if took > m => (m * (1.0 + step)).min(took),
            Some(m) => (m * (1.0 - step)).max(took),
        });
        self.tail = Some(match self.tail {
            None => took,
            Some(t) if took > t => (t * (1.0 + TAIL_STEP * TAIL_SHARE)).min(took),
            Some(t) => (t * (1.0 - TAIL_STEP * (1.0 - TAIL_SHARE))).max(took),
        });
    }

    /// Raises the tail to the age of a request that was abandoned: it may have been a long run whose end was not
    /// observed.
    pub fn record_unfinished(&mut self, age: clock::Millis) {
        let age = age.0 as f64;
        self.tail = Some(self.tail.map_or(age, |t| t.max(age)));
    }

    /// Returns the number of recent requests, discounted by the age of the last one.
    pub fn weight(&self, now: clock::Millis) -> f64 {
        self.count.min(RECENT_COUNT) * age_weight(now - self.last)
    }

    /// Returns the shares of the recent requests.
    pub fn recent(&self) -> Rates {
        self.recent
    }

    /// Returns the median time of good answers, in milliseconds; absent before the first.
    pub fn median(&self) -> Option<f64> {
        self.median
    }
}

/// The summary of another cell of the service, with its time converted to this home's clock.
#[derive(Clone, Debug)]
pub struct PeerStats {
    at: clock::Millis,
    bad: f64,
    median: f64,
    seen: f64,
}

impl PeerStats {
    /// Converts a summary that was received at `now`.
    pub fn new(now: clock::Millis, summary: &peer::CellSummary) -> PeerStats {
        let bad = f64::from(summary.bad);
        PeerStats {
            at: now - summary.age,
            bad: if bad.is_finite() {
                bad.clamp(0.0, 1.0)
            } else {
                0.0
            },
            median: summary.median.0 as f64,
            seen: f64::from(summary.seen),
        }
    }

    /// Returns when the summary was made, by this home's clock.
    pub fn at(&self) -> clock::Millis {
        self.at
    }

    /// Returns the share of bad requests if the summary is recent.
    pub fn current_bad(&self, now: clock::Millis) -> Option<f64> {
        (now - self.at <= STATS_MAX_AGE).then_some(self.bad)
    }

    fn weight(&self, now: clock::Millis) -> f64 {
        self.seen * age_weight(now - self.at)
    }
}

/// The rates and limits that a target is expected to meet, by the rest of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reference {
    /// The shares of requests by class.
    pub rates: Rates,
    /// The ages from which a request is slow or stalls.
    pub limits: Limits,
}

/// Pools the rest of the service: `others` are the cell's other targets, `peers` the service's other cells.
///
/// Each share is the greater one of the recent and the long-term pool. So a fault common to all targets raises the
/// reference within a few requests, and a short run without failures does not lower it. `own` is the median that
/// applies if no other target or cell has one.
pub fn reference<'a>(
    now: clock::Millis,
    own: Option<f64>,
    others: impl Iterator<Item = &'a Evidence> + Clone,
    peers: impl Iterator<Item = &'a PeerStats> + Clone,
) -> Reference {
    let recent = pool(now, others.clone(), peers.clone(), |e| e.recent);
    let long_term = pool(now, others.clone(), peers.clone(), |e| e.long_term);
    let tails = others
        .clone()
        .filter_map(|e| Some((e.tail?, e.weight(now))));
    let tail = weighted_median(tails).unwrap_or_default();
    let median = median(now, others, peers)
        .or(own)
        .unwrap_or(DEFAULT_MEDIAN_MS);
    Reference {
        rates: recent
            .zip(long_term, f64::max)
            .zip(Rates::PRIOR, f64::max)
            .bounded(),
        limits: Limits::new(median, tail),
    }
}

/// Returns the weighted median of the medians of targets and cells.
pub fn median<'a>(
    now: clock::Millis,
    targets: impl Iterator<Item = &'a Evidence>,
    peers: impl Iterator<Item = &'a PeerStats>,
) -> Option<f64> {
    let summarized = peers.filter(|p| p.median > 0.0);
    let own = targets.filter_map(|e| Some((e.median?, e.weight(now))));
    weighted_median(own.chain(summarized.map(|p| (p.median, p.weight(now)))))
}

/// Returns the weighted median of pairs of value and weight; absent if there are none.
fn weighted_median(values: impl Iterator<Item = (f64, f64)>) -> Option<f64> {
    let mut all: Vec<_> = values.collect();
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half = all.iter().map(|(_, w)| w).sum::<f64>() / 2.0;
    let mut below = 0.0;
    for (value, weight) in &all {
        below += weight;
        if below >= half {
            return Some(*value);
        }
    }
    None
}

fn pool<'a>(
    now: clock::Millis,
    others: impl Iterator<Item = &'a Evidence>,
    peers: impl Iterator<Item = &'a PeerStats>,
    rates: impl Fn(&Evidence) -> Rates,
) -> Rates {
    let mut sum = Rates::PRIOR.scaled(PRIOR_COUNT);
    let mut weights = PRIOR_COUNT;
    for evidence in others {
        let weight = evidence.weight(now);
        sum = sum.zip(rates(evidence), |s, share| s + share * weight);
        weights += weight;
    }
    // Peers report one share for all bad classes; it is split in the proportions of this cell's own requests.
    let split = sum.scaled(1.0 / sum.bad());
    for peer in peers {
        let weight = peer.weight(now);
        sum = sum.zip(split, |s, part| s + part * peer.bad * weight);
        weights += weight;
    }
    sum.scaled(1.0 / weights)
}

fn age_weight(age: clock::Millis) -> f64 {
    (-(age.0 as f64) / HALF_LIFE_MS).exp2()
}
