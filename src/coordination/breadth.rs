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

    fn may_exceed(&self, now: clock::Millis, span: clock::Millis) -> bool {
        let recent = self.ended.iter().rev();
        let recent = recent.take_while(|(at, _)| now - *at <= span);
        let (mut ended, mut failed) = (0, 0);
        for (_, has_failed) in recent {
            ended += 1;
            failed += usize::from(*has_failed);
        }
        if ended < MIN_ENDED {
            return false;
        }
        let share = failed as f64 / ended as f64;
        let expected = ended as f64 * FLOOR_SPAN.0 as f64 / span.0 as f64;
        let deviation = (share * (1.0 - share) / expected).sqrt();
        share + DEVIATIONS * deviation > FAILED_SHARE
    }
}
