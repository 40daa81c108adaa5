//! Tables of the membership in one process, with messages that take time, get lost, or are cut off.
//!
//! Time passes only in [`Members::run`], so that thousands of daemons and minutes fit into a test.

use std::collections::{BTreeMap, BTreeSet};
use std::net;

use peridotspread::coordination::member;
use peridotspread::protocol::gossip;
use peridotspread::state::clock::Millis;
use peridotspread::state::ids;
use peridotspread::state::timeline;

use crate::rng::Rng;

/// The time between two ticks of a daemon.
const TICK: Millis = Millis(100);
/// The time that a message takes at least.
const DELAY_MIN_MS: u64 = 1;
/// What a message takes more at most.
const DELAY_MORE_MS: usize = 4;
/// The wall clock at the start of a run, in milliseconds since 1970.
const EPOCH_MS: u64 = 1_750_000_000_000;

/// What was sent, over all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    /// The messages.
    pub messages: u64,
    /// Their bytes, without what QUIC, UDP and IP add.
    pub bytes: u64,
    /// The bytes of the longest.
    pub longest: usize,
}

/// All daemons of a fleet.
#[derive(Debug)]
pub struct Members {
    now: Millis,
    runs: BTreeMap<String, Run>,
    seeds: Vec<member::Seed>,
    /// What is on its way, by arrival.
    letters: BTreeMap<(Millis, u64), Letter>,
    count: u64,
    rng: Rng,
    loss: f64,
    cuts: BTreeSet<(String, String)>,
    sent: Sent,
    reached: BTreeSet<(String, String)>,
}

#[derive(Debug)]
struct Run {
    table: member::Table,
    next: Millis,
    paused: bool,
    records: Vec<(Millis, String)>,
}

#[derive(Debug)]
struct Letter {
    from: String,
    to: String,
    bytes: Vec<u8>,
}

impl Members {
    /// Creates an empty fleet whose daemons join at those called `seeds`; `seed` repeats a run.
    pub fn new(seeds: &[&str], seed: u64) -> Members {
        let seed_of = |name: &&str| member::Seed {
            name: (*name).to_owned(),
            peer: address(name),
        };
        Members {
            now: Millis(1_000),
            runs: BTreeMap::new(),
            seeds: seeds.iter().map(seed_of).collect(),
            letters: BTreeMap::new(),
            count: 0,
            rng: Rng::new(seed),
            loss: 0.0,
            cuts: BTreeSet::new(),
            sent: Sent::default(),
            reached: BTreeSet::new(),
        }
    }

    /// Starts the daemon called `name`, or starts it again after [`Members::kill`].
    pub fn start(&mut self, name: &str) {
        let options = member::Options {
            name: name.to_owned(),
            peer: address(name),
            domain: format!("domain-{}", name.len() % 4),
            incarnation: ids::Incarnation(EPOCH_MS + self.now.0),
            seeds: self.seeds.clone(),
            random_seed: self.rng.bits(),
        };
        let run = Run {
            table: member::Table::new(&options),
            next: self.now + Millis(self.rng.below(TICK.0 as usize) as u64),
            paused: false,
            records: Vec::new(),
        };
        self.runs.insert(name.to_owned(), run);
    }

    /// Ends the daemon called `name` without a word.
    pub fn kill(&mut self, name: &str) {
        self.runs.remove(name);
    }

    /// Stops the daemon called `name` until [`Members::resume`]; what comes in waits.
    pub fn pause(&mut self, name: &str) {
        self.set_paused(name, true);
    }

    /// Lets a paused daemon go on.
    pub fn resume(&mut self, name: &str) {
        self.set_paused(name, false);
    }

    /// Lets all paused daemons go on.
    pub fn resume_all(&mut self) {
        for run in self.runs.values_mut() {
            run.paused = false;
        }
    }

    fn set_paused(&mut self, name: &str, paused: bool) {
        if let Some(run) = self.runs.get_mut(name) {
            run.paused = paused;
        }
    }

    /// Lets the daemon called `name` begin to leave.
    pub fn leave(&mut self, name: &str) {
        self.handle(name, member::Event::Leave);
    }

    /// Loses a share of all messages.
    pub fn set_loss(&mut self, share: f64) {
        self.loss = share;
    }

    /// Cuts the way from one daemon to another, in this direction only.
    pub fn cut(&mut self, from: &str, to: &str) {
        self.cuts.insert((from.to_owned(), to.to_owned()));
    }

