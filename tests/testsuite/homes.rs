//! An entry's choice of cells and homes.

use std::collections::BTreeMap;

use peridotspread::coordination::homes;
use peridotspread::coordination::homes::Observation;
use peridotspread::coordination::member;
use peridotspread::protocol::peer;
use peridotspread::state::bundle;
use peridotspread::state::clock::Millis;
use peridotspread::state::ids;

const HERE: &str = "lahore-1";
const THERE: &str = "pindi-1";

fn target(name: &str, domain: &str) -> bundle::Target {
    bundle::Target {
        name: name.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: domain.to_owned(),
        slots: 3,
        connections: 400,
        leaving: false,
    }
}

/// A service with one cell in each of `domains`.
fn service(domains: &[&str]) -> bundle::Service {
    bundle::Service {
        name: "timetable".to_owned(),
        floor: 1,
        deadline_ms: Millis(10_000),
        queue: 100,
        cells: None,
        parts: 1,
        soundness: false,
        breadth_pct: 0.0,
        ejection: bundle::Ejection::default(),
        retry: bundle::Retry::default(),
        targets: domains.iter().map(|d| target(d, d)).collect(),
    }
}

/// A view with three daemons in each of two failure domains.
fn view() -> member::View {
    let member = |domain: &str| member::Member {
        peer: "127.0.0.1:1".parse().unwrap(),
        domain: domain.to_owned(),
        incarnation: ids::Incarnation(1),
        liveness: member::Liveness::Alive,
        version: 1,
    };
    let members = (0..6).map(|n| (format!("d{n}"), member([HERE, THERE][n % 2])));
    member::View {
        members: members.collect::<BTreeMap<_, _>>(),
    }
}

fn cell(domain: &str) -> ids::CellId {
    ids::CellId::new("timetable", domain)
}

fn summary(domain: &str, busy: u32, queued: u32) -> peer::CellSummary {
    peer::CellSummary {
        cell: cell(domain),
        slots: 6,
        busy,
        queued,
        wait: Millis(u64::from(queued) * 20),
        median: Millis(100),
        bad: 0.0,
        seen: 50,
        age: Millis::ZERO,
    }
}

#[test]
fn the_own_failure_domain_comes_first() {
    let mut homes = homes::Selector::new("d0", HERE);
    let choice = homes
        .select(Millis(1), &service(&[THERE, HERE]), &view(), &[])
        .unwrap();
    assert_eq!(choice.cell, cell(HERE));
    assert_eq!(choice.home, homes::rank(&cell(HERE), &view())[0]);
}

#[test]
fn a_full_cell_is_left_until_its_summary_is_old() {
    let (mut homes, service, view) = (
        homes::Selector::new("d0", HERE),
        service(&[THERE, HERE]),
        view(),
    );
    homes.record_summary(Millis(1_000), &summary(HERE, 6, 20));
    let spilled = homes.select(Millis(1_100), &service, &view, &[]).unwrap();
    assert_eq!(spilled.cell, cell(THERE));
    homes.record_summary(Millis(1_100), &summary(THERE, 6, 90));
    let back = homes.select(Millis(1_200), &service, &view, &[]).unwrap();
    assert_eq!(back.cell, cell(HERE));
    let later = homes.select(Millis(7_000), &service, &view, &[]).unwrap();
    assert_eq!(later.cell, cell(HERE));
}

#[test]
fn an_older_summary_does_not_replace_a_newer_one() {
    let (mut homes, service) = (homes::Selector::new("d0", HERE), service(&[HERE]));
    homes.record_summary(Millis(1_000), &summary(HERE, 1, 0));
    let old = peer::CellSummary {
        age: Millis(900),
        ..summary(HERE, 6, 20)
    };
    homes.record_summary(Millis(1_100), &old);
    let told = homes.summaries(Millis(1_300), &service);
    assert_eq!((told[0].busy, told[0].age), (1, Millis(300)));
    assert!(homes.summaries(Millis(60_000), &service).is_empty());
}

