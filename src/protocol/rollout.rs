//! The table rows of a rollout, written by the command-line tool and read by the follower in each daemon.

use serde::{Deserialize, Serialize};

use crate::state::bundle::edits;
use crate::state::clock;

/// The key of the row that names the bundle in force.
pub const KEY: &str = "bundle";

/// The key prefix of the history rows, one for each rollout; the version follows with leading zeros.
pub const LOG_PREFIX: &str = "bundle-log/";

/// A rollout: the bundle and the operator who signed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The version of the bundle.
    pub version: u64,
    /// The SHA-256 digest of the text, in hexadecimal; its key in the object store.
    pub digest: String,
    /// The name of the operator who signed the bundle.
    pub signer: String,
    /// The ed25519 signature over version and digest, in hexadecimal.
    pub signature: String,
    /// A random token by which the operator's tool recognises its own rollout.
    pub token: String,
    /// The time of the rollout by the operator's wall clock, in milliseconds since 1970.
    pub time: clock::Millis,
    /// The difference from the previous version, if it is shorter than the text.
    #[serde(default)]
    pub change: Option<ChangeRef>,
}

/// A reference to the object that holds the edits from one version's text to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRef {
    /// The version that the edits apply to.
    pub from: u64,
    /// The SHA-256 digest of the encoded edits, in hexadecimal.
    pub digest: String,
}

/// Returns the key of the history row for the rollout of `version`.
pub fn log_key(version: u64) -> String {
    format!("{LOG_PREFIX}{version:020}")
}

/// Encodes edits for the object store.
///
/// # Errors
///
/// Returns an error if the codec fails to encode the edits.
pub fn encode(edits: &[edits::Edit]) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(edits)
}

/// Decodes edits from the object store.
///
/// # Errors
///
/// Returns an error if the bytes are not encoded edits.
pub fn decode(bytes: &[u8]) -> Result<Vec<edits::Edit>, postcard::Error> {
    postcard::from_bytes(bytes)
}
