//! A simulation of the membership protocol in one process, with message delay, loss and cut links.
//!
//! It nodes the membership tables of many daemons without their network code. Time is simulated and advances only in
//! [`Members::run`], so that a test can cover thousands of daemons and minutes of operation.

use std::collections::{BTreeMap, BTreeSet};
use std::net;

use peridotspread::coordination::member;
use peridotspread::protocol::gossip;
use peridotspread::state::clock::Millis;
use peridotspread::state::ids;
use peridotspread::state::timeline;

use crate::rng::Rng;

/// The interval between ticks of a daemon.
const TICK_INTERVAL: Millis = Millis(100);
/// The minimum delay of a message.
const MIN_DELAY_MS: u64 = 1;
/// The range of the random delay added to the minimum.
const DELAY_RANGE_MS: usize = 4;
/// The wall clock at time zero of the simulation, in milliseconds since the Unix epoch.
const EPOCH_MS: u64 = 1_750_000_000_000;

/// The messages sent by all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    /// The number of messages.
    pub messages: u64,
    /// Their total size in bytes, without the overhead of QUIC, UDP and IP.
    pub bytes: u64,
    /// The size of the longest message, in bytes.
    pub longest: usize,
}

/// A simulated fleet of membership tables.
#[derive(Debug)]
pub struct Members {
    now: Millis,
    nodes: BTreeMap<String, Node>,
    seeds: Vec<member::Seed>,
    /// The messages in flight, by time of arrival and sequence number.
    in_flight: BTreeMap<(Millis, u64), Packet>,
    sequence: u64,
    rng: Rng,
    /// The share of messages that are lost, from 0 to 1.
    loss: f64,
    /// Cut links, as pairs of sender and receiver.
    cut_links: BTreeSet<(String, String)>,
    sent: Sent,
    /// Links over which a message was sent and not lost, as pairs of sender and receiver.
    used_links: BTreeSet<(String, String)>,
}

/// The state of one running daemon.
#[derive(Debug)]
struct Node {
    table: member::Table,
    /// The time of the next tick.
    next: Millis,
    paused: bool,
    /// The recorded time-line events, as pairs of time and detail.
    records: Vec<(Millis, String)>,
}

/// An encoded message in flight.
#[derive(Debug)]
struct Packet {
    from: String,
    to: String,
    bytes: Vec<u8>,
}

impl Members {
    /// Creates a fleet without daemons, whose daemons join through those named in `seeds`; the same `seed` reproduces a
    /// node.
    pub fn new(seeds: &[&str], seed: u64) -> Members {
        let to_seed = |name: &&str| member::Seed {
            name: (*name).to_owned(),
            peer: address(name),
        };
        Members {
            now: Millis(1_000),
            nodes: BTreeMap::new(),
            seeds: seeds.iter().map(to_seed).collect(),
            in_flight: BTreeMap::new(),
            sequence: 0,
            rng: Rng::new(seed),
            loss: 0.0,
            cut_links: BTreeSet::new(),
            sent: Sent::default(),
            used_links: BTreeSet::new(),
        }
    }

    /// Starts the daemon called `name`, or restarts it after [`Members::kill`].
    pub fn start(&mut self, name: &str) {
        let options = member::Options {
            name: name.to_owned(),
            peer: address(name),
            domain: format!("domain-{}", name.len() % 4),
            incarnation: ids::Incarnation(EPOCH_MS + self.now.0),
            seeds: self.seeds.clone(),
            random_seed: self.rng.bits(),
        };
        let node = Node {
            table: member::Table::new(&options),
            next: self.now + Millis(self.rng.below(TICK_INTERVAL.0 as usize) as u64),
            paused: false,
            records: Vec::new(),
        };
        self.nodes.insert(name.to_owned(), node);
    }

    /// Stops the daemon called `name` without notice to the others.
    pub fn kill(&mut self, name: &str) {
        self.nodes.remove(name);
    }

    /// Pauses the daemon called `name` until [`Members::resume`]; messages to it are delivered then.
    pub fn pause(&mut self, name: &str) {
        self.set_paused(name, true);
    }

    /// Resumes a paused daemon.
    pub fn resume(&mut self, name: &str) {
        self.set_paused(name, false);
    }

    /// Resumes all paused daemons.
    pub fn resume_all(&mut self) {
        for node in self.nodes.values_mut() {
            node.paused = false;
        }
    }

