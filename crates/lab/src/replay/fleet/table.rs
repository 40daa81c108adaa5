//! A simulated platform table, limited to the ejection budget of a service and claims of idempotency keys.

use std::collections::BTreeMap;

use peridotspread::state::bundle;
use peridotspread::state::clock;

use crate::replay::fleet;

/// The answer to a claim of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// The key was unclaimed; it is claimed now.
    Fresh,
    /// A request with this key ran and its answer is recorded.
    Ran,
    /// The key was claimed before, and the outcome of that request is unknown.
    Unknown,
}

/// The leases and claims in the table.
#[derive(Debug, Default)]
pub(crate) struct Table {
    leases: BTreeMap<String, Lease>,
    claims: BTreeMap<u64, bool>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    daemon: usize,
    until: clock::Millis,
}

impl Table {
    /// Acquires or renews the ejection lease of a target; returns `false` if the floor allows no further ejection.
    pub(crate) fn acquire(
        &mut self,
        now: clock::Millis,
        service: &bundle::Service,
        target: &str,
        daemon: usize,
    ) -> bool {
        self.leases.retain(|_, l| l.until > now);
        let serving = service.targets.iter().filter(|t| !t.leaving).count();
        let budget = serving.saturating_sub(service.floor);
        let held = self.leases.contains_key(target);
        if !held && self.leases.len() >= budget {
            return false;
        }
        let until = now + fleet::TABLE_LATENCY + service.ejection.lease_ms;
        self.leases
            .insert(target.to_owned(), Lease { daemon, until });
        true
    }

    /// Releases the ejection lease of a target if `daemon` holds it.
    pub(crate) fn release(&mut self, target: &str, daemon: usize) {
        if self.leases.get(target).is_some_and(|l| l.daemon == daemon) {
            self.leases.remove(target);
        }
    }

    /// Claims a key for a request.
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

    /// Records that the request with a claimed key ran, or removes the claim if it did not.
    pub(crate) fn record_outcome(&mut self, key: u64, ran: bool) {
        if ran {
            self.claims.insert(key, true);
        } else {
            self.claims.remove(&key);
        }
    }
}
