//! Connections to entries, kept open between requests, by HTTP/1.1 or HTTP/2.

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

/// The protocol towards entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proto {
    /// HTTP/1.1, one request at a time on a connection.
    Http1,
    /// HTTP/2 with prior knowledge, one connection an entry.
    Http2,
}

/// Why a request got no answer.
#[derive(Debug, snafu::Snafu)]
pub(super) enum Error {
    /// The request was not sent.
    #[snafu(display("no connection to {address}"))]
    Unsent {
        address: net::SocketAddr,
        source: hyper::Error,
    },
    /// No connection was had.
    #[snafu(display("no connection to {address}"))]
    Connect {
        address: net::SocketAddr,
        source: std::io::Error,
    },
    /// The connection broke after the request was sent.
    #[snafu(display("the connection broke"))]
    Broken { source: hyper::Error },
}

type Body = Full<Bytes>;

/// One open connection.
#[derive(Debug)]
pub(super) enum Connection {
    /// Taken from the pool for one request.
    Http1(http1::SendRequest<Body>),
    /// Shared by all requests.
    Http2(http2::SendRequest<Body>),
}

/// The open connections to all entries.
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

    /// Takes an idle connection, or opens one.
    pub(super) async fn take(&self, address: net::SocketAddr) -> Result<Connection, Error> {
        if let Some(connection) = self.idle(address) {
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
                self.give_back(address, Connection::Http2(sender.clone()));
                Ok(Connection::Http2(sender))
            }
        }
    }

    fn idle(&self, address: net::SocketAddr) -> Option<Connection> {
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

    /// Gives back a connection whose answer was read to its end.
    pub(super) fn give_back(&self, address: net::SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().expect("no user of the pool panicked");
        idle.entry(address).or_default().push(connection);
    }
}

impl Connection {
    /// Returns whether the connection has to be given back after its answer.
    pub(super) fn is_exclusive(&self) -> bool {
        matches!(self, Connection::Http1(_))
    }

    /// Sends a request and returns the answer's head.
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
