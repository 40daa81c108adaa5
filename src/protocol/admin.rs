//! Responses of the admin interface, written by the daemon and read by the command-line tool.

use std::net;

use serde::{Deserialize, Serialize};

use crate::protocol::peer;
use crate::state::ids;

/// The response to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the daemon.
    pub daemon: String,
    /// The failure domain of the daemon.
    pub domain: String,
    /// The incarnation, which identifies this run of the daemon.
    pub incarnation: ids::Incarnation,
    /// The version of the bundle in force; 0 if there is none.
    pub version: u64,
    /// Whether the daemon is shutting down gracefully.
    pub draining: bool,
    /// All members of the fleet known to the daemon, including itself.
    pub members: Vec<Member>,
    /// The cells whose home is this daemon.
    pub cells: Vec<peer::CellSummary>,
}

/// A member of the fleet, as known to the daemon that reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of the member.
    pub name: String,
    /// The failure domain of the member.
    pub domain: String,
    /// The address at which other daemons reach the member.
    pub peer: net::SocketAddr,
    /// `alive`, `suspect` or `leaving`.
    pub liveness: String,
    /// The version of the bundle in force at the member, as last reported.
    pub version: u64,
}

/// The response to `GET /v1/targets`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Targets {
    /// The targets, sorted by cell and name.
    pub targets: Vec<peer::TargetReport>,
    /// The homes that did not answer; their targets are missing from the list.
    pub silent: Vec<String>,
}
