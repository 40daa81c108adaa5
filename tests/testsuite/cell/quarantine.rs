//! The quarantine: which broken connections count against a request, and the probation that follows a quarantine.

use std::collections::BTreeMap;

use super::*;

const PAGE: ids::Fingerprint = ids::Fingerprint(77);
/// The slots of all targets of [`popular_service`].
const SLOTS: u64 = 45;

fn is_quarantine(action: &Action) -> bool {
    matches!(action, Action::Quarantine { .. })
}

/// Returns how long the quarantine lasts that the actions start.
fn quarantine_span(actions: &[Action]) -> Option<Millis> {
    actions.iter().find_map(|a| match a {
        Action::Quarantine { span, .. } => Some(*span),
        _ => None,
    })
}

fn read(ticket: u64) -> cell::Arrival {
    cell::Arrival {
        fingerprint: PAGE,
        ..arrival(ticket)
    }
}

fn post(ticket: u64) -> cell::Arrival {
    cell::Arrival {
        fingerprint: PAGE,
        ..non_idempotent(ticket)
    }
}

fn popular_service(noisy: bool) -> bundle::Service {
    bundle::Service {
        soundness: noisy,
        queue: 100,
        ..service(15, 3, 0)
    }
}

/// Reads one page with many requests at once, and follows where each of them runs.
struct Readers {
    harness: Harness,
    running: BTreeMap<u64, String>,
    next: u64,
    quarantined: bool,
}

impl Readers {
    fn new(rules: &bundle::Service) -> Readers {
        Readers {
            harness: Harness::new(rules),
            running: BTreeMap::new(),
            next: 1,
            quarantined: false,
        }
    }

    fn follow(&mut self, actions: &[Action]) {
        self.quarantined |= actions.iter().any(is_quarantine);
        for action in actions {
            match action {
                Action::Grant { ticket, target } => {
                    self.running.insert(ticket.0, target.clone());
                    self.harness.handle(Event::Sent(*ticket));
                }
                Action::GiveUp { ticket } | Action::Refuse { ticket, .. } => {
                    self.running.remove(&ticket.0);
                }
                _ => {}
            }
        }
    }

    fn arrive(&mut self, count: u64) {
        for ticket in self.next..self.next + count {
            let actions = self.harness.arrive(read(ticket));
            self.follow(&actions);
        }
        self.next += count;
    }

    fn answer_all(&mut self) {
        let actions = self.harness.advance(200);
        self.follow(&actions);
        for ticket in self.running.keys().copied().collect::<Vec<_>>() {
            let actions = self.harness.end_try(ticket, Outcome::Answered);
            self.follow(&actions);
            self.running.remove(&ticket);
            let actions = self.harness.handle(Event::Release(ids::Ticket(ticket)));
            self.follow(&actions);
        }
    }

    /// Breaks the requests that run at present for which `breaks` holds, by number and target; returns how many.
    fn break_where(&mut self, breaks: impl Fn(usize, &str) -> bool) -> usize {
        let running = self.running.clone().into_iter().enumerate();
        let broken = running.filter(|(i, (_, target))| breaks(*i, target));
        // The connections of one target break before those of the next.
        let mut broken: Vec<_> = broken
            .map(|(_, (ticket, target))| (target, ticket))
            .collect();
        broken.sort();
        for (_, ticket) in &broken {
            self.harness.now += Millis(1);
            self.running.remove(ticket);
            let actions = self.harness.end_try(*ticket, Outcome::Broken);
            self.follow(&actions);
        }
        broken.len()
    }
}

/// Guards against one crash of targets taking a page away: each of the requests for it that broke together counted as
/// a crash by the page, which the whole fleet then refused for five minutes.
#[test]
fn one_crash_of_two_targets_does_not_quarantine_a_page_that_many_read() {
    for noisy in [false, true] {
        let mut readers = Readers::new(&popular_service(noisy));
        readers.arrive(SLOTS);
        readers.answer_all();
        for crash in 0..5 {
            readers.arrive(SLOTS);
            let crashed = [2 * crash, 2 * crash + 1].map(|t| format!("t{t}"));
            let broken = readers.break_where(|_, target| crashed.iter().any(|t| t == target));
            assert!(broken >= 5, "{broken} requests broke");
            readers.answer_all();
        }
        assert!(!readers.quarantined, "noisy: {noisy}");
        assert_eq!(refused(&readers.harness.arrive(read(1_000))), None);
    }
}

/// Guards against the same where the cell is new at its home, so that it knows of no answer yet.
#[test]
fn a_crash_before_the_first_answer_does_not_quarantine_a_page_that_many_read() {
    for noisy in [false, true] {
        let mut readers = Readers::new(&popular_service(noisy));
        readers.arrive(SLOTS);
        let broken = readers.break_where(|_, target| ["t0", "t1"].contains(&target));
        assert_eq!(broken, 6, "each target runs three requests");
        assert!(!readers.quarantined, "noisy: {noisy}");
    }
}

/// Guards against a reset of connections, which breaks requests at many targets, counting against one page.
#[test]
fn connections_that_are_reset_together_do_not_quarantine_a_page() {
    for noisy in [false, true] {
        let mut readers = Readers::new(&popular_service(noisy));
        readers.arrive(30);
        for _ in 0..3 {
            readers.answer_all();
            readers.arrive(30);
            readers.break_where(|i, _| i % 5 == 0);
        }
        assert!(!readers.quarantined, "noisy: {noisy}");
    }
}

