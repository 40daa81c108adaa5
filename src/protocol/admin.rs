//! What the admin interface tells, as the daemon writes it and the command-line tool reads it.

use std::net;

use serde::{Deserialize, Serialize};

use crate::protocol::peer;
use crate::state::ids;

/// What `GET /v1/status` tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The daemon's name.
    pub daemon: String,
    /// The daemon's failure domain.
    pub domain: String,
    /// Which run of the daemon.
    pub incarnation: ids::Incarnation,
    /// The version of the bundle in force; 0 for none.
    pub version: u64,
    /// Whether the daemon shuts down.
    pub draining: bool,
    /// The daemons that this one knows of, itself among them.
    pub members: Vec<Member>,
    /// The cells that this daemon is home of.
    pub cells: Vec<peer::CellSummary>,
}

/// One daemon as another sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The daemon's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its address for peers.
    pub peer: net::SocketAddr,
    /// `alive`, `suspect` or `leaving`.
    pub liveness: String,
    /// The version that it last told of.
    pub version: u64,
}

/// What `GET /v1/targets` tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Targets {
    /// The targets, by service and name.
    pub targets: Vec<peer::TargetReport>,
    /// The homes that did not answer, whose targets are missing.
    pub silent: Vec<String>,
}
