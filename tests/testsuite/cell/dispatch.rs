//! Queue, admission and slots.

use super::*;

/// One target with one slot that holds requests for 100 ms, and one request that runs there.
fn busy() -> Desk {
    let mut desk = Desk::new(&service(1, 1, 0));
    for i in 0..100 {
        desk.run(arrival(1_000 + i), 100, Outcome::Answered);
    }
    desk.arrive(arrival(1));
    desk.handle(Event::Dispatch(ids::Ticket(1)));
    desk
}

fn of_tier(ticket: u64, tier: u8) -> cell::Arrival {
    cell::Arrival {
        tier,
        ..arrival(ticket)
    }
}

#[test]
fn tiers_are_strict_and_oldest_first() {
    let mut desk = busy();
    for (ticket, tier) in [(2, 1), (3, 0), (4, 1), (5, 0)] {
        assert_eq!(desk.arrive(of_tier(ticket, tier)), []);
    }
    let mut served = Vec::new();
    let mut ticket = ids::Ticket(1);
    for _ in 0..4 {
        desk.done(ticket.0, Outcome::Answered);
        let actions = desk.handle(Event::Release(ticket));
        let Action::Grant { ticket: next, .. } = actions[0] else {
            panic!("{actions:?}");
        };
        desk.handle(Event::Dispatch(next));
        ticket = next;
        served.push(next.0);
    }
    assert_eq!(served, [3, 5, 2, 4]);
}

#[test]
fn a_full_queue_displaces_the_newest_of_the_lowest_tier() {
    let mut desk = busy();
    for (ticket, tier) in [(2, 1), (3, 2), (4, 2), (5, 1)] {
        assert_eq!(desk.arrive(of_tier(ticket, tier)), []);
    }
    let (ticket, refusal) = refused(&desk.arrive(of_tier(6, 0))).unwrap();
    assert_eq!((ticket, refusal.cause), (4, refusal::Cause::Displaced));
    assert_eq!(refusal.outcome, refusal::Outcome::NotRun);
    let (ticket, refusal) = refused(&desk.arrive(of_tier(7, 2))).unwrap();
    assert_eq!((ticket, refusal.cause), (7, refusal::Cause::QueueFull));
    assert!(refusal.retry_after >= Some(Millis(100)));
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_on_arrival() {
    let mut desk = busy();
    desk.arrive(arrival(2));
    let late = |ticket, span| cell::Arrival {
        deadline: Millis(desk.now.0 + span),
        ..arrival(ticket)
    };
    let (late, soon) = (late(3, 290), late(4, 310));
    let (ticket, refusal) = refused(&desk.arrive(late)).unwrap();
    assert_eq!(
        (ticket, refusal.cause),
        (3, refusal::Cause::DeadlineTooShort)
    );
    assert_eq!(refusal.retry_after, Some(Millis(200)));
    assert_eq!(desk.arrive(soon), []);
}

#[test]
fn a_request_expires_in_the_queue_at_its_deadline() {
    let mut desk = Desk::new(&service(1, 1, 0));
    desk.arrive(arrival(1));
    let deadline = desk.now + Millis(70);
    desk.arrive(cell::Arrival {
        deadline,
        ..arrival(2)
    });
    assert_eq!(desk.cell.wake(), deadline);
    assert_eq!(desk.pass(69), []);
    let (ticket, refusal) = refused(&desk.pass(1)).unwrap();
    assert_eq!((ticket, refusal.cause), (2, refusal::Cause::DeadlinePassed));
    assert_eq!(refusal.outcome, refusal::Outcome::NotRun);
}

#[test]
fn a_held_slot_expires_with_its_request() {
    let mut desk = Desk::new(&service(1, 1, 0));
    let deadline = desk.now + Millis(70);
    desk.arrive(cell::Arrival {
        deadline,
        ..arrival(1)
    });
    assert_eq!(refused(&desk.pass(70)).unwrap().0, 1);
    assert!(granted(&desk.arrive(arrival(2))).is_some());
}

#[test]
fn a_new_home_starts_with_one_slot_a_target() {
    let mut desk = Desk::new(&service(1, 3, 0));
    desk.cell = cell::Cell::new(&ids::CellId::new("s", "d"));
    desk.handle(Event::Rules(&service(1, 3, 0)));
    assert!(granted(&desk.arrive(arrival(1))).is_some());
    assert!(granted(&desk.arrive(arrival(2))).is_none());
    assert!(granted(&desk.pass(1_999)).is_none());
    assert!(granted(&desk.pass(1)).is_some());
}

#[test]
fn an_abandoned_request_keeps_its_slot_for_a_bounded_time() {
    let mut desk = Desk::new(&service(1, 1, 0));
    desk.warm(10);
    desk.arrive(arrival(1));
    desk.handle(Event::Dispatch(ids::Ticket(1)));
    desk.pass(10);
    desk.handle(Event::Cancel(ids::Ticket(1)));
    assert!(granted(&desk.arrive(arrival(2))).is_none());
    assert!(granted(&desk.pass(2_000)).is_some());
}

#[test]
fn draining_hands_back_what_was_not_dispatched() {
    let mut desk = Desk::new(&service(1, 2, 0));
    desk.arrive(arrival(1));
    desk.handle(Event::Dispatch(ids::Ticket(1)));
    desk.arrive(arrival(2));
    desk.arrive(arrival(3));
    let actions = desk.handle(Event::Drain);
    let back: Vec<_> = actions
        .iter()
        .filter_map(|a| refused(std::slice::from_ref(a)))
        .collect();
    let expected = refusal::Refusal::not_run(refusal::Cause::Draining, Some(Millis::ZERO));
    assert_eq!(back, [(2, expected), (3, expected)]);
    assert_eq!(refused(&desk.arrive(arrival(4))), Some((4, expected)));
    assert_eq!(desk.done(1, Outcome::Answered), []);
}

#[test]
fn a_leaving_target_gets_no_new_work() {
    let mut rules = service(2, 1, 0);
    let mut desk = Desk::new(&rules);
    rules.targets[0].leaving = true;
    desk.handle(Event::Rules(&rules));
    assert_eq!(granted(&desk.arrive(arrival(1))).unwrap(), "t1");
    assert_eq!(granted(&desk.arrive(arrival(2))), None);
    rules.targets.remove(0);
    rules.targets[0].leaving = true;
    desk.handle(Event::Rules(&rules));
    let (_, refusal) = refused(&desk.arrive(arrival(3))).unwrap();
    assert_eq!(refusal.cause, refusal::Cause::NoTarget);
}

#[test]
fn the_summary_tells_load_and_evidence() {
    let mut desk = Desk::new(&service(2, 1, 0));
    desk.warm(40);
    for ticket in 1..=3 {
        desk.arrive(arrival(ticket));
    }
    let told = desk.cell.summary(desk.now);
    assert_eq!((told.slots, told.busy, told.queued), (2, 2, 1));
    assert_eq!(told.median, Millis(20));
    assert_eq!(told.wait, Millis(20));
    assert!(told.seen >= 31 && told.bad < 0.03, "{told:?}");
}
