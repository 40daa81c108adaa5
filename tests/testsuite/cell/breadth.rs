//! Breadth: targets that can serve keep receiving requests, although a few of them could carry the load.
//!
//! The platform demands it while a tenth of a service's requests are not served. The cell does not see all of these
//! requests: some fail at other cells or at other services of the same route.

use super::*;

/// The span over which the platform counts the targets that receive requests.
const FLOOR_SPAN: u64 = 2_000;
/// How long a target that failed gets no request; it must get one before it counts as sound again.
const FAILED_SPAN: u64 = 1_900;
/// The share of the sound targets that must receive requests.
const FLOOR_SHARE: f64 = 0.7;
/// The time between two steps of a replay, in milliseconds.
const STEP: u64 = 5;

/// One target of a replay; times are in milliseconds since its start.
#[derive(Clone, Debug, Default)]
struct Life {
    /// When it joins the service.
    joins: u64,
    /// When it leaves the service; absent if it stays.
    leaves: Option<u64>,
    /// The spans in which it breaks most connections.
    failing: Vec<(u64, u64)>,
    /// When it answers one request with a failure.
    failures: Vec<u64>,
}

impl Life {
    fn is_listed(&self, at: u64) -> bool {
        self.joins <= at && self.leaves.is_none_or(|end| at < end)
    }

    fn is_failing(&self, at: u64) -> bool {
        self.failing
            .iter()
            .any(|(from, to)| (*from..*to).contains(&at))
    }

    /// Returns whether it was listed, and not failing, for the whole [`FLOOR_SPAN`] before `at`.
    fn is_sound(&self, at: u64) -> bool {
        let since = at.saturating_sub(FLOOR_SPAN);
        let failing = self.failing.iter();
        self.is_listed(since)
            && self.is_listed(at)
            && !failing.clone().any(|(from, to)| *from <= at && since < *to)
            && !self.failures.iter().any(|f| (since..=at).contains(f))
    }
}

/// The results of a replay.
struct Report {
    /// A description of each time at which too few sound targets had received requests.
    findings: Vec<String>,
    /// The times at which each target received requests.
    requests: Vec<Vec<u64>>,
    /// The times at which requests with one try broke.
    broken_once: Vec<u64>,
}

/// A load on one cell.
struct Replay {
    targets: Vec<Life>,
    /// The requests of each second.
    rates: Vec<u64>,
    run_ms: u64,
    /// The share of requests that failing targets break.
    broken: f64,
    /// The share of the targets that the service keeps in use, in percent.
    breadth_pct: f64,
    /// Whether every second request can be resent; the others have one try.
    mixed: bool,
    /// Whether the service has other cells, whose targets are well.
    other_cells: bool,
    /// When the platform begins to count.
    counted_from: u64,
}

impl Replay {
    fn run(&self, seed: u64) -> Report {
        let mut random = scene::Random(seed);
        let mut harness = Harness::new(&self.service(0));
        let start = harness.now;
        let mut running: Vec<(Millis, u64, Outcome)> = Vec::new();
        let mut requests = vec![Vec::new(); self.targets.len()];
        let mut failures: Vec<_> = self.targets.iter().map(|t| t.failures.clone()).collect();
        let (mut findings, mut broken_once) = (Vec::new(), Vec::new());
        let (mut ticket, mut due) = (0, 0.0);
        for at in (0..self.rates.len() as u64 * 1_000).step_by(STEP as usize) {
            if self
                .targets
                .iter()
                .any(|t| t.joins == at || t.leaves == Some(at))
            {
                harness.handle(Event::Rules(&self.service(at)));
            }
            let mut pending = harness.advance(STEP);
            if self.other_cells && at.is_multiple_of(500) {
                let others = ["e", "f"].map(|domain| peer::CellSummary {
                    median: Millis(self.run_ms),
                    ..summary(domain, 0.0)
                });
                pending.extend(harness.handle(Event::OtherCells(&others)));
            }
            due += self.rates[(at / 1_000) as usize] as f64 * STEP as f64 / 1_000.0;
            while due >= 1.0 {
                due -= 1.0;
                ticket += 1;
                pending.extend(harness.arrive(cell::Arrival {
                    deadline: harness.now + Millis(2_500),
                    objective: harness.now + Millis(800),
                    max_tries: 1,
                    idempotent: self.can_be_resent(ticket),
                    ..arrival(ticket)
                }));
            }
            let now = harness.now;
            for (_, ticket, outcome) in running.extract_if(.., |(end, ..)| *end <= now) {
                pending.extend(harness.end_try(ticket, outcome));
                pending.extend(harness.handle(Event::Release(ids::Ticket(ticket))));
            }
            while let Some(action) = pending.pop() {
                let Action::Grant { ticket, target } = action else {
                    continue;
                };
                harness.handle(Event::Sent(ticket));
                let index: usize = target[1..].parse().unwrap();
                requests[index].push(at);
                let span = (self.run_ms as f64 * (0.5 + random.unit())) as u64;
                let due_failure = failures[index].first().is_some_and(|f| *f <= at);
                let (span, outcome) = match self.targets[index].is_failing(at) {
                    true if random.unit() < self.broken => {
                        broken_once.extend((!self.can_be_resent(ticket.0)).then_some(at));
                        (1, Outcome::Broken)
                    }
                    _ if due_failure => {
                        failures[index].remove(0);
                        (span, Outcome::Failed)
                    }
                    _ => (span, Outcome::Answered),
                };
                running.push((harness.now + Millis(span), ticket.0, outcome));
            }
            assert_eq!((harness.now - start).0, at + STEP);
            if at >= self.counted_from {
                findings.extend(self.check(at, &requests));
            }
        }
        Report {
            findings,
            requests,
            broken_once,
        }
    }

