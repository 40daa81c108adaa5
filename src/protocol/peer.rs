//! Messages between daemons, encoded by `postcard`.
//!
//! For each request, the entry opens a QUIC stream to a cell's home and asks it for a slot ([`ToHome`], [`FromHome`]).
//! Only the entry sends the request to the target, so it alone knows whether the request may have run, and the failure
//! of a home loses no request. All other messages between daemons are [`ControlMessage`]s.

use std::sync::atomic;

use futures_util::future;
use serde::{Deserialize, Serialize};

use crate::protocol::extension;
use crate::protocol::refusal;
use crate::protocol::version;
use crate::state::bundle::edits;
use crate::state::clock;
use crate::state::ids;
use crate::state::timeline;

/// An entry's request to a cell's home for a slot at a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The fleet-wide identifier of the caller's request.
    pub request: ids::RequestId,
    /// The caller's own identifier of the request, for logs; empty if the caller sent none.
    pub name: String,
    /// The sender's hybrid logical clock.
    pub stamp: timeline::Stamp,
    /// The cell whose targets may serve the request.
    pub cell: ids::CellId,
    /// The rank of the caller's tier; 0 is served first.
    pub tier: u8,
    /// The time until the request's deadline.
    pub left: clock::Millis,
    /// The time until the request's latency objective; later answers are worth less to the caller.
    pub objective: clock::Millis,
    /// The maximum number of tries of the request at all homes, including the first.
    pub tries: u32,
    /// The number of tries already made through other homes.
    pub used: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the body is buffered, so that a retry can send it again.
    pub replayable: bool,
    /// The fingerprint by which the request is quarantined if it crashes targets.
    pub fingerprint: ids::Fingerprint,
    /// The entry's failure domain.
    pub origin: ids::DomainId,
    /// The latest summaries that the entry has received of the service's other cells (not of peers, which are daemons).
    pub peers: Vec<CellSummary>,
    /// What the entry knows of the cell's targets from their statements.
    pub known: Vec<KnownTarget>,
    /// What the extension of the message holds; absent if an entry of version 1 sent it.
    #[serde(skip)]
    pub context: Option<RequestContext>,
}

/// What an entry states of a request in the extension of its [`SlotRequest`].
///
/// A request without a context has no organisation, an unknown route and an unknown length, and counts against no quota.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestContext {
    /// The name of the caller's organisation; empty for callers without a known credential.
    pub organisation: String,
    /// The hash of the route's host and prefix, by which homes estimate the work of requests.
    pub route: u64,
    /// The length of the body in bytes; absent if it is not known before the body is read.
    pub length: Option<u64>,
    /// Whether an earlier try through another home may have run, so that the organisation's quota counts the request.
    pub counted: bool,
}

impl extension::Field for RequestContext {
    const TAG: u32 = 1;
}

/// What a target states in a response about the requests that it accepts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// The rate of requests that it accepts.
    pub limit: RateLimit,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// How long it accepts no requests from the daemon that received the response; zero if it does not say so.
    pub pause: clock::Millis,
}

impl Default for Statement {
    fn default() -> Statement {
        Statement {
            limit: RateLimit::None,
            leaving: false,
            pause: clock::Millis::ZERO,
        }
    }
}

/// What a response of a target states about the rate of requests that it accepts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum RateLimit {
    /// The target states no limit.
    None,
    /// The target accepts this many requests per second from the whole fleet.
    PerSecond(f64),
}

/// What an entry knows of a target from its statements.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownTarget {
    /// The name of the target in the bundle.
    pub target: String,
    /// The rate limit; absent if the target states none.
    pub limit: Option<KnownLimit>,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// How much longer the target accepts no requests from the entry.
    pub pause: clock::Millis,
}

/// The rate limit of a target, as an entry knows it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownLimit {
    /// The rate, in requests per second.
    pub rate: f64,
    /// The time since the target stated it.
    pub age: clock::Millis,
}

/// The outcome of one try of a request at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target answered with a status that does not count as a failure.
    Answered,
    /// The target answered with a status of 500 or above.
    Failed,
    /// The target refused to run the request (503 with `Retry-After`), because it sheds load or drains.
    Shed,
    /// The target states that it did not and will not run the request, because it sheds load or drains.
    NotRun,
    /// The address belongs to another target, which states that it did not run the request.
    Misplaced,
    /// No connection could be established; the request was not sent.
    ConnectFailed,
    /// The connection broke after the request was sent.
    Broken,
    /// The target did not answer before the deadline.
    TimedOut,
    /// The target aborted the run because the deadline had passed.
    Expired,
    /// The entry does not use the target: its bundle does not list it, or lists it as leaving, or the target stated
    /// that it accepts no requests. Nothing was sent.
    Unlisted,
    /// The entry released the slot without using it.
    Withdrawn,
    /// The entry found no path to the target, neither its own nor through a relay. Nothing was sent, and it is no
    /// evidence against the target.
    Unreachable,
}

