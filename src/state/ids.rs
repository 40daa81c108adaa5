//! Identifiers that are exchanged between processes.

use std::borrow;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::state::hash;

/// Identifies a cell: a group of one service's targets that one daemon, its home, manages.
///
/// The targets of a cell are in one failure domain, unless the service assigns targets to cells regardless of domains.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId {
    /// The name of the service in the bundle.
    pub service: String,
    /// The name of the failure domain in the bundle; empty if the cell has targets of any domain.
    pub domain: String,
    /// The index of the cell among those with the same service and domain, from 0.
    pub part: u32,
}

impl CellId {
    /// Returns the identifier of the first cell of `service` in `domain`.
    pub fn new(service: &str, domain: &str) -> CellId {
        CellId {
            service: service.to_owned(),
            domain: domain.to_owned(),
            part: 0,
        }
    }

    /// Returns the domain and the part as text, which is unique within the service.
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

/// Identifies a caller's request, unique across all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Generates a random identifier.
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

/// Identifies one run of a daemon; each restart has a higher number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Identifies a request at a cell's home, unique within one run of the daemon.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ticket(pub u64);

/// Identifies a failure domain by a hash of its name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DomainId(pub u64);

impl DomainId {
    /// Returns the identifier of the failure domain `name`.
    pub fn from_name(name: &str) -> DomainId {
        DomainId(hash::hash(&[name]))
    }
}

/// A hash of a request's organisation, path and idempotency key, or of its organisation, method, path and first bytes.
/// It identifies requests that crash targets, for the quarantine, and requests that are sent again with the same key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
