//! Measurement of the latency that the fleet adds to requests: the same load is sent directly to the targets and
//! through the fleet, alternately.
//!
//! All targets are in one of two failure domains. A request that enters through the daemon of that domain takes one
//! hop; a request that enters through the daemon of the other domain takes two. The load is open-loop, and latency is
//! measured from the scheduled arrival.

use std::sync;
use std::time;

use hdrhistogram::Histogram;
use peridotspread::state::clock;
use serde::Serialize;

use super::round;
use crate::demo;
use crate::fleet::{self, sizes};
use crate::load;

/// Options of [`run`].
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The duration of one turn: one period of load, either directly or through the fleet.
    pub turn: time::Duration,
    /// The number of turns of each kind in a case.
    pub turns: usize,
    /// The loads, in percent of the maximum rate of the fleet.
    pub loads: Vec<u32>,
    /// The seed of service times and of the load.
    pub seed: u64,
}

/// The added latency in one case.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Case {
    /// The number of daemons that a request passes through.
    pub hops: u32,
    /// The protocol between callers and the fleet.
    pub proto: &'static str,
    /// The size of the response bodies, in bytes.
    pub body_bytes: u64,
    /// The load in percent of the maximum rate of the fleet in this case.
    pub load_pct: u32,
    /// The difference of the median latencies, in milliseconds.
    #[serde(rename = "added_p50_ms")]
    pub p50: f64,
    /// The difference of the 90th percentiles, in milliseconds.
    #[serde(rename = "added_p90_ms")]
    pub p90: f64,
    /// The difference of the 99th percentiles, in milliseconds.
    #[serde(rename = "added_p99_ms")]
    pub p99: f64,
    /// The difference of the 99.9th percentiles, in milliseconds.
    #[serde(rename = "added_p999_ms")]
    pub p999: f64,
    /// The request rate, per second.
    pub rate: f64,
    /// The number of requests that the fleet did not serve.
    pub failed: u64,
    /// The number of requests that the daemons serve per second of processor time.
    pub core_rps: f64,
}

const SERVICE: &str = "prices";
const TARGETS: usize = 12;
/// The number of slots of each target; large enough that requests never wait for a slot, which would distort the
/// measurement.
const SLOTS: usize = 64;
/// The median service time, in milliseconds.
const MEDIAN_MS: f64 = 3.0;
/// The sizes of response bodies, in bytes.
const BODY_BYTES: [u64; 2] = [512, 64 * 1024];
/// The duration of each step in the search for the maximum rate.
const STEP_TIME: time::Duration = time::Duration::from_secs(1);
/// The first rate of the search, in requests per second.
const FIRST_RATE: f64 = 500.0;
/// The factor between consecutive rates of the search.
const GROWTH: f64 = 1.4;
/// The maximum 99th percentile of latency at which the fleet counts as sustaining a rate.
const MAX_P99: time::Duration = time::Duration::from_millis(50);
/// The quantiles of the added latency that are reported.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// Measures all cases and passes each to `report_case` as soon as it is complete.
///
/// # Errors
///
/// Returns an error if the fleet cannot be built.
pub async fn run(options: &Options, report_case: impl Fn(&Case)) -> Result<(), fleet::Error> {
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
        for bytes in BODY_BYTES {
            for (hops, entry) in [(1, "d000"), (2, "d001")] {
                let bench = Bench {
                    fleet: &fleet,
                    entry,
                    proto,
                    bytes,
                    seed: options.seed,
                };
                let max_rate = bench.find_max_rate().await;
                log::info!(
                    "{hops} hops, {proto:?}, {bytes} bytes: maximum rate {max_rate:.0} requests/s"
                );
                for load_pct in &options.loads {
                    let rate = max_rate * f64::from(*load_pct) / 100.0;
                    let added = bench.measure_added(rate, options).await;
                    report_case(&Case {
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

/// The latency that the fleet added at one rate.
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

    async fn run_load(
        &self,
        plan: &load::Plan,
        through_fleet: bool,
        span: time::Duration,
    ) -> load::Report {
        let entries = if through_fleet {
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

    /// Returns the highest rate, in requests per second, at which 99 % of the requests are served and the 99th
    /// percentile of latency is at most [`MAX_P99`].
    async fn find_max_rate(&self) -> f64 {
        let mut rate = FIRST_RATE;
        loop {
            let plan = self.plan(rate, self.proto, self.seed);
            let report = self.run_load(&plan, true, STEP_TIME).await;
            let p99 = time::Duration::from_micros(report.latency.value_at_quantile(0.99));
            let served = report.total.served as f64 / report.total.sent.max(1) as f64;
            if p99 > MAX_P99 || served < 0.99 {
                return rate / GROWTH;
            }
            rate *= GROWTH;
        }
    }

    async fn measure_added(&self, rate: f64, options: &Options) -> Added {
        let mut direct = histogram();
        let mut through = histogram();
        let (mut failed, mut served, mut cpu_s) = (0, 0, 0.0);
        for turn in 0..options.turns as u64 {
            let plan = self.plan(rate, load::Proto::Http1, self.seed + turn);
            let report = self.run_load(&plan, false, options.turn).await;
            direct
                .add(&report.latency)
                .expect("both histograms have the same range");
            let plan = self.plan(rate, self.proto, self.seed + turn);
            let before = self.fleet.usage().cpu_s;
            let report = self.run_load(&plan, true, options.turn).await;
            cpu_s += self.fleet.usage().cpu_s - before;
            through
                .add(&report.latency)
                .expect("both histograms have the same range");
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
