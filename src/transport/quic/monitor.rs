//! Detects idle connections and unresponsive peers by periodic checks of each connection's packet counters.
//!
//! An idle connection costs no packets: the peer is probed only while a stream is open or an acknowledgement is due.

use crate::state::clock;
use crate::transport::quic::Timeouts;
use crate::transport::quic::pool::Link;

/// The state of a connection at one check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// The connection is in use, or was within the idle timeout.
    Active,
    /// A packet from the peer is expected, and none arrived for [`Timeouts::probe`].
    ProbeDue,
    /// A packet from the peer is expected, and none arrived for [`Timeouts::receive`]: the connection is broken.
    Unresponsive,
    /// The connection was not used for [`Timeouts::idle`].
    Idle,
}

/// The counters of one connection. Time is measured in checks, so that a pause of this process does not count as
/// silence of the peer.
#[derive(Debug)]
pub(super) struct Monitor {
    /// The time between two checks.
    pub(super) interval: clock::Millis,
    probe_checks: u64,
    receive_checks: u64,
    idle_checks: u64,
    received: u64,
    sent: u64,
    used: u64,
    /// The checks since a packet from the peer arrived.
    since_received: u64,
    /// The checks since the connection was last used.
    since_used: u64,
    /// Whether something that the peer must acknowledge was sent since its last packet.
    awaiting_ack: bool,
}

impl Monitor {
    /// Creates a monitor with the check interval that `timeouts` require.
    pub(super) fn new(timeouts: &Timeouts) -> Monitor {
        let interval = clock::Millis((timeouts.probe.0 / 2).min(timeouts.idle.0 / 4).max(1));
        Monitor {
            interval,
            probe_checks: timeouts.probe.0 / interval.0,
            receive_checks: timeouts.receive.0 / interval.0,
            idle_checks: timeouts.idle.0 / interval.0,
            received: 0,
            sent: 0,
            used: 0,
            since_received: 0,
            since_used: 0,
            awaiting_ack: false,
        }
    }

    /// Reads the connection's counters and returns its state.
    pub(super) fn check(&mut self, link: &Link) -> Activity {
        let stats = link.connection.stats();
        let sent = stats.frame_tx.stream + stats.frame_tx.datagram;
        let used = sent + stats.frame_rx.stream + stats.frame_rx.datagram;
        let open = !link.streams.is_empty();
        self.update_received(stats.udp_rx.datagrams, sent);
        self.update_used(used, open);
        if self.since_received >= self.receive_checks && (open || self.awaiting_ack) {
            Activity::Unresponsive
        } else if self.since_received >= self.probe_checks && (open || self.awaiting_ack) {
            Activity::ProbeDue
        } else if self.since_used >= self.idle_checks {
            Activity::Idle
        } else {
            Activity::Active
        }
    }

    fn update_received(&mut self, received: u64, sent: u64) {
        if received != self.received {
            self.received = received;
            self.since_received = 0;
            self.awaiting_ack = false;
        } else {
            self.since_received += 1;
            self.awaiting_ack |= sent != self.sent;
        }
        self.sent = sent;
    }

    fn update_used(&mut self, used: u64, open: bool) {
        if used != self.used || open {
            self.used = used;
            self.since_used = 0;
        } else {
            self.since_used += 1;
        }
    }
}
