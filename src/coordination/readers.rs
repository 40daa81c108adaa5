//! Selection of the source from which a daemon polls updates: the platform, its failure domain's reader or another
//! peer.
//!
//! The reader is the one daemon of each failure domain that polls the platform. All other daemons of the domain poll
//! the reader, so the number of calls to the platform does not grow with the fleet. The reader is the alive daemon that
//! ranks first by hash, without an election: while membership views differ there are two, which only costs calls. A
//! daemon whose reader does not answer, or whose reader has lost the platform, polls the reader of another failure
//! domain for a while, and the platform itself only if that one fails too. If the platform does not answer either, it
//! polls any other daemon.
//!
//! Load pattern: the platform turns some daemons away, readers among them. If all daemons of their failure domains polled
//! the platform instead, its calls would grow with the fleet just while it is in trouble.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::{homes, member, random};
use crate::state::clock;

/// How long the platform or a peer may hold a poll until a change arrives. A failed source goes unnoticed for this
/// long.
pub const LONG_POLL: clock::Millis = clock::Millis(700);
/// A peer's updates count as fresh for this long after the platform last answered the peer: one long poll plus a slow
/// answer.
pub const FRESH_SPAN: clock::Millis = clock::Millis(1_100);
/// How long a peer that failed or was stale is not polled.
const STALE_PEER_SPAN: clock::Millis = clock::Millis(3_000);
/// The backoff after the platform first fails to answer; doubles with each further failure.
const INITIAL_BACKOFF: clock::Millis = clock::Millis(100);
/// The longest backoff after the platform failed to answer.
const MAX_BACKOFF: clock::Millis = clock::Millis(800);
/// The time after the start in which a daemon knows too few others to rely on a reader. It reads the platform once
/// itself, so that it can serve at once, and does not keep polling: each change in this time would cost one call per
/// daemon.
const STARTUP_SPAN: clock::Millis = clock::Millis(700);

/// The shortest time for which a poll asks a peer to wait.
const MIN_PEER_WAIT: clock::Millis = clock::Millis(50);

/// The shortest time between two reads of the list of hosts by one daemon.
const HOSTS_INTERVAL: clock::Millis = clock::Millis(30_000);
/// The time between two reads of the list of hosts by any daemon of a large fleet.
const HOSTS_SPACING: clock::Millis = clock::Millis(1_000);

/// Returns the time between two reads of the list of hosts by one of `daemons` that see each other.
///
/// One daemon that reads of another tells the rest, so the fleet's reads need not grow with the fleet.
pub fn hosts_interval(daemons: usize) -> clock::Millis {
    HOSTS_INTERVAL.max(clock::Millis(HOSTS_SPACING.0 * daemons as u64))
}

/// Returns the longest time by which a daemon that polls a peer can lag behind, if its own path to the platform works:
/// the reply that shows that the peer is stale arrives at most [`MIN_PEER_WAIT`] after [`FRESH_SPAN`].
pub fn max_staleness() -> clock::Millis {
    FRESH_SPAN + MIN_PEER_WAIT
}

/// Returns how long a peer may hold a poll, for a daemon whose updates have the given age; absent if that is unknown.
///
/// If the platform does not answer the peer meanwhile, the reply comes when the updates stop being fresh.
pub fn peer_poll_wait(age: Option<clock::Millis>) -> clock::Millis {
    let left = FRESH_SPAN - age.unwrap_or_default();
    left.clamp(MIN_PEER_WAIT, LONG_POLL)
}

/// The source of the next updates, or the time until which none is polled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// Poll the platform.
    Platform,
    /// Poll the daemon of this name.
    Peer(String),
    /// Wait until this time.
    Wait(clock::Millis),
}

/// Selects the source from which one daemon polls updates.
#[derive(Debug)]
pub struct SourceSelector {
    name: String,
    domain: String,
    start: clock::Millis,
    /// Whether the platform has answered at least once.
    has_read: bool,
    /// The peers that are not polled, each until a time.
    stale_peers: BTreeMap<String, clock::Millis>,
    /// When the platform may be polled again.
    platform_retry_at: clock::Millis,
    /// The backoff after the platform's next failure.
    backoff: clock::Millis,
    random: random::Random,
}

