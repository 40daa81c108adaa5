//! Updates from platforms and peers: their order, outages, and targets that disappear.

use peridotspread::coordination::registry::Registry;
use peridotspread::protocol::source::{Batch, Change, Item, ServiceTarget, Topic};
use peridotspread::state::bundle;
use peridotspread::state::clock::Millis;

fn service_target(name: &str) -> ServiceTarget {
    ServiceTarget {
        service: "fees".to_owned(),
        target: bundle::Target {
            name: name.to_owned(),
            address: "10.0.0.1:80".parse().unwrap(),
            domain: "lahore-1".to_owned(),
            slots: 3,
            connections: 3,
            leaving: false,
        },
    }
}

fn change(key: &str, revision: u64, target: Option<&str>) -> Change {
    Change {
        topic: Topic::Targets,
        key: key.to_owned(),
        revision,
        item: target.map(|t| Item::Target(service_target(t))),
        grace: Millis::ZERO,
    }
}

fn batch(changes: Vec<Change>, revision: u64) -> Batch {
    Batch {
        changes,
        revision,
        whole: false,
    }
}

fn rules(version: u64, revision: u64) -> Batch {
    let bundle = bundle::Bundle {
        version,
        services: vec![bundle::Service::without_targets("fees")],
        ..bundle::Bundle::default()
    };
    let change = Change {
        topic: Topic::Rules,
        key: String::new(),
        revision,
        item: Some(Item::Rules(Box::new(bundle))),
        grace: Millis::ZERO,
    };
    batch(vec![change], revision)
}

/// Returns a registry with rules and the targets a and b.
fn registry() -> Registry {
    let mut registry = Registry::default();
    registry.apply(Millis(1), Topic::Rules, &rules(7, 1));
    let both = vec![change("a", 2, Some("a")), change("b", 3, Some("b"))];
    registry.apply(Millis(1), Topic::Targets, &batch(both, 3));
    registry
}

fn names(registry: &Registry) -> Vec<String> {
    let bundle = registry.bundle().expect("rules and targets are known");
    let targets = bundle.services[0].targets.iter();
    targets.map(|t| t.name.clone()).collect()
}

#[test]
fn nothing_is_in_force_until_rules_and_targets_are_known() {
    let mut registry = Registry::default();
    assert!(registry.bundle().is_none());
    registry.apply(Millis(1), Topic::Rules, &rules(7, 1));
    assert!(registry.bundle().is_none());
    registry.apply(Millis(1), Topic::Targets, &batch(Vec::new(), 1));
    assert_eq!(registry.bundle().unwrap().version, 7);
}

#[test]
fn a_peer_that_knows_no_targets_does_not_make_rules_count_as_ready() {
    let mut registry = Registry::default();
    registry.apply(Millis(1), Topic::Rules, &rules(7, 1));
    registry.apply_peer(Millis(2), Topic::Targets, &Batch::default());
    assert!(registry.bundle().is_none());
}

#[test]
fn the_version_of_the_rules_never_decreases() {
    let mut registry = registry();
    assert!(!registry.apply(Millis(2), Topic::Rules, &rules(6, 9)));
    assert_eq!(registry.bundle().unwrap().version, 7);
    assert!(registry.apply(Millis(3), Topic::Rules, &rules(8, 10)));
    assert_eq!(registry.bundle().unwrap().version, 8);
}

#[test]
fn a_target_that_disappears_while_the_platform_answers_is_removed_at_once() {
    let mut registry = registry();
    let removed = batch(vec![change("a", 4, None)], 4);
    assert!(registry.apply(Millis(10), Topic::Targets, &removed));
    assert_eq!(names(&registry), ["b"]);
}

#[test]
fn a_target_that_disappeared_in_an_outage_is_kept_until_it_could_be_listed_again() {
    let mut registry = registry();
    registry.record_outage(Millis(1_000));
    registry.record_recovery(Millis(9_000));
    let removed = batch(vec![change("a", 4, None), change("b", 5, None)], 5);
    assert!(!registry.apply(Millis(9_010), Topic::Targets, &removed));
    assert_eq!(names(&registry), ["a", "b"]);
    let relisted = batch(vec![change("a", 6, Some("a"))], 6);
    registry.apply(Millis(10_500), Topic::Targets, &relisted);
    assert!(!registry.tick(Millis(11_000)));
    assert!(registry.tick(registry.next_deadline()));
    assert_eq!(names(&registry), ["a"]);
}

#[test]
fn the_grace_period_after_an_outage_ends_well_before_three_seconds() {
    let mut registry = registry();
    registry.record_outage(Millis(1_000));
    registry.record_recovery(Millis(9_000));
    let removed = batch(vec![change("a", 4, None)], 4);
    registry.apply(Millis(9_010), Topic::Targets, &removed);
    assert!(registry.next_deadline() < Millis(12_000));
}

