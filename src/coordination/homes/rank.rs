//! Rendezvous hashing: the order in which daemons are home of a cell.

use crate::coordination::member;
use crate::coordination::random;
use crate::state::ids;

/// Hashes `parts` with FNV-1a and a finishing mix; the result is the same on all hosts and in all versions.
pub fn hash(parts: &[&str]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut h = OFFSET;
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            h = (h ^ u64::from(byte)).wrapping_mul(PRIME);
        }
    }
    random::mix(h)
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
