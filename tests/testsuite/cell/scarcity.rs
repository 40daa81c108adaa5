//! The order `value`: for each decision a load with which the order `arrival` decides wrong.

use std::collections::BTreeMap;

use peridotspread::coordination::scarcity;

use super::*;

/// One kind of request that arrives at regular intervals.
#[derive(Clone, Copy, Debug)]
struct Stream {
    organisation: u64,
    route: u64,
    tier: u8,
    gap: u64,
    /// The hold time; 3 in 100 requests take seven times as long.
    work: u64,
    objective: u64,
    deadline: u64,
    /// The factor of the rate during the surge from 6 s to 12 s.
    surge: u64,
}

const STREAM: Stream = Stream {
    organisation: 0,
    route: 1,
    tier: 0,
    gap: 10,
    work: 100,
    objective: 400,
    deadline: 2_000,
    surge: 1,
};

/// How the requests of one stream ended.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    sent: u64,
    in_time: u64,
    late: u64,
    refused: u64,
    /// The longest time that a refused request waited, in milliseconds.
    longest_wait: u64,
}

impl Totals {
    fn served(&self) -> f64 {
        (self.in_time + self.late) as f64 / self.sent.max(1) as f64
    }
}

/// Runs the streams for 14 s at ten slots; returns their totals without those of the first 2 s, before estimates exist.
fn run(order: bundle::Order, streams: &[Stream]) -> Vec<Totals> {
    let mut rules = service(10, 1, 10);
    rules.queue = 200;
    rules.order = order;
    let mut harness = Harness::new(&rules);
    let mut totals = vec![Totals::default(); streams.len()];
    let mut arrived = BTreeMap::new();
    let mut running = Vec::new();
    let mut next = 0;
    for at in 0..17_000 {
        let mut actions = Vec::new();
        for (i, stream) in streams.iter().enumerate() {
            let gap = match at {
                6_000..12_000 => stream.gap / stream.surge,
                0..14_000 => stream.gap,
                _ => u64::MAX,
            };
            if at % gap != (i as u64 * 3) % gap {
                continue;
            }
            next += 1;
            let counts = at >= 2_000;
            totals[i].sent += u64::from(counts);
            arrived.insert(next, (i, at, counts));
            actions.extend(harness.arrive(cell::Arrival {
                tier: stream.tier,
                organisation: stream.organisation,
                kind: cost::Kind::new(stream.route, None),
                objective: harness.now + Millis(stream.objective),
                deadline: harness.now + Millis(stream.deadline),
                ..non_idempotent(next)
            }));
        }
        actions.extend(harness.advance(1));
        let now = harness.now;
        let completed: Vec<_> = running.extract_if(.., |(end, _)| *end <= now).collect();
        for (_, ticket) in completed {
            actions.extend(harness.end_try(ticket, Outcome::Answered));
            actions.extend(harness.handle(Event::Release(ids::Ticket(ticket))));
            let (i, since, counts) = arrived[&ticket];
            match at - since <= streams[i].objective {
                true => totals[i].in_time += u64::from(counts),
                false => totals[i].late += u64::from(counts),
            }
        }
        for action in actions {
            match action {
                Action::Grant { ticket, .. } => {
                    harness.handle(Event::Sent(ticket));
                    let work = streams[arrived[&ticket.0].0].work;
                    let draw = (ticket.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) % 100;
                    let factor = if draw < 3 { 7 } else { 1 };
                    running.push((now + Millis(work * factor), ticket.0));
                }
                Action::Refuse { ticket, .. } => {
                    let (i, since, counts) = arrived[&ticket.0];
                    totals[i].refused += u64::from(counts);
                    totals[i].longest_wait = totals[i].longest_wait.max(at - since);
                }
                _ => {}
            }
        }
    }
    totals
}

/// Returns the value of all answers: 1 in time, a third late.
fn worth(totals: &[Totals]) -> f64 {
    let worth = |t: &Totals| t.in_time as f64 + t.late as f64 * scarcity::LATE_VALUE;
    totals.iter().map(worth).sum()
}

fn both(streams: &[Stream]) -> [Vec<Totals>; 2] {
    [bundle::Order::Arrival, bundle::Order::Value].map(|order| run(order, streams))
}

/// A cell with one slot whose estimates are 900 ms for route 1 and 20 ms for route 2, with a request of 900 ms running.
fn busy(order: bundle::Order) -> Harness {
    let mut rules = service(1, 1, 1);
    rules.order = order;
    let mut harness = Harness::new(&rules);
    for i in 0..20 {
        let (route, span) = if i % 2 == 0 { (1, 900) } else { (2, 20) };
        harness.run(of_route(100 + i, route), span, Outcome::Answered);
    }
    assert!(granted(&harness.arrive(of_route(1, 1))).is_some());
    harness.handle(Event::Sent(ids::Ticket(1)));
    harness
}

