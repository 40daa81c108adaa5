//! Connections to targets: HTTP/1.1 by `hyper`, one request at a time, pooled for reuse.
//!
//! A [`Connector`] opens the connections, directly or through a relay. A direct connection returns to the [`Pool`] only
//! after its response has been read to the end; one whose request was abandoned is closed. The cell's slots limit the
//! connections of a home to one target.
//!
//! A target may send a response twice, and the second copy arrives where the next response is due. Its identifier tells
//! it from that one, unless the same request is under way again. Therefore a connection carries each identifier once.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net;
use std::sync::{self, atomic};

use futures_util::future;
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt;
use snafu::ResultExt;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::{net as tcp, task, time};

use crate::protocol::relay;
use crate::state::{clock, hash};
use crate::transport::{body, read_limit, stall};

/// How long a target may take to accept a connection: several round trips between failure domains, and far less than
/// a caller waits, so that the request can still be sent to another target.
pub const CONNECT_TIMEOUT: clock::Millis = clock::Millis(300);
/// How long a connection may have been idle to be reused for a request that must not be sent twice.
const NON_IDEMPOTENT_IDLE: clock::Millis = clock::Millis(500);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: clock::Millis = clock::Millis(30_000);
/// How long before the target's keep-alive timeout an idle connection is closed, since a request could otherwise
/// arrive while the target closes it.
const CLOSE_MARGIN: clock::Millis = clock::Millis(1_000);
/// How long the rest of a request may take to be sent after its response has ended.
const RELEASE_TIMEOUT: clock::Millis = clock::Millis(5_000);
/// The most requests that a connection carries, which bounds the identifiers that it remembers.
const MAX_CARRIED: usize = 256;
/// The most idle connections that are kept to one target.
const MAX_IDLE_PER_TARGET: usize = 16;

/// Why no response head was received.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The connection could not be established; nothing was sent.
    #[snafu(display("failed to connect to the target at {address}"))]
    Connect {
        /// The target's address.
        address: net::SocketAddr,
        /// The system's error.
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
    /// This daemon found no path to the target, which says nothing about the target; nothing was sent.
    #[snafu(display("found no path to the target at {address}"))]
    Unreachable {
        /// The target's address.
        address: net::SocketAddr,
    },
    /// This daemon is cut off from the targets, and no relay can be used; nothing was sent.
    #[snafu(display("cut off from the targets, and no daemon relays requests"))]
    NoPath,
    /// The relays do not send requests to the target, by what they know of it; nothing was sent.
    #[snafu(display("the relays do not send requests to the target at {address}"))]
    Unlisted {
        /// The target's address.
        address: net::SocketAddr,
    },
    /// The connection was closed before the request was sent.
    #[snafu(display("the connection to the target was closed before the request was sent"))]
    NotSent,
    /// The connection has carried a request with the same identifier; nothing was sent.
    #[snafu(display(
        "the connection to the target has carried a request with the same identifier"
    ))]
    Carried,
    /// The relay's connection to the target broke, or the relay's response proves nothing.
    #[snafu(display("the relay's connection to the target broke during the request"))]
    RelayBroken,
    /// The connection broke after the request, or a part of it, was sent.
    #[snafu(display("the connection to the target broke during the request"))]
    Broken {
        /// The error of the HTTP library.
        source: hyper::Error,
    },
}

impl Error {
    /// Returns whether it is certain that no part of the request reached the target.
    pub fn never_sent(&self) -> bool {
        !matches!(self, Error::Broken { .. } | Error::RelayBroken)
    }
}

/// A target to connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination<'a> {
    /// The target's name in the bundle.
    pub name: &'a str,
    /// The target's address.
    pub address: net::SocketAddr,
    /// Whether the request may be sent on a connection that was idle for long.
    pub idempotent: bool,
    /// Whether the connection must be direct.
    pub direct: bool,
    /// The identifier that the target repeats in its response to the request; absent if it is not known yet. A request
    /// whose identifier is empty gets a new connection.
    pub request: Option<&'a str>,
}