impl Outcome {
    /// Returns whether the target may have run the request.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            Outcome::Answered
                | Outcome::Failed
                | Outcome::Broken
                | Outcome::TimedOut
                | Outcome::Expired
        )
    }

    /// Returns whether the try failed because of the target or the network path to it.
    pub fn is_failure(self) -> bool {
        matches!(
            self,
            Outcome::Failed | Outcome::Broken | Outcome::ConnectFailed | Outcome::TimedOut
        )
    }
}

/// The load and failure statistics of one cell, which its home sends along with grants and refusals.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellSummary {
    /// The cell that the summary describes.
    pub cell: ids::CellId,
    /// The usable slots of the targets that are neither avoided, ejected nor leaving; if there are none, the usable
    /// slots of the avoided targets.
    pub slots: u32,
    /// The number of slots in use.
    pub busy: u32,
    /// The number of requests in the queue.
    pub queued: u32,
    /// The estimated wait of a new request of the last tier.
    pub wait: clock::Millis,
    /// The median response time of successful requests; zero while there are no samples.
    pub median: clock::Millis,
    /// The share of failed or slow requests, from 0 to 1.
    ///
    /// If the service ranks its targets by failure probability, this is the lowest one of the targets with a free slot,
    /// or of all targets if no slot is free; 0 if that target is in the best level. If all targets are suspected, the
    /// share is at least that of a degraded cell.
    pub bad: f32,
    /// The number of recent requests from which `median` and `bad` are computed.
    pub seen: u32,
    /// The number of targets that lack a request, so that the share of them that the service keeps in use is reached.
    pub idle: u32,
    /// The age of the summary when it was forwarded.
    pub age: clock::Millis,
}

/// A message from the entry on a request's stream.
///
/// A stream that closes without [`ToHome::Ended`] cancels the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToHome {
    /// Requests a slot; always the first message.
    #[serde(rename = "Ask")]
    SlotRequest(Box<SlotRequest>),
    /// Reports the outcome of a try, once it has failed or the response head has arrived.
    Done {
        /// The outcome.
        outcome: Outcome,
        /// What the target states in its response; absent if there is none.
        statement: Option<Statement>,
    },
    /// Reports that the response body has ended; always the last message.
    Ended,
}

/// A message from the home on a request's stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromHome {
    /// The request is queued; sent periodically to show that the home is alive.
    Queued,
    /// A slot at a target is granted; the entry sends the request to that target now.
    Granted {
        /// The name of the target in the bundle.
        target: String,
        /// The current state of the cell.
        summary: Option<CellSummary>,
    },
    /// The request is refused; always the last message.
    Refused {
        /// The refusal to return to the caller.
        refusal: refusal::Refusal,
        /// The current state of the cell.
        summary: Option<CellSummary>,
    },
    /// No further try follows the failed one; always the last message.
    GiveUp,
    /// The entry must abort the try in flight because its target stalls; a grant at another target follows.
    Abandon,
}

impl ToHome {
    /// Returns the extension of the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the codec fails to encode a field.
    pub fn extension(&self) -> Result<extension::Extension, postcard::Error> {
        let mut extension = extension::Extension::default();
        if let ToHome::SlotRequest(request) = self
            && let Some(context) = &request.context
        {
            extension.set(context)?;
        }
        Ok(extension)
    }

    /// Adds the fields of an extension to the message that it followed.
    ///
    /// # Errors
    ///
    /// Returns an error if a field cannot be decoded.
    pub fn extend(&mut self, extension: &extension::Extension) -> Result<(), postcard::Error> {
        if let ToHome::SlotRequest(request) = self {
            request.context = extension.get()?;
        }
        Ok(())
    }
}

/// The state of a target, as reported by the home of its cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The cell that the target belongs to.
    pub cell: ids::CellId,
    /// The name of the target in the bundle.
    pub name: String,
    /// The health state: `normal`, `avoided`, `ejected` or `leaving`.
    pub standing: String,
    /// The number of slots that the bundle gives the target.
    pub slots: u32,
    /// The number of slots in use.
    pub busy: u32,
    /// The target's outlier score: a sum of log-likelihood ratios that is never below 0, the best score.
    pub ratio: f64,
    /// The daemon that is home of the cell.
    pub home: String,
}

/// The first message on a stream, which selects the protocol that the stream carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// One caller's request: [`ToHome`] and [`FromHome`].
    Request,
    /// One [`ControlMessage`] and its reply.
    #[serde(rename = "Note")]
    Control,
    /// One request to a target, by [`super::relay`].
    Relay,
}

