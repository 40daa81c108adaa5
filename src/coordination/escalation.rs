//! Escalation of polls: a bound on the age of what a daemon knows of the platform, whatever became of its sources.
//!
//! A daemon polls one source at a time ([`super::readers`]), and a source that falls silent costs it the time of a
//! poll. Several of them, one after the other, would cost more than the time within which a change must be in force.
//! Therefore the age of the updates decides, not the number of sources that failed: from [`PEER_AGE`] on the daemon
//! also polls another reader, and from [`PLATFORM_AGE`] on the platform, beside the poll that is still in flight.
//!
//! While all sources answer, updates are never that old, so none of this costs a message.
//!
//! Load pattern: most daemons are killed or frozen at the same moment, readers among them, and the platform turns many
//! of the others away. The daemons that are left must have a change in time, but they must not all poll a platform that
//! does not answer.

use crate::state::clock;

/// The age of the updates from which another reader is polled too: a long poll and a slow answer.
pub const PEER_AGE: clock::Millis = clock::Millis(950);
/// The age of the updates from which the platform is polled too: late enough for the reply of the other reader, and
/// early enough that a change is in force in time on a slow host.
pub const PLATFORM_AGE: clock::Millis = clock::Millis(1_150);
/// The time between two polls of other readers.
const PEER_INTERVAL: clock::Millis = clock::Millis(1_000);
/// The time between the first two polls of the platform, as long as a call may take; it doubles with each further one.
const PLATFORM_INTERVAL: clock::Millis = clock::Millis(1_000);
/// The longest time between two polls of the platform.
const MAX_PLATFORM_INTERVAL: clock::Millis = clock::Millis(8_000);

/// What a daemon does in addition to its poll in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing until this time.
    Wait(clock::Millis),
    /// Poll another reader.
    PollPeer,
    /// Poll the platform.
    PollPlatform,
}

/// Decides when one daemon polls more than one source.
#[derive(Debug)]
pub struct Escalation {
    /// When another reader may be polled again.
    peer_at: clock::Millis,
    /// When the platform may be polled again.
    platform_at: clock::Millis,
    interval: clock::Millis,
}

impl Default for Escalation {
    fn default() -> Escalation {
        Escalation {
            peer_at: clock::Millis::ZERO,
            platform_at: clock::Millis::ZERO,
            interval: PLATFORM_INTERVAL,
        }
    }
}

impl Escalation {
    /// Returns the next step of a daemon whose updates hold up to `answered`, the time at which the platform last
    /// answered along their path; absent if it has no updates yet.
    pub fn next_step(&mut self, now: clock::Millis, answered: Option<clock::Millis>) -> Step {
        let Some(answered) = answered else {
            return Step::Wait(now + PEER_AGE);
        };
        if now - answered < PEER_AGE {
            *self = Escalation::default();
            return Step::Wait(answered + PEER_AGE);
        }
        let platform_due = self.platform_at.max(answered + PLATFORM_AGE);
        if now >= platform_due {
            self.platform_at = now + self.interval;
            self.interval = clock::Millis(self.interval.0 * 2).min(MAX_PLATFORM_INTERVAL);
            return Step::PollPlatform;
        }
        if now >= self.peer_at {
            self.peer_at = now + PEER_INTERVAL;
            return Step::PollPeer;
        }
        Step::Wait(self.peer_at.min(platform_due))
    }
}
