//! Calls to one HTTP/1.1 service of the platform's: JSON or bytes, over a few connections that are kept.
//!
//! It tells apart what its callers must tell apart: a call that was surely not acted on, and one whose answer was lost.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt;
use serde::{Serialize, de};

use crate::protocol::platform;
use crate::state::clock;

/// The idle connections that one client keeps.
const IDLE_CONNECTIONS: usize = 4;
/// The most bytes of one answer.
const ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// How long a connection may be quiet before the system asks whether the other end lives, and the time between two
/// such questions; connections can go silent for good while new ones work.
const PROBE_SPAN: time::Duration = time::Duration::from_secs(1);
/// The questions without an answer that end a connection.
const PROBES: u32 = 2;

type Body = http_body_util::Full<Bytes>;
type Sender = http1::SendRequest<Body>;

/// The way to one service.
#[derive(Debug)]
pub struct Channel {
    address: net::SocketAddr,
    idle: sync::Mutex<Vec<Sender>>,
}

/// The answer to one call.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: http::StatusCode,
    /// The body, whole.
    pub body: Bytes,
}

impl Response {
    /// Passes on an answer of success; a 4xx or 503 says that the call was not acted on, any other leaves it open.
    ///
    /// # Errors
    ///
    /// Returns an error for every other answer.
    pub fn error_for_status(self) -> Result<Response, platform::Error> {
        if self.status.is_success() {
            return Ok(self);
        }
        let reason = format!("status {}", self.status.as_u16());
        let refused = self.status == http::StatusCode::SERVICE_UNAVAILABLE;
        if refused || self.status.is_client_error() {
            return unavailable(&reason);
        }
        lost(&reason)
    }

    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is something else; the call may have been acted on.
    pub fn decode<M: de::DeserializeOwned>(&self) -> Result<M, platform::Error> {
        serde_json::from_slice(&self.body).or_else(|e| lost(&e.to_string()))
    }
}

impl Channel {
    /// Creates a channel; nothing is connected before the first call.
    pub fn new(address: net::SocketAddr) -> Channel {
        Channel {
            address,
            idle: sync::Mutex::default(),
        }
    }

    /// Makes one call, which may take `patience`.
    ///
    /// # Errors
    ///
    /// Returns [`platform::Error::Unavailable`] if the call was surely not acted on, and [`platform::Error::Lost`] if
    /// its answer did not come.
    pub async fn call(
        &self,
        method: http::Method,
        path: &str,
        body: Bytes,
        patience: clock::Millis,
    ) -> Result<Response, platform::Error> {
        let deadline = tokio::time::Instant::now() + patience.span();
        let request = self.request(method, path, body)?;
        let (mut sender, request) = match self.idle_connection() {
            Some(sender) => (sender, request),
            None => (self.connect(deadline).await?, request),
        };
        let answer = match timeout(deadline, sender.try_send_request(request)).await? {
            Ok(answer) => answer,
            Err(mut e) => {
                // The request comes back where the idle connection was closed before anything was sent on it.
                let Some(request) = e.take_message() else {
                    return lost(&e.into_error().to_string());
                };
                sender = self.connect(deadline).await?;
                match timeout(deadline, sender.send_request(request)).await? {
                    Ok(answer) => answer,
                    Err(e) => return lost(&e.to_string()),
                }
            }
        };
        let status = answer.status();
        let limited = http_body_util::Limited::new(answer.into_body(), ANSWER_BYTES);
        let body = match timeout(deadline, limited.collect()).await? {
            Ok(body) => body.to_bytes(),
            Err(e) => return lost(&e.to_string()),
        };
        self.keep(sender);
        Ok(Response { status, body })
    }

    /// Posts a message as JSON, as [`Channel::call`] does.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Channel::call`] does.
    pub async fn post<M: Serialize + Sync>(
        &self,
        path: &str,
        message: &M,
        patience: clock::Millis,
    ) -> Result<Response, platform::Error> {
        let body = serde_json::to_vec(message).or_else(|e| unavailable(&e.to_string()))?;
        self.call(http::Method::POST, path, Bytes::from(body), patience)
            .await
    }

    fn request(
        &self,
        method: http::Method,
        path: &str,
        body: Bytes,
    ) -> Result<http::Request<Body>, platform::Error> {
        http::Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Body::new(body))
            .or_else(|e| unavailable(&e.to_string()))
    }

    fn idle_connection(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        while let Some(sender) = idle.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn keep(&self, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        if idle.len() < IDLE_CONNECTIONS && !sender.is_closed() {
            idle.push(sender);
        }
    }

    async fn connect(&self, deadline: tokio::time::Instant) -> Result<Sender, platform::Error> {
        let connecting = async {
            let stream = tokio::net::TcpStream::connect(self.address)
                .await
                .or_else(|e| unavailable(&e.to_string()))?;
            stream
                .set_nodelay(true)
                .or_else(|e| unavailable(&e.to_string()))?;
            watch(&stream);
            http1::handshake(rt::TokioIo::new(stream))
                .await
                .or_else(|e| unavailable(&e.to_string()))
        };
        let Ok(connected) = tokio::time::timeout_at(deadline, connecting).await else {
            return unavailable("no connection within the timeout");
        };
        let (sender, connection) = connected?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("a connection to the platform ended: {e}");
            }
        });
        Ok(sender)
    }
}

/// Has the system end a connection whose other end is silent.
fn watch(stream: &tokio::net::TcpStream) {
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_SPAN)
        .with_interval(PROBE_SPAN)
        .with_retries(PROBES);
    let socket = socket2::SockRef::from(stream);
    let watched = socket
        .set_tcp_keepalive(&probes)
        .and_then(|()| socket.set_tcp_user_timeout(Some(PROBE_SPAN * (PROBES + 1))));
    if let Err(e) = watched {
        log::warn!("a silent connection to the platform is found by timeouts alone: {e}");
    }
}

/// Waits for an answer until `deadline`; past it the answer counts as lost.
async fn timeout<F: Future>(
    deadline: tokio::time::Instant,
    f: F,
) -> Result<F::Output, platform::Error> {
    match tokio::time::timeout_at(deadline, f).await {
        Ok(output) => Ok(output),
        Err(_) => lost("no answer within the timeout"),
    }
}

fn lost<T>(reason: &str) -> Result<T, platform::Error> {
    platform::LostSnafu { reason }.fail()
}

fn unavailable<T>(reason: &str) -> Result<T, platform::Error> {
    platform::UnavailableSnafu { reason }.fail()
}
