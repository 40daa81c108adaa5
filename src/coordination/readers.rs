//! Selection of the source from which a daemon polls updates: the platform, its failure domain's reader or another
//! peer.
//!
//! Each failure domain has one reader, which all other daemons of the domain poll. The readers of [`PRIMARIES`] failure
//! domains poll the platform; the other readers poll one of them. So the number of calls to the platform grows neither
//! with the fleet nor with its failure domains. The reader is the alive daemon that ranks first by hash, without an
//! election: while membership views differ there are more, which only costs calls. A daemon whose reader does not
//! answer, or whose reader has lost the platform, polls the reader of another failure domain for a while, and the
//! platform itself only if that one fails too. If the platform does not answer either, it polls any other daemon.
//!
//! A daemon that starts receives rules and targets from a peer that the platform answers, and reads the platform only if
//! it finds none in time. See `docs/design/store-calls.md`.
//!
//! Load pattern: the platform turns some daemons away, readers among them. If all daemons of their failure domains polled
//! the platform instead, its calls would grow with the fleet just while it is in trouble.

use std::cmp;
use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::{homes, member, random};
use crate::state::clock;

/// How long the platform may hold a poll until a change arrives. A platform that fails goes unnoticed for this long.
pub const LONG_POLL: clock::Millis = clock::Millis(700);
/// How long a peer may hold a poll: longer than the platform holds those of the peer, so that the peer replies with what
/// the platform has just told it.
pub const PEER_POLL: clock::Millis = REPLY_AGE;
/// A peer that holds a poll replies once the platform has answered it this much later than before.
pub const REFRESH_STEP: clock::Millis = clock::Millis(500);
/// A peer's updates count as fresh for this long after the platform last answered the peer: one long poll plus a slow
/// answer.
pub const FRESH_SPAN: clock::Millis = clock::Millis(1_050);
/// The same for a daemon that polls the reader of its failure domain, which may itself poll another reader: the reader
/// needs some time to poll another source once its own updates are old.
pub const RELAYED_FRESH_SPAN: clock::Millis = clock::Millis(1_450);
/// The age of the updates at which the next reply is due, if the source holds polls: before another source is polled.
const REPLY_AGE: clock::Millis = clock::Millis(800);
/// The failure domains whose readers poll the platform: one more than needed, so that the loss of one costs no time.
const PRIMARIES: usize = 2;
/// The readers of other failure domains that a daemon polls before the platform: one may fail with its own reader.
const CHOICES: usize = 2;
/// How long a peer that was stale is not polled.
const STALE_PEER_SPAN: clock::Millis = clock::Millis(3_000);
/// How long a peer that did not reply in time is not polled: short, since a daemon that finds no other one polls the
/// platform meanwhile, and a peer that is only slow for a moment is back soon.
const LATE_PEER_SPAN: clock::Millis = clock::Millis(1_000);
/// The backoff after the platform first fails to answer; grows with each further failure.
const INITIAL_BACKOFF: clock::Millis = clock::Millis(100);
/// The longest backoff of a reader after the platform failed to answer.
const MAX_BACKOFF: clock::Millis = clock::Millis(800);
/// The same for other daemons, which meanwhile poll peers and so learn from a reader that the platform is back.
const MAX_FALLBACK_BACKOFF: clock::Millis = clock::Millis(3_200);
/// The time after the start in which a daemon knows too few others to rely on a reader. It obtains rules and targets
/// once and does not keep polling: each change in this time would cost one call per daemon.
const STARTUP_SPAN: clock::Millis = clock::Millis(700);
/// The time after the start in which a daemon does not count as a reader, since its view of the others is incomplete.
const SETTLE_SPAN: clock::Millis = clock::Millis(120);
/// The time after the start in which a daemon obtains rules and targets only from peers. It is ready later by up to this
/// time if no peer has any; a longer time would cost callers more than the calls do.
const PEER_SPAN: clock::Millis = clock::Millis(250);
/// How long a peer that has no data yet may hold the poll of a daemon that starts.
pub const PEER_START_WAIT: clock::Millis = clock::Millis(60);
/// The time between two looks for a peer within [`PEER_SPAN`], and for which a peer without data is not asked again.
pub const PEER_INTERVAL: clock::Millis = clock::Millis(20);

/// The shortest time for which a poll asks the platform or a peer to wait.
const MIN_POLL_WAIT: clock::Millis = clock::Millis(50);

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

