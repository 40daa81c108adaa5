//! Avoiding targets, ejecting them within the floor, and reinstating them.

use std::collections::BTreeMap;

use super::*;

/// Returns a cell of four targets where requests at `t0` failed until its ejection was requested, if the floor allows
/// it.
fn with_suspected_target(floor: usize) -> Harness {
    let (harness, requests) = fail_first_target(floor, 0.0);
    assert_eq!(requests, usize::from(floor < 4));
    harness
}

/// Makes requests at `t0` fail until its ejection is requested, for ten rounds at most, while other cells report the
/// share `peers` of bad requests. Returns the number of requests for its ejection.
fn fail_first_target(floor: usize, peers: f32) -> (Harness, usize) {
    let mut rules = service(4, 1, floor);
    rules.ejection.lease_ms = Millis(3_000);
    let mut harness = Harness::new(&rules);
    harness.warm_up(80);
    // Summaries of no requests, so that they count as cells but add nothing to the reference.
    let summaries = ["e", "f"].map(|domain| peer::CellSummary {
        seen: 0,
        ..summary(domain, peers)
    });
    for round in 0..10 {
        harness.handle(Event::OtherCells(&summaries));
        // Four requests at a time leave no other slot free, so an avoided target gets requests after a while.
        let tickets: Vec<_> = (4 * round..4 * round + 4).collect();
        let targets = arrive_all(&mut harness, &tickets);
        for ticket in &tickets {
            harness.handle(Event::Sent(ids::Ticket(*ticket)));
        }
        harness.advance(20);
        let mut requests = Vec::new();
        for ticket in &tickets {
            let fails = targets[ticket] == "t0";
            let outcome = if fails {
                Outcome::Failed
            } else {
                Outcome::Answered
            };
            assert_eq!(
                ejection_request(&harness.end_try(*ticket, outcome)),
                None,
                "the ejection is not confirmed yet"
            );
            harness.handle(Event::Release(ids::Ticket(*ticket)));
        }
        requests.extend(ejection_request(&harness.advance(60)));
        if !requests.is_empty() {
            assert_eq!(requests, ["t0"]);
            return (harness, 1);
        }
    }
    (harness, 0)
}

fn grant(harness: &mut Harness, until: u64) -> Vec<Action> {
    let until = harness.now + Millis(until);
    harness.handle(Event::EjectionGranted {
        target: "t0",
        until,
    })
}

/// Adds non-idempotent requests, waits until they may use avoided targets, and returns the target of each.
fn arrive_all(harness: &mut Harness, tickets: &[u64]) -> BTreeMap<u64, String> {
    let arrive = |t: &u64| harness.arrive(non_idempotent(*t));
    let mut actions: Vec<_> = tickets.iter().flat_map(arrive).collect();
    for _ in 0..40 {
        let is_grant = |a: &&Action| matches!(a, Action::Grant { .. });
        if actions.iter().filter(is_grant).count() < tickets.len() {
            actions.extend(harness.advance(1));
        }
    }
    let grants = actions.into_iter().filter_map(|a| match a {
        Action::Grant { ticket, target } => Some((ticket.0, target)),
        _ => None,
    });
    grants.collect()
}

/// Returns how many of four requests are granted a slot.
fn available_slots(harness: &mut Harness) -> usize {
    let tickets: Vec<_> = (5_000..5_004).collect();
    let count = arrive_all(harness, &tickets).len();
    for ticket in tickets {
        harness.handle(Event::Cancel(ids::Ticket(ticket)));
    }
    count
}

#[test]
fn an_avoided_target_gets_requests_when_no_other_slot_is_free() {
    let mut harness = Harness::new(&service(3, 1, 0));
    harness.warm_up(60);
    let (bad, actions) = harness.run(non_idempotent(1), 20, Outcome::Failed);
    assert!(actions.iter().any(|a| matches!(a, Action::Record { .. })));
    harness.handle(Event::Release(ids::Ticket(1)));
    for ticket in 2..4 {
        assert_ne!(
            granted(&harness.arrive(non_idempotent(ticket))).unwrap(),
            bad
        );
    }
    assert_eq!(granted(&harness.arrive(non_idempotent(4))), None);
    assert_eq!(granted(&harness.advance(19)), None);
    assert_eq!(granted(&harness.advance(1)).unwrap(), bad);
}

