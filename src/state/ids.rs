//! Identities that cross process borders.

use std::borrow;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::state::hash;

/// Some of one service's targets, all of them in one failure domain or regardless of it: the unit that has a home.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId {
    /// The service's name in the bundle.
    pub service: String,
    /// The failure domain's name in the bundle; empty where the cell holds targets of any.
    pub domain: String,
    /// Which of the cells with this service and domain it is, from 0.
    pub part: u32,
}

impl CellId {
    /// Names the first cell of `service` in `domain`.
    pub fn new(service: &str, domain: &str) -> CellId {
        CellId {
            service: service.to_owned(),
            domain: domain.to_owned(),
            part: 0,
        }
    }

    /// Returns the text that tells it from other cells of its service.
    pub fn label(&self) -> borrow::Cow<'_, str> {
        match self.part {
            0 => borrow::Cow::Borrowed(&self.domain),
            part => borrow::Cow::Owned(format!("{}#{part}", self.domain)),
        }
    }
}

impl fmt::Display for CellId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.service, self.label())
    }
}

/// One request of a caller, unique over all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Draws a new identity at random.
    ///
    /// # Panics
    ///
    /// Panics if the system has no source of randomness.
    pub fn random() -> RequestId {
        let mut bytes = [0; 16];
        getrandom::fill(&mut bytes).expect("the system has a source of randomness");
        RequestId(u128::from_le_bytes(bytes))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Tells one run of a daemon from the next; a later start has the higher number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// One request within a cell's home; unique within one run of the daemon.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ticket(pub u64);

/// A failure domain, by a hash of its name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DomainId(pub u64);

impl DomainId {
    /// Returns the failure domain called `name`.
    pub fn from_name(name: &str) -> DomainId {
        DomainId(hash::hash(&[name]))
    }
}

/// Identifies what a request does, for the quarantine of requests that crash targets.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint(pub u64);
