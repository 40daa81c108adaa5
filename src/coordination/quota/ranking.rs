//! The choice of holders: rendezvous hashing over a fixed number of groups of organisations.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::member;
use crate::state::{hash, ids};

/// The number of groups of organisations. Each daemon of a fleet of 100 holds about 10 of them, so that they share the
/// requests for tokens evenly. A fleet of 2,600 has about 850 holders; more would cost its homes more connections.
const GROUPS: usize = 1_024;

/// Ranks the daemons for each group of organisations.
///
/// The load: 2,600 daemons, whose membership changes all the time. A change costs one hash per group, and a new ranking
/// only of the groups that the changed daemon holds.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    /// The daemons that can be holders.
    members: BTreeMap<String, Candidate>,
    /// The first daemon of each group.
    first: Vec<Option<(Rank, String)>>,
    /// The runs of daemons whose build knows no tokens.
    old: BTreeMap<String, ids::Incarnation>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Candidate {
    liveness: member::Liveness,
    /// The hash of the name.
    hash: u64,
}

/// The order of daemons within a group; the lowest is the holder.
type Rank = (member::Liveness, std::cmp::Reverse<u64>);

impl Ranking {
    /// Applies the members of a view. Leaving daemons and those whose build knows no tokens are no holders; suspect
    /// daemons rank after those that are alive.
    pub fn apply(&mut self, view: &member::View) {
        let is_candidate = |name: &String, m: &member::Member| {
            m.liveness != member::Liveness::Leaving && self.old.get(name) != Some(&m.incarnation)
        };
        let members = view.members.iter();
        let next: BTreeMap<_, _> = members
            .filter(|(name, m)| is_candidate(name, m))
            .map(|(name, m)| {
                let liveness = m.liveness;
                let hash = hash::hash(&["quota-holder", name]);
                (name.clone(), Candidate { liveness, hash })
            })
            .collect();
        let old = std::mem::replace(&mut self.members, next);
        self.first.resize(GROUPS, None);
        let changed: BTreeSet<&String> = old
            .iter()
            .filter(|(name, c)| self.members.get(*name) != Some(c))
            .map(|(name, _)| name)
            .collect();
        let added: Vec<_> = self
            .members
            .iter()
            .filter(|(name, c)| old.get(*name) != Some(c))
            .map(|(name, c)| (name.clone(), *c))
            .collect();
        for group in 0..GROUPS {
            let is_stale = match &self.first[group] {
                Some((_, holder)) => changed.contains(holder),
                None => true,
            };
            if is_stale {
                self.first[group] = self.ranked(group).into_iter().next();
                continue;
            }
            for (name, candidate) in &added {
                let rank = rank(group, *candidate);
                if self.first[group].as_ref().is_none_or(|(r, _)| rank < *r) {
                    self.first[group] = Some((rank, name.clone()));
                }
            }
        }
    }

    /// Excludes one run of a daemon, whose build knows no tokens, with the next [`Ranking::apply`].
    pub fn exclude(&mut self, name: &str, incarnation: ids::Incarnation) {
        self.old.insert(name.to_owned(), incarnation);
    }

    /// Returns the holder of an organisation; `None` without a view.
    pub fn holder(&self, organisation: &str) -> Option<&str> {
        let first = self.first.get(group_of(organisation))?.as_ref()?;
        Some(&first.1)
    }

    /// Returns the daemon at a position of the ranking for an organisation, after the holder at 0.
    pub fn nth(&self, organisation: &str, position: usize) -> Option<String> {
        let ranked = self.ranked(group_of(organisation));
        ranked.into_iter().nth(position).map(|(_, name)| name)
    }

    /// Returns the groups whose holder is `name`.
    pub(super) fn groups_of(&self, name: &str) -> BTreeSet<usize> {
        let is_held = |group: &usize| {
            self.first[*group]
                .as_ref()
                .is_some_and(|(_, holder)| holder == name)
        };
        (0..self.first.len()).filter(is_held).collect()
    }

    /// Returns the candidates of a group in their order.
    fn ranked(&self, group: usize) -> Vec<(Rank, String)> {
        let members = self.members.iter();
        let mut ranked: Vec<_> = members
            .map(|(name, c)| (rank(group, *c), name.clone()))
            .collect();
        ranked.sort();
        ranked
    }
}

/// Returns the group of an organisation.
pub(super) fn group_of(organisation: &str) -> usize {
    (hash::hash(&["quota-group", organisation]) % GROUPS as u64) as usize
}

fn rank(group: usize, candidate: Candidate) -> Rank {
    let mixed = hash::mix(candidate.hash ^ hash::mix(group as u64 + 1));
    (candidate.liveness, std::cmp::Reverse(mixed))
}
