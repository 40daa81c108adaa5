//! Connections to targets: HTTP/1.1 by `hyper`, one request at a time, kept for the next request.
//!
//! A connection goes back to the [`Pool`] only after its answer has been read to the end; one whose request was
//! abandoned is closed. The cell's slots bound the connections of a home to one target.

use std::collections::BTreeMap;
use std::net;
use std::sync;

use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt;
use snafu::ResultExt;
use tokio::{net as tcp, task, time};

use crate::state::clock;
use crate::transport::body;

/// How long a target may take to accept a connection: several round trips between failure domains, and far less than
/// a caller waits, so that another target can be tried.
const CONNECT_TIMEOUT: clock::Millis = clock::Millis(300);
/// How long a connection may have been idle to carry work that must not be sent twice.
const FRESH_SPAN: clock::Millis = clock::Millis(500);
/// How long a connection is kept without work.
const IDLE_SPAN: clock::Millis = clock::Millis(30_000);
/// How long before the target's own timeout an idle connection is given up, since a request may cross the close.
const CLOSE_MARGIN: clock::Millis = clock::Millis(1_000);
/// The idle connections kept for one target.
const IDLE_PER_TARGET: usize = 16;

/// Why a request got no answer's head.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// No connection was had; nothing was sent.
    #[snafu(display("can't connect to the target at {address}"))]
    Connect {
        /// The target's address.
        address: net::SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The target did not accept a connection in time; nothing was sent.
    #[snafu(display(
        "the target at {address} did not accept a connection within {CONNECT_TIMEOUT}"
    ))]
    ConnectTimeout {
        /// The target's address.
        address: net::SocketAddr,
    },
    /// The connection was closed before the request was sent.
    #[snafu(display("the connection to the target was closed before the request was sent"))]
    NotSent,
    /// The connection broke after the request was sent.
    #[snafu(display("the connection to the target broke during the request"))]
    Broken {
        /// What the library said.
        source: hyper::Error,
    },
}

impl Error {
    /// Returns whether it is certain that the target never saw the request.
    pub fn never_sent(&self) -> bool {
        !matches!(self, Error::Broken { .. })
    }
}

/// A connection to one target, closed when dropped.
#[derive(Debug)]
pub struct Connection {
    address: net::SocketAddr,
    sender: http1::SendRequest<body::Body>,
    driver: task::JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connections by target.
#[derive(Debug)]
pub struct Pool {
    clock: clock::Clock,
    head_bytes: usize,
    idle: sync::Mutex<BTreeMap<net::SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: clock::Millis,
    /// Until when the target keeps it.
    until: clock::Millis,
}

impl Idle {
    fn is_live(&self, now: clock::Millis) -> bool {
        now < self.until && !self.connection.sender.is_closed()
    }
}

impl Pool {
    /// Creates an empty pool whose connections refuse answers' heads above `head_bytes`.
    pub fn new(clock: clock::Clock, head_bytes: usize) -> Pool {
        Pool {
            clock,
            head_bytes,
            idle: sync::Mutex::default(),
        }
    }

    /// Returns a connection to the target at `address`, an idle one where there is one.
    ///
    /// Work that is not `idempotent` gets a connection that was in use a moment ago or is new, because a target may
    /// close an idle connection while the request is on its way.
    ///
    /// # Errors
    ///
    /// Returns an error if the target accepts no connection in time.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the pool's lock panicked.
    pub async fn acquire(
        &self,
        address: net::SocketAddr,
        idempotent: bool,
    ) -> Result<Connection, Error> {
        let longest = if idempotent { IDLE_SPAN } else { FRESH_SPAN };
        if let Some(connection) = self.take_idle(address, longest) {
            return Ok(connection);
        }
        self.connect(address).await
    }

    fn take_idle(&self, address: net::SocketAddr, longest: clock::Millis) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().expect("no holder panicked");
        let list = idle.get_mut(&address)?;
        list.retain(|i| i.is_live(now));
        let last = list.last()?;
        if now - last.since >= longest || !last.connection.sender.is_ready() {
            return None;
        }
        list.pop().map(|i| i.connection)
    }

    async fn connect(&self, address: net::SocketAddr) -> Result<Connection, Error> {
        let connecting = time::timeout(CONNECT_TIMEOUT.span(), tcp::TcpStream::connect(address));
        let Ok(connected) = connecting.await else {
            return ConnectTimeoutSnafu { address }.fail();
        };
        let stream = connected.context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(self.head_bytes.max(MIN_BUFFER_BYTES));
        let handshake = builder.handshake(rt::TokioIo::new(stream)).await;
        let Ok((sender, driving)) = handshake else {
            return NotSentSnafu.fail();
        };
        let driver = tokio::spawn(async move {
            if let Err(e) = driving.await {
                log::debug!("a connection to the target at {address} ended: {e}");
            }
        });
        Ok(Connection {
            address,
            sender,
            driver,
        })
    }

    /// Takes back a connection whose answer has been read to the end; the target keeps it idle for `keep`.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the pool's lock panicked.
    pub async fn release(&self, mut connection: Connection, keep: clock::Millis) {
        if connection.sender.ready().await.is_err() {
            return;
        }
        let since = self.clock.now();
        let mut idle = self.idle.lock().expect("no holder panicked");
        let list = idle.entry(connection.address).or_default();
        if list.len() < IDLE_PER_TARGET {
            list.push(Idle {
                connection,
                since,
                until: since + keep,
            });
        }
    }

    /// Closes what has been idle for too long.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the pool's lock panicked.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().expect("no holder panicked");
        idle.retain(|_, list| {
            list.retain(|i| i.is_live(now));
            !list.is_empty()
        });
    }
}

/// Returns how long an idle connection may be used after an answer with this head.
pub fn keep_alive_timeout(map: &HeaderMap) -> clock::Millis {
    let values = map.get_all("keep-alive").iter();
    let values = values.filter_map(|v| v.to_str().ok());
    let mut parts = values.flat_map(|v| v.split(',')).map(str::trim);
    let seconds = parts.find_map(|p| p.strip_prefix("timeout=")?.parse::<u64>().ok());
    seconds.map_or(IDLE_SPAN, |s| {
        (clock::Millis(s.saturating_mul(1_000)) - CLOSE_MARGIN).min(IDLE_SPAN)
    })
}

/// The least buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

impl Connection {
    /// Sends a request and returns the head of the answer, whose body is read from the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks before the answer's head; [`Error::never_sent`] tells whether the
    /// target may have seen the request.
    pub async fn send(
        &mut self,
        request: Request<body::Body>,
    ) -> Result<Response<Incoming>, Error> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut e) => match e.take_message() {
                Some(_) => NotSentSnafu.fail(),
                None => Err(e.into_error()).context(BrokenSnafu),
            },
        }
    }
}
