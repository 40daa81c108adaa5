//! More requests than slots: who is served in time, and how long the others are held.

use super::*;

/// How the requests of a load ended.
#[derive(Debug, Default)]
struct Ended {
    timely: u64,
    late: u64,
    refused: u64,
    /// The longest time that a refused request was held, in milliseconds.
    held: u64,
}

/// One request each `gap` ms for `span` ms at four slots, each of which runs for 100 ms; 400 ms are in time, 2 s the most.
fn play(gap: u64, span: u64) -> Ended {
    let mut rules = service(4, 1, 4);
    rules.queue = 200;
    let mut desk = Desk::new(&rules);
    let mut ended = Ended::default();
    let mut arrived = std::collections::BTreeMap::new();
    let mut running = Vec::new();
    for at in 0..span + 3_000 {
        let mut actions = Vec::new();
        if at < span && at % gap == 0 {
            arrived.insert(at, desk.now);
            actions = desk.arrive(cell::Arrival {
                objective: desk.now + Millis(400),
                deadline: desk.now + Millis(2_000),
                ..writing(at)
            });
        }
        actions.extend(desk.pass(1));
        let now = desk.now;
        let over: Vec<_> = running.extract_if(.., |(end, _)| *end <= now).collect();
        for (_, ticket) in over {
            actions.extend(desk.done(ticket, Outcome::Answered));
            actions.extend(desk.handle(Event::Release(ids::Ticket(ticket))));
            match now - arrived[&ticket] <= Millis(400) {
                true => ended.timely += 1,
                false => ended.late += 1,
            }
        }
        for action in actions {
            match action {
                Action::Grant { ticket, .. } => {
                    desk.handle(Event::Dispatch(ticket));
                    running.push((now + Millis(100), ticket.0));
                }
                Action::Refuse { ticket, .. } => {
                    ended.refused += 1;
                    ended.held = ended.held.max((now - arrived[&ticket.0]).0);
                }
                _ => {}
            }
        }
    }
    ended
}

#[test]
fn under_lasting_load_nine_tenths_of_what_fits_is_served_in_time() {
    // 60 requests a second, of which the slots can run 40.
    let ended = play(16, 20_000);
    assert!(ended.timely >= 20 * 40 * 9 / 10, "{ended:?}");
}

#[test]
fn under_lasting_load_who_cannot_be_served_is_not_held_to_the_deadline() {
    let ended = play(16, 20_000);
    assert!(ended.refused > 0 && ended.held <= 1_000, "{ended:?}");
}

#[test]
fn a_load_that_passes_within_the_objective_is_served_in_time() {
    // 12 requests at once would take 300 ms.
    let ended = play(10, 120);
    assert_eq!((ended.timely, ended.refused), (12, 0), "{ended:?}");
}