    fn set_paused(&mut self, name: &str, paused: bool) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.paused = paused;
        }
    }

    /// Makes the daemon called `name` leave the fleet gracefully.
    pub fn leave(&mut self, name: &str) {
        self.handle(name, member::Event::Leave);
    }

    /// Sets the share of messages that are lost, from 0 to 1.
    pub fn set_loss(&mut self, share: f64) {
        self.loss = share;
    }

    /// Cuts the link from one daemon to another, in this direction only.
    pub fn cut(&mut self, from: &str, to: &str) {
        self.cut_links.insert((from.to_owned(), to.to_owned()));
    }

    /// Restores all cut links.
    pub fn heal_links(&mut self) {
        self.cut_links.clear();
    }

    /// Advances the simulated time by `span`.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += Millis(1);
            self.deliver();
            self.tick();
        }
    }

    /// Advances the simulated time until `done` returns true, and returns the elapsed time, or none once `limit` has
    /// passed.
    pub fn run_until(&mut self, limit: Millis, done: &dyn Fn(&Members) -> bool) -> Option<Millis> {
        let start = self.now;
        while !done(self) {
            if self.now - start >= limit {
                return None;
            }
            self.run(Millis(20));
        }
        Some(self.now - start)
    }

    /// Delivers the messages that are due; those to paused daemons are retried after a tick.
    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (key, packet) = (*entry.key(), entry.remove());
            let Some(node) = self.nodes.get(&packet.to) else {
                continue;
            };
            if node.paused {
                self.in_flight
                    .insert((key.0 + TICK_INTERVAL, key.1), packet);
                continue;
            }
            let datagram = gossip::decode(&packet.bytes).expect("the datagram was encoded here");
            let event = member::Event::Received {
                from: &packet.from,
                message: &datagram.message,
            };
            self.handle(&packet.to, event);
        }
    }

    /// Ticks the daemons that are due and not paused.
    fn tick(&mut self) {
        let now = self.now;
        let due = self.nodes.iter_mut().filter(|(_, r)| r.next <= now);
        let mut names = Vec::new();
        for (name, node) in due {
            node.next = now + TICK_INTERVAL;
            if !node.paused {
                names.push(name.clone());
            }
        }
        for name in names {
            self.handle(&name, member::Event::Tick);
        }
    }

    /// Passes an event to a daemon's table and carries out the resulting actions.
    fn handle(&mut self, name: &str, event: member::Event<'_>) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        for action in node.table.handle(self.now, event) {
            match action {
                member::Action::Send { to, message, .. } => self.send(name, &to, message),
                member::Action::Record { detail, .. } => {
                    if let Some(node) = self.nodes.get_mut(name) {
                        node.records.push((self.now, detail));
                    }
                }
            }
        }
    }

    /// Encodes and counts a message, and schedules its delivery unless it is lost or the link is cut.
    fn send(&mut self, from: &str, to: &str, message: gossip::Message) {
        let stamp = timeline::Stamp {
            wall: Millis(EPOCH_MS + self.now.0),
            count: 0,
        };
        let datagram = gossip::Datagram::new(stamp, message);
        let bytes = gossip::encode(&datagram).expect("every datagram can be encoded");
        self.sent.messages += 1;
        self.sent.bytes += bytes.len() as u64;
        self.sent.longest = self.sent.longest.max(bytes.len());
        let link = (from.to_owned(), to.to_owned());
        if self.cut_links.contains(&link) || self.rng.unit() < self.loss {
            return;
        }
        self.used_links.insert(link);
        self.sequence += 1;
        let delay = MIN_DELAY_MS + self.rng.below(DELAY_RANGE_MS) as u64;
        let packet = Packet {
            from: from.to_owned(),
            to: to.to_owned(),
            bytes,
        };
        self.in_flight
            .insert((self.now + Millis(delay), self.sequence), packet);
    }

    /// Returns the simulated time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Returns the names of the running daemons, including paused ones.
    pub fn names(&self) -> Vec<String> {
        self.nodes.keys().cloned().collect()
    }

    /// Returns the membership view of the daemon called `name`; it is empty if the daemon is not running.
    pub fn view(&self, name: &str) -> member::View {
        let node = self.nodes.get(name);
        node.map_or_else(member::View::default, |r| r.table.view())
    }

    /// Returns the liveness of `name` in the view of `observer`, or none if `observer` considers it dead.
    pub fn liveness_at(&self, observer: &str, name: &str) -> Option<member::Liveness> {
        self.nodes.get(observer)?.table.liveness(name)
    }

    /// Returns whether every daemon's count of live members equals the number of running daemons.
    pub fn counts_match(&self) -> bool {
        let all = self.nodes.len();
        self.nodes.values().all(|r| r.table.live_count() == all)
    }

    /// Returns whether every daemon's view contains exactly the running daemons, each with the liveness that it has in
    /// its own view.
    pub fn views_agree(&self) -> bool {
        let own = |name: &String| (name.clone(), self.liveness_at(name, name));
        let expected: BTreeMap<_, _> = self.nodes.keys().map(own).collect();
        self.nodes.keys().all(|observer| {
            let view = self.view(observer);
            let seen = view.members.into_iter();
            seen.map(|(name, m)| (name, Some(m.liveness)))
                .eq(expected.clone())
        })
    }

    /// Returns whether all other daemons see `name` with this liveness; none means dead.
    pub fn all_see(&self, name: &str, liveness: Option<member::Liveness>) -> bool {
        let others = self.nodes.keys().filter(|o| *o != name);
        others
            .into_iter()
            .all(|o| self.liveness_at(o, name) == liveness)
    }

    /// Returns whether any other daemon sees `name` with this liveness.
    pub fn any_sees(&self, name: &str, liveness: member::Liveness) -> bool {
        let mut others = self.nodes.keys().filter(|o| *o != name);
        others.any(|o| self.liveness_at(o, name) == Some(liveness))
    }

    /// Returns the time-line events that the daemon called `name` recorded, as pairs of time and detail.
    pub fn records(&self, name: &str) -> Vec<(Millis, String)> {
        self.nodes
            .get(name)
            .map_or_else(Vec::new, |r| r.records.clone())
    }

    /// Returns the counters of sent messages since the previous call.
    pub fn take_sent(&mut self) -> Sent {
        std::mem::take(&mut self.sent)
    }

    /// Returns the links over which messages were sent and not lost since the previous call, as pairs of sender and
    /// receiver.
    pub fn take_links(&mut self) -> BTreeSet<(String, String)> {
        std::mem::take(&mut self.used_links)
    }
}

/// Returns a made-up address for the daemon called `name`; no packet is sent to it.
fn address(name: &str) -> net::SocketAddr {
    let bits = name
        .bytes()
        .fold(0_u32, |h, b| h.wrapping_mul(31).wrapping_add(u32::from(b)));
    net::SocketAddr::from((net::Ipv4Addr::from(0x0a00_0000 | (bits >> 8)), 7_000))
}
