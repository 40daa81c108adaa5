//! An entry's selection of cells and homes.

use std::collections::BTreeMap;

use peridotspread::coordination::homes;
use peridotspread::coordination::homes::Observation;
use peridotspread::coordination::member;
use peridotspread::protocol::peer;
use peridotspread::state::bundle;
use peridotspread::state::clock::Millis;
use peridotspread::state::ids;

const LAHORE: &str = "lahore-1";
const PINDI: &str = "pindi-1";

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
        order: bundle::Order::default(),
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
    let members = (0..6).map(|n| (format!("d{n}"), member([LAHORE, PINDI][n % 2])));
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
        idle: 0,
        age: Millis::ZERO,
    }
}

#[test]
fn the_entrys_own_failure_domain_is_preferred() {
    let mut selector = homes::Selector::new("d0", LAHORE);
    let choice = selector
        .select(Millis(1), &service(&[PINDI, LAHORE]), &view(), &[])
        .unwrap();
    assert_eq!(choice.cell, cell(LAHORE));
    assert_eq!(choice.home, homes::rank(&cell(LAHORE), &view())[0]);
}

#[test]
fn requests_leave_a_full_cell_until_its_summary_is_old() {
    let (mut selector, service, view) = (
        homes::Selector::new("d0", LAHORE),
        service(&[PINDI, LAHORE]),
        view(),
    );
    selector.record_summary(Millis(1_000), &summary(LAHORE, 6, 20));
    let remote = selector
        .select(Millis(1_100), &service, &view, &[])
        .unwrap();
    assert_eq!(remote.cell, cell(PINDI));
    selector.record_summary(Millis(1_100), &summary(PINDI, 6, 90));
    let returned = selector
        .select(Millis(1_200), &service, &view, &[])
        .unwrap();
    assert_eq!(returned.cell, cell(LAHORE));
    let later = selector
        .select(Millis(7_000), &service, &view, &[])
        .unwrap();
    assert_eq!(later.cell, cell(LAHORE));
}

#[test]
fn an_older_summary_does_not_replace_a_newer_one() {
    let (mut selector, service) = (homes::Selector::new("d0", LAHORE), service(&[LAHORE]));
    selector.record_summary(Millis(1_000), &summary(LAHORE, 1, 0));
    let old = peer::CellSummary {
        age: Millis(900),
        ..summary(LAHORE, 6, 20)
    };
    selector.record_summary(Millis(1_100), &old);
    let summaries = selector.summaries(Millis(1_300), &service);
    assert_eq!((summaries[0].busy, summaries[0].age), (1, Millis(300)));
    assert!(selector.summaries(Millis(60_000), &service).is_empty());
}

#[test]
fn homes_are_tried_in_rank_and_the_entry_itself_last() {
    let (mut selector, service, view) = (
        homes::Selector::new("d1", PINDI),
        service(&[LAHORE]),
        view(),
    );
    let ranked = homes::rank(&cell(LAHORE), &view);
    let mut tried = Vec::new();
    while let Some(choice) = selector.select(Millis(1), &service, &view, &tried) {
        tried.push(homes::FailedAttempt {
            choice,
            refused: false,
        });
    }
    let order: Vec<_> = tried.iter().map(|t| t.choice.home.as_str()).collect();
    assert_eq!(order, [ranked[0], ranked[1], "d1"]);
}

#[test]
fn a_cell_that_refused_is_tried_at_no_other_home() {
    let (mut selector, view) = (homes::Selector::new("d1", PINDI), view());
    let service = service(&[LAHORE, PINDI]);
    let first = selector.select(Millis(1), &service, &view, &[]).unwrap();
    let refused = homes::FailedAttempt {
        choice: first.clone(),
        refused: true,
    };
    let second = selector
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
    assert_eq!(selector.select(Millis(1), &service, &view, &both), None);
}

