//! Partners: the few daemons that each daemon passes news on to, so that it reaches everyone.
//!
//! The next daemons in a ring over all names reach everyone; some others, which differ from daemon to daemon, make it
//! fast. The bundle in force and the quarantine travel this way, at a constant cost a daemon.

use crate::coordination::homes;
use crate::coordination::member;

/// The partners that follow in the ring.
const SUCCESSORS: usize = 2;

/// The partners besides those.
const SHORTCUTS: usize = 3;

/// Returns the partners of the daemon called `own`: those that follow it in the ring, and those that hash nearest to it.
pub fn peers(own: &str, view: &member::View) -> Vec<String> {
    let members = view.members.iter();
    let others: Vec<_> = members
        .filter(|(name, m)| *name != own && m.liveness != member::Liveness::Leaving)
        .map(|(name, _)| name.as_str())
        .collect();
    let place = |name: &str| homes::hash(&["bundle-ring", name]);
    let origin = place(own);
    let mut ring = others.clone();
    ring.sort_by_cached_key(|name| place(name).wrapping_sub(origin));
    ring.truncate(SUCCESSORS);
    let mut near: Vec<_> = others.into_iter().filter(|n| !ring.contains(n)).collect();
    near.sort_by_cached_key(|name| homes::hash(&["bundle-partner", own, name]));
    near.truncate(SHORTCUTS);
    ring.into_iter().chain(near).map(str::to_owned).collect()
}
