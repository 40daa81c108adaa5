//! The table of members and the rules by which one record about a member supersedes another.

use std::collections::BTreeMap;
use std::net;

use crate::coordination::homes;
use crate::coordination::member::exchange::Exchanges;
use crate::coordination::member::probes::Probes;
use crate::coordination::member::rings;
use crate::coordination::member::suspicion::Suspicion;
use crate::coordination::member::updates::Updates;
use crate::coordination::member::{Liveness, Member, View};
use crate::coordination::random::Random;
use crate::protocol::gossip;
use crate::state::clock;
use crate::state::ids;
use crate::state::timeline;

/// The interval between ticks.
pub(super) const TICK_INTERVAL: clock::Millis = clock::Millis(100);
/// If two events are at least this far apart, the daemon was delayed, and the deadlines of other members are extended
/// by the delay.
const LATE_GAP: clock::Millis = clock::Millis(500);
/// The shortest time between two events at which the daemon counts as having been paused.
const PAUSE_GAP: clock::Millis = clock::Millis(1_500);
/// How long after joining a daemon does not forward the records that it receives in answer to its digests.
const JOIN_SPAN: clock::Millis = clock::Millis(5_000);

/// The identity and settings of a daemon at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The daemon's address for peers, at which other daemons reach it.
    pub peer: net::SocketAddr,
    /// The daemon's failure domain.
    pub domain: String,
    /// The run of the daemon.
    pub incarnation: ids::Incarnation,
    /// Daemons to contact for joining, in addition to the platform's list.
    pub seeds: Vec<Seed>,
    /// The seed of the random numbers; the daemon's name is mixed in.
    pub random_seed: u64,
}

/// A daemon that may be running, and can be contacted for joining.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// The daemon's name.
    pub name: String,
    /// The daemon's address for peers, at which other daemons reach it.
    pub peer: net::SocketAddr,
}

/// An input of the table.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// Time passed; expected every 100 ms.
    Tick,
    /// A message arrived from another daemon.
    Received {
        /// The daemon's name, as its certificate gives it.
        from: &'a str,
        /// The message.
        message: &'a gossip::Message,
    },
    /// The platform's list of hosts, which replaces the previous list.
    Hosts(&'a [Seed]),
    /// Another version of the bundle came into force here.
    Version(u64),
    /// This daemon starts to leave the fleet.
    Leave,
}

/// An output of the table, to be carried out by its actor.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// The receiver's name.
        to: String,
        /// The receiver's address for peers.
        peer: net::SocketAddr,
        /// The message.
        message: gossip::Message,
    },
    /// Record an event on the time line.
    Record {
        /// The kind of the event.
        kind: timeline::Kind,
        /// The details as text.
        detail: String,
    },
}

/// The state of one member, which may be this daemon itself.
#[derive(Clone, Debug)]
pub(super) struct MemberEntry {
    /// The information that is gossiped about the member.
    pub(super) about: gossip::MemberInfo,
    pub(super) positions: rings::Positions,
    /// When the state last changed here.
    pub(super) since: clock::Millis,
}

impl MemberEntry {
    pub(super) fn is_live(&self) -> bool {
        self.about.state != gossip::MemberState::Dead
    }
}

/// The membership state machine of one daemon.
#[derive(Debug)]
pub struct Table {
    pub(super) name: String,
    pub(super) members: BTreeMap<String, MemberEntry>,
    pub(super) suspicions: BTreeMap<String, Suspicion>,
    pub(super) probes: Probes,
    pub(super) updates: Updates,
    pub(super) exchanges: Exchanges,
    pub(super) neighbours: rings::Neighbours,
    pub(super) random: Random,
    /// The number of members that are not dead.
    pub(super) live_count: usize,
    /// When the last message arrived from any daemon.
    pub(super) last_received: Option<clock::Millis>,
    /// When the first message arrived from another daemon.
    joined_at: Option<clock::Millis>,
    /// When the last event was handled.
    last_event: Option<clock::Millis>,
    /// Whether the set of live members changed since the neighbours were computed.
    ring_changed: bool,
    /// Whether the view changed since it was last taken.
    view_changed: bool,
    pub(super) actions: Vec<Action>,
}

impl Table {
    /// Creates a table that contains only the daemon itself.
    pub fn new(options: &Options) -> Table {
        let about = gossip::MemberInfo {
            peer: options.peer,
            domain: options.domain.clone(),
            incarnation: options.incarnation,
            round: 0,
            state: gossip::MemberState::Alive,
            version: 0,
        };
        let mut table = Table {
            name: options.name.clone(),
            members: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            probes: Probes::default(),
            updates: Updates::default(),
            exchanges: Exchanges::new(&options.seeds),
            neighbours: rings::Neighbours::default(),
            random: Random::new(options.random_seed ^ homes::hash(&[&options.name])),
            live_count: 1,
            last_received: None,
            joined_at: None,
            last_event: None,
            ring_changed: false,
            view_changed: true,
            actions: Vec::new(),
        };
        table.insert(clock::Millis::ZERO, &options.name, about);
        table
    }

