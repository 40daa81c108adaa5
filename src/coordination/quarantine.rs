//! Quarantine of requests that crash the targets that run them.
//!
//! A cell's home records in its [`CrashHistory`] each connection that breaks during a request, and broadcasts the
//! fingerprint of a request once enough targets have crashed while they ran it. Entries and homes keep the fingerprints
//! that they receive in a [`Quarantine`], and refuse such requests.

use std::collections::BTreeMap;

use crate::state::clock;
use crate::state::ids;

/// How long requests with a quarantined fingerprint are refused.
pub const SPAN: clock::Millis = clock::Millis(300_000);
/// How long a fingerprint's crashes are remembered after the last one.
const CRASH_RETENTION: clock::Millis = clock::Millis(600_000);
/// The number of different targets that crash before a fingerprint is quarantined.
const MIN_TARGETS: usize = 2;
/// The same number if targets often break the connections of harmless requests: more targets than one request is sent
/// to, so that only a request that is sent again can be quarantined.
const MIN_TARGETS_NOISY: usize = 3;
/// The number of crashes in total, even of a single target, before a fingerprint is quarantined.
const MIN_REPEATS: u32 = 3;
/// The most fingerprints in one table; the one closest to expiry is evicted first.
const CAPACITY: usize = 4_096;

/// The quarantined fingerprints, each with the time until which it is refused.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    until: BTreeMap<ids::Fingerprint, clock::Millis>,
}

impl Quarantine {
    /// Quarantines `fingerprint` for `span` from `now`, at most for [`SPAN`], and returns whether it was not
    /// quarantined before.
    pub fn insert(
        &mut self,
        now: clock::Millis,
        fingerprint: ids::Fingerprint,
        span: clock::Millis,
    ) -> bool {
        self.until.retain(|_, until| *until > now);
        let until = now + span.min(SPAN);
        let known = self.until.get(&fingerprint).copied();
        self.until
            .insert(fingerprint, until.max(known.unwrap_or_default()));
        evict(&mut self.until, |until| *until);
        known.is_none()
    }

    /// Returns how long `fingerprint` remains quarantined, or `None` if it is not.
    pub fn remaining(
        &self,
        now: clock::Millis,
        fingerprint: ids::Fingerprint,
    ) -> Option<clock::Millis> {
        let until = *self.until.get(&fingerprint)?;
        (until > now).then(|| until - now)
    }
}

/// The crashes of targets while they ran requests with one fingerprint.
#[derive(Clone, Debug)]
struct Crashes {
    targets: Vec<String>,
    count: u32,
    last: clock::Millis,
}

/// The recent crashes by the fingerprint of the request that was running.
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    by_fingerprint: BTreeMap<ids::Fingerprint, Crashes>,
}

impl CrashHistory {
    /// Records a crash of `target`, and returns whether the fingerprint has to be quarantined. `noisy` states that
    /// targets often break the connections of harmless requests.
    ///
    /// If only one target crashed, the fingerprint is quarantined on the third crash: a target that breaks connections
    /// through its own fault must not cause the quarantine of ordinary requests.
    pub fn record_crash(
        &mut self,
        now: clock::Millis,
        fingerprint: ids::Fingerprint,
        target: &str,
        noisy: bool,
    ) -> bool {
        self.by_fingerprint
            .retain(|_, c| c.last + CRASH_RETENTION > now);
        let crashes = self
            .by_fingerprint
            .entry(fingerprint)
            .or_insert_with(|| Crashes {
                targets: Vec::new(),
                count: 0,
                last: now,
            });
        crashes.count += 1;
        crashes.last = now;
        if !crashes.targets.iter().any(|t| t == target) {
            crashes.targets.push(target.to_owned());
        }
        let min_targets = if noisy {
            MIN_TARGETS_NOISY
        } else {
            MIN_TARGETS
        };
        let must_quarantine = crashes.targets.len() >= min_targets || crashes.count >= MIN_REPEATS;
        evict(&mut self.by_fingerprint, |c| c.last);
        must_quarantine
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

    /// Clears the crashes of a fingerprint, because a request with it was answered.
    pub fn clear(&mut self, fingerprint: ids::Fingerprint) {
        self.by_fingerprint.remove(&fingerprint);
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
