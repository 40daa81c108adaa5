//! Calls to one HTTP/1.1 service of the platform, with JSON or plain bytes, over a few pooled connections.
//!
//! Errors distinguish a call that was certainly not executed from one whose response was lost.

use std::net;
use std::sync;
use std::time;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt;
use serde::{Serialize, de};

use crate::protocol::platform;
use crate::state::clock;

/// The most idle connections that one channel keeps.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// The largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// How long a connection may have been idle to be used again. Packets may have been lost for good meanwhile, which only
/// a call or several keep-alive probes show.
const MAX_IDLE: time::Duration = time::Duration::from_millis(1_000);
/// How long a connection may be quiet before the system sends a TCP keep-alive probe, and the time between two probes;
/// an established connection can lose all packets for good while new connections work.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// The unanswered probes after which the system closes a connection.
const MAX_PROBES: u32 = 2;

/// How long no part of a response's body may arrive.
const PART_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// The longest time that a response's body may take.
const MAX_BODY_TIME: time::Duration = time::Duration::from_secs(8);

type Body = http_body_util::Full<Bytes>;
type Sender = http1::SendRequest<Body>;

/// The client of one service with its idle connections.
#[derive(Debug)]
pub struct Channel {
    address: net::SocketAddr,
    idle: sync::Mutex<Vec<Idle>>,
}

/// A connection without a call.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: tokio::time::Instant,
}

/// A connection to the service.
#[derive(Debug)]
struct Connection {
    sender: Sender,
    opened: tokio::time::Instant,
}

impl Connection {
    /// Sends a request and returns the response head.
    ///
    /// # Errors
    ///
    /// Returns [`platform::Error::Lost`] if no response arrives until `deadline` or the connection breaks.
    async fn send(
        &mut self,
        deadline: tokio::time::Instant,
        request: http::Request<Body>,
    ) -> Result<Sent, platform::Error> {
        let sent = before(deadline, self.sender.try_send_request(request)).await;
        match sent.map_err(|e| self.add_age(e))? {
            Ok(response) => Ok(Sent::Response(response)),
            Err(mut e) => match e.take_message() {
                Some(request) => Ok(Sent::Unsent(request)),
                None => lost(&e.into_error().to_string()).map_err(|e| self.add_age(e)),
            },
        }
    }

    /// Reads a body to its end, also after `deadline` as long as parts of it arrive.
    async fn collect(
        &self,
        deadline: tokio::time::Instant,
        body: Incoming,
    ) -> Result<Bytes, platform::Error> {
        let mut limited = http_body_util::Limited::new(body, MAX_RESPONSE_BYTES);
        let mut collected = BytesMut::new();
        let end = tokio::time::Instant::now() + MAX_BODY_TIME;
        loop {
            let part_deadline = (tokio::time::Instant::now() + PART_TIMEOUT).min(end);
            let part = before(deadline.max(part_deadline), limited.frame()).await;
            match part.map_err(|e| self.add_age(e))? {
                None => return Ok(collected.freeze()),
                Some(Ok(frame)) => collected.extend(frame.into_data()),
                Some(Err(e)) => return lost(&e.to_string()).map_err(|e| self.add_age(e)),
            }
        }
    }

    /// Adds the age of the connection to an error, which tells whether it was opened before a fault began.
    fn add_age(&self, e: platform::Error) -> platform::Error {
        let platform::Error::Lost { reason } = e else {
            return e;
        };
        let age = clock::Millis(self.opened.elapsed().as_millis() as u64);
        platform::Error::Lost {
            reason: format!("{reason}, on a connection opened {age} ago"),
        }
    }
}

/// The result of sending a request on a connection.
enum Sent {
    /// The response head arrived.
    Response(http::Response<Incoming>),
    /// The connection was closed before any part of the request was sent.
    Unsent(http::Request<Body>),
}