fn of_route(ticket: u64, route: u64) -> cell::Arrival {
    cell::Arrival {
        kind: cost::Kind::new(route, None),
        ..non_idempotent(ticket)
    }
}

fn with_deadline(ticket: u64, route: u64, deadline: Millis) -> cell::Arrival {
    cell::Arrival {
        deadline,
        ..of_route(ticket, route)
    }
}

/// Guards against an estimate that a tail of slow requests or a few slow targets move.
#[test]
fn an_estimate_ignores_a_long_tail() {
    let mut estimator = cost::Estimator::default();
    let kind = cost::Kind::new(1, Some(60_000));
    for i in 0..1_000 {
        let took = if i % 33 == 0 { 1_470 } else { 210 };
        estimator.record(Millis(i), kind, Millis(took));
        let estimate = estimator.estimate(kind);
        assert!(i < 10 || estimate.is_some_and(|e| (210.0..260.0).contains(&e)));
    }
    assert_eq!(estimator.estimate(cost::Kind::new(2, None)), None);
    assert_eq!(estimator.estimate(cost::Kind::default()), None);
}

/// Guards against uploads that set the estimate of short requests of the same route.
#[test]
fn an_estimate_depends_on_the_length() {
    let mut estimator = cost::Estimator::default();
    let (short, long) = (
        cost::Kind::new(1, Some(100)),
        cost::Kind::new(1, Some(300_000)),
    );
    for i in 0..20 {
        estimator.record(Millis(i), short, Millis(20));
        estimator.record(Millis(i), long, Millis(900));
    }
    assert_eq!(estimator.estimate(short), Some(20.0));
    assert_eq!(estimator.estimate(long), Some(900.0));
    // A length that was not seen yet has the estimate of the route.
    let unseen = estimator.estimate(cost::Kind::new(1, Some(5_000))).unwrap();
    assert!((20.0..900.0).contains(&unseen), "{unseen}");
}

/// Guards against refusing a short request since a request with the mean hold time would miss the deadline.
#[test]
fn a_short_request_is_not_refused_for_the_work_of_long_ones() {
    for (order, is_refused) in [
        (bundle::Order::Arrival, true),
        (bundle::Order::Value, false),
    ] {
        let mut harness = busy(order);
        let deadline = harness.now + Millis(700);
        let actions = harness.arrive(with_deadline(2, 2, deadline));
        assert_eq!(refused(&actions).is_some(), is_refused, "{order:?}");
        let actions = harness.arrive(with_deadline(3, 1, deadline));
        let cause = refused(&actions).unwrap().1.cause;
        assert_eq!(cause, refusal::Cause::DeadlineTooShort, "{order:?}");
    }
}

/// Guards against giving up a short request while there is time left to run it.
#[test]
fn a_request_expires_by_its_own_work() {
    let expiry = |order| {
        let mut harness = busy(order);
        let start = harness.now;
        harness.arrive(with_deadline(2, 2, start + Millis(2_000)));
        let mut actions = Vec::new();
        while refused(&actions).is_none() {
            actions = harness.advance(1);
        }
        (harness.now - start).0
    };
    assert!(expiry(bundle::Order::Arrival) < 1_700);
    assert_eq!(expiry(bundle::Order::Value), 1_980);
}

/// Guards against a full queue that refuses a cheap request and keeps an expensive one.
#[test]
fn the_request_with_the_least_value_for_its_work_leaves_a_full_queue() {
    for (order, leaves) in [(bundle::Order::Arrival, 6), (bundle::Order::Value, 5)] {
        let mut harness = busy(order);
        for (ticket, route) in [(2, 2), (3, 2), (4, 2), (5, 1)] {
            assert_eq!(harness.arrive(of_route(ticket, route)), [], "{order:?}");
        }
        let actions = harness.arrive(of_route(6, 2));
        assert_eq!(refused(&actions).map(|r| r.0), Some(leaves), "{order:?}");
    }
}

/// Guards against slots that go to expensive requests while cheap ones that lose as much wait.
#[test]
fn cheap_requests_go_before_expensive_ones_when_not_all_fit() {
    let cheap = Stream {
        work: 40,
        gap: 8,
        ..STREAM
    };
    let dear = Stream {
        route: 2,
        work: 300,
        gap: 25,
        objective: 1_000,
        ..STREAM
    };
    let [arrival, value] = both(&[cheap, dear]);
    assert!(
        worth(&value) > 1.1 * worth(&arrival),
        "{arrival:?} {value:?}"
    );
}

