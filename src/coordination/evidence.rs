//! Evidence: what real requests tell about a target, and what the rest of the service tells in comparison.
//!
//! Each target of a cell keeps one [`Evidence`]. [`reference()`] pools the evidence of the other targets and of the
//! service's other cells into the [`Reference`] that [`crate::coordination::outlier`] compares a target with.

use crate::protocol::peer;
use crate::state::clock;

/// A request is slow from this multiple of the median on.
const SLOW_FACTOR: f64 = 2.5;
/// A request is never slow within this time above the median.
const SLOW_MARGIN_MS: f64 = 10.0;
/// A request stalls from this multiple of the slow limit by the median on.
const STALL_FACTOR: f64 = 4.0;
/// A request stalls from this multiple of the tail on, where runs differ so widely that this is longer.
const STALL_TAIL_FACTOR: f64 = 2.0;
/// The share of good answers that come within the tail.
const TAIL_SHARE: f64 = 0.95;
/// The most by which one answer moves the tail, as a share of it.
const TAIL_STEP: f64 = 0.2;
/// The median that is supposed while nothing was measured.
const COLD_MEDIAN_MS: f64 = 400.0;
/// The requests that the recent rates look back on.
const RECENT_COUNT: f64 = 16.0;
/// The requests that the settled rates look back on.
const SETTLED_COUNT: f64 = 256.0;
/// The requests that the supposed rates count for in a pool.
const PRIOR_COUNT: f64 = 8.0;
/// The span after which evidence counts half.
const HALF_LIFE_MS: f64 = 30_000.0;
/// How old a summary may be that tells of a cell's present state.
const FRESH_SPAN: clock::Millis = clock::Millis(5_000);
/// The least step of the running median, as a share of it.
const MEDIAN_STEP: f64 = 0.05;
/// The share of good requests that a reference keeps at least.
const LEAST_GOOD: f64 = 0.02;

/// How one request went, or goes, from best to worst.
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

/// The ages from which a request is slow, and stalls.
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
    /// Load pattern: short and long requests of one service, whose median is that of the short ones. By it alone each
    /// long one would be taken for a stall.
    pub fn new(median: f64, tail: f64) -> Limits {
        let slow = (median * SLOW_FACTOR).max(median + SLOW_MARGIN_MS);
        let stalled = (slow * STALL_FACTOR).max(tail * STALL_TAIL_FACTOR);
        Limits {
            slow: clock::Millis(slow.ceil() as u64),
            stalled: clock::Millis(stalled.ceil() as u64),
        }
    }

    /// Classes a request by its age.
    pub fn class(&self, age: clock::Millis) -> Class {
        if age >= self.stalled {
            return Class::Stalled;
        }
        if age >= self.slow {
            return Class::Slow;
        }
        Class::Good
    }

    /// Returns the age at which a request of `class` falls into the next worse class.
    pub fn next(&self, class: Class) -> Option<clock::Millis> {
        match class {
            Class::Good => Some(self.slow),
            Class::Slow => Some(self.stalled),
            Class::Stalled | Class::Failed => None,
        }
    }
}

/// Shares of requests by class, each from 0 to 1; the rest is good.
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
    /// What is supposed of a healthy service, and the least that a reference assumes.
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

    fn of(class: Class) -> Rates {
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

    /// Scales the bad shares down where they leave less than the least share of good requests.
    fn bounded(self) -> Rates {
        let most = 1.0 - LEAST_GOOD;
        if self.bad() <= most {
            return self;
        }
        self.scaled(most / self.bad())
    }
}

/// What the requests of one target have told so far.
#[derive(Clone, Debug)]
pub struct Evidence {
    recent: Rates,
    settled: Rates,
    count: f64,
    median: Option<f64>,
    /// The time within which nearly all good answers come, in milliseconds.
    tail: Option<f64>,
    timed: f64,
    last: clock::Millis,
}

impl Default for Evidence {
    fn default() -> Evidence {
        Evidence {
            recent: Rates::PRIOR,
            settled: Rates::PRIOR,
            count: 0.0,
            median: None,
            tail: None,
            timed: 0.0,
            last: clock::Millis::ZERO,
        }
    }
}

impl Evidence {
    /// Counts one request.
    pub fn count(&mut self, now: clock::Millis, class: Class) {
        let sample = Rates::of(class);
        let slowly = (1.0 / (self.count + PRIOR_COUNT)).max(1.0 / SETTLED_COUNT);
        self.recent = self
            .recent
            .zip(sample, |old, new| old + (new - old) / RECENT_COUNT);
        self.settled = self
            .settled
            .zip(sample, |old, new| old + (new - old) * slowly);
        self.count += 1.0;
        self.last = now;
    }

