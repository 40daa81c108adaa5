//! Whether a daemon connects to targets itself or through other daemons.

use std::net;
use std::sync;

use peridotspread::coordination::egress::{Change, Egress, Plan, RelayTry, Verdict};
use peridotspread::coordination::member;
use peridotspread::state::clock::Millis;
use peridotspread::state::ids;

/// Returns a view of daemons `a-0`, `a-1`, ... in the failure domain `a`, and so on.
fn view(domains: &[(&str, usize)]) -> sync::Arc<member::View> {
    let mut view = member::View::default();
    for (domain, count) in domains {
        for n in 0..*count {
            let member = member::Member {
                peer: "127.0.0.1:7000".parse().unwrap(),
                domain: (*domain).to_owned(),
                incarnation: ids::Incarnation(1),
                liveness: member::Liveness::Alive,
                version: 1,
            };
            view.members.insert(format!("{domain}-{n}"), member);
        }
    }
    sync::Arc::new(view)
}

fn target(n: u8) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, n], 80))
}

/// Returns the state of `a-0` once relays reached two targets that it did not.
fn cut_off(now: Millis) -> Egress {
    let mut egress = Egress::new("a-0", "a");
    assert_eq!(egress.record_missed(now, target(1)), None);
    assert_eq!(egress.record_missed(now, target(2)), Some(Change::CutOff));
    egress
}

#[test]
fn a_connected_daemon_tries_relays_after_a_head_start() {
    let plan = Egress::new("a-0", "a").plan(Millis(1), &view(&[("a", 2), ("b", 5)]));
    assert!(plan.direct);
    assert!(plan.relays_after > Millis::ZERO);
    assert_eq!(plan.relays.len(), 3);
}

#[test]
fn one_target_that_only_relays_reach_does_not_cut_a_daemon_off() {
    let mut egress = Egress::new("a-0", "a");
    for n in 0..10 {
        assert_eq!(egress.record_missed(Millis(n), target(1)), None);
    }
    assert!(!egress.is_cut_off());
}

#[test]
fn a_direct_connection_in_between_shows_that_the_daemon_is_not_cut_off() {
    let mut egress = Egress::new("a-0", "a");
    egress.record_missed(Millis(1), target(1));
    egress.record_direct(Millis(2));
    assert_eq!(egress.record_missed(Millis(3), target(2)), None);
}

#[test]
fn a_daemon_that_is_cut_off_uses_relays_first_and_few_direct_tries() {
    let mut egress = cut_off(Millis::ZERO);
    let view = view(&[("a", 2), ("b", 5)]);
    let plans: Vec<_> = (0..10_000)
        .map(|ms| egress.plan(Millis(ms), &view))
        .collect();
    let direct = plans.iter().filter(|p| p.direct).count();
    // Two a second, however many requests there are.
    assert_eq!(direct, 19);
    let relayed = |p: &&Plan| !p.direct;
    assert!(
        plans
            .iter()
            .filter(relayed)
            .all(|p| p.relays_after == Millis::ZERO)
    );
}

#[test]
fn one_direct_connection_ends_a_cut() {
    let mut egress = cut_off(Millis(100));
    let change = egress.record_direct(Millis(700));
    assert_eq!(change, Some(Change::Reached(Millis(600))));
    assert!(!egress.is_cut_off());
}

// A cut often affects a whole failure domain, whose daemons are of no use as relays.
#[test]
fn relays_are_of_other_failure_domains_while_there_are_any() {
    let mut egress = cut_off(Millis::ZERO);
    let plan = egress.plan(Millis(1), &view(&[("a", 40), ("b", 2), ("c", 2)]));
    assert!(plan.relays.iter().all(|r| !r.starts_with('a')), "{plan:?}");
    let plan = egress.plan(Millis(2), &view(&[("a", 3)]));
    assert_eq!(plan.relays.len(), 2);
    assert!(!plan.relays.contains(&"a-0".to_owned()));
}

#[test]
fn a_relay_that_is_not_usable_is_left_out_for_a_while() {
    let mut egress = cut_off(Millis::ZERO);
    let view = view(&[("a", 1), ("b", 3)]);
    for relay in ["b-0", "b-1", "b-2"] {
        egress.record_relay(Millis(1), relay, RelayTry::Unusable);
    }
    assert_eq!(egress.plan(Millis(2), &view), Plan::default(), "no path");
    assert_eq!(egress.plan(Millis(2_100), &view).relays.len(), 3);
}

// 26 daemons that are cut off must not all relay through the same one.
#[test]
fn the_daemons_of_a_cut_failure_domain_spread_over_the_relays() {
    let view = view(&[("a", 26), ("b", 26), ("c", 26)]);
    let mut used = std::collections::BTreeMap::<String, usize>::new();
    for n in 0..26 {
        let mut egress = Egress::new(&format!("a-{n}"), "a");
        for ms in 0..30 {
            let plan = egress.plan(Millis(ms), &view);
            *used.entry(plan.relays[0].clone()).or_default() += 1;
        }
    }
    // 780 requests over 52 daemons are 15 each.
    assert!(used.len() > 30, "{used:?}");
    assert!(used.values().all(|n| *n <= 75), "{used:?}");
}

#[test]
fn a_failure_counts_against_the_target_only_if_the_observer_reached_another_lately() {
    let mut egress = Egress::new("a-0", "a");
    let plan = egress.plan(Millis(1), &view(&[("a", 1), ("b", 3)]));
    assert_eq!(egress.verdict(Millis(400), &plan, &[]), Verdict::NoPath);
    egress.record_direct(Millis(500));
    assert_eq!(
        egress.verdict(Millis(900), &plan, &[]),
        Verdict::TargetFailed
    );
    assert_eq!(egress.verdict(Millis(9_000), &plan, &[]), Verdict::NoPath);
}

#[test]
fn a_failure_counts_against_the_target_if_a_relay_that_reached_another_agrees() {
    let mut egress = cut_off(Millis::ZERO);
    let plan = egress.plan(Millis(1), &view(&[("a", 1), ("b", 3)]));
    let first = &plan.relays[..1];
    assert_eq!(egress.verdict(Millis(400), &plan, first), Verdict::NoPath);
    egress.record_relay(Millis(500), &first[0], RelayTry::Connected);
    assert_eq!(
        egress.verdict(Millis(900), &plan, first),
        Verdict::TargetFailed
    );
    let all = plan.relays.clone();
    assert_eq!(
        egress.verdict(Millis(9_000), &plan, &all),
        Verdict::TargetFailed
    );
}

#[test]
fn a_daemon_without_others_blames_the_target() {
    let mut egress = Egress::new("a-0", "a");
    let plan = egress.plan(Millis(1), &view(&[("a", 1)]));
    assert_eq!((plan.direct, plan.relays.len()), (true, 0));
    assert_eq!(
        egress.verdict(Millis(400), &plan, &[]),
        Verdict::TargetFailed
    );
}
