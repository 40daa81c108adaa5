//! What one dispatch costs the decision core, and how that grows with targets, queue and services.
//!
//! One dispatch is a request's whole way: arrival, grant, dispatch, answer and release.

use std::collections::{BTreeMap, VecDeque};
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use peridotspread::coordination::cell::{Action, Arrival, Cell, Event, Outcome};
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

/// A cell whose slow starts are over, with a clock, the next ticket and the requests that hold slots.
struct Desk {
    cell: Cell,
    now: Millis,
    next: u64,
    running: VecDeque<ids::Ticket>,
}

impl Desk {
    fn new(name: &str, targets: usize, waiting: usize) -> Desk {
        let service = service(name, targets, waiting + 1);
        let mut cell = Cell::new(&ids::CellId::new(name, "d"));
        cell.handle(Millis::ZERO, Event::Rules(&service));
        let mut desk = Desk {
            cell,
            now: Millis(100_000),
            next: 0,
            running: VecDeque::new(),
        };
        if waiting > 0 {
            for _ in 0..targets * SLOTS + waiting {
                desk.arrive();
            }
        }
        desk
    }

    fn handle(&mut self, event: Event<'_>) {
        for action in self.cell.handle(self.now, event) {
            if let Action::Grant { ticket, .. } = action {
                self.running.push_back(ticket);
            }
        }
    }

    fn arrive(&mut self) {
        self.next += 1;
        self.handle(Event::Arrive(Arrival {
            ticket: ids::Ticket(self.next),
            tier: (self.next % 3) as u8,
            deadline: Millis::MAX,
            objective: Millis::MAX,
            max_tries: u32::MAX,
            prior_tries: 0,
            origin: ids::DomainId::default(),
            idempotent: true,
            replayable: true,
            fingerprint: ids::Fingerprint(self.next),
        }));
    }

    /// Lets one request arrive, and takes the one that holds a slot longest through to its end.
    fn dispatch(&mut self) {
        self.now += Millis(1);
        self.arrive();
        let Some(ticket) = self.running.pop_front() else {
            return;
        };
        self.handle(Event::Dispatch(ticket));
        let outcome = Outcome::Answered;
        self.handle(Event::Done { ticket, outcome });
        self.handle(Event::Release(ticket));
        black_box(self.cell.wake());
    }
}

fn by_targets(c: &mut Criterion) {
    let mut group = c.benchmark_group("targets");
    for targets in [2, 3, 6, 12, 24, 48] {
        let mut desk = Desk::new("s", targets, 0);
        group.bench_function(BenchmarkId::from_parameter(targets), |b| {
            b.iter(|| desk.dispatch());
        });
    }
    group.finish();
}

fn by_queue(c: &mut Criterion) {
    let mut group = c.benchmark_group("queue");
    for waiting in [10, 100, 1_000, 10_000] {
        let mut desk = Desk::new("s", 3, waiting);
        group.bench_function(BenchmarkId::from_parameter(waiting), |b| {
            b.iter(|| desk.dispatch());
        });
    }
    group.finish();
}

fn by_services(c: &mut Criterion) {
    let mut group = c.benchmark_group("services");
    for services in [1, 10, 100, 1_100] {
        let names = (0..services).map(|i| format!("service-{i}"));
        let mut desks: BTreeMap<_, _> = names.map(|n| (n.clone(), Desk::new(&n, 3, 0))).collect();
        let names: Vec<_> = desks.keys().cloned().collect();
        let mut turn = 0;
        group.bench_function(BenchmarkId::from_parameter(services), |b| {
            b.iter(|| {
                turn = (turn + 7) % names.len();
                if let Some(desk) = desks.get_mut(&names[turn]) {
                    desk.dispatch();
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, by_targets, by_queue, by_services);
criterion_main!(benches);
