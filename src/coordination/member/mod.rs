//! Membership: which daemons live, as this one sees it.
//!
//! The platform's list of hosts and the settings name daemons to begin with; from there on the daemons tell each other.
//! [`Table`] decides: each daemon watches a few successors on hash rings, asks others to try before it suspects a
//! member, and takes one for dead only if the suspicion is not refuted in time. Views of different daemons may differ;
//! nothing that the fleet promises depends on their agreeing.

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

/// Whether a member is fit to be a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It has not answered of late.
    Suspect,
    /// It said that it leaves.
    Leaving,
}

impl Liveness {
    /// Returns the word that reports show.
    pub fn as_str(self) -> &'static str {
        match self {
            Liveness::Alive => "alive",
            Liveness::Suspect => "suspect",
            Liveness::Leaving => "leaving",
        }
    }
}

/// One daemon, as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its address for peers.
    pub peer: net::SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Which run of the daemon.
    pub incarnation: ids::Incarnation,
    /// Whether it is fit to be a home.
    pub liveness: Liveness,
    /// The bundle's version that it last told of.
    pub version: u64,
}

/// All daemons that are not dead, by name, this one among them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The members by name.
    pub members: BTreeMap<String, Member>,
}
