//! The HTTP client of the command-line tool for the admin interface of daemons; each call opens a connection.

use std::net;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt;
use snafu::ResultExt;
use tokio::{net as tcp, time};

use crate::state::clock;

/// The timeout of one call.
const TIMEOUT: clock::Millis = clock::Millis(5_000);
/// The largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Why a call failed.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// The connection to the daemon could not be established.
    #[snafu(display(
        "failed to connect to the daemon at {address}; check that it runs and that this is its admin address"
    ))]
    Connect {
        /// The daemon's admin address.
        address: net::SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The daemon did not respond in time.
    #[snafu(display(
        "the daemon at {address} did not respond within {TIMEOUT}; try another daemon"
    ))]
    Timeout {
        /// The daemon's admin address.
        address: net::SocketAddr,
    },
    /// The connection broke, or the other end does not speak HTTP.
    #[snafu(display("the connection to the daemon at {address} broke"))]
    Http {
        /// The daemon's admin address.
        address: net::SocketAddr,
        /// The error of the HTTP library.
        source: hyper::Error,
    },
    /// The request cannot be built.
    #[snafu(display("failed to build the request; check that the token has no line break"))]
    Request {
        /// The error of the HTTP library.
        source: http::Error,
    },
    /// The response body is too long or incomplete.
    #[snafu(display("failed to read the response of the daemon at {address}"))]
    Body {
        /// The daemon's admin address.
        address: net::SocketAddr,
        /// The error of the HTTP library.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The daemon refused the request.
    #[snafu(display(
        "the daemon at {address} refused the request with status {status}: {message}"
    ))]
    Refused {
        /// The daemon's admin address.
        address: net::SocketAddr,
        /// The HTTP status.
        status: StatusCode,
        /// The body of the response.
        message: String,
    },
}

/// Calls the admin interface of a daemon and returns the response body.
///
/// # Errors
///
/// Returns an error if the daemon cannot be reached, does not respond in time, or refuses the request.
pub async fn call(
    address: net::SocketAddr,
    token: &str,
    method: &Method,
    path: &str,
) -> Result<Bytes, Error> {
    match time::timeout(TIMEOUT.span(), exchange(address, token, method, path)).await {
        Ok(result) => result,
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
            log::debug!("the connection to {address} failed: {e}");
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
    let collected = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
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
