//! The retry budget: a token bucket that first tries fill, so that retries stay a share of them.
//!
//! A bucket starts empty. While daemons start, or do not see each other, any number of them may be home of one cell, so
//! tokens that each had from the start would add up without bound.

use crate::state::bundle;

/// The token bucket of a cell.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    share: f64,
    /// The capacity of the bucket, in tokens.
    burst: f64,
    max_tries: u32,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget {
            tokens: 0.0,
            share: 0.0,
            burst: 0.0,
            max_tries: 1,
        }
    }
}

impl Budget {
    /// Applies the settings of a bundle. Tokens beyond a reduced capacity are lost.
    pub fn configure(&mut self, rules: &bundle::Retry) {
        self.tokens = self.tokens.min(rules.burst);
        self.burst = rules.burst;
        self.share = (rules.budget_pct / 100.0).max(0.0);
        self.max_tries = rules.tries;
    }

    /// Adds the tokens that a first try earns.
    pub fn add_first_try(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Returns whether a request that had `tries` tries may have another one, regardless of the tokens.
    pub fn allows_retry(&self, tries: u32) -> bool {
        tries < self.max_tries
    }

    /// Returns whether a retry can be paid for.
    pub fn has_token(&self) -> bool {
        self.share > 0.0 && self.tokens >= 1.0
    }

    /// Takes the token of one retry.
    pub fn take_token(&mut self) {
        self.tokens -= 1.0;
    }
}
