//! Quotas over several homes and holders: what runs in any window, and what is refused.

use peridotspread::coordination::quota::{Blocks, Limit};
use peridotspread::state::clock::Millis;

use world::{BEGIN, World};

mod daemon;
mod world;

const SEEDS: u64 = 5;
const HOMES: usize = 100;

/// Runs a scene with each seed for organisations of a small, a middle and a large limit.
fn each(scene: impl Fn(&mut World, &str, Limit)) {
    for seed in 1..=SEEDS {
        for (rate, burst) in [(3.0, 3.0), (40.0, 10.0), (379.0, 379.0)] {
            let mut world = World::new(HOMES, seed);
            world.limit("o", rate, burst);
            let limit = Limit { rate, burst };
            scene(&mut world, "o", limit);
            let excess = world.excess("o", limit);
            assert!(excess <= 0.0, "{excess} too many, seed {seed}, rate {rate}");
        }
    }
}

/// Requests that go ahead of their tokens at each home would pass the quota of a small organisation.
#[test]
fn seven_times_the_usual_rate_over_all_homes_stays_within_the_quota() {
    each(|world, o, limit| {
        world.send(o, limit.rate * 0.7, 0..HOMES, BEGIN..10_000);
        world.send(o, limit.rate * 4.9, 0..HOMES, 10_000..25_000);
        world.run(25_000, &[]);
        let runs = world.runs_between(o, 12_000..25_000) as f64;
        let quota = limit.rate * 13.0;
        assert!(
            runs > quota * 0.85,
            "{runs} of {quota} runs, rate {}",
            limit.rate
        );
    });
}

/// Tokens that lie at the homes of cells without callers would be missed at the others.
#[test]
fn tokens_follow_callers_that_move_to_other_cells() {
    each(|world, o, limit| {
        world.send(o, limit.rate * 0.7, 0..20, BEGIN..12_000);
        world.send(o, limit.rate * 0.7, 40..60, 12_000..24_000);
        world.run(24_000, &[]);
        let refused = world.refused_share();
        assert!(refused < 0.02, "{refused} refused, rate {}", limit.rate);
    });
}

/// A bucket with the burst of a small organisation alone is empty too often for requests at random times.
#[test]
fn quiet_organisations_are_not_refused() {
    for seed in 1..=SEEDS {
        let mut world = World::new(HOMES, seed);
        for n in 0..300 {
            let name = format!("o{n}");
            world.limit(&name, 3.0, 3.0);
            world.send(&name, 1.8, 0..HOMES, BEGIN..20_000);
        }
        world.run(20_000, &[]);
        let refused = world.refused_share();
        assert!(refused < 1.0 / 200.0, "{refused} refused, seed {seed}");
        let waits: Vec<_> = world.counts.values().flat_map(|c| &c.waits).collect();
        let mean = waits.iter().copied().sum::<u64>() as f64 / waits.len() as f64;
        assert!(mean < 30.0, "a mean wait of {mean} ms, seed {seed}");
        println!(
            "seed {seed}: refused {refused:.4}, mean wait {mean:.1} ms, {} messages for {} requests",
            world.messages,
            waits.len()
        );
    }
}

/// A large organisation whose homes ask for each request would cost a message per request.
#[test]
fn steady_organisations_cost_fewer_messages_than_requests() {
    for seed in 1..=SEEDS {
        let mut world = World::new(HOMES, seed);
        for n in 0..20 {
            let name = format!("o{n}");
            world.limit(&name, 200.0, 200.0);
            world.send(&name, 130.0, 0..20, BEGIN..15_000);
        }
        world.run(15_000, &[]);
        let requests: usize = world.counts.values().map(|c| c.runs.len()).sum();
        let share = world.messages as f64 / requests as f64;
        println!(
            "seed {seed}: {share:.3} messages per request, refused {:.4}",
            world.refused_share()
        );
        assert!(share < 0.5, "{share} messages per request, seed {seed}");
        assert!(world.refused_share() < 1.0 / 200.0);
    }
}

/// Repeated requests for tokens whose replies are lost would hand out the same tokens many times.
#[test]
fn a_link_cut_in_one_direction_hands_out_no_tokens_twice() {
    each(|world, o, limit| {
        let holder = world.holder(0, o);
        world.send(o, limit.rate * 4.9, 0..HOMES, BEGIN..20_000);
        let from_holder = |w: &mut World| w.cuts.extend((0..40).map(|n| (holder, n)));
        let to_holder = |w: &mut World| w.cuts.extend((40..60).map(|n| (n, holder)));
        world.run(20_000, &[(6_000, &from_holder), (9_000, &to_holder)]);
        let runs = world.runs_between(o, 12_000..20_000) as f64;
        assert!(
            runs > limit.rate * 8.0 * 0.7,
            "{runs} runs, rate {}",
            limit.rate
        );
    });
}

/// Both sides of a cut would hand out the whole quota, each from a holder of its own.
#[test]
fn both_sides_of_a_cut_stay_within_the_quota_together() {
    each(|world, o, limit| {
        world.send(o, limit.rate * 4.9, 0..HOMES, BEGIN..40_000);
        let cut = |w: &mut World| {
            for a in 0..35 {
                w.cuts.extend((35..HOMES).flat_map(|b| [(a, b), (b, a)]));
            }
        };
        let (low, high): (Vec<_>, Vec<_>) = ((0..35).collect(), (35..HOMES).collect());
        let seen_low = |w: &mut World| w.see(&low, &low);
        let seen_high = |w: &mut World| w.see(&high, &high);
        let healed = |w: &mut World| {
            w.cuts.clear();
            let all: Vec<_> = (0..HOMES).collect();
            w.see(&all, &all);
        };
        let steps: [world::Step<'_>; 4] = [
            (12_000, &cut),
            (13_500, &seen_low),
            (14_200, &seen_high),
            (28_000, &healed),
        ];
        world.run(40_000, &steps);
    });
}

