//! Fan-out peers: the few daemons to which each daemon forwards broadcasts.
//!
//! The bundle in force and quarantined fingerprints are broadcast this way, at a constant cost per daemon. Every daemon
//! forwards to its successors in a ring over all names, so that a broadcast reaches every daemon that has a live
//! predecessor, and to some shortcuts, which differ from daemon to daemon and make it fast.

use crate::coordination::homes;
use crate::coordination::member;

/// The number of successors in the ring.
const SUCCESSORS: usize = 2;

/// The number of shortcuts.
const SHORTCUTS: usize = 3;

/// Returns the fan-out peers of the daemon `own`: its successors in the ring, then its shortcuts, chosen by a hash of
/// both names. Leaving daemons are excluded.
pub fn peers(own: &str, view: &member::View) -> Vec<String> {
    let members = view.members.iter();
    let others: Vec<_> = members
        .filter(|(name, m)| *name != own && m.liveness != member::Liveness::Leaving)
        .map(|(name, _)| name.as_str())
        .collect();
    let position = |name: &str| homes::hash(&["bundle-ring", name]);
    let origin = position(own);
    let mut successors = others.clone();
    successors.sort_by_cached_key(|name| position(name).wrapping_sub(origin));
    successors.truncate(SUCCESSORS);
    let mut shortcuts: Vec<_> = others
        .into_iter()
        .filter(|n| !successors.contains(n))
        .collect();
    shortcuts.sort_by_cached_key(|name| homes::hash(&["bundle-partner", own, name]));
    shortcuts.truncate(SHORTCUTS);
    successors
        .into_iter()
        .chain(shortcuts)
        .map(str::to_owned)
        .collect()
}
