//! One run's scene: a trace on one service of one fleet, with everything drawn from the run's seed.

use std::collections::BTreeMap;
use std::net;

use peridotspread::coordination::homes;
use peridotspread::coordination::member;
use peridotspread::state::bundle;
use peridotspread::state::clock;
use peridotspread::state::ids;

use crate::replay::target;
use crate::replay::trace;
use crate::rng;

/// How long the bundle allows a cell's queue to grow.
const QUEUE: usize = 100;

/// How long after a fault's end a target is not yet called healthy, so that late evidence of it is no false evidence.
const AFTERMATH: clock::Millis = clock::Millis(2_000);

/// How long a caller waits before it sends a request again.
pub const RESEND_DELAY: clock::Millis = clock::Millis(500);

/// What a run draws for; each draws from a sequence of its own.
#[derive(Clone, Copy, Debug)]
pub enum Purpose {
    /// Generated arrivals.
    Arrivals = 1,
    /// What listed arrivals leave open.
    Listed = 2,
    /// Which requests fail at a target that fails some.
    Luck = 3,
    /// Where requests are sent again.
    Resends = 4,
}

/// Returns the random numbers of one run for one purpose.
pub fn draws(seed: u64, purpose: Purpose) -> rng::Rng {
    const PURPOSES: u64 = 16;
    rng::Rng::new(rng::Rng::new(seed * PURPOSES + purpose as u64).bits())
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// When it arrives.
    pub at: clock::Millis,
    /// The daemon that it arrives at.
    pub entry: usize,
    /// The caller's tier.
    pub tier: u8,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Its key.
    pub key: Option<u64>,
    /// What it does.
    pub fingerprint: ids::Fingerprint,
    /// When its caller gives up.
    pub deadline: clock::Millis,
    /// Until when an answer is worth most to its caller: an ordinary run, and the time from which more is harm.
    pub objective: clock::Millis,
    /// The time that a healthy target works on it.
    pub work: clock::Millis,
    /// Whether it crashes each target that runs it.
    pub crash: bool,
    /// How often its caller still sends it again.
    pub resends: u32,
}

/// What happens to one daemon.
#[derive(Clone, Copy, Debug)]
pub struct Mishap {
    /// The daemon.
    pub daemon: usize,
    /// When, and what.
    pub spell: target::Spell,
}

/// Everything that a run's policy is confronted with.
#[derive(Debug)]
pub struct Scene {
    /// The service in the bundle.
    pub service: bundle::Service,
    /// The daemons.
    pub view: member::View,
    /// The daemons' names, by index.
    pub names: Vec<String>,
    /// The failure domains of the daemons, by index.
    pub places: Vec<String>,
    /// The latency between failure domains, one way.
    pub hop: clock::Millis,
    /// What happens to each target.
    pub spells: Vec<Vec<target::Spell>>,
    /// What happens to daemons.
    pub mishaps: Vec<Mishap>,
    /// The requests, in order of their times.
    pub requests: Vec<Request>,
    /// The time beyond its own work from which an answered request is harmed.
    pub harm: clock::Millis,
    /// When arrivals end.
    pub span: clock::Millis,
}

impl Scene {
    /// Draws the scene of `trace` on `service` of `fleet`.
    pub fn new(
        trace: &trace::Trace,
        fleet: &trace::Fleet,
        service: &trace::Service,
        seed: u64,
    ) -> Scene {
        let (view, names, places) = daemons(fleet);
        let rules = rules(trace, fleet, service);
        let shift = usize::try_from(seed).unwrap_or(0) / fleet.services.len().max(1);
        let mut scene = Scene {
            spells: vec![Vec::new(); rules.targets.len()],
            service: rules,
            view,
            names,
            places,
            hop: fleet.hop_ms,
            mishaps: Vec::new(),
            requests: requests(trace, fleet, service, seed),
            harm: trace.harm_ms,
            span: trace.span_ms,
        };
        for condition in &trace.conditions {
            scene.place(condition, fleet, shift);
        }
        scene
    }