/// The response to one call.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: http::StatusCode,
    /// The header fields.
    pub headers: http::HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Response {
    /// Returns the response if its status is a success.
    ///
    /// # Errors
    ///
    /// Returns [`platform::Error::Unavailable`] for a 4xx or 503, after which the call was not executed, and
    /// [`platform::Error::Lost`] for any other status, after which it may have been.
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
    /// Returns an error if the body is not JSON of this type; the call may have been executed.
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

    /// Makes one call. The head of the response may take `timeout`, and its body longer as long as parts of it arrive,
    /// since a large one takes time on a slow link.
    ///
    /// # Errors
    ///
    /// Returns [`platform::Error::Unavailable`] if the call was certainly not executed, and
    /// [`platform::Error::Lost`] if it may have been but no response was received.
    pub async fn call(
        &self,
        method: http::Method,
        path: &str,
        body: Bytes,
        timeout: clock::Millis,
    ) -> Result<Response, platform::Error> {
        let deadline = tokio::time::Instant::now() + timeout.span();
        let request = self.request(method, path, body)?;
        let (mut connection, request) = match self.idle_connection() {
            Some(connection) => (connection, request),
            None => (self.connect(deadline).await?, request),
        };
        let answered = async {
            let mut sent = connection.send(deadline, request).await?;
            if let Sent::Unsent(request) = sent {
                connection = self.connect(deadline).await?;
                sent = connection.send(deadline, request).await?;
            }
            let Sent::Response(response) = sent else {
                return unavailable("a new connection was closed before the call was sent");
            };
            let (head, body) = response.into_parts();
            let body = connection.collect(deadline, body).await?;
            Ok((head, body))
        };
        let (head, body) = answered.await.inspect_err(|_| self.close_idle())?;
        self.release(connection);
        Ok(Response {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Sends a message as JSON in a POST request, as [`Channel::call`] does.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Channel::call`] does.
    pub async fn post<M: Serialize + Sync>(
        &self,
        path: &str,
        message: &M,
        timeout: clock::Millis,
    ) -> Result<Response, platform::Error> {
        let body = serde_json::to_vec(message).or_else(|e| unavailable(&e.to_string()))?;
        self.call(http::Method::POST, path, Bytes::from(body), timeout)
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

    fn idle_connection(&self) -> Option<Connection> {
        let mut idle = self.idle_connections();
        idle.retain(|i| i.since.elapsed() < MAX_IDLE && !i.connection.sender.is_closed());
        idle.pop().map(|i| i.connection)
    }

    fn release(&self, connection: Connection) {
        let mut idle = self.idle_connections();
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.sender.is_closed() {
            let since = tokio::time::Instant::now();
            idle.push(Idle { connection, since });
        }
    }

    /// Closes the idle connections after a call was lost, since what broke its connection may have broken them too.
    fn close_idle(&self) {
        self.idle_connections().clear();
    }

    fn idle_connections(&self) -> sync::MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner())
    }

    async fn connect(&self, deadline: tokio::time::Instant) -> Result<Connection, platform::Error> {
        let connecting = async {
            let stream = tokio::net::TcpStream::connect(self.address)
                .await
                .or_else(|e| unavailable(&e.to_string()))?;
            stream
                .set_nodelay(true)
                .or_else(|e| unavailable(&e.to_string()))?;
            enable_keepalive(&stream);
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
                log::debug!("a connection to the platform failed: {e}");
            }
        });
        Ok(Connection {
            sender,
            opened: tokio::time::Instant::now(),
        })
    }
}

/// Makes the system close the connection once the other end stops acknowledging.
fn enable_keepalive(stream: &tokio::net::TcpStream) {
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    let socket = socket2::SockRef::from(stream);
    let enabled = socket
        .set_tcp_keepalive(&keepalive)
        .and_then(|()| socket.set_tcp_user_timeout(Some(PROBE_INTERVAL * (MAX_PROBES + 1))));
    if let Err(e) = enabled {
        log::warn!("failed to enable TCP keep-alive on a connection to the platform: {e}");
    }
}

/// Waits for `f` until `deadline`, after which the response counts as lost.
async fn before<F: Future>(
    deadline: tokio::time::Instant,
    f: F,
) -> Result<F::Output, platform::Error> {
    match tokio::time::timeout_at(deadline, f).await {
        Ok(output) => Ok(output),
        Err(_) => lost("no response within the timeout"),
    }
}

fn lost<T>(reason: &str) -> Result<T, platform::Error> {
    platform::LostSnafu { reason }.fail()
}

fn unavailable<T>(reason: &str) -> Result<T, platform::Error> {
    platform::UnavailableSnafu { reason }.fail()
}