    /// Takes in the time that a good answer took.
    pub fn time(&mut self, took: clock::Millis) {
        let took = took.0.max(1) as f64;
        self.timed += 1.0;
        let step = (1.0 / self.timed).max(MEDIAN_STEP);
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

    /// Takes in that a request was given up at this age: its run may have been a long one, whose end nobody saw.
    pub fn outlast(&mut self, age: clock::Millis) {
        let age = age.0 as f64;
        self.tail = Some(self.tail.map_or(age, |t| t.max(age)));
    }

    /// Returns the number of recent requests, discounted by their age.
    pub fn weight(&self, now: clock::Millis) -> f64 {
        self.count.min(RECENT_COUNT) * discount(now - self.last)
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

/// The summary of another cell of the service, with its place in this home's time.
#[derive(Clone, Debug)]
pub struct Peer {
    at: clock::Millis,
    bad: f64,
    median: f64,
    seen: f64,
}

impl Peer {
    /// Takes in a summary that came at `now`.
    pub fn new(now: clock::Millis, summary: &peer::CellSummary) -> Peer {
        let bad = f64::from(summary.bad);
        Peer {
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
    pub fn fresh(&self, now: clock::Millis) -> Option<f64> {
        (now - self.at <= FRESH_SPAN).then_some(self.bad)
    }

    fn weight(&self, now: clock::Millis) -> f64 {
        self.seen * discount(now - self.at)
    }
}

/// What is to be expected of a target, by the rest of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reference {
    /// The shares of requests by class.
    pub rates: Rates,
    /// The ages from which a request is slow, and stalls.
    pub limits: Limits,
}

/// Pools the rest of the service: `others` are the cell's other targets, `peers` the service's other cells.
///
/// Each share is the greater one of the recent and the settled pool, so that a fault behind all targets raises the
/// reference within a few requests, and a spell of luck does not lower it. `own` gives the median where nobody else has one.
pub fn reference<'a>(
    now: clock::Millis,
    own: Option<f64>,
    others: impl Iterator<Item = &'a Evidence> + Clone,
    peers: impl Iterator<Item = &'a Peer> + Clone,
) -> Reference {
    let recent = pool(now, others.clone(), peers.clone(), |e| e.recent);
    let settled = pool(now, others.clone(), peers.clone(), |e| e.settled);
    let tails = others
        .clone()
        .filter_map(|e| Some((e.tail?, e.weight(now))));
    let tail = middle(tails).unwrap_or_default();
    let median = median(now, others, peers).or(own).unwrap_or(COLD_MEDIAN_MS);
    Reference {
        rates: recent
            .zip(settled, f64::max)
            .zip(Rates::PRIOR, f64::max)
            .bounded(),
        limits: Limits::new(median, tail),
    }
}

/// Returns the median of the medians of targets and cells, by their weights.
pub fn median<'a>(
    now: clock::Millis,
    targets: impl Iterator<Item = &'a Evidence>,
    peers: impl Iterator<Item = &'a Peer>,
) -> Option<f64> {
    let told = peers.filter(|p| p.median > 0.0);
    let own = targets.filter_map(|e| Some((e.median?, e.weight(now))));
    middle(own.chain(told.map(|p| (p.median, p.weight(now)))))
}

/// Returns the weighted median of values with their weights; absent where there are none.
fn middle(values: impl Iterator<Item = (f64, f64)>) -> Option<f64> {
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
    peers: impl Iterator<Item = &'a Peer>,
    rates: impl Fn(&Evidence) -> Rates,
) -> Rates {
    let mut sum = Rates::PRIOR.scaled(PRIOR_COUNT);
    let mut weights = PRIOR_COUNT;
    for evidence in others {
        let weight = evidence.weight(now);
        sum = sum.zip(rates(evidence), |s, share| s + share * weight);
        weights += weight;
    }
    // Peers tell one share for all bad classes; it is split as this cell's own requests are.
    let split = sum.scaled(1.0 / sum.bad());
    for peer in peers {
        let weight = peer.weight(now);
        sum = sum.zip(split, |s, part| s + part * peer.bad * weight);
        weights += weight;
    }
    sum.scaled(1.0 / weights)
}

fn discount(age: clock::Millis) -> f64 {
    (-(age.0 as f64) / HALF_LIFE_MS).exp2()
}
