//! The claim of one request's idempotency key: acquired before the first try, completed with the request's outcome.

use http::Response;

use crate::daemon::claims::{ClaimResult, Claims, RequestOutcome, Token};
use crate::protocol::problem;
use crate::protocol::refusal::{Cause, Outcome, Refusal};
use crate::state::{clock, ids};
use crate::transport::body;

/// The `Retry-After` of refusals while no claim can be recorded.
const RETRY_AFTER: clock::Millis = clock::Millis(1_000);

/// The claim of a request; a request without a key needs none.
pub struct Claim<'a> {
    /// Records claims.
    pub claims: &'a dyn Claims,
    /// The organisation and the service, within which keys are unique.
    pub scope: [&'a str; 2],
    /// The caller's key.
    pub key: Option<&'a str>,
    /// The request's fingerprint; a key is refused for other requests than the first.
    pub fingerprint: ids::Fingerprint,
}

/// Whether a request may be sent to a target.
pub enum Permission {
    /// The request may be sent; its outcome is to be recorded with the token, if there is one.
    Granted(Option<Token>),
    /// The request ran before; this response replays its outcome.
    Answered(Response<body::Body>),
    /// The request may not be sent.
    Refused(Refusal),
}

impl Claim<'_> {
    /// Claims the request's key; refuses the request if that takes longer than `timeout`.
    pub async fn acquire(&self, timeout: clock::Millis) -> Permission {
        let Some(key) = self.key else {
            return Permission::Granted(None);
        };
        let claiming = self.claims.claim(&self.scope, key, self.fingerprint);
        match tokio::time::timeout(timeout.span(), claiming).await {
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
                let refusal = Refusal::not_run(Cause::ClaimUnavailable, Some(RETRY_AFTER));
                Permission::Refused(refusal)
            }
        }
    }

    /// Records that the request ran, with the status of its response.
    pub fn record_response(&self, token: Option<Token>, status: u16) {
        if let Some(token) = token {
            let outcome = RequestOutcome::Ran(problem::RecordedOutcome { status });
            self.claims.record_outcome(token, outcome);
        }
    }

    /// Records that a refused request did not run; the claim of a request whose outcome is unknown stays open.
    pub fn record_refusal(&self, token: Option<Token>, refusal: &Refusal) {
        if let Some(token) = token
            && refusal.outcome == Outcome::NotRun
        {
            self.claims.record_outcome(token, RequestOutcome::NotRun);
        }
    }
}
