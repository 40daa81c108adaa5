//! Which routes changed when, so that a peer that holds earlier rules receives only what differs.
//!
//! Rules may have tens of thousands of routes, and most changes touch a few of them. [`RouteHistory`] keeps the revision
//! of the last change of each route, like the registry does of each target. A peer states the revision of the rules that
//! it holds, and gets [`RulesChange`]: everything of the new rules but the routes that it has already.
//!
//! Load pattern: hosts with slow links, many of which wait for the rules of one other host.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::state::bundle;

/// The most earlier rules from which changes are known. Peers that hold older ones get all routes.
const MAX_BASES: usize = 64;

/// What identifies a route within rules.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteKey {
    host: Option<String>,
    prefix: String,
}

impl RouteKey {
    fn new(route: &bundle::Route) -> RouteKey {
        RouteKey {
            host: route.host.clone(),
            prefix: route.prefix.clone(),
        }
    }
}

/// The difference of rules from earlier ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RulesChange {
    /// The revision of the earlier rules.
    pub base: u64,
    /// The routes that the new rules lack.
    pub removed: Vec<RouteKey>,
}

impl RulesChange {
    /// Adds the routes of the earlier rules that are unchanged to `rules`, which has only the others.
    pub fn complete(&self, earlier: &bundle::Bundle, rules: &mut bundle::Bundle) {
        let changed = rules.routes.drain(..).map(|r| (RouteKey::new(&r), r));
        let mut changed: BTreeMap<_, _> = changed.collect();
        let removed: BTreeSet<_> = self.removed.iter().collect();
        let kept = earlier.routes.iter().filter_map(|route| {
            let key = RouteKey::new(route);
            match changed.remove(&key) {
                Some(new) => Some(new),
                None => (!removed.contains(&key)).then(|| route.clone()),
            }
        });
        let mut routes: Vec<_> = kept.collect();
        routes.extend(changed.into_values());
        rules.routes = routes;
    }
}

/// When the routes of the rules changed.
#[derive(Debug, Default)]
pub struct RouteHistory {
    /// The revisions of the rules that were in force, from the first one whose changes are known.
    bases: BTreeSet<u64>,
    /// The revision of the last change of each route.
    changed: BTreeMap<RouteKey, u64>,
    /// The revision at which each route was removed.
    removed: BTreeMap<RouteKey, u64>,
}

impl RouteHistory {
    /// Records that `after` replaces `before` at a revision.
    pub fn record(
        &mut self,
        before: Option<&bundle::Bundle>,
        after: &bundle::Bundle,
        revision: u64,
    ) {
        let earlier = before.map(|b| b.routes.as_slice()).unwrap_or_default();
        let mut earlier: BTreeMap<_, _> = earlier.iter().map(|r| (RouteKey::new(r), r)).collect();
        for route in &after.routes {
            let key = RouteKey::new(route);
            self.removed.remove(&key);
            if earlier.remove(&key) != Some(route) {
                self.changed.insert(key, revision);
            }
        }
        for key in earlier.into_keys() {
            self.changed.remove(&key);
            self.removed.insert(key, revision);
        }
        // Routes that share a key cannot be told apart.
        if self.changed.len() != after.routes.len() {
            *self = RouteHistory::default();
            return;
        }
        self.bases.insert(revision);
        while self.bases.len() > MAX_BASES {
            self.bases.pop_first();
        }
        let first = self.bases.first().copied().unwrap_or_default();
        self.removed.retain(|_, at| *at > first);
    }

    /// Returns how `rules` differ from the ones of the revision `base`, and leaves only the routes that do in them;
    /// absent if that is not known.
    pub fn reduce(&self, base: u64, rules: &mut bundle::Bundle) -> Option<RulesChange> {
        if !self.bases.contains(&base) {
            return None;
        }
        let is_newer = |route: &bundle::Route| {
            let at = self.changed.get(&RouteKey::new(route));
            at.is_none_or(|at| *at > base)
        };
        rules.routes.retain(is_newer);
        let removed = self.removed.iter().filter(|(_, at)| **at > base);
        Some(RulesChange {
            base,
            removed: removed.map(|(key, _)| key.clone()).collect(),
        })
    }
}
