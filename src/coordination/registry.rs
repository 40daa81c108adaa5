//! The registry: which rules and targets are in force, by what a platform and peers tell.
//!
//! [`crate::daemon::registry`] feeds it readings of [`crate::protocol::source`], from the platform itself or from peers
//! that reach it. Changes have one order, so it does not matter which way or how often one comes. Rules never fall back
//! to a lower version. A target that vanished while the platform was away is kept until the platform has been back for
//! long enough to hear of it again.

use std::collections::{BTreeMap, BTreeSet};
use std::sync;

use crate::protocol::source::{Change, Item, Reading, Told, Topic};
use crate::state::{bundle, clock};

/// How long after the platform's return a target that vanished meanwhile is kept. Live targets are listed again within
/// two seconds; the rest is for the way of that news.
const RETURN_GRACE: clock::Millis = clock::Millis(2_300);
/// How long the platform must have been away for targets to vanish though they live: less than any heartbeat.
const AWAY_SPAN: clock::Millis = clock::Millis(1_000);
/// How long a target that is gone is remembered, so that peers learn of it.
const GONE_SPAN: clock::Millis = clock::Millis(120_000);

/// The slots of targets that one cell holds: many, so that a request finds a free and sound target among them, and few
/// enough for the home's processor, at some requests a second for each slot.
const SLOTS_PER_CELL: usize = 96;

/// The slots that each failure domain must have for cells of its own: enough that a request finds a free and sound target
/// among them while a third of all targets are bad.
const SLOTS_PER_DOMAIN: usize = 24;

/// How a service's targets are dealt to cells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Layout {
    /// The cells of all failure domains together; absent where each domain has its own.
    cells: Option<usize>,
    /// The cells of each failure domain that has its own.
    parts: usize,
    /// All cells.
    total: usize,
}

impl Layout {
    /// Returns the layout for targets.
    ///
    /// Load pattern: many small requests with long answers between failure domains that are priced or slow. Where each
    /// domain has enough targets, requests stay within it unless it is overfull.
    fn new(targets: &[bundle::Target]) -> Layout {
        let mut slots = BTreeMap::<&str, usize>::new();
        for target in targets {
            *slots.entry(&target.domain).or_default() += target.slots;
        }
        let least = slots.values().copied().min().unwrap_or_default();
        if slots.len() > 1 && least >= SLOTS_PER_DOMAIN {
            let most = slots.values().copied().max().unwrap_or_default();
            let parts = cells_for(most);
            return Layout {
                cells: None,
                parts,
                total: parts * slots.len(),
            };
        }
        let total = cells_for(slots.values().sum());
        Layout {
            cells: Some(total),
            parts: 1,
            total,
        }
    }
}

/// Returns the number of cells for slots; powers of two, so that it seldom changes as targets come and go.
fn cells_for(slots: usize) -> usize {
    slots.div_ceil(SLOTS_PER_CELL).next_power_of_two()
}

/// What stands under one key of the targets.
#[derive(Clone, Debug)]
struct Slot {
    mark: u64,
    told: Option<Told>,
    /// When a target that vanished is to be taken as gone.
    doomed: Option<clock::Millis>,
    /// When it was told of last.
    since: clock::Millis,
}

impl Slot {
    /// Returns the target unless it has vanished.
    fn standing(&self) -> Option<&Told> {
        self.told.as_ref().filter(|_| self.doomed.is_none())
    }
}

/// What is known of the platform's rules and targets.
#[derive(Debug, Default)]
pub struct Registry {
    rules: Option<bundle::Bundle>,
    rules_mark: u64,
    targets: BTreeMap<String, Slot>,
    /// The place in the order of changes up to which each topic is known.
    marks: BTreeMap<Topic, u64>,
    /// Since when the platform does not answer.
    away: Option<clock::Millis>,
    /// Until when targets that vanish are kept for a while.
    settling: clock::Millis,
}

impl Registry {
    /// Returns the place in the order of changes up to which `topic` is known; absent before the first reading.
    pub fn mark(&self, topic: Topic) -> Option<u64> {
        self.marks.get(&topic).copied()
    }

