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
//! While the platform answers nobody, daemons that are no readers call it at a rate that is that of the whole fleet
//! ([`CALL_SPACING`]), and await the news of its return at each other ([`SourceSelector::news_sources`]).
//! Whoever gets the first answer replies to the polls that it holds, and so do their senders. What a daemon learned to
//! leave out meanwhile says nothing about the time after that, so it ends with the first fresh updates.
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
/// The longest such time, for a peer that stays silent: each further poll of it would cost a timeout.
const MAX_LATE_PEER_SPAN: clock::Millis = clock::Millis(8_000);
/// The peers at which a daemon awaits news at a time: several, since each may have failed too.
const NEWS_SOURCES: usize = 2;
/// The backoff after the platform first fails to answer; grows with each further failure.
const INITIAL_BACKOFF: clock::Millis = clock::Millis(100);
/// The longest backoff of a reader after the platform failed to answer.
const MAX_BACKOFF: clock::Millis = clock::Millis(800);
/// The time between two calls of all daemons that are no readers to a platform that answers nobody: short, since the
/// first answer is news for the whole fleet.
const CALL_SPACING: clock::Millis = clock::Millis(100);
/// The longest backoff of a daemon that is no reader, however large the fleet is.
const MAX_FALLBACK_BACKOFF: clock::Millis = clock::Millis(60_000);
/// The number of peers that state that they have lost the platform, from which on a daemon takes it for lost to all.
const LOST_PEERS: usize = 3;
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

/// Why a peer is not polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    /// Its updates were old.
    Stale,
    /// It stated that it has lost the platform.
    Lost,
    /// It did not reply in time.
    Late,
}

