//! What a whole fleet costs and how fast it acts, with daemons as processes.

use std::time;

use peridotspread::state::clock;
use serde::Serialize;

use super::{quantile_ms, round};
use crate::demo;
use crate::fleet::{self, sizes};
use crate::load;
use crate::trial;

/// What is measured.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The number of daemons.
    pub daemons: usize,
    /// The number of failure domains.
    pub domains: usize,
    /// The services.
    pub services: Vec<sizes::Service>,
    /// How long the fleet is watched at rest.
    pub rest: time::Duration,
    /// Rollouts that are timed.
    pub rollouts: usize,
    /// Kills that are timed.
    pub kills: usize,
    /// The seed.
    pub seed: u64,
}

/// What was measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// The number of daemons.
    pub daemons: usize,
    /// From an accepted rollout until the bundle was in force, over all rollouts and daemons.
    #[serde(rename = "rollout_p99_ms")]
    pub rollout: f64,
    /// From a kill until a daemon no longer saw the killed one alive, over all kills and daemons.
    #[serde(rename = "member_detect_p99_ms")]
    pub detect: f64,
    /// Bytes that a daemon sends to others in a second at rest, without what UDP and IP add.
    #[serde(rename = "control_bytes_s")]
    pub bytes: f64,
    /// The share of a core that a daemon takes at rest, in percent.
    #[serde(rename = "control_cpu_pct")]
    pub cpu: f64,
    /// Resident memory of a daemon, in mebibytes.
    pub rss_mb: f64,
    /// The table's reads and scans a second at rest, of the whole fleet.
    #[serde(rename = "table_reads_s")]
    pub reads: f64,
    /// The table's transactions a second at rest, of the whole fleet.
    #[serde(rename = "table_writes_s")]
    pub writes: f64,
    /// From the kill of a failure domain at once until the last request that was not served.
    pub recovery_ms: u64,
}

/// Measures a fleet and tells how it goes.
///
/// # Errors
///
/// Returns an error if the fleet can't be built or led.
pub async fn run(options: &Options) -> Result<Outcome, fleet::Error> {
    let start = time::Instant::now();
    let mut fleet = fleet::builder("measure")
        .daemons(options.daemons)
        .domains(options.domains)
        .services(&options.services)
        .seed(options.seed)
        .relayed()
        .build()
        .await?;
    println!(
        "{} daemons stand after {:.1} s",
        options.daemons,
        start.elapsed().as_secs_f64()
    );
    let mut outcome = Outcome {
        daemons: options.daemons,
        ..at_rest(&fleet, options.rest).await
    };
    outcome.rollout = rollouts(&mut fleet, options.rollouts).await?;
    outcome.detect = kills(&mut fleet, options.kills).await?;
    outcome.recovery_ms = recovery(fleet, options).await?;
    Ok(outcome)
}

async fn at_rest(fleet: &fleet::Fleet, span: time::Duration) -> Outcome {
    let sent = || fleet.relay.as_ref().map_or(0, |r| r.bytes());
    let (usage, bytes) = (fleet.usage(), sent());
    let table = fleet.platform.report().counters;
    let start = time::Instant::now();
    tokio::time::sleep(span).await;
    let seconds = start.elapsed().as_secs_f64();
    let (usage_now, bytes_now) = (fleet.usage(), sent());
    let table_now = fleet.platform.report().counters;
    let daemons = fleet.running().count() as f64;
    let reads = (table_now.reads + table_now.scans) - (table.reads + table.scans);
    let outcome = Outcome {
        bytes: round((bytes_now - bytes) as f64 / seconds / daemons),
        cpu: round((usage_now.cpu_s - usage.cpu_s) / seconds / daemons * 100.0),
        rss_mb: round(usage_now.rss as f64 / daemons / f64::from(1 << 20)),
        reads: round(reads as f64 / seconds),
        writes: round((table_now.commits - table.commits) as f64 / seconds),
        ..Outcome::default()
    };
    println!(
        "at rest a daemon sends {} B/s, takes {} % of a core and {} MB; the table has {} reads/s and {} writes/s",
        outcome.bytes, outcome.cpu, outcome.rss_mb, outcome.reads, outcome.writes
    );
    outcome
}

async fn rollouts(fleet: &mut fleet::Fleet, count: usize) -> Result<f64, fleet::Error> {
    let mut spans = Vec::new();
    for _ in 0..count {
        let mut next = fleet.bundle.clone();
        next.version += 1;
        fleet.roll_out(&next).await?;
        spans.extend(fleet.wait_until_in_force(next.version).await?.list);
    }
    let p99 = quantile_ms(&mut spans, 0.99);
    println!(
        "{count} rollouts were in force within {} ms at half of the daemons, {p99} ms at 99 in 100",
        quantile_ms(&mut spans, 0.5)
    );
    Ok(p99)
}

async fn kills(fleet: &mut fleet::Fleet, count: usize) -> Result<f64, fleet::Error> {
    let mut spans = Vec::new();
    let names: Vec<_> = fleet.daemons.keys().take(count).cloned().collect();
    for name in &names {
        fleet.kill(name).await?;
        spans.extend(fleet.wait_until_seen_as(name, &["suspect"]).await?.list);
        fleet.start(name)?;
        fleet.wait_until_settled().await?;
    }
    let p99 = quantile_ms(&mut spans, 0.99);
    println!(
        "{count} killed daemons were no longer seen alive within {} ms by half of the others, {p99} ms by 99 in 100",
        quantile_ms(&mut spans, 0.5)
    );
    Ok(p99)
}

/// Kills a failure domain under a light load, and returns when the last request was not served.
async fn recovery(fleet: fleet::Fleet, options: &Options) -> Result<u64, fleet::Error> {
    const RATE: f64 = 200.0;
    const MORE: u64 = 200;
    let kinds = options
        .services
        .iter()
        .map(|s| load::Kind::get(&s.name, &format!("/{}/list", s.name), 1.0));
    let plan = load::Plan {
        seed: options.seed,
        rate: RATE,
        kinds: kinds.collect(),
        callers: demo::callers(),
        deadline: clock::Millis(2_000),
        resends: 0,
        proto: load::Proto::Http1,
        name: "recovery".to_owned(),
    };
    let services: Vec<_> = options.services.iter().map(|s| s.name.clone()).collect();
    let mut trial = trial::Trial::start(fleet, &plan);
    for service in &services {
        trial.wait_served(service, MORE).await?;
    }
    let at = trial.fleet.clock.now();
    trial.fleet.kill_domain("fd-1").await?;
    trial.fleet.wait_until_settled().await?;
    for service in &services {
        trial.wait_served(service, MORE).await?;
    }
    let (counts, _fleet) = trial.finish().await;
    let failed = counts.report.attempts.iter();
    let failed = failed.filter(|a| a.at >= at && a.result != load::Result::Served);
    let last = failed.map(|a| a.at).max().unwrap_or(at);
    let total = &counts.report.total;
    println!(
        "a failure domain was killed at once: the last request not served ended {} ms later; {} of {} were served",
        (last - at).0,
        total.served,
        total.sent
    );
    Ok((last - at).0)
}
