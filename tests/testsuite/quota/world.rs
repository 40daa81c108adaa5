//! Daemons that are homes and holders, with delays and cuts between them. Runs are counted as the rule does: by the time
//! at which a token is spent, over sliding windows of 5 s.

use std::collections::{BTreeMap, BTreeSet};

use peridotspread::coordination::member;
use peridotspread::coordination::quota::{Ask, Holder, Home, Limit, Ranking, Verdict};
use peridotspread::protocol::peer;
use peridotspread::state::clock::Millis;
use peridotspread::state::ids;

use crate::cell::scene::Random;

const WINDOW: u64 = 5_000;
const TICK: u64 = 50;
const TIMEOUT: u64 = 200;
/// When requests begin; the daemons start at 0.
pub(super) const BEGIN: u64 = 1_000;

enum Event {
    Arrive(usize, String),
    Request(usize, usize, Ask),
    Reply(usize, Ask, Option<Vec<peer::TokenLot>>),
    Timeout(usize, Ask),
    Tick,
    Step(usize),
}

struct Daemon {
    name: String,
    is_alive: bool,
    view: member::View,
    ranking: Ranking,
    holder: Holder,
    home: Home,
    waiting: BTreeMap<u64, (String, u64)>,
}

/// The requests of one organisation.
#[derive(Default)]
pub(super) struct Count {
    pub(super) runs: Vec<u64>,
    pub(super) refused: u64,
    pub(super) unknown: u64,
    pub(super) waits: Vec<u64>,
}

pub(super) struct World {
    pub(super) now: u64,
    pub(super) random: Random,
    daemons: Vec<Daemon>,
    pub(super) limits: BTreeMap<String, Limit>,
    pub(super) counts: BTreeMap<String, Count>,
    pub(super) cuts: BTreeSet<(usize, usize)>,
    pub(super) messages: u64,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    tickets: u64,
}

/// A change of the world at a given time.
pub(super) type Step<'a> = (u64, &'a dyn Fn(&mut World));

impl World {
    /// Starts `count` daemons, each of which sees all others at once.
    pub(super) fn new(count: usize, seed: u64) -> World {
        let names: Vec<_> = (0..count).map(|n| format!("d{n}")).collect();
        let daemon = |name: &String| Daemon {
            name: name.clone(),
            is_alive: true,
            view: member::View::default(),
            ranking: Ranking::default(),
            holder: Holder::new(name, Millis::ZERO),
            home: Home::new(name, 1),
            waiting: BTreeMap::new(),
        };
        let mut world = World {
            now: 0,
            random: Random(seed),
            daemons: names.iter().map(daemon).collect(),
            limits: BTreeMap::new(),
            counts: BTreeMap::new(),
            cuts: BTreeSet::new(),
            messages: 0,
            events: BTreeMap::new(),
            sequence: 0,
            tickets: 0,
        };
        let all: Vec<_> = (0..count).collect();
        world.see(&all, &all);
        world
    }

    pub(super) fn limit(&mut self, organisation: &str, rate: f64, burst: f64) {
        let limit = Limit { rate, burst };
        self.limits.insert(organisation.to_owned(), limit);
        for daemon in &mut self.daemons {
            let limits = &self.limits;
            let verdicts = daemon.home.apply_limits(&|o| limits.get(o).copied());
            assert!(verdicts.is_empty());
        }
    }

    /// Sets the view of the daemons `who` to the alive daemons `seen`.
    pub(super) fn see(&mut self, who: &[usize], seen: &[usize]) {
        let member = |n: &usize| {
            let member = member::Member {
                peer: "127.0.0.1:9".parse().unwrap(),
                domain: "lahore-1".to_owned(),
                incarnation: ids::Incarnation(1),
                liveness: member::Liveness::Alive,
                version: 1,
            };
            (format!("d{n}"), member)
        };
        let view = member::View {
            members: seen.iter().map(member).collect(),
        };
        let mut ranking = Ranking::default();
        ranking.apply(&view);
        for n in who {
            let daemon = &mut self.daemons[*n];
            daemon.view = view.clone();
            daemon.ranking = ranking.clone();
            daemon
                .holder
                .apply(Millis(self.now), &daemon.view, &daemon.ranking);
        }
    }

