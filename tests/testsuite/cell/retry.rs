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
fn requests_beside_a_crashing_one_are_not_quarantined() {
    let mut desk = Desk::new(&service(4, 2, 0));
    desk.warm(40);
    for round in 0..4 {
        // The first two requests go to different targets, the next ones beside them.
        let tickets = [1, 10 * round + 11, 10 * round + 12, 10 * round + 13];
        for ticket in tickets {
            desk.arrive(writing(ticket));
            desk.handle(Event::Dispatch(ids::Ticket(ticket)));
        }
        for ticket in tickets {
            let actions = desk.done(ticket, Outcome::Broken);
            for action in actions {
                if let Action::Quarantine { fingerprint, .. } = action {
                    assert_eq!(fingerprint.0, 1);
                }
            }
        }
        desk.pass(5_000);
    }
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
