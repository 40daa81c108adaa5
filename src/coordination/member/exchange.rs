//! What a daemon says and hears: probes and answers, news to its successors, digests to find what it missed.

use std::collections::BTreeMap;
use std::net;

use crate::coordination::member::digest;
use crate::coordination::member::probes::{Answered, Step};
use crate::coordination::member::table::{Action, Seed, Table};
use crate::coordination::member::updates;
use crate::protocol::gossip;
use crate::state::clock;

/// The least time between two rounds of news to the successors.
const FLUSH: clock::Millis = clock::Millis(200);
/// The time between two digests to a neighbour.
const NEAR: clock::Millis = clock::Millis(10_000);
/// The time between two digests to any member.
const FAR: clock::Millis = clock::Millis(60_000);
/// The time between two tries to join.
const JOIN: clock::Millis = clock::Millis(500);
/// The least time between two tries to reach a daemon that is missing.
const SEEK: clock::Millis = clock::Millis(2_000);
/// The time between the tries of the whole fleet to reach daemons that are missing.
const SEEK_FLEET: clock::Millis = clock::Millis(100);
/// How long an answer to a digest is waited for.
const EXCHANGE: clock::Millis = clock::Millis(3_000);
/// The time until the next digest to the same daemon, after one that brought news.
const AGAIN: clock::Millis = clock::Millis(300);
/// How long a dead member is remembered.
const BURIED: clock::Millis = clock::Millis(600_000);
/// The daemons that are asked to join at, or after a pause.
const ASKED: usize = 3;
/// The daemons that are asked to probe another.
const HELPERS: usize = 3;
/// The messages that answer one digest at most.
const ANSWERS: usize = 6;

/// The exchanges of digests, and the daemons that may be there.
#[derive(Debug, Default)]
pub(super) struct Exchanges {
    seeds: BTreeMap<String, net::SocketAddr>,
    hosts: BTreeMap<String, net::SocketAddr>,
    open: BTreeMap<String, Exchange>,
    flush: clock::Millis,
    near: clock::Millis,
    far: clock::Millis,
    seek: clock::Millis,
}

/// One exchange that this daemon began.
#[derive(Debug)]
struct Exchange {
    peer: net::SocketAddr,
    until: clock::Millis,
    again: Option<clock::Millis>,
}

impl Exchanges {
    pub(super) fn new(seeds: &[Seed]) -> Exchanges {
        Exchanges {
            seeds: by_name(seeds),
            ..Exchanges::default()
        }
    }

    /// Replaces the platform's list.
    pub(super) fn list(&mut self, hosts: &[Seed]) {
        self.hosts = by_name(hosts);
    }

    /// Notes news from a daemon; if an exchange with it is open, it goes on.
    fn note_news(&mut self, now: clock::Millis, from: &str) {
        if let Some(exchange) = self.open.get_mut(from) {
            exchange.again.get_or_insert(now + AGAIN);
        }
    }

    /// Returns the exchanges that go on now.
    fn take_again(&mut self, now: clock::Millis) -> Vec<Seed> {
        self.open.retain(|_, e| e.until > now);
        let due = self
            .open
            .iter()
            .filter(|(_, e)| e.again.is_some_and(|at| at <= now));
        due.map(|(name, e)| seed(name, e.peer)).collect()
    }
}

fn by_name(seeds: &[Seed]) -> BTreeMap<String, net::SocketAddr> {
    seeds.iter().map(|s| (s.name.clone(), s.peer)).collect()
}

fn seed(name: &str, peer: net::SocketAddr) -> Seed {
    Seed {
        name: name.to_owned(),
        peer,
    }
}

impl Table {
    /// Takes in a message and answers it.
    pub(super) fn receive(&mut self, now: clock::Millis, from: &str, message: &gossip::Message) {
        if from == self.name {
            return;
        }
        self.note_heard(now, from);
        let mut sender = message.sender.clone();
        if sender.state != gossip::Liveness::Leaving {
            sender.state = gossip::Liveness::Alive;
        }
        let said = gossip::Record {
            name: from.to_owned(),
            about: sender.clone(),
            reporter: None,
        };
        self.merge(now, &said, true);
        self.take_records(now, from, &message.records);
        self.answer(now, from, &sender, &message.body);
    }

    fn take_records(&mut self, now: clock::Millis, from: &str, records: &[gossip::Record]) {
        let spread = self.is_settled(now) || !self.exchanges.open.contains_key(from);
        let mut news = false;
        for record in records {
            news |= self.merge(now, record, spread);
        }
        if news {
            self.exchanges.note_news(now, from);
        }
    }

