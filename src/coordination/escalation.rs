//! Escalation of polls: a bound on the age of what a daemon knows of the platform, whatever became of its sources.
//!
//! A daemon polls one source at a time ([`super::readers`]), and a source that falls silent costs it the time of a
//! poll. Several of them, one after the other, would cost more than the time within which a change must be in force.
//! Therefore the age of the updates decides, not the number of sources that failed: from an age on the daemon also polls
//! other readers, and from a higher one on the platform, beside the poll that is still in flight.
//!
//! Readers do so earlier than other daemons, which get the result by the polls that they have in flight. So the loss of
//! a reader that many daemons depend on costs the platform the calls of a few.
//!
//! While sources answer in time, updates are never that old, so none of this costs a message. If the updates stay old,
//! the daemon awaits the news that the platform answers again at several peers at a time.
//!
//! Load pattern: most daemons are killed or frozen at the same moment, readers among them, and the platform turns many
//! of the others away. The daemons that are left must have a change in time, but they must not all poll a platform that
//! does not answer.

use crate::state::clock;

/// The ages of the updates from which a daemon polls further sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ages {
    /// The age from which other readers are polled.
    pub peer: clock::Millis,
    /// The age from which the platform is polled: late enough for the replies of other readers.
    pub platform: clock::Millis,
}

/// The ages at readers: a long poll and a slow answer.
pub const READER_AGES: Ages = Ages {
    peer: clock::Millis(950),
    platform: clock::Millis(1_150),
};
/// The ages at other daemons, early enough that a change is in force in time on a slow host.
pub const FOLLOWER_AGES: Ages = Ages {
    peer: clock::Millis(1_250),
    platform: clock::Millis(1_500),
};
/// The time after the start of a daemon in which it polls no further sources. The views of daemons that start together
/// differ, so their updates are old for reasons that further polls do not change.
const START_SPAN: clock::Millis = clock::Millis(2_900);
/// The time between two polls of peers for news, which may hold them almost as long.
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
    /// Poll two other readers, of which one may have failed too.
    PollPeers,
    /// Await the news that the platform answers again at several peers.
    AwaitNews,
    /// Poll the platform.
    PollPlatform,
}

impl Step {
    /// Returns the name that is used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Step::Wait(_) => "wait",
            Step::PollPeers => "poll-peers",
            Step::AwaitNews => "await-news",
            Step::PollPlatform => "poll-platform",
        }
    }
}

/// Returns the ages at a daemon that is a reader, or is none.
pub fn ages(is_reader: bool) -> Ages {
    match is_reader {
        true => READER_AGES,
        false => FOLLOWER_AGES,
    }
}

/// Decides when one daemon polls more than one source.
#[derive(Debug)]
pub struct Escalation {
    /// When the daemon started.
    start: clock::Millis,
    /// When peers may be polled again.
    peer_at: clock::Millis,
    /// Whether other readers were polled since the updates became old.
    has_polled: bool,
    /// When the platform may be polled again.
    platform_at: clock::Millis,
    /// The time from the next poll of the platform to the one after it.
    interval: clock::Millis,
}

impl Escalation {
    /// Creates the escalation of a daemon that starts at `now`.
    pub fn new(now: clock::Millis) -> Escalation {
        Escalation {
            start: now,
            peer_at: now + START_SPAN,
            has_polled: false,
            platform_at: now + START_SPAN,
            interval: PLATFORM_INTERVAL,
        }
    }

    /// Returns the next step of a daemon whose updates hold up to `answered`, the time at which the platform last
    /// answered along their path; absent if it has no updates yet.
    pub fn next_step(
        &mut self,
        now: clock::Millis,
        answered: Option<clock::Millis>,
        is_reader: bool,
    ) -> Step {
        let ages = ages(is_reader);
        let Some(answered) = answered else {
            return Step::Wait(now + ages.peer);
        };
        if now - answered < ages.peer {
            *self = Escalation::new(self.start);
            return Step::Wait(answered + ages.peer);
        }
        let platform_due = self.platform_at.max(answered + ages.platform);
        if now >= platform_due {
            self.platform_at = now + self.interval;
            self.interval = clock::Millis(self.interval.0 * 2).min(MAX_PLATFORM_INTERVAL);
            return Step::PollPlatform;
        }
        if now >= self.peer_at {
            self.peer_at = now + PEER_INTERVAL;
            return match std::mem::replace(&mut self.has_polled, true) {
                false => Step::PollPeers,
                true => Step::AwaitNews,
            };
        }
        Step::Wait(self.peer_at.min(platform_due))
    }
}
