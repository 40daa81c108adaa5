//! Avoiding, ejecting under the floor, and the way back.

use super::*;

/// A cell of four targets where requests at `t0` fail until its ejection is asked for.
fn suspicious(floor: usize) -> Desk {
    let mut rules = service(4, 1, floor);
    rules.ejection.lease_ms = Millis(3_000);
    let mut desk = Desk::new(&rules);
    desk.warm(80);
    for round in 0..10 {
        // Four at a time leave no other slot free, so that an avoided target gets work too.
        let tickets: Vec<_> = (4 * round..4 * round + 4).collect();
        let arrive = |t: &u64| granted(&desk.arrive(writing(*t))).unwrap();
        let targets: Vec<_> = tickets.iter().map(arrive).collect();
        for ticket in &tickets {
            desk.handle(Event::Dispatch(ids::Ticket(*ticket)));
        }
        desk.pass(20);
        let mut asks = Vec::new();
        for (ticket, target) in tickets.iter().zip(targets) {
            let fails = target == "t0";
            let outcome = if fails {
                Outcome::Failed
            } else {
                Outcome::Answered
            };
            asks.extend(asked(&desk.done(*ticket, outcome)));
            desk.handle(Event::Release(ids::Ticket(*ticket)));
        }
        if !asks.is_empty() {
            assert_eq!(asks, ["t0"]);
            return desk;
        }
    }
    assert_eq!(floor, 4, "the evidence is strong enough");
    desk
}

fn grant(desk: &mut Desk, until: u64) -> Vec<Action> {
    let until = desk.now + Millis(until);
    desk.handle(Event::Granted {
        target: "t0",
        until,
    })
}

/// Returns how many of `count` waiting writes get a slot.
fn slots(desk: &mut Desk) -> usize {
    let tickets = 5_000..5_004;
    let granted = tickets
        .clone()
        .filter(|t| granted(&desk.arrive(writing(*t))).is_some());
    let count = granted.count();
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
    let targets: Vec<_> = (2..5)
        .map(|t| granted(&desk.arrive(writing(t))).unwrap())
        .collect();
    assert_eq!(targets[2], bad);
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
    let back = Action::EndEjection {
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
fn a_denied_ejection_is_asked_for_again_later() {
    let mut desk = suspicious(3);
    desk.handle(Event::Denied { target: "t0" });
    assert_eq!(asked(&desk.pass(999)), None);
    assert!(asked(&desk.pass(1)).is_some());
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
            .any(|a| matches!(a, Action::EndEjection { .. }));
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
    assert_eq!(waits[..4], [1_000, 2_000, 4_000, 8_000]);
    assert_eq!(waits[7], 60_000);
}

#[test]
fn a_home_whose_targets_all_look_sick_says_so_and_ejects_none() {
    let mut desk = Desk::new(&service(2, 1, 0));
    desk.warm(60);
    desk.handle(Event::Peers(&[summary("e", 0.0), summary("f", 0.0)]));
    let mut asks = 0;
    for ticket in 0..60 {
        let (_, actions) = desk.run(writing(ticket), 20, Outcome::Failed);
        desk.handle(Event::Release(ids::Ticket(ticket)));
        asks += usize::from(asked(&actions).is_some());
    }
    assert_eq!(asks, 0);
    assert!(desk.cell.is_sick());
    assert!(desk.cell.summary(desk.now).bad >= cell::SICK_SHARE);
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
