//! Random draws of a replay, the same for the same seed on all hosts.

/// A seeded source of randomness.
#[derive(Clone, Debug)]
pub struct Random {
    inner: oorandom::Rand64,
}

impl Random {
    /// Creates the source for one seed and one purpose; purposes draw independently of each other.
    pub fn new(seed: u64, purpose: u64) -> Random {
        Random {
            inner: oorandom::Rand64::new((u128::from(purpose) << 64) | u128::from(seed)),
        }
    }

    /// Draws evenly from 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        self.inner.rand_float()
    }

    /// Draws evenly from the whole numbers below `bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        let drawn = self.inner.rand_range(0..bound as u64);
        usize::try_from(drawn).unwrap_or(0)
    }

    /// Draws from the exponential distribution with the given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// Draws from the log-normal distribution with the given median and spread (the logarithm's standard deviation).
    pub fn log_normal(&mut self, median: f64, spread: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.unit()).ln()).sqrt();
        let angle = std::f64::consts::TAU * self.unit();
        median * (spread * radius * angle.cos()).exp()
    }

    /// Draws an index with a probability in proportion to its weight.
    pub fn weighted(&mut self, weights: &[f64]) -> usize {
        let total: f64 = weights.iter().sum();
        let mut left = self.unit() * total;
        for (at, weight) in weights.iter().enumerate() {
            if left < *weight {
                return at;
            }
            left -= weight;
        }
        weights.len().saturating_sub(1)
    }
}
