//! Leases of the ejection budget: one row for each service holds all ejections in force.
//!
//! An ejection is granted by a write that expects the row's version, so that two homes can't both take the last share.
//! The holder counts its lease from before the write, by its own clock and less a margin, and all others count it by their
//! wall clocks and add a margin; a holder that was paused wakes to a lease that has lapsed.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::state::bundle;
use crate::state::clock;

/// How far the wall clocks of two hosts may stand apart; each side of a lease allows for it once.
pub const SKEW_MARGIN: clock::Millis = clock::Millis(2_000);

/// The keys of the rows start with it; the service's name follows.
const PREFIX: &str = "ejections/";

/// One ejection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The target.
    pub target: String,
    /// The daemon that holds the lease.
    pub holder: String,
    /// Drawn for this lease, so that its holder knows it again.
    pub token: String,
    /// When it lapses, by the holder's wall clock.
    pub expiry: clock::Millis,
}

/// The value of a service's row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The ejections.
    pub list: Vec<Entry>,
}

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct AcquireRequest<'a> {
    /// The service, as the bundle in force has it.
    pub service: &'a bundle::Service,
    /// The target to eject.
    pub target: &'a str,
    /// The daemon that asks.
    pub holder: &'a str,
    /// Drawn for this lease.
    pub token: &'a str,
    /// The asking daemon's wall clock, read before the write.
    pub wall: clock::Millis,
}

/// Returns the key of the row of a service.
pub fn key(service: &str) -> String {
    format!("{PREFIX}{service}")
}

/// Returns the number of targets that may be ejected at a time.
pub fn budget(service: &bundle::Service) -> usize {
    let staying = service.targets.iter().filter(|t| !t.leaving).count();
    staying.saturating_sub(service.floor)
}

impl Row {
    /// Returns the row with the ejection that is asked for; none where the budget does not allow it.
    ///
    /// Lapsed ejections go. An ejection of the same target is renewed or shared, and takes no further budget.
    pub fn grant(&self, ask: &AcquireRequest<'_>) -> Option<Row> {
        let mut row = self.pruned(ask.wall);
        let renewed = |e: &Entry| e.target == ask.target && e.holder == ask.holder;
        row.list.retain(|e| !renewed(e));
        row.list.push(Entry {
            target: ask.target.to_owned(),
            holder: ask.holder.to_owned(),
            token: ask.token.to_owned(),
            expiry: ask.wall + ask.service.ejection.lease_ms,
        });
        let staying = ask.service.targets.iter().filter(|t| !t.leaving);
        let staying: BTreeSet<_> = staying.map(|t| t.name.as_str()).collect();
        let ejected: BTreeSet<_> = row.list.iter().map(|e| e.target.as_str()).collect();
        let used = ejected.intersection(&staying).count();
        (staying.contains(ask.target) && used <= budget(ask.service)).then_some(row)
    }

    /// Returns the row without the ejections of `target` that `holder` holds; none where there is no such.
    pub fn release(&self, target: &str, holder: &str, wall: clock::Millis) -> Option<Row> {
        let held = |e: &Entry| e.target == target && e.holder == holder;
        if !self.list.iter().any(held) {
            return None;
        }
        let mut row = self.pruned(wall);
        row.list.retain(|e| !held(e));
        Some(row)
    }

    /// Returns whether the lease with `token` is in the row.
    pub fn holds(&self, token: &str) -> bool {
        self.list.iter().any(|e| e.token == token)
    }

    fn pruned(&self, wall: clock::Millis) -> Row {
        let live = |e: &&Entry| wall <= e.expiry + SKEW_MARGIN;
        Row {
            list: self.list.iter().filter(live).cloned().collect(),
        }
    }
}

/// Returns until when a lease holds for its holder, whose clock stood at `before` before the write.
pub fn holder_expiry(before: clock::Millis, service: &bundle::Service) -> clock::Millis {
    before + (service.ejection.lease_ms - SKEW_MARGIN)
}
