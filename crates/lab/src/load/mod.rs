//! The open-loop load generator: requests arrive on a schedule, whether earlier ones were answered or not.
//!
//! Latencies count from the scheduled arrival, so that a stall is counted whole. Each answer is verified against the
//! request's nonce ([`crate::echo`]); [`Report`] holds what callers were told, and [`Report::verdict`] compares it with
//! what the targets' stand-in counted.

use std::collections::BTreeMap;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use peridotspread::state::clock;
use tokio::runtime;
use tokio::sync::mpsc;
use tokio::task;

mod client;
mod entries;
mod report;
mod send;

pub use client::Proto;
pub use entries::Entries;
pub use report::{Attempt, Group, Report, Result, Verdict};

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

    /// Describes postings without a key to `path`, which are not sent again once they may have run.
    pub fn post_unkeyed(service: &str, path: &str, weight: f64) -> Kind {
        Kind {
            keyed: false,
            ..Kind::post(service, path, weight)
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
    stop: sync::Arc<atomic::AtomicBool>,
    arrivals: thread::JoinHandle<()>,
    finished: mpsc::Receiver<()>,
    report: sync::Arc<sync::Mutex<Report>>,
}

/// Starts a load on `entries`; times are read from `clock`.
///
/// Arrivals are timed by a thread of their own, because the runtime's timers are only good to a millisecond.
///
/// # Panics
///
/// Panics if called outside a runtime.
pub fn start(plan: &Plan, entries: sync::Arc<Entries>, clock: clock::Clock) -> Load {
    let stop = sync::Arc::new(atomic::AtomicBool::default());
    let report = sync::Arc::new(sync::Mutex::new(Report::default()));
    let (running, finished) = mpsc::channel(1);
    let sender = sync::Arc::new(send::Sender {
        clients: client::Clients::new(plan.proto),
        entries,
        clock,
        report: report.clone(),
        resends: plan.resends,
    });
    let arrivals = Arrivals {
        plan: plan.clone(),
        sender,
        runtime: runtime::Handle::current(),
        stop: stop.clone(),
        running,
    };
    Load {
        stop,
        arrivals: thread::spawn(move || arrivals.send_all()),
        finished,
        report,
    }
}

impl Load {
    /// Ends the arrivals, waits for the requests in flight and returns the report.
    ///
    /// # Panics
    ///
    /// Panics if a task of the load panicked.
    pub async fn stop(mut self) -> Report {
        self.stop.store(true, atomic::Ordering::Relaxed);
        let joined = task::spawn_blocking(|| self.arrivals.join()).await;
        joined
            .expect("the runtime runs")
            .expect("no task of the load panicked");
        // The channel ends with the last request in flight.
        let finish = self.finished.recv();
        if tokio::time::timeout(LINGER, finish).await.is_err() {
            log::warn!("requests are still in flight {LINGER:?} after the last arrival");
        }
        let report = self.report.lock().expect("no task of the load panicked");
        report.clone()
    }

    /// Reads the report as it stands.
    ///
    /// # Panics
    ///
    /// Panics if a task of the load panicked.
    pub fn read<T>(&self, read: impl FnOnce(&Report) -> T) -> T {
        read(&self.report.lock().expect("no task of the load panicked"))
    }
}

/// Sends each request at its time.
struct Arrivals {
    plan: Plan,
    sender: sync::Arc<send::Sender>,
    runtime: runtime::Handle,
    stop: sync::Arc<atomic::AtomicBool>,
    running: mpsc::Sender<()>,
}

impl Arrivals {
    fn send_all(self) {
        let mut rng = rng::Rng::new(self.plan.seed);
        let mut due = time::Instant::now();
        for count in 0.. {
            due += time::Duration::from_secs_f64(rng.exponential(1.0 / self.plan.rate));
            thread::sleep(due.saturating_duration_since(time::Instant::now()));
            if self.stop.load(atomic::Ordering::Relaxed) {
                return;
            }
            let request = draw(&self.plan, &mut rng, count);
            let (sender, running) = (self.sender.clone(), self.running.clone());
            self.runtime.spawn(async move {
                sender.carry(&request, due).await;
                drop(running);
            });
        }
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
