//! Refusals: responses that peridotspread itself generates in place of a target's.
//!
//! A caller receives an RFC 9457 problem with the header `Peridotspread-Outcome`, which only the entry writes. Homes
//! send a [`Refusal`] to the entry over the peer protocol.

use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::state::clock;

/// Whether a refused request may have run at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request did not run and will not run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the header `Peridotspread-Outcome`.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// The reason why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Cause {
    /// No bundle is in force yet.
    NoBundle,
    /// No route matches the request, or the service of the route does not exist.
    NoRoute,
    /// The caller's credential is unknown.
    UnknownCaller,
    /// The request is malformed or exceeds a limit.
    BadRequest,
    /// The request head exceeds its size limit.
    HeadTooLong,
    /// The request body exceeds its size limit.
    BodyTooLong,
    /// The request is not expected to end before its deadline, given the estimated wait and run time.
    DeadlineTooShort,
    /// The deadline passed before the request was sent to a target.
    DeadlinePassed,
    /// The queue of the cell is full.
    QueueFull,
    /// A request of a higher tier displaced this one from the full queue.
    Displaced,
    /// No target of the cell accepts requests, or the cell defers to other cells because all of its targets are
    /// suspected. Also used if the cell's actor fails to start or has stopped.
    NoTarget,
    /// No home of the service's cells could be reached.
    NoHome,
    /// The daemon is shutting down.
    Draining,
    /// The request is quarantined because it crashed targets.
    Quarantined,
    /// The platform failed to record the claim of the idempotency key.
    ClaimUnavailable,
    /// The idempotency key was claimed before, and no outcome of that run is recorded.
    AlreadyClaimed,
    /// The idempotency key was used before for a different request.
    KeyReused,
    /// The connection to the target failed before the request was sent.
    ConnectFailed,
    /// All targets that were tried refused to run the request. Also used for a request that was tried through another
    /// home, if the retry budget of the cell is used up.
    TargetShed,
    /// The target broke the connection during the request.
    TargetBroke,
    /// The target did not answer before the deadline.
    TargetTimeout,
    /// The connection to the home was lost after the request was handed to it.
    HomeLost,
    /// This daemon reaches no target, and no other daemon relays its requests.
    CutOff,
    /// The caller's organisation has used up its quota.
    OverQuota,
    /// The daemon holds as many bytes as its memory budget allows.
    MemoryFull,
    /// The service of the request was removed while the request waited; its route may lead to another one by now.
    RulesChanged,
    /// The rules have no route or no credential for the request, but were confirmed so long ago that newer ones may.
    RulesLapsed,
}

/// A refusal, as sent by homes and reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// The reason of the refusal.
    pub cause: Cause,
    /// The time after which a retry makes sense; absent if a retry would not help.
    pub retry_after: Option<clock::Millis>,
}

impl Refusal {
    /// Creates the refusal of a request that did not run.
    pub fn not_run(cause: Cause, retry_after: Option<clock::Millis>) -> Refusal {
        Refusal {
            outcome: Outcome::NotRun,
            cause,
            retry_after,
        }
    }

    /// Creates the refusal of a request that may have run.
    pub fn unknown(cause: Cause) -> Refusal {
        Refusal {
            outcome: Outcome::Unknown,
            cause,
            retry_after: None,
        }
    }

    /// Returns the refusal of a request for which an earlier try may have run, with `unknown_cause` as the reason why
    /// the outcome of that try is unknown.
    ///
    /// If there is such a cause, an outcome of [`Outcome::NotRun`] becomes [`Outcome::Unknown`] with that cause.
    pub fn after_unknown_try(self, unknown_cause: Option<Cause>) -> Refusal {
        match unknown_cause {
            Some(cause) if self.outcome == Outcome::NotRun => Refusal::unknown(cause),
            _ => self,
        }
    }
}

impl Cause {
    /// All causes, in the order of the reference page.
    pub const ALL: [Cause; 27] = [
        Cause::NoBundle,
        Cause::NoRoute,
        Cause::UnknownCaller,
        Cause::BadRequest,
        Cause::DeadlineTooShort,
        Cause::DeadlinePassed,
        Cause::QueueFull,
        Cause::Displaced,
        Cause::NoTarget,
        Cause::NoHome,
        Cause::Draining,
        Cause::Quarantined,
        Cause::ClaimUnavailable,
        Cause::AlreadyClaimed,
        Cause::KeyReused,
        Cause::ConnectFailed,
        Cause::TargetShed,
        Cause::HeadTooLong,
        Cause::BodyTooLong,
        Cause::TargetBroke,
        Cause::TargetTimeout,
        Cause::HomeLost,
        Cause::CutOff,
        Cause::OverQuota,
        Cause::MemoryFull,
        Cause::RulesChanged,
        Cause::RulesLapsed,
    ];

