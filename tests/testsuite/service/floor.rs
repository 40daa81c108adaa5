//! The floor: of any targets that are sound, at least 70 % receive requests within any two seconds.
//!
//! Which targets count is the platform's choice: those under a fault, or whose links are, are left out, also if they
//! still answer. So the share must hold for each part of a service.

use super::world::{Life, Options, Report, World};
use crate::cell::scene::Random;

/// The span over which the platform counts the targets that receive requests, and after which a target that failed by
/// itself counts as sound again, in milliseconds.
const SPAN: u64 = 2_000;
/// The share of the sound targets that must receive requests.
const SHARE: f64 = 0.7;
/// When the check begins, in milliseconds.
const BEGIN: u64 = 6_000;

/// Returns targets of which about a third fails at any time, each for some seconds.
fn lives(random: &mut Random, count: usize, end: u64) -> Vec<Life> {
    let mut between = |from: u64, to: u64| from + (random.unit() * (to - from) as f64) as u64;
    let lives = (0..count).map(|_| {
        let mut failing = Vec::new();
        let mut at = between(0, 30_000);
        while at < end {
            let until = at + between(5_000, 15_000);
            failing.push((at, until));
            at = until + between(12_000, 38_000);
        }
        Life {
            failing,
            ..Life::default()
        }
    });
    lives.collect()
}

/// Returns a service of 100 targets in four failure domains.
fn large_service(seed: u64) -> Options {
    let mut random = Random(seed);
    let end = 30_000;
    Options {
        targets: (0..4).map(|_| lives(&mut random, 25, end)).collect(),
        slots: 3,
        daemons: 8,
        rates: vec![100.0; 4],
        run_ms: 220,
        can_be_resent: false,
        broken: 0.73,
        restart_at: None,
        budget_windows: true,
        home_kills: Vec::new(),
        home_stops: Vec::new(),
        silent_homes: None,
        end,
    }
}

/// Returns a service of `count` targets whose cell spans four failure domains.
fn small_service(seed: u64, count: usize, per_target: f64) -> Options {
    let mut random = Random(seed);
    let mut targets = vec![Vec::new(); 4];
    for (i, life) in lives(&mut random, count, 30_000).into_iter().enumerate() {
        targets[i % 4].push(life);
    }
    Options {
        targets,
        rates: vec![count as f64 * per_target / 4.0; 4],
        ..large_service(seed)
    }
}

/// Returns the sets of targets that the platform may count: all, each failure domain, and random parts.
fn parts(options: &Options, random: &mut Random) -> Vec<(String, Vec<usize>)> {
    let count = options.targets.iter().map(Vec::len).sum();
    let mut parts = vec![("all".to_owned(), (0..count).collect::<Vec<_>>())];
    let mut first = 0;
    for (d, lives) in options.targets.iter().enumerate() {
        parts.push((
            format!("domain {d}"),
            (first..first + lives.len()).collect(),
        ));
        first += lives.len();
    }
    for n in 0..6 {
        let share = 0.25 + 0.1 * f64::from(n);
        let part: Vec<_> = (0..count).filter(|_| random.unit() < share).collect();
        parts.push((format!("random part {n}"), part));
    }
    parts.retain(|(_, part)| part.len() >= 3);
    parts
}

/// Returns whether the target failed no request in the span before `at`; one that failed by itself is sound again then.
fn is_sound(arrivals: &[(u64, bool)], at: u64) -> bool {
    let since = at - SPAN;
    let failed = |(time, fails): &(u64, bool)| *fails && (since..=at).contains(time);
    !arrivals.iter().any(failed)
}

fn findings(options: &Options, report: &Report, seed: u64) -> Vec<String> {
    let mut random = Random(seed ^ 0xf100);
    let parts = parts(options, &mut random);
    let mut findings = Vec::new();
    for at in (BEGIN..options.end).step_by(100) {
        let used = |i: usize| {
            let arrivals = &report.arrivals[i];
            arrivals
                .iter()
                .any(|(time, _)| (at - SPAN..=at).contains(time))
        };
        for (name, part) in &parts {
            let sound = part.iter().filter(|i| is_sound(&report.arrivals[**i], at));
            let sound: Vec<_> = sound.collect();
            let used = sound.iter().filter(|i| used(***i)).count();
            if (used as f64) < SHARE * sound.len() as f64 {
                let total = sound.len();
                findings.push(format!(
                    "{name}: at {at} ms {used} of {total} sound targets in use"
                ));
            }
        }
    }
    findings
}

fn assert_floor(options: &Options, seed: u64) {
    let report = World::new(options, seed).run();
    let findings = findings(options, &report, seed);
    let served = report.requests.iter().filter(|r| r.served).count();
    let total = report.requests.len();
    assert!(
        findings.is_empty(),
        "seed {seed}, {served} of {total} served, {} findings, first: {:?}",
        findings.len(),
        &findings[..findings.len().min(5)]
    );
}

#[test]
fn any_part_of_the_sound_targets_of_a_large_service_stays_in_use() {
    for seed in 0..4 {
        assert_floor(&large_service(seed), seed);
    }
}

#[test]
fn any_part_of_the_sound_targets_of_a_small_service_stays_in_use() {
    for seed in 0..10 {
        assert_floor(&small_service(seed, 12, 4.0), seed);
    }
}

#[test]
fn targets_of_a_failure_domain_without_callers_stay_in_use() {
    for seed in 0..4 {
        let options = Options {
            rates: vec![130.0, 130.0, 130.0, 0.0],
            ..large_service(seed)
        };
        assert_floor(&options, seed);
    }
}

#[test]
fn targets_stay_in_use_after_the_homes_of_all_cells_are_killed() {
    for seed in 0..2 {
        let options = Options {
            home_kills: vec![12_000, 19_000],
            ..large_service(seed)
        };
        assert_floor(&options, seed);
    }
}

#[test]
fn targets_that_refuse_requests_for_a_while_stay_in_use() {
    for seed in 0..2 {
        let mut options = large_service(seed);
        for (i, life) in options.targets.iter_mut().flatten().enumerate() {
            let from = 6_000 + 200 * i as u64;
            if i % 3 == 0 {
                life.refusing = vec![(from, from + 6_000)];
            }
        }
        assert_floor(&options, seed);
    }
}

#[test]
fn targets_stay_in_use_while_the_homes_of_their_cell_stop_one_after_the_other() {
    for seed in 0..4 {
        let stops = (0..8).map(|n| (12_000 + n * 500, 1));
        let options = Options {
            home_stops: stops.collect(),
            daemons: 12,
            ..large_service(seed)
        };
        assert_floor(&options, seed);
    }
}

/// Returns a large service in which homes of one cell answer nobody for 8 s: they are slow, or cut off in one direction.
fn with_silent_homes(seed: u64, count: usize) -> Options {
    Options {
        silent_homes: Some(((12_000, 20_000), 1, count)),
        ..large_service(seed)
    }
}

/// Guards against entries that leave a cell to its first home, which they do not reach.
#[test]
fn targets_stay_in_use_while_the_home_of_their_cell_answers_nobody() {
    for seed in 0..4 {
        assert_floor(&with_silent_homes(seed, 1), seed);
    }
}

/// Guards against entries that act as homes of a cell themselves and all begin with the same targets.
#[test]
fn targets_stay_in_use_while_the_two_homes_that_rank_first_answer_nobody() {
    for seed in 0..4 {
        assert_floor(&with_silent_homes(seed, 2), seed);
    }
}
