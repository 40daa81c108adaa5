//! More requests than slots: which of them are served in time, and how long the others wait.

use super::*;

/// How the requests of a load ended.
#[derive(Debug, Default)]
struct Totals {
    in_time: u64,
    late: u64,
    refused: u64,
    /// The longest time that a refused request waited, in milliseconds.
    longest_wait: u64,
}

/// Runs one request every `gap` ms for `span` ms at four slots. Each request takes 100 ms, has an objective of 400 ms
/// and a deadline of 2 s.
fn run_load(gap: u64, span: u64) -> Totals {
    let mut rules = service(4, 1, 4);
    rules.queue = 200;
    let mut harness = Harness::new(&rules);
    let mut totals = Totals::default();
    let mut arrived = std::collections::BTreeMap::new();
    let mut running = Vec::new();
    for at in 0..span + 3_000 {
        let mut actions = Vec::new();
        if at < span && at % gap == 0 {
            arrived.insert(at, harness.now);
            actions = harness.arrive(cell::Arrival {
                objective: harness.now + Millis(400),
                deadline: harness.now + Millis(2_000),
                ..non_idempotent(at)
            });
        }
        actions.extend(harness.advance(1));
        let now = harness.now;
        let completed: Vec<_> = running.extract_if(.., |(end, _)| *end <= now).collect();
        for (_, ticket) in completed {
            actions.extend(harness.end_try(ticket, Outcome::Answered));
            actions.extend(harness.handle(Event::Release(ids::Ticket(ticket))));
            match now - arrived[&ticket] <= Millis(400) {
                true => totals.in_time += 1,
                false => totals.late += 1,
            }
        }
        for action in actions {
            match action {
                Action::Grant { ticket, .. } => {
                    harness.handle(Event::Sent(ticket));
                    running.push((now + Millis(100), ticket.0));
                }
                Action::Refuse { ticket, .. } => {
                    totals.refused += 1;
                    totals.longest_wait = totals.longest_wait.max((now - arrived[&ticket.0]).0);
                }
                _ => {}
            }
        }
    }
    totals
}

#[test]
fn under_lasting_load_nine_tenths_of_what_fits_is_served_in_time() {
    // 60 requests a second, of which the slots can serve 40.
    let totals = run_load(16, 20_000);
    assert!(totals.in_time >= 20 * 40 * 9 / 10, "{totals:?}");
}

#[test]
fn under_lasting_load_who_cannot_be_served_is_not_held_to_the_deadline() {
    let totals = run_load(16, 20_000);
    assert!(
        totals.refused > 0 && totals.longest_wait <= 1_000,
        "{totals:?}"
    );
}

#[test]
fn a_burst_shorter_than_the_objective_is_served_in_time() {
    // 12 requests at once would take 300 ms.
    let totals = run_load(10, 120);
    assert_eq!((totals.in_time, totals.refused), (12, 0), "{totals:?}");
}
