//! Benchmarks of the decision core: the cost of one request by the number of targets, queued requests and services.
//!
//! One iteration takes a request from its arrival through grant, dispatch and response to its release.

use std::collections::{BTreeMap, VecDeque};
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use peridotspread::coordination::cell::{Action, Arrival, Cell, Event, Outcome};
use peridotspread::coordination::cost;
use peridotspread::state::bundle;
use peridotspread::state::clock::Millis;
use peridotspread::state::ids;

const SLOTS: usize = 3;

fn service(name: &str, targets: usize, queue: usize) -> bundle::Service {
    let targets = (0..targets).map(|i| bundle::Target {
        name: format!("target-{i}"),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d".to_owned(),
        slots: SLOTS,
        connections: 400,
        leaving: false,
    });
    bundle::Service {
        order: bundle::Order::default(),
        name: name.to_owned(),
        floor: 1,
        deadline_ms: Millis(10_000),
        queue,
        cells: None,
        parts: 1,
        soundness: false,
        breadth_pct: 0.0,
        ejection: bundle::Ejection::default(),
        retry: bundle::Retry::default(),
        targets: targets.collect(),
    }
}

/// A cell whose targets have completed their slow start, with the current time, the last ticket and the requests that
/// hold slots.
struct Fixture {
    cell: Cell,
    now: Millis,
    next: u64,
    running: VecDeque<ids::Ticket>,
}

impl Fixture {
    fn new(name: &str, targets: usize, waiting: usize) -> Fixture {
        let service = service(name, targets, waiting + 1);
        let mut cell = Cell::new(&ids::CellId::new(name, "d"));
        cell.handle(Millis::ZERO, Event::Rules(&service));
        let mut fixture = Fixture {
            cell,
            now: Millis(100_000),
            next: 0,
            running: VecDeque::new(),
        };
        if waiting > 0 {
            for _ in 0..targets * SLOTS + waiting {
                fixture.enqueue();
            }
        }
        fixture
    }

    fn handle(&mut self, event: Event<'_>) {
        for action in self.cell.handle(self.now, event) {
            if let Action::Grant { ticket, .. } = action {
                self.running.push_back(ticket);
            }
        }
    }

    fn enqueue(&mut self) {
        self.next += 1;
        let arrival = Arrival {
            ticket: ids::Ticket(self.next),
            tier: (self.next % 3) as u8,
            deadline: Millis::MAX,
            objective: Millis::MAX,
            max_tries: u32::MAX,
            prior_tries: 0,
            origin: ids::DomainId::default(),
            body: 0,
            idempotent: true,
            replayable: true,
            fingerprint: ids::Fingerprint(self.next),
            organisation: 0,
            kind: cost::Kind::default(),
        };
        self.handle(Event::Arrive {
            arrival,
            known: &[],
        });
    }

    /// Adds one request, and completes the one that has held its slot for the longest time.
    fn run_request(&mut self) {
        self.now += Millis(1);
        self.enqueue();
        let Some(ticket) = self.running.pop_front() else {
            return;
        };
        self.handle(Event::Sent(ticket));
        let outcome = Outcome::Answered;
        self.handle(Event::Done { ticket, outcome });
        self.handle(Event::Release(ticket));
        black_box(self.cell.wake());
    }
}

fn by_targets(c: &mut Criterion) {
    let mut group = c.benchmark_group("targets");
    for targets in [2, 3, 6, 12, 24, 48] {
        let mut fixture = Fixture::new("s", targets, 0);
        group.bench_function(BenchmarkId::from_parameter(targets), |b| {
            b.iter(|| fixture.run_request());
        });
    }
    group.finish();
}

fn by_queue(c: &mut Criterion) {
    let mut group = c.benchmark_group("queue");
    for waiting in [10, 100, 1_000, 10_000] {
        let mut fixture = Fixture::new("s", 3, waiting);
        group.bench_function(BenchmarkId::from_parameter(waiting), |b| {
            b.iter(|| fixture.run_request());
        });
    }
    group.finish();
}

fn by_services(c: &mut Criterion) {
    let mut group = c.benchmark_group("services");
    for services in [1, 10, 100, 1_100] {
        let names = (0..services).map(|i| format!("service-{i}"));
        let mut fixtures: BTreeMap<_, _> =
            names.map(|n| (n.clone(), Fixture::new(&n, 3, 0))).collect();
        let names: Vec<_> = fixtures.keys().cloned().collect();
        let mut index = 0;
        group.bench_function(BenchmarkId::from_parameter(services), |b| {
            b.iter(|| {
                index = (index + 7) % names.len();
                if let Some(fixture) = fixtures.get_mut(&names[index]) {
                    fixture.run_request();
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, by_targets, by_queue, by_services);
criterion_main!(benches);
