//! Readers: the one daemon of each failure domain that follows the platform, and what the others do without it.
//!
//! All other daemons of the domain ask the reader, so the platform's calls do not grow with the fleet. The reader is the
//! first in rank of those that live, with no election: while views differ there are two, which costs calls and nothing
//! else. A daemon whose reader is silent, or has itself lost the platform, follows the platform by itself for a while;
//! one that the platform does not answer either asks any other.

use std::collections::BTreeMap;

use crate::coordination::{homes, member, random};
use crate::state::clock;

/// How long the platform, or a peer, may wait for changes before it answers; a silent one stays unnoticed so long.
pub const LONG_POLL: clock::Millis = clock::Millis(700);
/// How long ago the platform may have answered a peer whose news is fresh: a wait, and a slow answer.
pub const FRESH_SPAN: clock::Millis = clock::Millis(1_100);
/// How long a reader that failed is not asked.
const DISTRUST_SPAN: clock::Millis = clock::Millis(3_000);
/// The pause after the platform did not answer; it doubles each time.
const FIRST_PAUSE: clock::Millis = clock::Millis(100);
/// The longest pause after the platform did not answer.
const LONGEST_PAUSE: clock::Millis = clock::Millis(800);
/// The time after the start in which a daemon knows too few others to leave the reading to one of them. It reads once
/// for itself then, so that it serves at once, and does not follow: each change of that time would cost a call of each.
const SETTLING_SPAN: clock::Millis = clock::Millis(700);

/// Returns the longest time in which a daemon that asks a peer can miss a change, where its own way to the platform is
/// well: the peer counts as fresh for a while, and its last reply takes a wait.
pub fn max_staleness() -> clock::Millis {
    FRESH_SPAN + LONG_POLL
}

/// Where to hear the next news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// From the platform.
    Platform,
    /// From the daemon of this name.
    Peer(String),
    /// Nowhere before this time.
    Wait(clock::Millis),
}

/// One daemon's choice of where it hears news.
#[derive(Debug)]
pub struct SourceSelector {
    me: String,
    domain: String,
    start: clock::Millis,
    /// Whether the platform has answered.
    heard: bool,
    distrusted: BTreeMap<String, clock::Millis>,
    /// When the platform may be tried again.
    retry: clock::Millis,
    pause: clock::Millis,
    random: random::Random,
}

impl SourceSelector {
    /// Creates the choice of the daemon called `me` in the failure domain `domain`, which starts at `now`.
    pub fn new(now: clock::Millis, me: &str, domain: &str) -> SourceSelector {
        SourceSelector {
            me: me.to_owned(),
            domain: domain.to_owned(),
            start: now,
            heard: false,
            distrusted: BTreeMap::new(),
            retry: clock::Millis::ZERO,
            pause: FIRST_PAUSE,
            random: random::Random::new(homes::hash(&["readers", me])),
        }
    }

    /// Returns where to hear the next news.
    pub fn plan(&mut self, now: clock::Millis, view: &member::View) -> Plan {
        self.distrusted.retain(|_, until| *until > now);
        let reader = self.reader(view);
        let settled = now - self.start >= SETTLING_SPAN;
        if let Some(reader) = reader.filter(|r| settled && *r != self.me)
            && !self.distrusted.contains_key(reader)
        {
            return Plan::Peer(reader.to_owned());
        }
        if !settled && self.heard {
            return Plan::Wait(self.start + SETTLING_SPAN);
        }
        if self.retry <= now {
            return Plan::Platform;
        }
        self.any_peer(view)
            .map_or(Plan::Wait(self.retry), Plan::Peer)
    }

    /// Notes that a peer was silent, or had no fresh news.
    pub fn record_stale_peer(&mut self, now: clock::Millis, peer: &str) {
        self.distrusted.insert(peer.to_owned(), now + DISTRUST_SPAN);
    }

    /// Notes whether the platform answered.
    pub fn record_platform(&mut self, now: clock::Millis, answered: bool) {
        self.heard |= answered;
        if answered {
            self.retry = clock::Millis::ZERO;
            self.pause = FIRST_PAUSE;
            return;
        }
        self.retry = now + self.pause;
        self.pause = clock::Millis(self.pause.0 * 2).min(LONGEST_PAUSE);
    }

    /// Returns the daemon that follows the platform for this domain.
    fn reader<'a>(&self, view: &'a member::View) -> Option<&'a str> {
        let members = view.members.iter();
        let near = members
            .filter(|(_, m)| m.domain == self.domain && m.liveness == member::Liveness::Alive);
        let rank = |name: &str| homes::hash(&["reader", &self.domain, name]);
        near.map(|(name, _)| name.as_str()).max_by_key(|n| rank(n))
    }

    /// Draws any other daemon that lives and did not fail of late.
    fn any_peer(&mut self, view: &member::View) -> Option<String> {
        let members = view.members.iter();
        let fit = members.filter(|(name, m)| {
            **name != self.me
                && m.liveness == member::Liveness::Alive
                && !self.distrusted.contains_key(*name)
        });
        let fit: Vec<_> = fit.map(|(name, _)| name).collect();
        if fit.is_empty() {
            return None;
        }
        Some(fit[self.random.index(fit.len())].clone())
    }
}
