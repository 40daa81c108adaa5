//! The table of members: what is said about each, and which word prevails.

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

/// The time between two ticks.
pub(super) const TICK: clock::Millis = clock::Millis(100);
/// The time between two events from which on the daemon takes itself for late, and gives others that much longer.
const LATE: clock::Millis = clock::Millis(500);
/// The time between two events from which on the daemon takes itself for having been paused.
const PAUSED: clock::Millis = clock::Millis(1_500);
/// How long after joining a daemon only takes in what it is told in answer to its digests.
const SETTLING: clock::Millis = clock::Millis(5_000);

/// What a daemon knows about itself when it starts.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name.
    pub name: String,
    /// Its address for peers.
    pub peer: net::SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Which run of the daemon this is.
    pub incarnation: ids::Incarnation,
    /// Daemons to join at, whatever the platform's list says.
    pub seeds: Vec<Seed>,
    /// Where the numbers that it draws begin.
    pub seed: u64,
}

/// A daemon that may be there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Its name.
    pub name: String,
    /// Its address for peers.
    pub peer: net::SocketAddr,
}

/// What happens to the table.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// Time passed; due every 100 ms.
    Tick,
    /// A message came from another daemon.
    Received {
        /// The daemon's name, as its certificate gives it.
        from: &'a str,
        /// The message.
        message: &'a gossip::Message,
    },
    /// The platform's list of hosts; replaces the list before.
    Hosts(&'a [Seed]),
    /// Another version of the bundle came into force here.
    Version(u64),
    /// This daemon begins to leave.
    Leave,
}

/// What has to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a message, which may get lost.
    Send {
        /// The receiver's name.
        to: String,
        /// The receiver's address for peers.
        peer: net::SocketAddr,
        /// The message.
        message: gossip::Message,
    },
    /// An event for the time line.
    Record {
        /// What happened.
        kind: timeline::Kind,
        /// The rest, for a person.
        detail: String,
    },
}

/// What this daemon holds about one member, itself among them.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) about: gossip::MemberInfo,
    pub(super) points: rings::Points,
    /// When the state last changed here.
    pub(super) since: clock::Millis,
}

impl Entry {
    pub(super) fn is_live(&self) -> bool {
        self.about.state != gossip::Liveness::Dead
    }
}

/// The members as one daemon sees them, and what it does to keep that true.
#[derive(Debug)]
pub struct Table {
    pub(super) name: String,
    pub(super) members: BTreeMap<String, Entry>,
    pub(super) suspicions: BTreeMap<String, Suspicion>,
    pub(super) probes: Probes,
    pub(super) updates: Updates,
    pub(super) exchanges: Exchanges,
    pub(super) neighbours: rings::Neighbours,
    pub(super) random: Random,
    /// The number of members that are not dead.
    pub(super) live: usize,
    /// When a message last came from anyone.
    pub(super) heard: Option<clock::Millis>,
    /// When the first other member became known.
    joined: Option<clock::Millis>,
    last: Option<clock::Millis>,
    /// Whether the neighbours must be found again.
    moved: bool,
    /// Whether the view must be made again.
    changed: bool,
    pub(super) actions: Vec<Action>,
}

impl Table {
    /// Creates the table of a daemon that knows only itself.
    pub fn new(options: &Options) -> Table {
        let about = gossip::MemberInfo {
            peer: options.peer,
            domain: options.domain.clone(),
            incarnation: options.incarnation,
            round: 0,
            state: gossip::Liveness::Alive,
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
            random: Random::new(options.seed ^ homes::hash(&[&options.name])),
            live: 1,
            heard: None,
            joined: None,
            last: None,
            moved: false,
            changed: true,
            actions: Vec::new(),
        };
        table.insert(clock::Millis::ZERO, &options.name, about);
        table
    }