/// Guards against a kind that gets nothing because others need less work.
#[test]
fn expensive_requests_are_served_a_quarter_as_often_as_all() {
    let cheap = Stream {
        work: 40,
        gap: 4,
        ..STREAM
    };
    let dear = Stream {
        route: 2,
        work: 300,
        gap: 100,
        objective: 1_000,
        ..STREAM
    };
    let totals = run(bundle::Order::Value, &[cheap, dear]);
    let sent: u64 = totals.iter().map(|t| t.sent).sum();
    let all = totals
        .iter()
        .map(|t| t.served() * t.sent as f64)
        .sum::<f64>()
        / sent as f64;
    assert!(totals[1].served() >= all / 4.0, "{totals:?}");
}

/// Guards against an organisation that takes the slots of others by sending seven times its usual rate.
#[test]
fn an_organisation_that_floods_takes_room_from_itself() {
    let flood = Stream {
        organisation: 1,
        gap: 49,
        surge: 7,
        ..STREAM
    };
    let usual = Stream {
        organisation: 2,
        gap: 25,
        ..STREAM
    };
    let small = Stream {
        organisation: 3,
        gap: 500,
        ..STREAM
    };
    let [arrival, value] = both(&[flood, usual, small]);
    assert!(arrival[2].served() < 0.9, "{arrival:?}");
    for others in &value[1..] {
        assert!(others.served() > 0.95, "{value:?}");
    }
    let all = value.iter().map(|t| t.in_time + t.late).sum::<u64>() as f64
        / value.iter().map(|t| t.sent).sum::<u64>() as f64;
    assert!(value[0].served() >= all / 4.0, "{value:?}");
}

/// Guards against requests that are held although they are known not to be served.
#[test]
fn who_is_not_served_is_told_at_once() {
    let streams = [Stream { gap: 6, ..STREAM }];
    let [arrival, value] = both(&streams);
    assert!(
        value[0].refused > 0 && value[0].longest_wait <= 400,
        "{value:?}"
    );
    assert!(
        value[0].longest_wait <= arrival[0].longest_wait,
        "{arrival:?} {value:?}"
    );
    assert!(worth(&value) >= worth(&arrival), "{arrival:?} {value:?}");
}

/// Guards against a lower tier that is served before a higher one because it is cheaper.
#[test]
fn tiers_are_strict() {
    let high = Stream {
        work: 300,
        gap: 40,
        objective: 1_000,
        ..STREAM
    };
    let low = Stream {
        route: 2,
        tier: 1,
        work: 20,
        gap: 4,
        ..STREAM
    };
    let totals = run(bundle::Order::Value, &[high, low]);
    assert!(totals[0].served() > 0.99, "{totals:?}");
    assert!(totals[1].refused > 0, "{totals:?}");
}

/// Guards against a refusal for a later reason when an earlier check fails too, such as 503 in place of 429.
#[test]
fn the_checks_are_made_in_one_order() {
    let all = scarcity::first_failure(|_| Some(Millis(5)));
    assert_eq!(all, Some((scarcity::Check::Quota, Millis(5))));
    let mut made = Vec::new();
    let none = scarcity::first_failure(|check| {
        made.push(check.as_str());
        None
    });
    assert_eq!(none, None);
    let order = [
        "quota", "memory", "queue", "wait", "expiry", "late", "trial", "floor",
    ];
    assert_eq!(made, order);
}

/// Guards against metrics that leave out who was refused and why.
#[test]
fn refused_and_delayed_requests_are_counted() {
    let mut harness = busy(bundle::Order::Value);
    harness.cell.take_counts();
    harness.arrive(of_route(2, 2));
    let deadline = harness.now + Millis(700);
    harness.arrive(with_deadline(3, 1, deadline));
    harness.advance(10);
    harness.end_try(1, Outcome::Answered);
    harness.handle(Event::Release(ids::Ticket(1)));
    let counts = harness.cell.take_counts();
    let count = |check, refused| {
        let event = scarcity::Event {
            tier: 0,
            check,
            refused,
        };
        counts.get(&event).copied()
    };
    assert_eq!(count(scarcity::Check::Wait, true), Some(1));
    assert_eq!(count(scarcity::Check::Wait, false), Some(1));
    assert!(harness.cell.take_counts().is_empty());
}