#[test]
fn a_peer_that_the_platform_answers_confirms_a_removal() {
    let mut registry = registry();
    registry.record_outage(Millis(1_000));
    let removed = batch(vec![change("a", 4, None)], 4);
    assert!(registry.apply_peer(Millis(5_000), Topic::Targets, &removed));
    assert_eq!(names(&registry), ["b"]);
}

#[test]
fn a_peer_forwards_the_rest_of_its_grace_period() {
    let mut first = registry();
    first.record_outage(Millis(1_000));
    first.record_recovery(Millis(9_000));
    let removed = batch(vec![change("a", 4, None)], 4);
    first.apply(Millis(9_010), Topic::Targets, &removed);
    let updates = first.updates_since(Millis(9_500), Topic::Targets, 3);
    let mut second = registry();
    assert!(!second.apply_peer(Millis(100), Topic::Targets, &updates));
    assert_eq!(names(&second), ["a", "b"]);
    assert!(second.tick(second.next_deadline()));
    assert_eq!(names(&second), ["b"]);
}

#[test]
fn an_older_change_that_arrives_late_has_no_effect() {
    let mut registry = registry();
    let removed = batch(vec![change("a", 5, None)], 5);
    registry.apply(Millis(10), Topic::Targets, &removed);
    let older = batch(vec![change("a", 4, Some("a"))], 4);
    assert!(!registry.apply_peer(Millis(20), Topic::Targets, &older));
    assert_eq!(names(&registry), ["b"]);
    assert_eq!(registry.revision(Topic::Targets), Some(5));
}

#[test]
fn a_target_that_a_complete_batch_does_not_list_is_removed() {
    let mut registry = registry();
    let complete = Batch {
        whole: true,
        ..batch(vec![change("b", 3, Some("b"))], 8)
    };
    assert!(registry.apply(Millis(10), Topic::Targets, &complete));
    assert_eq!(names(&registry), ["b"]);
}

#[test]
fn a_stale_complete_batch_removes_no_newer_target() {
    let mut registry = registry();
    let newer = batch(vec![change("c", 9, Some("c"))], 9);
    registry.apply(Millis(5), Topic::Targets, &newer);
    let both = vec![change("a", 2, Some("a")), change("b", 3, Some("b"))];
    let stale = Batch {
        whole: true,
        ..batch(both, 8)
    };
    registry.apply(Millis(10), Topic::Targets, &stale);
    assert_eq!(names(&registry), ["a", "b", "c"]);
}

#[test]
fn an_unusable_entry_removes_its_target_and_no_other() {
    let mut registry = registry();
    let unusable = batch(vec![change("a", 4, None)], 4);
    registry.apply(Millis(10), Topic::Targets, &unusable);
    assert_eq!(names(&registry), ["b"]);
}

#[test]
fn a_peer_receives_only_the_changes_that_it_lacks() {
    let registry = registry();
    assert_eq!(
        registry
            .updates_since(Millis(5), Topic::Targets, 2)
            .changes
            .len(),
        1
    );
    assert!(
        registry
            .updates_since(Millis(5), Topic::Targets, 3)
            .changes
            .is_empty()
    );
    assert!(
        registry
            .updates_since(Millis(5), Topic::Rules, 1)
            .changes
            .is_empty()
    );
}

/// Returns a registry with `count` targets of three slots in each of two failure domains.
fn two_domains(count: u64) -> Registry {
    let mut registry = Registry::default();
    registry.apply(Millis(1), Topic::Rules, &rules(7, 1));
    let changes = (0..2 * count).map(|i| {
        let name = format!("t{i}");
        let mut service_target = service_target(&name);
        service_target.target.domain = ["lahore-1", "lahore-2"][(i % 2) as usize].to_owned();
        Change {
            item: Some(Item::Target(service_target)),
            ..change(&name, 2 + i, None)
        }
    });
    let batch = batch(changes.collect(), 2 + 2 * count);
    registry.apply(Millis(1), Topic::Targets, &batch);
    registry
}

#[test]
fn requests_stay_within_a_failure_domain_that_has_enough_targets() {
    let bundle = two_domains(10).bundle().unwrap();
    let cells = bundle.services[0].cells();
    let domains: Vec<_> = cells.keys().map(|c| c.domain.as_str()).collect();
    assert_eq!(domains, ["lahore-1", "lahore-2"]);
}

#[test]
fn few_targets_share_one_cell_whatever_their_failure_domains() {
    let bundle = two_domains(3).bundle().unwrap();
    let cells = bundle.services[0].cells();
    assert_eq!(cells.len(), 1);
    assert_eq!(cells.keys().next().unwrap().domain, "");
}

#[test]
fn cells_of_many_targets_share_the_burst_of_their_service() {
    let bundle = two_domains(50).bundle().unwrap();
    let service = &bundle.services[0];
    let cells = service.cells();
    assert_eq!(cells.len(), 4, "150 slots per domain exceed one cell");
    let total = bundle::Retry::default().burst;
    let shared = service.retry.burst * cells.len() as f64;
    assert!((shared - total).abs() < 1e-9);
}
