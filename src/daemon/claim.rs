//! The claim of one keyed request: made before its first try, settled by what came of it.

use http::Response;

use crate::daemon::claims::{ClaimResult, Claims, Token, WorkOutcome};
use crate::protocol::problem;
use crate::protocol::refusal::{Cause, Outcome, Refusal};
use crate::state::{clock, ids};
use crate::transport::body;

/// When to come back while no claim can be recorded.
const RETRY_SOON: clock::Millis = clock::Millis(1_000);

/// What is claimed; nothing where the request has no key.
pub struct Claim<'a> {
    /// Where claims are recorded.
    pub claims: &'a dyn Claims,
    /// Organisation and service.
    pub scope: [&'a str; 2],
    /// The caller's key.
    pub key: Option<&'a str>,
    /// What the request does.
    pub fingerprint: ids::Fingerprint,
}

/// Whether a request may be sent.
pub enum Permission {
    /// It may, once; the token is settled with what came of it.
    Granted(Option<Token>),
    /// It ran before, with this outcome.
    Answered(Response<body::Body>),
    /// It may not.
    Refused(Refusal),
}

impl Claim<'_> {
    /// Claims the request's key, within `patience`.
    pub async fn make(&self, patience: clock::Millis) -> Permission {
        let Some(key) = self.key else {
            return Permission::Granted(None);
        };
        let claiming = self.claims.claim(&self.scope, key, self.fingerprint);
        match tokio::time::timeout(patience.span(), claiming).await {
            Ok(ClaimResult::Fresh(token)) => Permission::Granted(Some(token)),
            Ok(ClaimResult::Ran(record)) => {
                Permission::Answered(problem::replayed_response(&record))
            }
            Ok(ClaimResult::Unknown) => {
                Permission::Refused(Refusal::unknown(Cause::AlreadyClaimed))
            }
            Ok(ClaimResult::KeyReused) => {
                Permission::Refused(Refusal::not_run(Cause::KeyReused, None))
            }
            Ok(ClaimResult::Unavailable) | Err(_) => {
                let refusal = Refusal::not_run(Cause::ClaimUnavailable, Some(RETRY_SOON));
                Permission::Refused(refusal)
            }
        }
    }

    /// Settles the claim with the status of an answer.
    pub fn ran(&self, token: Option<Token>, status: u16) {
        if let Some(token) = token {
            let settled = WorkOutcome::Ran(problem::RecordedOutcome { status });
            self.claims.record_outcome(token, settled);
        }
    }

    /// Settles the claim of a request that ends in a refusal; one whose outcome is unknown stays open.
    pub fn refused(&self, token: Option<Token>, refusal: &Refusal) {
        if let Some(token) = token
            && refusal.outcome == Outcome::NotRun
        {
            self.claims.record_outcome(token, WorkOutcome::NotRun);
        }
    }
}
