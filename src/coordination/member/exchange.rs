//! Messages of the membership protocol: probes and acknowledgements, updates gossiped to the successors, and
//! anti-entropy by digests, through which a daemon receives the updates that it missed.

use std::collections::BTreeMap;
use std::net;

use crate::coordination::member::digest;
use crate::coordination::member::probes::{Acknowledged, Step};
use crate::coordination::member::table::{Action, Seed, Table};
use crate::coordination::member::updates;
use crate::protocol::gossip;
use crate::state::clock;

/// The shortest interval between two rounds of updates to the successors.
const FLUSH_INTERVAL: clock::Millis = clock::Millis(200);
/// The interval between digests to a neighbour.
const NEIGHBOUR_INTERVAL: clock::Millis = clock::Millis(10_000);
/// The interval between digests to a random member.
const RANDOM_INTERVAL: clock::Millis = clock::Millis(60_000);
/// The interval between attempts to join the fleet.
const JOIN_INTERVAL: clock::Millis = clock::Millis(500);
/// The shortest interval between attempts to contact a missing daemon.
const CONTACT_INTERVAL: clock::Millis = clock::Millis(2_000);
/// The interval between attempts to contact missing daemons over the whole fleet.
const FLEET_CONTACT_INTERVAL: clock::Millis = clock::Millis(100);
/// How long an exchange stays open for an answer to its digest.
const EXCHANGE_TIMEOUT: clock::Millis = clock::Millis(3_000);
/// The delay until the next digest to the same daemon, after an answer that contained updates.
const CONTINUE_DELAY: clock::Millis = clock::Millis(300);
/// How long a dead member stays in the table.
const DEAD_SPAN: clock::Millis = clock::Millis(600_000);
/// The number of daemons that receive a digest on an attempt to join or after a pause.
const DIGEST_FANOUT: usize = 3;
/// The number of daemons that are asked to probe a member that does not answer.
const PROBE_HELPERS: usize = 3;
/// The most messages in answer to one digest.
const MAX_ANSWERS: usize = 6;

/// The digest exchanges that this daemon started, and the daemons that may be running.
#[derive(Debug, Default)]
pub(super) struct Exchanges {
    seeds: BTreeMap<String, net::SocketAddr>,
    hosts: BTreeMap<String, net::SocketAddr>,
    open: BTreeMap<String, Exchange>,
    next_flush: clock::Millis,
    next_neighbour: clock::Millis,
    next_random: clock::Millis,
    next_contact: clock::Millis,
}

/// An exchange of digests with one daemon.
#[derive(Debug)]
struct Exchange {
    peer: net::SocketAddr,
    deadline: clock::Millis,
    continue_at: Option<clock::Millis>,
}

impl Exchanges {
    pub(super) fn new(seeds: &[Seed]) -> Exchanges {
        Exchanges {
            seeds: by_name(seeds),
            ..Exchanges::default()
        }
    }

    /// Replaces the platform's list of hosts.
    pub(super) fn set_hosts(&mut self, hosts: &[Seed]) {
        self.hosts = by_name(hosts);
    }

    /// Continues the exchange with the daemon `from`, if one is open, because it sent updates.
    fn schedule_continue(&mut self, now: clock::Millis, from: &str) {
        if let Some(exchange) = self.open.get_mut(from) {
            exchange.continue_at.get_or_insert(now + CONTINUE_DELAY);
        }
    }

