//! The retry budget: over all daemons and all changes of home, arrivals beyond the first of each request stay within
//! the platform's share of the requests and its slack.

use super::world::{Life, Options, Report, World};

/// The platform's `budget_window_s`, in milliseconds.
const WINDOW: u64 = 10_000;
/// The platform's `retry_budget_ratio`.
const RATIO: f64 = 0.2;

/// Returns the first window in which targets got more arrivals beyond the first of each request than allowed.
fn finding(options: &Options, report: &Report) -> Option<String> {
    let mut sent: Vec<_> = report.requests.iter().map(|r| r.sent_at).collect();
    sent.sort_unstable();
    let repeats = report
        .requests
        .iter()
        .flat_map(|r| r.arrivals.iter().skip(1));
    let mut repeats: Vec<_> = repeats.copied().collect();
    repeats.sort_unstable();
    let within = |times: &[u64], from: u64, to: u64| {
        times.partition_point(|t| *t < to) - times.partition_point(|t| *t < from)
    };
    for from in (0..options.end).step_by(100) {
        let requests = [0, WINDOW / 2, WINDOW].map(|back| {
            let from = from.saturating_sub(back);
            within(&sent, from, from + WINDOW)
        });
        let allowed =
            RATIO * requests[0].max(requests[1]).max(requests[2]) as f64 + super::BUDGET_SLACK;
        let found = within(&repeats, from, from + WINDOW);
        if found as f64 > allowed {
            return Some(format!(
                "{found} arrivals beyond the first within {WINDOW} ms from {from} ms; {allowed} allowed"
            ));
        }
    }
    None
}

/// Returns a service whose targets refuse all requests from 10 s on.
fn refusing_service() -> Options {
    let life = Life {
        refusing: vec![(10_000, 40_000)],
        ..Life::default()
    };
    Options {
        targets: vec![vec![life; 25]; 4],
        slots: 3,
        daemons: 24,
        rates: vec![100.0; 4],
        run_ms: 220,
        can_be_resent: false,
        broken: 0.73,
        restart_at: None,
        home_kills: Vec::new(),
        end: 30_000,
    }
}

fn assert_budget(options: &Options, seed: u64) {
    let report = World::new(options, seed).run();
    assert_eq!(finding(options, &report), None, "seed {seed}");
}

#[test]
fn retries_stay_within_the_budget_while_targets_refuse_requests() {
    assert_budget(&refusing_service(), 0);
}

#[test]
fn retries_stay_within_the_budget_while_each_daemon_that_restarts_is_home_of_all_cells() {
    for seed in 0..3 {
        let options = Options {
            restart_at: Some(14_000),
            ..refusing_service()
        };
        assert_budget(&options, seed);
    }
}

#[test]
fn retries_stay_within_the_budget_while_homes_are_killed_in_series() {
    let options = Options {
        home_kills: (0..20).map(|i| 10_000 + 500 * i).collect(),
        ..refusing_service()
    };
    assert_budget(&options, 0);
}
