//! Queue, admission and slots.

use super::*;

/// Returns one target whose only slot is held for 100 ms by each request, and is in use by request 1.
fn busy_harness() -> Harness {
    let mut harness = Harness::new(&service(1, 1, 0));
    for i in 0..100 {
        harness.run(arrival(1_000 + i), 100, Outcome::Answered);
    }
    harness.arrive(arrival(1));
    harness.handle(Event::Sent(ids::Ticket(1)));
    harness
}

fn with_tier(ticket: u64, tier: u8) -> cell::Arrival {
    cell::Arrival {
        tier,
        ..arrival(ticket)
    }
}

#[test]
fn requests_are_served_by_tier_then_oldest_first() {
    let mut harness = busy_harness();
    for (ticket, tier) in [(2, 1), (3, 0), (4, 1), (5, 0)] {
        assert_eq!(harness.arrive(with_tier(ticket, tier)), []);
    }
    let mut served = Vec::new();
    let mut ticket = ids::Ticket(1);
    for _ in 0..4 {
        harness.end_try(ticket.0, Outcome::Answered);
        let actions = harness.handle(Event::Release(ticket));
        let Action::Grant { ticket: next, .. } = actions[0] else {
            panic!("{actions:?}");
        };
        harness.handle(Event::Sent(next));
        ticket = next;
        served.push(next.0);
    }
    assert_eq!(served, [3, 5, 2, 4]);
}

