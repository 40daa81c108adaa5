//! The bytes of the bodies that one target holds.

use super::*;

/// The longest upload.
const LONGEST: u64 = 360 * 1024;

fn upload(ticket: u64, body: u64) -> cell::Arrival {
    cell::Arrival {
        body,
        ..arrival(ticket)
    }
}

/// Guards against a target that crashes because its requests exceed its memory, and against uploads that keep short
/// requests from free slots.
#[test]
fn a_target_holds_a_limited_number_of_body_bytes() {
    let mut harness = Harness::new(&service(1, 40, 0));
    for ticket in 0..3 {
        assert!(granted(&harness.arrive(upload(ticket, LONGEST))).is_some());
    }
    for ticket in 3..6 {
        assert_eq!(harness.arrive(upload(ticket, LONGEST)), []);
    }
    assert!(granted(&harness.arrive(upload(30, 0))).is_some());
    harness.handle(Event::Sent(ids::Ticket(0)));
    harness.end_try(0, Outcome::Answered);
    let actions = harness.handle(Event::Release(ids::Ticket(0)));
    let grants = actions.iter().filter(|a| matches!(a, Action::Grant { .. }));
    assert_eq!(grants.count(), 1);
}

/// Guards against bytes that are freed while an abandoned request may still run, and against bytes that stay counted.
#[test]
fn an_abandoned_upload_counts_until_its_slot_is_free() {
    let mut harness = Harness::new(&service(1, 40, 0));
    harness.warm_up(100);
    for ticket in 0..3 {
        harness.arrive(upload(ticket, LONGEST));
        harness.handle(Event::Sent(ids::Ticket(ticket)));
    }
    assert_eq!(harness.arrive(upload(3, LONGEST)), []);
    assert!(granted(&harness.handle(Event::Cancel(ids::Ticket(0)))).is_none());
    assert!(granted(&harness.advance(2_001)).is_some());
}

/// Guards against uploads that are never sent because they alone exceed the limit.
#[test]
fn an_idle_target_gets_a_body_of_any_length() {
    let mut harness = Harness::new(&service(1, 40, 0));
    assert!(granted(&harness.arrive(upload(1, u64::MAX / 2))).is_some());
    assert_eq!(harness.arrive(upload(2, 1)), []);
}
