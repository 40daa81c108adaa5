//! The health of targets: avoids and ejects outliers within the floor, and reinstates targets that pass their trials.

use crate::coordination::cell;
use crate::coordination::evidence;
use crate::coordination::outlier;
use crate::coordination::trial;
use crate::protocol::peer;
use crate::state::clock;
use crate::state::timeline;

use super::Cell;
use super::target;

impl Cell {
    /// Returns the reference that the target called `name` is compared with.
    pub(super) fn reference(&self, now: clock::Millis, name: &str) -> evidence::Reference {
        let own = self.targets.get(name).and_then(|t| t.evidence.median());
        let others = self.targets.iter();
        let others = others.filter(|(n, t)| *n != name && t.accepts_requests());
        let peers = self.other_cells.values();
        evidence::reference(now, own, others.map(|(_, t)| &t.evidence), peers)
    }

    /// Adds one request to the target's statistics and score, less the part `added` for it before; returns the
    /// log-likelihood ratio of the request.
    pub(super) fn score_request(
        &mut self,
        now: clock::Millis,
        name: &str,
        class: evidence::Class,
        added: f64,
        actions: &mut Vec<cell::Action>,
    ) -> f64 {
        let reference = self.reference(now, name);
        let ratio = outlier::log_ratio(class, &reference.rates);
        let avoid = self.rules.ejection.avoid;
        let Some(target) = self.targets.get_mut(name) else {
            return ratio;
        };
        target.evidence.record(now, class);
        let rest = match class {
            evidence::Class::Good => ratio,
            _ => (ratio - added).max(0.0),
        };
        target.score.add(rest);
        if target.leaving {
            return ratio;
        }
        if target.is_normal() {
            if target.score.value() >= avoid {
                target.ejection.avoid();
                target.trial.begin(now);
                let kind = timeline::Kind::Avoided;
                actions.push(record(kind, name, target.score.value()));
            }
        } else if target.trial.record(now, rest) {
            self.reinstate(now, name, actions);
        }
        self.update_confirmation(now, name, class, now + reference.limits.slow);
        self.cap_scores();
        ratio
    }

    /// Sets the time from which the target's ejection may be requested to `confirm_at` if its score reaches the
    /// threshold, and clears it otherwise. A time that is already set stays.
    ///
    /// A bad request counts only until the next trial is due, or while a trial is running: evidence from before
    /// successful trials is out of date.
    fn update_confirmation(
        &mut self,
        now: clock::Millis,
        name: &str,
        class: evidence::Class,
        confirm_at: clock::Millis,
    ) {
        let eject = self.rules.ejection.eject;
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if target.score.value() < eject {
            target.ejection.withdraw();
        } else if class != evidence::Class::Good && target.trial.next_due() > now {
            target.ejection.confirm_from(confirm_at);
        }
    }

    /// Caps the score of each target while all are suspected. The cause may be common to all targets, so the evidence
    /// must not eject those that are still suspected when the first one is normal again.
    fn cap_scores(&mut self) {
        if !self.is_degraded() {
            return;
        }
        let (avoid, eject) = (self.rules.ejection.avoid, self.rules.ejection.eject);
        for target in self.targets.values_mut() {
            target.score.cap(avoid);
            if target.score.value() < eject {
                target.ejection.withdraw();
            }
        }
    }

