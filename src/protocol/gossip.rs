//! Messages of the gossip protocol for membership, one in each datagram.
//!
//! The protocol is a variant of SWIM. Each message carries information about the sender itself, and fills the rest of
//! the datagram with records about other members.

use std::net;

use serde::{Deserialize, Serialize};

use crate::protocol::{extension, version};
use crate::state::ids;
use crate::state::timeline;

/// The maximum length of an encoded datagram, in bytes; it fits the MTU of every path in the fleet.
pub const MAX_BYTES: usize = 1_100;

/// The maximum length of an encoded 64-bit integer, in bytes.
const LONG_BYTES: usize = 10;
/// The maximum length of an encoded 32-bit integer, in bytes.
const INT_BYTES: usize = 5;
/// The maximum length of an encoded clock stamp, in bytes.
const STAMP_BYTES: usize = LONG_BYTES + INT_BYTES;
/// The maximum length of an encoded address and port, in bytes.
const ADDR_BYTES: usize = 20;

/// The maximum length of the extension of a datagram, in bytes: the tag, the length and the version.
const EXTENSION_BYTES: usize = 2 + INT_BYTES;

/// The state of a member.
///
/// Of two records with the same incarnation and round, the later variant takes precedence.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum MemberState {
    /// The member answers probes.
    #[default]
    Alive,
    /// The member failed to answer a probe and has not refuted the suspicion yet.
    Suspect,
    /// The member announced that it is leaving.
    Leaving,
    /// The member did not refute a suspicion in time.
    Dead,
}

/// Information about a member, as known to the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// The address at which other daemons reach the member.
    pub peer: net::SocketAddr,
    /// The failure domain of the member.
    pub domain: String,
    /// The incarnation: a number that is higher after each restart of the daemon.
    pub incarnation: ids::Incarnation,
    /// A counter that the member increments within one incarnation each time it refutes a record about itself.
    pub round: u32,
    /// The state of the member.
    pub state: MemberState,
    /// The version of the bundle in force at the member, as last reported.
    pub version: u64,
}

impl MemberInfo {
    /// Returns the precedence among records about the same member; the greatest takes effect.
    pub fn precedence(&self) -> (ids::Incarnation, u32, MemberState) {
        (self.incarnation, self.round, self.state)
    }

    /// Returns the maximum encoded length in bytes.
    pub fn max_bytes(&self) -> usize {
        1 + ADDR_BYTES + INT_BYTES + self.domain.len() + LONG_BYTES + INT_BYTES + 1 + LONG_BYTES
    }
}

/// A record about a member, as gossiped to other members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The name of the member.
    pub name: String,
    /// The member's address, state and version, as known to the sender.
    pub about: MemberInfo,
    /// The member that reported the suspicion; absent if the member is not suspected.
    #[serde(rename = "accuser")]
    pub reporter: Option<String>,
}

impl Record {
    /// Returns the maximum encoded length in bytes.
    pub fn max_bytes(&self) -> usize {
        let reporter = self.reporter.as_ref().map_or(0, |a| INT_BYTES + a.len());
        INT_BYTES + self.name.len() + self.about.max_bytes() + 1 + reporter
    }
}

/// The kind of a message, with its parameters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a [`Body::Ack`].
    Probe {
        /// The sequence number of the probe, assigned by the sender.
        seq: u32,
    },
    /// Acknowledges a probe, directly or on behalf of the member that was probed.
    Ack {
        /// The sequence number of the probe.
        seq: u32,
    },
    /// Requests that the receiver probe another member and forward its acknowledgement (an indirect probe).
    #[serde(rename = "AskProbe")]
    ProbeRequest {
        /// The sequence number of the probe, assigned by the sender.
        seq: u32,
        /// The name of the member to probe.
        name: String,
        /// The address at which other daemons reach the member.
        peer: net::SocketAddr,
    },
    /// Carries hashes of the sender's member table, to detect differences between two tables (anti-entropy).
    Digest {
        /// One hash for each group of members.
        groups: Vec<u32>,
        /// Whether the receiver replies with its own digest if the hashes differ.
        reply: bool,
    },
    /// Carries only records.
    Records,
}

impl Body {
    /// Returns the maximum encoded length in bytes.
    pub fn max_bytes(&self) -> usize {
        1 + match self {
            Body::Probe { .. } | Body::Ack { .. } => INT_BYTES,
            Body::ProbeRequest { name, .. } => INT_BYTES + INT_BYTES + name.len() + 1 + ADDR_BYTES,
            Body::Digest { groups, .. } => INT_BYTES + INT_BYTES * groups.len() + 1,
            Body::Records => 0,
        }
    }
}

/// A gossip message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The information about the sender itself.
    pub sender: MemberInfo,
    /// The kind of the message.
    pub body: Body,
    /// Records about other members.
    pub records: Vec<Record>,
}

impl Message {
    /// Creates a message without records.
    pub fn new(sender: MemberInfo, body: Body) -> Message {
        Message {
            sender,
            body,
            records: Vec::new(),
        }
    }

    /// Returns the number of bytes that are left for records.
    pub fn remaining_bytes(&self) -> usize {
        let records: usize = self.records.iter().map(Record::max_bytes).sum();
        let head = STAMP_BYTES + self.sender.max_bytes() + self.body.max_bytes() + INT_BYTES;
        let head = head + EXTENSION_BYTES;
        MAX_BYTES.saturating_sub(head + records)
    }
}

/// A datagram: a message and the sender's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender's hybrid logical clock.
    pub stamp: timeline::Stamp,
    /// The gossip message.
    pub message: Message,
    /// The version of the protocol that the sender speaks, which the extension of the datagram holds.
    #[serde(skip)]
    pub version: version::Version,
}

impl Datagram {
    /// Creates a datagram of this build.
    pub fn new(stamp: timeline::Stamp, message: Message) -> Datagram {
        Datagram {
            stamp,
            message,
            version: version::Version::CURRENT,
        }
    }
}

/// Encodes a datagram.
///
/// # Errors
///
/// Returns an error if the codec fails to encode it.
pub fn encode(datagram: &Datagram) -> Result<Vec<u8>, postcard::Error> {
    extension::Extension::of(&datagram.version)?.encode_after(datagram)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns an error if the bytes are not a datagram of this protocol.
pub fn decode(bytes: &[u8]) -> Result<Datagram, postcard::Error> {
    let (datagram, extension) = extension::Extension::decode_after::<Datagram>(bytes)?;
    Ok(Datagram {
        version: extension.get()?.unwrap_or_default(),
        ..datagram
    })
}
