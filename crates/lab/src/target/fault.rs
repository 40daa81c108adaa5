//! Gray failures that can be injected into a target: it misbehaves while its health probes mostly succeed.

use peridotspread::state::clock;
use serde::{Deserialize, Serialize};

/// A fault injected into a target. Probes succeed under every fault, except while a crashed target is down.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Requests are accepted and never answered.
    Stall,
    /// Service times are multiplied by a factor.
    Slow {
        /// The factor on service times.
        factor: f64,
    },
    /// A share of the requests is answered with status 500.
    Errors {
        /// The share of requests, from 0 to 1.
        share: f64,
    },
    /// The target alternates between stalling and serving, and starts by stalling.
    Flap {
        /// The length of each phase, in milliseconds.
        turn_ms: clock::Millis,
    },
    /// A request whose path contains the marker crashes the target: all connections break, and none is accepted until
    /// it restarts.
    Crash {
        /// The text in the path that causes the crash.
        marker: String,
        /// How long the target stays down, in milliseconds.
        down_ms: clock::Millis,
    },
    /// A share of the response bodies ends with an error after half of the bytes.
    Truncate {
        /// The share of responses, from 0 to 1.
        share: f64,
    },
    /// Requests continue after their caller has disconnected, ignore the deadline and take longer.
    Late {
        /// The additional service time, in milliseconds.
        by_ms: clock::Millis,
    },
    /// Every request is shed with status 503.
    Drain,
}

impl Fault {
    /// Returns whether a request that is processed `elapsed` milliseconds after the fault began is never answered.
    pub fn stalls_after(&self, elapsed: clock::Millis) -> bool {
        match self {
            Fault::Stall => true,
            Fault::Flap { turn_ms } => (elapsed.0 / turn_ms.0.max(1)).is_multiple_of(2),
            _ => false,
        }
    }
}
