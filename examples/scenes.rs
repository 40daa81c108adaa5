//! Simulates faults in services of both users' sizes. Prints for how long gray targets get requests, and how often
//! healthy ones are ejected.
//!
//! `cargo run --release --example scenes -- SEEDS`

#[path = "../tests/testsuite/cell/scene.rs"]
mod scene;

use scene::{Fault, Report, Scene};

/// Returns the scene of the user whose low thresholds favour fast detection.
fn bagh() -> Scene {
    Scene {
        domains: 4,
        targets: 12,
        slots: 3,
        floor: 9,
        avoid: 2.0,
        eject: 6.0,
        load: 0.6,
        idempotent: 0.7,
        median: 50.0,
        spread: 0.4,
        gray: vec![0],
        fault: Fault::Stall,
        onset: 10_000,
        end: 40_000,
    }
}

/// Returns the scene of the user whose high thresholds favour few false ejections.
fn kozi() -> Scene {
    Scene {
        domains: 3,
        targets: 14,
        slots: 2,
        floor: 11,
        avoid: 4.0,
        eject: 14.0,
        ..bagh()
    }
}

/// Returns a scene for each family of faults and loads, with the family's name.
fn families(base: &Scene) -> Vec<(&'static str, Scene)> {
    let with = |fault| Scene {
        fault,
        ..base.clone()
    };
    let all: Vec<_> = (0..base.targets).collect();
    let domain: Vec<_> = (0..base.targets)
        .filter(|i| i % base.domains == 0)
        .collect();
    vec![
        (
            "healthy",
            Scene {
                gray: vec![],
                ..base.clone()
            },
        ),
        (
            "healthy-heavy-tail",
            Scene {
                gray: vec![],
                spread: 1.0,
                ..base.clone()
            },
        ),
        (
            "healthy-full",
            Scene {
                gray: vec![],
                load: 1.5,
                ..base.clone()
            },
        ),
        ("stall", with(Fault::Stall)),
        (
            "stall-quiet",
            Scene {
                load: 0.02,
                end: 300_000,
                ..base.clone()
            },
        ),
        (
            "stall-full",
            Scene {
                load: 1.5,
                ..base.clone()
            },
        ),
        (
            "stall-writes",
            Scene {
                idempotent: 0.0,
                ..base.clone()
            },
        ),
        ("slow-3x", with(Fault::Slow(3.0))),
        ("slow-10x", with(Fault::Slow(10.0))),
        ("fail-20%", with(Fault::Fail(0.2))),
        ("flap-2s", with(Fault::Flap(2_000))),
        (
            "flap-30s",
            Scene {
                end: 130_000,
                ..with(Fault::Flap(30_000))
            },
        ),
        (
            "domain-slow-5x",
            Scene {
                gray: domain,
                ..with(Fault::Slow(5.0))
            },
        ),
        (
            "all-slow-3x",
            Scene {
                gray: all.clone(),
                ..with(Fault::Slow(3.0))
            },
        ),
        (
            "all-stall",
            Scene {
                gray: all.clone(),
                ..with(Fault::Stall)
            },
        ),
        (
            "all-fail-50%",
            Scene {
                gray: all,
                ..with(Fault::Fail(0.5))
            },
        ),
        (
            "two-stall",
            Scene {
                gray: vec![0, 1],
                floor: base.targets - 1,
                ..base.clone()
            },
        ),
    ]
}

fn main() {
    let seeds = std::env::args()
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(20);
    println!(
        "user family last_p50 last_p99 late harmed wrong right avoided retries refused arrived (sums over {seeds} seeds)"
    );
    for (user, base) in [("bagh", bagh()), ("kozi", kozi())] {
        for (family, scene) in families(&base) {
            if std::env::var("ONLY").is_ok_and(|o| o != format!("{user}-{family}")) {
                continue;
            }
            print(user, family, &simulate_all(&scene, seeds));
        }
    }
}

/// Simulates a scene with each seed below `seeds`, on several threads.
fn simulate_all(scene: &Scene, seeds: u64) -> Vec<Report> {
    let threads = 4;
    std::thread::scope(|scope| {
        let parts: Vec<_> = (0..threads)
            .map(|t| {
                let part = move || {
                    (t..seeds)
                        .step_by(threads as usize)
                        .map(|s| scene::simulate(scene, s))
                        .collect::<Vec<_>>()
                };
                scope.spawn(part)
            })
            .collect();
        parts
            .into_iter()
            .flat_map(|p| p.join().expect("a simulation panicked"))
            .collect()
    })
}

/// Prints one line with the totals of all reports, and percentiles of the time of the last grant.
fn print(user: &str, family: &str, reports: &[Report]) {
    let mut last: Vec<_> = reports.iter().map(|r| r.last_grant).collect();
    last.sort_unstable();
    let at = |share: f64| last[((last.len() - 1) as f64 * share).ceil() as usize];
    let sum = |f: fn(&Report) -> usize| reports.iter().map(f).sum::<usize>();
    println!(
        "{user} {family} {} {} {} {} {} {} {} {} {} {}",
        at(0.5),
        at(0.99),
        sum(|r| r.late_grants),
        sum(|r| r.harmed),
        sum(|r| r.false_ejections),
        sum(|r| r.true_ejections),
        sum(|r| r.avoided),
        sum(|r| r.retries),
        sum(|r| r.refused),
        sum(|r| r.arrived),
    );
}
