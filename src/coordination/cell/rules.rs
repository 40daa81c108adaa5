//! Applies the bundle in force: the cell's rules, and the list of its targets.

use std::collections::BTreeMap;

use crate::coordination::cell;
use crate::coordination::trial;
use crate::state::bundle;
use crate::state::clock;
use crate::state::ids;

use super::target;
use super::{Cell, Rules};

impl Cell {
    /// Returns the names of the targets that the cell ejects at present.
    pub fn ejected_targets(&self) -> impl Iterator<Item = &str> {
        let ejected = self.targets.iter();
        let ejected = ejected.filter(|(_, t)| t.ejection.is_ejected());
        ejected.map(|(name, _)| name.as_str())
    }

    /// Adopts the service's rules and targets.
    ///
    /// A target that is leaving, or is no longer listed, receives no new requests; it is removed when its last request
    /// has ended.
    pub(super) fn adopt(
        &mut self,
        now: clock::Millis,
        service: &bundle::Service,
        actions: &mut Vec<cell::Action>,
    ) {
        let staying = service.targets.iter().filter(|t| !t.leaving).count();
        self.rules = Rules {
            queue: service.queue,
            order: service.order,
            rank_by_failure: service.soundness,
            breadth: service.breadth_pct / 100.0,
            ejection: service.ejection.clone(),
            max_ejections: staying.saturating_sub(service.floor),
        };
        self.budget.configure(&service.retry);
        let own = service.targets.iter();
        let own = own.filter(|t| service.cell_of(t) == self.id);
        let own: BTreeMap<_, _> = own.map(|t| (t.name.as_str(), t)).collect();
        for (name, target) in &mut self.targets {
            let remains = own.get(name.as_str()).is_some_and(|t| !t.leaving);
            if !remains && target.ejection.is_ejected() {
                actions.push(cell::Action::ReleaseEjection {
                    target: name.clone(),
                });
            }
            if !remains {
                target.leaving = true;
                target.ejection.reset();
            }
        }
        let is_first = self.targets.is_empty();
        for (name, rule) in own {
            let is_new = !is_first && !self.targets.contains_key(name);
            let entry = self.targets.entry(name.to_owned());
            let target = entry.or_insert_with(|| target::Target::new(now));
            target.limiter.enforce_elsewhere(!self.is_first);
            if target.leaving && !rule.leaving {
                target.slow_start = trial::SlowStart::new(now);
            }
            target.newcomer |= is_new;
            target.total_slots = rule.slots;
            target.domain = ids::DomainId::from_name(&rule.domain);
            target.leaving = rule.leaving || target.gone;
        }
        let gone = self.targets.values().filter(|t| t.gone).count();
        self.rules.max_ejections = self.rules.max_ejections.saturating_sub(gone);
        self.enforce_floor(actions);
        // A target that is gone is kept while it is listed, so that the list does not bring it back.
        let is_listed = |name: &str| service.targets.iter().any(|t| t.name == name);
        self.targets
            .retain(|name, t| !t.leaving || t.busy > 0 || (t.gone && is_listed(name)));
    }

    /// Marks a target as leaving for good.
    pub(super) fn mark_leaving(&mut self, name: &str, actions: &mut Vec<cell::Action>) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if std::mem::replace(&mut target.gone, true) {
            return;
        }
        if target.ejection.is_ejected() {
            actions.push(cell::Action::ReleaseEjection {
                target: name.to_owned(),
            });
        }
        target.leaving = true;
        target.ejection.reset();
        self.rules.max_ejections = self.rules.max_ejections.saturating_sub(1);
        self.enforce_floor(actions);
    }
}
