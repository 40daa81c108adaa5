//! An open-loop load generator: requests arrive on a schedule, whether earlier ones were answered or not.
//!
//! Latencies are measured from the scheduled arrival, so that a stall counts in full (no coordinated omission). Each
//! response is verified against the request's nonce ([`crate::echo`]). [`Report`] holds the results that callers saw;
//! [`Report::verdict`] compares them with the runs that the targets' stand-in recorded.

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

/// How long [`Load::stop`] waits for requests in flight after the last arrival.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// One kind of requests in the mix.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// The service's name, by which the report groups requests.
    pub service: String,
    /// The HTTP method.
    pub method: http::Method,
    /// The request path.
    pub path: String,
    /// The weight among all kinds.
    pub weight: f64,
    /// Whether each request carries an idempotency key, which is the same for all of its attempts.
    pub keyed: bool,
    /// The size of the request body, in bytes.
    pub body: usize,
    /// The size of the response body, in bytes.
    pub bytes: u64,
}

impl Kind {
    /// Returns GET requests for `path`.
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

    /// Returns POST requests for `path` without an idempotency key, which are not resent once they may have run.
    pub fn post_unkeyed(service: &str, path: &str, weight: f64) -> Kind {
        Kind {
            keyed: false,
            ..Kind::post(service, path, weight)
        }
    }

    /// Returns POST requests for `path` with an idempotency key.
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
    /// The name of its tier, by which the report groups requests.
    pub tier: String,
    /// The bearer token; empty to send none.
    pub token: String,
    /// The weight among all groups of callers.
    pub weight: f64,
}

/// The configuration of a load.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The seed of arrival times and of the random selection of kinds and callers.
    pub seed: u64,
    /// The mean rate, in requests per second.
    pub rate: f64,
    /// The kinds of requests, selected at random by weight.
    pub kinds: Vec<Kind>,
    /// The groups of callers, selected at random by weight.
    pub callers: Vec<Caller>,
    /// The deadline of each request, sent along with it, in milliseconds.
    pub deadline: clock::Millis,
    /// The maximum number of times that a refused or lost request is resent.
    pub resends: u32,
    /// The protocol of connections to entries.
    pub proto: Proto,
    /// The prefix of nonces and keys, which keeps those of concurrent loads distinct.
    pub name: String,
}

/// One request, the same over all of its attempts.
#[derive(Clone, Debug)]
struct Request {
    nonce: String,
    key: Option<String>,
    kind: Kind,
    caller: Caller,
    chunked: bool,
    deadline: clock::Millis,
}

/// A handle to a running load.
#[derive(Debug)]
pub struct Load {
    stop: sync::Arc<atomic::AtomicBool>,
    arrivals: thread::JoinHandle<()>,
    /// Closes once no request is in flight.
    finished: mpsc::Receiver<()>,
    report: sync::Arc<sync::Mutex<Report>>,
}

/// Starts a load on `entries`, with times measured by `clock`.
///
/// A dedicated thread times the arrivals, because the timers of the runtime have a resolution of only a millisecond.
///
/// # Panics
///
/// Panics if called outside a Tokio runtime.
pub fn start(plan: &Plan, entries: sync::Arc<Entries>, clock: clock::Clock) -> Load {
    let stop = sync::Arc::new(atomic::AtomicBool::default());
    let report = sync::Arc::new(sync::Mutex::new(Report::default()));
    let (in_flight, finished) = mpsc::channel(1);
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
        in_flight,
    };
    Load {
        stop,
        arrivals: thread::spawn(move || arrivals.run()),
        finished,
        report,
    }
}

impl Load {
    /// Stops arrivals, waits for the requests in flight and returns the report.
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
        // The channel closes with the last request in flight, each of which holds a sender.
        let drained = self.finished.recv();
        if tokio::time::timeout(DRAIN_TIMEOUT, drained).await.is_err() {
            log::warn!("requests are still in flight {DRAIN_TIMEOUT:?} after the last arrival");
        }
        let report = self.report.lock().expect("no task of the load panicked");
        report.clone()
    }

    /// Calls `read` with the current report.
    ///
    /// # Panics
    ///
    /// Panics if a task of the load panicked.
    pub fn read<T>(&self, read: impl FnOnce(&Report) -> T) -> T {
        read(&self.report.lock().expect("no task of the load panicked"))
    }
}

/// The thread that starts each request at its scheduled time.
struct Arrivals {
    plan: Plan,
    sender: sync::Arc<send::Sender>,
    runtime: runtime::Handle,
    stop: sync::Arc<atomic::AtomicBool>,
    /// Cloned into each request in flight.
    in_flight: mpsc::Sender<()>,
}

impl Arrivals {
    fn run(self) {
        let mut rng = rng::Rng::new(self.plan.seed);
        let mut due = time::Instant::now();
        for count in 0.. {
            due += time::Duration::from_secs_f64(rng.exponential(1.0 / self.plan.rate));
            thread::sleep(due.saturating_duration_since(time::Instant::now()));
            if self.stop.load(atomic::Ordering::Relaxed) {
                return;
            }
            let request = draw_request(&self.plan, &mut rng, count);
            let (sender, in_flight) = (self.sender.clone(), self.in_flight.clone());
            self.runtime.spawn(async move {
                sender.run_request(&request, due).await;
                drop(in_flight);
            });
        }
    }
}

/// Generates request number `count` at random.
fn draw_request(plan: &Plan, rng: &mut rng::Rng, count: u64) -> Request {
    let kind = &plan.kinds[draw_index(rng, plan.kinds.iter().map(|k| k.weight))];
    let caller = &plan.callers[draw_index(rng, plan.callers.iter().map(|c| c.weight))];
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

/// Returns a random index with probability proportional to its weight.
fn draw_index(rng: &mut rng::Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut remaining = rng.unit() * weights.clone().sum::<f64>();
    for (i, weight) in weights.enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return i;
        }
    }
    0
}

/// The addresses of entries by name.
pub type Addresses = BTreeMap<String, net::SocketAddr>;
