//! Messages between daemons, encoded by `postcard`.
//!
//! An entry asks a cell's home for a slot on a QUIC stream of the request's own ([`ToHome`], [`FromHome`]), and sends the
//! request to the target itself. Only the entry ever sends it, so it alone knows what may have run, and a home that is
//! lost takes nothing with it. Everything else between daemons is a [`ControlMessage`].

use futures_util::future;
use serde::{Deserialize, Serialize};

use crate::protocol::refusal;
use crate::state::bundle::edits;
use crate::state::clock;
use crate::state::ids;
use crate::state::timeline;

/// What an entry asks of a cell's home: a slot at a target for one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The request.
    pub request: ids::RequestId,
    /// The caller's own name for the request, for logs; empty where it gave none.
    pub name: String,
    /// The sender's clock.
    pub stamp: timeline::Stamp,
    /// The cell that is to serve it.
    pub cell: ids::CellId,
    /// The caller's tier; 0 is served first.
    pub tier: u8,
    /// The time that is left until the deadline.
    pub left: clock::Millis,
    /// The time that is left in which an answer is worth most to the caller.
    pub objective: clock::Millis,
    /// The tries that the request may have, the first included.
    pub tries: u32,
    /// The tries that it had at other homes.
    pub used: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the body can be sent again on a retry.
    pub replayable: bool,
    /// What the request does, for the quarantine.
    pub fingerprint: ids::Fingerprint,
    /// The entry's failure domain.
    pub origin: ids::DomainId,
    /// The load and evidence of the service's other cells, as the entry last saw them.
    pub peers: Vec<CellSummary>,
}

/// How one try at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target answered with a status that is no failure.
    Answered,
    /// The target answered with a status from 500 on.
    Failed,
    /// The target refused the request undone (503 with `Retry-After`), because it sheds load or drains.
    Shed,
    /// The target states that it did not run the request and will not, because it sheds load or drains.
    NotRun,
    /// Another target stands at the address; it states that it did not run the request.
    Misplaced,
    /// No connection was had; the request was not sent.
    ConnectFailed,
    /// The connection died after the request was sent.
    Broken,
    /// No answer came before the deadline.
    TimedOut,
    /// The target ended the run because the deadline had passed.
    Expired,
    /// The entry knows no such target, or knows that it leaves; nothing was sent.
    Unlisted,
    /// The entry gave the slot back unused.
    Withdrawn,
}

impl Outcome {
    /// Returns whether the target, or the way there, failed the try.
    pub fn is_failure(self) -> bool {
        matches!(
            self,
            Outcome::Failed | Outcome::Broken | Outcome::ConnectFailed | Outcome::TimedOut
        )
    }
}

/// What one cell's home tells about its cell, along with each answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellSummary {
    /// The cell.
    pub cell: ids::CellId,
    /// Slots of targets that take work.
    pub slots: u32,
    /// Slots in use.
    pub busy: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// The wait that a new request of the last tier would have.
    pub wait: clock::Millis,
    /// The median time of good answers; zero while there is no evidence.
    pub median: clock::Millis,
    /// The share of failed or slow requests, from 0 to 1; where targets are ranked by soundness, the doubt about the one
    /// that comes next.
    pub bad: f32,
    /// The number of recent requests behind `median` and `bad`.
    pub seen: u32,
    /// How old the summary was when it was sent on.
    pub age: clock::Millis,
}

/// What the entry sends on a request's stream; a stream that ends without [`ToHome::Ended`] cancels the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToHome {
    /// Asks for a slot; always first.
    #[serde(rename = "Ask")]
    SlotRequest(Box<SlotRequest>),
    /// Tells how a try ended, or that its answer's head came.
    Done(Outcome),
    /// Tells that the answer has ended; always last.
    Ended,
}

/// What the home sends on a request's stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromHome {
    /// The request waits; tells the entry from time to time that the home is alive.
    Queued,
    /// A slot at the target is the request's: the entry sends it there now.
    Granted {
        /// The target's name.
        target: String,
        /// The cell's state.
        summary: Option<CellSummary>,
    },
    /// The request is refused; always last.
    Refused {
        /// The refusal.
        refusal: refusal::Refusal,
        /// The cell's state.
        summary: Option<CellSummary>,
    },
    /// The failed try is final; always last.
    GiveUp,
    /// The try in flight is to be given up, since its target stalls; a grant at another target follows.
    Abandon,
}

