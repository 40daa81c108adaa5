//! Registry of the rules and targets that are in force, built from the updates of a platform and of peers.
//!
//! [`crate::daemon::registry`] applies batches of [`crate::protocol::source`] that come from the platform itself or
//! from peers that reach it. Revisions give all changes one total order, so a change may arrive over any path and any
//! number of times. The version of the rules never decreases. A target that disappears during an outage of the platform
//! is kept until the platform has answered again for long enough to list the target again.
//!
//! A platform may be restored from a copy that is some seconds old. Revisions rise all the same, so what is read
//! afterwards replaces what was known, with two exceptions: the rules in force stay until the operators' latest ones
//! are back, and runs of targets that were known to be leaving or gone get no requests because of the copy alone.

use std::collections::{BTreeMap, BTreeSet};
use std::sync;

use crate::coordination::route_changes;
use crate::protocol::source::{Batch, Change, Item, ServiceTarget, Topic};
use crate::state::{bundle, clock};

/// How long after the end of an outage a target that disappeared meanwhile is kept. Live targets are listed again
/// within two seconds; the rest is the time that the update takes to arrive.
const RECOVERY_GRACE: clock::Millis = clock::Millis(2_300);
/// The shortest outage in which live targets can disappear from the platform; shorter than any heartbeat interval.
const MIN_OUTAGE: clock::Millis = clock::Millis(1_000);
/// How long a removed target is remembered, so that peers receive its removal.
const TOMBSTONE_SPAN: clock::Millis = clock::Millis(120_000);

/// The most slots of one cell. Many slots make it likely that a request finds a free and healthy target; the limit
/// keeps the load on the home's processor low enough, at a few requests per second and slot.
const SLOTS_PER_CELL: usize = 96;

/// The fewest slots of a failure domain with its own cells: enough that a request finds a free and healthy target while
/// a third of all targets fail.
const MIN_SLOTS_PER_DOMAIN: usize = 24;

/// The number of ended runs that are remembered of each target.
const ENDED_RUNS: usize = 4;
/// How long after a restore a run that had ended gets no requests although the platform lists it: longer than the
/// platform keeps the entry of a target that does not write.
const ENDED_SPAN: clock::Millis = clock::Millis(6_000);

/// How the targets of a service are divided into cells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Layout {
    /// The number of cells that span all failure domains; absent if each domain has its own cells.
    shared_cells: Option<usize>,
    /// The number of cells of each failure domain, if each has its own.
    domain_cells: usize,
    /// The total number of cells.
    total: usize,
}

impl Layout {
    /// Returns the layout for `targets`.
    ///
    /// Load pattern: many small requests with long answers, where traffic between failure domains is billed or slow. If
    /// each domain has enough targets, requests stay within their domain unless it is overloaded.
    fn new(targets: &[bundle::Target]) -> Layout {
        let mut slots = BTreeMap::<&str, usize>::new();
        for target in targets {
            *slots.entry(&target.domain).or_default() += target.slots;
        }
        let smallest = slots.values().copied().min().unwrap_or_default();
        if slots.len() > 1 && smallest >= MIN_SLOTS_PER_DOMAIN {
            let largest = slots.values().copied().max().unwrap_or_default();
            let domain_cells = cells_for(largest, targets.len());
            return Layout {
                shared_cells: None,
                domain_cells,
                total: domain_cells * slots.len(),
            };
        }
        let total = cells_for(slots.values().sum(), targets.len());
        Layout {
            shared_cells: Some(total),
            domain_cells: 1,
            total,
        }
    }
}

/// Returns the number of cells for `targets` targets with `slots` slots: a power of two, so that it seldom changes as
/// targets come and go. There are no more cells than targets, however many slots one of them has.
fn cells_for(slots: usize, targets: usize) -> usize {
    let cells = slots.div_ceil(SLOTS_PER_CELL).min(targets);
    cells.next_power_of_two()
}

/// The state of one key of the target list.
#[derive(Clone, Debug)]
struct Record {
    revision: u64,
    target: Option<ServiceTarget>,
    /// When a target that has disappeared is removed.
    removal: Option<clock::Millis>,
    /// When the target last changed.
    changed_at: clock::Millis,
    /// The names of the last runs under this key that were removed or replaced, oldest first.
    ended_runs: Vec<String>,
}

impl Record {
    /// Returns the target unless it has disappeared.
    fn present_target(&self) -> Option<&ServiceTarget> {
        self.target.as_ref().filter(|_| self.removal.is_none())
    }

    /// Returns the runs that are known to be leaving or gone.
    fn ended_runs(&self) -> impl Iterator<Item = &String> {
        let held = self.target.as_ref().map(|t| &t.target);
        let leaving = held.filter(|t| t.leaving).map(|t| &t.name);
        self.ended_runs.iter().chain(leaving)
    }

