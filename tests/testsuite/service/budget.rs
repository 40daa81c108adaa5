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
        budget_windows: true,
        home_kills: Vec::new(),
        home_stops: Vec::new(),
        silent_homes: None,
        end: 30_000,
    }
}

fn assert_budget(options: &Options, seed: u64) {
    let report = World::new(options, seed).run();
    assert_eq!(finding(options, &report), None, "seed {seed}");
}

/// Returns how many arrivals beyond the first of each request there were, and how many requests were not served.
fn spent(options: &Options, seed: u64) -> (usize, usize) {
    let report = World::new(options, seed).run();
    assert_eq!(finding(options, &report), None, "seed {seed}");
    let repeats = report
        .requests
        .iter()
        .map(|r| r.arrivals.len().saturating_sub(1));
    let failed = report.requests.iter().filter(|r| !r.served).count();
    (repeats.sum(), failed)
}

/// A bucket forgets what first tries earn while it is full, so that a service that sheds in part leaves budget unused.
#[test]
fn the_budget_is_spent_up_to_the_rule_while_targets_shed_half_of_their_requests() {
    let life = Life {
        shedding: vec![(15_000, 23_000)],
        ..Life::default()
    };
    let options = Options {
        targets: vec![vec![life; 25]; 4],
        ..refusing_service()
    };
    for seed in 0..3 {
        let (retries, failed) = spent(&options, seed);
        let bucket = Options {
            budget_windows: false,
            ..options.clone()
        };
        let (before, failed_before) = spent(&bucket, seed);
        // The rule for the window of 10 s around the shedding, with 400 requests a second.
        let allowed = RATIO * 4_000.0 + super::BUDGET_SLACK;
        println!(
            "seed {seed}: {retries} of {allowed} retries, {failed} failed; bucket {before}, {failed_before} failed"
        );
        assert!(
            retries as f64 > 0.8 * allowed,
            "seed {seed}: {retries} of {allowed}"
        );
        assert!(
            failed < failed_before,
            "seed {seed}: {failed} failed, {failed_before} before"
        );
    }
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
        // The homes have just spent what they saved up.
        let options = Options {
            restart_at: Some(11_000),
            ..options
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
