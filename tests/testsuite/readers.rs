//! Selection of the source of updates: one reader per failure domain, and the fallbacks if it fails.

use std::collections::BTreeSet;

use peridotspread::coordination::readers::{self, Source, SourceSelector};
use peridotspread::coordination::{escalation, member};
use peridotspread::state::clock::Millis;
use peridotspread::state::ids;

/// Returns a view of `count` daemons d0, d1 and so on, which alternate between two failure domains.
fn view(count: usize) -> member::View {
    let members = (0..count).map(|i| {
        let member = member::Member {
            peer: "10.0.0.1:7000".parse().unwrap(),
            domain: ["lahore-1", "lahore-2"][i % 2].to_owned(),
            incarnation: ids::Incarnation(1),
            liveness: member::Liveness::Alive,
            version: 1,
        };
        (format!("d{i}"), member)
    });
    member::View {
        members: members.collect(),
    }
}

fn daemon(i: usize) -> SourceSelector {
    let domain = ["lahore-1", "lahore-2"][i % 2];
    SourceSelector::new(Millis::ZERO, &format!("d{i}"), domain)
}

const STARTED: Millis = Millis(10_000);

#[test]
fn one_daemon_of_each_failure_domain_polls_the_platform() {
    let view = view(20);
    let sources = (0..20).map(|i| daemon(i).next_source(STARTED, &view));
    let reader_count = sources.filter(|p| *p == Source::Platform).count();
    assert_eq!(reader_count, 2);
}

#[test]
fn all_others_poll_the_reader_of_their_own_failure_domain() {
    let view = view(20);
    for i in 0..20 {
        if let Source::Peer(name) = daemon(i).next_source(STARTED, &view) {
            assert_eq!(view.members[&name].domain, ["lahore-1", "lahore-2"][i % 2]);
        }
    }
}

/// Returns a daemon that polls a peer, and the name of the peer.
fn peer_poller(view: &member::View) -> (SourceSelector, String) {
    (0..20)
        .find_map(|i| {
            let mut selector = daemon(i);
            match selector.next_source(STARTED, view) {
                Source::Peer(name) => Some((selector, name)),
                Source::Platform | Source::Wait(_) => None,
            }
        })
        .expect("most daemons poll a peer")
}

#[test]
fn a_daemon_whose_reader_fails_polls_another_reader_and_then_the_platform() {
    let view = view(20);
    let (mut selector, reader) = peer_poller(&view);
    selector.record_stale_peer(STARTED, &reader);
    let Source::Peer(other) = selector.next_source(STARTED, &view) else {
        panic!("the daemon polls the reader of the other failure domain");
    };
    let domain = |name: &str| &view.members[name].domain;
    assert_ne!(domain(&other), domain(&reader));
    let other_index: usize = other[1..].parse().unwrap();
    let polled = daemon(other_index).next_source(STARTED, &view);
    assert_eq!(polled, Source::Platform, "it is a reader");
    selector.record_stale_peer(STARTED, &other);
    assert_eq!(selector.next_source(STARTED, &view), Source::Platform);
    let later = STARTED + Millis(5_000);
    assert_eq!(selector.next_source(later, &view), Source::Peer(reader));
}

#[test]
fn a_daemon_that_the_platform_does_not_answer_either_polls_any_other() {
    let view = view(20);
    let (mut selector, reader) = peer_poller(&view);
    selector.record_stale_peer(STARTED, &reader);
    let Source::Peer(second) = selector.next_source(STARTED, &view) else {
        panic!("the daemon polls the other reader");
    };
    selector.record_stale_peer(STARTED, &second);
    selector.record_platform(STARTED, false);
    let Source::Peer(other) = selector.next_source(STARTED, &view) else {
        panic!("the daemon polls another peer");
    };
    assert!(other != reader && other != second);
    let later = STARTED + Millis(200);
    assert_eq!(selector.next_source(later, &view), Source::Platform);
}

#[test]
fn a_daemon_that_has_just_started_polls_peers_and_the_platform_only_if_it_finds_none() {
    let view = view(20);
    for i in 0..20 {
        let mut selector = daemon(i);
        let mut now = Millis(1);
        while let Source::Peer(name) = selector.next_source(now, &view) {
            assert!(now < Millis(300), "polls only peers after {now}");
            selector.record_stale_peer(now, &name);
            now += Millis(10);
        }
        let mut sources = (0..50).map(|n| selector.next_source(now + Millis(10 * n), &view));
        assert!(sources.any(|s| s == Source::Platform));
        // No peer and no platform is found later than this, so that a fleet that starts is ready in time.
        assert_eq!(daemon(i).next_source(Millis(300), &view), Source::Platform);
    }
}

#[test]
fn a_daemon_that_has_just_started_accepts_no_old_rules_before_it_tried_the_platform() {
    let mut selector = daemon(0);
    assert!(!selector.accepts_stale());
    selector.record_platform(Millis(300), false);
    assert!(selector.accepts_stale());
}

