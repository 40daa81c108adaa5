//! The retry budget: a token bucket that first tries fill, so that retries stay a share of them.

use crate::state::bundle;

/// The retries that a cell has left.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    share: f64,
    /// The tokens that the bucket holds.
    burst: f64,
    tries: u32,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget {
            tokens: 0.0,
            share: 0.0,
            burst: 0.0,
            tries: 1,
        }
    }
}

impl Budget {
    /// Takes the rules of a bundle; tokens stay as they are, and a new bucket is full.
    pub fn adopt(&mut self, rules: &bundle::Retry) {
        self.tokens = (self.tokens + rules.burst - self.burst).clamp(0.0, rules.burst);
        self.burst = rules.burst;
        self.share = (rules.budget_pct / 100.0).max(0.0);
        self.tries = rules.tries;
    }

    /// Counts a first try.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Returns whether a request that was tried `tries` times may be tried once more, leaving the tokens aside.
    pub fn allows(&self, tries: u32) -> bool {
        tries < self.tries
    }

    /// Returns whether a token is left.
    pub fn funded(&self) -> bool {
        self.share > 0.0 && self.tokens >= 1.0
    }

    /// Takes a token for a retry.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