impl SourceSelector {
    /// Creates the selector of the daemon `name` in the failure domain `domain`, which starts at `now`.
    pub fn new(now: clock::Millis, name: &str, domain: &str) -> SourceSelector {
        SourceSelector {
            name: name.to_owned(),
            domain: domain.to_owned(),
            start: now,
            has_read: false,
            stale_peers: BTreeMap::new(),
            platform_retry_at: clock::Millis::ZERO,
            backoff: INITIAL_BACKOFF,
            random: random::Random::new(homes::hash(&["readers", name])),
        }
    }

    /// Returns the source to poll next.
    pub fn next_source(&mut self, now: clock::Millis, view: &member::View) -> Source {
        self.stale_peers.retain(|_, until| *until > now);
        let reader = reader(&self.domain, view);
        let reads_itself = reader.is_none_or(|r| r == self.name);
        let started = now - self.start >= STARTUP_SPAN;
        let usable = |r: &&str| started && *r != self.name && !self.stale_peers.contains_key(*r);
        if let Some(reader) = reader.filter(usable) {
            return Source::Peer(reader.to_owned());
        }
        let other = self.other_reader(view).filter(usable);
        if let Some(other) = other.filter(|_| !reads_itself) {
            return Source::Peer(other.to_owned());
        }
        if !started && self.has_read {
            return Source::Wait(self.start + STARTUP_SPAN);
        }
        if self.platform_retry_at <= now {
            return Source::Platform;
        }
        if let Some(other) = other {
            return Source::Peer(other.to_owned());
        }
        self.random_peer(view)
            .map_or(Source::Wait(self.platform_retry_at), Source::Peer)
    }

    /// Returns whether this daemon polls the platform for others: it is the reader of its failure domain.
    pub fn is_reader(&self, view: &member::View) -> bool {
        view.members.len() > 1 && reader(&self.domain, view) == Some(&self.name)
    }

    /// Records that `peer` did not answer, or that its updates were stale.
    pub fn record_stale_peer(&mut self, now: clock::Millis, peer: &str) {
        self.stale_peers
            .insert(peer.to_owned(), now + STALE_PEER_SPAN);
    }

    /// Records whether the platform answered a poll.
    pub fn record_platform(&mut self, now: clock::Millis, answered: bool) {
        self.has_read |= answered;
        if answered {
            self.platform_retry_at = clock::Millis::ZERO;
            self.backoff = INITIAL_BACKOFF;
            return;
        }
        self.platform_retry_at = now + self.backoff;
        self.backoff = clock::Millis(self.backoff.0 * 2).min(MAX_BACKOFF);
    }

    /// Returns the reader of another failure domain. Daemons of one failure domain choose different ones.
    fn other_reader<'a>(&self, view: &'a member::View) -> Option<&'a str> {
        let domains: BTreeSet<_> = view.members.values().map(|m| m.domain.as_str()).collect();
        let others = domains.into_iter().filter(|d| *d != self.domain);
        let rank = |domain: &&str| homes::hash(&["other reader", domain, &self.name]);
        reader(others.max_by_key(rank)?, view)
    }

    /// Returns a random other daemon that is alive and not stale.
    fn random_peer(&mut self, view: &member::View) -> Option<String> {
        let members = view.members.iter();
        let candidates = members.filter(|(name, m)| {
            **name != self.name
                && m.liveness == member::Liveness::Alive
                && !self.stale_peers.contains_key(*name)
        });
        let candidates: Vec<_> = candidates.map(|(name, _)| name).collect();
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[self.random.index(candidates.len())].clone())
    }
}

/// Returns the daemon that polls the platform for a failure domain.
fn reader<'a>(domain: &str, view: &'a member::View) -> Option<&'a str> {
    let members = view.members.iter();
    let candidates =
        members.filter(|(_, m)| m.domain == domain && m.liveness == member::Liveness::Alive);
    let rank = |name: &str| homes::hash(&["reader", domain, name]);
    candidates
        .map(|(name, _)| name.as_str())
        .max_by_key(|n| rank(n))
}