    /// Returns the daemons whose exchanges continue now.
    fn due_exchanges(&mut self, now: clock::Millis) -> Vec<Seed> {
        self.open.retain(|_, e| e.deadline > now);
        let due = self
            .open
            .iter()
            .filter(|(_, e)| e.continue_at.is_some_and(|at| at <= now));
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
    /// Handles a message from the daemon `from`, and answers it.
    pub(super) fn receive(&mut self, now: clock::Millis, from: &str, message: &gossip::Message) {
        if from == self.name {
            return;
        }
        self.record_contact(now, from);
        let mut sender = message.sender.clone();
        if sender.state != gossip::MemberState::Leaving {
            sender.state = gossip::MemberState::Alive;
        }
        let record = gossip::Record {
            name: from.to_owned(),
            about: sender.clone(),
            reporter: None,
        };
        self.merge(now, &record, true);
        self.merge_records(now, from, &message.records);
        self.reply_to(now, from, &sender, &message.body);
    }

    /// Merges the records of a message. Right after joining, records from an open exchange are not forwarded.
    fn merge_records(&mut self, now: clock::Millis, from: &str, records: &[gossip::Record]) {
        let forward = self.has_joined(now) || !self.exchanges.open.contains_key(from);
        let mut changed = false;
        for record in records {
            changed |= self.merge(now, record, forward);
        }
        if changed {
            self.exchanges.schedule_continue(now, from);
        }
    }

    /// Replies to a message's body, and corrects what the sender believes about itself.
    fn reply_to(
        &mut self,
        now: clock::Millis,
        from: &str,
        sender: &gossip::MemberInfo,
        body: &gossip::Body,
    ) {
        let answer = match body {
            gossip::Body::Probe { seq } => Some(gossip::Body::Ack { seq: *seq }),
            gossip::Body::Ack { seq } => {
                self.forward_ack(*seq);
                None
            }
            gossip::Body::ProbeRequest { seq, name, peer } => {
                let seq = self.probes.relay(now, from, *seq);
                self.send(name, *peer, gossip::Body::Probe { seq });
                None
            }
            gossip::Body::Digest { groups, reply } => {
                self.answer_digest(from, sender, groups, *reply);
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

    /// Returns the record about the sender, if it supersedes the state that the sender reports of itself.
    fn correction(&self, from: &str, sender: &gossip::MemberInfo) -> Option<gossip::Record> {
        let held = self.record_of(from)?;
        (held.about.precedence() > sender.precedence()).then_some(held)
    }

    /// Forwards the acknowledgement of a probe to the daemon that requested the probe.
    fn forward_ack(&mut self, seq: u32) {
        let Some(Acknowledged::Relayed { requester, seq }) = self.probes.acknowledge(seq) else {
            return;
        };
        let Some(entry) = self.members.get(&requester) else {
            return;
        };
        let peer = entry.about.peer;
        self.send(&requester, peer, gossip::Body::Ack { seq });
    }

    /// Answers a digest with the records of the groups that differ, and with its own digest if `reply` is set.
    fn answer_digest(
        &mut self,
        from: &str,
        sender: &gossip::MemberInfo,
        theirs: &[u32],
        reply: bool,
    ) {
        let ours = digest::digest(&self.members);
        if ours == theirs {
            return;
        }
        let first = self.random.index(ours.len());
        let names = digest::difference(&self.members, &ours, theirs, first);
        let mut records = names.into_iter().filter_map(|name| self.record_of(name));
        let empty = gossip::Message::new(self.own().clone(), gossip::Body::Records);
        let messages = digest::pack(&empty, &mut records, MAX_ANSWERS);
        for message in messages {
            self.queue_message(from, sender.peer, message);
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

    /// Carries out the steps that are due on probes of the watched members.
    pub(super) fn send_probes(&mut self, now: clock::Millis) {
        for step in self.probes.due_steps(now) {
            match step {
                Step::Probe { name, seq } => self.send_probe(&name, seq),
                Step::ProbeIndirectly { name, seq } => {
                    self.send_probe(&name, seq);
                    self.request_probes(&name, seq);
                }
                Step::Fail { name, began } => self.suspect(now, &name, began),
            }
        }
    }

    fn send_probe(&mut self, name: &str, seq: u32) {
        if let Some(entry) = self.members.get(name) {
            self.send(name, entry.about.peer, gossip::Body::Probe { seq });
        }
    }

    /// Asks neighbours of the member `name` to probe it.
    fn request_probes(&mut self, name: &str, seq: u32) {
        let Some(peer) = self.members.get(name).map(|e| e.about.peer) else {
            return;
        };
        let neighbours = self.neighbours_of(name);
        let helpers: Vec<_> = neighbours
            .predecessors
            .union(&neighbours.successors)
            .cloned()
            .collect();
        for helper in self.sample(helpers, PROBE_HELPERS) {
            let body = gossip::Body::ProbeRequest {
                seq,
                name: name.to_owned(),
                peer,
            };
            self.send(&helper.name, helper.peer, body);
        }
    }

    /// Samples up to `count` of the members in `names` at random, excluding this daemon.
    fn sample(&mut self, mut names: Vec<String>, count: usize) -> Vec<Seed> {
        names.retain(|n| *n != self.name);
        let mut sampled = Vec::new();
        while sampled.len() < count && !names.is_empty() {
            let name = names.swap_remove(self.random.index(names.len()));
            if let Some(entry) = self.members.get(&name) {
                sampled.push(seed(&name, entry.about.peer));
            }
        }
        sampled
    }

    /// Sends the digests that are due, contacts missing daemons and forgets dead members.
    pub(super) fn synchronize(&mut self, now: clock::Millis) {
        for seed in self.exchanges.due_exchanges(now) {
            self.send_digest(now, &seed);
        }
        if self.exchanges.next_neighbour <= now {
            self.exchanges.next_neighbour = now + NEIGHBOUR_INTERVAL;
            let neighbours = self
                .neighbours
                .successors
                .union(&self.neighbours.predecessors);
            let neighbours = neighbours.cloned().collect();
            self.send_digests(now, neighbours, 1);
        }
        if self.exchanges.next_random <= now {
            self.exchanges.next_random = now + RANDOM_INTERVAL;
            self.send_digests(now, self.live_names(), 1);
            self.forget_dead(now);
        }
        if self.exchanges.next_contact <= now {
            self.contact_missing(now);
        }
    }

    /// Sends digests to several members at once, because this daemon may have missed many updates.
    pub(super) fn synchronize_now(&mut self, now: clock::Millis) {
        self.send_digests(now, self.live_names(), DIGEST_FANOUT);
    }

    /// Tries to contact daemons that may be running but are not live members.
    fn contact_missing(&mut self, now: clock::Millis) {
        let is_alone = self.live_count <= 1;
        let fleet_interval = clock::Millis(
            FLEET_CONTACT_INTERVAL
                .0
                .saturating_mul(self.live_count as u64),
        );
        self.exchanges.next_contact = now
            + if is_alone {
                JOIN_INTERVAL
            } else {
                CONTACT_INTERVAL.max(fleet_interval)
            };
        let mut missing = self.missing();
        for _ in 0..if is_alone { DIGEST_FANOUT } else { 1 } {
            if missing.is_empty() {
                return;
            }
            let seed = missing.swap_remove(self.random.index(missing.len()));
            self.send_digest(now, &seed);
        }
    }

    /// Returns the known daemons that are not live members.
    fn missing(&self) -> Vec<Seed> {
        let dead = self.members.iter().filter(|(_, e)| !e.is_live());
        let mut known: BTreeMap<_, _> = dead.map(|(n, e)| (n, e.about.peer)).collect();
        known.extend(self.exchanges.hosts.iter().map(|(n, p)| (n, *p)));
        known.extend(self.exchanges.seeds.iter().map(|(n, p)| (n, *p)));
        let is_live = |name: &str| self.members.get(name).is_some_and(|e| e.is_live());
        let missing = known.into_iter().filter(|(name, _)| !is_live(name));
        missing.map(|(name, peer)| seed(name, peer)).collect()
    }

    fn live_names(&self) -> Vec<String> {
        let live = self.members.iter().filter(|(_, e)| e.is_live());
        live.map(|(name, _)| name.clone()).collect()
    }

    /// Removes members that have been dead for long enough.
    fn forget_dead(&mut self, now: clock::Millis) {
        self.members
            .retain(|_, e| e.is_live() || now - e.since < DEAD_SPAN);
    }

    fn send_digests(&mut self, now: clock::Millis, names: Vec<String>, count: usize) {
        for seed in self.sample(names, count) {
            self.send_digest(now, &seed);
        }
    }

    /// Sends a digest to a daemon, which starts or continues an exchange with it.
    fn send_digest(&mut self, now: clock::Millis, to: &Seed) {
        let exchange = Exchange {
            peer: to.peer,
            deadline: now + EXCHANGE_TIMEOUT,
            continue_at: None,
        };
        self.exchanges.open.insert(to.name.clone(), exchange);
        let body = gossip::Body::Digest {
            groups: digest::digest(&self.members),
            reply: true,
        };
        self.send(&to.name, to.peer, body);
    }

    /// Sends the queued updates to the successors if one of them has not been sent yet and the interval has passed.
    pub(super) fn flush(&mut self, now: clock::Millis) {
        if self.exchanges.next_flush <= now && self.updates.has_unsent() {
            self.flush_now(now);
        }
    }

    /// Sends the successors all queued updates that fit into one message.
    pub(super) fn flush_now(&mut self, now: clock::Millis) {
        self.exchanges.next_flush = now + FLUSH_INTERVAL;
        let to = self.sample(
            self.neighbours.successors.iter().cloned().collect(),
            usize::MAX,
        );
        let copies = u32::try_from(to.len()).unwrap_or(u32::MAX);
        if copies == 0 {
            return;
        }
        let mut message = gossip::Message::new(self.own().clone(), gossip::Body::Records);
        message.records = self.take_updates(message.remaining_bytes(), copies);
        for seed in to {
            self.queue_message(&seed.name, seed.peer, message.clone());
        }
    }

    /// Takes as many queued updates as fit into `room` bytes, counted as sent `copies` times.
    fn take_updates(&mut self, room: usize, copies: u32) -> Vec<gossip::Record> {
        let limit = updates::send_limit(self.live_count);
        let mut updates = std::mem::take(&mut self.updates);
        let records = updates.take_records(room, copies, limit, &|name| self.record_of(name));
        self.updates = updates;
        records
    }

    /// Sends a member only the record about itself.
    pub(super) fn send_record(&mut self, to: &gossip::MemberInfo, record: &gossip::Record) {
        let mut message = gossip::Message::new(self.own().clone(), gossip::Body::Records);
        message.records.push(record.clone());
        self.queue_message(&record.name, to.peer, message);
    }

    fn send(&mut self, to: &str, peer: net::SocketAddr, body: gossip::Body) {
        let message = gossip::Message::new(self.own().clone(), body);
        self.send_message(to, peer, message);
    }

    /// Sends a message, filled up with queued updates.
    fn send_message(&mut self, to: &str, peer: net::SocketAddr, mut message: gossip::Message) {
        let updates = self.take_updates(message.remaining_bytes(), 1);
        message.records.extend(updates);
        self.queue_message(to, peer, message);
    }

    fn queue_message(&mut self, to: &str, peer: net::SocketAddr, message: gossip::Message) {
        self.actions.push(Action::Send {
            to: to.to_owned(),
            peer,
            message,
        });
    }
}