    /// Returns the index of a daemon by its name.
    pub fn daemon(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|n| n == name)
    }

    /// Returns the index of a target by its name.
    pub fn target(&self, name: &str) -> Option<usize> {
        self.service.targets.iter().position(|t| t.name == name)
    }

    /// Tells whether the daemon is paused at `now`, and until when.
    pub fn paused(&self, daemon: usize, now: clock::Millis) -> Option<clock::Millis> {
        let pause = |m: &&Mishap| {
            m.daemon == daemon && m.spell.fault == trace::Fault::Pause && m.spell.holds(now)
        };
        self.mishaps.iter().find(pause).map(|m| m.spell.to)
    }

    /// Tells whether the platform's table answers at `now`.
    pub fn table_up(&self, now: clock::Millis) -> bool {
        let down = |m: &Mishap| m.spell.fault == trace::Fault::Table && m.spell.holds(now);
        !self.mishaps.iter().any(down)
    }

    /// Tells whether a message between two daemons is lost.
    pub fn lost(&self, from: usize, to: usize, now: clock::Millis) -> bool {
        from != to
            && self.mishaps.iter().any(|m| match m.spell.fault {
                trace::Fault::PeerLink { sent } => {
                    m.daemon == if sent { from } else { to } && m.spell.holds(now)
                }
                _ => false,
            })
    }

    /// Tells whether what a daemon sends to targets, or what they answer it, is lost.
    pub fn cut_off(&self, daemon: usize, answer: bool, now: clock::Millis) -> bool {
        self.mishaps.iter().any(|m| {
            m.daemon == daemon
                && m.spell.fault == trace::Fault::TargetLink { answers: answer }
                && m.spell.holds(now)
        })
    }

    /// Returns when faults of single targets set in and end at a target, and its aftermath.
    pub fn gray_spells(&self, target: usize) -> impl Iterator<Item = &target::Spell> {
        self.spells[target].iter().filter(|s| !s.shared)
    }

    /// Tells whether a fault of its own excuses the ejection of a target at `now`.
    pub fn excused(&self, target: usize, now: clock::Millis) -> bool {
        self.gray_spells(target)
            .any(|s| s.from <= now && now < s.to + AFTERMATH)
    }

    fn place(&mut self, condition: &trace::Condition, fleet: &trace::Fleet, shift: usize) {
        let spell = target::Spell {
            from: condition.from_ms,
            to: condition.to_ms,
            period: condition.period_ms,
            shared: condition.all,
            fault: condition.fault,
        };
        let targets = self.affected(condition, fleet, shift);
        match condition.fault {
            trace::Fault::TargetLink { .. }
            | trace::Fault::PeerLink { .. }
            | trace::Fault::Pause => {
                for target in targets {
                    let daemon = self.home(target);
                    self.mishaps.push(Mishap { daemon, spell });
                }
            }
            trace::Fault::Table => self.mishaps.push(Mishap { daemon: 0, spell }),
            _ => targets.into_iter().for_each(|t| self.spells[t].push(spell)),
        }
    }

    fn affected(
        &self,
        condition: &trace::Condition,
        fleet: &trace::Fleet,
        shift: usize,
    ) -> Vec<usize> {
        let count = self.service.targets.len();
        if condition.all {
            return (0..count).collect();
        }
        if let Some(domain) = condition.domain {
            let name = &fleet.domains[(domain + shift) % fleet.domains.len()];
            let within = |t: &usize| &self.service.targets[*t].domain == name;
            return (0..count).filter(within).collect();
        }
        condition
            .targets
            .iter()
            .map(|t| (t + shift) % count)
            .collect()
    }

    /// Returns the daemon that ranks first for a target's cell.
    fn home(&self, target: usize) -> usize {
        let domain = &self.service.targets[target].domain;
        let cell = ids::CellId::new(&self.service.name, domain);
        let ranked = homes::rank(&cell, &self.view);
        ranked.first().and_then(|n| self.daemon(n)).unwrap_or(0)
    }
}

fn daemons(fleet: &trace::Fleet) -> (member::View, Vec<String>, Vec<String>) {
    let mut members = BTreeMap::new();
    let mut names = Vec::new();
    let mut places = Vec::new();
    for n in 0..fleet.daemons {
        let name = format!("daemon-{n:02}");
        let domain = fleet.domains[n % fleet.domains.len()].clone();
        names.push(name.clone());
        places.push(domain.clone());
        members.insert(
            name,
            member::Member {
                peer: net::SocketAddr::from(([127, 0, 0, 1], 1)),
                domain,
                incarnation: ids::Incarnation(1),
                liveness: member::Liveness::Alive,
                version: 1,
            },
        );
    }
    (member::View { members }, names, places)
}

