//! Hash rings: which few members a daemon watches and tells its news.
//!
//! Every member stands on several rings, each in an order of its own, and watches its successor on each. The successors
//! of all members together make a graph of constant degree and logarithmic diameter, so that the cost a daemon does not
//! grow with the fleet, and news reaches everyone within few hops. On all rings but one, members of one failure domain
//! stand together: most probes stay within it, and each member still has a watcher that is anywhere.

use std::collections::BTreeSet;

use crate::coordination::homes;

/// The number of rings, and thus the most successors of a member.
pub(super) const RINGS: usize = 4;

/// A member's places on the rings.
pub(super) type Points = [u64; RINGS];

/// The bits of a place that the failure domain decides where its members stand together.
const DOMAIN_BITS: u32 = 16;

/// Returns the places of the member called `name` in `domain`.
pub(super) fn points(name: &str, domain: &str) -> Points {
    let together = |ring| {
        let place = homes::hash(&[ring, name]) >> DOMAIN_BITS;
        homes::hash(&[ring, "domain", domain]) << (u64::BITS - DOMAIN_BITS) | place
    };
    [
        homes::hash(&["ring-0", name]),
        together("ring-1"),
        together("ring-2"),
        together("ring-3"),
    ]
}

/// The members next to one member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Neighbours {
    /// Its successors, which it watches.
    pub(super) after: BTreeSet<String>,
    /// Its predecessors, which watch it.
    pub(super) before: BTreeSet<String>,
}

/// Finds the members next to the one called `name` at `at`.
pub(super) fn neighbours<'a>(
    name: &str,
    at: &Points,
    members: &mut dyn Iterator<Item = (&'a str, &'a Points)>,
) -> Neighbours {
    let mut after = [(u64::MAX, ""); RINGS];
    let mut before = [(u64::MAX, ""); RINGS];
    for (other, points) in members.filter(|(other, _)| *other != name) {
        for ring in 0..RINGS {
            let ahead = points[ring].wrapping_sub(at[ring]);
            after[ring] = after[ring].min((ahead, other));
            let behind = at[ring].wrapping_sub(points[ring]);
            before[ring] = before[ring].min((behind, other));
        }
    }
    Neighbours {
        after: names(&after),
        before: names(&before),
    }
}

fn names(nearest: &[(u64, &str)]) -> BTreeSet<String> {
    let found = nearest.iter().filter(|(_, name)| !name.is_empty());
    found.map(|(_, name)| (*name).to_owned()).collect()
}