#[test]
fn homes_are_tried_in_rank_and_the_entry_itself_last() {
    let (mut homes, service, view) = (homes::Selector::new("d1", THERE), service(&[HERE]), view());
    let ranked = homes::rank(&cell(HERE), &view);
    let mut tried = Vec::new();
    while let Some(choice) = homes.select(Millis(1), &service, &view, &tried) {
        tried.push(homes::FailedAttempt {
            choice,
            refused: false,
        });
    }
    let order: Vec<_> = tried.iter().map(|t| t.choice.home.as_str()).collect();
    assert_eq!(order, [ranked[0], ranked[1], "d1"]);
}

#[test]
fn a_cell_that_refused_is_asked_at_no_other_home() {
    let (mut homes, view) = (homes::Selector::new("d1", THERE), view());
    let service = service(&[HERE, THERE]);
    let first = homes.select(Millis(1), &service, &view, &[]).unwrap();
    let refused = homes::FailedAttempt {
        choice: first.clone(),
        refused: true,
    };
    let second = homes
        .select(Millis(1), &service, &view, std::slice::from_ref(&refused))
        .unwrap();
    assert_ne!(second.cell, first.cell);
    let both = [
        refused,
        homes::FailedAttempt {
            choice: second,
            refused: true,
        },
    ];
    assert_eq!(homes.select(Millis(1), &service, &view, &both), None);
}

#[test]
fn a_lost_answer_moves_requests_and_one_trial_brings_them_back() {
    let (mut homes, service, view) = (homes::Selector::new("d1", THERE), service(&[HERE]), view());
    let ranked = homes::rank(&cell(HERE), &view);
    let home = |homes: &mut homes::Selector, now| {
        homes
            .select(Millis(now), &service, &view, &[])
            .unwrap()
            .home
    };
    homes.observe(Millis(1_000), ranked[0], Observation::Lost);
    homes.observe(Millis(1_001), ranked[0], Observation::Lost);
    assert_eq!(home(&mut homes, 1_100), ranked[1]);
    assert_eq!(
        home(&mut homes, 1_600),
        ranked[0],
        "one trial after the pause"
    );
    assert_eq!(
        home(&mut homes, 1_601),
        ranked[1],
        "no second trial beside the first"
    );
    homes.observe(Millis(1_700), ranked[0], Observation::Lost);
    assert_eq!(home(&mut homes, 2_500), ranked[1], "the pause grows");
    assert_eq!(home(&mut homes, 2_701), ranked[0]);
    homes.observe(Millis(2_710), ranked[0], Observation::Answered);
    assert_eq!(home(&mut homes, 2_711), ranked[0]);
    assert_eq!(home(&mut homes, 2_712), ranked[0]);
}

#[test]
fn one_stall_is_borne_and_two_in_a_row_are_not() {
    let (mut homes, service, view) = (homes::Selector::new("d1", THERE), service(&[HERE]), view());
    let first = homes::rank(&cell(HERE), &view)[0];
    let home = |homes: &mut homes::Selector| {
        homes
            .select(Millis(1_000), &service, &view, &[])
            .unwrap()
            .home
    };
    homes.observe(Millis(1_000), first, Observation::Stalled);
    homes.observe(Millis(1_000), first, Observation::Answered);
    homes.observe(Millis(1_000), first, Observation::Stalled);
    assert_eq!(home(&mut homes), first);
    homes.observe(Millis(1_000), first, Observation::Stalled);
    assert_ne!(home(&mut homes), first);
}

#[test]
fn the_cells_of_one_failure_domain_share_its_requests() {
    let mut homes = homes::Selector::new("d0", HERE);
    let mut service = service(&[]);
    service.parts = 2;
    service.targets = (0..8).map(|i| target(&format!("t{i}"), HERE)).collect();
    assert_eq!(service.cells().len(), 2);
    let mut chosen = std::collections::BTreeSet::new();
    for busy in [(6, 0), (0, 6)] {
        for (part, busy) in [busy.0, busy.1].into_iter().enumerate() {
            let mut told = summary(HERE, busy, busy * 5);
            told.cell.part = part as u32;
            homes.record_summary(Millis(1_000), &told);
        }
        let choice = homes.select(Millis(1_001), &service, &view(), &[]).unwrap();
        chosen.insert(choice.cell.part);
    }
    assert_eq!(chosen.len(), 2, "a full cell is left for its neighbour");
}
