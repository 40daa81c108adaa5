//! Rate limits of targets: over all daemons and changes of home, a target gets no more requests than the limit that it
//! states allows.

use super::world::{Life, Options, Report, World};

/// The span over which the platform counts the requests at a target, in milliseconds.
const WINDOW: u64 = 4_000;
/// The platform's `contact_ms`, after which it begins to count.
const CONTACT: u64 = 3_000;
/// When targets begin to state their limits.
const BEGIN: u64 = 5_000;
/// When they no longer do.
const END: u64 = 25_000;

/// Returns a service in which every third target states a limit for some time.
fn limited_service() -> Options {
    let life = |i: usize| Life {
        limit: i.is_multiple_of(3).then(|| {
            let rate = [0.4, 1.0, 1.8, 6.0][i / 3 % 4];
            (rate, (BEGIN, END))
        }),
        ..Life::default()
    };
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
        end: 32_000,
    }
}

/// Returns the first window in which a target got more requests than one and a half times its limit, and five.
fn finding(options: &Options, report: &Report) -> Option<String> {
    let lives = options.targets.iter().flatten();
    for (i, (life, arrivals)) in lives.zip(&report.told_arrivals).enumerate() {
        let Some((rate, _)) = life.limit else {
            continue;
        };
        let allowed = (1.5 * rate * WINDOW as f64 / 1_000.0 + 5.0) as usize;
        let counted = |at: &&u64| (BEGIN + CONTACT..END).contains(*at);
        for begin in arrivals.iter().filter(counted) {
            let window = *begin..*begin + WINDOW;
            let found = arrivals.iter().filter(|at| window.contains(at)).count();
            if found > allowed {
                return Some(format!(
                    "t{i}: {found} requests from {begin} ms at a limit of {rate}; {allowed} allowed"
                ));
            }
        }
    }
    None
}

fn assert_limits(options: &Options, seed: u64) -> Report {
    let report = World::new(options, seed).run();
    assert_eq!(finding(options, &report), None, "seed {seed}");
    report
}

/// Returns how many requests reached the targets with a limit from `from` to `to`.
fn arrivals_at_limited(options: &Options, report: &Report, from: u64, to: u64) -> usize {
    let lives = options.targets.iter().flatten();
    let limited = lives
        .zip(&report.arrivals)
        .filter(|(l, _)| l.limit.is_some());
    let within = |(at, _): &&(u64, bool)| (from..to).contains(at);
    let counts = limited.map(|(_, arrivals)| arrivals.iter().filter(within).count());
    counts.sum()
}

#[test]
fn a_limit_holds_while_targets_state_it_and_ends_with_it() {
    let options = limited_service();
    let report = assert_limits(&options, 0);
    let limited = arrivals_at_limited(&options, &report, 15_000, 20_000);
    let free = arrivals_at_limited(&options, &report, 27_000, 32_000);
    assert!(limited > 100, "{limited} requests: the limits are used");
    assert!(
        free > limited,
        "{free} requests after the limits, {limited} before"
    );
    let unserved = report.requests.iter().filter(|r| !r.served);
    let settled = unserved.filter(|r| r.sent_at < options.end - 2_000);
    assert_eq!(settled.count(), 0, "the other targets have room");
}

#[test]
fn limits_hold_while_homes_are_killed_in_series() {
    for seed in 0..3 {
        let options = Options {
            home_kills: (0..8).map(|i| 8_000 + 1_700 * i).collect(),
            ..limited_service()
        };
        assert_limits(&options, seed);
    }
}

#[test]
fn limits_hold_after_all_daemons_restart() {
    for seed in 0..3 {
        let options = Options {
            restart_at: Some(12_000),
            ..limited_service()
        };
        assert_limits(&options, seed);
    }
}

#[test]
fn requests_are_refused_at_once_where_all_targets_state_low_limits() {
    let life = Life {
        limit: Some((0.5, (0, 40_000))),
        ..Life::default()
    };
    let options = Options {
        targets: vec![vec![life; 25]; 4],
        rates: vec![40.0; 4],
        end: 20_000,
        ..limited_service()
    };
    let report = assert_limits(&options, 0);
    let served = report.requests.iter().filter(|r| r.served).count();
    // 100 targets take 50 requests a second together.
    assert!((600..=1_200).contains(&served), "{served} served");
}
