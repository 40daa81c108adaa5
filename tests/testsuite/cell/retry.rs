//! Retries within the budget, moving stalled requests, and the quarantine.

use super::*;

#[test]
fn only_idempotent_requests_are_retried_at_another_target() {
    for outcome in [Outcome::Broken, Outcome::Failed, Outcome::Shed] {
        let mut harness = Harness::new(&service(2, 1, 0));
        let (target, actions) = harness.run(arrival(1), 5, outcome);
        let retry_target = granted(&actions).unwrap();
        assert_ne!(retry_target, target);
        let mut harness = Harness::new(&service(2, 1, 0));
        let (_, actions) = harness.run(non_idempotent(2), 5, outcome);
        assert!(gave_up(&actions) && granted(&actions).is_none());
    }
}

#[test]
fn a_failed_connection_proves_that_nothing_ran() {
    let mut harness = Harness::new(&service(2, 1, 0));
    let (target, actions) = harness.run(non_idempotent(1), 5, Outcome::ConnectFailed);
    assert_ne!(granted(&actions).unwrap(), target);
    let actions = harness.end_try(1, Outcome::ConnectFailed);
    assert!(gave_up(&actions), "every target has been tried");
}

#[test]
fn a_failed_connection_after_a_lost_try_leaves_the_outcome_unknown() {
    let mut harness = Harness::new(&service(2, 1, 0));
    let (_, actions) = harness.run(arrival(1), 5, Outcome::Broken);
    assert!(granted(&actions).is_some());
    let (_, refusal) = refused(&harness.end_try(1, Outcome::ConnectFailed)).unwrap();
    assert_eq!(refusal.outcome, refusal::Outcome::Unknown);
}

#[test]
fn a_body_that_cannot_be_sent_again_is_not_retried() {
    let mut harness = Harness::new(&service(2, 1, 0));
    let not_replayable = cell::Arrival {
        replayable: false,
        ..arrival(1)
    };
    assert!(gave_up(&harness.run(not_replayable, 5, Outcome::Broken).1));
}

#[test]
fn retries_stay_a_share_of_first_tries() {
    let mut rules = service(20, 3, 0);
    rules.retry.budget_pct = 10.0;
    let mut harness = Harness::new(&rules);
    let mut retries = 0;
    for ticket in 0..400 {
        let sheds = ticket % 2 == 0;
        let outcome = if sheds {
            Outcome::Shed
        } else {
            Outcome::Answered
        };
        let (_, actions) = harness.run(arrival(ticket), 20, outcome);
        if sheds && granted(&actions).is_some() {
            retries += 1;
            harness.end_try(ticket, Outcome::Answered);
            harness.handle(Event::Release(ids::Ticket(ticket)));
        }
    }
    assert!((36..=40).contains(&retries), "{retries}");
}

#[test]
fn a_queued_retry_that_may_have_run_is_refused_as_unknown() {
    let mut harness = Harness::new(&service(2, 1, 0));
    let deadline = harness.now + Millis(100);
    let first = cell::Arrival {
        deadline,
        ..arrival(1)
    };
    harness.arrive(first);
    harness.handle(Event::Sent(first.ticket));
    harness.arrive(arrival(2));
    assert_eq!(granted(&harness.end_try(1, Outcome::Broken)), None);
    let (ticket, refusal) = refused(&harness.advance(100)).unwrap();
    assert_eq!((ticket, refusal.outcome), (1, refusal::Outcome::Unknown));
}

#[test]
fn a_stalled_idempotent_request_moves_to_another_target() {
    let mut harness = Harness::new(&service(3, 1, 1));
    harness.warm_up(60);
    let target = granted(&harness.arrive(arrival(1))).unwrap();
    harness.handle(Event::Sent(ids::Ticket(1)));
    let actions = harness.advance(300);
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
    let mut harness = Harness::new(&service(3, 1, 1));
    // Most runs are short, so by the median alone each long one would count as stalled.
    for ticket in 0..180 {
        let span = if ticket % 3 == 0 { 300 } else { 4 };
        harness.run_anywhere(arrival(1_000_000 + ticket), span);
    }
    granted(&harness.arrive(arrival(1))).unwrap();
    harness.handle(Event::Sent(ids::Ticket(1)));
    let actions = harness.advance(450);
    let abandons = |a: &Action| matches!(a, Action::Abandon { .. });
    assert!(!actions.iter().any(abandons), "{actions:?}");
}

