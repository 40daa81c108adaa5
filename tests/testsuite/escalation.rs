//! When a daemon polls more than one source: by the age of its updates.

use peridotspread::coordination::escalation::{Escalation, FOLLOWER_AGES, READER_AGES, Step};
use peridotspread::coordination::reply_time::ReplyTime;
use peridotspread::state::clock::Millis;

/// The platform's `config_apply_ms`.
const APPLY: Millis = Millis(2_000);

/// Returns the steps of a daemon to which the platform last answered at 10 s, until `end`, each with its time.
fn steps(end: u64, is_reader: bool) -> Vec<(u64, Step)> {
    let mut escalation = Escalation::new(Millis(1_000));
    let answered = Some(Millis(10_000));
    let mut now = Millis(10_000);
    let mut steps = Vec::new();
    while now < Millis(end) {
        match escalation.next_step(now, answered, is_reader) {
            Step::Wait(until) => now = until,
            step => steps.push((now.0, step)),
        }
    }
    steps
}

/// Guards against timeouts that add up: a change is read in time however many sources are silent.
#[test]
fn the_platform_is_polled_well_within_the_bound_although_all_other_sources_are_silent() {
    for is_reader in [true, false] {
        let first = steps(20_000, is_reader)
            .into_iter()
            .find(|(_, s)| *s == Step::PollPlatform);
        let (at, _) = first.expect("the platform is polled");
        let age = Millis(at) - Millis(10_000);
        assert!(age <= Millis(APPLY.0 * 3 / 4), "polled after {age}");
    }
}

#[test]
fn another_reader_is_polled_before_the_platform() {
    for (is_reader, ages) in [(true, READER_AGES), (false, FOLLOWER_AGES)] {
        let expected = [
            (10_000 + ages.peer.0, Step::PollPeers),
            (10_000 + ages.platform.0, Step::PollPlatform),
        ];
        assert_eq!(steps(11_800, is_reader), expected);
    }
}

/// Guards against calls of a whole fleet where one reader is lost: the other readers have the platform's answer before
/// the daemons that depend on them poll anything.
#[test]
fn readers_are_done_before_other_daemons_poll_the_platform() {
    assert!(READER_AGES.peer + Millis(100) < FOLLOWER_AGES.peer);
    assert!(READER_AGES.platform + Millis(100) < FOLLOWER_AGES.platform);
}

/// Guards against a fleet that keeps polling a platform that answers nobody.
#[test]
fn polls_of_a_platform_that_does_not_answer_become_rare() {
    let steps = steps(70_000, false);
    let polls = steps.iter().filter(|(_, s)| *s == Step::PollPlatform);
    assert!(polls.count() <= 11, "at most one in 8 s: {steps:?}");
    let last_second = steps.iter().filter(|(at, _)| *at >= 69_000);
    assert!(last_second.count() <= 2);
}

#[test]
fn nothing_is_polled_twice_while_the_source_answers() {
    for is_reader in [true, false] {
        let mut escalation = Escalation::new(Millis(1_000));
        for now in (10_000..60_000).step_by(50) {
            let answered = Millis(now - now % 800);
            let step = escalation.next_step(Millis(now), Some(answered), is_reader);
            assert!(matches!(step, Step::Wait(until) if until > Millis(now)));
        }
    }
}

#[test]
fn a_daemon_without_updates_does_not_escalate() {
    let step = Escalation::new(Millis(1_000)).next_step(Millis(30_000), None, false);
    assert!(matches!(step, Step::Wait(until) if until > Millis(30_000)));
}

/// Guards against a fleet that calls the platform once more for each daemon when it starts.
#[test]
fn a_daemon_that_has_just_started_does_not_escalate() {
    let mut escalation = Escalation::new(Millis(1_000));
    for now in (1_000..3_800).step_by(50) {
        let step = escalation.next_step(Millis(now), Some(Millis::ZERO), true);
        assert!(matches!(step, Step::Wait(until) if until > Millis(now)));
    }
}

/// Guards against updates that look fresher by the time for which a reply without a long wait was under way.
#[test]
fn a_reply_that_is_made_early_and_takes_long_counts_as_old() {
    let mut times = ReplyTime::default();
    let (asked, wait) = (Millis(10_000), Millis(600));
    // Held for the whole time, then 250 ms under way.
    assert_eq!(times.made_at(Millis(10_850), asked, wait), asked + wait);
    // Made after 300 ms, then 250 ms under way; the second one is read after the time for which it could be held.
    let asked = Millis(20_000);
    assert_eq!(times.made_at(Millis(20_550), asked, wait), Millis(20_300));
    assert_eq!(
        times.made_at(Millis(20_610), asked, wait),
        Millis(20_610 - 188)
    );
    // A daemon that stood still for 5 s learns nothing from that, and no reply is older than its request.
    assert_eq!(times.made_at(Millis(25_600), asked, wait), asked + wait);
    assert_eq!(
        times.made_at(Millis(30_100), Millis(30_000), wait),
        Millis(30_000)
    );
}
