//! A simulation of a service in several failure domains under a given load, with targets that fail gray. It runs the
//! code of the cells.
//!
//! One ordered queue of events drives fake targets, and entries that see the cells' summaries with a delay.

use std::collections::{BTreeMap, BTreeSet};

use peridotspread::coordination::cell;
use peridotspread::coordination::cell::{Action, Event, Outcome};
use peridotspread::coordination::cost;
use peridotspread::state::bundle;
use peridotspread::state::clock::Millis;
use peridotspread::state::ids;
use peridotspread::state::timeline::Kind;

/// The age of the summaries that entries and other cells see.
const SUMMARY_DELAY: Millis = Millis(200);
/// The response time of the platform.
const PLATFORM_DELAY: Millis = Millis(5);

/// The fault of a gray target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// Requests never end.
    Stall,
    /// Requests take longer by this factor.
    Slow(f64),
    /// This share of the requests fails.
    Fail(f64),
    /// The target alternates between stalling and working normally, each for this time in milliseconds.
    Flap(u64),
}

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Scene {
    /// The number of failure domains.
    pub(crate) domains: usize,
    /// The number of targets in all domains.
    pub(crate) targets: usize,
    /// The slots of each target.
    pub(crate) slots: usize,
    /// The least number of targets that are not ejected.
    pub(crate) floor: usize,
    /// The score from which a target is avoided.
    pub(crate) avoid: f64,
    /// The score from which the ejection of a target is requested.
    pub(crate) eject: f64,
    /// The load as a share of all slots.
    pub(crate) load: f64,
    /// The share of idempotent requests.
    pub(crate) idempotent: f64,
    /// The median run time of a request, in milliseconds.
    pub(crate) median: f64,
    /// The standard deviation of the logarithm of the run time.
    pub(crate) spread: f64,
    /// The targets that turn gray, by number.
    pub(crate) gray: Vec<usize>,
    /// The fault of the gray targets.
    pub(crate) fault: Fault,
    /// When the targets turn gray, in milliseconds.
    pub(crate) onset: u64,
    /// When the simulation ends, in milliseconds.
    pub(crate) end: u64,
}

/// The results of a simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    /// The requests that arrived.
    pub(crate) arrived: usize,
    /// When the last request other than a trial went to a faulty gray target, in milliseconds after the onset.
    pub(crate) last_grant: u64,
    /// The requests other than trials that went to a faulty gray target more than a second after the onset.
    pub(crate) late_grants: usize,
    /// The requests that failed, timed out, or took more than a second.
    pub(crate) harmed: usize,
    /// The ejections of targets that were not gray.
    pub(crate) false_ejections: usize,
    /// The ejections of gray targets.
    pub(crate) true_ejections: usize,
    /// How often a target that was not gray was avoided.
    pub(crate) avoided: usize,
    /// The grants beyond the first one of each request.
    pub(crate) retries: usize,
    /// The requests that were refused.
    pub(crate) refused: usize,
}

/// A SplitMix64 generator of random numbers.
#[derive(Clone, Debug)]
pub(crate) struct Random(pub u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a uniform number from 0 (inclusive) to 1 (exclusive).
    pub(crate) fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn normal(&mut self) -> f64 {
        let (u, v) = (1.0 - self.unit(), self.unit());
        (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
    }
}

/// A scheduled event of the simulation.
#[derive(Clone, Debug)]
enum Scheduled {
    /// A request arrives.
    Arrive,
    /// A try ends: its cell, its ticket, the number of the try, and its outcome.
    Done(usize, u64, u32, Outcome),
    /// The platform replies to a cell's request to eject a target.
    Reply(usize, String),
    /// The cells publish their summaries.
    Publish,
}

struct Simulation<'a> {
    scene: &'a Scene,
    random: Random,
    now: Millis,
    cells: Vec<cell::Cell>,
    summaries: Vec<peridotspread::protocol::peer::CellSummary>,
    events: BTreeMap<(Millis, u64), Scheduled>,
    count: u64,
    /// Each open request: its cell, the arrival, when it arrived, and the number of its tries.
    open: BTreeMap<u64, (usize, cell::Arrival, Millis, u32)>,
    ejected: BTreeSet<String>,
    report: Report,
}

