//! Operations on a running fleet, through the admin address of one daemon or several.

use std::net;

use http::Method;
use serde::de;
use snafu::ResultExt;

use crate::protocol::admin;
use crate::state::timeline;
use crate::transport::client;

/// Which daemon to ask, and with what token.
#[derive(Clone, Debug)]
pub struct AdminOptions<'a> {
    /// The daemon's admin address.
    pub address: net::SocketAddr,
    /// The operators' token.
    pub token: &'a str,
}

/// Why an operation failed.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// The call failed.
    #[snafu(display("the daemon gave no answer"))]
    Call {
        /// Why.
        source: client::Error,
    },
    /// The answer is not what this tool knows.
    #[snafu(display(
        "the daemon's answer can't be understood; use the tool of the daemons' version"
    ))]
    Answer {
        /// What is wrong.
        source: serde_json::Error,
    },
}

impl Error {
    /// Returns whether the daemon was reached and refused.
    pub fn is_refusal(&self) -> bool {
        matches!(
            self,
            Error::Call {
                source: client::Error::Refused { .. }
            }
        )
    }
}

/// Asks a daemon for the version in force everywhere, as it knows.
///
/// # Errors
///
/// Returns an error if the daemon gives no answer.
pub async fn status(options: &AdminOptions<'_>) -> Result<admin::Status, Error> {
    get(options, "/v1/status").await
}

/// Asks a daemon for the targets of one service, or of all, as their homes judge them.
///
/// # Errors
///
/// Returns an error if the daemon gives no answer.
pub async fn targets(options: &AdminOptions<'_>) -> Result<admin::Targets, Error> {
    get(options, "/v1/targets").await
}

/// Tells a daemon to shut down gracefully.
///
/// # Errors
///
/// Returns an error if the daemon gives no answer.
pub async fn drain(options: &AdminOptions<'_>) -> Result<(), Error> {
    let called = client::call(options.address, options.token, &Method::POST, "/v1/drain").await;
    called.map(|_| ()).context(CallSnafu)
}

/// Asks a daemon for the events that it keeps.
///
/// # Errors
///
/// Returns an error if the daemon gives no answer.
pub async fn timeline(options: &AdminOptions<'_>) -> Result<Vec<timeline::Event>, Error> {
    let called = client::call(options.address, options.token, &Method::GET, "/v1/timeline").await;
    let body = called.context(CallSnafu)?;
    let lines = body.split(|b| *b == b'\n').filter(|l| !l.is_empty());
    lines
        .map(|l| serde_json::from_slice(l).context(AnswerSnafu))
        .collect()
}

async fn get<T: de::DeserializeOwned>(options: &AdminOptions<'_>, path: &str) -> Result<T, Error> {
    let called = client::call(options.address, options.token, &Method::GET, path).await;
    serde_json::from_slice(&called.context(CallSnafu)?).context(AnswerSnafu)
}