    /// Mends all cuts.
    pub fn heal_links(&mut self) {
        self.cuts.clear();
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += Millis(1);
            self.deliver();
            self.tick();
        }
    }

    /// Lets time pass until `done` holds, and returns how long that took; nothing if `limit` passed first.
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

    fn deliver(&mut self) {
        while let Some(entry) = self.letters.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (key, letter) = (*entry.key(), entry.remove());
            let Some(run) = self.runs.get(&letter.to) else {
                continue;
            };
            if run.paused {
                self.letters.insert((key.0 + TICK, key.1), letter);
                continue;
            }
            let datagram = gossip::decode(&letter.bytes).expect("the datagram was encoded here");
            let event = member::Event::Received {
                from: &letter.from,
                message: &datagram.message,
            };
            self.handle(&letter.to, event);
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        let due = self.runs.iter_mut().filter(|(_, r)| r.next <= now);
        let mut names = Vec::new();
        for (name, run) in due {
            run.next = now + TICK;
            if !run.paused {
                names.push(name.clone());
            }
        }
        for name in names {
            self.handle(&name, member::Event::Tick);
        }
    }

    fn handle(&mut self, name: &str, event: member::Event<'_>) {
        let Some(run) = self.runs.get_mut(name) else {
            return;
        };
        for action in run.table.handle(self.now, event) {
            match action {
                member::Action::Send { to, message, .. } => self.send(name, &to, message),
                member::Action::Record { detail, .. } => {
                    if let Some(run) = self.runs.get_mut(name) {
                        run.records.push((self.now, detail));
                    }
                }
            }
        }
    }

    fn send(&mut self, from: &str, to: &str, message: gossip::Message) {
        let stamp = timeline::Stamp {
            wall: Millis(EPOCH_MS + self.now.0),
            count: 0,
        };
        let datagram = gossip::Datagram { stamp, message };
        let bytes = gossip::encode(&datagram).expect("a datagram can be encoded");
        self.sent.messages += 1;
        self.sent.bytes += bytes.len() as u64;
        self.sent.longest = self.sent.longest.max(bytes.len());
        let way = (from.to_owned(), to.to_owned());
        if self.cuts.contains(&way) || self.rng.unit() < self.loss {
            return;
        }
        self.reached.insert(way);
        self.count += 1;
        let delay = DELAY_MIN_MS + self.rng.below(DELAY_MORE_MS) as u64;
        let letter = Letter {
            from: from.to_owned(),
            to: to.to_owned(),
            bytes,
        };
        self.letters
            .insert((self.now + Millis(delay), self.count), letter);
    }

    /// Returns the time of the run.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Returns the names of the daemons that run, paused or not.
    pub fn names(&self) -> Vec<String> {
        self.runs.keys().cloned().collect()
    }

    /// Returns what the daemon called `name` sees; nothing if it does not run.
    pub fn view(&self, name: &str) -> member::View {
        let run = self.runs.get(name);
        run.map_or_else(member::View::default, |r| r.table.view())
    }

    /// Returns what `observer` sees of `name`; nothing if it takes it for dead.
    pub fn liveness_at(&self, observer: &str, name: &str) -> Option<member::Liveness> {
        self.runs.get(observer)?.table.liveness(name)
    }

    /// Returns whether every daemon sees as many others as run.
    pub fn counts_match(&self) -> bool {
        let all = self.runs.len();
        self.runs.values().all(|r| r.table.live_count() == all)
    }

    /// Returns whether every daemon sees exactly the daemons that run, each as it sees itself.
    pub fn views_agree(&self) -> bool {
        let own = |name: &String| (name.clone(), self.liveness_at(name, name));
        let truth: BTreeMap<_, _> = self.runs.keys().map(own).collect();
        self.runs.keys().all(|observer| {
            let view = self.view(observer);
            let seen = view.members.into_iter();
            seen.map(|(name, m)| (name, Some(m.liveness)))
                .eq(truth.clone())
        })
    }

    /// Returns whether every other daemon sees `name` as `liveness`; nothing stands for dead.
    pub fn all_see(&self, name: &str, liveness: Option<member::Liveness>) -> bool {
        let others = self.runs.keys().filter(|o| *o != name);
        others
            .into_iter()
            .all(|o| self.liveness_at(o, name) == liveness)
    }

    /// Returns whether any other daemon sees `name` as `liveness`.
    pub fn any_sees(&self, name: &str, liveness: member::Liveness) -> bool {
        let mut others = self.runs.keys().filter(|o| *o != name);
        others.any(|o| self.liveness_at(o, name) == Some(liveness))
    }

    /// Returns what the daemon called `name` recorded for the time line.
    pub fn records(&self, name: &str) -> Vec<(Millis, String)> {
        self.runs
            .get(name)
            .map_or_else(Vec::new, |r| r.records.clone())
    }

    /// Returns what was sent since this was last called.
    pub fn take_sent(&mut self) -> Sent {
        std::mem::take(&mut self.sent)
    }

    /// Returns the ways that messages took since this was last called, each as sender and receiver.
    pub fn take_links(&mut self) -> BTreeSet<(String, String)> {
        std::mem::take(&mut self.reached)
    }
}

/// Returns an address for the daemon called `name`; nothing is sent there.
fn address(name: &str) -> net::SocketAddr {
    let bits = name
        .bytes()
        .fold(0_u32, |h, b| h.wrapping_mul(31).wrapping_add(u32::from(b)));
    net::SocketAddr::from((net::Ipv4Addr::from(0x0a00_0000 | (bits >> 8)), 7_000))
}