/// Runs the simulation of a scene.
pub(crate) fn simulate(scene: &Scene, seed: u64) -> Report {
    let service = service(scene);
    let cells = (0..scene.domains).map(|d| {
        let mut cell = cell::Cell::new(&ids::CellId::new("s", &format!("d{d}")));
        cell.handle(Millis::ZERO, Event::Rules(&service));
        cell
    });
    let mut simulation = Simulation {
        scene,
        random: Random(seed),
        now: Millis::ZERO,
        cells: cells.collect(),
        summaries: Vec::new(),
        events: BTreeMap::new(),
        count: 0,
        open: BTreeMap::new(),
        ejected: BTreeSet::new(),
        report: Report::default(),
    };
    simulation.schedule(Millis::ZERO, Scheduled::Publish);
    simulation.schedule(Millis(1), Scheduled::Arrive);
    simulation.run();
    simulation.report
}

fn service(scene: &Scene) -> bundle::Service {
    let targets = (0..scene.targets).map(|i| bundle::Target {
        name: i.to_string(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: format!("d{}", i % scene.domains),
        slots: scene.slots,
        connections: 400,
        leaving: false,
    });
    bundle::Service {
        order: bundle::Order::default(),
        name: "s".to_owned(),
        floor: scene.floor,
        deadline_ms: Millis(10_000),
        queue: 100,
        cells: None,
        parts: 1,
        soundness: false,
        breadth_pct: 0.0,
        ejection: bundle::Ejection {
            avoid: scene.avoid,
            eject: scene.eject,
            lease_ms: Millis(15_000),
        },
        retry: bundle::Retry::default(),
        targets: targets.collect(),
    }
}

impl Simulation<'_> {
    fn schedule(&mut self, at: Millis, next: Scheduled) {
        self.count += 1;
        self.events.insert((at, self.count), next);
    }

    fn run(&mut self) {
        while self.now.0 < self.scene.end {
            let event = self
                .events
                .first_key_value()
                .map_or(Millis::MAX, |(k, _)| k.0);
            let wakes = self.cells.iter().enumerate().map(|(i, c)| (c.wake(), i));
            let (wake, i) = wakes.min().unwrap_or((Millis::MAX, 0));
            if wake <= event {
                self.now = wake;
                self.handle_event(i, Event::Tick);
                continue;
            }
            let Some(((at, _), next)) = self.events.pop_first() else {
                return;
            };
            self.now = at;
            self.step(next);
        }
    }

    fn step(&mut self, next: Scheduled) {
        match next {
            Scheduled::Arrive => self.arrive(),
            Scheduled::Done(cell, ticket, tries, outcome) => {
                if self.open.get(&ticket).is_some_and(|o| o.3 == tries) {
                    self.end_try(cell, ticket, outcome);
                }
            }
            Scheduled::Reply(cell, target) => {
                let granted = self.ejected.contains(&target)
                    || self.scene.targets - self.ejected.len() > self.scene.floor;
                let event = if granted {
                    self.ejected.insert(target.clone());
                    let until = self.now - PLATFORM_DELAY + Millis(15_000);
                    Event::EjectionGranted {
                        target: &target,
                        until,
                    }
                } else {
                    Event::EjectionDenied { target: &target }
                };
                self.handle_event(cell, event);
            }
            Scheduled::Publish => {
                let current: Vec<_> = self.cells.iter().map(|c| c.summary(self.now)).collect();
                let mut aged = std::mem::replace(&mut self.summaries, current);
                for summary in &mut aged {
                    summary.age = SUMMARY_DELAY;
                }
                for i in 0..self.cells.len() {
                    self.handle_event(i, Event::OtherCells(&aged));
                }
                self.schedule(self.now + SUMMARY_DELAY, Scheduled::Publish);
            }
        }
    }

    fn arrive(&mut self) {
        let scene = self.scene;
        let rate = scene.load * (scene.targets * scene.slots) as f64
            / (scene.median * (scene.spread * scene.spread / 2.0).exp());
        let gap = -(1.0 - self.random.unit()).ln() / rate;
        self.schedule(self.now + Millis(gap.round() as u64), Scheduled::Arrive);
        self.report.arrived += 1;
        let ticket = self.report.arrived as u64;
        let idempotent = self.random.unit() < scene.idempotent;
        let arrival = cell::Arrival {
            ticket: ids::Ticket(ticket),
            tier: 0,
            deadline: self.now + Millis(10_000),
            objective: self.now + Millis(10_000),
            max_tries: u32::MAX,
            prior_tries: 0,
            origin: ids::DomainId::default(),
            body: 0,
            idempotent,
            replayable: idempotent,
            fingerprint: ids::Fingerprint(ticket),
            organisation: 0,
            kind: cost::Kind::default(),
        };
        let cell = self.choose();
        self.open.insert(ticket, (cell, arrival, self.now, 0));
        self.handle_event(
            cell,
            Event::Arrive {
                arrival,
                known: &[],
            },
        );
    }

    /// Chooses the better one of two random cells, as an entry does.
    fn choose(&mut self) -> usize {
        let draw = |random: &mut Random| (random.unit() * self.cells.len() as f64) as usize;
        let (a, b) = (draw(&mut self.random), draw(&mut self.random));
        let load = |i: usize| {
            let Some(s) = self.summaries.get(i) else {
                return (false, 0);
            };
            let load = (s.busy + s.queued) * 1_000 / s.slots.max(1);
            (s.bad >= cell::DEGRADED_SHARE, load)
        };
        if load(b) < load(a) { b } else { a }
    }

    fn end_try(&mut self, cell: usize, ticket: u64, outcome: Outcome) {
        let started = self.open[&ticket].2;
        if outcome == Outcome::Answered {
            self.report.harmed += usize::from(self.now - started > Millis(1_000));
        }
        let id = ids::Ticket(ticket);
        self.handle_event(
            cell,
            Event::Done {
                ticket: id,
                outcome,
            },
        );
        if outcome == Outcome::Answered {
            self.open.remove(&ticket);
            self.handle_event(cell, Event::Release(id));
        }
    }

    fn handle_event(&mut self, i: usize, event: Event<'_>) {
        let actions = self.cells[i].handle(self.now, event);
        for action in actions {
            self.carry_out(i, action);
        }
    }

    fn carry_out(&mut self, cell: usize, action: Action) {
        match action {
            Action::Grant { ticket, target } => self.dispatch(cell, ticket, &target),
            Action::Refuse { ticket, .. } => {
                self.open.remove(&ticket.0);
                self.report.refused += 1;
            }
            Action::GiveUp { ticket } => {
                self.open.remove(&ticket.0);
                self.report.harmed += 1;
                self.handle_event(cell, Event::Release(ticket));
            }
            Action::RequestEjection { target } => {
                self.schedule(self.now + PLATFORM_DELAY, Scheduled::Reply(cell, target));
            }
            Action::ReleaseEjection { target } => {
                self.ejected.remove(&target);
            }
            Action::Record { kind, target, .. } => self.record(kind, &target),
            Action::Abandon { .. } | Action::Quarantine { .. } | Action::EndProbation { .. } => {}
        }
    }

    fn record(&mut self, kind: Kind, target: &str) {
        let gray = self.is_gray(target);
        match kind {
            Kind::Ejected if gray => self.report.true_ejections += 1,
            Kind::Ejected => self.report.false_ejections += 1,
            Kind::Avoided if !gray => self.report.avoided += 1,
            _ => {}
        }
    }

    /// Returns whether a target has turned gray.
    fn is_gray(&self, target: &str) -> bool {
        let number: usize = target.parse().unwrap();
        self.now.0 >= self.scene.onset && self.scene.gray.contains(&number)
    }

    fn dispatch(&mut self, cell: usize, ticket: ids::Ticket, target: &str) {
        let open = self.open.get_mut(&ticket.0).unwrap();
        open.3 += 1;
        let tries = open.3;
        let deadline = open.1.deadline;
        self.report.retries += usize::from(tries > 1);
        let trial = self.cells[cell].is_trial(ticket);
        let since = self.now - Millis(self.scene.onset);
        if self.is_gray(target) && !trial && self.fault_active() {
            self.report.last_grant = since.0;
            self.report.late_grants += usize::from(since > Millis(1_000));
        }
        let (span, outcome) = self.run_time(target);
        let end = self.now + Millis(span);
        let (end, outcome) = if end >= deadline {
            (deadline, Outcome::TimedOut)
        } else {
            (end, outcome)
        };
        self.schedule(end, Scheduled::Done(cell, ticket.0, tries, outcome));
        self.handle_event(cell, Event::Sent(ticket));
    }

    /// Returns whether the fault is active at present.
    fn fault_active(&self) -> bool {
        match self.scene.fault {
            Fault::Flap(span) => ((self.now.0 - self.scene.onset) / span).is_multiple_of(2),
            _ => true,
        }
    }

    fn run_time(&mut self, target: &str) -> (u64, Outcome) {
        let factor = (self.scene.spread * self.random.normal()).exp();
        let span = self.scene.median * factor;
        if !self.is_gray(target) || !self.fault_active() {
            return (span.round() as u64, Outcome::Answered);
        }
        match self.scene.fault {
            Fault::Stall | Fault::Flap(_) => (1_000_000, Outcome::Answered),
            Fault::Slow(factor) => ((span * factor).round() as u64, Outcome::Answered),
            Fault::Fail(share) if self.random.unit() < share => {
                (span.round() as u64, Outcome::Failed)
            }
            Fault::Fail(_) => (span.round() as u64, Outcome::Answered),
        }
    }
}