    /// Takes one event at time `now` and returns what has to be done, in order.
    pub fn handle(&mut self, now: clock::Millis, event: Event<'_>) -> Vec<Action> {
        self.catch_up(now);
        match event {
            Event::Tick => self.tick(now),
            Event::Received { from, message } => self.receive(now, from, message),
            Event::Hosts(hosts) => self.exchanges.list(hosts),
            Event::Version(version) => self.set_version(version),
            Event::Leave => self.leave(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the view if it changed since this was last called.
    pub fn take_view(&mut self) -> Option<View> {
        std::mem::take(&mut self.changed).then(|| self.view())
    }

    /// Returns the view.
    pub fn view(&self) -> View {
        let members = self
            .members
            .iter()
            .filter_map(|(name, entry)| Some((name.clone(), member(&entry.about)?)));
        View {
            members: members.collect(),
        }
    }

    /// Returns how the member called `name` is seen; nothing if it is dead or unknown.
    pub fn liveness(&self, name: &str) -> Option<Liveness> {
        liveness(self.members.get(name)?.about.state)
    }

    /// Returns the number of members that are not dead, as of the last tick.
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// Makes allowance for a time in which this daemon did not run.
    fn catch_up(&mut self, now: clock::Millis) {
        let gap = self.last.map_or(clock::Millis::ZERO, |last| now - last);
        self.last = Some(now);
        if gap < LATE {
            return;
        }
        self.probes.shift(gap - TICK);
        for suspicion in self.suspicions.values_mut() {
            suspicion.since += gap - TICK;
        }
        if gap >= PAUSED {
            self.wake(now, gap);
        }
    }

    /// Takes nothing that was open before the pause as evidence, and tells others that this daemon lives.
    fn wake(&mut self, now: clock::Millis, gap: clock::Millis) {
        self.record(timeline::Kind::Woke, format!("did not run for {gap}"));
        self.probes.clear();
        for suspicion in self.suspicions.values_mut() {
            suspicion.since = now;
        }
        let said = self.own().clone();
        self.outdo(&said);
        self.compare_at_once(now);
    }

    fn tick(&mut self, now: clock::Millis) {
        self.find_neighbours(now);
        self.probe(now);
        self.expire(now);
        self.exchange(now);
        self.find_neighbours(now);
        self.flush(now);
    }

    fn set_version(&mut self, version: u64) {
        self.me().version = version;
        self.changed = true;
    }

    fn leave(&mut self, now: clock::Millis) {
        self.me().state = gossip::Liveness::Leaving;
        self.changed = true;
        self.updates.add(&self.name);
        self.find_neighbours(now);
        self.flush_now(now);
    }

    fn find_neighbours(&mut self, now: clock::Millis) {
        if !std::mem::take(&mut self.moved) {
            return;
        }
        self.live = self.members.values().filter(|e| e.is_live()).count();
        self.neighbours = self.neighbours_of(&self.name);
        self.probes
            .watch(now, &self.neighbours.after, &mut self.random);
    }

    /// Finds the members next to the one called `name` among those that live.
    pub(super) fn neighbours_of(&self, name: &str) -> rings::Neighbours {
        let known = self.members.get(name).map(|e| e.points);
        let at = known.unwrap_or_else(|| rings::points(name, ""));
        let live = self.members.iter().filter(|(_, e)| e.is_live());
        let mut places = live.map(|(name, e)| (name.as_str(), &e.points));
        rings::neighbours(name, &at, &mut places)
    }

    fn me(&mut self) -> &mut gossip::MemberInfo {
        let entry = self.members.get_mut(&self.name);
        &mut entry.expect("a table holds its own daemon").about
    }

    /// Returns what this daemon says about itself.
    pub(super) fn own(&self) -> &gossip::MemberInfo {
        &self.members[&self.name].about
    }

    /// Takes in what was said about a member, and returns whether that is news.
    ///
    /// `spread` tells whether news is passed on.
    pub(super) fn merge(
        &mut self,
        now: clock::Millis,
        said: &gossip::Record,
        spread: bool,
    ) -> bool {
        if said.name == self.name {
            return self.defend(&said.about);
        }
        let Some(held) = self.members.get_mut(&said.name) else {
            return said.about.state != gossip::Liveness::Dead && self.adopt(now, said, spread);
        };
        if said.about.precedence() > held.about.precedence() {
            return self.adopt(now, said, spread);
        }
        if said.about.precedence() < held.about.precedence() {
            return false;
        }
        if said.about.version > held.about.version {
            held.about.version = said.about.version;
            self.changed = true;
        }
        let reporter = said.reporter.as_deref();
        reporter.is_some_and(|reporter| self.join_suspicion(&said.name, reporter))
    }

    /// Refutes what others say about this daemon, unless it is true.
    fn defend(&mut self, said: &gossip::MemberInfo) -> bool {
        if said.precedence() <= self.own().precedence() {
            return false;
        }
        self.outdo(said);
        true
    }

    /// Says of this daemon what prevails over `said`.
    fn outdo(&mut self, said: &gossip::MemberInfo) {
        let own = self.me();
        // An incarnation ahead is that of an earlier run whose host had a clock ahead.
        let ahead = said.incarnation > own.incarnation;
        match said.round.checked_add(1) {
            Some(round) if !ahead => own.round = round,
            _ => {
                own.incarnation = ids::Incarnation(said.incarnation.0.saturating_add(1));
                own.round = 0;
            }
        }
        self.changed = true;
        self.updates.add(&self.name);
    }

    fn adopt(&mut self, now: clock::Millis, said: &gossip::Record, spread: bool) -> bool {
        self.tell(said);
        let mut about = said.about.clone();
        if let Some(held) = self.members.get(&said.name)
            && held.about.incarnation == about.incarnation
        {
            about.version = about.version.max(held.about.version);
        }
        self.insert(now, &said.name, about);
        self.suspicions.remove(&said.name);
        if said.about.state == gossip::Liveness::Suspect {
            self.begin_suspicion(now, &said.name, said.reporter.as_deref());
        }
        if spread {
            self.updates.add(&said.name);
        }
        true
    }

    /// Puts a member into the table, or replaces what is held about it.
    pub(super) fn insert(&mut self, now: clock::Millis, name: &str, about: gossip::MemberInfo) {
        let lives = about.state != gossip::Liveness::Dead;
        let lived = self.members.get(name).is_some_and(Entry::is_live);
        self.moved |= lives != lived;
        self.changed = true;
        let entry = Entry {
            points: rings::points(name, &about.domain),
            about,
            since: now,
        };
        self.members.insert(name.to_owned(), entry);
    }

    /// Returns the record to pass on about the member called `name`.
    pub(super) fn record_of(&self, name: &str) -> Option<gossip::Record> {
        let entry = self.members.get(name)?;
        let suspicion = self.suspicions.get(name);
        Some(gossip::Record {
            name: name.to_owned(),
            about: entry.about.clone(),
            reporter: suspicion.and_then(Suspicion::reporter),
        })
    }

    /// Notes that a message came from another daemon.
    pub(super) fn note_heard(&mut self, now: clock::Millis, from: &str) {
        self.heard = Some(now);
        self.joined.get_or_insert(now);
        self.probes.heard(from);
    }

    /// Returns whether the daemon has been in the fleet for long enough to know most members.
    pub(super) fn is_settled(&self, now: clock::Millis) -> bool {
        self.joined.is_some_and(|joined| now - joined >= SETTLING)
    }

    pub(super) fn record(&mut self, kind: timeline::Kind, detail: String) {
        self.actions.push(Action::Record { kind, detail });
    }

    /// Records for the time line what is new about a member.
    pub(super) fn tell(&mut self, said: &gossip::Record) {
        let held = self.members.get(&said.name);
        let state = match (held.map(|h| &h.about), said.about.state) {
            (None, gossip::Liveness::Alive) => "joined",
            (Some(h), gossip::Liveness::Alive) if h.incarnation < said.about.incarnation => {
                "restarted"
            }
            (Some(h), gossip::Liveness::Alive) if h.state == gossip::Liveness::Alive => return,
            (_, gossip::Liveness::Alive) => "alive",
            (_, gossip::Liveness::Suspect) => "suspect",
            (_, gossip::Liveness::Leaving) => "leaving",
            (_, gossip::Liveness::Dead) => "dead",
        };
        let by = said.reporter.as_ref();
        let by = by.map_or_else(String::new, |a| format!(", by {a}"));
        let detail = format!("{}: {state}{by}", said.name);
        self.record(timeline::Kind::Member, detail);
    }
}

fn liveness(state: gossip::Liveness) -> Option<Liveness> {
    match state {
        gossip::Liveness::Alive => Some(Liveness::Alive),
        gossip::Liveness::Suspect => Some(Liveness::Suspect),
        gossip::Liveness::Leaving => Some(Liveness::Leaving),
        gossip::Liveness::Dead => None,
    }
}

/// Returns a member of the view; none if it is dead.
fn member(about: &gossip::MemberInfo) -> Option<Member> {
    Some(Member {
        peer: about.peer,
        domain: about.domain.clone(),
        incarnation: about.incarnation,
        liveness: liveness(about.state)?,
        version: about.version,
    })
}
