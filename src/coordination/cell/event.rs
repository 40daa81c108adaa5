//! The events that a cell handles, and the actions that its home carries out.

use crate::coordination::cost;
use crate::protocol::peer;
pub use crate::protocol::peer::Outcome;
use crate::protocol::refusal;
use crate::state::bundle;
use crate::state::clock;
use crate::state::ids;
use crate::state::timeline;

/// A request that arrives at the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request's identifier at this home.
    pub ticket: ids::Ticket,
    /// The caller's tier; 0 has the highest priority.
    pub tier: u8,
    /// When the caller's timeout ends.
    pub deadline: clock::Millis,
    /// When the response should be complete; a later one is worth less to the caller.
    pub objective: clock::Millis,
    /// The most tries that the request may have, including the first.
    pub max_tries: u32,
    /// The tries that the request had at other homes.
    pub prior_tries: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the body can be sent again on a retry.
    pub replayable: bool,
    /// The fingerprint by which the request is quarantined.
    pub fingerprint: ids::Fingerprint,
    /// The failure domain of the entry that received the request.
    pub origin: ids::DomainId,
    /// The hash of the name of the caller's organisation; 0 if the caller has none.
    pub organisation: u64,
    /// The kind of request by which its work is estimated.
    pub kind: cost::Kind,
    /// The bytes of its body that count against what a target may hold at a time; 0 if that is not limited.
    pub body: u64,
}

impl Arrival {
    /// Returns whether the request may be sent again after a try that may have run, or whose body has been sent.
    pub fn can_be_resent(&self) -> bool {
        self.idempotent && self.replayable
    }
}

/// An input to the cell.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// A request arrives.
    Arrive {
        /// The request.
        arrival: Arrival,
        /// What its entry knows of targets from their statements.
        known: &'a [peer::KnownTarget],
    },
    /// The home starts to send a request to the target that it was granted.
    Sent(ids::Ticket),
    /// A try ended: the head of the response was received, or the try failed before that. After [`Outcome::Answered`]
    /// and [`Outcome::Failed`] the slot stays in use until [`Event::Release`].
    Done {
        /// The request.
        ticket: ids::Ticket,
        /// How the try ended.
        outcome: Outcome,
    },
    /// The target that the request runs at states in its response which requests it accepts.
    Stated {
        /// The request.
        ticket: ids::Ticket,
        /// The statement.
        statement: peer::Statement,
    },
    /// Whether this home ranks first for the cell; a cell starts as if it did.
    Ranked {
        /// Whether it does.
        is_first: bool,
    },
    /// The body of the response has ended or was cut off, so the slot is free.
    Release(ids::Ticket),
    /// The caller disconnected, or the entry was lost. The cell removes the request.
    Cancel(ids::Ticket),
    /// The first bundle was received, or the bundle in force changed.
    Rules(&'a bundle::Service),
    /// The summaries of the service's other cells, as an entry last received them.
    OtherCells(&'a [peer::CellSummary]),
    /// An ejection was granted or renewed.
    EjectionGranted {
        /// The target.
        target: &'a str,
        /// When the ejection expires, by this home's clock.
        until: clock::Millis,
    },
    /// An ejection was denied: the floor allows no more, or the platform did not answer.
    EjectionDenied {
        /// The target.
        target: &'a str,
    },
    /// The fingerprint was quarantined elsewhere in the fleet.
    Quarantined {
        /// The fingerprint of the requests to refuse.
        fingerprint: ids::Fingerprint,
        /// How long the quarantine lasts.
        span: clock::Millis,
    },
    /// The home hands the cell over: requests that have not been sent are refused as draining, running ones are
    /// completed, and no new ones are admitted.
    Drain,
    /// Time has passed; timers that are due run.
    Tick,
}

/// An action that the home carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A slot at `target` is reserved for the request; the home sends [`Event::Sent`] when it starts to use it.
    Grant {
        /// The request.
        ticket: ids::Ticket,
        /// The target's name.
        target: String,
    },
    /// The request is refused.
    Refuse {
        /// The request.
        ticket: ids::Ticket,
        /// The refusal.
        refusal: refusal::Refusal,
    },
    /// The failed try was the last one: the home passes its outcome to the caller.
    GiveUp {
        /// The request.
        ticket: ids::Ticket,
    },
    /// The try in flight is abandoned because its target stalls: the home closes the connection and sends no more
    /// events about this try. The request can be resent, and the next action grants it a slot at another target.
    Abandon {
        /// The request.
        ticket: ids::Ticket,
    },
    /// The home requests a lease of the service's ejection budget for the target, or its renewal.
    RequestEjection {
        /// The target's name.
        target: String,
    },
    /// The home returns the lease of the target's ejection.
    ReleaseEjection {
        /// The target's name.
        target: String,
    },
    /// An event for the time line.
    Record {
        /// The kind of the event.
        kind: timeline::Kind,
        /// The target concerned.
        target: String,
        /// Details for a human reader.
        detail: String,
    },
    /// The fingerprint crashed targets and is to be quarantined in the whole fleet.
    Quarantine {
        /// The fingerprint of the requests to refuse.
        fingerprint: ids::Fingerprint,
        /// How long the quarantine lasts.
        span: clock::Millis,
    },
    /// A request with a fingerprint on probation was answered, so this cell runs such requests without limit again.
    EndProbation {
        /// The fingerprint of the requests.
        fingerprint: ids::Fingerprint,
    },
}
