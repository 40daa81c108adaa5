//! The connection pool: one connection per peer, whichever end dialled it.

use std::collections::BTreeMap;
use std::net;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time;

use crate::protocol::version;
use crate::transport::quic::stream::StreamTracker;

/// The streams that a peer may initially hold open; QUIC reserves memory for each one before it is opened.
pub(super) const INITIAL_STREAMS: u32 = 32;
/// The upper bound of the streams that a peer may hold open.
const MAX_STREAMS: u32 = 4_096;

/// A connection to one peer.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) peer: String,
    pub(super) connection: quinn::Connection,
    pub(super) streams: StreamTracker,
    /// The version of the protocol that both ends agreed on.
    pub(super) version: version::Version,
    /// The address that this daemon dialled; absent if the peer dialled.
    dialled: Option<net::SocketAddr>,
    /// The streams that the peer may currently hold open.
    stream_limit: AtomicU32,
}

impl Link {
    pub(super) fn new(
        peer: &str,
        connection: quinn::Connection,
        dialled: Option<net::SocketAddr>,
    ) -> Arc<Link> {
        let version = negotiated_version(&connection);
        Arc::new(Link {
            peer: peer.to_owned(),
            version,
            connection,
            streams: StreamTracker::default(),
            dialled,
            stream_limit: AtomicU32::new(INITIAL_STREAMS),
        })
    }

    /// Doubles the peer's stream limit once half of it is in use, up to [`MAX_STREAMS`].
    pub(super) fn raise_stream_limit(&self) {
        let stream_limit = self.stream_limit.load(Ordering::Relaxed);
        if stream_limit < MAX_STREAMS && self.streams.open_halves() >= stream_limit as usize {
            self.stream_limit.store(stream_limit * 2, Ordering::Relaxed);
            self.connection
                .set_max_concurrent_bi_streams((stream_limit * 2).into());
        }
    }

    fn is_live(&self) -> bool {
        self.connection.close_reason().is_none()
    }

    fn matches(&self, addr: net::SocketAddr) -> bool {
        self.dialled.is_none_or(|dialled| dialled == addr)
    }
}

/// Returns the version that the handshake of a connection has selected.
fn negotiated_version(connection: &quinn::Connection) -> version::Version {
    let data = connection.handshake_data();
    let data = data.and_then(|d| d.downcast::<quinn::crypto::rustls::HandshakeData>().ok());
    let protocol = data.and_then(|d| d.protocol).unwrap_or_default();
    version::Version::from_alpn(&protocol)
}

/// The pooled connection and the last dial of one peer.
#[derive(Debug, Default)]
pub(super) struct PeerState {
    link: Mutex<Option<Arc<Link>>>,
    /// When the last dial failed; the lock also lets only one task dial at a time.
    pub(super) failed_dial: tokio::sync::Mutex<Option<time::Instant>>,
}

impl PeerState {
    /// Returns the pooled connection if it is open and the peer was dialled at `addr` or dialled itself.
    pub(super) fn live_link(&self, addr: net::SocketAddr) -> Option<Arc<Link>> {
        let link = self.link.lock().expect("no holder panics");
        link.clone().filter(|l| l.is_live() && l.matches(addr))
    }

    /// Puts a connection into the pool; the one it replaces stays open until its streams have ended.
    pub(super) fn set_link(&self, link: Arc<Link>) {
        *self.link.lock().expect("no holder panics") = Some(link);
    }

    /// Puts a connection that the peer dialled into the pool, unless an open one is there.
    pub(super) fn set_link_if_none(&self, link: &Arc<Link>) {
        let mut pooled = self.link.lock().expect("no holder panics");
        if !pooled.as_ref().is_some_and(|l| l.is_live()) {
            *pooled = Some(link.clone());
        }
    }

    /// Removes `link` from the pool if it is the pooled connection.
    fn clear_link(&self, link: &Arc<Link>) {
        let mut pooled = self.link.lock().expect("no holder panics");
        if pooled.as_ref().is_some_and(|l| Arc::ptr_eq(l, link)) {
            *pooled = None;
        }
    }
}

/// The state of each peer by its name.
#[derive(Debug, Default)]
pub(super) struct Pool {
    peers: Mutex<BTreeMap<String, Arc<PeerState>>>,
}

impl Pool {
    /// Returns the state of the peer called `peer`, which is created if there is none.
    pub(super) fn peer_state(&self, peer: &str) -> Arc<PeerState> {
        let mut peers = self.peers.lock().expect("no holder panics");
        peers.entry(peer.to_owned()).or_default().clone()
    }

    /// Returns the pooled connections.
    pub(super) fn links(&self) -> Vec<Arc<Link>> {
        let peers = self.peers.lock().expect("no holder panics");
        let pooled = |state: &Arc<PeerState>| state.link.lock().expect("no holder panics").clone();
        peers.values().filter_map(pooled).collect()
    }

    /// Removes a connection from the pool, and the state of its peer unless a task uses it for a dial.
    pub(super) fn remove(&self, link: &Arc<Link>) {
        let mut peers = self.peers.lock().expect("no holder panics");
        let Some(state) = peers.get(&link.peer) else {
            return;
        };
        state.clear_link(link);
        let empty = state.link.lock().expect("no holder panics").is_none();
        if empty && Arc::strong_count(state) == 1 {
            peers.remove(&link.peer);
        }
    }
}
