//! Breadth: the least share of a cell's targets that keep receiving requests.
//!
//! Ranking by failure probability sends requests to the targets that answered last. A target that failed once, or was
//! idle for a while, ranks below them, so a load that a few targets can carry stays with these few, and nothing shows
//! that the others have recovered. Therefore a cell gives a request to an idle target whenever too few are in use.
//!
//! It does so at all times, and not only while many requests fail: a cell learns of failures after they have happened,
//! and it never learns of requests that fail at other cells, or at other services of the same route.
//!
//! Load pattern: at any time a share of the targets fails most requests, and the rest can carry the load with slots to
//! spare.

use crate::state::clock;

/// A target counts as used for this long after a request. Shorter than [`FLOOR_SPAN`], so that an idle target gets a
/// request before it counts as left out.
pub const USE_SPAN: clock::Millis = clock::Millis(1_400);
/// The time over which the floor counts targets that receive requests, and after which a target that failed counts as
/// healthy again; the platform uses the same time.
pub const FLOOR_SPAN: clock::Millis = clock::Millis(2_000);
/// How long a target that failed is not counted. Shorter than [`FLOOR_SPAN`], so that it gets a request before the
/// platform counts it as idle.
pub const FAILED_SPAN: clock::Millis = clock::Millis(1_900);

/// How long a target that was added gives way to idle ones, which a platform may require to be in use already.
pub const JOIN_SPAN: clock::Millis = clock::Millis(2_000);

/// How many of a cell's targets receive requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The targets that should receive requests: those that accept them and have not failed within [`FAILED_SPAN`].
    pub counted: usize,
    /// Those of them that received a request within [`USE_SPAN`].
    pub used: usize,
    /// The longest time for which one of them has received no request.
    pub longest_idle: clock::Millis,
}

impl Usage {
    /// Returns whether less than `share` of the counted targets are used.
    pub fn is_short(&self, share: f64) -> bool {
        self.missing(share) > 0
    }

    /// Returns how many idle targets need a request until `share` of the counted targets are used.
    pub fn missing(&self, share: f64) -> usize {
        let required = (share * self.counted as f64).ceil() as usize;
        required.saturating_sub(self.used)
    }

    /// Returns whether a target that should receive requests has received none for [`FLOOR_SPAN`].
    pub fn has_neglected_target(&self) -> bool {
        self.longest_idle > FLOOR_SPAN
    }
}