    /// Replaces the target, and returns whether that changes it. The run that is replaced has ended, unless a copy of
    /// the platform may be the reason (`is_certain`).
    fn replace(
        &mut self,
        now: clock::Millis,
        target: Option<ServiceTarget>,
        is_certain: bool,
    ) -> bool {
        self.removal = None;
        self.changed_at = now;
        let changed = self.target != target;
        let run = target.as_ref().map(|t| t.target.name.clone());
        self.ended_runs.retain(|ended| run.as_ref() != Some(ended));
        let replaced = std::mem::replace(&mut self.target, target).map(|t| t.target);
        let has_ended = |t: &bundle::Target| is_certain || t.leaving;
        if let Some(ended) = replaced.filter(|t| has_ended(t) && run.as_ref() != Some(&t.name)) {
            self.ended_runs.push(ended.name);
            let surplus = self.ended_runs.len().saturating_sub(ENDED_RUNS);
            self.ended_runs.drain(..surplus);
        }
        changed
    }
}

/// The rules and targets in force, with the revisions up to which they are known.
#[derive(Debug, Default)]
pub struct Registry {
    rules: Option<bundle::Bundle>,
    rules_revision: u64,
    /// When the routes of the rules changed.
    routes: route_changes::RouteHistory,
    targets: BTreeMap<String, Record>,
    /// The revision up to which each topic is known.
    revisions: BTreeMap<Topic, u64>,
    /// When the platform stopped answering; absent while it answers.
    outage_start: Option<clock::Millis>,
    /// The end of the grace period after an outage, in which targets that disappear are kept.
    grace_end: clock::Millis,
    /// Whether the platform was restored, and its targets have not been read since.
    reads_copy: bool,
    /// The runs that had ended when the platform was restored, each with the time until which it gets no requests.
    ended: BTreeMap<String, clock::Millis>,
}

impl Registry {
    /// Returns the revision up to which `topic` is known, or `None` before the first batch.
    pub fn revision(&self, topic: Topic) -> Option<u64> {
        self.revisions.get(&topic).copied()
    }

    /// Records that the platform does not answer.
    pub fn record_outage(&mut self, now: clock::Millis) {
        self.outage_start.get_or_insert(now);
    }

    /// Records that the platform answers, and returns the length of the outage that this ends.
    pub fn record_recovery(&mut self, now: clock::Millis) -> Option<clock::Millis> {
        let outage = now - self.outage_start.take()?;
        if outage >= MIN_OUTAGE {
            self.begin_grace(now);
        }
        Some(outage)
    }

    /// Starts the time in which targets that have disappeared can be listed again.
    fn begin_grace(&mut self, now: clock::Millis) {
        self.grace_end = now + RECOVERY_GRACE;
        let pending = self.targets.values_mut().filter(|r| r.removal.is_some());
        pending.for_each(|r| r.removal = Some(now + RECOVERY_GRACE));
    }

    /// Records that the platform was restored from an earlier copy. Targets that the copy lacks are kept for as long as
    /// after an outage, so that they can write their entries again. Runs that have ended get no requests meanwhile.
    pub fn record_restore(&mut self, now: clock::Millis) {
        self.reads_copy = true;
        self.begin_grace(now);
        let known = self.targets.values().flat_map(Record::ended_runs);
        // After an earlier restore, the records may hold what its copy listed.
        let ended: Vec<_> = known.chain(self.ended.keys()).cloned().collect();
        let until = now + ENDED_SPAN;
        self.ended.extend(ended.into_iter().map(|run| (run, until)));
    }

    /// Returns the version of the rules in force, 0 while there are none.
    pub fn rules_version(&self) -> u64 {
        self.rules.as_ref().map_or(0, |r| r.version)
    }

    /// Returns the revision of the rules that are held, 0 while there are none.
    pub fn rules_revision(&self) -> u64 {
        self.rules_revision
    }

    /// Leaves out of a batch for a peer the routes that are in the rules of the revision `base`, which the peer holds.
    /// Returns what else the peer needs; absent if the batch has no rules, or all routes have to stay.
    pub fn reduce_rules(&self, base: u64, batch: &mut Batch) -> Option<route_changes::RulesChange> {
        let rules = batch.changes.iter_mut().find_map(|c| match &mut c.item {
            Some(Item::Rules(rules)) => Some(rules),
            _ => None,
        });
        self.routes.reduce(base, rules?)
    }

    /// Completes the rules of a batch that a peer has reduced, and returns whether the rules of their base are held.
    pub fn complete_rules(&self, change: &route_changes::RulesChange, batch: &mut Batch) -> bool {
        let Some(held) = &self.rules else {
            return false;
        };
        if change.base != self.rules_revision {
            return false;
        }
        for item in batch.changes.iter_mut().filter_map(|c| c.item.as_mut()) {
            if let Item::Rules(rules) = item {
                change.complete(held, rules);
            }
        }
        true
    }

