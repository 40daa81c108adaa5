//! The scenario of a run: a trace applied to one service of a fleet, with all random values derived from the seed.

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

/// The maximum queue length of a cell, as set in the bundle.
const QUEUE_LIMIT: usize = 100;

/// The time after the end of a fault during which an ejection does not count as false, because it may rest on evidence
/// from the time of the fault.
const RECOVERY_TIME: clock::Millis = clock::Millis(2_000);

/// The delay before a caller resends a request.
pub const RESEND_DELAY: clock::Millis = clock::Millis(500);

/// The purpose of a sequence of random numbers; each purpose has its own sequence.
#[derive(Clone, Copy, Debug)]
pub enum Purpose {
    /// The times and properties of generated requests.
    Arrivals = 1,
    /// The properties that listed requests leave out.
    Listed = 2,
    /// The choice of the requests that fail on a target that fails a share of them.
    Failures = 3,
    /// The choice of the entries to which requests are resent.
    Resends = 4,
    /// The times and properties of the requests of streams.
    Streams = 5,
}

/// Returns the random number generator of a run for one purpose.
pub fn random(seed: u64, purpose: Purpose) -> rng::Rng {
    const PURPOSES: u64 = 16;
    rng::Rng::new(rng::Rng::new(seed * PURPOSES + purpose as u64).bits())
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The time of arrival.
    pub at: clock::Millis,
    /// The index of the daemon that it arrives at.
    pub entry: usize,
    /// The tier of the caller.
    pub tier: u8,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The idempotency key.
    pub key: Option<u64>,
    /// The fingerprint of the request's content, by which requests that crash targets are quarantined.
    pub fingerprint: ids::Fingerprint,
    /// The time by which the caller needs an answer.
    pub deadline: clock::Millis,
    /// The latency objective: the median service time after arrival, plus the delay from which the request counts as
    /// harmed.
    pub objective: clock::Millis,
    /// The service time on a healthy target.
    pub work: clock::Millis,
    /// Whether the request crashes every target that runs it.
    pub crash: bool,
    /// The number of times that its caller may still resend it.
    pub resends: u32,
    /// The index of the stream that it belongs to.
    pub stream: Option<usize>,
}

/// A fault of a daemon, its links or the platform's table.
#[derive(Clone, Copy, Debug)]
pub struct DaemonFault {
    /// The index of the daemon; 0 for a fault of the table.
    pub daemon: usize,
    /// The fault and the time for which it lasts.
    pub window: target::FaultWindow,
}

/// The service, the daemons, the requests and the faults of a run.
#[derive(Debug)]
pub struct Scenario {
    /// The service, as it stands in the bundle.
    pub service: bundle::Service,
    /// The members of the fleet.
    pub view: member::View,
    /// The names of the daemons, by index.
    pub names: Vec<String>,
    /// The failure domain of each daemon, by index.
    pub daemon_domains: Vec<String>,
    /// The one-way latency between failure domains.
    pub hop: clock::Millis,
    /// The faults of each target, by index.
    pub target_faults: Vec<Vec<target::FaultWindow>>,
    /// The faults of daemons, their links and the platform's table.
    pub daemon_faults: Vec<DaemonFault>,
    /// The streams of the trace.
    pub streams: Vec<trace::Stream>,
    /// The requests in the order of their arrival; resent ones are appended during the run.
    pub requests: Vec<Request>,
    /// The delay beyond its own service time from which a served request counts as harmed.
    pub harm: clock::Millis,
    /// The time at which arrivals end.
    pub span: clock::Millis,
}

impl Scenario {
    /// Creates the scenario of `trace` on `service` of `fleet` from the seed.
    pub fn new(
        trace: &trace::Trace,
        fleet: &trace::Fleet,
        service: &trace::Service,
        seed: u64,
    ) -> Scenario {
        let (view, names, daemon_domains) = daemons(fleet);
        let rules = rules(trace, fleet, service);
        let rotation = usize::try_from(seed).unwrap_or(0) / fleet.services.len().max(1);
        let mut scenario = Scenario {
            target_faults: vec![Vec::new(); rules.targets.len()],
            service: rules,
            view,
            names,
            daemon_domains,
            hop: fleet.hop_ms,
            daemon_faults: Vec::new(),
            streams: trace.streams.clone(),
            requests: requests(trace, fleet, service, seed),
            harm: trace.harm_ms,
            span: trace.span_ms,
        };
        for condition in &trace.conditions {
            scenario.add_condition(condition, fleet, rotation);
        }
        scenario
    }

