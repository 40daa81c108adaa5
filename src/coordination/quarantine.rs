//! Quarantine of requests that crash the targets that run them.
//!
//! A cell's home records in its [`CrashHistory`] each connection that breaks during a request, and broadcasts the
//! fingerprint of a request once targets have crashed again and again while they ran it. Entries and homes keep the
//! fingerprints that they receive in a [`Quarantine`], and refuse such requests. After a quarantine, its fingerprint is
//! on probation: each cell runs one such request at a time, until one is answered or crashes its target.

use std::collections::{BTreeMap, BTreeSet};

use crate::state::clock;
use crate::state::ids;

/// How long requests with a quarantined fingerprint are refused: the first time, and after each crash on probation.
const SPANS: [clock::Millis; 3] = [clock::Millis(10_000), clock::Millis(60_000), MAX_SPAN];
/// The longest quarantine.
const MAX_SPAN: clock::Millis = clock::Millis(300_000);
/// How long a fingerprint stays on probation after its quarantine.
const PROBATION: clock::Millis = clock::Millis(600_000);
/// How long a fingerprint's crashes are remembered after the last one.
const CRASH_RETENTION: clock::Millis = clock::Millis(600_000);
/// The number of crashes, each of a different target, before a fingerprint is quarantined.
const MIN_TARGETS: usize = 2;
/// The same number if targets often break the connections of harmless requests: more targets than one request is sent
/// to, so that only a request that is sent again can be quarantined.
const MIN_TARGETS_NOISY: usize = 3;
/// The number of crashes in total, even of a single target, before a fingerprint is quarantined.
const MIN_REPEATS: usize = 3;
/// The most fingerprints in one table; the one closest to expiry is evicted first.
const CAPACITY: usize = 4_096;

/// When the quarantine of a fingerprint ends, and how long it lasts.
#[derive(Clone, Copy, Debug)]
struct Period {
    until: clock::Millis,
    span: clock::Millis,
}

/// The fingerprints that are quarantined or on probation.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    periods: BTreeMap<ids::Fingerprint, Period>,
}

impl Quarantine {
    /// Quarantines `fingerprint` for `span` from `now`, at most for [`MAX_SPAN`], and returns whether it was not
    /// quarantined before.
    pub fn insert(
        &mut self,
        now: clock::Millis,
        fingerprint: ids::Fingerprint,
        span: clock::Millis,
    ) -> bool {
        self.periods.retain(|_, p| p.until + PROBATION > now);
        let span = span.min(MAX_SPAN);
        let known = self.periods.get(&fingerprint).copied();
        let period = Period {
            until: (now + span).max(known.map_or(clock::Millis::ZERO, |k| k.until)),
            span: span.max(known.map_or(clock::Millis::ZERO, |k| k.span)),
        };
        self.periods.insert(fingerprint, period);
        evict(&mut self.periods, |p| p.until);
        known.is_none_or(|k| k.until <= now)
    }

    /// Returns how long `fingerprint` remains quarantined, or `None` if it is not.
    pub fn remaining(
        &self,
        now: clock::Millis,
        fingerprint: ids::Fingerprint,
    ) -> Option<clock::Millis> {
        let until = self.periods.get(&fingerprint)?.until;
        (until > now).then(|| until - now)
    }

    /// Returns since when `fingerprint` is on probation, or `None` if it is not.
    pub fn probation(
        &self,
        now: clock::Millis,
        fingerprint: ids::Fingerprint,
    ) -> Option<clock::Millis> {
        let until = self.periods.get(&fingerprint)?.until;
        (until <= now && until + PROBATION > now).then_some(until)
    }

    /// Ends the probation of `fingerprint`, because a request with it was answered; returns whether it was on probation.
    pub fn end_probation(&mut self, now: clock::Millis, fingerprint: ids::Fingerprint) -> bool {
        let is_on_probation = self.probation(now, fingerprint).is_some();
        if is_on_probation {
            self.periods.remove(&fingerprint);
        }
        is_on_probation
    }

    /// Returns how long the next quarantine of `fingerprint` lasts.
    pub fn next_span(&self, now: clock::Millis, fingerprint: ids::Fingerprint) -> clock::Millis {
        let known = self.periods.get(&fingerprint);
        let last = known.filter(|p| p.until + PROBATION > now).map(|p| p.span);
        let longer = SPANS
            .iter()
            .find(|span| last.is_none_or(|last| **span > last));
        longer.copied().unwrap_or(MAX_SPAN)
    }
}