/// A byte stream in both directions.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<S: AsyncRead + AsyncWrite + Send + Unpin> Stream for S {}

/// A stream to a target that was opened.
pub struct Opened {
    /// The stream.
    pub stream: Box<dyn Stream>,
    /// The daemon that relays the request; absent for a direct connection.
    pub relay: Option<String>,
}

/// Opens streams to targets.
pub trait Connector: Send + Sync {
    /// Opens a stream to a target; nothing is sent before the caller writes to it.
    ///
    /// # Errors
    ///
    /// Returns an error if no stream could be opened in time.
    fn connect<'a>(&'a self, to: Destination<'a>) -> future::BoxFuture<'a, Result<Opened, Error>>;

    /// Returns whether direct connections that were idle may be used: they may hang if this daemon is cut off.
    fn trusts_idle(&self) -> bool;
}

/// The size of the system's receive buffer of a connection to a target, in bytes: what a target may send ahead of the
/// caller's reading. It would otherwise grow to several MiB, which the host keeps for each response that nobody reads.
const RECEIVE_BYTES: u32 = 128 * 1024;

/// Opens TCP connections whose receive buffer in the system is limited.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpConnector;

/// Opens TCP connections whose buffers in the system hold at most [`stall::SOCKET_BYTES`] each.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitedTcpConnector;

impl Connector for TcpConnector {
    fn connect<'a>(&'a self, to: Destination<'a>) -> future::BoxFuture<'a, Result<Opened, Error>> {
        open(to.address, connect(to.address, RECEIVE_BYTES, None))
    }

    fn trusts_idle(&self) -> bool {
        true
    }
}

impl Connector for LimitedTcpConnector {
    fn connect<'a>(&'a self, to: Destination<'a>) -> future::BoxFuture<'a, Result<Opened, Error>> {
        let bytes = stall::SOCKET_BYTES as u32;
        open(to.address, connect(to.address, bytes, Some(bytes)))
    }

    fn trusts_idle(&self) -> bool {
        true
    }
}

/// Connects with limits on the system's buffers; the send buffer has none if `send_bytes` is absent.
async fn connect(
    address: net::SocketAddr,
    receive_bytes: u32,
    send_bytes: Option<u32>,
) -> std::io::Result<tcp::TcpStream> {
    let socket = match address {
        net::SocketAddr::V4(_) => tcp::TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => tcp::TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(receive_bytes)?;
    if let Some(bytes) = send_bytes {
        socket.set_send_buffer_size(bytes)?;
    }
    socket.connect(address).await
}

/// Returns the stream that `connecting` opens within [`CONNECT_TIMEOUT`].
fn open<'a>(
    address: net::SocketAddr,
    connecting: impl Future<Output = std::io::Result<tcp::TcpStream>> + Send + 'a,
) -> future::BoxFuture<'a, Result<Opened, Error>> {
    Box::pin(async move {
        let Ok(connected) = time::timeout(CONNECT_TIMEOUT.span(), connecting).await else {
            return ConnectTimeoutSnafu { address }.fail();
        };
        let stream = connected.context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        Ok(Opened {
            stream: Box::new(stream),
            relay: None,
        })
    })
}

/// What a connection has carried before a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The number of the connection in this daemon.
    pub connection: u64,
    /// The requests that it carried before.
    pub before: usize,
    /// Whether a request with the same identifier was among them, so that a copy of its response would seem to answer
    /// this one.
    pub repeated: bool,
}

