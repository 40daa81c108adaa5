//! The memory budget: what is held never exceeds the limit, and the cheapest request is refused.

use peridotspread::coordination::memory::{Admission, Amounts, Budget, Kind, Reservation};
use peridotspread::daemon::{memory as daemon, metrics};
use peridotspread::state::settings;
use proptest::prelude::*;

/// The limit of the budgets, in bytes.
const LIMIT: u64 = 1_000;

fn upload(bytes: u64) -> Amounts {
    Amounts::default().with(Kind::Replay, bytes)
}

fn short(bytes: u64) -> Amounts {
    Amounts::default().with(Kind::Queued, bytes)
}

/// Admits a request that must fit, and returns what it displaced.
fn admit(budget: &mut Budget, tier: u8, amounts: Amounts) -> (Reservation, Vec<Reservation>) {
    match budget.admit(tier, amounts) {
        Admission::Admitted {
            reservation,
            displaced,
        } => (reservation, displaced),
        Admission::Refused => panic!("{amounts:?} of tier {tier} is refused"),
    }
}

/// Guards against refusing requests of a higher tier, or short ones, for the sake of a lower tier.
#[test]
fn the_lowest_tier_is_displaced_first_and_its_largest_before_others() {
    let mut budget = Budget::new(LIMIT);
    let (high, _) = admit(&mut budget, 0, upload(300));
    let (small, _) = admit(&mut budget, 2, upload(100));
    let (large, _) = admit(&mut budget, 2, upload(300));
    let (_, displaced) = admit(&mut budget, 1, upload(350));
    assert_eq!(displaced, [large]);
    assert!(budget.pin(high) && budget.pin(small) && !budget.pin(large));
    assert_eq!(budget.held().total(), 750);
}

/// Guards against requests of one tier that displace each other in turn.
#[test]
fn a_request_of_the_same_tier_is_displaced_only_by_a_much_smaller_one() {
    let mut budget = Budget::new(LIMIT);
    let (large, _) = admit(&mut budget, 1, upload(700));
    assert_eq!(budget.admit(1, upload(400)), Admission::Refused);
    assert_eq!(budget.admit(2, upload(100)), Admission::Refused);
    assert_eq!(admit(&mut budget, 1, upload(200)).1, [large]);
}

/// Guards against refusing a request as not run after a part of it was sent.
#[test]
fn a_request_that_may_have_run_is_never_displaced() {
    let mut budget = Budget::new(LIMIT);
    let (sent, _) = admit(&mut budget, 7, upload(700));
    assert!(budget.pin(sent));
    assert_eq!(budget.admit(0, upload(400)), Admission::Refused);
    // A request that does not fit anyway displaces nothing.
    let (waiting, _) = admit(&mut budget, 7, upload(50));
    assert_eq!(budget.admit(0, upload(400)), Admission::Refused);
    assert!(budget.pin(waiting));
    budget.release(sent, Kind::Replay);
    assert!(admit(&mut budget, 0, upload(400)).1.is_empty());
}

/// Guards against large bodies that pass slowly and leave no room for anything else.
#[test]
fn bodies_leave_room_for_short_requests_and_streams() {
    let mut budget = Budget::new(LIMIT);
    let (sent, _) = admit(&mut budget, 0, upload(750));
    assert!(budget.pin(sent));
    assert_eq!(budget.admit(0, upload(1)), Admission::Refused);
    admit(&mut budget, 5, short(150));
    let stream = Amounts::default().with(Kind::Peer, 100);
    assert!(budget.admit_stream(stream).is_some());
    assert!(budget.admit_stream(stream).is_none());
}

proptest! {
    /// Guards against bytes that are counted twice or never released.
    #[test]
    fn what_is_held_is_the_sum_of_the_reservations_and_within_the_limit(
        steps in prop::collection::vec((0_u8..4, 0_u64..400, 0_u64..400, 0_u8..4), 1..200)
    ) {
        let mut budget = Budget::new(LIMIT);
        let mut open: Vec<(Reservation, Amounts, bool)> = Vec::new();
        for (tier, kept, queued, step) in steps {
            match step {
                0 | 1 => {
                    let amounts = upload(kept).with(Kind::Queued, queued + 1);
                    if let Admission::Admitted { reservation, displaced } = budget.admit(tier, amounts) {
                        prop_assert!(open.iter().all(|(r, _, pinned)| !(*pinned && displaced.contains(r))));
                        open.retain(|(r, ..)| !displaced.contains(r));
                        open.push((reservation, amounts, false));
                    }
                }
                2 if !open.is_empty() => {
                    let index = kept as usize % open.len();
                    open[index].2 = true;
                    prop_assert!(budget.pin(open[index].0));
                }
                _ if !open.is_empty() => {
                    let index = kept as usize % open.len();
                    let (reservation, ..) = open.swap_remove(index);
                    budget.release(reservation, Kind::Replay);
                    budget.release(reservation, Kind::Queued);
                }
                _ => {}
            }
            let sum: u64 = open.iter().map(|(_, amounts, _)| amounts.total()).sum();
            prop_assert_eq!(budget.held().total(), sum);
            prop_assert!(sum <= LIMIT);
        }
    }
}

/// Guards against a displaced request that is sent nevertheless, and against bytes that are not shown or not released.
#[tokio::test]
async fn a_displaced_request_learns_of_it_and_may_not_be_sent() {
    let metrics = metrics::Metrics::new().unwrap();
    let limits = settings::Limits {
        memory_bytes: Some(800 * 1024),
        ..settings::Limits::default()
    };
    let memory = daemon::Memory::new(&limits, &metrics);
    let mut low = memory.admit(2, daemon::BodyLength::Unknown).unwrap();
    let high = memory.admit(1, daemon::BodyLength::Unknown).unwrap();
    low.displacement.wait().await;
    assert!(!low.kept.pin() && high.kept.pin());
    drop(low);
    assert!(memory.admit(0, daemon::BodyLength::Unknown).is_none());
    let held = |kind| {
        let text = metrics.text();
        let line = text
            .lines()
            .find(|l| l.starts_with("peridotspread_memory_held_bytes") && l.contains(kind));
        line.and_then(|l| l.rsplit(' ').next()?.parse::<u64>().ok())
    };
    assert_eq!(held("\"replay\""), Some(128 * 1024));
    drop(high);
    assert_eq!(held("\"replay\""), Some(0));
    assert_eq!(held("\"response\""), Some(0));
}