/// A connection that broke while a target ran a request.
#[derive(Clone, Copy, Debug)]
pub struct Break<'a> {
    /// The fingerprint of the request.
    pub fingerprint: ids::Fingerprint,
    /// The name of the target.
    pub target: &'a str,
    /// When the target was granted to the request.
    pub granted: clock::Millis,
    /// Whether an earlier try of the same request broke too.
    pub repeated: bool,
    /// Whether targets often break the connections of harmless requests.
    pub noisy: bool,
}

/// The crashes of targets while they ran requests with one fingerprint, since one was last answered.
#[derive(Clone, Debug)]
struct Crashes {
    targets: Vec<String>,
    count: usize,
    last: clock::Millis,
}

/// The recent crashes by the fingerprint of the request that was running.
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    by_fingerprint: BTreeMap<ids::Fingerprint, Crashes>,
    answered: AnsweredSet,
}

impl CrashHistory {
    /// Records a broken connection, and returns whether its fingerprint has to be quarantined.
    ///
    /// Requests that were in flight together may break together for a reason that none of them causes: a crash of their
    /// target, a reset or a lost link. Such breaks count as one crash, so that only tries that follow each other add up.
    ///
    /// If only one target crashed, the fingerprint is quarantined on the third crash: a target that breaks connections
    /// through its own fault must not cause the quarantine of ordinary requests. The same number is required of a
    /// fingerprint whose requests were answered lately, since they do not crash every target that runs them.
    pub fn record_crash(&mut self, now: clock::Millis, broken: Break<'_>) -> bool {
        self.by_fingerprint
            .retain(|_, c| c.last + CRASH_RETENTION > now);
        let crashes = self
            .by_fingerprint
            .entry(broken.fingerprint)
            .or_insert_with(|| Crashes {
                targets: Vec::new(),
                count: 0,
                last: clock::Millis::ZERO,
            });
        if broken.repeated || broken.granted >= crashes.last {
            crashes.count += 1;
            crashes.last = now;
        }
        if !crashes.targets.iter().any(|t| t == broken.target) {
            crashes.targets.push(broken.target.to_owned());
        }
        let min_targets = match broken.noisy {
            true => MIN_TARGETS_NOISY,
            false => MIN_TARGETS,
        };
        let several = crashes.targets.len().min(crashes.count) >= min_targets;
        let must_quarantine = match self.answered.contains(broken.fingerprint) {
            true => crashes.count >= MIN_REPEATS,
            false => several || crashes.count >= MIN_REPEATS,
        };
        evict(&mut self.by_fingerprint, |c| c.last);
        must_quarantine
    }

    /// Returns the targets that crashed while they ran requests with this fingerprint, since one was last answered.
    pub fn targets(&self, fingerprint: ids::Fingerprint) -> &[String] {
        let crashes = self.by_fingerprint.get(&fingerprint);
        crashes.map_or(&[], |c| &c.targets)
    }

    /// Returns whether a target other than `target` recently crashed while it ran a request with this fingerprint.
    pub fn crashed_other(
        &self,
        now: clock::Millis,
        fingerprint: ids::Fingerprint,
        target: &str,
    ) -> bool {
        let crashed_elsewhere = |c: &Crashes| c.targets.iter().any(|t| t != target);
        self.by_fingerprint
            .get(&fingerprint)
            .is_some_and(|c| c.last + CRASH_RETENTION > now && crashed_elsewhere(c))
    }

    /// Records that a request with this fingerprint was answered, which clears its crashes.
    pub fn record_answer(&mut self, fingerprint: ids::Fingerprint) {
        self.by_fingerprint.remove(&fingerprint);
        self.answered.insert(fingerprint);
    }
}

/// The fingerprints of requests that were answered lately: at least the last [`CAPACITY`] different ones.
#[derive(Clone, Debug, Default)]
struct AnsweredSet {
    recent: BTreeSet<ids::Fingerprint>,
    older: BTreeSet<ids::Fingerprint>,
}

impl AnsweredSet {
    fn insert(&mut self, fingerprint: ids::Fingerprint) {
        self.recent.insert(fingerprint);
        if self.recent.len() >= CAPACITY {
            self.older = std::mem::take(&mut self.recent);
        }
    }

    fn contains(&self, fingerprint: ids::Fingerprint) -> bool {
        self.recent.contains(&fingerprint) || self.older.contains(&fingerprint)
    }
}

/// Removes the entry closest to expiry if there are more than [`CAPACITY`].
fn evict<V>(entries: &mut BTreeMap<ids::Fingerprint, V>, expiry: impl Fn(&V) -> clock::Millis) {
    if entries.len() <= CAPACITY {
        return;
    }
    let oldest = entries
        .iter()
        .min_by_key(|(_, v)| expiry(v))
        .map(|(f, _)| *f);
    if let Some(fingerprint) = oldest {
        entries.remove(&fingerprint);
    }
}
