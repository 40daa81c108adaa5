//! Where daemons hear news: one reader a failure domain, and what takes its place.

use peridotspread::coordination::member;
use peridotspread::coordination::readers::{self, Plan, SourceSelector};
use peridotspread::state::clock::Millis;
use peridotspread::state::ids;

/// A fleet of daemons d0, d1 and so on, dealt to two failure domains.
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

const SETTLED: Millis = Millis(10_000);

#[test]
fn one_daemon_of_each_failure_domain_follows_the_platform() {
    let view = view(20);
    let plans = (0..20).map(|i| daemon(i).plan(SETTLED, &view));
    let reading = plans.filter(|p| *p == Plan::Platform).count();
    assert_eq!(reading, 2);
}

#[test]
fn all_others_ask_the_reader_of_their_own_failure_domain() {
    let view = view(20);
    for i in 0..20 {
        if let Plan::Peer(name) = daemon(i).plan(SETTLED, &view) {
            assert_eq!(view.members[&name].domain, ["lahore-1", "lahore-2"][i % 2]);
        }
    }
}

/// Returns a daemon that asks another, and whom it asks.
fn asker(view: &member::View) -> (SourceSelector, String) {
    (0..20)
        .find_map(|i| {
            let mut readers = daemon(i);
            match readers.plan(SETTLED, view) {
                Plan::Peer(name) => Some((readers, name)),
                Plan::Platform | Plan::Wait(_) => None,
            }
        })
        .expect("most daemons ask")
}

#[test]
fn a_daemon_whose_reader_fails_follows_the_platform_for_a_while() {
    let view = view(20);
    let (mut readers, reader) = asker(&view);
    readers.record_stale_peer(SETTLED, &reader);
    assert_eq!(readers.plan(SETTLED, &view), Plan::Platform);
    let later = SETTLED + Millis(5_000);
    assert_eq!(readers.plan(later, &view), Plan::Peer(reader));
}

#[test]
fn a_daemon_that_the_platform_does_not_answer_either_asks_any_other() {
    let view = view(20);
    let (mut readers, reader) = asker(&view);
    readers.record_stale_peer(SETTLED, &reader);
    readers.record_platform(SETTLED, false);
    let Plan::Peer(other) = readers.plan(SETTLED, &view) else {
        panic!("another daemon may know more");
    };
    assert_ne!(other, reader);
    let later = SETTLED + Millis(200);
    assert_eq!(readers.plan(later, &view), Plan::Platform);
}

#[test]
fn a_daemon_that_has_just_started_reads_for_itself() {
    let view = view(20);
    let plans = (0..20).map(|i| daemon(i).plan(Millis(100), &view));
    assert!(plans.into_iter().all(|p| p == Plan::Platform));
}

#[test]
fn a_daemon_that_has_read_once_follows_only_when_it_knows_the_others() {
    let view = view(20);
    for mut readers in (0..20).map(daemon) {
        readers.record_platform(Millis(100), true);
        let plan = readers.plan(Millis(120), &view);
        assert!(matches!(plan, Plan::Wait(until) if until <= Millis(1_000)));
        assert!(!matches!(readers.plan(SETTLED, &view), Plan::Wait(_)));
    }
}

#[test]
fn alone_and_without_the_platform_a_daemon_waits() {
    let view = view(1);
    let mut readers = daemon(0);
    readers.record_platform(SETTLED, false);
    assert!(matches!(readers.plan(SETTLED, &view), Plan::Wait(_)));
}

#[test]
fn a_daemon_whose_reader_has_lost_the_platform_misses_no_change_for_two_seconds() {
    assert!(readers::max_staleness() < Millis(2_000));
}
