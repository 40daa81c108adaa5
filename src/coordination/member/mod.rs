//! Membership by gossip: which daemons are alive, as this daemon sees it.
//!
//! The platform's list of hosts and the settings name the first daemons to contact; from there on daemons learn of each
//! other by gossip. The state machine is [`Table`]: each daemon probes a few successors on hash rings, asks other
//! members to probe before it suspects a member, and declares a member dead only if the suspicion is not refuted in
//! time. The views of different daemons may differ; no guarantee of the fleet depends on their agreement.

use std::collections::BTreeMap;
use std::net;

use crate::state::ids;

mod digest;
mod exchange;
mod probes;
mod rings;
mod suspicion;
mod table;
mod updates;

pub use table::{Action, Event, Options, Seed, Table};

/// The state of a live member, which decides whether it can be a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// The member answers probes.
    Alive,
    /// The member failed to answer recent probes.
    Suspect,
    /// The member announced that it is leaving the fleet.
    Leaving,
}

impl Liveness {
    /// Returns the name of the state in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Liveness::Alive => "alive",
            Liveness::Suspect => "suspect",
            Liveness::Leaving => "leaving",
        }
    }
}

/// A daemon of the fleet, as this daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The daemon's address for peers, at which other daemons reach it.
    pub peer: net::SocketAddr,
    /// The daemon's failure domain.
    pub domain: String,
    /// The run of the daemon.
    pub incarnation: ids::Incarnation,
    /// The member's state.
    pub liveness: Liveness,
    /// The version of the bundle that the daemon last reported.
    pub version: u64,
}

/// All daemons that are not dead, including this one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The members by name.
    pub members: BTreeMap<String, Member>,
}
