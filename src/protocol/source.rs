//! The interface to a platform that stores rules and targets itself; [`crate::daemon::registry`] reads it.
//!
//! Such a platform needs no signed bundle. Its adapter implements [`Source`]: it decodes the platform's data into
//! [`Change`]s, and the registry decides how to apply them.

use futures_util::future;
use serde::{Deserialize, Serialize};

use crate::state::{bundle, clock};

/// A collection of keys and values that can be read and watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Topic {
    /// The rules that operators have set: everything of a bundle but its targets.
    Rules,
    /// The targets of all services.
    Targets,
}

impl Topic {
    /// All topics.
    pub const ALL: [Topic; 2] = [Topic::Rules, Topic::Targets];

    /// Returns the name that is used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Topic::Rules => "rules",
            Topic::Targets => "targets",
        }
    }
}

/// A target together with the name of its service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTarget {
    /// The name of the service.
    pub service: String,
    /// The target; each run of it has a different name.
    pub target: bundle::Target,
}

/// The value of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// The rules: a bundle without targets.
    Rules(Box<bundle::Bundle>),
    /// One target of a service.
    Target(ServiceTarget),
}

/// A change of one key of the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The topic of the key.
    pub topic: Topic,
    /// The key, unique within its topic.
    pub key: String,
    /// The position in the platform's total order of changes; see [`Source::era`].
    #[serde(rename = "mark")]
    pub revision: u64,
    /// The new value; absent if the key was removed or its value cannot be decoded.
    pub item: Option<Item>,
    /// The time for which the value of a removed key is kept in use; zero in changes from the platform itself.
    #[serde(default)]
    pub grace: clock::Millis,
}

/// The result of reading or watching a topic.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// The revision up to which the batch is complete.
    #[serde(rename = "mark")]
    pub revision: u64,
    /// Whether the batch is a snapshot of the whole topic: keys that it does not list don't exist.
    pub whole: bool,
}

/// The error when a topic cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The platform no longer has the changes after the given revision.
    #[snafu(display(
        "the platform has dropped the history after this revision; read the whole topic again"
    ))]
    HistoryDropped,
    /// The platform was restored from an earlier copy, so what was read before may no longer hold.
    #[snafu(display(
        "the platform was restored from an earlier copy, era {era}; read all topics again"
    ))]
    Restored {
        /// The era that has begun.
        era: u64,
    },
    /// The platform is unreachable, or its answer is invalid.
    #[snafu(display("the platform is unavailable ({reason}); trying again"))]
    Unavailable {
        /// The failure, for logs.
        reason: String,
    },
}

/// The future of one call to a [`Source`].
pub type Call<'a> = future::BoxFuture<'a, Result<Batch, Error>>;

/// A platform that provides rules and targets.
pub trait Source: Send + Sync {
    /// Reads a full snapshot of a topic.
    fn read(&self, topic: Topic) -> Call<'_>;

    /// Waits up to `max_wait` for changes of a topic after `revision`; the batch is empty if there are none.
    ///
    /// Fails with [`Error::Restored`] if the revision is of an earlier era.
    fn follow(&self, topic: Topic, revision: u64, max_wait: clock::Millis) -> Call<'_>;

    /// Returns the era of a revision: it rises by one each time the platform is restored from an earlier copy. All
    /// revisions of an era are greater than those of earlier ones. A platform that is never restored has one era.
    fn era(&self, revision: u64) -> u64 {
        let _ = revision;
        0
    }
}
