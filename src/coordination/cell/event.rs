//! What happens to a cell, and what its home has to do about it.

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
    /// The request within this home.
    pub ticket: ids::Ticket,
    /// The caller's tier; 0 is served first.
    pub tier: u8,
    /// When the caller gives up.
    pub deadline: clock::Millis,
    /// Until when an answer is worth most to the caller.
    pub objective: clock::Millis,
    /// The tries that the request may have, the first included.
    pub max_tries: u32,
    /// The tries that it had before it came here.
    pub prior_tries: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the body can be sent again on a retry.
    pub replayable: bool,
    /// What the request does, for the quarantine.
    pub fingerprint: ids::Fingerprint,
    /// The failure domain that it comes from.
    pub origin: ids::DomainId,
}

impl Arrival {
    /// Returns whether the request may be sent again after a try that may have run, or whose body was sent.
    pub fn is_repeatable(&self) -> bool {
        self.idempotent && self.replayable
    }
}

/// What happens to the cell.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// A request arrives.
    Arrive(Arrival),
    /// The home begins to send a granted request to its target.
    Dispatch(ids::Ticket),
    /// The head of the target's answer came, or the try failed before it. The slot stays taken after
    /// [`Outcome::Answered`] and [`Outcome::Failed`] until [`Event::Release`].
    Done {
        /// The request.
        ticket: ids::Ticket,
        /// How the try ended.
        outcome: Outcome,
    },
    /// The answer's body has ended, or has been cut; the slot is free.
    Release(ids::Ticket),
    /// The caller left, or the entry was lost; the request is forgotten.
    Cancel(ids::Ticket),
    /// The bundle in force changed, or came for the first time.
    Rules(&'a bundle::Service),
    /// The evidence of the service's other cells, as an entry brought it.
    Peers(&'a [peer::CellSummary]),
    /// The ejection of a target was granted until a time by this home's clock; the grant may be renewed.
    Granted {
        /// The target.
        target: &'a str,
        /// When the ejection lapses.
        until: clock::Millis,
    },
    /// The ejection of a target was denied: the floor allows none, or the platform does not answer.
    Denied {
        /// The target.
        target: &'a str,
    },
    /// A request's fingerprint was quarantined elsewhere in the fleet.
    Quarantined {
        /// What the request does.
        fingerprint: ids::Fingerprint,
        /// How long it stays in quarantine.
        span: clock::Millis,
    },
    /// The home gives up the cell: what was not dispatched goes back, what runs is finished, nothing new is taken.
    Drain,
    /// Time passed.
    Tick,
}

impl Action {
    /// Returns whether the action ends a request without service, and no other home is to serve it.
    pub(super) fn is_unserved(&self) -> bool {
        match self {
            Action::GiveUp { .. } => true,
            Action::Refuse { refusal, .. } => refusal.cause != refusal::Cause::Draining,
            _ => false,
        }
    }
}

/// What the home has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A slot at `target` is held for the request; the home sends [`Event::Dispatch`] when it begins to use it.
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
    /// The failed try is final: the home passes its outcome to the caller.
    GiveUp {
        /// The request.
        ticket: ids::Ticket,
    },
    /// The try in flight is given up because its target stalls: the home closes the connection and sends no more events
    /// about this try. The request is idempotent, and its grant at another target is the next action.
    Abandon {
        /// The request.
        ticket: ids::Ticket,
    },
    /// A share of the ejection budget is wanted for the target.
    RequestEjection {
        /// The target's name.
        target: String,
    },
    /// The target's ejection is given back.
    ReleaseEjection {
        /// The target's name.
        target: String,
    },
    /// An event for the time line.
    Record {
        /// What happened.
        kind: timeline::Kind,
        /// The target concerned.
        target: String,
        /// The rest, for a person.
        detail: String,
    },
    /// A request that crashed targets goes into quarantine in the whole fleet.
    Quarantine {
        /// What the request does.
        fingerprint: ids::Fingerprint,
        /// How long.
        span: clock::Millis,
    },
}
