//! Breadth: how many targets get work while requests fail.
//!
//! Ranking by doubt sends work to the few targets that were proved sound last. While many requests fail all the same, the
//! ranking may be wrong, and leaving sound targets idle would take capacity below the service's floor without an
//! ejection. Load pattern: a tenth of the requests failing or more, at a service of few requests for each target.

use std::collections::VecDeque;

use crate::state::clock;

/// The span in which each of the targets that the floor asks for gets work; less than the two seconds after which an idle
/// one counts as left out.
pub const SPAN: clock::Millis = clock::Millis(1_400);
/// The span over which failures are counted: longer than the two seconds in which they count, so that targets have had
/// work already when failures come together.
const COUNTED_SPAN: clock::Millis = clock::Millis(6_000);
/// The share of failed requests from which on breadth is kept: half of the tenth from which on it is owed.
const FAILED_SHARE: f64 = 0.05;
/// The ended requests that a share is taken of at least.
const LEAST_ENDED: usize = 5;

/// The requests of a cell that ended of late: those whose last try failed count, and those that were refused.
#[derive(Debug, Default)]
pub struct Breadth {
    ended: VecDeque<(clock::Millis, bool)>,
    failed: usize,
}

impl Breadth {
    /// Counts a request that ended.
    pub fn count(&mut self, now: clock::Millis, failed: bool) {
        self.ended.push_back((now, failed));
        self.failed += usize::from(failed);
        while let Some((at, failed)) = self.ended.front().copied() {
            if now - at <= COUNTED_SPAN {
                return;
            }
            self.failed -= usize::from(failed);
            self.ended.pop_front();
        }
    }

    /// Returns whether so many requests fail that breadth is to be kept.
    pub fn is_owed(&self) -> bool {
        let ended = self.ended.len();
        ended >= LEAST_ENDED && self.failed as f64 >= FAILED_SHARE * ended as f64
    }
}
