//! The connection pool of the load generator: persistent HTTP/1.1 or HTTP/2 connections to entries.

use std::collections::BTreeMap;
use std::net;
use std::sync;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::{http1, http2};
use hyper_util::rt;
use snafu::ResultExt;
use tokio::net::TcpStream;

/// The protocol of connections to entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proto {
    /// HTTP/1.1, with one request at a time per connection.
    Http1,
    /// HTTP/2 with prior knowledge, with one connection per entry.
    Http2,
}

/// Why a request got no response.
#[derive(Debug, snafu::Snafu)]
pub(super) enum Error {
    /// The handshake failed, or the connection closed before the request was sent.
    #[snafu(display("connection to {address} closed before the request was sent"))]
    Unsent {
        address: net::SocketAddr,
        source: hyper::Error,
    },
    /// The TCP connection was not established.
    #[snafu(display("failed to connect to {address}"))]
    Connect {
        address: net::SocketAddr,
        source: std::io::Error,
    },
    /// The connection broke after the request was sent.
    #[snafu(display("the connection broke after the request was sent"))]
    Broken { source: hyper::Error },
}

type Body = Full<Bytes>;

/// An open connection to an entry.
#[derive(Debug)]
pub(super) enum Connection {
    /// Removed from the pool for the duration of one request.
    Http1(http1::SendRequest<Body>),
    /// Shared by concurrent requests.
    Http2(http2::SendRequest<Body>),
}

/// The pool of connections to all entries.
#[derive(Debug)]
pub(super) struct Clients {
    proto: Proto,
    idle: sync::Mutex<BTreeMap<net::SocketAddr, Vec<Connection>>>,
}

impl Clients {
    pub(super) fn new(proto: Proto) -> Clients {
        Clients {
            proto,
            idle: sync::Mutex::default(),
        }
    }

    /// Returns an idle connection to `address`, or opens one.
    pub(super) async fn acquire(&self, address: net::SocketAddr) -> Result<Connection, Error> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        let stream = TcpStream::connect(address)
            .await
            .context(ConnectSnafu { address })?;
        let _ = stream.set_nodelay(true);
        let io = rt::TokioIo::new(stream);
        match self.proto {
            Proto::Http1 => {
                let (sender, driver) = http1::handshake(io)
                    .await
                    .context(UnsentSnafu { address })?;
                tokio::spawn(driver);
                Ok(Connection::Http1(sender))
            }
            Proto::Http2 => {
                let (sender, driver) = http2::handshake(rt::TokioExecutor::new(), io)
                    .await
                    .context(UnsentSnafu { address })?;
                tokio::spawn(driver);
                self.release(address, Connection::Http2(sender.clone()));
                Ok(Connection::Http2(sender))
            }
        }
    }

    fn take_idle(&self, address: net::SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("no user of the pool panicked");
        let list = idle.get_mut(&address)?;
        list.retain(|c| match c {
            Connection::Http1(sender) => !sender.is_closed() && sender.is_ready(),
            Connection::Http2(sender) => !sender.is_closed(),
        });
        match list.last()? {
            Connection::Http1(_) => list.pop(),
            Connection::Http2(sender) => Some(Connection::Http2(sender.clone())),
        }
    }

    /// Returns a connection to the pool once its response body was read to the end.
    pub(super) fn release(&self, address: net::SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().expect("no user of the pool panicked");
        idle.entry(address).or_default().push(connection);
    }
}

impl Connection {
    /// Returns whether the connection serves one request at a time and must be released after its response.
    pub(super) fn is_exclusive(&self) -> bool {
        matches!(self, Connection::Http1(_))
    }

    /// Sends a request and returns the response once its head has arrived.
    pub(super) async fn send(
        &mut self,
        address: net::SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, Error> {
        let sent = match self {
            Connection::Http1(sender) => {
                sender.ready().await.context(UnsentSnafu { address })?;
                sender.send_request(request).await
            }
            Connection::Http2(sender) => {
                sender.ready().await.context(UnsentSnafu { address })?;
                sender.send_request(request).await
            }
        };
        match sent {
            Err(source) if source.is_canceled() => Err(Error::Unsent { address, source }),
            other => other.context(BrokenSnafu),
        }
    }
}
