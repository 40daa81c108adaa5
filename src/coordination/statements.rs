//! What targets state in their responses about the requests that they accept, as entries know it.
//!
//! A target may state a rate limit, that it is leaving, or that it accepts no requests from one daemon for some time.
//! Entries receive the responses: they report each [`peer::Statement`] to the home with the outcome of the try, and keep
//! the latest ones ([`KnownTargets`]) to send them along with their requests. So a home that is new, or starts again,
//! knows of a statement from the first request of any entry that received it.
//!
//! A pause binds the daemon that received it, and a target that is leaving gets no request from a daemon that passed
//! this on, whatever a home knows. So the entry also checks each grant, and returns one that it does not use.

use std::collections::BTreeMap;

use crate::protocol::peer;
use crate::state::clock;

/// How long a rate limit is kept without another response from the target.
const LIMIT_SPAN: clock::Millis = clock::Millis(60_000);
/// The most targets that are kept; the one whose last statement is oldest is dropped.
const MAX_TARGETS: usize = 4_096;

/// What one entry knows of targets from their statements, by target.
///
/// A target's name identifies one start of it, so what it stated ends with it.
#[derive(Debug, Default)]
pub struct KnownTargets {
    targets: BTreeMap<String, Known>,
}

/// What is known of one target.
#[derive(Debug, Default)]
struct Known {
    /// The rate in requests per second, and when it was stated.
    limit: Option<(f64, clock::Millis)>,
    leaving: bool,
    paused_until: clock::Millis,
    stated_at: clock::Millis,
}

impl Known {
    /// Returns whether it still restricts the requests to the target.
    fn is_relevant(&self, now: clock::Millis) -> bool {
        self.leaving || self.paused_until > now || self.limit(now).is_some()
    }

    fn limit(&self, now: clock::Millis) -> Option<peer::KnownLimit> {
        let (rate, stated) = self.limit?;
        let age = now - stated;
        (age <= LIMIT_SPAN).then_some(peer::KnownLimit { rate, age })
    }
}

impl KnownTargets {
    /// Records what a response of `target` states, and returns whether that differs from what was known.
    ///
    /// A limit ends with a response that states none; a pause only ends by itself, and a target never ceases to leave.
    pub fn record(
        &mut self,
        now: clock::Millis,
        target: &str,
        statement: &peer::Statement,
    ) -> bool {
        if *statement == peer::Statement::default() && !self.targets.contains_key(target) {
            return false;
        }
        let known = self.targets.entry(target.to_owned()).or_default();
        let limit = match statement.limit {
            peer::RateLimit::None => None,
            peer::RateLimit::PerSecond(rate) => Some((rate, now)),
        };
        let rate = |limit: Option<(f64, clock::Millis)>| limit.map(|(rate, _)| rate);
        let changed = rate(known.limit) != rate(limit)
            || (statement.leaving && !known.leaving)
            || (statement.pause > clock::Millis::ZERO && known.paused_until <= now);
        known.limit = limit;
        known.leaving |= statement.leaving;
        known.paused_until = known.paused_until.max(now + statement.pause);
        known.stated_at = now;
        if !known.is_relevant(now) {
            self.targets.remove(target);
        }
        if self.targets.len() > MAX_TARGETS {
            self.shrink(now);
        }
        changed
    }

    /// Returns whether the target accepts requests from this entry, apart from its rate limit.
    pub fn accepts(&self, now: clock::Millis, target: &str) -> bool {
        let known = self.targets.get(target);
        known.is_none_or(|k| !k.leaving && k.paused_until <= now)
    }

    /// Returns what is known of those of the given targets that restrict requests.
    pub fn of<'a>(
        &self,
        now: clock::Millis,
        targets: impl Iterator<Item = &'a str>,
    ) -> Vec<peer::KnownTarget> {
        if self.targets.is_empty() {
            return Vec::new();
        }
        let known = targets.filter_map(|target| {
            let known = self.targets.get(target)?;
            known.is_relevant(now).then(|| peer::KnownTarget {
                target: target.to_owned(),
                limit: known.limit(now),
                leaving: known.leaving,
                pause: known.paused_until - now,
            })
        });
        known.collect()
    }

    /// Drops what no longer restricts requests, and then the target whose last statement is oldest.
    fn shrink(&mut self, now: clock::Millis) {
        self.targets.retain(|_, known| known.is_relevant(now));
        if self.targets.len() <= MAX_TARGETS {
            return;
        }
        let oldest = self.targets.iter().min_by_key(|(_, known)| known.stated_at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.targets.remove(&name);
        }
    }
}