    /// Returns the index of the daemon with this name.
    pub fn daemon(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|n| n == name)
    }

    /// Returns the index of the target with this name.
    pub fn target(&self, name: &str) -> Option<usize> {
        self.service.targets.iter().position(|t| t.name == name)
    }

    /// Returns the end of the pause if the daemon is paused at `now`.
    pub fn paused_until(&self, daemon: usize, now: clock::Millis) -> Option<clock::Millis> {
        let pause = |m: &&DaemonFault| {
            m.daemon == daemon && m.window.fault == trace::Fault::Pause && m.window.is_active(now)
        };
        self.daemon_faults.iter().find(pause).map(|m| m.window.to)
    }

    /// Returns whether the platform's table responds at `now`.
    pub fn table_up(&self, now: clock::Millis) -> bool {
        let down =
            |m: &DaemonFault| m.window.fault == trace::Fault::Table && m.window.is_active(now);
        !self.daemon_faults.iter().any(down)
    }

    /// Returns whether a message sent from one daemon to another at `now` is lost.
    pub fn peer_link_lost(&self, from: usize, to: usize, now: clock::Millis) -> bool {
        from != to
            && self.daemon_faults.iter().any(|m| match m.window.fault {
                trace::Fault::PeerLink { sent } => {
                    m.daemon == if sent { from } else { to } && m.window.is_active(now)
                }
                _ => false,
            })
    }

    /// Returns whether the requests of a daemon to targets, or the responses to it, are lost at `now`.
    pub fn target_link_lost(&self, daemon: usize, answer: bool, now: clock::Millis) -> bool {
        self.daemon_faults.iter().any(|m| {
            m.daemon == daemon
                && m.window.fault == trace::Fault::TargetLink { answers: answer }
                && m.window.is_active(now)
        })
    }

    /// Returns the faults of the target's own, which exclude faults that all targets share.
    pub fn gray_windows(&self, target: usize) -> impl Iterator<Item = &target::FaultWindow> {
        self.target_faults[target].iter().filter(|s| !s.shared)
    }

    /// Returns whether an ejection of the target at `now` is justified by a fault of its own, or by one that ended less
    /// than
    /// `RECOVERY_TIME` ago.
    pub fn ejection_justified(&self, target: usize, now: clock::Millis) -> bool {
        self.gray_windows(target)
            .any(|s| s.from <= now && now < s.to + RECOVERY_TIME)
    }

    fn add_condition(
        &mut self,
        condition: &trace::Condition,
        fleet: &trace::Fleet,
        rotation: usize,
    ) {
        let window = target::FaultWindow {
            from: condition.from_ms,
            to: condition.to_ms,
            period: condition.period_ms,
            shared: condition.all,
            fault: condition.fault,
        };
        let targets = self.affected_targets(condition, fleet, rotation);
        match condition.fault {
            trace::Fault::TargetLink { .. }
            | trace::Fault::PeerLink { .. }
            | trace::Fault::Pause => {
                for target in targets {
                    let daemon = self.home_daemon(target);
                    self.daemon_faults.push(DaemonFault { daemon, window });
                }
            }
            trace::Fault::Table => self.daemon_faults.push(DaemonFault { daemon: 0, window }),
            _ => targets
                .into_iter()
                .for_each(|t| self.target_faults[t].push(window)),
        }
    }

    fn affected_targets(
        &self,
        condition: &trace::Condition,
        fleet: &trace::Fleet,
        rotation: usize,
    ) -> Vec<usize> {
        let count = self.service.targets.len();
        if condition.all {
            return (0..count).collect();
        }
        if let Some(domain) = condition.domain {
            let name = &fleet.domains[(domain + rotation) % fleet.domains.len()];
            let within = |t: &usize| &self.service.targets[*t].domain == name;
            return (0..count).filter(within).collect();
        }
        condition
            .targets
            .iter()
            .map(|t| (t + rotation) % count)
            .collect()
    }

    /// Returns the index of the daemon that ranks first as home of the target's cell.
    fn home_daemon(&self, target: usize) -> usize {
        let domain = &self.service.targets[target].domain;
        let cell = ids::CellId::new(&self.service.name, domain);
        let ranked = homes::rank(&cell, &self.view);
        ranked.first().and_then(|n| self.daemon(n)).unwrap_or(0)
    }
}

