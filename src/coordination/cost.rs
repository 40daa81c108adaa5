//! The estimate of the time that a request holds a slot, by route and class of body length.
//!
//! One mean per cell refuses a request of 20 ms because of a wait that a request of 900 ms cannot tolerate. So each
//! kind of request has an estimate of its own. It is the mean of the latest hold times, each limited to a multiple of
//! their median. The median ignores a long tail and a minority of unhealthy targets, and the limit keeps the share of
//! the tail that takes up slots on ordinary days.

use std::collections::{BTreeMap, VecDeque};

use crate::state::clock;

/// The number of latest hold times that an estimate is computed from.
const SAMPLES: usize = 64;
/// The least number of hold times for an estimate; with fewer, the estimate of the whole route applies.
const MIN_SAMPLES: usize = 4;
/// The multiple of the median to which a hold time is limited. With 3 in 100 requests that take seven times as long,
/// an unlimited mean of 64 values varies by a fifth from one estimate to the next.
const MAX_MULTIPLE: f64 = 3.0;
/// The most kinds of requests with estimates; the one that was used least recently is dropped.
const MAX_KINDS: usize = 512;
/// The upper limit of the body lengths of the first class, in bytes; each further class is four times as long.
const FIRST_LENGTH: u64 = 4_096;

/// A kind of request whose members are expected to need the same work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    /// The hash of the route; 0 if the route is unknown.
    pub route: u64,
    /// The class of the body length; absent if the length is unknown.
    pub length: Option<u8>,
}

impl Kind {
    /// Returns the kind of a request from what its entry states.
    pub fn new(route: u64, length: Option<u64>) -> Kind {
        let class = |length: u64| {
            let excess = length.div_ceil(FIRST_LENGTH).max(1);
            // One class for each factor of 4, which is two bits.
            let bits = u64::BITS - (excess - 1).leading_zeros();
            u8::try_from(bits.div_ceil(2)).unwrap_or(u8::MAX)
        };
        Kind {
            route,
            length: length.map(class),
        }
    }

    /// Returns the kind of all requests of the route, whatever their length.
    fn whole_route(self) -> Kind {
        Kind {
            length: None,
            ..self
        }
    }
}

/// The latest hold times of one kind.
#[derive(Clone, Debug, Default)]
struct Samples {
    latest: VecDeque<u64>,
    estimate: f64,
    /// When the last hold time was recorded.
    used: clock::Millis,
}

impl Samples {
    fn record(&mut self, now: clock::Millis, took: clock::Millis) {
        if self.latest.len() == SAMPLES {
            self.latest.pop_front();
        }
        self.latest.push_back(took.0);
        self.used = now;
        let mut sorted: Vec<_> = self.latest.iter().copied().collect();
        sorted.sort_unstable();
        let limit = sorted[sorted.len() / 2] as f64 * MAX_MULTIPLE;
        let sum: f64 = sorted.iter().map(|t| (*t as f64).min(limit)).sum();
        self.estimate = sum / sorted.len() as f64;
    }
}

/// The estimates of a cell.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    kinds: BTreeMap<Kind, Samples>,
}

impl Estimator {
    /// Records how long an answered request held its slot. The caller leaves out targets that are known to be
    /// unhealthy. A request of an unknown route has no effect.
    pub fn record(&mut self, now: clock::Millis, kind: Kind, took: clock::Millis) {
        if kind.route == 0 {
            return;
        }
        if kind.length.is_some() {
            self.samples(kind).record(now, took);
        }
        self.samples(kind.whole_route()).record(now, took);
    }

    /// Returns the expected hold time of a request in milliseconds: by its route and length, or by its route while its
    /// length has too few values. Absent while nothing is known of the route.
    pub fn estimate(&self, kind: Kind) -> Option<f64> {
        let known = |kind: Kind| {
            let samples = self.kinds.get(&kind)?;
            (samples.latest.len() >= MIN_SAMPLES).then_some(samples.estimate)
        };
        known(kind).or_else(|| known(kind.whole_route()))
    }

    fn samples(&mut self, kind: Kind) -> &mut Samples {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            let oldest = self.kinds.iter().min_by_key(|(_, samples)| samples.used);
            if let Some(oldest) = oldest.map(|(kind, _)| *kind) {
                self.kinds.remove(&oldest);
            }
        }
        self.kinds.entry(kind).or_default()
    }
}
