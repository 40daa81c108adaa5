//! QUIC between daemons: one pooled connection per peer, which carries streams and datagrams.
//!
//! Both ends present a certificate issued by the fleet's authority. The dialling end verifies that the certificate
//! holds the expected daemon name, so a wrong daemon behind an address is refused; the accepting end takes the name of
//! its peer from the certificate.

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
mod monitor;
mod pool;
mod serve;
mod stream;

use error::{
    BindSnafu, BrokenSnafu, DatagramSnafu, DialSnafu, HandshakeSnafu, StreamSnafu,
    UnresponsiveSnafu,
};
pub use identity::Identity;
use pool::{Link, Pool};

pub use error::Error;
pub use stream::{RecvStream, SendStream};

/// How long after a failed dial further dials of the same peer fail without a try.
const DIAL_BACKOFF: clock::Millis = clock::Millis(250);
/// How long [`Peers::close`] waits for its peers to acknowledge the close.
const CLOSE_TIMEOUT: clock::Millis = clock::Millis(200);
/// The most unidirectional streams that a peer may hold open; they only signal that a connection is retired.
const MAX_UNI_STREAMS: u32 = 2;
/// The receive window of one stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// The receive and send windows of one connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 8 * 1024 * 1024;
/// The same windows if memory is limited. Requests that relays carry then fill at most this much of each stream.
const LIMITED_STREAM_WINDOW_BYTES: u32 = 64 * 1024;
const LIMITED_CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;
/// The buffer of one connection for datagrams that wait to be read or sent, in bytes.
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1024;
/// The size of the socket's buffers, in bytes; smaller ones drop bursts of several peers, which are retransmitted late.
const SOCKET_BUFFER_BYTES: usize = 4 * 1024 * 1024;
/// The most incoming streams and datagrams that wait for the daemon to handle them.
const INCOMING_QUEUE: usize = 1_024;

/// The timeouts of connections between daemons.
#[derive(Clone, Debug)]
pub struct Timeouts {
    /// How long a dial may take, handshake included.
    pub dial: clock::Millis,
    /// How long a connection stays open without a packet from the peer while one is expected.
    pub receive: clock::Millis,
    /// How long after the last packet from the peer a probe is sent, while a packet is expected.
    pub probe: clock::Millis,
    /// How long an unused connection stays open.
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

/// A stream or a datagram that a peer sent to this daemon.
#[derive(Debug)]
pub enum Incoming {
    /// A stream that a peer opened.
    Stream {
        /// The peer's name, from its certificate.
        from: String,
        /// The purpose that the peer declared at the start of the stream.
        purpose: peer::Purpose,
        /// The half that sends to the peer.
        send: SendStream,
        /// The half that receives from the peer.
        recv: RecvStream,
    },
    /// A datagram that a peer sent.
    Datagram {
        /// The peer's name, from its certificate.
        from: String,
        /// The payload.
        bytes: Bytes,
    },
}

/// The traffic of the pooled connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The UDP packets sent.
    pub packets: u64,
    /// The bytes sent, without the headers of UDP and IP.
    pub sent: u64,
    /// The bytes received, without the headers of UDP and IP.
    pub received: u64,
}

/// The QUIC endpoint of this daemon and its connections to peers.
#[derive(Clone, Debug)]
pub struct Peers {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    endpoint: quinn::Endpoint,
    local: net::SocketAddr,
    pool: Pool,
    timeouts: Timeouts,
    incoming: mpsc::Sender<Incoming>,
}

/// Requests larger socket buffers; the system may grant less.
fn enlarge_buffers(socket: &net::UdpSocket) {
    let socket = socket2::SockRef::from(socket);
    let enlarged = socket
        .set_recv_buffer_size(SOCKET_BUFFER_BYTES)
        .and_then(|()| socket.set_send_buffer_size(SOCKET_BUFFER_BYTES));
    if let Err(e) = enlarged {
        log::warn!("failed to enlarge the socket buffers of the address for peers: {e}");
    }
}

impl Peers {
    /// Binds the address for peers of `settings` with the keys that they name, and returns the receiver of what peers
    /// send.
    ///
    /// # Errors
    ///
    /// Returns an error if the keys cannot be read or used, or the address cannot be bound.
    ///
    /// # Panics
    ///
    /// Panics outside a Tokio runtime.
    pub fn bind(settings: &settings::Settings) -> Result<(Peers, mpsc::Receiver<Incoming>), Error> {
        Peers::bind_with(settings, &Timeouts::default())
    }

