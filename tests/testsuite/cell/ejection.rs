//! Avoiding, ejecting under the floor, and the way back.

use std::collections::BTreeMap;

use super::*;

/// A cell of four targets where requests at `t0` fail until its ejection is asked for.
fn suspicious(floor: usize) -> Desk {
    let (desk, asks) = fail_at_first(floor, 0.0);
    assert_eq!(asks, usize::from(floor < 4));
    desk
}

/// Lets requests at `t0` fail beside other cells with a share of bad requests, until its ejection is asked for or for a
/// while; returns how often it was.
fn fail_at_first(floor: usize, peers: f32) -> (Desk, usize) {
    let mut rules = service(4, 1, floor);
    rules.ejection.lease_ms = Millis(3_000);
    let mut desk = Desk::new(&rules);
    desk.warm(80);
    // They tell of no requests, so that they count as cells but not as evidence.
    let told = ["e", "f"].map(|domain| peer::CellSummary {
        seen: 0,
        ..summary(domain, peers)
    });
    for round in 0..10 {
        desk.handle(Event::Peers(&told));
        // Four at a time leave no other slot free, so that an avoided target gets work after a while.
        let tickets: Vec<_> = (4 * round..4 * round + 4).collect();
        let targets = arrive_all(&mut desk, &tickets);
        for ticket in &tickets {
            desk.handle(Event::Dispatch(ids::Ticket(*ticket)));
        }
        desk.pass(20);
        let mut asks = Vec::new();
        for ticket in &tickets {
            let fails = targets[ticket] == "t0";
            let outcome = if fails {
                Outcome::Failed
            } else {
                Outcome::Answered
            };
            assert_eq!(
                asked(&desk.done(*ticket, outcome)),
                None,
                "not confirmed yet"
            );
            desk.handle(Event::Release(ids::Ticket(*ticket)));
        }
        asks.extend(asked(&desk.pass(60)));
        if !asks.is_empty() {
            assert_eq!(asks, ["t0"]);
            return (desk, 1);
        }
    }
    (desk, 0)
}

fn grant(desk: &mut Desk, until: u64) -> Vec<Action> {
    let until = desk.now + Millis(until);
    desk.handle(Event::Granted {
        target: "t0",
        until,
    })
}

/// Lets writes arrive, waits until they might go to targets that are avoided, and returns which went where.
fn arrive_all(desk: &mut Desk, tickets: &[u64]) -> BTreeMap<u64, String> {
    let arrive = |t: &u64| desk.arrive(writing(*t));
    let mut actions: Vec<_> = tickets.iter().flat_map(arrive).collect();
    for _ in 0..40 {
        let is_grant = |a: &&Action| matches!(a, Action::Grant { .. });
        if actions.iter().filter(is_grant).count() < tickets.len() {
            actions.extend(desk.pass(1));
        }
    }
    let grants = actions.into_iter().filter_map(|a| match a {
        Action::Grant { ticket, target } => Some((ticket.0, target)),
        _ => None,
    });
    grants.collect()
}

/// Returns how many slots there are.
fn slots(desk: &mut Desk) -> usize {
    let tickets: Vec<_> = (5_000..5_004).collect();
    let count = arrive_all(desk, &tickets).len();
    for ticket in tickets {
        desk.handle(Event::Cancel(ids::Ticket(ticket)));
    }
    count
}

#[test]
fn an_avoided_target_gets_work_when_no_other_slot_is_free() {
    let mut desk = Desk::new(&service(3, 1, 0));
    desk.warm(60);
    let (bad, actions) = desk.run(writing(1), 20, Outcome::Failed);
    assert!(actions.iter().any(|a| matches!(a, Action::Record { .. })));
    desk.handle(Event::Release(ids::Ticket(1)));
    for ticket in 2..4 {
        assert_ne!(granted(&desk.arrive(writing(ticket))).unwrap(), bad);
    }
    assert_eq!(granted(&desk.arrive(writing(4))), None);
    assert_eq!(granted(&desk.pass(19)), None);
    assert_eq!(granted(&desk.pass(1)).unwrap(), bad);
}

