//! The time line: a log of events as JSON lines, ordered across all processes by a hybrid logical clock.
//!
//! All actors of a daemon share one [`Recorder`]. Messages between daemons carry the sender's latest [`Stamp`], so an
//! event caused by a message is ordered after the events that the sender recorded before it sent the message, even if
//! the wall clocks of the hosts differ.

use std::collections::VecDeque;
use std::sync;

use serde::{Deserialize, Serialize};

use crate::state::clock;
use crate::state::ids;

/// The number of latest events that a daemon keeps in memory for `peridotspread timeline --from`.
const MAX_EVENTS: usize = 20_000;

/// A timestamp of the hybrid logical clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The latest wall clock time seen, in milliseconds since 1970.
    pub wall: clock::Millis,
    /// A counter that orders events of the same millisecond.
    pub count: u32,
}

/// The kind of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Kind {
    /// The daemon started.
    Started,
    /// The daemon began a graceful shutdown.
    Draining,
    /// The daemon stopped.
    Stopped,
    /// A bundle came into force.
    Adopted,
    /// A target is avoided: besides trials, it receives requests only once a request has waited in vain for a slot at
    /// another target, or if no target is healthy.
    Avoided,
    /// A target was ejected and receives no new requests.
    Ejected,
    /// A target receives requests again.
    Reinstated,
    /// A request was refused.
    Refused,
    /// A request's outcome is unknown.
    Unknown,
    /// A request was dispatched to a target.
    Dispatched,
    /// A request was answered.
    Answered,
    /// A request's fingerprint was quarantined.
    Quarantined,
    /// The liveness of a member changed to alive, suspect, dead or leaving.
    Member,
    /// A cell's home changed.
    Home,
    /// The claim of an idempotency key was written or found.
    Claim,
    /// An operator called the admin interface.
    Admin,
    /// The process resumed after a pause.
    Woke,
    /// The platform became reachable or unreachable.
    Platform,
}

impl Kind {
    /// Returns whether events of this kind occur for every request; they are logged at a lower level.
    fn is_request_event(self) -> bool {
        matches!(
            self,
            Kind::Refused | Kind::Unknown | Kind::Dispatched | Kind::Answered | Kind::Claim
        )
    }
}

/// An event of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The timestamp, which orders events across all processes.
    pub stamp: Stamp,
    /// The daemon that recorded it.
    pub daemon: String,
    /// The incarnation, which identifies the run of the daemon.
    pub incarnation: ids::Incarnation,
    /// The kind of the event.
    pub kind: Kind,
    /// The service concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// The target concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    /// The request concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Human-readable details.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

/// The subject of an event: the service, target and request concerned.
#[derive(Clone, Copy, Debug, Default)]
pub struct Subject<'a> {
    /// The service concerned.
    pub service: Option<&'a str>,
    /// The target concerned.
    pub target: Option<&'a str>,
    /// The request concerned.
    pub request: Option<ids::RequestId>,
}

/// Records the events of one daemon and keeps the latest of them in memory.
#[derive(Debug)]
pub struct Recorder {
    daemon: String,
    incarnation: ids::Incarnation,
    inner: sync::Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    stamp: Stamp,
    events: VecDeque<Event>,
}

impl Recorder {
    /// Creates the recorder for one run of the daemon named `daemon`.
    pub fn new(daemon: &str, incarnation: ids::Incarnation) -> Recorder {
        Recorder {
            daemon: daemon.to_owned(),
            incarnation,
            inner: sync::Mutex::default(),
        }
    }

    /// Advances the clock and returns the stamp to send with a message.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn stamp(&self) -> Stamp {
        let mut inner = self.inner.lock().expect("lock is not poisoned");
        inner.stamp = advance(inner.stamp, clock::wall());
        inner.stamp
    }

    /// Advances the clock to at least `seen`, the stamp of a received message.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn observe(&self, seen: Stamp) {
        let mut inner = self.inner.lock().expect("lock is not poisoned");
        inner.stamp = inner.stamp.max(seen);
    }

    /// Records an event: writes it to the log as a JSON line and keeps it in memory.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn record(&self, kind: Kind, subject: Subject<'_>, detail: &str) {
        let mut inner = self.inner.lock().expect("lock is not poisoned");
        inner.stamp = advance(inner.stamp, clock::wall());
        let event = Event {
            stamp: inner.stamp,
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
            kind,
            service: subject.service.map(str::to_owned),
            target: subject.target.map(str::to_owned),
            request: subject.request.map(|r| r.to_string()),
            detail: detail.to_owned(),
        };
        let level = match kind.is_request_event() {
            true => log::Level::Debug,
            false => log::Level::Info,
        };
        log::log!(target: "timeline", level, "{}", serde_json::to_string(&event).unwrap_or_default());
        if inner.events.len() == MAX_EVENTS {
            inner.events.pop_front();
        }
        inner.events.push_back(event);
    }

    /// Returns the events kept in memory, oldest first.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn events(&self) -> Vec<Event> {
        let inner = self.inner.lock().expect("lock is not poisoned");
        inner.events.iter().cloned().collect()
    }
}

/// Returns the stamp that follows `last` at the wall clock time `wall`.
fn advance(last: Stamp, wall: clock::Millis) -> Stamp {
    if wall > last.wall {
        return Stamp { wall, count: 0 };
    }
    Stamp {
        wall: last.wall,
        count: last.count + 1,
    }
}