/// A connection to one target, which is closed when dropped.
#[derive(Debug)]
pub struct Connection {
    address: net::SocketAddr,
    number: u64,
    /// The hashes of the identifiers of the requests that were sent.
    carried: BTreeSet<u64>,
    /// The daemon that relays the request; absent for a direct connection.
    relay: Option<String>,
    sender: http1::SendRequest<body::Body>,
    /// Limits what is read until the next part of a response is complete.
    limit: read_limit::ReadLimit,
    head_bytes: usize,
    driver: task::JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The idle connections by target.
pub struct Pool {
    clock: clock::Clock,
    head_bytes: usize,
    connector: sync::Arc<dyn Connector>,
    /// How long a target may read nothing of a request; absent if there is no limit.
    stall_timeout: Option<clock::Millis>,
    /// The connections that were opened.
    opened: atomic::AtomicU64,
    idle: sync::Mutex<BTreeMap<net::SocketAddr, Vec<Idle>>>,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool")
            .field("idle", &self.idle)
            .finish_non_exhaustive()
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: clock::Millis,
    /// When the target's keep-alive timeout may close the connection.
    until: clock::Millis,
}

impl Idle {
    fn is_live(&self, now: clock::Millis) -> bool {
        now < self.until && !self.connection.sender.is_closed()
    }
}

impl Pool {
    /// Creates an empty pool whose connections reject response heads of more than `head_bytes`.
    pub fn new(
        clock: clock::Clock,
        head_bytes: usize,
        connector: sync::Arc<dyn Connector>,
    ) -> Pool {
        Pool {
            clock,
            head_bytes,
            connector,
            stall_timeout: None,
            opened: atomic::AtomicU64::default(),
            idle: sync::Mutex::default(),
        }
    }

    /// Returns the pool with a limit on how long a target may read nothing of a request, after which its connection is
    /// closed.
    #[must_use]
    pub fn with_stall_timeout(mut self) -> Pool {
        self.stall_timeout = Some(stall::STALL_TIMEOUT);
        self
    }

    /// Returns an idle connection to a target, or a new one.
    ///
    /// A request that is not idempotent gets a new connection or one that was idle only briefly, because a target may
    /// close an idle connection while the request is on its way. No request gets a connection that has carried its
    /// identifier.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection is established in time.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the pool's lock panicked.
    pub async fn acquire(&self, to: Destination<'_>) -> Result<Connection, Error> {
        let max_idle = match to.idempotent {
            true => IDLE_TIMEOUT,
            false => NON_IDEMPOTENT_IDLE,
        };
        if self.connector.trusts_idle()
            && let Some(connection) = self.take_idle(to, max_idle)
        {
            return Ok(connection);
        }
        self.connect(to).await
    }

    fn take_idle(&self, to: Destination<'_>, max_idle: clock::Millis) -> Option<Connection> {
        let now = self.clock.now();
        let key = to.request.map(key_of);
        let mut idle = self.idle.lock().expect("no holder panicked");
        let list = idle.get_mut(&to.address)?;
        list.retain(|i| i.is_live(now));
        let is_usable = |i: &Idle| {
            now - i.since < max_idle
                && i.connection.sender.is_ready()
                && key.is_none_or(|k| i.connection.admits_key(k))
        };
        let at = list.iter().rposition(is_usable)?;
        Some(list.remove(at).connection)
    }

    async fn connect(&self, to: Destination<'_>) -> Result<Connection, Error> {
        let address = to.address;
        let Opened { stream, relay } = self.connector.connect(to).await?;
        let head_bytes = self.head_bytes.max(MIN_BUFFER_BYTES);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(head_bytes);
        let stream = stall::StallGuard::new(stream, self.stall_timeout, |_| {});
        let (stream, limit) = read_limit::LimitedStream::new(stream, head_bytes);
        let handshake = builder.handshake(rt::TokioIo::new(stream)).await;
        let Ok((sender, connection)) = handshake else {
            return NotSentSnafu.fail();
        };
        let driver = tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("a connection to the target at {address} failed: {e}");
            }
        });
        Ok(Connection {
            address,
            number: self.opened.fetch_add(1, atomic::Ordering::Relaxed),
            carried: BTreeSet::new(),
            relay,
            sender,
            limit,
            head_bytes,
            driver,
        })
    }

    /// Returns a connection whose response has been read to the end to the pool, which reuses it for at most `keep`. A
    /// relayed one is closed, since the relay itself keeps the connection to the target.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the pool's lock panicked.
    pub async fn release(&self, mut connection: Connection, keep: clock::Millis) {
        if connection.relay.is_some() || connection.carried.len() >= MAX_CARRIED {
            return;
        }
        // A target may answer before it has read the whole request, and then read nothing more.
        let ready = time::timeout(RELEASE_TIMEOUT.span(), connection.sender.ready());
        if !matches!(ready.await, Ok(Ok(()))) {
            return;
        }
        let since = self.clock.now();
        let mut idle = self.idle.lock().expect("no holder panicked");
        let list = idle.entry(connection.address).or_default();
        if list.len() < MAX_IDLE_PER_TARGET {
            list.push(Idle {
                connection,
                since,
                until: since + keep,
            });
        }
    }

    /// Closes the connections that expired or that their targets closed.
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

