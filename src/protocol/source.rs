//! What a platform tells of itself where it keeps rules and targets: the border of [`crate::daemon::registry`].
//!
//! A platform that knows its targets and the rules of its operators needs no signed bundle. An adapter implements
//! [`Source`]: it decodes what the platform keeps into [`Change`]s, and the registry decides what to make of them.

use futures_util::future;
use serde::{Deserialize, Serialize};

use crate::state::{bundle, clock};

/// What can be read and followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Topic {
    /// The operators' rules.
    Rules,
    /// The targets of all services.
    Targets,
}

impl Topic {
    /// All topics.
    pub const ALL: [Topic; 2] = [Topic::Rules, Topic::Targets];

    /// Returns the word that logs show.
    pub fn as_str(self) -> &'static str {
        match self {
            Topic::Rules => "rules",
            Topic::Targets => "targets",
        }
    }
}

/// One target, as the platform tells of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTarget {
    /// The name of its service.
    pub service: String,
    /// The target; its name tells one run of it from the next.
    pub target: bundle::Target,
}

/// What stands under a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// The rules, without targets.
    Rules(Box<bundle::Bundle>),
    /// A target.
    Target(ServiceTarget),
}

/// One change of what the platform keeps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// What changed.
    pub topic: Topic,
    /// The key within its topic.
    pub key: String,
    /// The change's place in the order of all changes.
    #[serde(rename = "mark")]
    pub revision: u64,
    /// What stands there now; absent where nothing does, or nothing that can be used.
    pub item: Option<Item>,
    /// How long what vanished is to be kept all the same; zero where the platform itself tells.
    #[serde(default)]
    pub grace: clock::Millis,
}

/// What was read of a topic.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// The place in the order of all changes up to which this tells everything.
    #[serde(rename = "mark")]
    pub revision: u64,
    /// Whether all that exists is named, so that what is not named does not exist.
    pub whole: bool,
}

/// Why a topic could not be read.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The platform no longer knows the changes after the mark.
    #[snafu(display("the history was dropped; read the topic as a whole"))]
    HistoryDropped,
    /// The platform can't be reached, or does not answer as it must.
    #[snafu(display("the platform does not answer ({reason}); trying again"))]
    Unavailable {
        /// What was seen.
        reason: String,
    },
}

/// The future of one call.
pub type Call<'a> = future::BoxFuture<'a, Result<Batch, Error>>;

/// A platform that tells of rules and targets.
pub trait Source: Send + Sync {
    /// Reads a topic as a whole.
    fn read(&self, topic: Topic) -> Call<'_>;

    /// Waits for changes of a topic after `revision`, for at most `max_wait`; without any, the reading is empty.
    fn follow(&self, topic: Topic, revision: u64, max_wait: clock::Millis) -> Call<'_>;
}
