//! The retry budget: a share of the first tries of recent time, so that retries stay a share of them.
//!
//! A budget starts empty. While daemons start, or do not see each other, any number of them may be home of one cell, so
//! retries that each could make from the start would add up without bound.
//!
//! With a window ([`bundle::Retry::window_ms`]), the retries of any window are at most the share of the first tries of
//! that window and the burst, and what is saved up is at most the burst. A home that takes a cell over starts with
//! nothing, so the retries of both homes stay within the share of their first tries and one burst.
//!
//! Load pattern: nearly all targets shed half of their requests for some seconds. Each retry is then wanted by another
//! request, so the ones that lose most without a retry get it.

use std::collections::VecDeque;

use crate::state::{bundle, clock};

/// The number of parts of a window in which tries are counted.
const PARTS: u64 = 100;
/// The number of the latest parts in which wishes of precedence are counted, and for which retries are set aside.
const WISH_PARTS: u64 = 10;

/// How much a request loses without a retry, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Need {
    /// Its caller may send it again, and it is of the lowest tiers in use.
    Low,
    /// It is of a higher tier, or its outcome is unknown to callers, who may not send it again.
    High,
}

/// The tries in one part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    number: u64,
    first_tries: f64,
    retries: f64,
    /// The requests of [`Need::High`] that wanted a retry.
    wishes: f64,
}

/// The retry budget of a cell.
#[derive(Clone, Debug)]
pub struct Budget {
    /// The retries that first tries have earned and that were not made.
    tokens: f64,
    share: f64,
    /// The most retries beyond the share of the window, or the capacity of the bucket if there is no window.
    burst: f64,
    max_tries: u32,
    /// The length of the window; zero for a token bucket.
    window: clock::Millis,
    /// The parts of the window in which there were tries, oldest first.
    parts: VecDeque<Part>,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget {
            tokens: 0.0,
            share: 0.0,
            burst: 0.0,
            max_tries: 1,
            window: clock::Millis::ZERO,
            parts: VecDeque::new(),
        }
    }
}

impl Budget {
    /// Applies the settings of a bundle. Tokens beyond a reduced capacity are lost.
    pub fn configure(&mut self, rules: &bundle::Retry) {
        let window = rules.window_ms.unwrap_or_default();
        if window != self.window {
            self.parts.clear();
            self.tokens = self.tokens.min(rules.burst);
        }
        self.window = window;
        self.burst = rules.burst;
        self.share = (rules.budget_pct / 100.0).max(0.0);
        self.max_tries = rules.tries;
        self.tokens = self.tokens.min(self.burst);
    }

    /// Adds the tokens that a first try earns.
    pub fn add_first_try(&mut self, now: clock::Millis) {
        if let Some(part) = self.part(now) {
            part.first_tries += 1.0;
        }
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Returns whether a request that had `tries` tries may have another one, regardless of the tokens.
    pub fn allows_retry(&self, tries: u32) -> bool {
        tries < self.max_tries
    }

    /// Counts that a request wants a retry, and returns whether it can be paid for. What requests of [`Need::High`] have
    /// lately wanted is kept for them.
    pub fn has_token(&mut self, now: clock::Millis, need: Need) -> bool {
        if self.share <= 0.0 {
            return false;
        }
        let Some(part) = self.part(now) else {
            return self.tokens >= 1.0;
        };
        part.wishes += f64::from(u8::from(need == Need::High));
        let reserve = match need {
            Need::High => 0.0,
            Need::Low => self.reserve(now),
        };
        self.left() >= 1.0 + reserve
    }

    /// Takes the token of one retry.
    pub fn take_token(&mut self, now: clock::Millis) {
        if let Some(part) = self.part(now) {
            part.retries += 1.0;
        }
        self.tokens -= 1.0;
    }

    /// Drops the retries that were saved up, when another home serves the cell, which may save up the same.
    pub fn drop_savings(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }

    /// Returns how many retries may be made now.
    fn left(&self) -> f64 {
        let balance = |p: &Part| self.share * p.first_tries - p.retries;
        let balance: f64 = self.parts.iter().map(balance).sum();
        self.tokens.min(self.burst + balance)
    }

    /// Returns how many retries are kept for requests of [`Need::High`].
    fn reserve(&self, now: clock::Millis) -> f64 {
        let recent = self.number(now).saturating_sub(WISH_PARTS);
        let recent = self.parts.iter().filter(|p| p.number > recent);
        recent.map(|p| p.wishes).sum()
    }

    /// Returns the number of the part of the window that `now` is in.
    fn number(&self, now: clock::Millis) -> u64 {
        now.0 * PARTS / self.window.0.max(1)
    }

    /// Returns the part of `now` after those that have left the window are dropped; absent if there is no window.
    fn part(&mut self, now: clock::Millis) -> Option<&mut Part> {
        if self.window == clock::Millis::ZERO {
            return None;
        }
        let number = self.number(now);
        // The oldest part counts until all of it has left the window.
        while self
            .parts
            .front()
            .is_some_and(|p| p.number + PARTS < number)
        {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|p| p.number < number) {
            self.parts.push_back(Part {
                number,
                ..Part::default()
            });
        }
        self.parts.back_mut()
    }
}