#[test]
fn a_full_queue_displaces_the_newest_of_the_lowest_tier() {
    let mut harness = busy_harness();
    for (ticket, tier) in [(2, 1), (3, 2), (4, 2), (5, 1)] {
        assert_eq!(harness.arrive(with_tier(ticket, tier)), []);
    }
    let (ticket, refusal) = refused(&harness.arrive(with_tier(6, 0))).unwrap();
    assert_eq!((ticket, refusal.cause), (4, refusal::Cause::Displaced));
    assert_eq!(refusal.outcome, refusal::Outcome::NotRun);
    let (ticket, refusal) = refused(&harness.arrive(with_tier(7, 2))).unwrap();
    assert_eq!((ticket, refusal.cause), (7, refusal::Cause::QueueFull));
    assert!(refusal.retry_after >= Some(Millis(100)));
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_on_arrival() {
    let mut harness = busy_harness();
    harness.arrive(arrival(2));
    let late = |ticket, span| cell::Arrival {
        deadline: Millis(harness.now.0 + span),
        ..arrival(ticket)
    };
    let (late, soon) = (late(3, 290), late(4, 310));
    let (ticket, refusal) = refused(&harness.arrive(late)).unwrap();
    assert_eq!(
        (ticket, refusal.cause),
        (3, refusal::Cause::DeadlineTooShort)
    );
    assert_eq!(refusal.retry_after, Some(Millis(200)));
    assert_eq!(harness.arrive(soon), []);
}

#[test]
fn a_request_expires_in_the_queue_at_its_deadline() {
    let mut harness = Harness::new(&service(1, 1, 0));
    harness.arrive(arrival(1));
    let deadline = harness.now + Millis(70);
    harness.arrive(cell::Arrival {
        deadline,
        ..arrival(2)
    });
    assert_eq!(harness.cell.wake(), deadline);
    assert_eq!(harness.advance(69), []);
    let (ticket, refusal) = refused(&harness.advance(1)).unwrap();
    assert_eq!((ticket, refusal.cause), (2, refusal::Cause::DeadlinePassed));
    assert_eq!(refusal.outcome, refusal::Outcome::NotRun);
}

#[test]
fn a_held_slot_expires_with_its_request() {
    let mut harness = Harness::new(&service(1, 1, 0));
    let deadline = harness.now + Millis(70);
    harness.arrive(cell::Arrival {
        deadline,
        ..arrival(1)
    });
    assert_eq!(refused(&harness.advance(70)).unwrap().0, 1);
    assert!(granted(&harness.arrive(arrival(2))).is_some());
}

#[test]
fn a_new_home_starts_with_one_slot_per_target() {
    let mut harness = Harness::new(&service(1, 3, 0));
    harness.cell = cell::Cell::new(&ids::CellId::new("s", "d"));
    harness.handle(Event::Rules(&service(1, 3, 0)));
    assert!(granted(&harness.arrive(arrival(1))).is_some());
    assert!(granted(&harness.arrive(arrival(2))).is_none());
    assert!(granted(&harness.advance(1_999)).is_none());
    assert!(granted(&harness.advance(1)).is_some());
}

#[test]
fn an_abandoned_request_keeps_its_slot_for_a_bounded_time() {
    let mut harness = Harness::new(&service(1, 1, 0));
    harness.warm_up(10);
    harness.arrive(arrival(1));
    harness.handle(Event::Sent(ids::Ticket(1)));
    harness.advance(10);
    harness.handle(Event::Cancel(ids::Ticket(1)));
    assert!(granted(&harness.arrive(arrival(2))).is_none());
    assert!(granted(&harness.advance(2_000)).is_some());
}

#[test]
fn draining_returns_requests_that_were_not_dispatched() {
    let mut harness = Harness::new(&service(1, 2, 0));
    harness.arrive(arrival(1));
    harness.handle(Event::Sent(ids::Ticket(1)));
    harness.arrive(arrival(2));
    harness.arrive(arrival(3));
    let actions = harness.handle(Event::Drain);
    let returned: Vec<_> = actions
        .iter()
        .filter_map(|a| refused(std::slice::from_ref(a)))
        .collect();
    let expected = refusal::Refusal::not_run(refusal::Cause::Draining, Some(Millis::ZERO));
    assert_eq!(returned, [(2, expected), (3, expected)]);
    assert_eq!(refused(&harness.arrive(arrival(4))), Some((4, expected)));
    assert_eq!(harness.end_try(1, Outcome::Answered), []);
}

#[test]
fn a_leaving_target_gets_no_new_requests() {
    let mut rules = service(2, 1, 0);
    let mut harness = Harness::new(&rules);
    rules.targets[0].leaving = true;
    harness.handle(Event::Rules(&rules));
    assert_eq!(granted(&harness.arrive(arrival(1))).unwrap(), "t1");
    assert_eq!(granted(&harness.arrive(arrival(2))), None);
    rules.targets.remove(0);
    rules.targets[0].leaving = true;
    harness.handle(Event::Rules(&rules));
    let (_, refusal) = refused(&harness.arrive(arrival(3))).unwrap();
    assert_eq!(refusal.cause, refusal::Cause::NoTarget);
}

/// Guards against a request in the queue, or one that is tried again, that goes to a target which began to leave.
#[test]
fn a_target_that_begins_to_leave_gets_neither_queued_requests_nor_retries() {
    let mut rules = service(2, 1, 0);
    let mut harness = Harness::new(&rules);
    let first = granted(&harness.arrive(arrival(1))).unwrap();
    let second = granted(&harness.arrive(arrival(2))).unwrap();
    harness.handle(Event::Sent(ids::Ticket(1)));
    harness.handle(Event::Sent(ids::Ticket(2)));
    assert_eq!(harness.arrive(arrival(3)), []);
    for target in &mut rules.targets {
        target.leaving = target.name == first;
    }
    harness.handle(Event::Rules(&rules));
    harness.end_try(1, Outcome::Answered);
    let actions = harness.handle(Event::Release(ids::Ticket(1)));
    assert_eq!(granted(&actions), None, "the slot of {first} is free");
    // The retry of request 2 may only go to the target that leaves.
    let mut actions = harness.end_try(2, Outcome::Broken);
    actions.extend(harness.advance(100));
    let grants = actions
        .iter()
        .filter_map(|a| granted(std::slice::from_ref(a)));
    assert!(
        grants.into_iter().all(|target| target == second),
        "{actions:?}"
    );
}

#[test]
fn the_summary_reports_load_and_statistics() {
    let mut harness = Harness::new(&service(2, 1, 0));
    harness.warm_up(40);
    for ticket in 1..=3 {
        harness.arrive(arrival(ticket));
    }
    let summary = harness.cell.summary(harness.now);
    assert_eq!((summary.slots, summary.busy, summary.queued), (2, 2, 1));
    assert_eq!(summary.median, Millis(20));
    assert_eq!(summary.wait, Millis(20));
    assert!(summary.seen >= 31 && summary.bad < 0.03, "{summary:?}");
}