    fn answer(
        &mut self,
        now: clock::Millis,
        from: &str,
        sender: &gossip::MemberInfo,
        body: &gossip::Body,
    ) {
        let answer = match body {
            gossip::Body::Probe { seq } => Some(gossip::Body::Ack { seq: *seq }),
            gossip::Body::Ack { seq } => {
                self.pass_on(*seq);
                None
            }
            gossip::Body::ProbeRequest { seq, name, peer } => {
                let seq = self.probes.ask(now, from, *seq);
                self.send(name, *peer, gossip::Body::Probe { seq });
                None
            }
            gossip::Body::Digest { groups, reply } => {
                self.compare(from, sender, groups, *reply);
                None
            }
            gossip::Body::Records => None,
        };
        let correction = self.correction(from, sender);
        if answer.is_none() && correction.is_none() {
            return;
        }
        let body = answer.unwrap_or(gossip::Body::Records);
        let mut message = gossip::Message::new(self.own().clone(), body);
        message.records.extend(correction);
        self.send_message(from, sender.peer, message);
    }

    /// Returns what the sender must learn about itself: what prevails over its own word here.
    fn correction(&self, from: &str, sender: &gossip::MemberInfo) -> Option<gossip::Record> {
        let held = self.record_of(from)?;
        (held.about.precedence() > sender.precedence()).then_some(held)
    }

    /// Tells whoever asked for it that a probe was answered.
    fn pass_on(&mut self, seq: u32) {
        let Some(Answered::Asked { by, seq }) = self.probes.answered(seq) else {
            return;
        };
        let Some(entry) = self.members.get(&by) else {
            return;
        };
        let peer = entry.about.peer;
        self.send(&by, peer, gossip::Body::Ack { seq });
    }

    /// Answers a digest by what the sender may lack.
    fn compare(&mut self, from: &str, sender: &gossip::MemberInfo, theirs: &[u32], reply: bool) {
        let ours = digest::digest(&self.members);
        if ours == theirs {
            return;
        }
        let first = self.random.index(ours.len());
        let names = digest::difference(&self.members, &ours, theirs, first);
        let mut records = names.into_iter().filter_map(|name| self.record_of(name));
        let empty = gossip::Message::new(self.own().clone(), gossip::Body::Records);
        let messages = digest::pack(&empty, &mut records, ANSWERS);
        for message in messages {
            self.push(from, sender.peer, message);
        }
        if reply {
            let groups = ours;
            let body = gossip::Body::Digest {
                groups,
                reply: false,
            };
            self.send(from, sender.peer, body);
        }
    }

    /// Probes the members that this daemon watches.
    pub(super) fn probe(&mut self, now: clock::Millis) {
        for step in self.probes.due(now) {
            match step {
                Step::Probe { name, seq } => self.send_probe(&name, seq),
                Step::Ask { name, seq } => {
                    self.send_probe(&name, seq);
                    self.ask_helpers(&name, seq);
                }
                Step::Fail { name, began } => self.accuse(now, &name, began),
            }
        }
    }

    fn send_probe(&mut self, name: &str, seq: u32) {
        if let Some(entry) = self.members.get(name) {
            self.send(name, entry.about.peer, gossip::Body::Probe { seq });
        }
    }

    /// Asks members that know the one called `name` well to probe it.
    fn ask_helpers(&mut self, name: &str, seq: u32) {
        let Some(peer) = self.members.get(name).map(|e| e.about.peer) else {
            return;
        };
        let near = self.neighbours_of(name);
        let helpers: Vec<_> = near.before.union(&near.after).cloned().collect();
        for helper in self.draw(helpers, HELPERS) {
            let body = gossip::Body::ProbeRequest {
                seq,
                name: name.to_owned(),
                peer,
            };
            self.send(&helper.name, helper.peer, body);
        }
    }

    /// Draws up to `count` of the members called `names`, other than this daemon.
    fn draw(&mut self, mut names: Vec<String>, count: usize) -> Vec<Seed> {
        names.retain(|n| *n != self.name);
        let mut drawn = Vec::new();
        while drawn.len() < count && !names.is_empty() {
            let name = names.swap_remove(self.random.index(names.len()));
            if let Some(entry) = self.members.get(&name) {
                drawn.push(seed(&name, entry.about.peer));
            }
        }
        drawn
    }

    /// Sends digests where they are due.
    pub(super) fn exchange(&mut self, now: clock::Millis) {
        for seed in self.exchanges.take_again(now) {
            self.send_digest(now, &seed);
        }
        if self.exchanges.near <= now {
            self.exchanges.near = now + NEAR;
            let near = self.neighbours.after.union(&self.neighbours.before);
            let near = near.cloned().collect();
            self.send_digests(now, near, 1);
        }
        if self.exchanges.far <= now {
            self.exchanges.far = now + FAR;
            self.send_digests(now, self.live_names(), 1);
            self.forget(now);
        }
        if self.exchanges.seek <= now {
            self.seek(now);
        }
    }