    /// Notes that the platform does not answer.
    pub fn record_outage(&mut self, now: clock::Millis) {
        self.away.get_or_insert(now);
    }

    /// Notes that the platform answers; returns how long it did not.
    pub fn record_recovery(&mut self, now: clock::Millis) -> Option<clock::Millis> {
        let away = now - self.away.take()?;
        if away >= AWAY_SPAN {
            self.settling = now + RETURN_GRACE;
            let doomed = self.targets.values_mut().filter(|s| s.doomed.is_some());
            doomed.for_each(|s| s.doomed = Some(now + RETURN_GRACE));
        }
        Some(away)
    }

    /// Takes in a reading of one topic from the platform; returns whether rules or targets are others now.
    pub fn apply(&mut self, now: clock::Millis, topic: Topic, reading: &Reading) -> bool {
        self.take_from(now, topic, reading, false)
    }

    /// Takes in what a peer knows of one topic; returns whether rules or targets are others now.
    ///
    /// A peer tells of a target that vanished how long it keeps it, which holds here too.
    pub fn apply_peer(&mut self, now: clock::Millis, topic: Topic, reading: &Reading) -> bool {
        self.take_from(now, topic, reading, true)
    }

    fn take_from(
        &mut self,
        now: clock::Millis,
        topic: Topic,
        reading: &Reading,
        settled: bool,
    ) -> bool {
        let mut changed = false;
        if reading.whole && topic == Topic::Targets {
            changed |= self.drop_unnamed(now, reading);
        }
        for change in reading.changes.iter().filter(|c| c.topic == topic) {
            changed |= match topic {
                Topic::Rules => self.take_rules(change),
                Topic::Targets => self.take_target(now, change, settled),
            };
        }
        let mark = self.marks.entry(topic).or_default();
        *mark = reading.mark.max(*mark);
        changed
    }

    /// Does what is due by time; returns whether targets are others now.
    pub fn tick(&mut self, now: clock::Millis) -> bool {
        // While the platform is away, nothing can be listed again.
        if self.away.is_some() {
            return false;
        }
        let mut changed = false;
        for slot in self.targets.values_mut() {
            if slot.doomed.is_some_and(|at| at <= now) {
                slot.doomed = None;
                slot.told = None;
                slot.since = now;
                changed = true;
            }
        }
        self.targets
            .retain(|_, s| s.told.is_some() || now - s.since < GONE_SPAN);
        changed
    }

    /// Returns when [`Registry::tick`] has something to do; never where nothing is due.
    pub fn next_deadline(&self) -> clock::Millis {
        let dooms = self.targets.values().filter_map(|s| s.doomed);
        dooms.min().unwrap_or(clock::Millis::MAX)
    }

    /// Returns the bundle in force: the rules with the targets of their services. Absent until both are known.
    pub fn bundle(&self) -> Option<sync::Arc<bundle::Bundle>> {
        self.mark(Topic::Targets)?;
        let mut bundle = self.rules.clone()?;
        let mut told = BTreeMap::<&str, Vec<_>>::new();
        for one in self.targets.values().filter_map(|s| s.told.as_ref()) {
            let of_service = told.entry(&one.service).or_default();
            of_service.push(one.target.clone());
        }
        for service in &mut bundle.services {
            service.targets = told.remove(service.name.as_str()).unwrap_or_default();
            // Avoiding protects callers of a platform's targets; none is taken out of service as a whole.
            service.floor = service.targets.len();
            let layout = Layout::new(&service.targets);
            service.cells = layout.cells;
            service.parts = layout.parts;
            // The burst is the whole service's.
            service.retry.burst /= layout.total as f64;
        }
        Some(sync::Arc::new(bundle))
    }