#[test]
fn an_ejected_target_gets_no_work_until_the_ejection_lapses() {
    let mut desk = suspicious(3);
    assert_eq!(slots(&mut desk), 4);
    grant(&mut desk, 5_000);
    assert_eq!(slots(&mut desk), 3);
    let renewal = desk.pass(4_999);
    assert!(asked(&renewal).is_some(), "{renewal:?}");
    desk.handle(Event::Denied { target: "t0" });
    desk.pass(1);
    assert_eq!(slots(&mut desk), 4);
}

#[test]
fn a_renewed_ejection_goes_on() {
    let mut desk = suspicious(3);
    grant(&mut desk, 3_000);
    desk.pass(2_000);
    grant(&mut desk, 3_000);
    desk.pass(2_000);
    assert_eq!(slots(&mut desk), 3);
}

#[test]
fn a_grant_that_the_floor_in_force_forbids_is_given_back() {
    let mut desk = suspicious(3);
    desk.handle(Event::Rules(&service(4, 1, 4)));
    let actions = grant(&mut desk, 15_000);
    let back = Action::ReleaseEjection {
        target: "t0".to_owned(),
    };
    assert!(actions.contains(&back));
    assert_eq!(slots(&mut desk), 4);
}

#[test]
fn a_raised_floor_ends_an_ejection() {
    let mut desk = suspicious(3);
    grant(&mut desk, 15_000);
    desk.handle(Event::Rules(&service(4, 1, 4)));
    assert_eq!(slots(&mut desk), 4);
}

#[test]
fn a_denied_ejection_is_asked_for_again_after_another_bad_request() {
    let mut desk = suspicious(3);
    desk.handle(Event::Denied { target: "t0" });
    assert_eq!(asked(&desk.pass(1_000)), None);
    for ticket in 200..210 {
        let target = granted(&desk.arrive(arrival(ticket))).unwrap();
        desk.handle(Event::Dispatch(ids::Ticket(ticket)));
        let bad = target == "t0";
        let outcome = if bad {
            Outcome::Failed
        } else {
            Outcome::Answered
        };
        desk.done(ticket, outcome);
        desk.handle(Event::Cancel(ids::Ticket(ticket)));
        assert_eq!(asked(&desk.pass(100)).is_some(), bad);
        if bad {
            return;
        }
    }
    panic!("no trial went to t0");
}

#[test]
fn no_ejection_is_asked_for_where_the_floor_allows_none() {
    let mut desk = suspicious(4);
    assert_eq!(asked(&desk.pass(10_000)), None);
}

#[test]
fn trials_reinstate_a_target_and_its_slots_open_slowly() {
    let mut desk = suspicious(3);
    grant(&mut desk, 60_000);
    desk.pass(1_000);
    let mut ended = false;
    for ticket in 100..120 {
        let (target, actions) = desk.run(arrival(ticket), 20, Outcome::Answered);
        let end = actions
            .iter()
            .any(|a| matches!(a, Action::ReleaseEjection { .. }));
        assert!(!ended || !end);
        assert_eq!(target == "t0", !ended || target == "t0");
        ended |= end;
    }
    assert!(ended);
    assert_eq!(slots(&mut desk), 4);
}

#[test]
fn one_trial_runs_at_a_time_and_only_idempotent_work() {
    let mut desk = suspicious(3);
    grant(&mut desk, 60_000);
    desk.pass(1_000);
    assert_ne!(granted(&desk.arrive(writing(100))).unwrap(), "t0");
    assert_eq!(granted(&desk.arrive(arrival(101))).unwrap(), "t0");
    assert!(desk.cell.is_trial(ids::Ticket(101)));
    assert_ne!(granted(&desk.arrive(arrival(102))).unwrap(), "t0");
}

#[test]
fn a_flapping_target_waits_longer_each_time() {
    let mut desk = suspicious(3);
    grant(&mut desk, 1_000_000);
    let mut waits = Vec::new();
    for round in 0..8 {
        let mut waited = 0;
        while desk.cell.wake() < Millis::MAX {
            desk.pass(100);
            waited += 100;
            let ticket = 10_000 + 1_000 * round + waited / 100;
            if granted(&desk.arrive(arrival(ticket))).unwrap() == "t0" {
                desk.handle(Event::Dispatch(ids::Ticket(ticket)));
                desk.done(ticket, Outcome::Broken);
                desk.handle(Event::Cancel(ids::Ticket(ticket)));
                break;
            }
            desk.handle(Event::Cancel(ids::Ticket(ticket)));
        }
        waits.push(waited);
    }
    // The first wait began a moment before the first round.
    assert!((700..=1_000).contains(&waits[0]), "{waits:?}");
    assert_eq!(waits[1..4], [2_000, 4_000, 8_000]);
    assert_eq!(waits[7], 60_000);
}

