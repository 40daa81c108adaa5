//! Rendezvous hashing of cells to homes.

use crate::coordination::member;
use crate::state::hash;
use crate::state::ids;

/// Returns the names of the daemons that can be the home of `cell`, in order of preference.
///
/// Alive daemons of the cell's failure domain come first, then its suspect daemons, then the daemons of other failure
/// domains. Leaving daemons are excluded.
pub fn rank<'a>(cell: &ids::CellId, view: &'a member::View) -> Vec<&'a str> {
    let mut ranked: Vec<_> = view
        .members
        .iter()
        .filter(|(_, m)| m.liveness != member::Liveness::Leaving)
        .map(|(name, m)| {
            let score = hash::hash(&[&cell.service, &cell.label(), name]);
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

/// Returns the first `count` names of [`rank`]. Sorts only the alive daemons of the cell's own failure domain if there
/// are at least `count` of them.
pub(super) fn top_ranked<'a>(
    cell: &ids::CellId,
    view: &'a member::View,
    count: usize,
) -> Vec<&'a str> {
    let state = hash::begin(&[&cell.service, &cell.label()]);
    let local_alive = view
        .members
        .iter()
        .filter(|(_, m)| m.liveness == member::Liveness::Alive && m.domain == cell.domain);
    let mut ranked: Vec<_> = local_alive
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
