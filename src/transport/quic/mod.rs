//! QUIC between daemons: one pooled connection a peer, streams and datagrams over it.
//!
//! Both ends show a certificate of the fleet's authority. The dialling end asks for the daemon by its name, so a wrong
//! daemon behind an address is refused; the accepting end learns the caller's name from its certificate.

use std::net;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use snafu::{ResultExt, ensure};
use tokio::sync::mpsc;

use crate::protocol::frame;
use crate::protocol::peer;
use crate::state::clock;
use crate::state::settings;

mod error;
mod identity;
mod pool;
mod serve;
mod stream;
mod watch;

use error::{
    BindSnafu, BrokenSnafu, DatagramSnafu, DialSnafu, HandshakeSnafu, SilentSnafu, StreamSnafu,
};
pub use identity::Identity;
use pool::{Link, Pool};

pub use error::Error;
pub use stream::{RecvStream, SendStream};

/// How long after a failed dial further ones to the same peer fail without a try.
const DIAL_PAUSE: clock::Millis = clock::Millis(250);
/// How long [`Peers::close`] waits for peers to learn of it.
const CLOSE_TIMEOUT: clock::Millis = clock::Millis(500);
/// The streams in one direction that a peer may hold open at a time; they only end connections.
const SIGNALS: u32 = 2;
/// The bytes of one stream that wait to be read.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// The bytes of one connection that wait to be read or acknowledged.
const CONNECTION_WINDOW_BYTES: u32 = 8 * 1024 * 1024;
/// The bytes of datagrams that wait to be read or sent.
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1024;
/// The bytes of the socket's buffers; where they are smaller, bursts of several peers are lost and sent again late.
const SOCKET_BUFFER_BYTES: usize = 4 * 1024 * 1024;
/// The incoming streams and datagrams that wait to be taken up.
const INCOMING: usize = 1_024;

/// When connections are given up.
#[derive(Clone, Debug)]
pub struct Timeouts {
    /// How long a dial may take, handshake included.
    pub dial: clock::Millis,
    /// How long a connection stands on which the peer owes a sign of life.
    pub receive: clock::Millis,
    /// How long after the last packet from the peer it is asked for another, while something is expected of it.
    pub probe: clock::Millis,
    /// How long a connection stands that nobody uses.
    pub idle: clock::Millis,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            dial: clock::Millis(800),
            receive: clock::Millis(5_000),
            probe: clock::Millis(2_000),
            idle: clock::Millis(20_000),
        }
    }
}

/// What peers send to this daemon.
#[derive(Debug)]
pub enum Incoming {
    /// A stream that a peer opened.
    Stream {
        /// The peer's name, as its certificate gives it.
        from: String,
        /// What the stream is for.
        purpose: peer::Purpose,
        /// The way to the peer.
        send: SendStream,
        /// The way from the peer.
        recv: RecvStream,
    },
    /// A datagram.
    Datagram {
        /// The peer's name, as its certificate gives it.
        from: String,
        /// The payload.
        bytes: Bytes,
    },
}

/// What connections have carried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The UDP packets sent.
    pub packets: u64,
    /// The bytes sent, without the headers of UDP and IP.
    pub sent: u64,
    /// The bytes received, without the headers of UDP and IP.
    pub received: u64,
}

/// The connections of this daemon to its peers.
#[derive(Clone, Debug)]
pub struct Peers {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    endpoint: quinn::Endpoint,
    local: net::SocketAddr,
    pool: Pool,
    timing: Timeouts,
    incoming: mpsc::Sender<Incoming>,
}

/// Asks the system for larger socket buffers; it grants what it allows.
fn widen(socket: &net::UdpSocket) {
    let socket = socket2::SockRef::from(socket);
    let widened = socket
        .set_recv_buffer_size(SOCKET_BUFFER_BYTES)
        .and_then(|()| socket.set_send_buffer_size(SOCKET_BUFFER_BYTES));
    if let Err(e) = widened {
        log::warn!("the buffers of the address for peers stay small: {e}");
    }
}

impl Peers {
    /// Binds the address for peers of `settings`, with the keys that they name; what peers send comes on the receiver.
    ///
    /// # Errors
    ///
    /// Returns an error if the keys can't be read or used, or the address is not to be had.
    ///
    /// # Panics
    ///
    /// Panics outside a Tokio runtime.
    pub fn bind(settings: &settings::Settings) -> Result<(Peers, mpsc::Receiver<Incoming>), Error> {
        Peers::bind_with(settings, &Timeouts::default())
    }

    /// Binds as [`Peers::bind`] does, with other times.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Peers::bind`] does.
    ///
    /// # Panics
    ///
    /// Panics outside a Tokio runtime.
    pub fn bind_with(
        settings: &settings::Settings,
        timing: &Timeouts,
    ) -> Result<(Peers, mpsc::Receiver<Incoming>), Error> {
        let identity = Identity::read(settings)?;
        Peers::bind_as(&identity, settings, timing)
    }