/// A message between daemons outside the path of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Requests the bundle in force, if it is newer than `have`.
    #[serde(rename = "AskBundle")]
    GetBundle {
        /// The version in force at the sender; 0 for none.
        have: u64,
    },
    /// Carries a signed bundle.
    Bundle(Box<SignedBundle>),
    /// Carries a signed bundle as a difference from a version that the receiver has reported.
    #[serde(rename = "Change")]
    BundleChange(Box<BundleChange>),
    /// Reports the version in force: as a reply, if the sender has no newer bundle or it is too long for a message; as
    /// a push, if the change is too long.
    InForce {
        /// The version in force at the sender; 0 for none.
        version: u64,
    },
    /// Quarantines the fingerprint of a request that crashed targets.
    Quarantine {
        /// The fingerprint to quarantine.
        fingerprint: ids::Fingerprint,
        /// The remaining time of the quarantine.
        left: clock::Millis,
    },
    /// Requests reports on the targets of the receiver's cells.
    #[serde(rename = "AskTargets")]
    GetTargets,
    /// Reports the state of the targets of the sender's cells.
    Targets(Vec<TargetReport>),
    /// Acknowledges a message that needs no other reply.
    #[serde(rename = "Done")]
    Ack,
    /// Requests the platform's changes after the given revisions.
    #[serde(rename = "AskNews")]
    GetUpdates {
        /// The revision of the rules known to the sender.
        rules: u64,
        /// The revision of the targets known to the sender.
        targets: u64,
        /// The maximum time for which the reply may wait for a change (long polling).
        wait: clock::Millis,
        /// Whether the reply may wait although the receiver has lost the platform, until it answers again. The field is
        /// in the extension of the message; a receiver that does not know it replies at once.
        #[serde(skip)]
        through_outage: bool,
        /// The revision of the rules that the sender holds, which accepts compressed changes, and parts of the rules. The
        /// field is in the extension of the message; a receiver that does not know it sends complete rules.
        #[serde(skip)]
        held_rules: Option<u64>,
    },
    /// Carries the platform's changes that the sender knows and that are newer than the requested revisions.
    #[serde(rename = "News")]
    Updates {
        /// The time since the platform last answered, by the sender's clock; absent while it does not answer.
        age: Option<clock::Millis>,
        /// The changes, encoded as JSON; empty if there are none.
        changes: Vec<u8>,
        /// How long the sender held the request. The field is in the extension of the message; absent if the sender does
        /// not state it.
        #[serde(skip)]
        held: Option<clock::Millis>,
        /// Whether the changes are compressed. The field is in the extension of the message.
        #[serde(skip)]
        compressed: bool,
    },
    /// Requests tokens of quotas from their holder; only sent to daemons of version 2.
    GetTokens(Box<TokenRequest>),
    /// Carries the tokens that a holder hands out; absent if the receiver of the request knows no holder that answers.
    Tokens(Option<Vec<TokenLot>>),
}

/// The field `through_outage` of [`ControlMessage::GetUpdates`] in the extension of the message.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct ThroughOutage(bool);

impl extension::Field for ThroughOutage {
    const TAG: u32 = 1;
}

/// The field `held_rules` of [`ControlMessage::GetUpdates`] in the extension of the message.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct HeldRules(u64);

impl extension::Field for HeldRules {
    const TAG: u32 = 3;
}

/// The field `compressed` of [`ControlMessage::Updates`] in the extension of the message.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Compressed(bool);

impl extension::Field for Compressed {
    const TAG: u32 = 4;
}

/// The field `held` of [`ControlMessage::Updates`] in the extension of the message.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Held(clock::Millis);

impl extension::Field for Held {
    const TAG: u32 = 2;
}

impl ControlMessage {
    /// Returns the extension of the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the codec fails to encode a field.
    pub fn extension(&self) -> Result<extension::Extension, postcard::Error> {
        let mut extension = extension::Extension::default();
        match self {
            ControlMessage::GetUpdates {
                through_outage,
                held_rules,
                ..
            } => {
                if *through_outage {
                    extension.set(&ThroughOutage(true))?;
                }
                if let Some(revision) = held_rules {
                    extension.set(&HeldRules(*revision))?;
                }
            }
            ControlMessage::Updates {
                held, compressed, ..
            } => {
                if let Some(held) = held {
                    extension.set(&Held(*held))?;
                }
                if *compressed {
                    extension.set(&Compressed(true))?;
                }
            }
            _ => {}
        }
        Ok(extension)
    }

