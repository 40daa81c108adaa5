//! A fake of the platform's table, as far as the replay needs it: ejection budgets and claims.

use std::collections::BTreeMap;

use peridotspread::state::bundle;
use peridotspread::state::clock;

use crate::replay::fleet;

/// What is known of a claimed key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// The key was free and is claimed now.
    Fresh,
    /// The work ran and its answer is recorded.
    Ran,
    /// The key was claimed before, and its outcome is not known.
    Unknown,
}

/// The platform's table.
#[derive(Debug, Default)]
pub(crate) struct Table {
    holds: BTreeMap<String, Hold>,
    claims: BTreeMap<u64, bool>,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    daemon: usize,
    until: clock::Millis,
}

impl Table {
    /// Asks for the ejection of a target; returns whether the floor allows it.
    pub(crate) fn hold(
        &mut self,
        now: clock::Millis,
        service: &bundle::Service,
        target: &str,
        daemon: usize,
    ) -> bool {
        self.holds.retain(|_, h| h.until > now);
        let serving = service.targets.iter().filter(|t| !t.leaving).count();
        let budget = serving.saturating_sub(service.floor);
        let held = self.holds.contains_key(target);
        if !held && self.holds.len() >= budget {
            return false;
        }
        let until = now + fleet::TABLE_LATENCY + service.ejection.lease_ms;
        self.holds.insert(target.to_owned(), Hold { daemon, until });
        true
    }

    /// Gives back the ejection of a target, unless another daemon holds it.
    pub(crate) fn release(&mut self, target: &str, daemon: usize) {
        if self.holds.get(target).is_some_and(|h| h.daemon == daemon) {
            self.holds.remove(target);
        }
    }

    /// Claims a key.
    pub(crate) fn claim(&mut self, key: u64) -> Claim {
        match self.claims.get(&key) {
            None => {
                self.claims.insert(key, false);
                Claim::Fresh
            }
            Some(true) => Claim::Ran,
            Some(false) => Claim::Unknown,
        }
    }

    /// Records that the work of a claimed key ran, or removes the claim because it did not.
    pub(crate) fn settle(&mut self, key: u64, ran: bool) {
        if ran {
            self.claims.insert(key, true);
        } else {
            self.claims.remove(&key);
        }
    }
}
