//! Breadth: the least share of targets that keep receiving requests while many requests fail.
//!
//! Ranking by failure probability sends requests to the few targets that answered last. If many requests fail even so,
//! the ranking may be wrong, and leaving healthy targets idle would take capacity below the service's floor without an
//! ejection. Load pattern: a tenth of the requests or more fail, at a service with few requests for each target.

use std::collections::VecDeque;

use crate::state::clock;

/// A target counts as used for this long after a request. Shorter than [`FLOOR_SPAN`], so that an idle target gets a
/// request before it counts as left out.
pub const USE_SPAN: clock::Millis = clock::Millis(1_400);
/// The time over which the floor counts requests and targets, and after which a target that failed counts as healthy
/// again; the platform uses the same time.
pub const FLOOR_SPAN: clock::Millis = clock::Millis(2_000);
/// The longer time over which failures are counted too, so that all targets have received requests before failures
/// cluster.
const LONG_SPAN: clock::Millis = clock::Millis(6_000);
/// The share of failed requests above which requests are spread over more targets. Slightly below the 10 % at which
/// this is required.
const FAILED_SHARE: f64 = 0.09;
/// The margin, in standard deviations, by which the share of failures among the next requests may exceed the observed
/// one.
const DEVIATIONS: f64 = 1.5;
/// The least number of ended requests from which a share is computed.
const MIN_ENDED: usize = 5;

/// How many of a cell's targets receive requests, and what the cell knows of the requests that end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The targets that should receive requests: those that accept them and have not failed within [`FLOOR_SPAN`].
    pub counted: usize,
    /// Those of them that received a request within [`USE_SPAN`].
    pub used: usize,
    /// The requests that ended at the cell within [`FLOOR_SPAN`].
    pub ended: usize,
    /// Those of them that were not served.
    pub failed: usize,
}

impl Usage {
    /// Returns whether less than `share` of the counted targets are used.
    pub fn is_short(&self, share: f64) -> bool {
        (self.used as f64) < share * self.counted as f64
    }
}

/// The requests of a cell that ended recently, each with whether it failed: its last try failed, or it was refused.
#[derive(Debug, Default)]
pub struct RecentRequests {
    ended: VecDeque<(clock::Millis, bool)>,
}

impl RecentRequests {
    /// Counts a request that ended.
    pub fn record(&mut self, now: clock::Millis, failed: bool) {
        self.ended.push_back((now, failed));
        while let Some((at, _)) = self.ended.front()
            && now - *at > LONG_SPAN
        {
            self.ended.pop_front();
        }
    }

    /// Returns whether so many requests fail that breadth is required: the share of failures within [`FLOOR_SPAN`] may
    /// exceed `FAILED_SHARE`. With few requests, fewer failures suffice, since their share varies more.
    pub fn is_required(&self, now: clock::Millis) -> bool {
        let spans = [FLOOR_SPAN, LONG_SPAN];
        spans.into_iter().any(|span| self.may_exceed(now, span))
    }

    /// Returns the number of requests that ended within `span`, and how many of them failed.
    pub fn count(&self, now: clock::Millis, span: clock::Millis) -> (usize, usize) {
        let recent = self.ended.iter().rev();
        let recent = recent.take_while(|(at, _)| now - *at <= span);
        recent.fold((0, 0), |(ended, failed), (_, has_failed)| {
            (ended + 1, failed + usize::from(*has_failed))
        })
    }

    fn may_exceed(&self, now: clock::Millis, span: clock::Millis) -> bool {
        let (ended, failed) = self.count(now, span);
        if ended < MIN_ENDED {
            return false;
        }
        let share = failed as f64 / ended as f64;
        let expected = ended as f64 * FLOOR_SPAN.0 as f64 / span.0 as f64;
        let deviation = (share * (1.0 - share) / expected).sqrt();
        share + DEVIATIONS * deviation > FAILED_SHARE
    }
}
