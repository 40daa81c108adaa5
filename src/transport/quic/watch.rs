//! Watches whether a connection is used, and whether the peer still answers on it.
//!
//! An idle connection costs no packets: the peer is asked for a sign of life only while something is expected of it.

use crate::state::clock;
use crate::transport::quic::Timeouts;
use crate::transport::quic::pool::Link;

/// What a look at a connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Look {
    /// It is used, or was until a moment ago.
    Used,
    /// Something is expected of the peer, and nothing came for a while.
    Quiet,
    /// Nothing came for so long that the connection is broken.
    Silent,
    /// Nobody has used it for long.
    Idle,
}

/// What was seen of one connection. Time is counted in looks, so that a pause of this process is not held against
/// the peer.
#[derive(Debug)]
pub(super) struct Watch {
    /// The time from one look to the next.
    pub(super) look: clock::Millis,
    quiet_looks: u64,
    silent_looks: u64,
    idle_looks: u64,
    received: u64,
    sent: u64,
    used: u64,
    /// The looks since something came from the peer.
    quiet: u64,
    /// The looks since the connection was last used.
    idle: u64,
    /// Whether something was sent that the peer must acknowledge, since something came from it.
    awaiting: bool,
}

impl Watch {
    pub(super) fn new(timing: &Timeouts) -> Watch {
        let look = clock::Millis((timing.probe.0 / 2).min(timing.idle.0 / 4).max(1));
        Watch {
            look,
            quiet_looks: timing.probe.0 / look.0,
            silent_looks: timing.receive.0 / look.0,
            idle_looks: timing.idle.0 / look.0,
            received: 0,
            sent: 0,
            used: 0,
            quiet: 0,
            idle: 0,
            awaiting: false,
        }
    }

    pub(super) fn look(&mut self, link: &Link) -> Look {
        let stats = link.connection.stats();
        let sent = stats.frame_tx.stream + stats.frame_tx.datagram;
        let used = sent + stats.frame_rx.stream + stats.frame_rx.datagram;
        let open = !link.streams.is_empty();
        self.note_received(stats.udp_rx.datagrams, sent);
        self.note_used(used, open);
        if self.quiet >= self.silent_looks && (open || self.awaiting) {
            Look::Silent
        } else if self.quiet >= self.quiet_looks && (open || self.awaiting) {
            Look::Quiet
        } else if self.idle >= self.idle_looks {
            Look::Idle
        } else {
            Look::Used
        }
    }

    fn note_received(&mut self, received: u64, sent: u64) {
        if received != self.received {
            self.received = received;
            self.quiet = 0;
            self.awaiting = false;
        } else {
            self.quiet += 1;
            self.awaiting |= sent != self.sent;
        }
        self.sent = sent;
    }

    fn note_used(&mut self, used: u64, open: bool) {
        if used != self.used || open {
            self.used = used;
            self.idle = 0;
        } else {
            self.idle += 1;
        }
    }
}
