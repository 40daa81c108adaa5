//! The limit on log lines: a rate, and a number of lines that wait for a slow reader.
//!
//! A busy daemon writes several lines for each request. Lines about anything else, such as changes of the rules and
//! warnings, are few and explain the others, so they have a rate and room of their own.
//!
//! Load pattern: a daemon refuses thousands of requests in a second because of something that changed before. If the
//! lines about them took the place of the line about the change, the log would not show the cause.

use crate::state::clock;

/// What a line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// A single request.
    Request,
    /// Anything else.
    Other,
}

/// The sustained rate of lines of one kind, in lines per second.
const LINES_PER_S: f64 = 200.0;
/// The most lines of one kind in a burst.
const BURST_LINES: f64 = 400.0;
/// The most lines that wait for a slow reader.
const QUEUED_LINES: usize = 2_048;
/// The part of [`QUEUED_LINES`] that lines about requests leave free.
const RESERVED_LINES: usize = 512;

/// Decides which lines are written, and counts those that are not.
#[derive(Debug, Default)]
pub struct LogLimit {
    requests: Rate,
    others: Rate,
    /// The lines that were admitted and not written yet.
    queued: usize,
    /// The lines that were not admitted since the last call of [`LogLimit::take_dropped`].
    dropped: u64,
}

impl LogLimit {
    /// Returns whether a line may be written, and counts it.
    pub fn admit(&mut self, now: clock::Millis, kind: LineKind) -> bool {
        let (rate, room) = match kind {
            LineKind::Request => (&mut self.requests, QUEUED_LINES - RESERVED_LINES),
            LineKind::Other => (&mut self.others, QUEUED_LINES),
        };
        let is_admitted = self.queued < room && rate.take(now);
        match is_admitted {
            true => self.queued += 1,
            false => self.dropped += 1,
        }
        is_admitted
    }

    /// Records that waiting lines were written.
    pub fn record_written(&mut self, lines: usize) {
        self.queued = self.queued.saturating_sub(lines);
    }

    /// Returns the number of lines that were not admitted since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

/// A token bucket.
#[derive(Debug)]
struct Rate {
    last: clock::Millis,
    tokens: f64,
}

impl Default for Rate {
    fn default() -> Rate {
        Rate {
            last: clock::Millis::ZERO,
            tokens: BURST_LINES,
        }
    }
}

impl Rate {
    /// Takes a token, if there is one.
    fn take(&mut self, now: clock::Millis) -> bool {
        let refill = (now - self.last).0 as f64 / 1_000.0 * LINES_PER_S;
        self.tokens = (self.tokens + refill).min(BURST_LINES);
        self.last = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