    /// Sends digests to several members at once, because this daemon may have missed much.
    pub(super) fn compare_at_once(&mut self, now: clock::Millis) {
        self.send_digests(now, self.live_names(), ASKED);
    }

    /// Tries to reach daemons that may be there and are not among the live ones.
    fn seek(&mut self, now: clock::Millis) {
        let alone = self.live <= 1;
        let fleet = clock::Millis(SEEK_FLEET.0.saturating_mul(self.live as u64));
        self.exchanges.seek = now + if alone { JOIN } else { SEEK.max(fleet) };
        let mut missing = self.missing();
        for _ in 0..if alone { ASKED } else { 1 } {
            if missing.is_empty() {
                return;
            }
            let seed = missing.swap_remove(self.random.index(missing.len()));
            self.send_digest(now, &seed);
        }
    }

    fn missing(&self) -> Vec<Seed> {
        let dead = self.members.iter().filter(|(_, e)| !e.is_live());
        let mut known: BTreeMap<_, _> = dead.map(|(n, e)| (n, e.about.peer)).collect();
        known.extend(self.exchanges.hosts.iter().map(|(n, p)| (n, *p)));
        known.extend(self.exchanges.seeds.iter().map(|(n, p)| (n, *p)));
        let lives = |name: &str| self.members.get(name).is_some_and(|e| e.is_live());
        let missing = known.into_iter().filter(|(name, _)| !lives(name));
        missing.map(|(name, peer)| seed(name, peer)).collect()
    }

    fn live_names(&self) -> Vec<String> {
        let live = self.members.iter().filter(|(_, e)| e.is_live());
        live.map(|(name, _)| name.clone()).collect()
    }

    fn forget(&mut self, now: clock::Millis) {
        self.members
            .retain(|_, e| e.is_live() || now - e.since < BURIED);
    }

    fn send_digests(&mut self, now: clock::Millis, names: Vec<String>, count: usize) {
        for seed in self.draw(names, count) {
            self.send_digest(now, &seed);
        }
    }

    /// Begins an exchange, or goes on with it.
    fn send_digest(&mut self, now: clock::Millis, to: &Seed) {
        let exchange = Exchange {
            peer: to.peer,
            until: now + EXCHANGE,
            again: None,
        };
        self.exchanges.open.insert(to.name.clone(), exchange);
        let body = gossip::Body::Digest {
            groups: digest::digest(&self.members),
            reply: true,
        };
        self.send(&to.name, to.peer, body);
    }

    /// Tells the successors news that nobody was told yet.
    pub(super) fn flush(&mut self, now: clock::Millis) {
        if self.exchanges.flush <= now && self.updates.has_fresh() {
            self.flush_now(now);
        }
    }

    /// Tells the successors all news that fits.
    pub(super) fn flush_now(&mut self, now: clock::Millis) {
        self.exchanges.flush = now + FLUSH;
        let to = self.draw(self.neighbours.after.iter().cloned().collect(), usize::MAX);
        let copies = u32::try_from(to.len()).unwrap_or(u32::MAX);
        if copies == 0 {
            return;
        }
        let mut message = gossip::Message::new(self.own().clone(), gossip::Body::Records);
        message.records = self.take_news(message.remaining_bytes(), copies);
        for seed in to {
            self.push(&seed.name, seed.peer, message.clone());
        }
    }

    fn take_news(&mut self, room: usize, copies: u32) -> Vec<gossip::Record> {
        let limit = updates::limit(self.live);
        let mut updates = std::mem::take(&mut self.updates);
        let records = updates.take(room, copies, limit, &|name| self.record_of(name));
        self.updates = updates;
        records
    }

    /// Sends one record, and nothing else.
    pub(super) fn send_record(&mut self, to: &gossip::MemberInfo, record: &gossip::Record) {
        let mut message = gossip::Message::new(self.own().clone(), gossip::Body::Records);
        message.records.push(record.clone());
        self.push(&record.name, to.peer, message);
    }

    fn send(&mut self, to: &str, peer: net::SocketAddr, body: gossip::Body) {
        let message = gossip::Message::new(self.own().clone(), body);
        self.send_message(to, peer, message);
    }

    /// Sends a message, filled up by news.
    fn send_message(&mut self, to: &str, peer: net::SocketAddr, mut message: gossip::Message) {
        let news = self.take_news(message.remaining_bytes(), 1);
        message.records.extend(news);
        self.push(to, peer, message);
    }

    fn push(&mut self, to: &str, peer: net::SocketAddr, message: gossip::Message) {
        self.actions.push(Action::Send {
            to: to.to_owned(),
            peer,
            message,
        });
    }
}
