//! Retries within the budget, the rescue of stalled requests, and the quarantine.

use super::*;

#[test]
fn idempotent_work_is_retried_elsewhere_and_other_work_is_not() {
    for outcome in [Outcome::Broken, Outcome::Failed, Outcome::Shed] {
        let mut desk = Desk::new(&service(2, 1, 0));
        let (target, actions) = desk.run(arrival(1), 5, outcome);
        let again = granted(&actions).unwrap();
        assert_ne!(again, target);
        let mut desk = Desk::new(&service(2, 1, 0));
        let (_, actions) = desk.run(writing(2), 5, outcome);
        assert!(gave_up(&actions) && granted(&actions).is_none());
    }
}

#[test]
fn a_failed_connection_proves_that_nothing_ran() {
    let mut desk = Desk::new(&service(2, 1, 0));
    let (target, actions) = desk.run(writing(1), 5, Outcome::ConnectFailed);
    assert_ne!(granted(&actions).unwrap(), target);
    let actions = desk.done(1, Outcome::ConnectFailed);
    assert!(gave_up(&actions), "no target is left that was not tried");
}

#[test]
fn a_failed_connection_after_a_lost_try_is_no_proof() {
    let mut desk = Desk::new(&service(2, 1, 0));
    let (_, actions) = desk.run(arrival(1), 5, Outcome::Broken);
    assert!(granted(&actions).is_some());
    let (_, refusal) = refused(&desk.done(1, Outcome::ConnectFailed)).unwrap();
    assert_eq!(refusal.outcome, refusal::Outcome::Unknown);
}

#[test]
fn a_body_that_cannot_be_sent_again_is_not_retried() {
    let mut desk = Desk::new(&service(2, 1, 0));
    let spent = cell::Arrival {
        replayable: false,
        ..arrival(1)
    };
    assert!(gave_up(&desk.run(spent, 5, Outcome::Broken).1));
}

#[test]
fn retries_stay_a_share_of_first_tries() {
    let mut rules = service(20, 3, 0);
    rules.retry.budget_pct = 10.0;
    let mut desk = Desk::new(&rules);
    let mut retries = 0;
    for ticket in 0..400 {
        let sheds = ticket % 2 == 0;
        let outcome = if sheds {
            Outcome::Shed
        } else {
            Outcome::Answered
        };
        let (_, actions) = desk.run(arrival(ticket), 20, outcome);
        if sheds && granted(&actions).is_some() {
            retries += 1;
            desk.done(ticket, Outcome::Answered);
            desk.handle(Event::Release(ids::Ticket(ticket)));
        }
    }
    assert!((45..=50).contains(&retries), "{retries}");
}

#[test]
fn a_queued_retry_that_may_have_run_is_refused_as_unknown() {
    let mut desk = Desk::new(&service(2, 1, 0));
    let deadline = desk.now + Millis(100);
    let first = cell::Arrival {
        deadline,
        ..arrival(1)
    };
    desk.arrive(first);
    desk.handle(Event::Dispatch(first.ticket));
    desk.arrive(arrival(2));
    assert_eq!(granted(&desk.done(1, Outcome::Broken)), None);
    let (ticket, refusal) = refused(&desk.pass(100)).unwrap();
    assert_eq!((ticket, refusal.outcome), (1, refusal::Outcome::Unknown));
}

#[test]
fn a_stalled_idempotent_request_is_taken_elsewhere() {
    let mut desk = Desk::new(&service(3, 1, 1));
    desk.warm(60);
    let target = granted(&desk.arrive(arrival(1))).unwrap();
    desk.handle(Event::Dispatch(ids::Ticket(1)));
    let actions = desk.pass(300);
    let at = |wanted: &Action| actions.iter().position(|a| a == wanted);
    let abandon = Action::Abandon {
        ticket: ids::Ticket(1),
    };
    let elsewhere = granted(&actions).unwrap();
    let grant = Action::Grant {
        ticket: ids::Ticket(1),
        target: elsewhere.clone(),
    };
    assert_ne!(elsewhere, target);
    assert_eq!(at(&abandon).unwrap() + 1, at(&grant).unwrap());
}

#[test]
fn a_long_request_is_left_to_run_where_runs_differ_widely() {
    let mut desk = Desk::new(&service(3, 1, 1));
    // Most runs are short, so the median alone would take each long one for a stall.
    for ticket in 0..180 {
        let span = if ticket % 3 == 0 { 300 } else { 4 };
        desk.finish(arrival(1_000_000 + ticket), span);
    }
    granted(&desk.arrive(arrival(1))).unwrap();
    desk.handle(Event::Dispatch(ids::Ticket(1)));
    let actions = desk.pass(450);
    let left = |a: &Action| matches!(a, Action::Abandon { .. });
    assert!(!actions.iter().any(left), "{actions:?}");
}