fn rules(trace: &trace::Trace, fleet: &trace::Fleet, service: &trace::Service) -> bundle::Service {
    let targets = (0..service.targets).map(|n| bundle::Target {
        name: format!("{}-{n:02}", service.name),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: fleet.domains[n % fleet.domains.len()].clone(),
        slots: service.slots,
        connections: 400,
        leaving: false,
    });
    let floor = trace
        .ejectable
        .map_or(service.floor, |n| service.targets - n.min(service.targets));
    bundle::Service {
        name: service.name.clone(),
        floor,
        deadline_ms: clock::Millis(10_000),
        queue: QUEUE,
        cells: None,
        parts: 1,
        soundness: false,
        breadth_pct: 0.0,
        ejection: fleet.ejection.clone(),
        retry: fleet.retry.clone(),
        targets: targets.collect(),
    }
}

fn requests(
    trace: &trace::Trace,
    fleet: &trace::Fleet,
    service: &trace::Service,
    seed: u64,
) -> Vec<Request> {
    let mut requests = listed(trace, fleet, service, seed);
    if let Some(arrivals) = &trace.arrivals {
        requests.extend(generated(trace, arrivals, fleet, service, seed));
    }
    requests.sort_by_key(|r| r.at);
    requests
}

fn generated(
    trace: &trace::Trace,
    arrivals: &trace::Arrivals,
    fleet: &trace::Fleet,
    service: &trace::Service,
    seed: u64,
) -> Vec<Request> {
    let mut draw = draws(seed, Purpose::Arrivals);
    let slots = (service.targets * service.slots) as f64;
    // The mean of the log-normal distribution lies above its median.
    let mean = service.work_ms.0 as f64 * (service.spread * service.spread / 2.0).exp();
    let rate = if arrivals.load > 0.0 {
        arrivals.load * slots / mean
    } else {
        arrivals.rate / 1_000.0
    };
    let mut requests = Vec::new();
    let mut at = draw.exponential(1.0 / rate);
    while at < trace.span_ms.0 as f64 {
        let number = requests.len() as u64 + 1;
        let idempotent = draw.unit() < service.idempotent;
        let now = clock::Millis(at as u64);
        requests.push(Request {
            at: now,
            entry: draw.below(fleet.daemons),
            tier: tier(&mut draw, &arrivals.tiers),
            idempotent,
            key: (!idempotent).then_some(number),
            fingerprint: ids::Fingerprint(number),
            deadline: now + arrivals.deadline_ms,
            objective: now + service.work_ms + trace.harm_ms,
            work: work(&mut draw, service),
            crash: false,
            resends: arrivals.resends,
        });
        at += draw.exponential(1.0 / rate);
    }
    requests
}

fn listed(
    trace: &trace::Trace,
    fleet: &trace::Fleet,
    service: &trace::Service,
    seed: u64,
) -> Vec<Request> {
    /// Keeps the fingerprints of listed requests apart from those of generated ones.
    const OFFSET: u64 = 1 << 40;
    let mut draw = draws(seed, Purpose::Listed);
    let requests = trace.requests.iter().enumerate().map(|(n, r)| {
        let entry = draw.below(fleet.daemons);
        let drawn = work(&mut draw, service);
        let key = r.key.map(|k| OFFSET + k);
        Request {
            at: r.at_ms,
            entry: r.entry.map_or(entry, |e| e % fleet.daemons),
            tier: r.tier,
            idempotent: r.idempotent,
            key,
            fingerprint: ids::Fingerprint(key.unwrap_or(2 * OFFSET + n as u64)),
            deadline: r.at_ms + r.deadline_ms,
            objective: r.at_ms + service.work_ms + trace.harm_ms,
            work: r.work_ms.unwrap_or(drawn),
            crash: r.crash,
            resends: r.resends,
        }
    });
    requests.collect()
}

fn work(draw: &mut rng::Rng, service: &trace::Service) -> clock::Millis {
    let drawn = draw.lognormal(service.work_ms.0 as f64, service.spread);
    clock::Millis((drawn as u64).max(1))
}

/// Draws a tier by the shares of all.
fn tier(draw: &mut rng::Rng, shares: &[f64]) -> u8 {
    let mut left = draw.unit() * shares.iter().sum::<f64>();
    for (tier, share) in shares.iter().enumerate() {
        if left < *share {
            return u8::try_from(tier).unwrap_or(u8::MAX);
        }
        left -= share;
    }
    0
}
