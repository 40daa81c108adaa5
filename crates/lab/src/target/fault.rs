//! The ways in which a target goes gray on command.

use peridotspread::state::clock;
use serde::{Deserialize, Serialize};

/// What is wrong with a target. Probes are answered as if nothing were, but where stated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Requests are taken and never answered.
    Stall,
    /// Requests take longer by a factor.
    Slow {
        /// The factor.
        factor: f64,
    },
    /// A share of the requests is answered with status 500.
    Errors {
        /// The share, from 0 to 1.
        share: f64,
    },
    /// The target stalls and serves in turns.
    Flap {
        /// The length of one turn, in milliseconds.
        turn_ms: clock::Millis,
    },
    /// A request whose path contains the marker takes the target down: all connections break, and none is accepted.
    Crash {
        /// What the path contains.
        marker: String,
        /// How long the target stays down, in milliseconds.
        down_ms: clock::Millis,
    },
    /// A share of the answers' bodies breaks off half-way.
    Truncate {
        /// The share, from 0 to 1.
        share: f64,
    },
    /// The work goes on when its caller has left, and is answered later by a span.
    Late {
        /// The span, in milliseconds.
        by_ms: clock::Millis,
    },
    /// The target sheds every request and says so.
    Drain,
}

impl Fault {
    /// Returns whether a request that comes `since` the fault began is never answered.
    pub fn stalls(&self, since: clock::Millis) -> bool {
        match self {
            Fault::Stall => true,
            Fault::Flap { turn_ms } => (since.0 / turn_ms.0.max(1)).is_multiple_of(2),
            _ => false,
        }
    }
}