    /// Adds the fields of an extension to the message that it followed.
    ///
    /// # Errors
    ///
    /// Returns an error if a field cannot be decoded.
    pub fn extend(&mut self, extension: &extension::Extension) -> Result<(), postcard::Error> {
        match self {
            ControlMessage::GetUpdates {
                through_outage,
                held_rules,
                ..
            } => {
                let field: Option<ThroughOutage> = extension.get()?;
                *through_outage = field.is_some_and(|field| field.0);
                let field: Option<HeldRules> = extension.get()?;
                *held_rules = field.map(|field| field.0);
            }
            ControlMessage::Updates {
                held, compressed, ..
            } => {
                let field: Option<Held> = extension.get()?;
                *held = field.map(|field| field.0);
                let field: Option<Compressed> = extension.get()?;
                *compressed = field.is_some_and(|field| field.0);
            }
            _ => {}
        }
        Ok(())
    }
}

/// A home's request for tokens of quotas, for all organisations of one holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The name of the home.
    pub home: String,
    /// The run of the home; each start has a higher number.
    pub run: u64,
    /// The number of the request within the run; a repetition has the same number.
    pub sequence: u64,
    /// The number of the last request to the holder whose reply was received; the lots of later replies were lost.
    pub received: u64,
    /// Whether another daemon passed the request on; it is passed on once at most.
    pub forwarded: bool,
    /// What the home needs of each organisation.
    pub needs: Vec<TokenNeed>,
}

/// The tokens of one organisation that a home holds and needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenNeed {
    /// The name of the organisation.
    pub organisation: String,
    /// The rate of its quota by the home's rules, in requests per second.
    pub rate: f64,
    /// The burst of its quota by the home's rules.
    pub burst: f64,
    /// The tokens in the home's stock.
    pub held: u32,
    /// The tokens that the home returns with this request.
    pub returned: u32,
    /// The number of requests that wait for a token.
    pub waiting: u32,
    /// The tokens that the home would keep in its stock beyond `held`.
    pub spare: u32,
}

/// The tokens of one organisation that a holder hands out to a home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenLot {
    /// The name of the organisation.
    pub organisation: String,
    /// The number of tokens.
    pub tokens: u32,
    /// The time until the holder has another token.
    pub wait: clock::Millis,
    /// The time until there is room for another request, by the requests that were refused before it.
    pub room: clock::Millis,
}

/// A bundle with the signature that authorises its adoption.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedBundle {
    /// The version of the bundle.
    pub version: u64,
    /// The SHA-256 digest of the text, in hexadecimal.
    pub digest: String,
    /// The name of the operator who signed the bundle.
    pub signer: String,
    /// The ed25519 signature over version and digest, in hexadecimal.
    pub signature: String,
    /// The TOML text of the bundle.
    pub text: String,
}

/// A signed bundle, encoded as the difference from an earlier version.
///
/// The signature covers the digest of the whole text, so the receiver verifies the text that results from the edits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleChange {
    /// The version that the edits apply to.
    pub from: u64,
    /// The new version.
    pub version: u64,
    /// The SHA-256 digest of the new text, in hexadecimal.
    pub digest: String,
    /// The name of the operator who signed the new version.
    pub signer: String,
    /// The ed25519 signature over version and digest, in hexadecimal.
    pub signature: String,
    /// The edits, in order from the start of the text to its end.
    pub edits: Vec<edits::Edit>,
}

/// The error when a control message gets no reply.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(visibility(pub), display("no reply from daemon {to} ({reason})"))]
pub struct NoReply {
    /// The daemon that the message was sent to.
    pub to: String,
    /// The reason, for logs.
    pub reason: String,
}

/// Handles the control messages about configuration from the platform: bundles, rules and targets.
pub trait ControlHandler: Send + Sync {
    /// Handles `message` from the daemon named `from`, which speaks `version`, and returns the reply.
    fn handle<'a>(
        &'a self,
        from: &'a str,
        version: version::Version,
        message: ControlMessage,
    ) -> future::BoxFuture<'a, ControlMessage>;
}

/// The number of bytes of a reply that have arrived, which tells a slow transfer from a peer that is silent.
#[derive(Debug, Default)]
pub struct Arrived(atomic::AtomicUsize);

impl Arrived {
    /// Adds bytes that have arrived.
    pub fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes, atomic::Ordering::Relaxed);
    }

    /// Returns the number of bytes that have arrived.
    pub fn bytes(&self) -> usize {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

/// Sends control messages to other daemons.
pub trait ControlSender: Send + Sync {
    /// Sends `message` to the daemon named `to`, waits for the reply and counts its bytes as they arrive. The caller sets
    /// the timeout.
    fn send_counted<'a>(
        &'a self,
        to: &'a str,
        message: ControlMessage,
        arrived: &'a Arrived,
    ) -> future::BoxFuture<'a, Result<ControlMessage, NoReply>> {
        let _ = arrived;
        self.send(to, message)
    }

    /// Sends `message` to the daemon named `to` and waits for the reply; the implementation sets the timeout.
    fn send<'a>(
        &'a self,
        to: &'a str,
        message: ControlMessage,
    ) -> future::BoxFuture<'a, Result<ControlMessage, NoReply>>;
}
