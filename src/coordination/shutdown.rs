//! The schedule of a graceful shutdown, and which requests may still be started in it.
//!
//! [`Schedule`] divides the time between the signal and the end of the process once, when the signal is received. All
//! steps of the shutdown take place at its times, so that a step that takes longer than expected does not delay those
//! that follow.

use crate::state::clock::Millis;

/// How long before [`Schedule::closes`] the last request that may outlive the shutdown is admitted: the time that the
/// signal may take to be handled, and several round trips.
const LINGER_MARGIN: Millis = Millis(500);
/// How long requests may still arrive on open connections once no others are accepted: several round trips to a caller.
const LAST_REQUESTS: Millis = Millis(200);
/// How long before [`Schedule::cut`] a request must have ended, so that its response is delivered.
const RESPONSE_MARGIN: Millis = Millis(100);

/// The times of a graceful shutdown.
///
/// They are in this order: [`Schedule::closes`], [`Schedule::last_arrival`] and [`Schedule::cut`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// When the daemon stops to accept connections of callers.
    pub closes: Millis,
    /// When the daemon stops to read requests on open connections.
    pub last_arrival: Millis,
    /// When the requests in flight are cut off.
    pub cut: Millis,
}

impl Schedule {
    /// Returns the schedule of a shutdown that starts now, accepts connections for `linger`, and then waits for the
    /// requests in flight for `drain` at most.
    pub fn new(now: Millis, linger: Millis, drain: Millis) -> Schedule {
        let closes = now + linger;
        Schedule {
            closes,
            last_arrival: closes + last_requests(drain),
            cut: closes + drain,
        }
    }

    /// Returns whether a request may be sent to a target at `now`.
    ///
    /// A request is admitted if it ends before the requests in flight are cut off, even if it takes until its deadline.
    /// A request that may be repeated is also admitted while the load balancer still sends requests, because most
    /// requests end long before their deadline, and its caller can send it again.
    pub fn admits(&self, now: Millis, deadline: Millis, idempotent: bool) -> bool {
        let ends_in_time = deadline + RESPONSE_MARGIN <= self.cut;
        ends_in_time || (idempotent && now + LINGER_MARGIN < self.closes)
    }
}

/// Returns how long requests are still read on open connections after the daemon has stopped to accept others, if it
/// waits for `drain` at most.
pub fn last_requests(drain: Millis) -> Millis {
    LAST_REQUESTS.min(Millis(drain.0 / 2))
}