    pub(super) fn holder(&self, at: usize, organisation: &str) -> usize {
        let name = self.daemons[at].ranking.holder(organisation).unwrap();
        name[1..].parse().unwrap()
    }

    pub(super) fn kill(&mut self, n: usize) {
        self.daemons[n].is_alive = false;
    }

    /// Starts a daemon again, without state.
    pub(super) fn restart(&mut self, n: usize) {
        let daemon = &mut self.daemons[n];
        daemon.is_alive = true;
        daemon.holder = Holder::new(&daemon.name, Millis(self.now));
        daemon.home = Home::new(&daemon.name, 2);
        daemon.waiting.clear();
        let view = daemon.view.clone();
        daemon
            .holder
            .apply(Millis(self.now), &view, &daemon.ranking);
    }

    /// Schedules the requests of an organisation at random times, evenly over homes.
    pub(super) fn send(
        &mut self,
        organisation: &str,
        rate: f64,
        homes: std::ops::Range<usize>,
        span: std::ops::Range<u64>,
    ) {
        let mut at = span.start as f64;
        loop {
            at += -(1.0 - self.random.unit()).ln() / rate * 1_000.0;
            if at >= span.end as f64 {
                return;
            }
            let home = homes.start + (self.random.unit() * homes.len() as f64) as usize;
            self.push(at as u64, Event::Arrive(home, organisation.to_owned()));
        }
    }