/// A peer that is not polled for some time.
#[derive(Clone, Copy, Debug)]
struct Exclusion {
    until: clock::Millis,
    reason: Reason,
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
    /// The peers that are not polled.
    excluded: BTreeMap<String, Exclusion>,
    /// For how long the peers were left out last that did not reply; ends with a reply.
    late_spans: BTreeMap<String, clock::Millis>,
    /// When the platform may be polled again.
    platform_retry_at: clock::Millis,
    /// When the last poll that the platform did not answer was made; absent after an answer.
    failed_poll: Option<clock::Millis>,
    /// When a poll of a peer was last given up.
    silent_at: clock::Millis,
    /// Whether this daemon was the reader of its failure domain when it last selected a source.
    was_reader: bool,
    /// The number of alive daemons at that time.
    fleet_size: usize,
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
            excluded: BTreeMap::new(),
            late_spans: BTreeMap::new(),
            platform_retry_at: clock::Millis::ZERO,
            failed_poll: None,
            silent_at: clock::Millis::ZERO,
            was_reader: false,
            fleet_size: 1,
            backoff: INITIAL_BACKOFF,
            extra_polls: 0,
            random: random::Random::new(homes::hash(&["readers", name])),
        }
    }

    /// Returns the source to poll next.
    pub fn next_source(&mut self, now: clock::Millis, view: &member::View) -> Source {
        self.excluded.retain(|_, e| e.until > now);
        let reader = reader(&self.domain, view);
        let reads_itself = reader.is_none_or(|r| r == self.name);
        self.was_reader = reads_itself;
        self.fleet_size = alive(view).count();
        let age = now - self.start;
        let started = age >= STARTUP_SPAN;
        if !started && self.has_read {
            return Source::Wait(self.start + STARTUP_SPAN);
        }
        let asks_peers = started || age < PEER_SPAN;
        let usable = |r: &&str| asks_peers && *r != self.name && !self.excluded.contains_key(*r);
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
        let until = self.excluded.values().map(|e| e.until).min();
        let until = until.map_or(self.platform_retry_at, |u| u.min(self.platform_retry_at));
        self.random_peer(view, |_, e| e.is_none())
            .map_or(Source::Wait(until), Source::Peer)
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
        others.sort_by_key(|r| (self.excluded.contains_key(*r), rank(r)));
        let fresh = others.iter().filter(|r| !self.excluded.contains_key(**r));
        let choices = match fresh.count() {
            0 => others.len(),
            fresh => fresh,
        };
        if choices == 0 {
            return self.random_peer(view, |_, e| e.is_none());
        }
        self.extra_polls += 1;
        Some(others[self.extra_polls % choices].to_owned())
    }

    /// Returns the peers at which a daemon with old updates awaits the news that the platform answers again, beside its
    /// poll of `source`: any daemons, but not those that were silent lately.
    ///
    /// Each daemon awaits it at others, so the news reaches all of them in a few steps from whoever has it first.
    pub fn news_sources(&mut self, view: &member::View, source: &str) -> BTreeSet<String> {
        let mut sources = BTreeSet::new();
        for _ in 0..NEWS_SOURCES {
            let is_new = |name: &str| name != source && !sources.contains(name);
            let peer = self.random_peer(view, |name, e| is_new(name) && !is_late(e));
            sources.extend(peer);
        }
        sources
    }

    /// Returns whether the platform may be polled: it has not failed to answer lately.
    pub fn may_poll_platform(&self, now: clock::Millis) -> bool {
        self.platform_retry_at <= now
    }

    /// Returns when a platform that failed to answer is polled next; absent if it has answered since.
    pub fn next_call(&self) -> Option<clock::Millis> {
        self.failed_poll.map(|_| self.platform_retry_at)
    }

    /// Records that the platform is polled although it failed to answer before, so that no other poll is made meanwhile.
    pub fn record_call(&mut self, now: clock::Millis) {
        self.platform_retry_at = self.platform_retry_at.max(now + self.backoff);
    }

    /// Returns the number of peers that are not polled.
    pub fn excluded_peers(&self) -> usize {
        self.excluded.len()
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
        self.late_spans.remove(peer);
        self.exclude(now, peer, Reason::Stale, STALE_PEER_SPAN);
    }

    /// Records that `peer` stated that it has lost the platform.
    ///
    /// If several do, the platform answers nobody. Daemons that are no readers then call it one after the other, since
    /// the peers need not be wrong, but the whole fleet must not call at once.
    pub fn record_lost_peer(&mut self, now: clock::Millis, peer: &str) {
        self.late_spans.remove(peer);
        self.exclude(now, peer, Reason::Lost, STALE_PEER_SPAN);
        let lost = self.excluded.values().filter(|e| e.reason == Reason::Lost);
        let is_tried = self.platform_retry_at > clock::Millis::ZERO;
        if !self.was_reader && !is_tried && lost.count() >= LOST_PEERS {
            let spread = self.fallback_backoff().0;
            self.platform_retry_at = now + clock::Millis(self.random.index(spread as usize) as u64);
        }
    }

    /// Records that `peer` did not reply in time. If it did not after the last time either, it is left out for longer.
    pub fn record_late_peer(&mut self, now: clock::Millis, peer: &str) {
        let span = match self.late_spans.get(peer) {
            Some(last) => clock::Millis(last.0 * 2).min(MAX_LATE_PEER_SPAN),
            None => LATE_PEER_SPAN,
        };
        self.late_spans.insert(peer.to_owned(), span);
        self.exclude(now, peer, Reason::Late, span);
    }

    /// Records that a poll of a peer was given up. Where peers are silent, the news may not reach this daemon through
    /// others, so it calls a platform that fails to answer as often as a reader does.
    pub fn record_silence(&mut self, now: clock::Millis) {
        self.silent_at = now;
        let last = self.failed_poll.unwrap_or_default();
        let retry_at = (last + MAX_BACKOFF).max(now);
        self.platform_retry_at = self.platform_retry_at.min(retry_at);
    }

    /// Records that the updates of `peer` were fresh.
    pub fn record_fresh_peer(&mut self, peer: &str) {
        self.late_spans.remove(peer);
        self.excluded.remove(peer);
    }

    /// Records that the updates are fresh again after they were old: what peers and the platform failed to do before
    /// says nothing about what they do now.
    pub fn record_recovery(&mut self) {
        self.excluded.retain(|_, e| e.reason == Reason::Late);
        self.reset_backoff();
    }

    fn reset_backoff(&mut self) {
        self.platform_retry_at = clock::Millis::ZERO;
        self.failed_poll = None;
        self.backoff = INITIAL_BACKOFF;
    }

    fn exclude(&mut self, now: clock::Millis, peer: &str, reason: Reason, span: clock::Millis) {
        // A peer that starts at the same time has data soon.
        let starts = now - self.start < STARTUP_SPAN;
        let span = if starts { PEER_INTERVAL } else { span };
        let until = now + span;
        self.excluded
            .insert(peer.to_owned(), Exclusion { until, reason });
    }

    /// Records whether the platform answered a poll: at `at`, or not, if it was made at `at`.
    pub fn record_platform(&mut self, at: clock::Millis, answered: bool) {
        self.has_read |= answered;
        self.has_failed |= !answered;
        if answered {
            self.reset_backoff();
            return;
        }
        self.failed_poll = Some(at);
        let backoff = match self.was_reader {
            true => self.backoff,
            false if self.silent_at > at => self.backoff.min(MAX_BACKOFF),
            false => self.jittered(self.backoff),
        };
        self.platform_retry_at = at + backoff;
        let (factor, longest) = match self.was_reader {
            true => (2, MAX_BACKOFF),
            false => (8, self.fallback_backoff()),
        };
        self.backoff = clock::Millis(self.backoff.0 * factor).min(longest);
    }

    /// Returns a random time from half of a backoff to all of it, since the platform is lost to many daemons at once.
    fn jittered(&mut self, backoff: clock::Millis) -> clock::Millis {
        let half = backoff.0 / 2;
        clock::Millis(half + self.random.index(half as usize + 1) as u64)
    }

    /// Returns the longest backoff of this daemon, if it is no reader.
    fn fallback_backoff(&self) -> clock::Millis {
        let spacing = clock::Millis(CALL_SPACING.0 * self.fleet_size as u64);
        spacing.clamp(MAX_BACKOFF, MAX_FALLBACK_BACKOFF)
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

    /// Returns a random other daemon that is alive and passes `is_usable`, given its name and why it is not polled.
    fn random_peer(
        &mut self,
        view: &member::View,
        is_usable: impl Fn(&str, Option<&Exclusion>) -> bool,
    ) -> Option<String> {
        let candidates = alive(view)
            .filter(|name| **name != self.name && is_usable(name, self.excluded.get(*name)));
        let candidates: Vec<_> = candidates.collect();
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[self.random.index(candidates.len())].clone())
    }
}

/// Returns whether a peer is left out because it did not reply in time.
fn is_late(exclusion: Option<&Exclusion>) -> bool {
    exclusion.is_some_and(|e| e.reason == Reason::Late)
}

/// Returns the names of the alive daemons of a view.
fn alive(view: &member::View) -> impl Iterator<Item = &String> {
    let members = view.members.iter();
    let alive = members.filter(|(_, m)| m.liveness == member::Liveness::Alive);
    alive.map(|(name, _)| name)
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
