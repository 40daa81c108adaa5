//! A small HTTP client for one call at a time, which the command-line tool uses towards daemons.

use std::net;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt;
use snafu::ResultExt;
use tokio::{net as tcp, time};

use crate::state::clock;

/// How long one call may take.
const TIMEOUT: clock::Millis = clock::Millis(5_000);
/// The most bytes of an answer.
const ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Why a call failed.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// The daemon can't be reached.
    #[snafu(display(
        "can't reach the daemon at {address}; see that it runs and that the address is its admin address"
    ))]
    Connect {
        /// The address.
        address: net::SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The daemon does not answer.
    #[snafu(display(
        "the daemon at {address} does not answer within {TIMEOUT}; try another daemon"
    ))]
    Timeout {
        /// The address.
        address: net::SocketAddr,
    },
    /// What answers does not speak HTTP.
    #[snafu(display("the daemon at {address} broke the connection"))]
    Http {
        /// The address.
        address: net::SocketAddr,
        /// What the library said.
        source: hyper::Error,
    },
    /// The request can't be written.
    #[snafu(display("the request can't be written; see that the token has no line break"))]
    Request {
        /// What the library said.
        source: http::Error,
    },
    /// The answer is too long or was cut.
    #[snafu(display("the answer of the daemon at {address} can't be read"))]
    Body {
        /// The address.
        address: net::SocketAddr,
        /// What the library said.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The daemon refused.
    #[snafu(display("the daemon at {address} refused with status {status}: {message}"))]
    Refused {
        /// The address.
        address: net::SocketAddr,
        /// The status.
        status: StatusCode,
        /// What it said.
        message: String,
    },
}

/// Calls the admin address of a daemon and returns the answer's body.
///
/// # Errors
///
/// Returns an error if the daemon can't be reached, does not answer in time, or refuses.
pub async fn call(
    address: net::SocketAddr,
    token: &str,
    method: &Method,
    path: &str,
) -> Result<Bytes, Error> {
    match time::timeout(TIMEOUT.span(), exchange(address, token, method, path)).await {
        Ok(answer) => answer,
        Err(_) => TimeoutSnafu { address }.fail(),
    }
}

async fn exchange(
    address: net::SocketAddr,
    token: &str,
    method: &Method,
    path: &str,
) -> Result<Bytes, Error> {
    let stream = tcp::TcpStream::connect(address)
        .await
        .context(ConnectSnafu { address })?;
    let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.context(HttpSnafu { address })?;
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("the connection to {address} ended: {e}");
        }
    });
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::AUTHORIZATION, format!("Bearer {token}"))
        .body(Full::new(Bytes::new()))
        .context(RequestSnafu)?;
    let response = sender
        .send_request(request)
        .await
        .context(HttpSnafu { address })?;
    let status = response.status();
    let collected = Limited::new(response.into_body(), ANSWER_BYTES)
        .collect()
        .await;
    let body = collected.context(BodySnafu { address })?.to_bytes();
    if status.is_success() {
        return Ok(body);
    }
    let message = String::from_utf8_lossy(&body).trim().to_owned();
    RefusedSnafu {
        address,
        status,
        message,
    }
    .fail()
}