    pub(super) fn run(&mut self, until: u64, steps: &[Step<'_>]) {
        self.push(self.now, Event::Tick);
        for (n, (at, _)) in steps.iter().enumerate() {
            self.push(*at, Event::Step(n));
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > until {
                return;
            }
            self.now = at;
            match event {
                Event::Step(n) => steps[n].1(self),
                other => self.handle(other),
            }
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn handle(&mut self, event: Event) {
        let now = Millis(self.now);
        match event {
            Event::Arrive(n, organisation) => {
                if !self.daemons[n].is_alive {
                    return;
                }
                self.tickets += 1;
                let (ticket, at) = (self.tickets, self.now);
                let daemon = &mut self.daemons[n];
                daemon.waiting.insert(ticket, (organisation.clone(), at));
                let limit = self.limits[&organisation];
                let verdict = daemon.home.arrive(now, &organisation, limit, ticket);
                self.end(n, verdict.map(|v| (ticket, v)).into_iter().collect());
                self.ask(n);
            }
            Event::Request(from, to, ask) => {
                if !self.daemons[to].is_alive {
                    return;
                }
                let limits = &self.limits;
                let daemon = &mut self.daemons[to];
                let organisation = &ask.request.needs[0].organisation.clone();
                let holds = daemon.holder.holds(organisation);
                if holds {
                    let limit = |o: &str| limits.get(o).copied();
                    let lots = daemon.holder.answer(now, &ask.request, &limit);
                    if !self.cuts.contains(&(to, from)) {
                        let delay = self.delay();
                        self.push(self.now + delay, Event::Reply(from, ask, lots));
                    }
                } else if !ask.request.forwarded {
                    // The reply takes the same way back; a cut of it loses the reply.
                    let mut ask = ask;
                    ask.request.forwarded = true;
                    let holder = self.holder(to, organisation);
                    let back = [(from, to), (to, from), (holder, to), (to, holder)];
                    if back.iter().all(|l| !self.cuts.contains(l)) && self.daemons[holder].is_alive
                    {
                        let limits = &self.limits;
                        let limit = |o: &str| limits.get(o).copied();
                        let daemon = &mut self.daemons[holder];
                        let lots = daemon.holder.answer(now, &ask.request, &limit);
                        let delay = 2 * self.delay();
                        self.push(self.now + delay, Event::Reply(from, ask, lots));
                    }
                }
            }
            Event::Reply(n, ask, lots) => {
                if let (Some(lots), true) = (lots, self.daemons[n].is_alive) {
                    let home = &mut self.daemons[n].home;
                    let verdicts = home.reply(now, &ask.holder, ask.request.sequence, &lots);
                    self.end(n, verdicts);
                    self.ask(n);
                }
            }
            Event::Timeout(n, ask) => {
                let daemon = &mut self.daemons[n];
                let sequence = ask.request.sequence;
                let again = daemon.home.no_reply(&ask.holder, sequence, &daemon.ranking);
                again.into_iter().for_each(|again| self.dispatch(n, again));
                self.ask(n);
            }
            Event::Tick => {
                for n in 0..self.daemons.len() {
                    let daemon = &mut self.daemons[n];
                    let verdicts = daemon.home.expire(now);
                    daemon.holder.expire(now);
                    self.end(n, verdicts);
                    self.ask(n);
                }
                self.push(self.now + TICK, Event::Tick);
            }
            Event::Step(_) => {}
        }
    }

    fn ask(&mut self, n: usize) {
        let daemon = &mut self.daemons[n];
        if !daemon.is_alive {
            return;
        }
        let asks = daemon.home.asks(Millis(self.now), &daemon.ranking);
        asks.into_iter().for_each(|ask| self.dispatch(n, ask));
    }

    fn dispatch(&mut self, n: usize, ask: Ask) {
        let to: usize = ask.to[1..].parse().unwrap();
        self.push(self.now + TIMEOUT, Event::Timeout(n, ask.clone()));
        if to == n {
            return self.push(self.now, Event::Request(n, to, ask));
        }
        self.messages += 1;
        if !self.cuts.contains(&(n, to)) {
            let delay = self.delay();
            self.push(self.now + delay, Event::Request(n, to, ask));
        }
    }

    fn delay(&mut self) -> u64 {
        1 + (self.random.unit() * 12.0) as u64
    }

    fn end(&mut self, n: usize, verdicts: Vec<(u64, Verdict)>) {
        for (ticket, verdict) in verdicts {
            let Some((organisation, at)) = self.daemons[n].waiting.remove(&ticket) else {
                panic!("two verdicts on one request");
            };
            let count = self.counts.entry(organisation).or_default();
            match verdict {
                Verdict::Go => {
                    count.runs.push(self.now);
                    count.waits.push(self.now - at);
                }
                Verdict::Refuse(_) => count.refused += 1,
                Verdict::Unknown => count.unknown += 1,
            }
        }
    }

    /// Returns the most runs in a window beyond what the rule allows; negative if there are fewer.
    pub(super) fn excess(&self, organisation: &str, limit: Limit) -> f64 {
        let runs = &self.counts[organisation].runs;
        let allowed = (limit.rate * 5.0 + limit.burst) * 1.1 + 20.0;
        let mut first = 0;
        let mut most = 0;
        for (last, at) in runs.iter().enumerate() {
            while runs[first] + WINDOW <= *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most as f64 - allowed
    }

    pub(super) fn runs_between(&self, organisation: &str, span: std::ops::Range<u64>) -> usize {
        let count = self.counts.get(organisation);
        count.map_or(0, |c| c.runs.iter().filter(|r| span.contains(r)).count())
    }

    /// Returns the share of the requests of all organisations that were not admitted.
    pub(super) fn refused_share(&self) -> f64 {
        let (mut refused, mut all) = (0, 0);
        for count in self.counts.values() {
            refused += count.refused + count.unknown;
            all += count.refused + count.unknown + count.runs.len() as u64;
        }
        refused as f64 / all.max(1) as f64
    }
}
