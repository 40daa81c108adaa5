//! Rendezvous hashing: the order in which daemons are home of a cell.

use crate::coordination::member;
use crate::state::hash;
use crate::state::ids;

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
            let score = hash::hash(&[&cell.service, &cell.place(), name]);
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
    let state = hash::begin(&[&cell.service, &cell.place()]);
    let near = view
        .members
        .iter()
        .filter(|(_, m)| m.liveness == member::Liveness::Alive && m.domain == cell.domain);
    let mut ranked: Vec<_> = near
        .map(|(name, _)| (std::cmp::Reverse(hash::finish(state, name)), name.as_str()))
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