#[test]
fn a_request_is_not_started_anew_without_time_for_another_run() {
    let mut desk = Desk::new(&service(3, 1, 1));
    desk.warm(60);
    let hurried = cell::Arrival {
        deadline: desk.now + Millis(215),
        ..arrival(1)
    };
    granted(&desk.arrive(hurried)).unwrap();
    desk.handle(Event::Dispatch(hurried.ticket));
    let actions = desk.pass(214);
    let left = |a: &Action| matches!(a, Action::Abandon { .. });
    assert!(!actions.iter().any(left), "{actions:?}");
}

#[test]
fn a_request_that_crashes_two_targets_is_quarantined() {
    let mut desk = Desk::new(&service(4, 1, 0));
    desk.warm(40);
    let poison = writing(1);
    desk.run(poison, 5, Outcome::Broken);
    let (_, actions) = desk.run(poison, 5, Outcome::Broken);
    let quarantine = |a: &Action| matches!(a, Action::Quarantine { fingerprint, .. } if *fingerprint == poison.fingerprint);
    assert!(actions.iter().any(quarantine), "{actions:?}");
    let (_, refusal) = refused(&desk.arrive(poison)).unwrap();
    assert_eq!(refusal.cause, refusal::Cause::Quarantined);
    assert_eq!(refusal.outcome, refusal::Outcome::NotRun);
    assert!(asked(&actions).is_none());
}

#[test]
fn a_crash_by_a_known_suspect_is_held_against_nobody_else() {
    let mut desk = Desk::new(&service(2, 3, 0));
    desk.warm(40);
    let poison = writing(1);
    let (first, _) = desk.run(poison, 5, Outcome::Broken);
    let at = |desk: &mut Desk, arrival: cell::Arrival| {
        let target = granted(&desk.arrive(arrival)).unwrap();
        desk.handle(Event::Dispatch(arrival.ticket));
        target
    };
    // The first target is avoided now, so all go to the other one.
    let beside = [writing(2), writing(3)];
    for arrival in beside.into_iter().chain([poison]) {
        assert_ne!(at(&mut desk, arrival), first);
    }
    for ticket in [2, 3] {
        let actions = desk.done(ticket, Outcome::Broken);
        assert_eq!(
            actions,
            [Action::GiveUp {
                ticket: ids::Ticket(ticket)
            }]
        );
    }
    let quarantines = |a: &Action| matches!(a, Action::Quarantine { .. });
    assert!(desk.done(1, Outcome::Broken).iter().any(quarantines));
    // Both targets are suspected or break later by their own fault: one strike each for the two beside.
    for arrival in beside {
        let (_, actions) = desk.run(arrival, 200, Outcome::Broken);
        assert!(!actions.iter().any(quarantines), "{actions:?}");
    }
}

#[test]
fn suspects_are_kept_apart() {
    let mut rules = service(3, 3, 0);
    rules.ejection.avoid = 100.0;
    let mut desk = Desk::new(&rules);
    for ticket in [1, 2] {
        let (target, _) = desk.run(writing(ticket), 5, Outcome::Broken);
        assert_ne!(target, "t2");
    }
    let arrive = |t| (t, granted(&desk.arrive(writing(t))).unwrap());
    let busy: Vec<_> = (10..16).map(arrive).collect();
    for (ticket, _) in busy.iter().filter(|(_, target)| target == "t2") {
        desk.handle(Event::Cancel(ids::Ticket(*ticket)));
    }
    assert_eq!(granted(&desk.arrive(writing(1))).unwrap(), "t2");
    assert_ne!(granted(&desk.arrive(writing(2))).unwrap(), "t2");
}

#[test]
fn an_outcome_counts_once() {
    let mut desk = Desk::new(&service(1, 1, 0));
    assert!(gave_up(&desk.run(arrival(1), 5, Outcome::Failed).1));
    assert_eq!(desk.done(1, Outcome::Failed), []);
    assert_eq!(desk.done(1, Outcome::Broken), []);
    assert_eq!(granted(&desk.arrive(arrival(2))), None);
    assert!(granted(&desk.handle(Event::Release(ids::Ticket(1)))).is_some());
}

#[test]
fn a_fingerprint_from_elsewhere_is_refused_until_its_time_is_over() {
    let mut desk = Desk::new(&service(1, 1, 0));
    desk.handle(Event::Quarantined {
        fingerprint: ids::Fingerprint(1),
        span: Millis(500),
    });
    let (_, refusal) = refused(&desk.arrive(arrival(1))).unwrap();
    assert_eq!(refusal.retry_after, Some(Millis(500)));
    desk.pass(500);
    assert!(granted(&desk.arrive(arrival(1))).is_some());
}
