//! Applies the judgement: targets fall out of favour, are ejected under the floor, and come back.

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
    /// Returns what is to be expected of the target called `name`.
    pub(super) fn reference(&self, now: clock::Millis, name: &str) -> evidence::Reference {
        let own = self.targets.get(name).and_then(|t| t.evidence.median());
        let others = self.targets.iter();
        let others = others.filter(|(n, t)| *n != name && t.takes_work());
        let peers = self.peers.values();
        evidence::reference(now, own, others.map(|(_, t)| &t.evidence), peers)
    }

    /// Counts one request of the target, less what was `added` for it before; returns its log-likelihood ratio.
    pub(super) fn judge(
        &mut self,
        now: clock::Millis,
        name: &str,
        class: evidence::Class,
        added: f64,
        actions: &mut Vec<cell::Action>,
    ) -> f64 {
        let reference = self.reference(now, name);
        let ratio = outlier::ratio(class, &reference.rates);
        let avoid = self.rules.ejection.avoid;
        let Some(target) = self.targets.get_mut(name) else {
            return ratio;
        };
        target.evidence.count(now, class);
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
                target.trial.fall(now);
                let kind = timeline::Kind::Avoided;
                actions.push(record(kind, name, target.score.value()));
            }
        } else if target.trial.count(now, rest) {
            self.reinstate(now, name, actions);
        }
        self.weigh_ejection(now, name, class, now + reference.limits.slow);
        self.suspect_home();
        ratio
    }

    /// Notes whether the evidence asks for the target's ejection, from `confirmed` on.
    ///
    /// A bad request counts for that only while the target waits for its next trial: what was held against it before its
    /// trials went well is out of date.
    fn weigh_ejection(
        &mut self,
        now: clock::Millis,
        name: &str,
        class: evidence::Class,
        confirmed: clock::Millis,
    ) {
        let eject = self.rules.ejection.eject;
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if target.score.value() < eject {
            target.ejection.trust();
        } else if class != evidence::Class::Good && target.trial.next() > now {
            target.ejection.suspect(confirmed);
        }
    }

    /// Lowers what speaks against each target where all are under suspicion: it may come from behind them all, and must
    /// not eject those that are still suspected when the first is back in favour.
    fn suspect_home(&mut self) {
        if !self.is_degraded() {
            return;
        }
        let (avoid, eject) = (self.rules.ejection.avoid, self.rules.ejection.eject);
        for target in self.targets.values_mut() {
            target.score.cap(avoid);
            if target.score.value() < eject {
                target.ejection.trust();
            }
        }
    }

    fn reinstate(&mut self, now: clock::Millis, name: &str, actions: &mut Vec<cell::Action>) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if target.ejection.is_ejected() {
            target.ramp = trial::Ramp::new(now);
            actions.push(end(name));
        }
        target.ejection.clear();
        target.trial.rise(now);
        target.score.reset(0.0);
        actions.push(record(timeline::Kind::Reinstated, name, 0.0));
    }

    /// Lapses, moves up, asks and renews what is due.
    pub(super) fn review(&mut self, now: clock::Millis, actions: &mut Vec<cell::Action>) {
        let suspected = self.targets.iter().filter(|(_, t)| !t.is_normal());
        let names: Vec<_> = suspected.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.lapse(now, name, actions);
        }
        // What is asked for depends on the standing of all, so that comes last.
        for name in names {
            if self.asks(now, &name) {
                actions.push(cell::Action::RequestEjection { target: name });
            }
        }
    }

    fn lapse(&mut self, now: clock::Millis, name: &str, actions: &mut Vec<cell::Action>) {
        let sick = self.is_degraded();
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        target.ejection.lapse(now);
        if untried_at(target, sick) <= now {
            self.move_up(now, name, actions);
        }
    }

    fn asks(&mut self, now: clock::Millis, name: &str) -> bool {
        let lease = self.rules.ejection.lease_ms;
        let Some(target) = self.targets.get(name) else {
            return false;
        };
        let wanted = self.wants_ejection(name, target);
        let target = self.targets.get_mut(name);
        !self.draining && target.is_some_and(|t| t.ejection.ask(now, wanted, lease))
    }

    /// Gives a target that no trial came for the next better standing.
    fn move_up(&mut self, now: clock::Millis, name: &str, actions: &mut Vec<cell::Action>) {
        let avoid = self.rules.ejection.avoid;
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if target.ejection.is_ejected() {
            target.ejection.avoid();
            target.ramp = trial::Ramp::new(now);
            target.trial.fail(now);
            target.score.reset(avoid);
            actions.push(end(name));
            return;
        }
        target.ejection.clear();
        target.trial.rise(now);
        target.score.reset(avoid / 2.0);
        actions.push(record(timeline::Kind::Reinstated, name, avoid / 2.0));
    }

    /// Returns whether the evidence asks for the target's ejection.
    ///
    /// At least half of the cell's other targets and of the other cells must be well: where most look sick, the fault may
    /// lie behind them all, in the failure domain, or in this home's own link, and ejections would not mend it.
    fn wants_ejection(&self, name: &str, target: &target::Target) -> bool {
        let strong = target.score.value() >= self.rules.ejection.eject;
        strong && self.stands_alone(name) && self.ejected(name) < self.rules.spare
    }

    fn stands_alone(&self, name: &str) -> bool {
        if self.peers_sick() {
            return false;
        }
        let others = self.targets.iter();
        let others = others.filter(|(n, t)| *n != name && !t.leaving);
        let (mut all, mut well) = (0, 0);
        for (_, other) in others {
            all += 1;
            well += usize::from(other.is_well(self.rules.ejection.avoid));
        }
        well > 0 && 2 * well >= all
    }

    /// Returns whether most of the service's other cells tell that they are sick.
    fn peers_sick(&self) -> bool {
        let fresh = self.peers.values().filter_map(|p| p.fresh(self.last));
        let (mut all, mut sick) = (0, 0);
        for bad in fresh {
            all += 1;
            sick += usize::from(bad >= f64::from(super::DEGRADED_SHARE));
        }
        2 * sick > all
    }

    /// Returns whether other cells tell of themselves, and all are well.
    pub(super) fn peers_well(&self, now: clock::Millis) -> bool {
        let mut fresh = self.peers.values().filter_map(|p| p.fresh(now)).peekable();
        fresh.peek().is_some() && fresh.all(|bad| bad < super::WELL_SHARE)
    }

    /// Counts the cell's ejected targets but the one called `name`.
    fn ejected(&self, name: &str) -> usize {
        let others = self.targets.iter().filter(|(n, _)| *n != name);
        others.filter(|(_, t)| t.ejection.is_ejected()).count()
    }

    /// Applies a granted ejection if it is still wanted and the rules in force allow it; gives it back if not.
    pub(super) fn granted(
        &mut self,
        now: clock::Millis,
        name: &str,
        until: clock::Millis,
        actions: &mut Vec<cell::Action>,
    ) {
        let allowed = self.ejected(name) < self.rules.spare && !self.draining;
        let alone = self.stands_alone(name);
        let Some(target) = self.targets.get_mut(name) else {
            actions.push(end(name));
            return;
        };
        let held = target.ejection.is_ejected();
        let wanted = held || (alone && !target.is_normal());
        if !allowed || !wanted || target.leaving {
            target.ejection.deny(now);
            actions.push(end(name));
            return;
        }
        if until <= now {
            target.ejection.deny(now);
            return;
        }
        target.ejection.grant(until);
        if !held {
            let kind = timeline::Kind::Ejected;
            actions.push(record(kind, name, target.score.value()));
        }
    }

    /// Keeps what is held until it lapses, and asks again later.
    pub(super) fn denied(&mut self, now: clock::Millis, name: &str) {
        if let Some(target) = self.targets.get_mut(name) {
            target.ejection.deny(now);
        }
    }

    /// Ends ejections beyond what the floor allows.
    pub(super) fn keep_floor(&mut self, actions: &mut Vec<cell::Action>) {
        let mut held = 0;
        for (name, target) in &mut self.targets {
            if !target.ejection.is_ejected() {
                continue;
            }
            held += 1;
            if held > self.rules.spare {
                target.ejection.avoid();
                actions.push(end(name));
            }
        }
    }

    /// Gives all ejections back.
    pub(super) fn end_ejections(&mut self, actions: &mut Vec<cell::Action>) {
        for (name, target) in &mut self.targets {
            if target.ejection.is_ejected() {
                target.ejection.avoid();
                actions.push(end(name));
            }
        }
    }

    /// Takes in what other cells of the service tell; the newest summary of each counts.
    pub(super) fn hear(&mut self, now: clock::Millis, summaries: &[peer::CellSummary]) {
        for summary in summaries {
            if summary.cell.service != self.id.service || summary.cell == self.id {
                continue;
            }
            let told = evidence::Peer::new(now, summary);
            let known = self.peers.get(&summary.cell);
            if known.is_none_or(|k| k.at() <= told.at()) {
                self.peers.insert(summary.cell.clone(), told);
            }
        }
    }

    /// Returns when time alone changes the standing of a target.
    pub(super) fn standing_wake(&self, name: &str, target: &target::Target) -> clock::Millis {
        if target.is_normal() || target.leaving {
            return clock::Millis::MAX;
        }
        let lease = self.rules.ejection.lease_ms;
        let wanted = self.wants_ejection(name, target);
        let ask = match self.draining {
            true => clock::Millis::MAX,
            false => target.ejection.ask_at(wanted, lease),
        };
        // The last request of the event before may have been the one that makes it due.
        let untried = untried_at(target, self.is_degraded()).max(self.last + clock::Millis(1));
        ask.min(untried).min(target.ejection.lapse_at())
    }
}

/// Returns when a target moves up because no trial came; never while requests in flight there are slow.
fn untried_at(target: &target::Target, sick: bool) -> clock::Millis {
    if target.overdue > 0 {
        return clock::Millis::MAX;
    }
    if sick {
        return target.trial.untried_alone();
    }
    target.trial.untried()
}

fn end(name: &str) -> cell::Action {
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