    /// Returns the name that is used in problem types, the time line and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::NoBundle => "no-bundle",
            Cause::NoRoute => "no-route",
            Cause::UnknownCaller => "unknown-caller",
            Cause::BadRequest => "bad-request",
            Cause::DeadlineTooShort => "deadline-too-short",
            Cause::DeadlinePassed => "deadline-passed",
            Cause::QueueFull => "queue-full",
            Cause::Displaced => "displaced",
            Cause::NoTarget => "no-target",
            Cause::NoHome => "no-home",
            Cause::Draining => "draining",
            Cause::Quarantined => "quarantined",
            Cause::ClaimUnavailable => "claim-unavailable",
            Cause::AlreadyClaimed => "already-claimed",
            Cause::KeyReused => "key-reused",
            Cause::ConnectFailed => "connect-failed",
            Cause::TargetShed => "target-shed",
            Cause::HeadTooLong => "head-too-long",
            Cause::BodyTooLong => "body-too-long",
            Cause::TargetBroke => "target-broke",
            Cause::TargetTimeout => "target-timeout",
            Cause::HomeLost => "home-lost",
            Cause::CutOff => "cut-off",
            Cause::OverQuota => "over-quota",
            Cause::MemoryFull => "memory-full",
            Cause::RulesChanged => "rules-changed",
            Cause::RulesLapsed => "rules-lapsed",
        }
    }

    /// Returns a human-readable summary in one sentence.
    pub fn title(self) -> &'static str {
        match self {
            Cause::NoBundle => "No bundle is in force yet",
            Cause::NoRoute => "No route leads to a service",
            Cause::UnknownCaller => "The credential is not known",
            Cause::BadRequest => "The request is malformed or passes a limit",
            Cause::DeadlineTooShort => "The wait would pass the deadline",
            Cause::DeadlinePassed => "The deadline passed before the request was dispatched",
            Cause::QueueFull => "The queue is full",
            Cause::Displaced => "A request of a higher tier took the place in the queue",
            Cause::NoTarget => "No target of the service takes work",
            Cause::NoHome => "No home of the service's cells could be reached",
            Cause::Draining => "The daemon is shutting down",
            Cause::Quarantined => "The request is quarantined because it crashed targets",
            Cause::ClaimUnavailable => "The idempotency key can't be claimed now",
            Cause::AlreadyClaimed => {
                "The idempotency key was claimed before and has no recorded outcome"
            }
            Cause::KeyReused => "The idempotency key was used for a different request",
            Cause::ConnectFailed => "No connection to a target was had",
            Cause::TargetShed => "The targets refused the request because they are full",
            Cause::HeadTooLong => "The request's head passes the limit",
            Cause::BodyTooLong => "The request's body passes the limit",
            Cause::TargetBroke => "The target broke the connection during the request",
            Cause::TargetTimeout => "The target did not answer before the deadline",
            Cause::HomeLost => "The daemon that handed the request to a target was lost",
            Cause::CutOff => "The daemon reaches no target and no daemon that relays",
            Cause::OverQuota => "The organisation has used up its quota",
            Cause::MemoryFull => "The daemon's memory budget is used up",
            Cause::RulesChanged => "The service was removed while the request waited",
            Cause::RulesLapsed => "The daemon has not heard of changes for too long to know",
        }
    }

    /// Returns the HTTP status of the response to the caller.
    pub fn status(self) -> StatusCode {
        match self {
            Cause::NoRoute => StatusCode::NOT_FOUND,
            Cause::UnknownCaller => StatusCode::UNAUTHORIZED,
            Cause::BadRequest => StatusCode::BAD_REQUEST,
            Cause::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Cause::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Cause::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Cause::AlreadyClaimed => StatusCode::CONFLICT,
            Cause::TargetBroke | Cause::HomeLost => StatusCode::BAD_GATEWAY,
            Cause::DeadlinePassed | Cause::TargetTimeout => StatusCode::GATEWAY_TIMEOUT,
            Cause::NoBundle
            | Cause::DeadlineTooShort
            | Cause::QueueFull
            | Cause::Displaced
            | Cause::NoTarget
            | Cause::NoHome
            | Cause::Draining
            | Cause::Quarantined
            | Cause::ClaimUnavailable
            | Cause::TargetShed
            | Cause::ConnectFailed
            | Cause::CutOff
            | Cause::MemoryFull
            | Cause::RulesChanged
            | Cause::RulesLapsed => StatusCode::SERVICE_UNAVAILABLE,
            Cause::OverQuota => StatusCode::TOO_MANY_REQUESTS,
        }
    }
}
