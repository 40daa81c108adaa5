//! Breadth: how many targets get work while requests fail.
//!
//! Ranking by doubt sends work to the few targets that were proved sound last. While many requests fail all the same, the
//! ranking may be wrong, and leaving sound targets idle would take capacity below the service's floor without an
//! ejection. Load pattern: a tenth of the requests failing or more, at a service of few requests for each target.

use std::collections::VecDeque;

use crate::state::clock;

/// The span in which each of the targets that the floor asks for gets work; less than [`FLOOR_SPAN`], after which an idle
/// one counts as left out.
pub const SPAN: clock::Millis = clock::Millis(1_400);
/// The span over which the floor looks at requests and targets, and after which a target that failed counts as sound
/// again; the platform's figure.
pub const FLOOR_SPAN: clock::Millis = clock::Millis(2_000);
/// The longer span over which failures are counted: so that targets have had work already when failures come together.
const LONG_SPAN: clock::Millis = clock::Millis(6_000);
/// The share of unserved requests that breadth is to be kept before: a little less than the tenth from which on it is owed.
const UNSERVED_SHARE: f64 = 0.09;
/// The standard deviations by which the share of the next requests may lie above that of the last ones.
const DEVIATIONS: f64 = 1.5;
/// The ended requests that a share is taken of at least.
const LEAST_ENDED: usize = 5;

/// The requests of a cell that ended of late: those whose last try failed count, and those that were refused.
#[derive(Debug, Default)]
pub struct Breadth {
    ended: VecDeque<(clock::Millis, bool)>,
}

impl Breadth {
    /// Counts a request that ended.
    pub fn count(&mut self, now: clock::Millis, failed: bool) {
        self.ended.push_back((now, failed));
        while let Some((at, _)) = self.ended.front()
            && now - *at > LONG_SPAN
        {
            self.ended.pop_front();
        }
    }

    /// Returns whether so many requests fail that breadth is to be kept: where those of the floor's span may well pass its
    /// share, few of them sooner than many.
    pub fn is_required(&self, now: clock::Millis) -> bool {
        let spans = [FLOOR_SPAN, LONG_SPAN];
        spans.into_iter().any(|span| self.may_pass(now, span))
    }

    fn may_pass(&self, now: clock::Millis, span: clock::Millis) -> bool {
        let of_late = self.ended.iter().rev();
        let of_late = of_late.take_while(|(at, _)| now - *at <= span);
        let (mut ended, mut failed) = (0, 0);
        for (_, unserved) in of_late {
            ended += 1;
            failed += usize::from(*unserved);
        }
        if ended < LEAST_ENDED {
            return false;
        }
        let share = failed as f64 / ended as f64;
        let expected = ended as f64 * FLOOR_SPAN.0 as f64 / span.0 as f64;
        let deviation = (share * (1.0 - share) / expected).sqrt();
        share + DEVIATIONS * deviation > UNSERVED_SHARE
    }
}
