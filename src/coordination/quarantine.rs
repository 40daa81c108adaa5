//! Quarantine of requests that crash the targets that run them.
//!
//! A cell's home counts [`CrashHistory`] where connections die during a request, and tells the fleet of the second one.
//! Entries and homes keep what they were told in a [`Quarantine`].

use std::collections::BTreeMap;

use crate::state::clock;
use crate::state::ids;

/// How long a fingerprint that crashed targets is refused.
pub const SPAN: clock::Millis = clock::Millis(300_000);
/// How long one strike is remembered.
const STRIKE_SPAN: clock::Millis = clock::Millis(600_000);
/// The targets that a request crashes before it is quarantined.
const TARGETS: usize = 2;
/// The same where sound requests are broken often: more targets than one request is sent to, so that only one that comes
/// again is quarantined.
const TARGETS_OF_MANY: usize = 3;
/// The crashes of one and the same target before the request is quarantined.
const REPEATS: u32 = 3;
/// The fingerprints that one table holds; the ones closest to expiry give way.
const CAPACITY: usize = 4_096;

/// The fingerprints that are refused, each until a time.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    until: BTreeMap<ids::Fingerprint, clock::Millis>,
}

impl Quarantine {
    /// Refuses `fingerprint` for `span` from `now` on; returns whether that is news.
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

    /// Returns how long `fingerprint` stays refused; absent where it is not.
    pub fn remaining(
        &self,
        now: clock::Millis,
        fingerprint: ids::Fingerprint,
    ) -> Option<clock::Millis> {
        let until = *self.until.get(&fingerprint)?;
        (until > now).then(|| until - now)
    }
}

/// The crashes that requests of one fingerprint were part of.
#[derive(Clone, Debug)]
struct Strike {
    targets: Vec<String>,
    count: u32,
    last: clock::Millis,
}

/// The fingerprints whose requests were running when a target broke their connection.
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    by_print: BTreeMap<ids::Fingerprint, Strike>,
}

impl CrashHistory {
    /// Counts a crash of `target`; returns whether the fingerprint is to be quarantined. `noisy` tells that targets break
    /// the connections of sound requests often.
    ///
    /// Crashes of one target alone need a third strike: a target that breaks connections by its own fault must not bring
    /// ordinary requests into quarantine.
    pub fn record_crash(
        &mut self,
        now: clock::Millis,
        fingerprint: ids::Fingerprint,
        target: &str,
        noisy: bool,
    ) -> bool {
        self.by_print.retain(|_, s| s.last + STRIKE_SPAN > now);
        let strike = self.by_print.entry(fingerprint).or_insert_with(|| Strike {
            targets: Vec::new(),
            count: 0,
            last: now,
        });
        strike.count += 1;
        strike.last = now;
        if !strike.targets.iter().any(|t| t == target) {
            strike.targets.push(target.to_owned());
        }
        let targets = if noisy { TARGETS_OF_MANY } else { TARGETS };
        let guilty = strike.targets.len() >= targets || strike.count >= REPEATS;
        evict(&mut self.by_print, |s| s.last);
        guilty
    }

    /// Returns whether a request of this fingerprint was part of a crash of a target other than `target`.
    pub fn crashed_other(
        &self,
        now: clock::Millis,
        fingerprint: ids::Fingerprint,
        target: &str,
    ) -> bool {
        let elsewhere = |s: &Strike| s.targets.iter().any(|t| t != target);
        self.by_print
            .get(&fingerprint)
            .is_some_and(|s| s.last + STRIKE_SPAN > now && elsewhere(s))
    }

    /// Forgets a fingerprint whose request was answered.
    pub fn clear(&mut self, fingerprint: ids::Fingerprint) {
        self.by_print.remove(&fingerprint);
    }
}

fn evict<V>(table: &mut BTreeMap<ids::Fingerprint, V>, expiry: impl Fn(&V) -> clock::Millis) {
    if table.len() <= CAPACITY {
        return;
    }
    let oldest = table.iter().min_by_key(|(_, v)| expiry(v)).map(|(f, _)| *f);
    if let Some(fingerprint) = oldest {
        table.remove(&fingerprint);
    }
}
