//! Hash rings, which determine the few members that a daemon probes and sends its updates to.
//!
//! Every member has a position on several rings, each ordered by a different hash, and probes its successor on each
//! ring. The successors of all members form a graph of constant degree and logarithmic diameter. The cost per daemon
//! therefore does not grow with the fleet, and updates reach all members within few hops. On all rings but one, the
//! members of a failure domain are adjacent: most probes stay within the domain, and each member is still probed by one
//! member from any domain.

use std::collections::BTreeSet;

use crate::coordination::homes;

/// The number of rings, which is also the largest number of successors of a member.
pub(super) const RING_COUNT: usize = 4;

/// A member's positions on the rings.
pub(super) type Positions = [u64; RING_COUNT];

/// The number of leading bits of a position that are a hash of the failure domain, on the rings that cluster domains.
const DOMAIN_BITS: u32 = 16;

/// Returns the ring positions of the member `name` in the failure domain `domain`.
pub(super) fn positions(name: &str, domain: &str) -> Positions {
    let clustered = |ring| {
        let position = homes::hash(&[ring, name]) >> DOMAIN_BITS;
        homes::hash(&[ring, "domain", domain]) << (u64::BITS - DOMAIN_BITS) | position
    };
    [
        homes::hash(&["ring-0", name]),
        clustered("ring-1"),
        clustered("ring-2"),
        clustered("ring-3"),
    ]
}

/// The members adjacent to a member on the rings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Neighbours {
    /// The successors, which the member probes.
    pub(super) successors: BTreeSet<String>,
    /// The predecessors, which probe the member.
    pub(super) predecessors: BTreeSet<String>,
}

/// Returns the neighbours among `members` of the member `name`, whose positions are `origin`.
pub(super) fn neighbours<'a>(
    name: &str,
    origin: &Positions,
    members: &mut dyn Iterator<Item = (&'a str, &'a Positions)>,
) -> Neighbours {
    let mut successors = [(u64::MAX, ""); RING_COUNT];
    let mut predecessors = [(u64::MAX, ""); RING_COUNT];
    for (other, positions) in members.filter(|(other, _)| *other != name) {
        for ring in 0..RING_COUNT {
            let forward = positions[ring].wrapping_sub(origin[ring]);
            successors[ring] = successors[ring].min((forward, other));
            let backward = origin[ring].wrapping_sub(positions[ring]);
            predecessors[ring] = predecessors[ring].min((backward, other));
        }
    }
    Neighbours {
        successors: names(&successors),
        predecessors: names(&predecessors),
    }
}

fn names(nearest: &[(u64, &str)]) -> BTreeSet<String> {
    let present = nearest.iter().filter(|(_, name)| !name.is_empty());
    present.map(|(_, name)| (*name).to_owned()).collect()
}