/// Returns a view of nine failure domains with 21 daemons each.
fn nine_domains() -> member::View {
    let mut view = view(189);
    for (i, member) in view.members.values_mut().enumerate() {
        member.domain = format!("lahore-{}", i % 9);
    }
    view
}

#[test]
fn readers_of_two_failure_domains_poll_the_platform_however_many_there_are() {
    let view = nine_domains();
    let select = |name: &str| {
        let mut selector = SourceSelector::new(Millis::ZERO, name, &view.members[name].domain);
        let source = selector.next_source(STARTED, &view);
        (selector, source)
    };
    let names: Vec<_> = view.members.keys().map(String::as_str).collect();
    let is_primary = |name: &&str| select(name).1 == Source::Platform;
    assert_eq!(names.iter().filter(|n| is_primary(n)).count(), 2);
    let primaries: Vec<_> = names.iter().copied().filter(is_primary).collect();
    let readers = names
        .iter()
        .filter(|n| select(n).0.is_reader(&view) && !is_primary(n));
    for name in readers {
        let (mut selector, _) = select(name);
        for _ in 0..2 {
            let Source::Peer(primary) = selector.next_source(STARTED, &view) else {
                panic!("{name} polls no primary");
            };
            assert!(primaries.contains(&primary.as_str()));
            selector.record_stale_peer(STARTED, &primary);
        }
        assert_eq!(selector.next_source(STARTED, &view), Source::Platform);
    }
}

#[test]
fn a_daemon_that_has_read_once_polls_only_after_its_startup() {
    let view = view(20);
    for mut selector in (0..20).map(daemon) {
        selector.record_platform(Millis(100), true);
        let source = selector.next_source(Millis(120), &view);
        assert!(matches!(source, Source::Wait(until) if until <= Millis(1_000)));
        assert!(!matches!(
            selector.next_source(STARTED, &view),
            Source::Wait(_)
        ));
    }
}

#[test]
fn a_daemon_without_peers_and_platform_waits() {
    let view = view(1);
    let mut selector = daemon(0);
    selector.record_platform(STARTED, false);
    assert!(matches!(
        selector.next_source(STARTED, &view),
        Source::Wait(_)
    ));
}

#[test]
fn a_platform_that_turns_readers_away_is_not_polled_by_their_failure_domains() {
    let view = view(20);
    let turned_away: Vec<_> = (0..20)
        .filter(|i| daemon(*i).next_source(STARTED, &view) == Source::Platform)
        .take(1)
        .map(|i| format!("d{i}"))
        .collect();
    let polled = (0..20).filter(|i| {
        let mut selector = daemon(*i);
        for reader in &turned_away {
            selector.record_stale_peer(STARTED, reader);
        }
        selector.next_source(STARTED, &view) == Source::Platform
    });
    assert_eq!(polled.count(), 2, "the readers alone");
}

#[test]
fn a_reader_that_the_platform_turns_away_polls_another_reader() {
    let view = view(20);
    let is_reader = |i: &usize| daemon(*i).next_source(STARTED, &view) == Source::Platform;
    let readers: Vec<_> = (0..20).filter(is_reader).collect();
    let mut selector = daemon(readers[0]);
    selector.record_platform(STARTED, false);
    let other = format!("d{}", readers[1]);
    assert_eq!(selector.next_source(STARTED, &view), Source::Peer(other));
}

#[test]
fn reads_of_the_list_of_hosts_do_not_grow_with_the_fleet() {
    assert_eq!(readers::hosts_interval(12), Millis(30_000));
    for daemons in [100, 300, 2_600] {
        let per_second = daemons as f64 * 1_000.0 / readers::hosts_interval(daemons).0 as f64;
        assert!(
            per_second <= 1.0,
            "{daemons} daemons: {per_second} a second"
        );
    }
}

/// Guards against replies that count as late although nothing failed: the next reply of each source is due before the
/// daemon polls another one.
#[test]
fn the_reply_of_a_source_that_answers_is_due_before_another_one_is_polled() {
    for age in (0..800).step_by(10).map(Millis) {
        for now in (0..2_100).step_by(50).map(Millis) {
            let held = readers::platform_poll_wait(now, Some(age));
            assert!(age + held < escalation::READER_AGES.peer, "{age} {held}");
        }
        let held = readers::peer_poll_wait(Some(age));
        assert!(age + held < escalation::READER_AGES.peer, "{age} {held}");
    }
}

#[test]
fn the_polls_of_all_topics_end_at_the_same_time() {
    let end = |now| Millis(now) + readers::platform_poll_wait(Millis(now), Some(Millis::ZERO));
    assert_eq!(end(10_600), end(10_900));
}

