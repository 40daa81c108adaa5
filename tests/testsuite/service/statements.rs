//! What targets state about their leaving and their pauses: over all daemons and changes of home, a daemon that was told
//! sends no more requests than it may.

use super::world::{Life, Options, Report, World};

/// When the targets begin to leave, or to refuse requests, in milliseconds.
const BEGIN: u64 = 5_000;
/// When they accept requests again.
const END: u64 = 12_000;
/// How long the daemons may take to learn of the targets that ask for pauses; until then the retry budget binds.
const LEARNING: u64 = 2_500;
/// The requests that may reach a target from one daemon while it pauses for it.
const ALLOWED_IN_PAUSE: usize = 2;

fn service(life: impl Fn(usize) -> Life) -> Options {
    Options {
        targets: vec![(0..25).map(life).collect(); 4],
        slots: 3,
        daemons: 8,
        rates: vec![60.0; 4],
        run_ms: 220,
        can_be_resent: true,
        broken: 0.73,
        restart_at: None,
        budget_windows: true,
        home_kills: Vec::new(),
        home_stops: Vec::new(),
        silent_homes: None,
        end: 16_000,
    }
}

/// A service in which every fourth target states that it is leaving, one after the other.
fn leaving_service() -> Options {
    service(|i| Life {
        leaves_at: i.is_multiple_of(4).then_some(BEGIN + 200 * (i as u64 / 4)),
        ..Life::default()
    })
}

/// A service in which every second target refuses all requests for some time, and asks for pauses.
fn pausing_service() -> Options {
    service(|i| Life {
        refusing: i
            .is_multiple_of(2)
            .then_some((BEGIN, END))
            .into_iter()
            .collect(),
        pause: [1_000, 2_500, 6_000][i / 2 % 3],
        ..Life::default()
    })
}

fn assert_statements_hold(options: &Options, seed: u64) -> Report {
    let report = World::new(options, seed).run();
    for (i, late) in report.late_arrivals.iter().enumerate() {
        assert_eq!(late.first(), None, "t{i} was leaving; seed {seed}");
    }
    for (target, arrivals) in &report.paused_arrivals {
        assert!(
            *arrivals <= ALLOWED_IN_PAUSE,
            "t{target} got {arrivals} requests in a pause; seed {seed}"
        );
    }
    report
}

/// Returns how many requests that were sent from `from` on were not served.
fn unserved(options: &Options, report: &Report, from: u64) -> usize {
    let counted = from..options.end - 4_000;
    let counted = report
        .requests
        .iter()
        .filter(|r| counted.contains(&r.sent_at));
    counted.filter(|r| !r.served).count()
}

fn with_home_kills(options: Options) -> Options {
    Options {
        home_kills: (0..6).map(|i| 6_000 + 1_300 * i).collect(),
        ..options
    }
}

#[test]
fn a_target_that_states_that_it_is_leaving_gets_no_new_requests() {
    let options = leaving_service();
    let report = assert_statements_hold(&options, 0);
    assert_eq!(unserved(&options, &report, 0), 0, "the others have room");
    // All daemons leave it alone, also those that have not passed on that it is leaving.
    for (i, life) in options.targets.iter().flatten().enumerate() {
        let Some(from) = life.leaves_at else { continue };
        let arrivals = report.arrivals[i].iter();
        let late = arrivals.filter(|(at, _)| *at > from + 2_500).count();
        assert_eq!(late, 0, "t{i} is leaving since {from} ms");
    }
}

#[test]
fn targets_that_are_leaving_are_not_used_again_while_homes_are_killed_in_series() {
    for seed in 0..3 {
        assert_statements_hold(&with_home_kills(leaving_service()), seed);
    }
}

#[test]
fn a_target_that_asks_for_a_pause_gets_one_from_each_daemon() {
    let options = pausing_service();
    let report = assert_statements_hold(&options, 0);
    assert!(report.paused_arrivals.len() > 100, "targets ask for pauses");
    let unserved = unserved(&options, &report, BEGIN + LEARNING);
    assert_eq!(unserved, 0, "the others have room");
    let used_again = report.arrivals.iter().step_by(2);
    let used_again = used_again.filter(|a| a.iter().any(|(at, _)| *at > END));
    assert!(
        used_again.count() > 40,
        "targets are used after their pauses"
    );
}

#[test]
fn pauses_hold_while_homes_are_killed_in_series() {
    for seed in 0..3 {
        assert_statements_hold(&with_home_kills(pausing_service()), seed);
    }
}

#[test]
fn pauses_hold_after_all_daemons_restart() {
    for seed in 0..3 {
        let options = Options {
            restart_at: Some(8_000),
            ..pausing_service()
        };
        assert_statements_hold(&options, seed);
    }
}