    /// Applies a batch of one topic from the platform, and returns whether the rules or targets changed.
    pub fn apply(&mut self, now: clock::Millis, topic: Topic, batch: &Batch) -> bool {
        self.apply_batch(now, topic, batch, false)
    }

    /// Applies a batch of one topic from a peer, and returns whether the rules or targets changed.
    ///
    /// A batch without a revision is of a peer that knows nothing of the topic, and has no effect.
    ///
    /// For a target that has disappeared, the peer sends the rest of its grace period, which is adopted here.
    pub fn apply_peer(&mut self, now: clock::Millis, topic: Topic, batch: &Batch) -> bool {
        batch.revision > 0 && self.apply_batch(now, topic, batch, true)
    }

    fn apply_batch(
        &mut self,
        now: clock::Millis,
        topic: Topic,
        batch: &Batch,
        from_peer: bool,
    ) -> bool {
        let mut changed = false;
        let is_whole_list = batch.whole && topic == Topic::Targets;
        let is_copy = is_whole_list && std::mem::take(&mut self.reads_copy);
        if is_whole_list {
            changed |= self.remove_unlisted(now, batch);
        }
        // After a restore, a peer may pass on what a copy lists.
        let is_certain = !is_copy && (!from_peer || now >= self.grace_end);
        for change in batch.changes.iter().filter(|c| c.topic == topic) {
            changed |= match topic {
                Topic::Rules => self.apply_rules(change),
                Topic::Targets => self.apply_target(now, change, from_peer, is_certain),
            };
        }
        let revision = self.revisions.entry(topic).or_default();
        *revision = batch.revision.max(*revision);
        changed
    }

    /// Removes the targets whose grace period has ended, and takes the platform's word again for runs that had ended.
    /// Returns whether the targets changed.
    pub fn tick(&mut self, now: clock::Millis) -> bool {
        // During an outage no target can be listed again.
        if self.outage_start.is_some() {
            return false;
        }
        let held_back = self.ended.len();
        self.ended.retain(|_, until| *until > now);
        let mut changed = self.ended.len() != held_back;
        for record in self.targets.values_mut() {
            if record.removal.is_some_and(|at| at <= now) {
                changed |= record.replace(now, None, true);
            }
        }
        self.targets
            .retain(|_, r| r.target.is_some() || now - r.changed_at < TOMBSTONE_SPAN);
        changed
    }

    /// Returns when [`Registry::tick`] next changes the targets; [`clock::Millis::MAX`] if no change is pending.
    pub fn next_deadline(&self) -> clock::Millis {
        let removals = self.targets.values().filter_map(|r| r.removal);
        let ended = self.ended.values().copied();
        removals.chain(ended).min().unwrap_or(clock::Millis::MAX)
    }

    /// Returns the bundle in force: the rules with the targets of their services. Returns `None` until both are known.
    pub fn bundle(&self) -> Option<sync::Arc<bundle::Bundle>> {
        self.revision(Topic::Targets)?;
        let mut bundle = self.rules.clone()?;
        let mut by_service = BTreeMap::<&str, Vec<_>>::new();
        for entry in self.targets.values().filter_map(|r| r.target.as_ref()) {
            let of_service = by_service.entry(&entry.service).or_default();
            let mut target = entry.target.clone();
            target.leaving |= self.ended.contains_key(&target.name);
            of_service.push(target);
        }
        for service in &mut bundle.services {
            service.targets = by_service.remove(service.name.as_str()).unwrap_or_default();
            // A platform's targets are never ejected, only avoided, which suffices to protect callers.
            service.floor = service.targets.len();
            let layout = Layout::new(&service.targets);
            service.cells = layout.shared_cells;
            service.parts = layout.domain_cells;
            // The configured burst is that of the whole service.
            service.retry.burst /= layout.total as f64;
        }
        Some(sync::Arc::new(bundle))
    }

    /// Returns at time `now` the changes after revision `since`, for a peer that knows everything up to it.
    pub fn updates_since(&self, now: clock::Millis, topic: Topic, since: u64) -> Batch {
        let known = self.revision(topic).unwrap_or_default();
        let newer = |revision: u64| revision > since;
        let changes = match topic {
            Topic::Rules => {
                let rules = self.rules.iter().filter(|_| newer(self.rules_revision));
                rules
                    .map(|r| Change {
                        topic,
                        key: String::new(),
                        revision: self.rules_revision,
                        item: Some(Item::Rules(Box::new(r.clone()))),
                        grace: clock::Millis::ZERO,
                    })
                    .collect()
            }
            Topic::Targets => {
                let records = self.targets.iter();
                let records = records.filter(|(_, r)| newer(r.revision));
                records
                    .map(|(key, record)| Change {
                        topic,
                        key: key.clone(),
                        revision: record.revision,
                        item: record.present_target().cloned().map(Item::Target),
                        grace: record.removal.unwrap_or(now) - now,
                    })
                    .collect()
            }
        };
        Batch {
            changes,
            revision: known,
            whole: false,
        }
    }

