//! Operations on a running fleet, through the admin interface of a daemon.

use std::net;

use http::Method;
use serde::de;
use snafu::ResultExt;

use crate::protocol::admin;
use crate::state::timeline;
use crate::transport::client;

/// The daemon to call and the token to call it with.
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
    #[snafu(display("the call to the daemon failed"))]
    Call {
        /// The cause.
        source: client::Error,
    },
    /// The response has another form than this version of the tool expects.
    #[snafu(display(
        "failed to parse the daemon's response; use the tool of the daemons' version"
    ))]
    Decode {
        /// The error of the parser.
        source: serde_json::Error,
    },
}

impl Error {
    /// Returns whether the daemon was reached and refused the request.
    pub fn is_refusal(&self) -> bool {
        matches!(
            self,
            Error::Call {
                source: client::Error::Refused { .. }
            }
        )
    }
}

/// Returns the bundle version in force at each member of the fleet, as the daemon knows it.
///
/// # Errors
///
/// Returns an error if the call fails or the response cannot be parsed.
pub async fn status(options: &AdminOptions<'_>) -> Result<admin::Status, Error> {
    get(options, "/v1/status").await
}

/// Returns the targets of all services with the state that their homes report.
///
/// # Errors
///
/// Returns an error if the call fails or the response cannot be parsed.
pub async fn targets(options: &AdminOptions<'_>) -> Result<admin::Targets, Error> {
    get(options, "/v1/targets").await
}

/// Requests a daemon to shut down gracefully.
///
/// # Errors
///
/// Returns an error if the call fails.
pub async fn drain(options: &AdminOptions<'_>) -> Result<(), Error> {
    let response = client::call(options.address, options.token, &Method::POST, "/v1/drain").await;
    response.map(|_| ()).context(CallSnafu)
}

/// Returns the events that the daemon keeps in its time line.
///
/// # Errors
///
/// Returns an error if the call fails or the response cannot be parsed.
pub async fn timeline(options: &AdminOptions<'_>) -> Result<Vec<timeline::Event>, Error> {
    let response = client::call(options.address, options.token, &Method::GET, "/v1/timeline").await;
    let body = response.context(CallSnafu)?;
    let lines = body.split(|b| *b == b'\n').filter(|l| !l.is_empty());
    lines
        .map(|l| serde_json::from_slice(l).context(DecodeSnafu))
        .collect()
}

async fn get<T: de::DeserializeOwned>(options: &AdminOptions<'_>, path: &str) -> Result<T, Error> {
    let response = client::call(options.address, options.token, &Method::GET, path).await;
    serde_json::from_slice(&response.context(CallSnafu)?).context(DecodeSnafu)
}