#[test]
fn a_home_whose_targets_all_look_sick_steps_aside_and_ejects_none() {
    let mut desk = Desk::new(&service(2, 1, 0));
    desk.warm(60);
    let mut refusals = 0;
    for ticket in 0..60 {
        desk.handle(Event::Peers(&[summary("e", 0.0), summary("f", 0.0)]));
        let actions = desk.arrive(writing(ticket));
        if let Some((_, refusal)) = refused(&actions) {
            assert_eq!(refusal.cause, refusal::Cause::NoTarget);
            assert_eq!(refusal.outcome, refusal::Outcome::NotRun);
            refusals += 1;
            continue;
        }
        desk.handle(Event::Dispatch(ids::Ticket(ticket)));
        desk.pass(20);
        assert_eq!(asked(&desk.done(ticket, Outcome::Failed)), None);
        desk.handle(Event::Release(ids::Ticket(ticket)));
    }
    assert!(refusals > 50, "{refusals}");
    assert!(desk.cell.is_degraded());
    assert!(desk.cell.summary(desk.now).bad >= cell::DEGRADED_SHARE);
    // The first one back in favour does not leave the other one to be ejected.
    desk.pass(5_000);
    for ticket in 100..150 {
        let (_, actions) = desk.run(arrival(ticket), 20, Outcome::Answered);
        assert_eq!(asked(&actions), None);
    }
    assert!(!desk.cell.is_degraded());
}

#[test]
fn no_ejection_is_asked_for_where_the_other_cells_are_sick() {
    assert_eq!(fail_at_first(3, 0.4).1, 1);
    assert_eq!(fail_at_first(3, 0.6).1, 0);
}

#[test]
fn no_ejection_is_asked_for_where_most_others_look_sick_too() {
    let mut rules = service(4, 1, 0);
    rules.ejection.eject = 3.0;
    let mut desk = Desk::new(&rules);
    desk.warm(80);
    let mut asks = 0;
    for round in 0..10 {
        let tickets: Vec<_> = (4 * round..4 * round + 4).collect();
        let targets = arrive_all(&mut desk, &tickets);
        for ticket in &tickets {
            desk.handle(Event::Dispatch(ids::Ticket(*ticket)));
        }
        desk.pass(20);
        for ticket in &tickets {
            let well = targets[ticket] == "t3";
            let outcome = if well {
                Outcome::Answered
            } else {
                Outcome::Failed
            };
            let actions = desk.done(*ticket, outcome);
            desk.handle(Event::Release(ids::Ticket(*ticket)));
            asks += usize::from(asked(&actions).is_some());
        }
        asks += usize::from(asked(&desk.pass(60)).is_some());
    }
    assert_eq!(asks, 0);
    assert!(!desk.cell.is_degraded());
}

#[test]
fn other_cells_that_do_as_badly_excuse_a_target() {
    let score = |bad| {
        let mut desk = Desk::new(&service(2, 1, 0));
        desk.warm(60);
        desk.handle(Event::Peers(&[summary("e", bad), summary("f", bad)]));
        let (_, actions) = desk.run(writing(1), 20, Outcome::Failed);
        actions.iter().any(|a| matches!(a, Action::Record { .. }))
    };
    assert!(score(0.0));
    assert!(!score(0.9));
}

#[test]
fn a_pause_of_the_home_is_not_held_against_targets() {
    let mut desk = Desk::new(&service(3, 2, 0));
    desk.warm(60);
    for ticket in 0..3 {
        desk.arrive(writing(ticket));
        desk.handle(Event::Dispatch(ids::Ticket(ticket)));
    }
    desk.now += Millis(5_000);
    let mut actions = desk.handle(Event::Tick);
    for ticket in 0..3 {
        actions.extend(desk.done(ticket, Outcome::Answered));
    }
    assert_eq!(actions, []);
}