    /// Handles one event at time `now`, and returns the actions in order.
    pub fn handle(&mut self, now: clock::Millis, event: Event<'_>) -> Vec<Action> {
        self.adjust_for_gap(now);
        match event {
            Event::Tick => self.tick(now),
            Event::Received { from, message } => self.receive(now, from, message),
            Event::Hosts(hosts) => self.exchanges.set_hosts(hosts),
            Event::Version(version) => self.set_version(version),
            Event::Leave => self.leave(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the view if it changed since the last call.
    pub fn take_view(&mut self) -> Option<View> {
        std::mem::take(&mut self.view_changed).then(|| self.view())
    }

    /// Returns the current view.
    pub fn view(&self) -> View {
        let members = self
            .members
            .iter()
            .filter_map(|(name, entry)| Some((name.clone(), member(&entry.about)?)));
        View {
            members: members.collect(),
        }
    }

    /// Returns the state of the member `name`, or `None` if it is dead or unknown.
    pub fn liveness(&self, name: &str) -> Option<Liveness> {
        liveness(self.members.get(name)?.about.state)
    }

    /// Returns the number of members that are not dead, as of the last tick.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// Extends all deadlines by a time in which this daemon did not run.
    fn adjust_for_gap(&mut self, now: clock::Millis) {
        let gap = self
            .last_event
            .map_or(clock::Millis::ZERO, |last| now - last);
        self.last_event = Some(now);
        if gap < LATE_GAP {
            return;
        }
        self.probes.postpone(gap - TICK_INTERVAL);
        for suspicion in self.suspicions.values_mut() {
            suspicion.since += gap - TICK_INTERVAL;
        }
        if gap >= PAUSE_GAP {
            self.resume(now, gap);
        }
    }

    /// Discards open probes and restarts suspicions after a pause, and announces that this daemon is alive.
    fn resume(&mut self, now: clock::Millis, gap: clock::Millis) {
        self.record_event(timeline::Kind::Woke, format!("did not run for {gap}"));
        self.probes.clear();
        for suspicion in self.suspicions.values_mut() {
            suspicion.since = now;
        }
        let own = self.own().clone();
        self.supersede(&own);
        self.synchronize_now(now);
    }

    fn tick(&mut self, now: clock::Millis) {
        self.update_neighbours(now);
        self.send_probes(now);
        self.expire_suspicions(now);
        self.synchronize(now);
        self.update_neighbours(now);
        self.flush(now);
    }

    fn set_version(&mut self, version: u64) {
        self.own_mut().version = version;
        self.view_changed = true;
    }

    fn leave(&mut self, now: clock::Millis) {
        self.own_mut().state = gossip::MemberState::Leaving;
        self.view_changed = true;
        self.updates.add(&self.name);
        self.update_neighbours(now);
        self.flush_now(now);
    }

    fn update_neighbours(&mut self, now: clock::Millis) {
        if !std::mem::take(&mut self.ring_changed) {
            return;
        }
        self.live_count = self.members.values().filter(|e| e.is_live()).count();
        self.neighbours = self.neighbours_of(&self.name);
        self.probes
            .set_watched(now, &self.neighbours.successors, &mut self.random);
    }

    /// Returns the live neighbours of the member `name`.
    pub(super) fn neighbours_of(&self, name: &str) -> rings::Neighbours {
        let known = self.members.get(name).map(|e| e.positions);
        let origin = known.unwrap_or_else(|| rings::positions(name, ""));
        let live = self.members.iter().filter(|(_, e)| e.is_live());
        let mut positions_by_name = live.map(|(name, e)| (name.as_str(), &e.positions));
        rings::neighbours(name, &origin, &mut positions_by_name)
    }

    fn own_mut(&mut self) -> &mut gossip::MemberInfo {
        let entry = self.members.get_mut(&self.name);
        &mut entry.expect("the table contains its own daemon").about
    }

    /// Returns this daemon's own state.
    pub(super) fn own(&self) -> &gossip::MemberInfo {
        &self.members[&self.name].about
    }

    /// Merges a received record into the table, and returns whether it was new.
    ///
    /// If `forward` is set, a new record is gossiped on.
    pub(super) fn merge(
        &mut self,
        now: clock::Millis,
        record: &gossip::Record,
        forward: bool,
    ) -> bool {
        if record.name == self.name {
            return self.refute(&record.about);
        }
        let Some(held) = self.members.get_mut(&record.name) else {
            return record.about.state != gossip::MemberState::Dead
                && self.accept(now, record, forward);
        };
        if record.about.precedence() > held.about.precedence() {
            return self.accept(now, record, forward);
        }
        if record.about.precedence() < held.about.precedence() {
            return false;
        }
        if record.about.version > held.about.version {
            held.about.version = record.about.version;
            self.view_changed = true;
        }
        let reporter = record.reporter.as_deref();
        reporter.is_some_and(|reporter| self.confirm_suspicion(&record.name, reporter))
    }

    /// Refutes a record about this daemon if it would supersede the daemon's own.
    fn refute(&mut self, other: &gossip::MemberInfo) -> bool {
        if other.precedence() <= self.own().precedence() {
            return false;
        }
        self.supersede(other);
        true
    }

    /// Changes this daemon's own state so that it supersedes `other`.
    fn supersede(&mut self, other: &gossip::MemberInfo) {
        let own = self.own_mut();
        // A higher incarnation comes from an earlier run on a host whose clock was ahead.
        let ahead = other.incarnation > own.incarnation;
        match other.round.checked_add(1) {
            Some(round) if !ahead => own.round = round,
            _ => {
                own.incarnation = ids::Incarnation(other.incarnation.0.saturating_add(1));
                own.round = 0;
            }
        }
        self.view_changed = true;
        self.updates.add(&self.name);
    }

    /// Replaces the state of a member by a superseding record.
    fn accept(&mut self, now: clock::Millis, record: &gossip::Record, forward: bool) -> bool {
        self.record_change(record);
        let mut about = record.about.clone();
        if let Some(held) = self.members.get(&record.name)
            && held.about.incarnation == about.incarnation
        {
            about.version = about.version.max(held.about.version);
        }
        self.insert(now, &record.name, about);
        self.suspicions.remove(&record.name);
        if record.about.state == gossip::MemberState::Suspect {
            self.start_suspicion(now, &record.name, record.reporter.as_deref());
        }
        if forward {
            self.updates.add(&record.name);
        }
        true
    }

    /// Inserts a member into the table, or replaces its state.
    pub(super) fn insert(&mut self, now: clock::Millis, name: &str, about: gossip::MemberInfo) {
        let is_live = about.state != gossip::MemberState::Dead;
        let was_live = self.members.get(name).is_some_and(MemberEntry::is_live);
        self.ring_changed |= is_live != was_live;
        self.view_changed = true;
        let entry = MemberEntry {
            positions: rings::positions(name, &about.domain),
            about,
            since: now,
        };
        self.members.insert(name.to_owned(), entry);
    }

    /// Returns the record to gossip about the member `name`.
    pub(super) fn record_of(&self, name: &str) -> Option<gossip::Record> {
        let entry = self.members.get(name)?;
        let suspicion = self.suspicions.get(name);
        Some(gossip::Record {
            name: name.to_owned(),
            about: entry.about.clone(),
            reporter: suspicion.and_then(Suspicion::last_reporter),
        })
    }

    /// Records that a message arrived from another daemon.
    pub(super) fn record_contact(&mut self, now: clock::Millis, from: &str) {
        self.last_received = Some(now);
        self.joined_at.get_or_insert(now);
        self.probes.record_contact(from);
    }

    /// Returns whether the daemon joined long enough ago to know most members.
    pub(super) fn has_joined(&self, now: clock::Millis) -> bool {
        self.joined_at
            .is_some_and(|joined| now - joined >= JOIN_SPAN)
    }

    pub(super) fn record_event(&mut self, kind: timeline::Kind, detail: String) {
        self.actions.push(Action::Record { kind, detail });
    }

    /// Records a member's change of state on the time line.
    pub(super) fn record_change(&mut self, record: &gossip::Record) {
        let held = self.members.get(&record.name);
        let state = match (held.map(|h| &h.about), record.about.state) {
            (None, gossip::MemberState::Alive) => "joined",
            (Some(h), gossip::MemberState::Alive) if h.incarnation < record.about.incarnation => {
                "restarted"
            }
            (Some(h), gossip::MemberState::Alive) if h.state == gossip::MemberState::Alive => {
                return;
            }
            (_, gossip::MemberState::Alive) => "alive",
            (_, gossip::MemberState::Suspect) => "suspect",
            (_, gossip::MemberState::Leaving) => "leaving",
            (_, gossip::MemberState::Dead) => "dead",
        };
        let by = record.reporter.as_ref();
        let by = by.map_or_else(String::new, |a| format!(", by {a}"));
        let detail = format!("{}: {state}{by}", record.name);
        self.record_event(timeline::Kind::Member, detail);
    }
}

fn liveness(state: gossip::MemberState) -> Option<Liveness> {
    match state {
        gossip::MemberState::Alive => Some(Liveness::Alive),
        gossip::MemberState::Suspect => Some(Liveness::Suspect),
        gossip::MemberState::Leaving => Some(Liveness::Leaving),
        gossip::MemberState::Dead => None,
    }
}

/// Returns the member as it appears in the view, or `None` if it is dead.
fn member(about: &gossip::MemberInfo) -> Option<Member> {
    Some(Member {
        peer: about.peer,
        domain: about.domain.clone(),
        incarnation: about.incarnation,
        liveness: liveness(about.state)?,
        version: about.version,
    })
}
