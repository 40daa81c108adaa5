//! Egress: whether a daemon connects to targets itself or through other daemons.
//!
//! A daemon can lose its links to all targets while callers, the platform and the other daemons still reach it. Its
//! failures then say nothing about the targets: one observer that fails at many targets is itself at fault. So a
//! connection that a daemon fails to open is tried through relays, which are other daemons, and counts as evidence
//! against the target only if another observer agrees ([`Egress::verdict`]).
//!
//! [`Egress`] makes these decisions and has no timers and sends no probes. It learns from the connections that requests
//! need: as long as the daemon seems connected, relays are used only after a direct connection is late or fails. Once
//! relays reached several targets that the daemon did not, it counts as cut off: relays come first, and a direct
//! connection is tried beside them at intervals. One direct connection that is established ends that state.

use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::sync;

use crate::coordination::{homes, member};
use crate::state::clock;

/// How long a direct connection may take before relays are tried too: many round trips between failure domains.
const HEAD_START: clock::Millis = clock::Millis(100);
/// The time between the starts of two tries through relays, if the earlier one has not ended.
pub const STAGGER: clock::Millis = clock::Millis(60);
/// The most relays that one connection is tried through.
const MAX_RELAYS: usize = 3;
/// The number of best relays that are kept of a view, since all others are used only if these are blocked.
const RANKED_RELAYS: usize = 16;
/// The number of targets that relays reached and the daemon did not, from which on it counts as cut off.
const CUT_OFF_TARGETS: usize = 2;
/// The time between two direct tries of a daemon that is cut off.
const TRIAL_INTERVAL: clock::Millis = clock::Millis(500);
/// The head start of such a direct try, which would otherwise lose against a relay that is already connected.
const TRIAL_HEAD_START: clock::Millis = clock::Millis(20);
/// How long a relay that failed is not used.
const RELAY_BACKOFF: clock::Millis = clock::Millis(2_000);
/// How long after it reached a target an observer's failures count as those of the target.
const TRUST_SPAN: clock::Millis = clock::Millis(3_000);

/// The paths by which one connection is tried.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Whether a direct connection is tried, from the start.
    pub direct: bool,
    /// When the first relay is tried, unless the direct connection fails before.
    pub relays_after: clock::Millis,
    /// The relays to try in this order.
    pub relays: Vec<String>,
}

/// What a try through a relay showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayTry {
    /// The relay is connected to the target.
    Connected,
    /// The relay failed to connect to the target.
    ConnectFailed,
    /// The relay does not send requests to the target, by what it knows of it.
    Unlisted,
    /// The relay did not reply, or relays nothing now.
    Unusable,
}

/// Why a connection could not be established by any path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The target accepts no connections.
    TargetFailed,
    /// This daemon found no path to the target, which says nothing about the target.
    NoPath,
}

/// A change of whether the daemon counts as cut off from the targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is cut off from now on.
    CutOff,
    /// It reaches targets again, after this time.
    Reached(clock::Millis),
}

/// What a daemon knows of its own paths to targets and of its relays.
#[derive(Debug)]
pub struct Egress {
    name: String,
    domain: String,
    /// The targets that relays reached and this daemon did not, since it last reached one itself.
    missed: BTreeSet<net::SocketAddr>,
    /// Since when the daemon is cut off; absent while it is not.
    cut_since: Option<clock::Millis>,
    /// When the daemon last established a direct connection.
    reached_at: Option<clock::Millis>,
    /// When a direct connection is tried next while the daemon is cut off.
    next_trial: clock::Millis,
    relays: BTreeMap<String, Relay>,
    /// The best relays of the view that they were ranked by.
    ranked: Vec<String>,
    ranked_by: Option<sync::Arc<member::View>>,
    /// The number of plans, by which relays take turns.
    plans: usize,
}

/// What is known of one relay.
#[derive(Debug, Default)]
struct Relay {
    blocked_until: clock::Millis,
    /// When it last connected to a target.
    reached_at: Option<clock::Millis>,
}

impl Egress {
    /// Creates the state of the daemon `name` in the failure domain `domain`, which counts as connected.
    pub fn new(name: &str, domain: &str) -> Egress {
        Egress {
            name: name.to_owned(),
            domain: domain.to_owned(),
            missed: BTreeSet::new(),
            cut_since: None,
            reached_at: None,
            next_trial: clock::Millis::ZERO,
            relays: BTreeMap::new(),
            ranked: Vec::new(),
            ranked_by: None,
            plans: 0,
        }
    }

