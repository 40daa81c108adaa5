//! The time line: events of one daemon as JSON lines, ordered over all processes by a hybrid logical clock.
//!
//! Each actor records through one [`Recorder`]. Peers carry the latest [`Stamp`] on their messages, so an event that a
//! message caused is ordered after the event that sent it, whatever the hosts' wall clocks say.

use std::collections::VecDeque;
use std::sync;

use serde::{Deserialize, Serialize};

use crate::state::clock;
use crate::state::ids;

/// The events that one daemon keeps for `peridotspread timeline --from`.
const KEPT_EVENTS: usize = 20_000;

/// A reading of the hybrid logical clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The greatest wall clock seen, in milliseconds since 1970.
    pub wall: clock::Millis,
    /// Orders events of the same millisecond.
    pub count: u32,
}

/// What happened.
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
    /// A target is used only when no other slot is free.
    Avoided,
    /// A target gets no new work.
    Ejected,
    /// A target gets work again.
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
    /// A member was seen alive, suspect, dead or leaving.
    Member,
    /// A cell's home changed.
    Home,
    /// A claim was written or found.
    Claim,
    /// An operator called the admin interface.
    Admin,
    /// The process was paused and woke.
    Woke,
    /// The platform became reachable or unreachable.
    Platform,
}

impl Kind {
    /// Returns whether the event is one step of a request, of which there are many.
    fn is_about_request(self) -> bool {
        matches!(
            self,
            Kind::Refused | Kind::Unknown | Kind::Dispatched | Kind::Answered | Kind::Claim
        )
    }
}

/// One event of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When, in the order over all processes.
    pub stamp: Stamp,
    /// The daemon that recorded it.
    pub daemon: String,
    /// Which run of the daemon.
    pub incarnation: ids::Incarnation,
    /// What happened.
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
    /// The rest, for a person.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

/// What an event concerns, as its recorder gives it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Subject<'a> {
    /// The service concerned.
    pub service: Option<&'a str>,
    /// The target concerned.
    pub target: Option<&'a str>,
    /// The request concerned.
    pub request: Option<ids::RequestId>,
}

/// Records the events of one daemon, and keeps the latest of them.
#[derive(Debug)]
pub struct Recorder {
    daemon: String,
    incarnation: ids::Incarnation,
    inner: sync::Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    stamp: Stamp,
    kept: VecDeque<Event>,
}

impl Recorder {
    /// Creates the recorder of one run of the daemon called `daemon`.
    pub fn new(daemon: &str, incarnation: ids::Incarnation) -> Recorder {
        Recorder {
            daemon: daemon.to_owned(),
            incarnation,
            inner: sync::Mutex::default(),
        }
    }

    /// Returns the stamp to send along with a message.
    ///
    /// # Panics
    ///
    /// Panics if a recorder panicked before.
    pub fn stamp(&self) -> Stamp {
        let mut inner = self.inner.lock().expect("no recorder panicked");
        inner.stamp = next(inner.stamp, clock::wall());
        inner.stamp
    }

    /// Takes in the stamp that came along with a message.
    ///
    /// # Panics
    ///
    /// Panics if a recorder panicked before.
    pub fn observe(&self, seen: Stamp) {
        let mut inner = self.inner.lock().expect("no recorder panicked");
        inner.stamp = inner.stamp.max(seen);
    }

    /// Records an event: to the log as a JSON line, and among those that are kept.
    ///
    /// # Panics
    ///
    /// Panics if a recorder panicked before.
    pub fn record(&self, kind: Kind, subject: Subject<'_>, detail: &str) {
        let mut inner = self.inner.lock().expect("no recorder panicked");
        inner.stamp = next(inner.stamp, clock::wall());
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
        let level = match kind.is_about_request() {
            true => log::Level::Debug,
            false => log::Level::Info,
        };
        log::log!(target: "timeline", level, "{}", serde_json::to_string(&event).unwrap_or_default());
        if inner.kept.len() == KEPT_EVENTS {
            inner.kept.pop_front();
        }
        inner.kept.push_back(event);
    }

    /// Returns the kept events, oldest first.
    ///
    /// # Panics
    ///
    /// Panics if a recorder panicked before.
    pub fn events(&self) -> Vec<Event> {
        let inner = self.inner.lock().expect("no recorder panicked");
        inner.kept.iter().cloned().collect()
    }
}

/// Returns the stamp of an event at wall clock `wall` after an event at `last`.
fn next(last: Stamp, wall: clock::Millis) -> Stamp {
    if wall > last.wall {
        return Stamp { wall, count: 0 };
    }
    Stamp {
        wall: last.wall,
        count: last.count + 1,
    }
}
