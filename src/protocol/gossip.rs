//! Messages of the membership between daemons, one a datagram.
//!
//! Each message carries what its sender says about itself, and passes on records about others as far as there is room.

use std::net;

use serde::{Deserialize, Serialize};

use crate::state::ids;
use crate::state::timeline;

/// The most bytes of one encoded datagram; a datagram of this length fits every path of the fleet.
pub const MAX_BYTES: usize = 1_100;

/// The most bytes of a number of 64 bits.
const LONG_BYTES: usize = 10;
/// The most bytes of a number of 32 bits.
const INT_BYTES: usize = 5;
/// The most bytes of a clock's stamp.
const STAMP_BYTES: usize = LONG_BYTES + INT_BYTES;
/// The most bytes of an address and its port.
const ADDR_BYTES: usize = 20;

/// What is said about a daemon; among words of the same round the later in this order prevails.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Liveness {
    /// It answers.
    #[default]
    Alive,
    /// It did not answer somebody, and has not refuted that yet.
    Suspect,
    /// It said that it leaves.
    Leaving,
    /// It did not refute a suspicion in time.
    Dead,
}

/// What is known about a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Its address for peers.
    pub peer: net::SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Which run of the daemon.
    pub incarnation: ids::Incarnation,
    /// Rises within a run each time that the daemon refutes what is said about it.
    pub round: u32,
    /// What is said.
    pub state: Liveness,
    /// The version of the bundle that it has in force, as far as told.
    pub version: u64,
}

impl MemberInfo {
    /// Orders what is said about one daemon: the greatest prevails.
    pub fn precedence(&self) -> (ids::Incarnation, u32, Liveness) {
        (self.incarnation, self.round, self.state)
    }

    /// Returns the most bytes that this takes in a message.
    pub fn max_bytes(&self) -> usize {
        1 + ADDR_BYTES + INT_BYTES + self.domain.len() + LONG_BYTES + INT_BYTES + 1 + LONG_BYTES
    }
}

/// What is passed on about a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The daemon's name.
    pub name: String,
    /// What is known about it.
    pub about: MemberInfo,
    /// Who suspects it.
    #[serde(rename = "accuser")]
    pub reporter: Option<String>,
}

impl Record {
    /// Returns the most bytes that this takes in a message.
    pub fn max_bytes(&self) -> usize {
        let reporter = self.reporter.as_ref().map_or(0, |a| INT_BYTES + a.len());
        INT_BYTES + self.name.len() + self.about.max_bytes() + 1 + reporter
    }
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Body::Ack`].
    Probe {
        /// The sender's number of the probe.
        seq: u32,
    },
    /// Answers a probe, or tells that another answered it.
    Ack {
        /// The number in the probe.
        seq: u32,
    },
    /// Asks to probe another daemon and to pass its answer on.
    #[serde(rename = "AskProbe")]
    ProbeRequest {
        /// The sender's number of the probe.
        seq: u32,
        /// The daemon to probe.
        name: String,
        /// Its address for peers.
        peer: net::SocketAddr,
    },
    /// Tells what the sender knows in short, to find out where the views differ.
    Digest {
        /// A hash for each group of members.
        groups: Vec<u32>,
        /// Whether the receiver tells its own digest in turn, where they differ.
        reply: bool,
    },
    /// Brings records and asks nothing.
    Records,
}

impl Body {
    /// Returns the most bytes that this takes in a message.
    pub fn max_bytes(&self) -> usize {
        1 + match self {
            Body::Probe { .. } | Body::Ack { .. } => INT_BYTES,
            Body::ProbeRequest { name, .. } => INT_BYTES + INT_BYTES + name.len() + 1 + ADDR_BYTES,
            Body::Digest { groups, .. } => INT_BYTES + INT_BYTES * groups.len() + 1,
            Body::Records => 0,
        }
    }
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// What the sender says about itself.
    pub sender: MemberInfo,
    /// What the message is for.
    pub body: Body,
    /// What the sender passes on about others.
    pub records: Vec<Record>,
}

impl Message {
    /// Creates a message that passes nothing on yet.
    pub fn new(sender: MemberInfo, body: Body) -> Message {
        Message {
            sender,
            body,
            records: Vec::new(),
        }
    }

    /// Returns how many bytes of records still fit.
    pub fn remaining_bytes(&self) -> usize {
        let records: usize = self.records.iter().map(Record::max_bytes).sum();
        let head = STAMP_BYTES + self.sender.max_bytes() + self.body.max_bytes() + INT_BYTES;
        MAX_BYTES.saturating_sub(head + records)
    }
}

/// What one datagram holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender's clock.
    pub stamp: timeline::Stamp,
    /// The message.
    pub message: Message,
}

/// Encodes a datagram.
///
/// # Errors
///
/// Returns an error if the codec can't encode it.
pub fn encode(datagram: &Datagram) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(datagram)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns an error if the bytes are no datagram of this protocol.
pub fn decode(bytes: &[u8]) -> Result<Datagram, postcard::Error> {
    postcard::from_bytes(bytes)
}
