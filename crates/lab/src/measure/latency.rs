//! What the fleet adds to a request's time: the same load straight to the targets and through the fleet, in turns.
//!
//! Targets stand in one failure domain. Through a daemon of that domain a request takes one hop, through a daemon of the
//! other one it takes two. The loads are open-loop and counted from the scheduled arrival.

use std::sync;
use std::time;

use hdrhistogram::Histogram;
use peridotspread::state::clock;
use serde::Serialize;

use super::round;
use crate::demo;
use crate::fleet::{self, sizes};
use crate::load;

/// What is measured.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The length of one turn.
    pub turn: time::Duration,
    /// The turns of each way in a case.
    pub turns: usize,
    /// The loads, in percent of what the fleet carries.
    pub loads: Vec<u32>,
    /// The seed.
    pub seed: u64,
}

/// One case and what was added in it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Case {
    /// Daemons on the request's way.
    pub hops: u32,
    /// The protocol towards callers.
    pub proto: &'static str,
    /// The bytes of the answers' bodies.
    pub body_bytes: u64,
    /// The load in percent of what the fleet carries in this case.
    pub load_pct: u32,
    /// Added at half of the requests, in milliseconds.
    #[serde(rename = "added_p50_ms")]
    pub p50: f64,
    /// Added at 90 in 100.
    #[serde(rename = "added_p90_ms")]
    pub p90: f64,
    /// Added at 99 in 100.
    #[serde(rename = "added_p99_ms")]
    pub p99: f64,
    /// Added at 999 in 1,000.
    #[serde(rename = "added_p999_ms")]
    pub p999: f64,
    /// Requests a second.
    pub rate: f64,
    /// Requests that the fleet did not serve.
    pub failed: u64,
    /// Requests a second and core of the daemons on the way.
    pub core_rps: f64,
}

const SERVICE: &str = "prices";
const TARGETS: usize = 12;
/// More slots than any load fills: the slots' queue is not what is measured.
const SLOTS: usize = 64;
/// The median service time in milliseconds.
const MEDIAN_MS: f64 = 3.0;
/// The answers' bytes in the cases.
const BODIES: [u64; 2] = [512, 64 * 1024];
/// How long the rate that the fleet carries is searched for at each step.
const STEP: time::Duration = time::Duration::from_secs(1);
/// The first rate of the search, requests a second.
const FIRST_RATE: f64 = 500.0;
/// The factor between two rates of the search.
const GROWTH: f64 = 1.4;
/// A rate is carried while 99 in 100 requests take less than this.
const CARRIED: time::Duration = time::Duration::from_millis(50);
/// The quantiles that are reported.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// Measures all cases; `tell` gets each as it is done.
///
/// # Errors
///
/// Returns an error if the fleet can't be built.
pub async fn run(options: &Options, tell: impl Fn(&Case)) -> Result<(), fleet::Error> {
    let service = sizes::Service {
        median_ms: MEDIAN_MS,
        ..sizes::Service::new(SERVICE, TARGETS, SLOTS)
    };
    let fleet = fleet::builder("latency")
        .daemons(2)
        .domains(2)
        .targets_in(1)
        .services(&[service])
        .seed(options.seed)
        .build()
        .await?;
    for proto in [load::Proto::Http1, load::Proto::Http2] {
        for bytes in BODIES {
            for (hops, entry) in [(1, "d000"), (2, "d001")] {
                let bench = Bench {
                    fleet: &fleet,
                    entry,
                    proto,
                    bytes,
                    seed: options.seed,
                };
                let most = bench.carried().await;
                log::info!(
                    "{hops} hops, {proto:?}, {bytes} bytes: {most:.0} requests a second are carried"
                );
                for load_pct in &options.loads {
                    let rate = most * f64::from(*load_pct) / 100.0;
                    let added = bench.added(rate, options).await;
                    tell(&Case {
                        hops,
                        proto: match proto {
                            load::Proto::Http1 => "http/1.1",
                            load::Proto::Http2 => "http/2",
                        },
                        body_bytes: bytes,
                        load_pct: *load_pct,
                        p50: added.quantiles[0],
                        p90: added.quantiles[1],
                        p99: added.quantiles[2],
                        p999: added.quantiles[3],
                        rate: round(rate),
                        failed: added.failed,
                        core_rps: round(added.per_core),
                    });
                }
            }
        }
    }
    Ok(())
}

struct Bench<'a> {
    fleet: &'a fleet::Fleet,
    entry: &'a str,
    proto: load::Proto,
    bytes: u64,
    seed: u64,
}

/// What the fleet added at one rate.
struct Added {
    quantiles: [f64; 4],
    failed: u64,
    per_core: f64,
}

impl Bench<'_> {
    fn plan(&self, rate: f64, proto: load::Proto, seed: u64) -> load::Plan {
        let kind = load::Kind::get(SERVICE, &format!("/{SERVICE}/list"), 1.0);
        load::Plan {
            seed,
            rate,
            kinds: vec![load::Kind {
                bytes: self.bytes,
                ..kind
            }],
            callers: demo::callers(),
            deadline: clock::Millis(5_000),
            resends: 0,
            proto,
            name: format!("latency-{rate:.0}-{seed}"),
        }
    }

    async fn slice(&self, plan: &load::Plan, fleet: bool, span: time::Duration) -> load::Report {
        let entries = if fleet {
            let daemon = &self.fleet.daemons[self.entry];
            load::Entries::new(&[(daemon.name.clone(), daemon.listen)].into())
        } else {
            let targets = self.fleet.targets.addresses().into_iter();
            load::Entries::new(&targets.map(|(n, a)| (n.to_owned(), a)).collect())
        };
        let load = load::start(plan, sync::Arc::new(entries), self.fleet.clock);
        tokio::time::sleep(span).await;
        load.stop().await
    }

    /// Searches for the highest rate at which 99 in 100 requests are still quick.
    async fn carried(&self) -> f64 {
        let mut rate = FIRST_RATE;
        loop {
            let plan = self.plan(rate, self.proto, self.seed);
            let report = self.slice(&plan, true, STEP).await;
            let p99 = time::Duration::from_micros(report.latency.value_at_quantile(0.99));
            let served = report.total.served as f64 / report.total.sent.max(1) as f64;
            if p99 > CARRIED || served < 0.99 {
                return rate / GROWTH;
            }
            rate *= GROWTH;
        }
    }

    async fn added(&self, rate: f64, options: &Options) -> Added {
        let mut direct = histogram();
        let mut through = histogram();
        let (mut failed, mut served, mut cpu_s) = (0, 0, 0.0);
        for turn in 0..options.turns as u64 {
            let plan = self.plan(rate, load::Proto::Http1, self.seed + turn);
            let report = self.slice(&plan, false, options.turn).await;
            direct
                .add(&report.latency)
                .expect("both have the same range");
            let plan = self.plan(rate, self.proto, self.seed + turn);
            let before = self.fleet.usage().cpu_s;
            let report = self.slice(&plan, true, options.turn).await;
            cpu_s += self.fleet.usage().cpu_s - before;
            through
                .add(&report.latency)
                .expect("both have the same range");
            failed += report.total.sent - report.total.served;
            served += report.total.served;
        }
        Added {
            quantiles: QUANTILES.map(|q| {
                let us = |h: &Histogram<u64>| h.value_at_quantile(q) as f64;
                round((us(&through) - us(&direct)) / 1e3)
            }),
            failed,
            per_core: if cpu_s > 0.0 {
                served as f64 / cpu_s
            } else {
                0.0
            },
        }
    }
}

fn histogram() -> Histogram<u64> {
    load::Report::default().latency
}
