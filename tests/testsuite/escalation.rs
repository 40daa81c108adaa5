//! When a daemon polls more than one source: by the age of its updates.

use peridotspread::coordination::escalation::{Escalation, PEER_AGE, PLATFORM_AGE, Step};
use peridotspread::state::clock::Millis;

/// The platform's `config_apply_ms`.
const APPLY: Millis = Millis(2_000);

/// Returns the steps of a daemon to which the platform last answered at 10 s, until `end`, each with its time.
fn steps(end: u64) -> Vec<(u64, Step)> {
    let mut escalation = Escalation::default();
    let answered = Some(Millis(10_000));
    let mut now = Millis(10_000);
    let mut steps = Vec::new();
    while now < Millis(end) {
        match escalation.next_step(now, answered) {
            Step::Wait(until) => now = until,
            step => steps.push((now.0, step)),
        }
    }
    steps
}

/// Guards against timeouts that add up: a change is read in time however many sources are silent.
#[test]
fn the_platform_is_polled_well_within_the_bound_although_all_other_sources_are_silent() {
    let first = steps(20_000)
        .into_iter()
        .find(|(_, s)| *s == Step::PollPlatform);
    let (at, _) = first.expect("the platform is polled");
    let age = Millis(at) - Millis(10_000);
    assert!(age <= Millis(APPLY.0 * 6 / 10), "polled after {age}");
}

#[test]
fn another_reader_is_polled_before_the_platform() {
    let steps = steps(11_900);
    assert_eq!(
        steps,
        [
            (10_000 + PEER_AGE.0, Step::PollPeer),
            (10_000 + PLATFORM_AGE.0, Step::PollPlatform),
        ]
    );
}

/// Guards against a fleet that keeps polling a platform that answers nobody.
#[test]
fn polls_of_a_platform_that_does_not_answer_become_rare() {
    let steps = steps(70_000);
    let polls = steps.iter().filter(|(_, s)| *s == Step::PollPlatform);
    assert!(polls.count() <= 11, "at most one in 8 s: {steps:?}");
    let last_second = steps.iter().filter(|(at, _)| *at >= 69_000);
    assert!(last_second.count() <= 2);
}

#[test]
fn nothing_is_polled_twice_while_the_source_answers() {
    let mut escalation = Escalation::default();
    for now in (10_000..60_000).step_by(50) {
        let answered = Millis(now - now % 800);
        let step = escalation.next_step(Millis(now), Some(answered));
        assert!(matches!(step, Step::Wait(until) if until > Millis(now)));
    }
}

#[test]
fn a_daemon_without_updates_does_not_escalate() {
    let step = Escalation::default().next_step(Millis(30_000), None);
    assert!(matches!(step, Step::Wait(until) if until > Millis(30_000)));
}
