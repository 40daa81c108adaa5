//! Leases of the ejection budget: one row of the platform's table per service lists all ejections in force.
//!
//! An ejection is granted by a conditional write that expects the row's version, so that two homes cannot both take the
//! last share of the budget. The holder measures its lease from before the write, by its own monotonic clock and minus
//! a margin; all others measure it by their wall clocks and add a margin. After a pause, a holder therefore finds its
//! lease expired before any other daemon reuses the share.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::state::bundle;
use crate::state::clock;

/// The largest tolerated skew between the wall clocks of two hosts; each side of a lease allows for it once.
pub const SKEW_MARGIN: clock::Millis = clock::Millis(2_000);

/// The prefix of the rows' keys, which the service's name follows.
const PREFIX: &str = "ejections/";

/// An ejection in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ejection {
    /// The name of the ejected target.
    pub target: String,
    /// The name of the daemon that holds the lease.
    pub holder: String,
    /// A random token, by which the holder recognises its own lease.
    pub token: String,
    /// When the lease expires, by the holder's wall clock.
    pub expiry: clock::Millis,
}

/// The value of a service's row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The ejections in force.
    pub list: Vec<Ejection>,
}

/// The parameters of a request for a lease.
#[derive(Clone, Copy, Debug)]
pub struct AcquireRequest<'a> {
    /// The service, as defined by the bundle in force.
    pub service: &'a bundle::Service,
    /// The name of the target to eject.
    pub target: &'a str,
    /// The name of the requesting daemon.
    pub holder: &'a str,
    /// A random token for this lease.
    pub token: &'a str,
    /// The requesting daemon's wall-clock time, read before the write.
    pub wall: clock::Millis,
}

/// Returns the key of a service's row.
pub fn key(service: &str) -> String {
    format!("{PREFIX}{service}")
}

/// Returns the number of targets that may be ejected at the same time: all targets that are not leaving, minus the
/// floor.
pub fn budget(service: &bundle::Service) -> usize {
    let staying = service.targets.iter().filter(|t| !t.leaving).count();
    staying.saturating_sub(service.floor)
}

impl Row {
    /// Returns the row with the requested ejection added, or `None` if the budget does not allow the ejection.
    ///
    /// Removes expired ejections. An ejection of the same target by the same holder is renewed, one by another holder
    /// is shared; neither takes a further share of the budget.
    pub fn grant(&self, request: &AcquireRequest<'_>) -> Option<Row> {
        let mut row = self.unexpired(request.wall);
        let is_renewed = |e: &Ejection| e.target == request.target && e.holder == request.holder;
        row.list.retain(|e| !is_renewed(e));
        row.list.push(Ejection {
            target: request.target.to_owned(),
            holder: request.holder.to_owned(),
            token: request.token.to_owned(),
            expiry: request.wall + request.service.ejection.lease_ms,
        });
        let staying = request.service.targets.iter().filter(|t| !t.leaving);
        let staying: BTreeSet<_> = staying.map(|t| t.name.as_str()).collect();
        let ejected: BTreeSet<_> = row.list.iter().map(|e| e.target.as_str()).collect();
        let used = ejected.intersection(&staying).count();
        (staying.contains(request.target) && used <= budget(request.service)).then_some(row)
    }

    /// Returns the row without the ejections of `target` that `holder` holds, or `None` if there are none. Also removes
    /// expired ejections.
    pub fn release(&self, target: &str, holder: &str, wall: clock::Millis) -> Option<Row> {
        let is_held = |e: &Ejection| e.target == target && e.holder == holder;
        if !self.list.iter().any(is_held) {
            return None;
        }
        let mut row = self.unexpired(wall);
        row.list.retain(|e| !is_held(e));
        Some(row)
    }

    /// Returns whether the row contains the lease with `token`.
    pub fn holds(&self, token: &str) -> bool {
        self.list.iter().any(|e| e.token == token)
    }

    /// Returns the row without the ejections that have expired at wall-clock time `wall`, with the margin added.
    fn unexpired(&self, wall: clock::Millis) -> Row {
        let is_unexpired = |e: &&Ejection| wall <= e.expiry + SKEW_MARGIN;
        Row {
            list: self.list.iter().filter(is_unexpired).cloned().collect(),
        }
    }
}

/// Returns when a lease expires for its holder, whose monotonic clock read `start` before the write.
pub fn holder_expiry(start: clock::Millis, service: &bundle::Service) -> clock::Millis {
    start + (service.ejection.lease_ms - SKEW_MARGIN)
}