/// Returns how long the platform may hold a poll at `now` of a topic that it last answered at an age, if it did.
///
/// The polls of all topics end at the same multiples of [`LONG_POLL`], since the updates are as old as those of the
/// topic that was answered first.
pub fn platform_poll_wait(now: clock::Millis, age: Option<clock::Millis>) -> clock::Millis {
    let end = LONG_POLL - clock::Millis(now.0 % LONG_POLL.0);
    let left = REPLY_AGE - age.unwrap_or_default();
    left.min(end).clamp(MIN_POLL_WAIT, LONG_POLL)
}

/// Returns how long a peer may hold a poll, for a daemon whose updates have the given age, absent if that is unknown.
pub fn peer_poll_wait(age: Option<clock::Millis>) -> clock::Millis {
    let left = REPLY_AGE - age.unwrap_or_default();
    left.clamp(MIN_POLL_WAIT, PEER_POLL)
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
    /// Whether rules and targets were obtained at least once, from the platform or from a peer that it answers.
    has_read: bool,
    /// Whether the platform has failed to answer since the start.
    has_failed: bool,
    /// The peers that are not polled, each until a time.
    stale_peers: BTreeMap<String, clock::Millis>,
    /// When the platform may be polled again.
    platform_retry_at: clock::Millis,
    /// Whether this daemon was the reader of its failure domain when it last selected a source.
    was_reader: bool,
    /// The backoff after the platform's next failure.
    backoff: clock::Millis,
    /// The number of readers that were selected beside the source, which selects the next one.
    extra_polls: usize,
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
            has_failed: false,
            stale_peers: BTreeMap::new(),
            platform_retry_at: clock::Millis::ZERO,
            was_reader: false,
            backoff: INITIAL_BACKOFF,
            extra_polls: 0,
            random: random::Random::new(homes::hash(&["readers", name])),
        }
    }

    /// Returns the source to poll next.
    pub fn next_source(&mut self, now: clock::Millis, view: &member::View) -> Source {
        self.stale_peers.retain(|_, until| *until > now);
        let reader = reader(&self.domain, view);
        let reads_itself = reader.is_none_or(|r| r == self.name);
        self.was_reader = reads_itself;
        let age = now - self.start;
        let started = age >= STARTUP_SPAN;
        if !started && self.has_read {
            return Source::Wait(self.start + STARTUP_SPAN);
        }
        let asks_peers = started || age < PEER_SPAN;
        let usable = |r: &&str| asks_peers && *r != self.name && !self.stale_peers.contains_key(*r);
        if let Some(reader) = reader.filter(usable) {
            return Source::Peer(reader.to_owned());
        }
        let is_primary = reads_itself && self.is_primary(view);
        let mut others = self.other_readers(view).into_iter().filter(usable);
        let other = others.next();
        if let Some(other) = other.filter(|_| !is_primary || !started) {
            return Source::Peer(other.to_owned());
        }
        let waits = if reads_itself && view.members.len() > 1 {
            age < SETTLE_SPAN
        } else {
            age < PEER_SPAN
        };
        if waits && !self.has_failed {
            return Source::Wait(now + PEER_INTERVAL);
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

    /// Returns whether other daemons poll this one: it is the reader of its failure domain.
    pub fn is_reader(&self, view: &member::View) -> bool {
        view.members.len() > 1 && reader(&self.domain, view) == Some(&self.name)
    }

    /// Returns a reader to poll beside `source`, whose reply is late; any other daemon if there is no other reader.
    /// Each call selects the next one. Readers that were not stale lately go first.
    ///
    /// A reader selects those that poll the platform, since the others may depend on the same source.
    pub fn another_reader(&mut self, view: &member::View, source: &str) -> Option<String> {
        let domains = match self.is_reader(view) {
            true => self.primaries(view),
            false => domains(view).into_iter().collect(),
        };
        let readers = domains.into_iter().filter_map(|d| reader(d, view));
        let others = readers.filter(|r| *r != self.name && *r != source);
        let rank = |r: &&str| homes::hash(&["another reader", r, &self.name]);
        let mut others: Vec<_> = others.collect();
        others.sort_by_key(|r| (self.stale_peers.contains_key(*r), rank(r)));
        let fresh = others
            .iter()
            .filter(|r| !self.stale_peers.contains_key(**r));
        let choices = match fresh.count() {
            0 => others.len(),
            fresh => fresh,
        };
        if choices == 0 {
            return self.random_peer(view);
        }
        self.extra_polls += 1;
        Some(others[self.extra_polls % choices].to_owned())
    }

    /// Returns whether the platform may be polled: it has not failed to answer lately.
    pub fn may_poll_platform(&self, now: clock::Millis) -> bool {
        self.platform_retry_at <= now
    }

    /// Returns the age up to which updates of a peer count as fresh.
    pub fn fresh_span(&self, view: &member::View) -> clock::Millis {
        match self.is_reader(view) {
            true => FRESH_SPAN,
            false => RELAYED_FRESH_SPAN,
        }
    }

    /// Returns whether updates of a peer that has lost the platform may be applied. A daemon that starts first tries the
    /// platform, since rules of such a peer may have been withdrawn.
    pub fn accepts_stale(&self) -> bool {
        self.has_read || self.has_failed
    }

    /// Records that a peer which the platform answers has sent all rules and targets.
    pub fn record_peer_data(&mut self) {
        self.has_read = true;
    }

    /// Records that the updates of `peer` were stale.
    pub fn record_stale_peer(&mut self, now: clock::Millis, peer: &str) {
        self.exclude(now, peer, STALE_PEER_SPAN);
    }

    /// Records that `peer` did not reply in time.
    pub fn record_late_peer(&mut self, now: clock::Millis, peer: &str) {
        self.exclude(now, peer, LATE_PEER_SPAN);
    }

    fn exclude(&mut self, now: clock::Millis, peer: &str, span: clock::Millis) {
        // A peer that starts at the same time has data soon.
        let starts = now - self.start < STARTUP_SPAN;
        let span = if starts { PEER_INTERVAL } else { span };
        self.stale_peers.insert(peer.to_owned(), now + span);
    }

    /// Records whether the platform answered a poll.
    pub fn record_platform(&mut self, now: clock::Millis, answered: bool) {
        self.has_read |= answered;
        self.has_failed |= !answered;
        if answered {
            self.platform_retry_at = clock::Millis::ZERO;
            self.backoff = INITIAL_BACKOFF;
            return;
        }
        self.platform_retry_at = now + self.backoff;
        let (factor, longest) = match self.was_reader {
            true => (2, MAX_BACKOFF),
            false => (8, MAX_FALLBACK_BACKOFF),
        };
        self.backoff = clock::Millis(self.backoff.0 * factor).min(longest);
    }

    /// Returns whether this daemon's failure domain is one of those whose readers poll the platform.
    fn is_primary(&self, view: &member::View) -> bool {
        self.primaries(view).contains(&self.domain.as_str())
    }

    /// Returns the failure domains whose readers poll the platform: those that rank first by hash among the ones that
    /// have a reader. A daemon that is not in its own view counts as one.
    fn primaries<'a>(&'a self, view: &'a member::View) -> Vec<&'a str> {
        let others = domains(view).into_iter();
        let others = others.filter(|d| *d != self.domain && reader(d, view).is_some());
        let mut ranked: Vec<_> = others.chain([self.domain.as_str()]).collect();
        ranked.sort_by_key(|domain| cmp::Reverse(homes::hash(&["primary", domain])));
        ranked.truncate(PRIMARIES);
        ranked
    }

    /// Returns the readers of other failure domains to poll, the first choice first. A reader polls those that poll the
    /// platform. The choices of other daemons differ within a failure domain.
    fn other_readers<'a>(&'a self, view: &'a member::View) -> Vec<&'a str> {
        let reads_itself = reader(&self.domain, view).is_none_or(|r| r == self.name);
        let domains = match reads_itself {
            true => self.primaries(view),
            false => domains(view).into_iter().collect(),
        };
        let others = domains.into_iter().filter(|d| *d != self.domain);
        let mut others: Vec<_> = others.collect();
        others
            .sort_by_key(|domain| cmp::Reverse(homes::hash(&["other reader", domain, &self.name])));
        let readers = others.into_iter().take(CHOICES);
        readers.filter_map(|domain| reader(domain, view)).collect()
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

/// Returns the failure domains of a view.
fn domains(view: &member::View) -> BTreeSet<&str> {
    view.members.values().map(|m| m.domain.as_str()).collect()
}

/// Returns the daemon that other daemons of a failure domain poll.
fn reader<'a>(domain: &str, view: &'a member::View) -> Option<&'a str> {
    let members = view.members.iter();
    let candidates =
        members.filter(|(_, m)| m.domain == domain && m.liveness == member::Liveness::Alive);
    let rank = |name: &str| homes::hash(&["reader", domain, name]);
    candidates
        .map(|(name, _)| name.as_str())
        .max_by_key(|n| rank(n))
}