/// Guards against a request that crashes targets running on because it is sent at several daemons at once.
#[test]
fn a_request_that_crashes_targets_is_quarantined_although_it_is_sent_many_times_at_once() {
    let mut readers = Readers::new(&popular_service(true));
    let mut crashes = 0;
    while !readers.quarantined && crashes < 100 {
        readers.arrive(3);
        crashes += readers.break_where(|_, _| true);
    }
    assert!(readers.quarantined);
    // Three requests and their retries, and three that were sent at the time of the retries.
    assert!(crashes <= 9, "{crashes} targets crashed");
}

#[test]
fn a_request_that_crashes_targets_is_quarantined_after_as_many_crashes_as_its_service_allows() {
    for (noisy, allowed) in [(false, 2), (true, 3)] {
        let rules = bundle::Service {
            soundness: noisy,
            ..service(6, 1, 0)
        };
        let mut harness = Harness::new(&rules);
        harness.warm_up(40);
        for crash in 1..=allowed {
            let (_, actions) = harness.run(post(crash), 5, Outcome::Broken);
            let is_last = crash == allowed;
            assert_eq!(actions.iter().any(is_quarantine), is_last, "crash {crash}");
        }
        assert!(refused(&harness.arrive(post(10))).is_some());
    }
}

/// Guards against a request that was harmless before, and crashes the targets of a later release, running on.
#[test]
fn a_request_that_was_answered_before_is_quarantined_after_its_third_crash() {
    let mut harness = Harness::new(&service(6, 1, 0));
    harness.run(post(1), 5, Outcome::Answered);
    for (ticket, quarantines) in [(2, false), (3, false), (4, true)] {
        let (_, actions) = harness.run(post(ticket), 5, Outcome::Broken);
        assert_eq!(
            actions.iter().any(is_quarantine),
            quarantines,
            "crash {ticket}"
        );
    }
}

/// Returns a harness in which the page was quarantined, and how long for.
fn quarantined() -> (Harness, Millis) {
    let mut harness = Harness::new(&service(6, 1, 0));
    harness.warm_up(40);
    harness.run(post(1), 5, Outcome::Broken);
    let (_, actions) = harness.run(post(2), 5, Outcome::Broken);
    let span = quarantine_span(&actions).unwrap();
    (harness, span)
}

/// Guards against a harmless request being refused for minutes after a quarantine.
#[test]
fn one_request_at_a_time_runs_after_a_quarantine_until_one_is_answered() {
    let (mut harness, span) = quarantined();
    assert!(span <= Millis(10_000), "{span}");
    harness.advance(span.0 - 1);
    assert!(refused(&harness.arrive(read(3))).is_some());
    harness.advance(1);
    assert!(granted(&harness.arrive(read(4))).is_some());
    harness.handle(Event::Sent(ids::Ticket(4)));
    let (_, refusal) = refused(&harness.arrive(read(5))).unwrap();
    assert_eq!(refusal.cause, refusal::Cause::Quarantined);
    assert_eq!(refusal.outcome, refusal::Outcome::NotRun);
    assert_eq!(refusal.retry_after, Some(Millis(1_000)));
    let actions = harness.end_try(4, Outcome::Answered);
    assert!(actions.contains(&Action::EndProbation { fingerprint: PAGE }));
    for ticket in [6, 7] {
        assert!(granted(&harness.arrive(read(ticket))).is_some());
    }
}

/// Guards against the one request that runs after a quarantine going to a target which began to leave meanwhile.
#[test]
fn the_request_that_is_tried_after_a_quarantine_goes_to_no_target_that_leaves() {
    let (mut harness, span) = quarantined();
    let mut rules = service(6, 1, 0);
    for target in &mut rules.targets[1..] {
        target.leaving = true;
    }
    harness.handle(Event::Rules(&rules));
    harness.advance(span.0);
    let target = granted(&harness.arrive(read(3)));
    assert!(target.is_none_or(|t| t == "t0"));
    rules.targets[0].leaving = true;
    harness.handle(Event::Rules(&rules));
    harness.handle(Event::Cancel(ids::Ticket(3)));
    harness.advance(60_000);
    assert_eq!(granted(&harness.arrive(read(4))), None);
}

/// Guards against a request that goes on crashing targets after its quarantine.
#[test]
fn a_crash_after_a_quarantine_starts_a_longer_one() {
    let (mut harness, mut span) = quarantined();
    for ticket in 3..7 {
        harness.advance(span.0);
        let (_, actions) = harness.run(post(ticket), 5, Outcome::Broken);
        let next = quarantine_span(&actions).expect("one crash starts the next quarantine");
        assert!(next > span || next == Millis(300_000), "{next}");
        span = next;
    }
    assert_eq!(span, Millis(300_000));
}

/// Guards against a crash in each cell of a service when a quarantine ends in all of them at once.
#[test]
fn the_cells_of_a_service_take_turns_after_a_quarantine() {
    let mut harness = Harness::new(&service(6, 1, 0));
    let others = ["a", "b", "z"].map(|domain| summary(domain, 0.0));
    harness.handle(Event::OtherCells(&others));
    harness.handle(Event::Quarantined {
        fingerprint: PAGE,
        span: Millis(500),
    });
    harness.advance(500);
    let (_, refusal) = refused(&harness.arrive(read(1))).unwrap();
    assert_eq!(refusal.retry_after, Some(Millis(2_000)));
    harness.advance(2_000);
    assert!(granted(&harness.arrive(read(2))).is_some());
}