    /// Binds the address for peers of `settings` under `identity`, with times of the caller's own.
    ///
    /// # Errors
    ///
    /// Returns an error if the identity can't be used, or the address is not to be had.
    ///
    /// # Panics
    ///
    /// Panics outside a Tokio runtime.
    pub fn bind_as(
        identity: &Identity,
        settings: &settings::Settings,
        timing: &Timeouts,
    ) -> Result<(Peers, mpsc::Receiver<Incoming>), Error> {
        let addr = settings.peer;
        let socket = net::UdpSocket::bind(addr).context(BindSnafu { addr })?;
        let local = socket.local_addr().context(BindSnafu { addr })?;
        widen(&socket);
        let transport = Arc::new(transport(timing));
        let mut endpoint = quinn::Endpoint::new(
            identity.endpoint(),
            Some(identity.server(&transport)?),
            socket,
            Arc::new(quinn::TokioRuntime),
        )
        .context(BindSnafu { addr })?;
        endpoint.set_default_client_config(identity.client(&transport)?);
        let (sender, receiver) = mpsc::channel(INCOMING);
        let inner = Arc::new(Inner {
            endpoint,
            local,
            pool: Pool::default(),
            timing: timing.clone(),
            incoming: sender,
        });
        tokio::spawn(serve::accept_connections(inner.clone()));
        Ok((Peers { inner }, receiver))
    }

    /// Opens a stream to the daemon called `name` at `addr`, and tells it what the stream is for.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer can't be reached within the dial's timeout, or the connection breaks.
    pub async fn open(
        &self,
        name: &str,
        addr: net::SocketAddr,
        purpose: peer::Purpose,
    ) -> Result<(SendStream, RecvStream), Error> {
        let link = self.link(name, addr).await?;
        let opened = link.connection.open_bi().await;
        let (mut send, recv) = link.streams.count(opened.context(BrokenSnafu { name })?);
        frame::send(&mut send, &purpose)
            .await
            .context(StreamSnafu { name })?;
        Ok((send, recv))
    }

    /// Sends a datagram to the daemon called `name` at `addr`; it may be lost on its way.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer can't be reached within the dial's timeout, or the datagram is too long.
    pub async fn datagram(
        &self,
        name: &str,
        addr: net::SocketAddr,
        bytes: Bytes,
    ) -> Result<(), Error> {
        let link = self.link(name, addr).await?;
        let sent = link.connection.send_datagram(bytes);
        sent.context(DatagramSnafu { name })
    }

    /// Returns the address that the daemon has for peers.
    pub fn local(&self) -> net::SocketAddr {
        self.inner.local
    }

    /// Returns the number of connections that live, in the pool or not.
    pub fn connections(&self) -> usize {
        self.inner.endpoint.open_connections()
    }

    /// Returns what the pooled connections have sent and received so far.
    pub fn traffic(&self) -> Traffic {
        let mut traffic = Traffic::default();
        for link in self.inner.pool.links() {
            let stats = link.connection.stats();
            traffic.packets += stats.udp_tx.datagrams;
            traffic.sent += stats.udp_tx.bytes;
            traffic.received += stats.udp_rx.bytes;
        }
        traffic
    }

    /// Closes all connections, and with them all streams.
    pub async fn close(&self) {
        self.inner
            .endpoint
            .close(quinn::VarInt::from_u32(0), b"leaving");
        let idle = self.inner.endpoint.wait_idle();
        let _ = tokio::time::timeout(CLOSE_TIMEOUT.span(), idle).await;
    }

    async fn link(&self, name: &str, addr: net::SocketAddr) -> Result<Arc<Link>, Error> {
        let slot = self.inner.pool.slot(name);
        if let Some(link) = slot.live(addr) {
            return Ok(link);
        }
        let mut failed = slot.failed.lock().await;
        if let Some(link) = slot.live(addr) {
            return Ok(link);
        }
        let recent = failed.is_some_and(|at| at.elapsed() < DIAL_PAUSE.span());
        ensure!(!recent, SilentSnafu { name, addr });
        let dialled = self.dial(name, addr).await;
        *failed = dialled.is_err().then(time::Instant::now);
        let link = Link::new(name, dialled?, Some(addr));
        slot.put(link.clone());
        tokio::spawn(serve::serve(self.inner.clone(), link.clone()));
        Ok(link)
    }

    async fn dial(&self, name: &str, addr: net::SocketAddr) -> Result<quinn::Connection, Error> {
        let connecting = self
            .inner
            .endpoint
            .connect(addr, name)
            .context(DialSnafu { name, addr })?;
        match tokio::time::timeout(self.inner.timing.dial.span(), connecting).await {
            Ok(connected) => connected.context(HandshakeSnafu { name, addr }),
            Err(_) => SilentSnafu { name, addr }.fail(),
        }
    }
}

fn transport(timing: &Timeouts) -> quinn::TransportConfig {
    let mut config = quinn::TransportConfig::default();
    config
        // Messages are short: looking for longer packets costs each connection more than all of them.
        .mtu_discovery_config(None)
        .max_idle_timeout((timing.idle.max(timing.receive).span() * 2).try_into().ok())
        .max_concurrent_bidi_streams(pool::FIRST_STREAMS.into())
        .max_concurrent_uni_streams(SIGNALS.into())
        .stream_receive_window(STREAM_WINDOW_BYTES.into())
        .receive_window(CONNECTION_WINDOW_BYTES.into())
        .send_window(CONNECTION_WINDOW_BYTES.into())
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES))
        .datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES);
    config
}