/// Returns how long an idle connection may be reused after a response with these headers.
pub fn keep_alive_timeout(map: &HeaderMap) -> clock::Millis {
    let values = map.get_all("keep-alive").iter();
    let values = values.filter_map(|v| v.to_str().ok());
    let mut parts = values.flat_map(|v| v.split(',')).map(str::trim);
    let seconds = parts.find_map(|p| p.strip_prefix("timeout=")?.parse::<u64>().ok());
    seconds.map_or(IDLE_TIMEOUT, |s| {
        (clock::Millis(s.saturating_mul(1_000)) - CLOSE_MARGIN).min(IDLE_TIMEOUT)
    })
}

/// The smallest read buffer that the HTTP library accepts, in bytes.
pub const MIN_BUFFER_BYTES: usize = 8 * 1024;

impl Connection {
    /// Returns the target's address.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the daemon that relays the request; absent for a direct connection.
    pub fn relay(&self) -> Option<&str> {
        self.relay.as_deref()
    }

    /// Returns what the connection has carried, for a request with the identifier `id`.
    pub fn usage(&self, id: &str) -> Usage {
        Usage {
            connection: self.number,
            before: self.carried.len(),
            repeated: self.carried.contains(&key_of(id).unwrap_or_default()),
        }
    }

    /// Returns whether a response with the identifier `id` can only be the response to a request that is sent now.
    pub fn admits(&self, id: &str) -> bool {
        self.admits_key(key_of(id))
    }

    fn admits_key(&self, key: Option<u64>) -> bool {
        match key {
            Some(key) => !self.carried.contains(&key),
            None => self.carried.is_empty(),
        }
    }

    /// Records that a piece of the response's body was taken, so that as much may be read until the next one.
    pub fn record_piece(&self) {
        self.limit.begin_piece();
    }

    /// Sends a request and returns the response head; the body is read from the connection. `id` is the identifier by
    /// which the target tells whose response it is.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has carried a request with the same identifier, or breaks before the response
    /// head is complete; [`Error::never_sent`] states whether the target can have received the request.
    pub async fn send(
        &mut self,
        id: &str,
        request: Request<body::Body>,
    ) -> Result<Response<Incoming>, Error> {
        snafu::ensure!(self.admits(id), CarriedSnafu);
        self.carried.insert(key_of(id).unwrap_or_default());
        self.limit.begin_head(self.head_bytes);
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.limit.begin_piece();
                match self.relay {
                    Some(_) => check_relayed(response),
                    None => Ok(response),
                }
            }
            Err(mut e) => match e.take_message() {
                Some(_) => NotSentSnafu.fail(),
                None => Err(e.into_error()).context(BrokenSnafu),
            },
        }
    }
}

/// Returns what a connection remembers of an identifier; absent if the identifier is empty.
fn key_of(id: &str) -> Option<u64> {
    (!id.is_empty()).then(|| hash::hash(&[id]))
}

/// Returns the target's response in the response of a relay.
fn check_relayed(mut response: Response<Incoming>) -> Result<Response<Incoming>, Error> {
    match relay::RelayResult::take(response.headers_mut()) {
        relay::RelayResult::Answered => Ok(response),
        relay::RelayResult::NotSent => NotSentSnafu.fail(),
        relay::RelayResult::Broken => RelayBrokenSnafu.fail(),
    }
}
