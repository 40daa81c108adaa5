//! Large rules in a fleet whose daemons have slow links.

use std::collections::BTreeSet;

use peridotspread::state::clock::Millis;

use super::world::{Failure, Scene, delay};
use super::{IDLE, scene, setting};

/// The `config_apply_ms` of the platform's deployments whose hosts have such links.
const APPLY: Millis = Millis(2_500);
/// 10 Mbit/s, in bytes per millisecond.
const SLOW_LINK: u64 = 1_250;
/// When the change is confirmed; the daemons have had the first rules for some seconds.
const CHANGED_AT: u64 = 8_000;

fn slow_fleet(routes: (usize, usize)) -> Scene {
    let daemons = setting("LATE_CHANGES_DAEMONS", 48);
    Scene {
        routes,
        link: Some((Millis(CHANGED_AT - 1_000), SLOW_LINK)),
        failed_at: Millis::MAX,
        ..scene(daemons, Failure::Silent, BTreeSet::new(), IDLE)
    }
}

async fn assert_in_time(scene: &Scene) {
    for seed in 0..setting("LATE_CHANGES_SEEDS", 2) as u64 {
        let change = delay(scene, Millis(CHANGED_AT + 370 * seed), seed).await;
        println!("{:?} routes: {}, seed {seed}", scene.routes, change.slowest);
        assert!(
            change.slowest < APPLY,
            "in force at {} after {}, at most {APPLY} allowed, seed {seed}",
            change.name,
            change.slowest
        );
    }
}

/// Guards against a change of one route that sends all rules to each daemon: the link of a reader, on which all daemons
/// of its failure domain wait, passes one copy per second.
#[tokio::test(start_paused = true)]
async fn a_change_of_one_of_many_routes_is_in_force_in_time_where_links_are_slow() {
    assert_in_time(&slow_fleet((2_800, 2_800))).await;
}

/// Guards against polls that give up a reply while it arrives, and request it anew on the same link.
#[tokio::test(start_paused = true)]
async fn many_new_routes_are_in_force_in_time_where_links_are_slow() {
    assert_in_time(&slow_fleet((2_800, 4_200))).await;
}
