//! Changes of rules between daemons: with the rules that it holds, a peer gets the same rules as the sender.

use peridotspread::coordination::registry::Registry;
use peridotspread::protocol::source::{Batch, Change, Item, Topic};
use peridotspread::state::bundle;
use peridotspread::state::clock::Millis;

use crate::cell::scene::Random;

fn below(random: &mut Random, bound: usize) -> usize {
    (random.unit() * bound as f64) as usize
}

fn route(prefix: usize, timeout: u64) -> bundle::Route {
    bundle::Route {
        host: (!prefix.is_multiple_of(5)).then(|| format!("host{}.example", prefix % 3)),
        prefix: format!("/{prefix}/"),
        timeout_ms: Some(Millis(timeout)),
        ..bundle::Route::default()
    }
}

fn rules_batch(version: u64, routes: &[bundle::Route]) -> Batch {
    let rules = bundle::Bundle {
        version,
        routes: routes.to_vec(),
        ..bundle::Bundle::default()
    };
    Batch {
        changes: vec![Change {
            topic: Topic::Rules,
            key: String::new(),
            revision: version * 10,
            item: Some(Item::Rules(Box::new(rules))),
            grace: Millis::ZERO,
        }],
        revision: version * 10,
        whole: false,
    }
}

fn sorted_routes(registry: &Registry) -> Vec<bundle::Route> {
    let batch = registry.updates_since(Millis::ZERO, Topic::Rules, 0);
    let rules = batch.changes.into_iter().find_map(|c| match c.item {
        Some(Item::Rules(rules)) => Some(rules.routes),
        _ => None,
    });
    let mut routes = rules.unwrap_or_default();
    routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
    routes
}

/// Sends what is newer than the rules of `to`, and returns the number of routes that were sent.
fn update(from: &Registry, to: &mut Registry) -> usize {
    let since = to.revision(Topic::Rules).unwrap_or_default();
    let mut batch = from.updates_since(Millis::ZERO, Topic::Rules, since);
    let change = from.reduce_rules(to.rules_revision(), &mut batch);
    let sent = batch.changes.iter().find_map(|c| match &c.item {
        Some(Item::Rules(rules)) => Some(rules.routes.len()),
        _ => None,
    });
    if let Some(change) = change {
        assert!(to.complete_rules(&change, &mut batch));
    }
    to.apply_peer(Millis::ZERO, Topic::Rules, &batch);
    sent.unwrap_or_default()
}

/// Guards against routes that are lost or kept where a peer misses some of the versions, since they were added, changed,
/// removed or added again meanwhile.
#[test]
fn a_peer_that_misses_versions_has_the_same_routes_after_the_next_change() {
    for seed in 0..50 {
        let mut random = Random(seed);
        let (mut reader, mut peer) = (Registry::default(), Registry::default());
        let mut routes: Vec<_> = (0..40).map(|i| route(i, 1)).collect();
        for version in 1..30 {
            for _ in 0..below(&mut random, 4) {
                let number = below(&mut random, 60);
                routes.retain(|r| r.prefix != format!("/{number}/"));
                if random.unit() < 0.7 {
                    routes.push(route(number, version));
                }
            }
            reader.apply(Millis::ZERO, Topic::Rules, &rules_batch(version, &routes));
            if random.unit() < 0.4 {
                update(&reader, &mut peer);
                assert_eq!(
                    sorted_routes(&peer),
                    sorted_routes(&reader),
                    "seed {seed}, version {version}"
                );
            }
        }
    }
}

#[test]
fn a_change_of_one_route_sends_that_route_only() {
    let (mut reader, mut peer) = (Registry::default(), Registry::default());
    let mut routes: Vec<_> = (0..1_000).map(|i| route(i, 1)).collect();
    reader.apply(Millis::ZERO, Topic::Rules, &rules_batch(1, &routes));
    assert_eq!(update(&reader, &mut peer), 1_000);
    routes[500] = route(500, 2);
    reader.apply(Millis::ZERO, Topic::Rules, &rules_batch(2, &routes));
    assert_eq!(update(&reader, &mut peer), 1);
    assert_eq!(sorted_routes(&peer), sorted_routes(&reader));
}

/// Guards against a part of rules that is applied to other rules than it was made for: two polls were in flight.
#[test]
fn a_part_of_rules_is_refused_by_a_daemon_that_holds_other_rules() {
    let (mut reader, mut peer) = (Registry::default(), Registry::default());
    let mut routes: Vec<_> = (0..10).map(|i| route(i, 1)).collect();
    reader.apply(Millis::ZERO, Topic::Rules, &rules_batch(1, &routes));
    update(&reader, &mut peer);
    routes.remove(3);
    reader.apply(Millis::ZERO, Topic::Rules, &rules_batch(2, &routes));
    let mut late = reader.updates_since(Millis::ZERO, Topic::Rules, 10);
    let change = reader.reduce_rules(10, &mut late).unwrap();
    update(&reader, &mut peer);
    assert!(!peer.complete_rules(&change, &mut late));
    assert!(!Registry::default().complete_rules(&change, &mut late));
}

/// Guards against routes of a host that are mixed up where rules state a prefix twice.
#[test]
fn rules_with_a_route_twice_are_sent_complete() {
    let (mut reader, mut peer) = (Registry::default(), Registry::default());
    reader.apply(Millis::ZERO, Topic::Rules, &rules_batch(1, &[route(1, 1)]));
    update(&reader, &mut peer);
    let twice = [route(1, 1), route(1, 2)];
    reader.apply(Millis::ZERO, Topic::Rules, &rules_batch(2, &twice));
    assert_eq!(update(&reader, &mut peer), 2);
    assert_eq!(sorted_routes(&peer), twice);
}