    fn apply_rules(&mut self, change: &Change) -> bool {
        let Some(Item::Rules(rules)) = &change.item else {
            log::warn!(mark = change.revision; "failed to read the rules; the rules in force stay");
            return false;
        };
        let held = self.rules_version();
        if rules.version < held {
            log::warn!(version = rules.version, held = held; "ignored rules of a lower version");
            return false;
        }
        self.rules_revision = self.rules_revision.max(change.revision);
        let changed = self.rules.as_ref() != Some(rules);
        self.routes
            .record(self.rules.as_ref(), rules, self.rules_revision);
        self.rules = Some((**rules).clone());
        changed
    }

    fn apply_target(
        &mut self,
        now: clock::Millis,
        change: &Change,
        from_peer: bool,
        is_certain: bool,
    ) -> bool {
        let held = self.targets.get(&change.key);
        // The peer may already have removed, by the same change, a target whose grace period still runs here.
        let confirms_removal =
            |r: &Record| from_peer && r.removal.is_some() && r.revision == change.revision;
        if held.is_some_and(|r| r.revision >= change.revision && !confirms_removal(r)) {
            return false;
        }
        let target = match &change.item {
            Some(Item::Target(target)) => usable_target(&change.key, target),
            Some(Item::Rules(_)) | None => None,
        };
        if target.is_none() {
            let grace = match from_peer {
                true => change.grace,
                false => self.grace(now),
            };
            return self.remove_target(now, &change.key, change.revision, grace);
        }
        // What a target has written itself since the restore counts at once.
        let run = target.as_ref().map(|t| &t.target.name);
        let is_back = is_certain && run.is_some_and(|run| self.ended.remove(run).is_some());
        let record = self.record(now, &change.key);
        record.revision = change.revision;
        record.replace(now, target, is_certain) || is_back
    }

    /// Returns the record under `key`, which is created without a target if there is none.
    fn record(&mut self, now: clock::Millis, key: &str) -> &mut Record {
        let record = self.targets.entry(key.to_owned());
        record.or_insert_with(|| Record {
            revision: 0,
            target: None,
            removal: None,
            changed_at: now,
            ended_runs: Vec::new(),
        })
    }

    /// Returns how long a target is kept that the platform no longer lists: the rest of the grace period after an
    /// outage.
    fn grace(&self, now: clock::Millis) -> clock::Millis {
        self.grace_end - now
    }

    /// Removes the target under `key` after `grace`, and returns whether that changes the targets at once.
    fn remove_target(
        &mut self,
        now: clock::Millis,
        key: &str,
        revision: u64,
        grace: clock::Millis,
    ) -> bool {
        let is_certain = now >= self.grace_end;
        let held = self.targets.get(key).and_then(|r| r.target.as_ref());
        let leaving =
            held.is_some_and(|t| t.target.leaving || self.ended.contains_key(&t.target.name));
        let record = self.record(now, key);
        record.revision = record.revision.max(revision);
        if grace > clock::Millis::ZERO && record.target.is_some() && !leaving {
            record.removal = Some(now + grace);
            return false;
        }
        record.replace(now, None, is_certain || leaving)
    }

    /// Removes the targets that a complete batch of the platform does not list.
    fn remove_unlisted(&mut self, now: clock::Millis, batch: &Batch) -> bool {
        let keys: BTreeSet<_> = batch.changes.iter().map(|c| &c.key).collect();
        let is_listed = |key: &String| keys.contains(key);
        let records = self.targets.iter();
        let missing = records.filter(|(key, r)| {
            r.target.is_some()
                && r.removal.is_none()
                && r.revision <= batch.revision
                && !is_listed(key)
        });
        let missing: Vec<_> = missing.map(|(key, _)| key.clone()).collect();
        let mut changed = false;
        let grace = self.grace(now);
        for key in missing {
            changed |= self.remove_target(now, &key, batch.revision, grace);
        }
        changed
    }
}

/// Returns the target unless its entry, which any writer may have left, states what no target has.
fn usable_target(key: &str, target: &ServiceTarget) -> Option<ServiceTarget> {
    let Some(problem) = target.target.problem() else {
        return Some(target.clone());
    };
    log::warn!(key = key, reason = problem; "ignored an invalid target");
    None
}