    /// Returns whether the daemon counts as cut off from the targets.
    pub fn is_cut_off(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Returns the paths by which a connection that a request needs now is tried.
    ///
    /// A plan without any path means that the request cannot be sent now.
    pub fn plan(&mut self, now: clock::Millis, view: &sync::Arc<member::View>) -> Plan {
        self.rank_relays(view);
        let relays = self.usable_relays(now);
        if !self.is_cut_off() {
            return Plan {
                direct: true,
                relays_after: HEAD_START,
                relays,
            };
        }
        let direct = now >= self.next_trial;
        if direct {
            self.next_trial = now + TRIAL_INTERVAL;
        }
        let relays_after = match direct {
            true => TRIAL_HEAD_START,
            false => clock::Millis::ZERO,
        };
        Plan {
            direct,
            relays_after,
            relays,
        }
    }

    /// Ranks the live daemons as relays, if the view has changed: those of other failure domains come first, since a
    /// fault of the network often affects a whole domain.
    fn rank_relays(&mut self, view: &sync::Arc<member::View>) {
        let is_current = |ranked_by: &sync::Arc<member::View>| sync::Arc::ptr_eq(ranked_by, view);
        if self.ranked_by.as_ref().is_some_and(is_current) {
            return;
        }
        let is_relay = |name: &String, member: &member::Member| {
            *name != self.name && member.liveness == member::Liveness::Alive
        };
        let members = view.members.iter();
        let mut ranked: Vec<_> = members
            .filter(|(name, member)| is_relay(name, member))
            .map(|(name, member)| {
                let rank = homes::hash(&["relay", &self.name, name]);
                (member.domain == self.domain, rank, name)
            })
            .collect();
        ranked.sort_unstable();
        ranked.truncate(RANKED_RELAYS);
        self.ranked = ranked
            .into_iter()
            .map(|(_, _, name)| name.clone())
            .collect();
        self.ranked_by = Some(view.clone());
        self.relays
            .retain(|name, _| view.members.contains_key(name));
    }

    /// Returns the relays that may be used, of which the first few take turns.
    fn usable_relays(&mut self, now: clock::Millis) -> Vec<String> {
        let is_blocked =
            |name: &String| self.relays.get(name).is_some_and(|r| r.blocked_until > now);
        let usable = self.ranked.iter().filter(|name| !is_blocked(name));
        let mut relays: Vec<_> = usable.take(MAX_RELAYS).cloned().collect();
        self.plans = self.plans.wrapping_add(1);
        let turn = self.plans.checked_rem(relays.len()).unwrap_or_default();
        relays.rotate_left(turn);
        relays
    }

    /// Records that a direct connection was established.
    pub fn record_direct(&mut self, now: clock::Millis) -> Option<Change> {
        self.missed.clear();
        self.reached_at = Some(now);
        let since = self.cut_since.take()?;
        Some(Change::Reached(now - since))
    }

    /// Records that a relay was connected to the target at `address` when no direct connection was: that one failed, or
    /// was late.
    pub fn record_missed(
        &mut self,
        now: clock::Millis,
        address: net::SocketAddr,
    ) -> Option<Change> {
        self.missed.insert(address);
        if self.is_cut_off() || self.missed.len() < CUT_OFF_TARGETS {
            return None;
        }
        self.cut_since = Some(now);
        self.next_trial = now + TRIAL_INTERVAL;
        Some(Change::CutOff)
    }

    /// Records what a try through a relay showed.
    pub fn record_relay(&mut self, now: clock::Millis, relay: &str, result: RelayTry) {
        let relay = self.relays.entry(relay.to_owned()).or_default();
        match result {
            RelayTry::Connected => relay.reached_at = Some(now),
            RelayTry::Unusable => relay.blocked_until = now + RELAY_BACKOFF,
            RelayTry::ConnectFailed | RelayTry::Unlisted => {}
        }
    }

    /// Returns whether a failure to connect that this relay reports is the target's.
    pub fn trusts_relay(&self, now: clock::Millis, relay: &str) -> bool {
        let reached = self.relays.get(relay).and_then(|r| r.reached_at);
        reached.is_some_and(|at| now - at <= TRUST_SPAN)
    }

    /// Returns why a connection failed by all paths of its plan. `agreeing` relays reported that the target accepted
    /// no connection from them either.
    ///
    /// A daemon that was connected to some target a moment ago is believed, and so is an agreement of all relays.
    pub fn verdict(&self, now: clock::Millis, plan: &Plan, agreeing: &[String]) -> Verdict {
        let reached = self.reached_at.is_some_and(|at| now - at <= TRUST_SPAN);
        let is_trusted = !self.is_cut_off() && (reached || plan.relays.is_empty());
        let agreed = !agreeing.is_empty()
            && (agreeing.len() == plan.relays.len()
                || agreeing.iter().any(|r| self.trusts_relay(now, r)));
        match plan.direct && is_trusted || agreed {
            true => Verdict::TargetFailed,
            false => Verdict::NoPath,
        }
    }
}
