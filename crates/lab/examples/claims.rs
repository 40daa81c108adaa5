//! Measures the latency and the platform writes of claims of idempotency keys, against the platform's stand-in.
//!
//! The stand-in has a limited write rate and a fixed latency. Each daemon is one claims actor in this process. The
//! example prints one JSON object per combination of daemon count and claim rate.

use std::net;
use std::sync;
use std::time;

use peridotspread::coordination::member;
use peridotspread::daemon::claims::{self, ClaimResult, Claims};
use peridotspread::state::clock;
use peridotspread::state::ids;
use peridotspread::state::settings;
use peridotspread::state::timeline;
use peridotspread::transport::platform::HttpPlatform;
use peridotspread_lab::platform as stand_in;

/// The maximum number of writes per second at the stand-in.
const WRITES_S: u32 = 400;

/// The latency of calls to the stand-in, in milliseconds.
const LATENCY_MS: u64 = 5;

/// The duration of each measurement.
const DURATION: time::Duration = time::Duration::from_secs(5);

#[tokio::main]
async fn main() {
    for (daemons, rate) in [(12, 120), (46, 120), (46, 460), (46, 2_000), (150, 2_000)] {
        measure(daemons, rate).await;
    }
}

/// Claims `rate` keys per second through `daemons` claims actors and prints the result.
async fn measure(daemons: u64, rate: u64) {
    let loopback = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let options = stand_in::Options {
        writes_s: WRITES_S,
        slow_ms: LATENCY_MS,
        ..stand_in::Options::default()
    };
    let (address, handle) = stand_in::serve(loopback, options).await;
    let names: Vec<_> = (0..daemons).map(|n| format!("entry-{n}")).collect();
    let (_sender, view) = tokio::sync::watch::channel(sync::Arc::new(member_view(&names)));
    let mut actors = Vec::new();
    for name in &names {
        let options = claims::Options {
            name: name.clone(),
            clock: clock::Clock::start(),
            platform: sync::Arc::new(HttpPlatform::new(&settings::Platform {
                address,
                timeout_ms: clock::Millis(1_000),
            })),
            members: view.clone(),
            recorder: sync::Arc::new(timeline::Recorder::new(name, ids::Incarnation(1))),
        };
        actors.push(claims::spawn(options).await.expect("the actor starts"));
    }
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let before = handle.report().counters;
    let mut tasks = Vec::new();
    let mut ticks = tokio::time::interval(time::Duration::from_micros(1_000_000 / rate));
    let start = time::Instant::now();
    while start.elapsed() < DURATION {
        ticks.tick().await;
        let n = tasks.len();
        let actor = actors[n.wrapping_mul(7) % actors.len()].clone();
        tasks.push(tokio::spawn(async move {
            let key = format!("key-{n}");
            let since = time::Instant::now();
            let claimed = actor.claim(&["a", "b"], &key, ids::Fingerprint(1)).await;
            (matches!(claimed, ClaimResult::Fresh(_)), since.elapsed())
        }));
    }
    let count = tasks.len();
    let mut latencies = Vec::new();
    for task in tasks {
        let (fresh, latency) = task.await.expect("a claim ends");
        if fresh {
            latencies.push(latency.as_secs_f64() * 1_000.0);
        }
    }
    latencies.sort_by(f64::total_cmp);
    let quantile = |share: f64| latencies.get((latencies.len() as f64 * share) as usize);
    let counters = handle.report().counters;
    let summary = serde_json::json!({
        "daemons": daemons,
        "claims_s": rate,
        "claims": count,
        "fresh": latencies.len(),
        "p50_ms": quantile(0.5),
        "p99_ms": quantile(0.99),
        "writes_s": (counters.commits - before.commits) as f64 / DURATION.as_secs_f64(),
        "rows_a_write": (counters.rows - before.rows) as f64 / (counters.commits - before.commits) as f64,
        "limited": counters.limited - before.limited,
    });
    println!("{summary}");
}

/// Returns a membership view in which all `names` are alive.
fn member_view(names: &[String]) -> member::View {
    let member = member::Member {
        peer: "127.0.0.1:1".parse().expect("an address"),
        domain: "lahore-1".to_owned(),
        incarnation: ids::Incarnation(1),
        liveness: member::Liveness::Alive,
        version: 0,
    };
    let members = names.iter().map(|n| (n.clone(), member.clone()));
    member::View {
        members: members.collect(),
    }
}