    /// Returns at time `now` what a peer misses that knows everything up to `mark`.
    pub fn updates_since(&self, now: clock::Millis, topic: Topic, mark: u64) -> Reading {
        let known = self.mark(topic).unwrap_or_default();
        let newer = |slot_mark: u64| slot_mark > mark;
        let changes = match topic {
            Topic::Rules => {
                let rules = self.rules.iter().filter(|_| newer(self.rules_mark));
                rules
                    .map(|r| Change {
                        topic,
                        key: String::new(),
                        mark: self.rules_mark,
                        item: Some(Item::Rules(Box::new(r.clone()))),
                        grace: clock::Millis::ZERO,
                    })
                    .collect()
            }
            Topic::Targets => {
                let slots = self.targets.iter();
                let slots = slots.filter(|(_, s)| newer(s.mark));
                slots
                    .map(|(key, slot)| Change {
                        topic,
                        key: key.clone(),
                        mark: slot.mark,
                        item: slot.standing().cloned().map(Item::Target),
                        grace: slot.doomed.unwrap_or(now) - now,
                    })
                    .collect()
            }
        };
        Reading {
            changes,
            mark: known,
            whole: false,
        }
    }

    fn take_rules(&mut self, change: &Change) -> bool {
        let Some(Item::Rules(rules)) = &change.item else {
            log::warn!(mark = change.mark; "the rules can't be read; those in force stay");
            return false;
        };
        let held = self.rules.as_ref().map_or(0, |r| r.version);
        if rules.version < held {
            log::warn!(version = rules.version, held = held; "rules of a lower version are not taken");
            return false;
        }
        self.rules_mark = self.rules_mark.max(change.mark);
        let changed = self.rules.as_ref() != Some(rules);
        self.rules = Some((**rules).clone());
        changed
    }

    fn take_target(&mut self, now: clock::Millis, change: &Change, settled: bool) -> bool {
        let held = self.targets.get(&change.key);
        // A target in its grace here may be gone for the peer, by the same change.
        let confirms = |s: &Slot| settled && s.doomed.is_some() && s.mark == change.mark;
        if held.is_some_and(|s| s.mark >= change.mark && !confirms(s)) {
            return false;
        }
        let told = match &change.item {
            Some(Item::Target(told)) => Some(told.clone()),
            Some(Item::Rules(_)) | None => None,
        };
        if told.is_none() {
            let grace = match settled {
                true => change.grace,
                false => self.grace(now),
            };
            return self.vanish(now, &change.key, change.mark, grace);
        }
        let changed = held.and_then(|s| s.told.as_ref()) != told.as_ref();
        let slot = Slot {
            mark: change.mark,
            told,
            doomed: None,
            since: now,
        };
        self.targets.insert(change.key.clone(), slot);
        changed
    }

    /// Returns how long a target is kept that the platform tells of as vanished: until the platform has been back for long
    /// enough.
    fn grace(&self, now: clock::Millis) -> clock::Millis {
        self.settling - now
    }

    /// Takes in that nothing stands under a key; returns whether that changes the targets at once.
    fn vanish(&mut self, now: clock::Millis, key: &str, mark: u64, grace: clock::Millis) -> bool {
        let slot = self.targets.entry(key.to_owned()).or_insert(Slot {
            mark,
            told: None,
            doomed: None,
            since: now,
        });
        slot.mark = slot.mark.max(mark);
        let leaves = slot.told.as_ref().is_some_and(|t| t.target.leaving);
        if grace > clock::Millis::ZERO && slot.told.is_some() && !leaves {
            slot.doomed = Some(now + grace);
            return false;
        }
        slot.doomed = None;
        slot.since = now;
        slot.told.take().is_some()
    }

    /// Takes targets as vanished that a whole reading of the platform does not name.
    fn drop_unnamed(&mut self, now: clock::Millis, reading: &Reading) -> bool {
        let keys: BTreeSet<_> = reading.changes.iter().map(|c| &c.key).collect();
        let named = |key: &String| keys.contains(key);
        let slots = self.targets.iter();
        let missing = slots.filter(|(key, s)| {
            s.told.is_some() && s.doomed.is_none() && s.mark <= reading.mark && !named(key)
        });
        let missing: Vec<_> = missing.map(|(key, _)| key.clone()).collect();
        let mut changed = false;
        let grace = self.grace(now);
        for key in missing {
            changed |= self.vanish(now, &key, reading.mark, grace);
        }
        changed
    }
}