/// How a target is judged at its cell's home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The cell.
    pub cell: ids::CellId,
    /// The target's name.
    pub name: String,
    /// `normal`, `avoided`, `ejected` or `leaving`.
    pub standing: String,
    /// Its slots by the bundle.
    pub slots: u32,
    /// Its slots in use.
    pub busy: u32,
    /// The log-likelihood ratio that speaks against it.
    pub ratio: f64,
    /// The daemon that judges.
    pub home: String,
}

/// The first message on a stream, which says what the stream is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// One request of a caller.
    Request,
    /// One [`ControlMessage`] and its reply.
    #[serde(rename = "Note")]
    Control,
}

/// What daemons tell each other besides requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Asks for the bundle in force, if it is newer than `have`.
    #[serde(rename = "AskBundle")]
    GetBundle {
        /// The version that the asker has in force; 0 for none.
        have: u64,
    },
    /// Brings a bundle that was signed off.
    Bundle(Box<SignedBundle>),
    /// Brings a bundle that was signed off, as its difference from one that the receiver has told of.
    #[serde(rename = "Change")]
    BundleChange(Box<BundleChange>),
    /// Tells the version in force; the reply of a daemon that has nothing newer.
    InForce {
        /// The version; 0 for none.
        version: u64,
    },
    /// Brings a request's fingerprint that crashed targets.
    Quarantine {
        /// The fingerprint.
        fingerprint: ids::Fingerprint,
        /// How long it stays in quarantine.
        left: clock::Millis,
    },
    /// Asks a home for the targets of its cells.
    #[serde(rename = "AskTargets")]
    GetTargets,
    /// Tells how the targets of the sender's cells are judged.
    Targets(Vec<TargetReport>),
    /// Nothing to tell; the reply to a note that needs none.
    #[serde(rename = "Done")]
    Ack,
    /// Asks for what the platform told after two marks in its order of changes.
    #[serde(rename = "AskNews")]
    GetUpdates {
        /// The asker's mark of the rules.
        rules: u64,
        /// The asker's mark of the targets.
        targets: u64,
        /// How long the reply may wait for something new.
        wait: clock::Millis,
    },
    /// Brings what the platform told: changes as JSON, up to the sender's marks.
    #[serde(rename = "News")]
    Updates {
        /// How long ago the platform last answered, by the sender's clock; absent while it does not.
        age: Option<clock::Millis>,
        /// The changes; empty where there are none.
        changes: Vec<u8>,
    },
}

/// A bundle with the signature that makes it worth adopting.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedBundle {
    /// The version.
    pub version: u64,
    /// The SHA-256 digest of the text, in hexadecimal.
    pub digest: String,
    /// The operator who signed it off.
    pub signer: String,
    /// The ed25519 signature over version and digest, in hexadecimal.
    pub signature: String,
    /// The bundle's text.
    pub text: String,
}

/// A bundle that was signed off, as its difference from an earlier one.
///
/// The signature covers the digest of the whole text, so the receiver verifies what it has after applying the edits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleChange {
    /// The version that the edits apply to.
    pub from: u64,
    /// The new version.
    pub version: u64,
    /// The SHA-256 digest of the new text, in hexadecimal.
    pub digest: String,
    /// The operator who signed the new version off.
    pub signer: String,
    /// The ed25519 signature over version and digest, in hexadecimal.
    pub signature: String,
    /// The edits from the start of the text to its end.
    pub edits: Vec<edits::Edit>,
}

/// Why a note got no reply.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(visibility(pub), display("no reply from the daemon {to} ({reason})"))]
pub struct NoReply {
    /// The daemon that was asked.
    pub to: String,
    /// What was seen.
    pub reason: String,
}

/// Answers the notes that concern what the platform told: bundles, targets, hosts.
pub trait ControlHandler: Send + Sync {
    /// Takes in a note of the daemon called `from`, and returns the reply.
    fn handle<'a>(
        &'a self,
        from: &'a str,
        note: ControlMessage,
    ) -> future::BoxFuture<'a, ControlMessage>;
}

/// Sends notes to other daemons.
pub trait ControlSender: Send + Sync {
    /// Sends `note` to the daemon called `to`, and waits for its reply within a timeout of the implementation's own.
    fn send<'a>(
        &'a self,
        to: &'a str,
        note: ControlMessage,
    ) -> future::BoxFuture<'a, Result<ControlMessage, NoReply>>;
}