    fn can_be_resent(&self, ticket: u64) -> bool {
        self.mixed && ticket.is_multiple_of(2)
    }

    fn check(&self, at: u64, requests: &[Vec<u64>]) -> Option<String> {
        let lives = self.targets.iter().zip(requests);
        let sound: Vec<_> = lives.filter(|(life, _)| life.is_sound(at)).collect();
        let is_recent = |last: &u64| at - last <= FLOOR_SPAN;
        let used = sound
            .iter()
            .filter(|(_, times)| times.last().is_some_and(is_recent));
        let used = used.count();
        let enough = used as f64 >= FLOOR_SHARE * sound.len() as f64;
        (!enough).then(|| format!("at {at} ms {used} of {} sound targets in use", sound.len()))
    }

    /// Returns the service as it is at time `at`.
    fn service(&self, at: u64) -> bundle::Service {
        let mut rules = bundle::Service {
            soundness: true,
            breadth_pct: self.breadth_pct,
            queue: 1_000,
            ..service(self.targets.len(), 3, self.targets.len())
        };
        let mut lives = self.targets.iter();
        rules
            .targets
            .retain(|_| lives.next().is_some_and(|life| life.is_listed(at)));
        rules
    }
}

/// Returns the smallest service of the deployment during the incident of `docs/incidents/2026-12-04-idle-targets.md`,
/// from 20 s of that day on, as seen from its targets.
fn incident() -> Replay {
    let life = |failing: &[(u64, u64)], failures: &[u64]| Life {
        failing: failing.to_vec(),
        failures: failures.to_vec(),
        ..Life::default()
    };
    let joined = |joins, failing: &[(u64, u64)]| Life {
        joins,
        ..life(failing, &[])
    };
    Replay {
        targets: vec![
            life(&[(0, 2_500)], &[]),
            life(&[(1_500, 4_000)], &[]),
            life(&[], &[]),
            life(&[], &[1_500, 2_500, 5_500, 8_500]),
            Life {
                leaves: Some(2_500),
                ..life(&[(0, 2_500)], &[])
            },
            life(&[], &[]),
            life(&[], &[4_500, 5_500]),
            life(&[(7_000, 10_000)], &[]),
            life(&[(0, 4_000)], &[]),
            life(&[(0, 2_500)], &[]),
            joined(4_000, &[]),
            joined(4_200, &[(5_000, 6_000)]),
            joined(5_000, &[]),
        ],
        rates: vec![10, 48, 54, 60, 57, 58, 33, 44, 45, 40],
        run_ms: 250,
        broken: 0.71,
        breadth_pct: 100.0,
        mixed: false,
        other_cells: false,
        counted_from: 4_000,
    }
}

#[test]
fn sound_targets_stay_in_use_while_requests_of_their_route_fail_at_another_service() {
    for seed in 0..10 {
        let findings = incident().run(seed).findings;
        assert_eq!(findings.first(), None, "seed {seed}");
    }
}

/// Returns a service whose targets fail and recover by themselves, about a third of them at any time.
fn random_replay(seed: u64) -> Replay {
    let mut random = scene::Random(seed);
    let mut between = |from: u64, to: u64| from + (random.unit() * (to - from) as f64) as u64;
    let count = between(6, 25);
    let per_target = between(2, 7);
    let targets = (0..count).map(|_| {
        let mut failing = Vec::new();
        let mut at = between(0, 30_000);
        while at < 60_000 {
            let end = at + between(5_000, 15_000);
            failing.push((at, end));
            at = end + between(12_000, 38_000);
        }
        Life {
            failing,
            ..Life::default()
        }
    });
    let targets = targets.collect();
    Replay {
        targets,
        rates: vec![count * per_target; 60],
        run_ms: 200,
        broken: 0.71,
        breadth_pct: 100.0,
        mixed: false,
        other_cells: false,
        counted_from: 5_000,
    }
}

