//! The sequential test: a CUSUM of log-likelihood ratios over the requests of one target.
//!
//! The hypothesis of health is the [`evidence::Reference`], that the target does as the rest of its service. The
//! alternative moves a share of the good requests to the bad classes. Each request adds the logarithm of the ratio of
//! its likelihoods, and the sum never falls below zero. The shares of the alternative add up to one, so a healthy target
//! passes a threshold `h` once in `exp(h)` requests at most, on average (Lorden's bound). `docs/design/cell.md` gives
//! the figures for the thresholds of [`crate::state::bundle::Ejection`].

use crate::coordination::evidence;

/// The share of good requests that the alternative takes to be slow.
const SLOW_SHIFT: f64 = 0.15;
/// The share of good requests that the alternative takes to stall.
const STALLED_SHIFT: f64 = 0.05;
/// The share of good requests that the alternative takes to fail.
const FAILED_SHIFT: f64 = 0.10;
/// The sum is kept below this, so that a target that was sick for long can recover.
const CEILING: f64 = 30.0;

/// Returns the log-likelihood ratio of one request of `class`: positive speaks against the target.
pub fn ratio(class: evidence::Class, rates: &evidence::Rates) -> f64 {
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
    /// Adds the log-likelihood ratio of one request, or the rest of it where a part was added before.
    pub fn add(&mut self, ratio: f64) {
        self.sum = (self.sum + ratio).clamp(0.0, CEILING);
    }

    /// Sets the sum.
    pub fn reset(&mut self, sum: f64) {
        self.sum = sum;
    }

    /// Lowers the sum to `most`.
    pub fn cap(&mut self, most: f64) {
        self.sum = self.sum.min(most);
    }

    /// Returns the sum.
    pub fn value(&self) -> f64 {
        self.sum
    }
}
