//! Rate limits that targets state in their responses, as a cell enforces them.
//!
//! A target that is short of capacity states how many requests per second it accepts from the whole fleet. The home of
//! its cell grants its slots, so the home enforces the limit, with one [`Limiter`] per target.
//! [`crate::coordination::statements`] tells how homes learn of limits.

use crate::protocol::peer::RateLimit;
use crate::state::clock;

/// The lowest rate that is enforced. A target that states less still gets requests now and then, since only a response
/// shows that the limit has ended.
const MIN_PER_SECOND: f64 = 0.2;
/// The capacity of the token bucket; a target that accepts few requests is spared bursts.
const BURST: f64 = 1.0;

/// The rate limit of one target, as a token bucket.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limiter {
    /// The rate in requests per second; absent without a limit.
    rate: Option<f64>,
    /// When the target last stated a limit, or that it has none.
    stated_at: clock::Millis,
    tokens: f64,
    /// When the tokens were last refilled.
    refilled_at: clock::Millis,
    /// Whether another home enforces the limit, so that no request is allowed here while there is one.
    is_elsewhere: bool,
}

impl Limiter {
    /// Sets whether another home enforces the limit.
    pub fn enforce_elsewhere(&mut self, is_elsewhere: bool) {
        self.is_elsewhere = is_elsewhere;
    }

    /// Applies a statement that the target made at `at`, unless a later one is known.
    ///
    /// A bucket starts empty: the target may just have received a request from an earlier home.
    pub fn state(&mut self, now: clock::Millis, at: clock::Millis, limit: RateLimit) {
        if at < self.stated_at {
            return;
        }
        self.stated_at = at;
        let rate = match limit {
            RateLimit::None => None,
            RateLimit::PerSecond(rate) => Some(rate.max(MIN_PER_SECOND)),
        };
        self.tokens = match self.rate {
            Some(_) => self.tokens(now),
            None => 0.0,
        };
        self.refilled_at = now;
        self.rate = rate;
    }

    /// Applies the statement of a response to a request that was granted at `granted`.
    ///
    /// A response without a limit that was requested before the last statement may have been overtaken by it.
    pub fn state_in_response(
        &mut self,
        now: clock::Millis,
        granted: clock::Millis,
        limit: RateLimit,
    ) {
        let is_overtaken = limit == RateLimit::None && granted <= self.stated_at;
        if !is_overtaken {
            self.state(now, now, limit);
        }
    }

    /// Returns whether the limit allows a request now.
    pub fn allows(&self, now: clock::Millis) -> bool {
        self.rate.is_none() || (!self.is_elsewhere && self.tokens(now) >= 1.0)
    }

    /// Takes the token of a request that is granted now.
    pub fn take(&mut self, now: clock::Millis) {
        if self.rate.is_some() {
            self.tokens = (self.tokens(now) - 1.0).max(0.0);
            self.refilled_at = now;
        }
    }

    /// Returns when the limit next allows a request: `now` if it does already, and [`clock::Millis::MAX`] if another
    /// home enforces it.
    pub fn next_at(&self, now: clock::Millis) -> clock::Millis {
        let Some(rate) = self.rate else {
            return now;
        };
        if self.is_elsewhere {
            return clock::Millis::MAX;
        }
        let missing = (1.0 - self.tokens(now)).max(0.0);
        now + clock::Millis((missing / rate * 1_000.0).ceil() as u64)
    }

    /// Returns how many requests of the mean duration `hold` the limit allows at a time; infinity without a limit.
    pub fn concurrency(&self, hold: clock::Millis) -> f64 {
        match self.rate {
            Some(_) if self.is_elsewhere => 0.0,
            Some(rate) => rate * hold.0.max(1) as f64 / 1_000.0,
            None => f64::INFINITY,
        }
    }

    fn tokens(&self, now: clock::Millis) -> f64 {
        let earned = (now - self.refilled_at).0 as f64 / 1_000.0 * self.rate.unwrap_or_default();
        (self.tokens + earned).min(BURST)
    }
}
