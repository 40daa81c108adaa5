//! Measurement of the cost and the reaction times of a fleet of daemon processes.

use std::time;

use peridotspread::state::clock;
use serde::Serialize;

use super::{quantile_ms, round};
use crate::demo;
use crate::fleet::{self, sizes};
use crate::load;
use crate::trial;

/// Options of [`run`].
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The number of daemons.
    pub daemons: usize,
    /// The number of failure domains.
    pub domains: usize,
    /// The services.
    pub services: Vec<sizes::Service>,
    /// The time for which the idle fleet is measured.
    pub rest: time::Duration,
    /// The number of rollouts to time.
    pub rollouts: usize,
    /// The number of kills to time.
    pub kills: usize,
    /// The seed of service times and of the load.
    pub seed: u64,
}

/// The results of the measurement.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// The number of daemons.
    pub daemons: usize,
    /// The time from an accepted rollout until the bundle was in force: the 99th percentile over all rollouts and
    /// daemons, in milliseconds.
    #[serde(rename = "rollout_p99_ms")]
    pub rollout: f64,
    /// The time from a kill until another daemon no longer saw the killed one as alive: the 99th percentile over all
    /// kills and daemons, in milliseconds.
    #[serde(rename = "member_detect_p99_ms")]
    pub detect: f64,
    /// The number of bytes that an idle daemon sends to other daemons per second, without UDP and IP headers.
    #[serde(rename = "control_bytes_s")]
    pub bytes: f64,
    /// The processor time of an idle daemon, in percent of one core.
    #[serde(rename = "control_cpu_pct")]
    pub cpu: f64,
    /// The resident memory of a daemon, in mebibytes.
    pub rss_mb: f64,
    /// The number of reads and scans of the platform's table per second by the whole idle fleet.
    #[serde(rename = "table_reads_s")]
    pub reads: f64,
    /// The number of transactions of the platform's table per second by the whole idle fleet.
    #[serde(rename = "table_writes_s")]
    pub writes: f64,
    /// The time from the kill of a failure domain until the end of the last request that was not served, in
    /// milliseconds.
    pub recovery_ms: u64,
}

/// Measures a fleet and prints intermediate results.
///
/// # Errors
///
/// Returns an error if the fleet cannot be built or controlled.
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
        "{} daemons started within {:.1} s",
        options.daemons,
        start.elapsed().as_secs_f64()
    );
    let mut outcome = Outcome {
        daemons: options.daemons,
        ..measure_idle(&fleet, options.rest).await
    };
    outcome.rollout = time_rollouts(&mut fleet, options.rollouts).await?;
    outcome.detect = time_kills(&mut fleet, options.kills).await?;
    outcome.recovery_ms = measure_recovery(fleet, options).await?;
    Ok(outcome)
}

async fn measure_idle(fleet: &fleet::Fleet, span: time::Duration) -> Outcome {
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
        "at rest, a daemon sends {} B/s and uses {} % of a core and {} MB of memory; \
         the table serves {} reads/s and {} writes/s",
        outcome.bytes, outcome.cpu, outcome.rss_mb, outcome.reads, outcome.writes
    );
    outcome
}

async fn time_rollouts(fleet: &mut fleet::Fleet, count: usize) -> Result<f64, fleet::Error> {
    let mut spans = Vec::new();
    for _ in 0..count {
        let mut next = fleet.bundle.clone();
        next.version += 1;
        fleet.roll_out(&next).await?;
        spans.extend(fleet.wait_until_in_force(next.version).await?.list);
    }
    let p99 = quantile_ms(&mut spans, 0.99);
    println!(
        "{count} rollouts: the bundle was in force after {} ms (p50) and {p99} ms (p99)",
        quantile_ms(&mut spans, 0.5)
    );
    Ok(p99)
}

async fn time_kills(fleet: &mut fleet::Fleet, count: usize) -> Result<f64, fleet::Error> {
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
        "{count} kills: the other daemons detected the failure after {} ms (p50) and {p99} ms (p99)",
        quantile_ms(&mut spans, 0.5)
    );
    Ok(p99)
}

/// Kills a failure domain under a light load and returns the time until the end of the last request that was not
/// served, in milliseconds.
async fn measure_recovery(fleet: fleet::Fleet, options: &Options) -> Result<u64, fleet::Error> {
    const RATE: f64 = 200.0;
    const REQUESTS: u64 = 200;
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
        trial.wait_served(service, REQUESTS).await?;
    }
    let killed = trial.fleet.clock.now();
    trial.fleet.kill_domain("fd-1").await?;
    trial.fleet.wait_until_settled().await?;
    for service in &services {
        trial.wait_served(service, REQUESTS).await?;
    }
    let (counts, _fleet) = trial.finish().await;
    let failed = counts.report.attempts.iter();
    let failed = failed.filter(|a| a.at >= killed && a.result != load::Result::Served);
    let last = failed.map(|a| a.at).max().unwrap_or(killed);
    let total = &counts.report.total;
    println!(
        "kill of a failure domain: the last request that was not served ended {} ms later; \
         {} of {} requests were served",
        (last - killed).0,
        total.served,
        total.sent
    );
    Ok((last - killed).0)
}