#[test]
fn an_ejected_target_gets_no_requests_until_the_ejection_expires() {
    let mut harness = with_suspected_target(3);
    assert_eq!(available_slots(&mut harness), 4);
    grant(&mut harness, 5_000);
    assert_eq!(available_slots(&mut harness), 3);
    let renewal = harness.advance(4_999);
    assert!(ejection_request(&renewal).is_some(), "{renewal:?}");
    harness.handle(Event::EjectionDenied { target: "t0" });
    harness.advance(1);
    assert_eq!(available_slots(&mut harness), 4);
}

#[test]
fn a_renewed_ejection_stays_in_force() {
    let mut harness = with_suspected_target(3);
    grant(&mut harness, 3_000);
    harness.advance(2_000);
    grant(&mut harness, 3_000);
    harness.advance(2_000);
    assert_eq!(available_slots(&mut harness), 3);
}

#[test]
fn an_ejection_that_the_floor_forbids_is_released() {
    let mut harness = with_suspected_target(3);
    harness.handle(Event::Rules(&service(4, 1, 4)));
    let actions = grant(&mut harness, 15_000);
    let release = Action::ReleaseEjection {
        target: "t0".to_owned(),
    };
    assert!(actions.contains(&release));
    assert_eq!(available_slots(&mut harness), 4);
}

#[test]
fn a_raised_floor_ends_an_ejection() {
    let mut harness = with_suspected_target(3);
    grant(&mut harness, 15_000);
    harness.handle(Event::Rules(&service(4, 1, 4)));
    assert_eq!(available_slots(&mut harness), 4);
}

#[test]
fn a_denied_ejection_is_requested_again_after_another_bad_request() {
    let mut harness = with_suspected_target(3);
    harness.handle(Event::EjectionDenied { target: "t0" });
    assert_eq!(ejection_request(&harness.advance(1_000)), None);
    for ticket in 200..210 {
        let target = granted(&harness.arrive(arrival(ticket))).unwrap();
        harness.handle(Event::Sent(ids::Ticket(ticket)));
        let bad = target == "t0";
        let outcome = if bad {
            Outcome::Failed
        } else {
            Outcome::Answered
        };
        harness.end_try(ticket, outcome);
        harness.handle(Event::Cancel(ids::Ticket(ticket)));
        assert_eq!(ejection_request(&harness.advance(100)).is_some(), bad);
        if bad {
            return;
        }
    }
    panic!("no trial went to t0");
}

#[test]
fn no_ejection_is_requested_if_the_floor_allows_none() {
    let mut harness = with_suspected_target(4);
    assert_eq!(ejection_request(&harness.advance(10_000)), None);
}

#[test]
fn trials_reinstate_a_target_and_its_slots_open_slowly() {
    let mut harness = with_suspected_target(3);
    grant(&mut harness, 60_000);
    harness.advance(1_000);
    let mut ended = false;
    for ticket in 100..120 {
        let (target, actions) = harness.run(arrival(ticket), 20, Outcome::Answered);
        let end = actions
            .iter()
            .any(|a| matches!(a, Action::ReleaseEjection { .. }));
        assert!(!ended || !end);
        assert_eq!(target == "t0", !ended || target == "t0");
        ended |= end;
    }
    assert!(ended);
    assert_eq!(available_slots(&mut harness), 4);
}

#[test]
fn one_trial_runs_at_a_time_and_only_with_idempotent_requests() {
    let mut harness = with_suspected_target(3);
    grant(&mut harness, 60_000);
    harness.advance(1_000);
    assert_ne!(granted(&harness.arrive(non_idempotent(100))).unwrap(), "t0");
    assert_eq!(granted(&harness.arrive(arrival(101))).unwrap(), "t0");
    assert!(harness.cell.is_trial(ids::Ticket(101)));
    assert_ne!(granted(&harness.arrive(arrival(102))).unwrap(), "t0");
}

#[test]
fn a_flapping_target_waits_longer_each_time() {
    let mut harness = with_suspected_target(3);
    grant(&mut harness, 1_000_000);
    let mut waits = Vec::new();
    for round in 0..8 {
        let mut waited = 0;
        while harness.cell.wake() < Millis::MAX {
            harness.advance(100);
            waited += 100;
            let ticket = 10_000 + 1_000 * round + waited / 100;
            if granted(&harness.arrive(arrival(ticket))).unwrap() == "t0" {
                harness.handle(Event::Sent(ids::Ticket(ticket)));
                harness.end_try(ticket, Outcome::Broken);
                harness.handle(Event::Cancel(ids::Ticket(ticket)));
                break;
            }
            harness.handle(Event::Cancel(ids::Ticket(ticket)));
        }
        waits.push(waited);
    }
    // The first wait started shortly before the first round.
    assert!((700..=1_000).contains(&waits[0]), "{waits:?}");
    assert_eq!(waits[1..4], [2_000, 4_000, 8_000]);
    assert_eq!(waits[7], 60_000);
}