/// A new holder that starts with a full bucket adds a burst to the tokens that homes still have.
#[test]
fn deaths_of_holders_and_homes_stay_within_the_quota_and_last_shortly() {
    each(|world, o, limit| {
        world.send(o, limit.rate * 0.7, 0..HOMES, BEGIN..14_000);
        world.send(o, limit.rate * 4.9, 0..HOMES, 14_000..30_000);
        let first = world.holder(0, o);
        let alive: Vec<_> = (0..HOMES).filter(|n| *n != first).collect();
        let kill = |w: &mut World| w.kill(first);
        let seen = |w: &mut World| w.see(&alive, &alive);
        let restart = |w: &mut World| w.restart(first);
        let all: Vec<_> = (0..HOMES).collect();
        let seen_all = |w: &mut World| w.see(&all, &all);
        let homes = |w: &mut World| (10..15).for_each(|n| w.kill(n));
        let steps: [world::Step<'_>; 9] = [
            (12_000, &kill),
            (12_800, &seen),
            (17_000, &restart),
            (17_400, &seen_all),
            (20_000, &kill),
            (20_800, &seen),
            (23_000, &restart),
            (23_500, &seen_all),
            (24_000, &homes),
        ];
        world.run(30_000, &steps);
        let runs = world.runs_between(o, 14_000..30_000) as f64;
        assert!(
            runs > limit.rate * 16.0 * 0.7,
            "{runs} runs, rate {}",
            limit.rate
        );
    });
}

/// Two daemons that each take themselves for the holder would hand out the rate twice.
#[test]
fn two_membership_views_stay_within_the_quota() {
    each(|world, o, limit| {
        world.send(o, limit.rate * 4.9, 0..HOMES, BEGIN..24_000);
        let holder = world.holder(0, o);
        let others: Vec<_> = (0..HOMES).filter(|n| *n != holder).collect();
        let half: Vec<_> = others.iter().copied().take(HOMES / 2).collect();
        let all: Vec<_> = (0..HOMES).collect();
        let differ = |w: &mut World| w.see(&half, &others);
        let agree = |w: &mut World| w.see(&all, &all);
        world.run(24_000, &[(14_000, &differ), (15_000, &agree)]);
    });
}

/// Each daemon of a starting fleet first sees only itself, and would hold the quotas of all organisations.
#[test]
fn a_start_of_all_daemons_stays_within_the_quota() {
    each(|world, o, limit| {
        for n in 0..HOMES {
            world.see(&[n], &[n]);
        }
        world.send(o, limit.rate * 4.9, 0..HOMES, 0..12_000);
        let all: Vec<_> = (0..HOMES).collect();
        let some = |w: &mut World| {
            for start in (0..HOMES).step_by(10) {
                let seen: Vec<_> = (start..start + 10).collect();
                w.see(&seen, &seen);
            }
        };
        let most: Vec<_> = (0..90).collect();
        let seen_most = |w: &mut World| w.see(&most, &most);
        let seen_all = |w: &mut World| w.see(&all, &all);
        world.run(12_000, &[(200, &some), (500, &seen_most), (900, &seen_all)]);
        let runs = world.runs_between(o, 2_000..12_000) as f64;
        assert!(
            runs > limit.rate * 10.0 * 0.8,
            "{runs} runs, rate {}",
            limit.rate
        );
    });
}

/// Tokens of a former, higher limit would be spent under the lower one; a block of the former would outlive a raise.
#[test]
fn a_lower_limit_binds_after_one_window_and_a_higher_one_at_once() {
    for seed in 1..=SEEDS {
        let mut world = World::new(HOMES, seed);
        world.limit("o", 300.0, 300.0);
        world.send("o", 600.0, 0..HOMES, BEGIN..25_000);
        let lower = |w: &mut World| w.limit("o", 30.0, 30.0);
        let raise = |w: &mut World| w.limit("o", 300.0, 300.0);
        world.run(25_000, &[(8_000, &lower), (18_000, &raise)]);
        let runs = world.runs_between("o", 13_000..18_000) as f64;
        assert!(runs <= (30.0 * 5.0 + 30.0) * 1.1 + 20.0, "{runs} runs");
        let runs = world.runs_between("o", 18_300..20_300) as f64;
        assert!(runs >= 300.0 * 2.0 * 0.9, "{runs} runs after the raise");
    }
}

/// An entry that kept a block past a raise of the limit would refuse requests within the quota.
#[test]
fn an_entry_refuses_by_itself_until_there_is_room_or_the_limit_changes() {
    let limit = Limit {
        rate: 3.0,
        burst: 3.0,
    };
    let raised = Limit {
        rate: 30.0,
        burst: 3.0,
    };
    let mut blocks = Blocks::default();
    blocks.insert(Millis(1_000), ("o", "web"), limit, Millis(400));
    assert_eq!(
        blocks.refuse(Millis(1_100), ("o", "web"), limit),
        Some(Millis(300))
    );
    assert_eq!(blocks.refuse(Millis(1_100), ("o", "other"), limit), None);
    assert_eq!(blocks.refuse(Millis(1_100), ("o", "web"), raised), None);
    assert_eq!(blocks.refuse(Millis(1_400), ("o", "web"), limit), None);
    assert_eq!(blocks.take_refused(Millis(1_500))[0].refused, 1);
    assert!(blocks.take_refused(Millis(1_500)).is_empty());
}
