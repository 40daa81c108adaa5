//! Rendezvous hashing: the order in which daemons are home of a cell.

use crate::coordination::member;
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
    mix(h)
}

/// The step between the states of a sequence of numbers made by [`mix`].
pub(crate) const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Spreads every bit of `h` over the whole number.
pub(crate) fn mix(mut h: u64) -> u64 {
    h = (h ^ (h >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    h = (h ^ (h >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    h ^ (h >> 33)
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