    /// Binds as [`Peers::bind`] does, with other timeouts.
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
        timeouts: &Timeouts,
    ) -> Result<(Peers, mpsc::Receiver<Incoming>), Error> {
        let identity = Identity::read(settings)?;
        Peers::bind_as(&identity, settings, timeouts)
    }

    /// Binds the address for peers of `settings` with the certificate and key of `identity`.
    ///
    /// # Errors
    ///
    /// Returns an error if the identity cannot be used, or the address cannot be bound.
    ///
    /// # Panics
    ///
    /// Panics outside a Tokio runtime.
    pub fn bind_as(
        identity: &Identity,
        settings: &settings::Settings,
        timeouts: &Timeouts,
    ) -> Result<(Peers, mpsc::Receiver<Incoming>), Error> {
        let addr = settings.peer;
        let socket = net::UdpSocket::bind(addr).context(BindSnafu { addr })?;
        let local = socket.local_addr().context(BindSnafu { addr })?;
        enlarge_buffers(&socket);
        let transport = Arc::new(transport_config(timeouts, &settings.limits));
        let mut endpoint = quinn::Endpoint::new(
            identity.endpoint_config(),
            Some(identity.server_config(&transport)?),
            socket,
            Arc::new(quinn::TokioRuntime),
        )
        .context(BindSnafu { addr })?;
        endpoint.set_default_client_config(identity.client_config(&transport)?);
        let (sender, receiver) = mpsc::channel(INCOMING_QUEUE);
        let inner = Arc::new(Inner {
            endpoint,
            local,
            pool: Pool::default(),
            timeouts: timeouts.clone(),
            incoming: sender,
        });
        tokio::spawn(serve::accept_connections(inner.clone()));
        Ok((Peers { inner }, receiver))
    }

    /// Opens a stream to the daemon called `name` at `addr`, and sends the purpose of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer cannot be reached within the dial timeout, or the connection is lost.
    pub async fn open(
        &self,
        name: &str,
        addr: net::SocketAddr,
        purpose: peer::Purpose,
    ) -> Result<(SendStream, RecvStream), Error> {
        let link = self.link(name, addr).await?;
        let opened = link.connection.open_bi().await;
        let opened = opened.context(BrokenSnafu { name })?;
        let (mut send, recv) = link.streams.track(opened, link.version);
        frame::send(&mut send, &purpose)
            .await
            .context(StreamSnafu { name })?;
        Ok((send, recv))
    }

    /// Sends a datagram to the daemon called `name` at `addr`, without any guarantee that it arrives.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer cannot be reached within the dial timeout, or the datagram is too long.
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

    /// Returns the local address that peers connect to.
    pub fn local(&self) -> net::SocketAddr {
        self.inner.local
    }

    /// Returns the number of open connections, pooled or not.
    pub fn connections(&self) -> usize {
        self.inner.endpoint.open_connections()
    }

    /// Returns the traffic of the pooled connections since each was established.
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

    /// Returns a live connection to the daemon called `name` at `addr`, and dials it if the pool holds none.
    async fn link(&self, name: &str, addr: net::SocketAddr) -> Result<Arc<Link>, Error> {
        let state = self.inner.pool.peer_state(name);
        if let Some(link) = state.live_link(addr) {
            return Ok(link);
        }
        let mut failed_dial = state.failed_dial.lock().await;
        if let Some(link) = state.live_link(addr) {
            return Ok(link);
        }
        let backing_off = failed_dial.is_some_and(|at| at.elapsed() < DIAL_BACKOFF.span());
        ensure!(!backing_off, UnresponsiveSnafu { name, addr });
        let dialled = self.dial(name, addr).await;
        *failed_dial = dialled.is_err().then(time::Instant::now);
        let link = Link::new(name, dialled?, Some(addr));
        state.set_link(link.clone());
        tokio::spawn(serve::serve(self.inner.clone(), link.clone()));
        Ok(link)
    }

    async fn dial(&self, name: &str, addr: net::SocketAddr) -> Result<quinn::Connection, Error> {
        let connecting = self
            .inner
            .endpoint
            .connect(addr, name)
            .context(DialSnafu { name, addr })?;
        match tokio::time::timeout(self.inner.timeouts.dial.span(), connecting).await {
            Ok(connected) => connected.context(HandshakeSnafu { name, addr }),
            Err(_) => UnresponsiveSnafu { name, addr }.fail(),
        }
    }
}

fn transport_config(timeouts: &Timeouts, limits: &settings::Limits) -> quinn::TransportConfig {
    let (stream_window, connection_window) = match limits.memory_bytes {
        Some(_) => (LIMITED_STREAM_WINDOW_BYTES, LIMITED_CONNECTION_WINDOW_BYTES),
        None => (STREAM_WINDOW_BYTES, CONNECTION_WINDOW_BYTES),
    };
    let mut config = quinn::TransportConfig::default();
    config
        // Messages are short: the probes of MTU discovery would cost each connection more than all of its messages.
        .mtu_discovery_config(None)
        .max_idle_timeout(
            (timeouts.idle.max(timeouts.receive).span() * 2)
                .try_into()
                .ok(),
        )
        .max_concurrent_bidi_streams(pool::INITIAL_STREAMS.into())
        .max_concurrent_uni_streams(MAX_UNI_STREAMS.into())
        .stream_receive_window(stream_window.into())
        .receive_window(connection_window.into())
        .send_window(connection_window.into())
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES))
        .datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES);
    config
}
