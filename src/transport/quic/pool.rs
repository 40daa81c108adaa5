//! The pool: one connection a peer, whichever end dialled.

use std::collections::BTreeMap;
use std::net;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time;

use crate::transport::quic::stream::Streams;

/// The streams that a peer may hold open at first; each one takes memory before it is opened.
pub(super) const FIRST_STREAMS: u32 = 32;
/// The streams that a peer may hold open at most.
const MOST_STREAMS: u32 = 4_096;

/// One connection to a peer.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) peer: String,
    pub(super) connection: quinn::Connection,
    pub(super) streams: Streams,
    /// The address that was dialled; none where the peer dialled.
    dialled: Option<net::SocketAddr>,
    /// The streams that the peer may hold open.
    allowed: AtomicU32,
}

impl Link {
    pub(super) fn new(
        peer: &str,
        connection: quinn::Connection,
        dialled: Option<net::SocketAddr>,
    ) -> Arc<Link> {
        Arc::new(Link {
            peer: peer.to_owned(),
            connection,
            streams: Streams::default(),
            dialled,
            allowed: AtomicU32::new(FIRST_STREAMS),
        })
    }

    /// Allows the peer more streams once half of those that it may open are in use.
    pub(super) fn allow_more(&self) {
        let allowed = self.allowed.load(Ordering::Relaxed);
        if allowed < MOST_STREAMS && self.streams.halves() >= allowed as usize {
            self.allowed.store(allowed * 2, Ordering::Relaxed);
            self.connection
                .set_max_concurrent_bi_streams((allowed * 2).into());
        }
    }

    fn is_live(&self) -> bool {
        self.connection.close_reason().is_none()
    }

    fn leads_to(&self, addr: net::SocketAddr) -> bool {
        self.dialled.is_none_or(|dialled| dialled == addr)
    }
}

/// The place of one peer in the pool.
#[derive(Debug, Default)]
pub(super) struct Slot {
    link: Mutex<Option<Arc<Link>>>,
    /// When the last dial failed; the lock lets one task dial at a time.
    pub(super) failed: tokio::sync::Mutex<Option<time::Instant>>,
}

impl Slot {
    /// Returns the connection if it lives and leads to `addr`.
    pub(super) fn live(&self, addr: net::SocketAddr) -> Option<Arc<Link>> {
        let link = self.link.lock().expect("no holder panics");
        link.clone().filter(|l| l.is_live() && l.leads_to(addr))
    }

    /// Puts a connection into the pool; an older one lives on until its streams have ended.
    pub(super) fn put(&self, link: Arc<Link>) {
        *self.link.lock().expect("no holder panics") = Some(link);
    }

    /// Puts a connection that the peer dialled into the pool, unless a live one is there.
    pub(super) fn offer(&self, link: &Arc<Link>) {
        let mut held = self.link.lock().expect("no holder panics");
        if !held.as_ref().is_some_and(|l| l.is_live()) {
            *held = Some(link.clone());
        }
    }

    /// Takes a connection out of the pool, if it is there.
    fn take(&self, link: &Arc<Link>) {
        let mut held = self.link.lock().expect("no holder panics");
        if held.as_ref().is_some_and(|l| Arc::ptr_eq(l, link)) {
            *held = None;
        }
    }
}

/// The slots of all peers.
#[derive(Debug, Default)]
pub(super) struct Pool {
    slots: Mutex<BTreeMap<String, Arc<Slot>>>,
}

impl Pool {
    pub(super) fn slot(&self, peer: &str) -> Arc<Slot> {
        let mut slots = self.slots.lock().expect("no holder panics");
        slots.entry(peer.to_owned()).or_default().clone()
    }

    /// Returns the connections in the pool.
    pub(super) fn links(&self) -> Vec<Arc<Link>> {
        let slots = self.slots.lock().expect("no holder panics");
        let held = |slot: &Arc<Slot>| slot.link.lock().expect("no holder panics").clone();
        slots.values().filter_map(held).collect()
    }

    /// Takes a connection out of the pool, and forgets its peer if nobody dials it.
    pub(super) fn remove(&self, link: &Arc<Link>) {
        let mut slots = self.slots.lock().expect("no holder panics");
        let Some(slot) = slots.get(&link.peer) else {
            return;
        };
        slot.take(link);
        let empty = slot.link.lock().expect("no holder panics").is_none();
        if empty && Arc::strong_count(slot) == 1 {
            slots.remove(&link.peer);
        }
    }
}