#[test]
fn a_daemon_whose_source_is_late_polls_each_other_reader_in_turn() {
    let view = nine_domains();
    let mut selector = daemon(0);
    let asked: BTreeSet<_> = (0..9)
        .filter_map(|_| selector.another_reader(&view, "d9"))
        .collect();
    assert!(asked.len() >= 8 && !asked.contains("d0"), "{asked:?}");
    // Readers that were stale lately are polled again only if all were.
    let (stale, left) = asked
        .iter()
        .partition::<Vec<_>, _>(|name| *name < asked.iter().max().unwrap());
    stale
        .iter()
        .for_each(|name| selector.record_stale_peer(STARTED, name));
    assert_eq!(selector.another_reader(&view, "d9").as_ref(), Some(left[0]));
}

/// Guards against calls to the platform by all daemons whose reader is late for a moment, as when the rules change.
#[test]
fn a_reader_that_was_late_is_polled_again_sooner_than_one_that_was_stale() {
    let view = view(20);
    let (mut selector, reader) = peer_poller(&view);
    let returns = |selector: &mut SourceSelector| {
        let mut times = (1..50).map(|i| STARTED + Millis(100 * i));
        times.find(|now| selector.next_source(*now, &view) == Source::Peer(reader.clone()))
    };
    selector.record_late_peer(STARTED, &reader);
    assert_eq!(returns(&mut selector), Some(STARTED + Millis(1_000)));
    selector.record_stale_peer(STARTED, &reader);
    assert_eq!(returns(&mut selector), Some(STARTED + Millis(3_000)));
}

/// Guards against waits that outlive an outage: what a daemon left out while the platform answered nobody says nothing
/// about the time after that.
#[test]
fn a_daemon_whose_updates_are_fresh_again_leaves_out_no_peer_that_had_lost_the_platform() {
    let view = view(20);
    let (mut selector, reader) = peer_poller(&view);
    for name in view.members.keys() {
        selector.record_lost_peer(STARTED, name);
    }
    for i in 0..5 {
        selector.record_platform(STARTED + Millis(100 * i), false);
    }
    let now = STARTED + Millis(500);
    assert!(matches!(selector.next_source(now, &view), Source::Wait(_)));
    selector.record_recovery();
    assert_eq!(selector.next_source(now, &view), Source::Peer(reader));
    assert!(selector.may_poll_platform(now));
}

/// Returns when each of `count` daemons next calls a platform that they and their peers found lost at [`STARTED`].
fn first_calls(count: usize) -> Vec<Millis> {
    let view = view(count);
    let mut followers: Vec<_> = (0..count).map(daemon).collect();
    followers
        .retain_mut(|selector| matches!(selector.next_source(STARTED, &view), Source::Peer(_)));
    let calls = followers.iter_mut().map(|selector| {
        for peer in ["d0", "d1", "d2", "d3"] {
            selector.record_lost_peer(STARTED, peer);
        }
        let mut times = (0..100_000).step_by(10).map(|ms| STARTED + Millis(ms));
        let call = times.find(|now| selector.may_poll_platform(*now));
        call.expect("the platform is called")
    });
    calls.collect()
}

/// Guards against a fleet that calls the platform as one when it comes to know that it is away.
#[test]
fn calls_to_a_platform_that_peers_have_lost_are_spread_over_the_fleet() {
    for count in [40, 300] {
        let calls = first_calls(count);
        let early = calls.iter().filter(|at| **at < STARTED + Millis(1_000));
        assert!(early.count() <= 25, "{count} daemons: {calls:?}");
        let last = calls.iter().max().expect("there are daemons");
        assert!(*last <= STARTED + Millis(count as u64 * 100));
    }
}

/// Guards against a daemon that relies on the news of peers that are silent.
#[test]
fn a_daemon_whose_peers_are_silent_calls_the_platform_as_often_as_a_reader() {
    let view = view(300);
    let mut selector = daemon(0);
    selector.next_source(STARTED, &view);
    for i in 0..6 {
        selector.record_platform(STARTED + Millis(100 * i), false);
    }
    let given_up = STARTED + Millis(1_700);
    assert!(!selector.may_poll_platform(given_up));
    selector.record_late_peer(given_up, "d1");
    selector.record_silence(given_up);
    assert!(selector.may_poll_platform(given_up));
    // The call was made before the peer was known to be silent, and is not answered either.
    let asked = given_up - Millis(100);
    selector.record_platform(asked, false);
    assert!(!selector.may_poll_platform(asked + Millis(700)));
    assert!(selector.may_poll_platform(asked + Millis(800)));
    selector.record_platform(asked + Millis(800), false);
    assert!(!selector.may_poll_platform(asked + Millis(1_600)));
}

#[test]
fn news_is_awaited_at_other_daemons_that_were_not_silent() {
    let view = view(6);
    let mut selector = daemon(0);
    for silent in ["d1", "d2"] {
        selector.record_late_peer(STARTED, silent);
    }
    for _ in 0..50 {
        let sources = selector.news_sources(&view, "d3");
        assert_eq!(sources, BTreeSet::from(["d4", "d5"].map(str::to_owned)));
    }
}
