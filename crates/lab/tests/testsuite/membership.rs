//! Membership of many simulated daemons in one process.

use peridotspread::coordination::member::Liveness;
use peridotspread::state::clock::Millis;
use peridotspread_lab::members;

/// Returns a fleet of `count` daemons that have discovered each other.
fn fleet(count: usize, seed: u64) -> members::Members {
    let mut fleet = members::Members::new(&["d00", "d01"], seed);
    for n in 0..count {
        fleet.start(&format!("d{n:02}"));
    }
    let joined = fleet.run_until(Millis(20_000), &members::Members::views_agree);
    assert!(joined.is_some(), "the daemons discover each other");
    fleet.run(Millis(8_000));
    assert!(fleet.views_agree());
    fleet
}

#[test]
fn a_killed_daemon_is_suspected_then_dead_and_no_other() {
    let mut fleet = fleet(46, 1);
    fleet.kill("d17");
    let suspected = fleet.run_until(Millis(5_000), &|f| {
        f.all_see("d17", Some(Liveness::Suspect))
    });
    assert!(suspected.is_some());
    let dead = fleet.run_until(Millis(10_000), &members::Members::views_agree);
    assert!(dead.is_some());
}

#[test]
fn a_restart_is_a_new_incarnation() {
    let mut fleet = fleet(12, 2);
    let before = fleet.view("d03").members["d05"].incarnation;
    fleet.kill("d05");
    fleet.run(Millis(300));
    fleet.start("d05");
    let seen = |f: &members::Members| f.view("d03").members["d05"].incarnation > before;
    assert!(fleet.run_until(Millis(5_000), &seen).is_some());
    fleet.run(Millis(10_000));
    assert!(fleet.views_agree());
}

#[test]
fn a_leaving_daemon_is_announced_to_all_and_dead_once_it_stops() {
    let mut fleet = fleet(46, 3);
    fleet.leave("d09");
    let announced = fleet.run_until(Millis(3_000), &|f| {
        f.all_see("d09", Some(Liveness::Leaving))
    });
    assert!(announced.is_some());
    fleet.run(Millis(10_000));
    assert!(
        fleet.all_see("d09", Some(Liveness::Leaving)),
        "it still runs"
    );
    fleet.kill("d09");
    assert!(
        fleet
            .run_until(Millis(10_000), &|f| f.all_see("d09", None))
            .is_some()
    );
}

#[test]
fn cuts_in_one_direction_cause_no_suspicion() {
    let mut fleet = fleet(12, 4);
    for other in ["d01", "d02", "d03", "d04", "d05"] {
        fleet.cut("d00", other);
    }
    let before: Vec<_> = fleet
        .names()
        .iter()
        .map(|n| fleet.records(n).len())
        .collect();
    fleet.run(Millis(60_000));
    for (name, before) in fleet.names().iter().zip(before) {
        let records = fleet.records(name);
        let suspected = records[before..].iter().any(|(_, r)| r.contains("suspect"));
        assert!(!suspected, "{name}: {records:?}");
    }
}

#[test]
fn an_isolated_daemon_is_declared_dead_and_rejoins() {
    let mut fleet = fleet(12, 5);
    for other in fleet.names() {
        fleet.cut("d07", &other);
        fleet.cut(&other, "d07");
    }
    assert!(
        fleet
            .run_until(Millis(15_000), &|f| f.all_see("d07", None))
            .is_some()
    );
    fleet.run(Millis(60_000));
    fleet.heal_links();
    assert!(
        fleet
            .run_until(Millis(30_000), &members::Members::views_agree)
            .is_some()
    );
}

#[test]
fn a_paused_daemon_resumes_and_suspects_nobody() {
    let mut fleet = fleet(12, 6);
    fleet.pause("d02");
    assert!(
        fleet
            .run_until(Millis(15_000), &|f| f.all_see("d02", None))
            .is_some()
    );
    fleet.run(Millis(20_000));
    let before = fleet.records("d02").len();
    fleet.resume("d02");
    assert!(
        fleet
            .run_until(Millis(10_000), &members::Members::views_agree)
            .is_some()
    );
    fleet.run(Millis(5_000));
    let records = fleet.records("d02");
    let suspected = records[before..].iter().any(|(_, r)| r.contains("suspect"));
    assert!(!suspected, "{records:?}");
    assert!(
        records[before..]
            .iter()
            .any(|(_, r)| r.contains("did not run"))
    );
}