fn daemons(fleet: &trace::Fleet) -> (member::View, Vec<String>, Vec<String>) {
    let mut members = BTreeMap::new();
    let mut names = Vec::new();
    let mut daemon_domains = Vec::new();
    for n in 0..fleet.daemons {
        let name = format!("daemon-{n:02}");
        let domain = fleet.domains[n % fleet.domains.len()].clone();
        names.push(name.clone());
        daemon_domains.push(domain.clone());
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
    (member::View { members }, names, daemon_domains)
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
        order: match trace.streams.is_empty() {
            true => bundle::Order::Arrival,
            false => bundle::Order::Value,
        },
        name: service.name.clone(),
        floor,
        deadline_ms: clock::Millis(10_000),
        queue: QUEUE_LIMIT,
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
    let mut requests = listed_requests(trace, fleet, service, seed);
    if let Some(arrivals) = &trace.arrivals {
        requests.extend(generated_requests(trace, arrivals, fleet, service, seed));
    }
    requests.extend(streamed_requests(trace, fleet, service, seed));
    requests.sort_by_key(|r| r.at);
    requests
}

fn generated_requests(
    trace: &trace::Trace,
    arrivals: &trace::Arrivals,
    fleet: &trace::Fleet,
    service: &trace::Service,
    seed: u64,
) -> Vec<Request> {
    let mut rng = random(seed, Purpose::Arrivals);
    let slots = (service.targets * service.slots) as f64;
    // The mean of a log-normal distribution is larger than its median.
    let mean = service.work_ms.0 as f64 * (service.spread * service.spread / 2.0).exp();
    let rate = if arrivals.load > 0.0 {
        arrivals.load * slots / mean
    } else {
        arrivals.rate / 1_000.0
    };
    let mut requests = Vec::new();
    let mut at = rng.exponential(1.0 / rate);
    while at < trace.span_ms.0 as f64 {
        let number = requests.len() as u64 + 1;
        let idempotent = rng.unit() < service.idempotent;
        let now = clock::Millis(at as u64);
        requests.push(Request {
            at: now,
            entry: rng.below(fleet.daemons),
            tier: draw_tier(&mut rng, &arrivals.tiers),
            idempotent,
            key: (!idempotent).then_some(number),
            fingerprint: ids::Fingerprint(number),
            deadline: now + arrivals.deadline_ms,
            objective: now + service.work_ms + trace.harm_ms,
            work: draw_work(&mut rng, service),
            crash: false,
            resends: arrivals.resends,
            stream: None,
        });
        at += rng.exponential(1.0 / rate);
    }
    requests
}

fn listed_requests(
    trace: &trace::Trace,
    fleet: &trace::Fleet,
    service: &trace::Service,
    seed: u64,
) -> Vec<Request> {
    /// The offset of keys and fingerprints of listed requests, to tell them from those of generated ones.
    const OFFSET: u64 = 1 << 40;
    let mut rng = random(seed, Purpose::Listed);
    let requests = trace.requests.iter().enumerate().map(|(n, r)| {
        let entry = rng.below(fleet.daemons);
        let drawn_work = draw_work(&mut rng, service);
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
            work: r.work_ms.unwrap_or(drawn_work),
            crash: r.crash,
            resends: r.resends,
            stream: None,
        }
    });
    requests.collect()
}

fn streamed_requests(
    trace: &trace::Trace,
    fleet: &trace::Fleet,
    service: &trace::Service,
    seed: u64,
) -> Vec<Request> {
    /// The offset of keys and fingerprints of each stream, to tell them from those of other requests.
    const OFFSET: u64 = 1 << 44;
    /// The share of requests that take longer, and by which factor.
    const TAIL: (f64, f64) = (0.03, 7.0);
    let mut rng = random(seed, Purpose::Streams);
    let slots = (service.targets * service.slots) as f64;
    let spread = (service.spread * service.spread / 2.0).exp();
    let mut requests = Vec::new();
    for (index, stream) in trace.streams.iter().enumerate() {
        let mean = stream.work_ms.0 as f64 * spread * (1.0 + TAIL.0 * (TAIL.1 - 1.0));
        let mut at = 0.0;
        loop {
            let surge = stream
                .surge
                .filter(|s| s.from_ms.0 as f64 <= at && at < s.to_ms.0 as f64);
            let rate = stream.load * surge.map_or(1.0, |s| s.factor) * slots / mean;
            at += rng.exponential(1.0 / rate);
            if at >= trace.span_ms.0 as f64 {
                break;
            }
            let number = OFFSET * (index as u64 + 1) + requests.len() as u64;
            let now = clock::Millis(at as u64);
            let factor = if rng.unit() < TAIL.0 { TAIL.1 } else { 1.0 };
            let work = rng.lognormal(stream.work_ms.0 as f64, service.spread) * factor;
            requests.push(Request {
                at: now,
                entry: rng.below(fleet.daemons),
                tier: stream.tier,
                idempotent: stream.idempotent,
                key: (!stream.idempotent).then_some(number),
                fingerprint: ids::Fingerprint(number),
                deadline: now + stream.deadline_ms,
                objective: now + stream.objective_ms,
                work: clock::Millis((work as u64).max(1)),
                crash: false,
                resends: 0,
                stream: Some(index),
            });
        }
    }
    requests
}

fn draw_work(rng: &mut rng::Rng, service: &trace::Service) -> clock::Millis {
    let drawn = rng.lognormal(service.work_ms.0 as f64, service.spread);
    clock::Millis((drawn as u64).max(1))
}

/// Draws a tier at random, weighted by the shares of the tiers.
fn draw_tier(rng: &mut rng::Rng, shares: &[f64]) -> u8 {
    let mut rest = rng.unit() * shares.iter().sum::<f64>();
    for (tier, share) in shares.iter().enumerate() {
        if rest < *share {
            return u8::try_from(tier).unwrap_or(u8::MAX);
        }
        rest -= share;
    }
    0
}
