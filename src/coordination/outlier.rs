//! Outlier detection: a CUSUM of log-likelihood ratios over the requests of one target.
//!
//! The null hypothesis is the [`evidence::Reference`]: the target performs like the rest of its service. The
//! alternative moves a share of the good requests to the bad classes. Each request adds its log-likelihood ratio to the
//! sum, which never falls below zero. The shares of the alternative add up to one, so on average a healthy target
//! exceeds a threshold `h` at most once in `exp(h)` requests (Lorden's bound). `docs/design/cell.md` gives the figures
//! for the thresholds of [`crate::state::bundle::Ejection`].

use crate::coordination::evidence;

/// The share of good requests that are slow under the alternative.
const SLOW_SHIFT: f64 = 0.15;
/// The share of good requests that stall under the alternative.
const STALLED_SHIFT: f64 = 0.05;
/// The share of good requests that fail under the alternative.
const FAILED_SHIFT: f64 = 0.10;
/// The upper bound of the sum, so that a target that was faulty for a long time can recover.
const MAX_SUM: f64 = 30.0;

/// Returns the log-likelihood ratio of one request of `class`; a positive one is evidence against the target.
pub fn log_ratio(class: evidence::Class, rates: &evidence::Rates) -> f64 {
    let raised = |share: f64, shift: f64| (1.0 + shift * rates.good() / share).ln();
    match class {
        evidence::Class::Good => (1.0 - SLOW_SHIFT - STALLED_SHIFT - FAILED_SHIFT).ln(),
        evidence::Class::Slow => raised(rates.slow, SLOW_SHIFT),
        evidence::Class::Stalled => raised(rates.stalled, STALLED_SHIFT),
        evidence::Class::Failed => raised(rates.failed, FAILED_SHIFT),
    }
}

/// The cumulative sum of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Score {
    sum: f64,
}

impl Score {
    /// Adds the log-likelihood ratio of one request, or the remainder if a part was added before.
    pub fn add(&mut self, ratio: f64) {
        self.sum = (self.sum + ratio).clamp(0.0, MAX_SUM);
    }

    /// Sets the sum.
    pub fn reset(&mut self, sum: f64) {
        self.sum = sum;
    }

    /// Lowers the sum to at most `max`.
    pub fn cap(&mut self, max: f64) {
        self.sum = self.sum.min(max);
    }

    /// Returns the sum.
    pub fn value(&self) -> f64 {
        self.sum
    }
}