#[test]
fn a_degraded_cell_defers_to_healthy_cells_and_ejects_no_target() {
    let mut harness = Harness::new(&service(2, 1, 0));
    harness.warm_up(60);
    let mut refusals = 0;
    for ticket in 0..60 {
        harness.handle(Event::OtherCells(&[summary("e", 0.0), summary("f", 0.0)]));
        let actions = harness.arrive(non_idempotent(ticket));
        if let Some((_, refusal)) = refused(&actions) {
            assert_eq!(refusal.cause, refusal::Cause::NoTarget);
            assert_eq!(refusal.outcome, refusal::Outcome::NotRun);
            refusals += 1;
            continue;
        }
        harness.handle(Event::Sent(ids::Ticket(ticket)));
        harness.advance(20);
        assert_eq!(
            ejection_request(&harness.end_try(ticket, Outcome::Failed)),
            None
        );
        harness.handle(Event::Release(ids::Ticket(ticket)));
    }
    assert!(refusals > 50, "{refusals}");
    assert!(harness.cell.is_degraded());
    assert!(harness.cell.summary(harness.now).bad >= cell::DEGRADED_SHARE);
    // When the first target is normal again, the other one must not be ejected.
    harness.advance(5_000);
    for ticket in 100..150 {
        let (_, actions) = harness.run(arrival(ticket), 20, Outcome::Answered);
        assert_eq!(ejection_request(&actions), None);
    }
    assert!(!harness.cell.is_degraded());
}

#[test]
fn no_ejection_is_requested_if_most_other_cells_are_degraded() {
    assert_eq!(fail_first_target(3, 0.4).1, 1);
    assert_eq!(fail_first_target(3, 0.6).1, 0);
}

#[test]
fn no_ejection_is_requested_if_most_other_targets_are_suspected() {
    let mut rules = service(4, 1, 0);
    rules.ejection.eject = 3.0;
    let mut harness = Harness::new(&rules);
    harness.warm_up(80);
    let mut requests = 0;
    for round in 0..10 {
        let tickets: Vec<_> = (4 * round..4 * round + 4).collect();
        let targets = arrive_all(&mut harness, &tickets);
        for ticket in &tickets {
            harness.handle(Event::Sent(ids::Ticket(*ticket)));
        }
        harness.advance(20);
        for ticket in &tickets {
            let is_healthy = targets[ticket] == "t3";
            let outcome = if is_healthy {
                Outcome::Answered
            } else {
                Outcome::Failed
            };
            let actions = harness.end_try(*ticket, outcome);
            harness.handle(Event::Release(ids::Ticket(*ticket)));
            requests += usize::from(ejection_request(&actions).is_some());
        }
        requests += usize::from(ejection_request(&harness.advance(60)).is_some());
    }
    assert_eq!(requests, 0);
    assert!(!harness.cell.is_degraded());
}

#[test]
fn a_target_is_not_avoided_if_other_cells_fail_as_often() {
    let is_avoided = |bad| {
        let mut harness = Harness::new(&service(2, 1, 0));
        harness.warm_up(60);
        harness.handle(Event::OtherCells(&[summary("e", bad), summary("f", bad)]));
        let (_, actions) = harness.run(non_idempotent(1), 20, Outcome::Failed);
        actions.iter().any(|a| matches!(a, Action::Record { .. }))
    };
    assert!(is_avoided(0.0));
    assert!(!is_avoided(0.9));
}

#[test]
fn a_pause_of_the_home_does_not_count_as_slow_targets() {
    let mut harness = Harness::new(&service(3, 2, 0));
    harness.warm_up(60);
    for ticket in 0..3 {
        harness.arrive(non_idempotent(ticket));
        harness.handle(Event::Sent(ids::Ticket(ticket)));
    }
    harness.now += Millis(5_000);
    let mut actions = harness.handle(Event::Tick);
    for ticket in 0..3 {
        actions.extend(harness.end_try(ticket, Outcome::Answered));
    }
    assert_eq!(actions, []);
}
