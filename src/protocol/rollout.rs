//! The rows by which a bundle is rolled out, as the command-line tool writes and the follower reads them.

use serde::{Deserialize, Serialize};

use crate::state::bundle::edits;
use crate::state::clock;

/// The key of the row that decides which bundle is in force.
pub const KEY: &str = "bundle";

/// The keys of the rows that keep one rollout each start with it; the version follows, with leading zeros.
pub const LOG_PREFIX: &str = "bundle-log/";

/// Which bundle is in force, and who rolled it out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The version.
    pub version: u64,
    /// The SHA-256 digest of the text, in hexadecimal, under which the object store has it.
    pub digest: String,
    /// The operator who signed it off.
    pub signer: String,
    /// The ed25519 signature over version and digest, in hexadecimal.
    pub signature: String,
    /// Drawn for this rollout, so that its operator knows it again.
    pub token: String,
    /// When it was rolled out, by the operator's wall clock.
    pub time: clock::Millis,
    /// The difference from the version before, where that is shorter than the text.
    #[serde(default)]
    pub change: Option<ChangeRef>,
}

/// Names an object that holds the edits from one version's text to the next one's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRef {
    /// The version that the edits apply to.
    pub from: u64,
    /// The SHA-256 digest of the encoded edits, in hexadecimal.
    pub digest: String,
}

/// Returns the key of the row that keeps the rollout of `version`.
pub fn log_key(version: u64) -> String {
    format!("{LOG_PREFIX}{version:020}")
}

/// Encodes edits for the object store.
///
/// # Errors
///
/// Returns an error if the codec fails.
pub fn encode(edits: &[edits::Edit]) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(edits)
}

/// Decodes edits from the object store.
///
/// # Errors
///
/// Returns an error if the bytes hold no edits.
pub fn decode(bytes: &[u8]) -> Result<Vec<edits::Edit>, postcard::Error> {
    postcard::from_bytes(bytes)
}