#[test]
fn targets_that_recovered_are_in_use_again_whatever_the_rest_of_the_service_does() {
    for seed in 0..50 {
        let findings = random_replay(seed).run(seed).findings;
        assert_eq!(findings.first(), None, "seed {seed}");
    }
}

/// Returns a service of ten targets, of which the first `failing` break all connections, under a load that four targets
/// can carry.
fn partly_failing(failing: usize) -> Replay {
    let targets = (0..10).map(|i| Life {
        failing: if i < failing {
            vec![(0, 60_000)]
        } else {
            Vec::new()
        },
        ..Life::default()
    });
    Replay {
        targets: targets.collect(),
        rates: vec![50; 60],
        run_ms: 200,
        broken: 1.0,
        breadth_pct: 78.0,
        mixed: false,
        other_cells: false,
        counted_from: 5_000,
    }
}

#[test]
fn while_enough_targets_are_in_use_one_that_fails_gets_no_requests() {
    for seed in 0..10 {
        let report = partly_failing(2).run(seed);
        for times in &report.requests[..2] {
            let late = times.iter().filter(|at| **at >= 20_000).count();
            assert_eq!(late, 0, "seed {seed}: {times:?}");
        }
    }
}

#[test]
fn a_target_that_fails_gets_one_request_in_each_span_in_which_it_is_not_counted() {
    for seed in 0..10 {
        let report = partly_failing(5).run(seed);
        for times in &report.requests[..5] {
            // One that answered, as three in ten requests there do, may get the next one at once.
            let spans = times
                .windows(2)
                .filter(|w| w[1] - w[0] < FAILED_SPAN)
                .count();
            assert!(spans <= times.len() / 3, "seed {seed}: {times:?}");
        }
    }
}

#[test]
fn requests_with_one_try_are_spared_targets_that_fail_while_others_can_be_resent() {
    for seed in 0..10 {
        let replay = Replay {
            mixed: true,
            ..partly_failing(5)
        };
        let report = replay.run(seed);
        let late = report.broken_once.iter().filter(|at| **at >= 20_000);
        assert_eq!(late.count(), 0, "seed {seed}: {:?}", report.broken_once);
        assert_eq!(report.findings.first(), None, "seed {seed}");
    }
}

/// Returns a service of 13 targets with little load, of which four fail, and 17 that join it at 8 s.
fn joined_by_many() -> Replay {
    let established = (0..13).map(|i| Life {
        failing: if i < 4 { vec![(0, 60_000)] } else { Vec::new() },
        ..Life::default()
    });
    let joining = (0..17).map(|_| Life {
        joins: 8_000,
        ..Life::default()
    });
    Replay {
        targets: established.chain(joining).collect(),
        rates: vec![10; 10],
        run_ms: 180,
        broken: 0.73,
        breadth_pct: 100.0,
        mixed: false,
        other_cells: false,
        counted_from: 6_000,
    }
}

#[test]
fn sound_targets_stay_in_use_while_many_others_join() {
    for seed in 0..10 {
        let findings = joined_by_many().run(seed).findings;
        assert_eq!(findings.first(), None, "seed {seed}");
    }
}

/// Guards against a cell that gives all of its requests to other cells for seconds because each of its targets failed a
/// moment ago, with requests that have one try: none of them was admitted to find out that the targets are well again.
#[test]
fn targets_that_failed_together_are_in_use_again_while_the_other_cells_are_well() {
    for seed in 0..10 {
        let targets = (0..15).map(|i| Life {
            failing: vec![(8_000 + 40 * i, 10_600)],
            ..Life::default()
        });
        let replay = Replay {
            targets: targets.collect(),
            rates: vec![38; 20],
            broken: 1.0,
            other_cells: true,
            ..random_replay(seed)
        };
        let findings = replay.run(seed).findings;
        assert_eq!(
            findings.first(),
            None,
            "seed {seed}: {} findings",
            findings.len()
        );
    }
}

#[test]
fn targets_that_recovered_are_in_use_again_although_the_other_cells_are_well() {
    for seed in 0..50 {
        let replay = Replay {
            other_cells: true,
            ..random_replay(seed)
        };
        let findings = replay.run(seed).findings;
        assert_eq!(
            findings.first(),
            None,
            "seed {seed}: {} findings",
            findings.len()
        );
    }
}
