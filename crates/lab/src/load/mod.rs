//! The open-loop load generator: requests arrive on a schedule, whether earlier ones were answered or not.
//!
//! Latencies count from the scheduled arrival, so that a stall is counted whole. Each answer is verified against the
//! request's nonce ([`crate::echo`]); [`Report`] holds what callers were told, and [`Report::verdict`] compares it with
//! what the targets' stand-in counted.

use std::collections::BTreeMap;
use std::net;
use std::sync;
use std::time;

use peridotspread::state::clock;
use tokio::task::JoinSet;

mod client;
mod entries;
mod report;
mod send;

pub use client::Proto;
pub use entries::Entries;
pub use report::{Attempt, Report, Result, Verdict};

use crate::rng;

/// How long after the last arrival unfinished requests may take.
const LINGER: time::Duration = time::Duration::from_secs(20);

/// One stream of like requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// The service's name, for the report.
    pub service: String,
    /// The method.
    pub method: http::Method,
    /// The path.
    pub path: String,
    /// Its share of all requests, relative to the others.
    pub weight: f64,
    /// Whether each request carries an idempotency key, which its resends repeat.
    pub keyed: bool,
    /// The bytes of the request's body.
    pub body: usize,
    /// The bytes of the answer's body.
    pub bytes: u64,
}

impl Kind {
    /// Describes safe requests for `path`.
    pub fn get(service: &str, path: &str, weight: f64) -> Kind {
        Kind {
            service: service.to_owned(),
            method: http::Method::GET,
            path: path.to_owned(),
            weight,
            keyed: false,
            body: 0,
            bytes: 512,
        }
    }

    /// Describes keyed postings to `path`.
    pub fn post(service: &str, path: &str, weight: f64) -> Kind {
        Kind {
            method: http::Method::POST,
            keyed: true,
            body: 256,
            ..Kind::get(service, path, weight)
        }
    }
}

/// One group of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// The name of its tier, for the report.
    pub tier: String,
    /// Its bearer token.
    pub token: String,
    /// Its share of all requests, relative to the others.
    pub weight: f64,
}

/// What load is made.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The seed of arrivals and choices.
    pub seed: u64,
    /// Requests a second.
    pub rate: f64,
    /// The streams of requests.
    pub kinds: Vec<Kind>,
    /// The groups of callers.
    pub callers: Vec<Caller>,
    /// The time that callers give a request.
    pub deadline: clock::Millis,
    /// How often a request that was refused or lost is sent again at most.
    pub resends: u32,
    /// The protocol towards entries.
    pub proto: Proto,
    /// Named in keys and nonces, so that loads side by side differ.
    pub name: String,
}

/// One request, as it was drawn.
#[derive(Clone, Debug)]
struct Request {
    nonce: String,
    key: Option<String>,
    kind: Kind,
    caller: Caller,
    chunked: bool,
    deadline: clock::Millis,
}

/// A running load.
#[derive(Debug)]
pub struct Load {
    stop: tokio::sync::watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
    report: sync::Arc<sync::Mutex<Report>>,
}

/// Starts a load on `entries`; times are read from `clock`.
pub fn start(plan: &Plan, entries: sync::Arc<Entries>, clock: clock::Clock) -> Load {
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let report = sync::Arc::new(sync::Mutex::new(Report::default()));
    let sender = sync::Arc::new(send::Sender {
        clients: client::Clients::new(plan.proto),
        entries,
        clock,
        report: report.clone(),
        resends: plan.resends,
    });
    let task = tokio::spawn(arrive(plan.clone(), sender, stopped));
    Load { stop, task, report }
}

impl Load {
    /// Ends the arrivals, waits for the requests in flight and returns the report.
    ///
    /// # Panics
    ///
    /// Panics if a task of the load panicked.
    pub async fn stop(self) -> Report {
        self.stop.send_replace(true);
        self.task.await.expect("no task of the load panicked");
        let report = self.report.lock().expect("no task of the load panicked");
        report.clone()
    }

    /// Copies the report as it stands.
    ///
    /// # Panics
    ///
    /// Panics if a task of the load panicked.
    pub fn report(&self) -> Report {
        let report = self.report.lock().expect("no task of the load panicked");
        report.clone()
    }
}

/// Sends each request at its time until told to stop, then lets those in flight finish.
async fn arrive(
    plan: Plan,
    sender: sync::Arc<send::Sender>,
    mut stopped: tokio::sync::watch::Receiver<bool>,
) {
    let mut rng = rng::Rng::new(plan.seed);
    let mut running = JoinSet::new();
    let mut due = tokio::time::Instant::now();
    let mut count = 0u64;
    while !*stopped.borrow_and_update() {
        due += time::Duration::from_secs_f64(rng.exponential(1.0 / plan.rate));
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            _ = stopped.changed() => break,
        }
        let request = draw(&plan, &mut rng, count);
        count += 1;
        let sender = sender.clone();
        running.spawn(async move { sender.carry(&request, due.into_std()).await });
        while running.try_join_next().is_some() {}
    }
    let finish = async { while running.join_next().await.is_some() {} };
    if tokio::time::timeout(LINGER, finish).await.is_err() {
        log::warn!("requests are still in flight {LINGER:?} after the last arrival");
    }
}

/// Draws the request number `count`.
fn draw(plan: &Plan, rng: &mut rng::Rng, count: u64) -> Request {
    let kind = &plan.kinds[weighted(rng, plan.kinds.iter().map(|k| k.weight))];
    let caller = &plan.callers[weighted(rng, plan.callers.iter().map(|c| c.weight))];
    let nonce = format!("{}-{}-{count}", plan.name, plan.seed);
    Request {
        key: kind.keyed.then(|| format!("key-{nonce}")),
        nonce,
        kind: kind.clone(),
        caller: caller.clone(),
        chunked: rng.unit() < 0.5,
        deadline: plan.deadline,
    }
}

fn weighted(rng: &mut rng::Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = rng.unit() * weights.clone().sum::<f64>();
    for (i, weight) in weights.enumerate() {
        left -= weight;
        if left < 0.0 {
            return i;
        }
    }
    0
}

/// Lists the addresses by name, as entries are given to a load.
pub type Addresses = BTreeMap<String, net::SocketAddr>;