#[test]
fn a_request_is_not_started_anew_without_time_for_another_run() {
    let mut harness = Harness::new(&service(3, 1, 1));
    harness.warm_up(60);
    let short_deadline = cell::Arrival {
        deadline: harness.now + Millis(215),
        ..arrival(1)
    };
    granted(&harness.arrive(short_deadline)).unwrap();
    harness.handle(Event::Sent(short_deadline.ticket));
    let actions = harness.advance(214);
    let abandons = |a: &Action| matches!(a, Action::Abandon { .. });
    assert!(!actions.iter().any(abandons), "{actions:?}");
}

#[test]
fn a_request_that_crashes_two_targets_is_quarantined() {
    let mut harness = Harness::new(&service(4, 1, 0));
    harness.warm_up(40);
    let crashing = non_idempotent(1);
    harness.run(crashing, 5, Outcome::Broken);
    let (_, actions) = harness.run(crashing, 5, Outcome::Broken);
    let quarantine = |a: &Action| matches!(a, Action::Quarantine { fingerprint, .. } if *fingerprint == crashing.fingerprint);
    assert!(actions.iter().any(quarantine), "{actions:?}");
    let (_, refusal) = refused(&harness.arrive(crashing)).unwrap();
    assert_eq!(refusal.cause, refusal::Cause::Quarantined);
    assert_eq!(refusal.outcome, refusal::Outcome::NotRun);
    assert!(ejection_request(&actions).is_none());
}

#[test]
fn a_crash_by_a_suspected_request_does_not_count_against_others() {
    let mut harness = Harness::new(&service(2, 3, 0));
    harness.warm_up(40);
    let crashing = non_idempotent(1);
    let (first, _) = harness.run(crashing, 5, Outcome::Broken);
    let at = |harness: &mut Harness, arrival: cell::Arrival| {
        let target = granted(&harness.arrive(arrival)).unwrap();
        harness.handle(Event::Sent(arrival.ticket));
        target
    };
    // The first target is avoided by now, so all requests go to the other one.
    let bystanders = [non_idempotent(2), non_idempotent(3)];
    for arrival in bystanders.into_iter().chain([crashing]) {
        assert_ne!(at(&mut harness, arrival), first);
    }
    for ticket in [2, 3] {
        let actions = harness.end_try(ticket, Outcome::Broken);
        assert_eq!(
            actions,
            [Action::GiveUp {
                ticket: ids::Ticket(ticket)
            }]
        );
    }
    let quarantines = |a: &Action| matches!(a, Action::Quarantine { .. });
    assert!(harness.end_try(1, Outcome::Broken).iter().any(quarantines));
    // Both targets are suspected, and later breaks are their own fault: the two bystanders count one crash each.
    for arrival in bystanders {
        let (_, actions) = harness.run(arrival, 200, Outcome::Broken);
        assert!(!actions.iter().any(quarantines), "{actions:?}");
    }
}

#[test]
fn suspected_requests_run_at_different_targets() {
    let mut rules = service(3, 3, 0);
    rules.ejection.avoid = 100.0;
    let mut harness = Harness::new(&rules);
    for ticket in [1, 2] {
        let (target, _) = harness.run(non_idempotent(ticket), 5, Outcome::Broken);
        assert_ne!(target, "t2");
    }
    let arrive = |t| (t, granted(&harness.arrive(non_idempotent(t))).unwrap());
    let busy: Vec<_> = (10..16).map(arrive).collect();
    for (ticket, _) in busy.iter().filter(|(_, target)| target == "t2") {
        harness.handle(Event::Cancel(ids::Ticket(*ticket)));
    }
    assert_eq!(granted(&harness.arrive(non_idempotent(1))).unwrap(), "t2");
    assert_ne!(granted(&harness.arrive(non_idempotent(2))).unwrap(), "t2");
}

#[test]
fn a_repeated_outcome_has_no_effect() {
    let mut harness = Harness::new(&service(1, 1, 0));
    assert!(gave_up(&harness.run(arrival(1), 5, Outcome::Failed).1));
    assert_eq!(harness.end_try(1, Outcome::Failed), []);
    assert_eq!(harness.end_try(1, Outcome::Broken), []);
    assert_eq!(granted(&harness.arrive(arrival(2))), None);
    assert!(granted(&harness.handle(Event::Release(ids::Ticket(1)))).is_some());
}

#[test]
fn a_fingerprint_quarantined_elsewhere_is_refused_until_its_quarantine_ends() {
    let mut harness = Harness::new(&service(1, 1, 0));
    harness.handle(Event::Quarantined {
        fingerprint: ids::Fingerprint(1),
        span: Millis(500),
    });
    let (_, refusal) = refused(&harness.arrive(arrival(1))).unwrap();
    assert_eq!(refusal.retry_after, Some(Millis(500)));
    harness.advance(500);
    assert!(granted(&harness.arrive(arrival(1))).is_some());
}