    fn reinstate(&mut self, now: clock::Millis, name: &str, actions: &mut Vec<cell::Action>) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if target.ejection.is_ejected() {
            target.slow_start = trial::SlowStart::new(now);
            actions.push(release_ejection(name));
        }
        target.ejection.reset();
        target.trial.finish(now);
        target.score.reset(0.0);
        actions.push(record(timeline::Kind::Reinstated, name, 0.0));
    }

    /// Expires ejections, promotes targets that got no trial, and requests or renews ejections, as they are due.
    pub(super) fn update_ejections(&mut self, now: clock::Millis, actions: &mut Vec<cell::Action>) {
        let suspected = self.targets.iter().filter(|(_, t)| !t.is_normal());
        let names: Vec<_> = suspected.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.expire_or_promote(now, name, actions);
        }
        // Whether an ejection is needed depends on the state of all targets, so the requests come last.
        for name in names {
            if self.start_ejection_request(now, &name) {
                actions.push(cell::Action::RequestEjection { target: name });
            }
        }
    }

    fn expire_or_promote(
        &mut self,
        now: clock::Millis,
        name: &str,
        actions: &mut Vec<cell::Action>,
    ) {
        let degraded = self.is_degraded();
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        target.ejection.expire(now);
        if promotion_at(target, degraded) <= now {
            self.promote_untried(now, name, actions);
        }
    }

    fn start_ejection_request(&mut self, now: clock::Millis, name: &str) -> bool {
        let lease = self.rules.ejection.lease_ms;
        let Some(target) = self.targets.get(name) else {
            return false;
        };
        let needed = self.needs_ejection(name, target);
        let target = self.targets.get_mut(name);
        !self.draining && target.is_some_and(|t| t.ejection.start_request(now, needed, lease))
    }

    /// Promotes a target that got no trial: from ejected to avoided, or from avoided to normal.
    fn promote_untried(&mut self, now: clock::Millis, name: &str, actions: &mut Vec<cell::Action>) {
        let avoid = self.rules.ejection.avoid;
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if target.ejection.is_ejected() {
            target.ejection.avoid();
            target.slow_start = trial::SlowStart::new(now);
            target.trial.restart_wait(now);
            target.score.reset(avoid);
            actions.push(release_ejection(name));
            return;
        }
        target.ejection.reset();
        target.trial.finish(now);
        target.score.reset(avoid / 2.0);
        actions.push(record(timeline::Kind::Reinstated, name, avoid / 2.0));
    }

    /// Returns whether the target is to be ejected: its score reaches the threshold, the floor allows another ejection,
    /// and the fault is the target's own.
    ///
    /// At least one and at least half of the cell's other targets must be healthy, and at most half of the service's
    /// other cells degraded. Otherwise the fault may be common to all of them, in the failure domain or in this home's
    /// own link, and ejections would not help.
    fn needs_ejection(&self, name: &str, target: &target::Target) -> bool {
        let exceeds = target.score.value() >= self.rules.ejection.eject;
        exceeds
            && self.is_isolated_fault(name)
            && self.other_ejections(name) < self.rules.max_ejections
    }

    fn is_isolated_fault(&self, name: &str) -> bool {
        if self.other_cells_degraded() {
            return false;
        }
        let others = self.targets.iter();
        let others = others.filter(|(n, t)| *n != name && !t.leaving);
        let (mut all, mut healthy) = (0, 0);
        for (_, other) in others {
            all += 1;
            healthy += usize::from(other.is_healthy(self.rules.ejection.avoid));
        }
        healthy > 0 && 2 * healthy >= all
    }

    /// Returns whether most of the service's other cells with a recent summary report that they are degraded.
    fn other_cells_degraded(&self) -> bool {
        let fresh = self
            .other_cells
            .values()
            .filter_map(|p| p.current_bad(self.last_event));
        let (mut all, mut degraded) = (0, 0);
        for bad in fresh {
            all += 1;
            degraded += usize::from(bad >= f64::from(super::DEGRADED_SHARE));
        }
        2 * degraded > all
    }

    /// Returns whether there are recent summaries of other cells, and all of these cells are healthy.
    pub(super) fn other_cells_healthy(&self, now: clock::Millis) -> bool {
        let mut fresh = self
            .other_cells
            .values()
            .filter_map(|p| p.current_bad(now))
            .peekable();
        fresh.peek().is_some() && fresh.all(|bad| bad < super::HEALTHY_SHARE)
    }

    /// Returns the number of ejected targets of the cell other than the one called `name`.
    fn other_ejections(&self, name: &str) -> usize {
        let others = self.targets.iter().filter(|(n, _)| *n != name);
        others.filter(|(_, t)| t.ejection.is_ejected()).count()
    }

    /// Applies a granted ejection if it is still needed and the rules in force allow it; otherwise returns it.
    pub(super) fn apply_grant(
        &mut self,
        now: clock::Millis,
        name: &str,
        until: clock::Millis,
        actions: &mut Vec<cell::Action>,
    ) {
        let allowed = self.other_ejections(name) < self.rules.max_ejections && !self.draining;
        let isolated = self.is_isolated_fault(name);
        let Some(target) = self.targets.get_mut(name) else {
            actions.push(release_ejection(name));
            return;
        };
        let was_ejected = target.ejection.is_ejected();
        let needed = was_ejected || (isolated && !target.is_normal());
        if !allowed || !needed || target.leaving {
            target.ejection.deny(now);
            actions.push(release_ejection(name));
            return;
        }
        if until <= now {
            target.ejection.deny(now);
            return;
        }
        target.ejection.grant(until);
        if !was_ejected {
            let kind = timeline::Kind::Ejected;
            actions.push(record(kind, name, target.score.value()));
        }
    }

    /// Handles a denial: an ejection in force lasts until it expires, and another one is requested later.
    pub(super) fn apply_denial(&mut self, now: clock::Millis, name: &str) {
        if let Some(target) = self.targets.get_mut(name) {
            target.ejection.deny(now);
        }
    }

    /// Ends the ejections that exceed what the floor allows.
    pub(super) fn enforce_floor(&mut self, actions: &mut Vec<cell::Action>) {
        let mut ejected = 0;
        for (name, target) in &mut self.targets {
            if !target.ejection.is_ejected() {
                continue;
            }
            ejected += 1;
            if ejected > self.rules.max_ejections {
                target.ejection.avoid();
                actions.push(release_ejection(name));
            }
        }
    }

    /// Ends all ejections and returns their leases.
    pub(super) fn release_ejections(&mut self, actions: &mut Vec<cell::Action>) {
        for (name, target) in &mut self.targets {
            if target.ejection.is_ejected() {
                target.ejection.avoid();
                actions.push(release_ejection(name));
            }
        }
    }

    /// Stores the summaries of the service's other cells; the newest of each cell is kept.
    pub(super) fn update_other_cells(
        &mut self,
        now: clock::Millis,
        summaries: &[peer::CellSummary],
    ) {
        for summary in summaries {
            if summary.cell.service != self.id.service || summary.cell == self.id {
                continue;
            }
            let received = evidence::PeerStats::new(now, summary);
            let known = self.other_cells.get(&summary.cell);
            if known.is_none_or(|k| k.at() <= received.at()) {
                self.other_cells.insert(summary.cell.clone(), received);
            }
        }
    }

    /// Returns when the state of a target changes by time alone.
    pub(super) fn health_wake(&self, name: &str, target: &target::Target) -> clock::Millis {
        if target.is_normal() || target.leaving {
            return clock::Millis::MAX;
        }
        let lease = self.rules.ejection.lease_ms;
        let needed = self.needs_ejection(name, target);
        let request_at = match self.draining {
            true => clock::Millis::MAX,
            false => target.ejection.request_at(needed, lease),
        };
        // A request that the last event counted can make a promotion due at an earlier time. The wake time must lie
        // after that event.
        let promotion =
            promotion_at(target, self.is_degraded()).max(self.last_event + clock::Millis(1));
        request_at.min(promotion).min(target.ejection.expires_at())
    }
}

/// Returns when a target is promoted because it got no trial; never while requests in flight there are slow.
fn promotion_at(target: &target::Target, degraded: bool) -> clock::Millis {
    if target.overdue > 0 {
        return clock::Millis::MAX;
    }
    if degraded {
        return target.trial.promotion_at_degraded();
    }
    target.trial.promotion_at()
}

fn release_ejection(name: &str) -> cell::Action {
    cell::Action::ReleaseEjection {
        target: name.to_owned(),
    }
}

fn record(kind: timeline::Kind, name: &str, score: f64) -> cell::Action {
    cell::Action::Record {
        kind,
        target: name.to_owned(),
        detail: format!("log-likelihood ratio {score:.1}"),
    }
}