#[test]
fn a_lost_answer_moves_requests_and_a_successful_trial_returns_them() {
    let (mut selector, service, view) = (
        homes::Selector::new("d1", PINDI),
        service(&[LAHORE]),
        view(),
    );
    let ranked = homes::rank(&cell(LAHORE), &view);
    let home = |selector: &mut homes::Selector, now| {
        selector
            .select(Millis(now), &service, &view, &[])
            .unwrap()
            .home
    };
    selector.observe(Millis(1_000), ranked[0], Observation::Lost);
    selector.observe(Millis(1_001), ranked[0], Observation::Lost);
    assert_eq!(home(&mut selector, 1_100), ranked[1]);
    assert_eq!(
        home(&mut selector, 1_600),
        ranked[0],
        "one trial after the backoff"
    );
    assert_eq!(
        home(&mut selector, 1_601),
        ranked[1],
        "no second trial during the first"
    );
    selector.observe(Millis(1_700), ranked[0], Observation::Lost);
    assert_eq!(home(&mut selector, 2_500), ranked[1], "the backoff grows");
    assert_eq!(home(&mut selector, 2_701), ranked[0]);
    selector.observe(Millis(2_710), ranked[0], Observation::Answered);
    assert_eq!(home(&mut selector, 2_711), ranked[0]);
    assert_eq!(home(&mut selector, 2_712), ranked[0]);
}

#[test]
fn one_stall_is_tolerated_and_two_in_a_row_are_not() {
    let (mut selector, service, view) = (
        homes::Selector::new("d1", PINDI),
        service(&[LAHORE]),
        view(),
    );
    let first = homes::rank(&cell(LAHORE), &view)[0];
    let home = |selector: &mut homes::Selector| {
        selector
            .select(Millis(1_000), &service, &view, &[])
            .unwrap()
            .home
    };
    selector.observe(Millis(1_000), first, Observation::Stalled);
    selector.observe(Millis(1_000), first, Observation::Answered);
    selector.observe(Millis(1_000), first, Observation::Stalled);
    assert_eq!(home(&mut selector), first);
    selector.observe(Millis(1_000), first, Observation::Stalled);
    assert_ne!(home(&mut selector), first);
}

#[test]
fn the_cells_of_one_failure_domain_share_its_requests() {
    let mut selector = homes::Selector::new("d0", LAHORE);
    let mut service = service(&[]);
    service.parts = 2;
    service.targets = (0..8).map(|i| target(&format!("t{i}"), LAHORE)).collect();
    assert_eq!(service.cells().len(), 2);
    let mut chosen = std::collections::BTreeSet::new();
    for busy in [(6, 0), (0, 6)] {
        for (part, busy) in [busy.0, busy.1].into_iter().enumerate() {
            let mut cell_summary = summary(LAHORE, busy, busy * 5);
            cell_summary.cell.part = part as u32;
            selector.record_summary(Millis(1_000), &cell_summary);
        }
        let choice = selector
            .select(Millis(1_001), &service, &view(), &[])
            .unwrap();
        chosen.insert(choice.cell.part);
    }
    assert_eq!(
        chosen.len(),
        2,
        "requests move from a full cell to the other cell"
    );
}

/// Guards against a cell whose first home counts as alive and answers nobody: no entry sends it requests, whereas its
/// second home would serve them.
#[test]
fn a_cell_gets_requests_at_its_second_home_while_the_first_one_answers_nobody() {
    let service = bundle::Service {
        soundness: true,
        breadth_pct: 100.0,
        ..service(&[LAHORE, PINDI])
    };
    let view = view();
    let cell = cell(PINDI);
    let ranked = homes::rank(&cell, &view);
    let mut selector = homes::Selector::new("d0", LAHORE);
    let mut at_second = 0;
    for now in (0..8_000).step_by(5).map(Millis) {
        let choice = selector.select(now, &service, &view, &[]).unwrap();
        if choice.home == ranked[0] {
            selector.observe(now, &choice.home, Observation::Lost);
        }
        at_second += usize::from(choice.cell == cell && choice.home == ranked[1]);
    }
    assert!(at_second >= 20, "{at_second} of 1,600 requests");
}
