//! Claims of keyed non-idempotent work, as the entry asks for them.

use futures_util::future;

use crate::protocol::problem;
use crate::state::ids;

/// Names one claim of this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token(pub String);

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// The key was free and is claimed now.
    Fresh(Token),
    /// The work ran before, with this outcome.
    Ran(problem::Record),
    /// The key was claimed before; whether the work ran is not known.
    Unknown,
    /// The key was claimed before for different work.
    KeyReused,
    /// The platform can't record the claim.
    Unavailable,
}

/// What became of claimed work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It ran, with this outcome.
    Ran(problem::Record),
    /// It certainly did not run.
    NotRun,
}

/// Records which keyed work may run.
pub trait Claims: Send + Sync {
    /// Claims `key` within `scope` (organisation and service) for the work with `fingerprint`.
    fn claim<'a>(
        &'a self,
        scope: &'a [&'a str; 2],
        key: &'a str,
        fingerprint: ids::Fingerprint,
    ) -> future::BoxFuture<'a, Claimed>;

    /// Records what became of claimed work; does not wait for the platform.
    fn settle(&self, token: Token, settled: Settled);
}
