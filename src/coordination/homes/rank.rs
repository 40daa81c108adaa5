//! Rendezvous hashing: the order in which daemons are home of a cell.

use crate::coordination::member;
use crate::coordination::random;
use crate::state::ids;

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Hashes `parts` with FNV-1a and a finishing mix; the result is the same on all hosts and in all versions.
pub fn hash(parts: &[&str]) -> u64 {
    random::mix(parts.iter().fold(OFFSET, |h, part| absorb(h, part)))
}

/// Takes one more part into a hash before its finishing mix.
fn absorb(state: u64, part: &str) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = part.bytes().chain([0xff]);
    bytes.fold(state, |h, byte| (h ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// Returns the names of the daemons that may be home of `cell`, best first.
///
/// Alive daemons of the cell's failure domain come first, then suspect ones; where the failure domain has none, the
/// daemons of the others stand in.
pub fn rank<'a>(cell: &ids::CellId, view: &'a member::View) -> Vec<&'a str> {
    let mut ranked: Vec<_> = view
        .members
        .iter()
        .filter(|(_, m)| m.liveness != member::Liveness::Leaving)
        .map(|(name, m)| {
            let score = hash(&[&cell.service, &cell.domain, name]);
            (
                m.domain != cell.domain,
                m.liveness,
                std::cmp::Reverse(score),
                name.as_str(),
            )
        })
        .collect();
    ranked.sort();
    ranked.into_iter().map(|(.., name)| name).collect()
}

/// Returns the first `count` of [`rank`], and looks at no other failure domain while the cell's own has as many alive.
pub(super) fn leading<'a>(
    cell: &ids::CellId,
    view: &'a member::View,
    count: usize,
) -> Vec<&'a str> {
    let state = absorb(absorb(OFFSET, &cell.service), &cell.domain);
    let near = view
        .members
        .iter()
        .filter(|(_, m)| m.liveness == member::Liveness::Alive && m.domain == cell.domain);
    let mut ranked: Vec<_> = near
        .map(|(name, _)| {
            (
                std::cmp::Reverse(random::mix(absorb(state, name))),
                name.as_str(),
            )
        })
        .collect();
    if ranked.len() < count {
        return rank(cell, view).into_iter().take(count).collect();
    }
    ranked.sort_unstable();
    ranked
        .into_iter()
        .take(count)
        .map(|(_, name)| name)
        .collect()
}
