//! A stand-in for targets, with limited slots and connections, random service times and injected faults.
//!
//! One process can run many targets, each on its own port. [`serve()`] starts them. The [`Targets`] handle injects
//! faults and reads counters; the control port in [`control`] offers the same to other processes.

use std::net;
use std::sync;

use peridotspread::state::clock;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::watch;

pub mod control;
mod fault;
mod serve;
mod tally;

pub use fault::Fault;
pub use tally::{Counts, Run, Snapshot, Tally};

use crate::rng;

/// The configuration of one target: its limits and its service times without a fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The target's name.
    pub name: String,
    /// The address to listen on; port 0 selects a free port.
    pub listen: net::SocketAddr,
    /// The maximum number of requests processed concurrently.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// The maximum number of requests that wait for a slot; further requests are shed.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// The maximum number of open connections.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// The delay before a new connection is served, in milliseconds.
    #[serde(default = "default_connect")]
    pub connect_ms: clock::Millis,
    /// The response time of health probes, in milliseconds.
    #[serde(default = "default_probe")]
    pub probe_ms: clock::Millis,
    /// The median service time, in milliseconds.
    #[serde(default = "default_median")]
    pub median_ms: f64,
    /// The standard deviation of the logarithm of the service time.
    #[serde(default = "default_sigma")]
    pub sigma: f64,
    /// How long service times are longer after the clock's start, in milliseconds.
    #[serde(default)]
    pub cold_ms: clock::Millis,
    /// The factor on service times during `cold_ms`.
    #[serde(default = "default_factor")]
    pub cold_factor: f64,
    /// The size of response bodies, in bytes, where the request does not specify one.
    #[serde(default = "default_bytes")]
    pub bytes: u64,
    /// The seed of the random service times.
    #[serde(default)]
    pub seed: u64,
}

fn default_slots() -> usize {
    3
}

fn default_queue() -> usize {
    2
}

fn default_connections() -> usize {
    400
}

fn default_connect() -> clock::Millis {
    clock::Millis(1)
}

fn default_probe() -> clock::Millis {
    clock::Millis(25)
}

fn default_median() -> f64 {
    12.0
}

fn default_sigma() -> f64 {
    0.4
}

fn default_factor() -> f64 {
    4.0
}

fn default_bytes() -> u64 {
    512
}

impl Plan {
    /// Returns the default configuration of a target.
    pub fn new(name: &str, listen: net::SocketAddr) -> Plan {
        Plan {
            name: name.to_owned(),
            listen,
            slots: default_slots(),
            queue: default_queue(),
            connections: default_connections(),
            connect_ms: default_connect(),
            probe_ms: default_probe(),
            median_ms: default_median(),
            sigma: default_sigma(),
            cold_ms: clock::Millis::ZERO,
            cold_factor: default_factor(),
            bytes: default_bytes(),
            seed: 0,
        }
    }
}

/// An error on starting or controlling the stand-in.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// An address cannot be bound.
    #[snafu(display("failed to listen on {address}; choose another address"))]
    Listen {
        /// The address to bind.
        address: net::SocketAddr,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// No target has this name.
    #[snafu(display("there is no target {name}"))]
    NoTarget {
        /// The requested name.
        name: String,
    },
}

/// The state of one running target, shared by its connections.
#[derive(Debug)]
struct Target {
    plan: Plan,
    address: net::SocketAddr,
    clock: clock::Clock,
    tally: sync::Arc<Tally>,
    slots: tokio::sync::Semaphore,
    /// The number of requests that wait for a slot.
    waiting: sync::atomic::AtomicUsize,
    rng: sync::Mutex<rng::Rng>,
    fault: sync::Mutex<ActiveFault>,
    /// When a crashed target accepts connections again; a change closes all connections.
    down: watch::Sender<clock::Millis>,
}

/// The current fault of a target and when it was injected.
#[derive(Clone, Debug, Default)]
struct ActiveFault {
    fault: Fault,
    since: clock::Millis,
}

/// A handle to the running targets, which stop when it is dropped.
#[derive(Debug)]
pub struct Targets {
    list: Vec<sync::Arc<Target>>,
    tally: sync::Arc<Tally>,
    clock: clock::Clock,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

/// Starts the targets configured by `plans`, with times measured by `clock`.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn serve(plans: &[Plan], clock: clock::Clock) -> Result<Targets, Error> {
    let tally = sync::Arc::new(Tally::default());
    let mut targets = Targets {
        list: Vec::new(),
        tally: tally.clone(),
        clock,
        tasks: Vec::new(),
    };
    for plan in plans {
        let address = plan.listen;
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let target = sync::Arc::new(Target {
            plan: plan.clone(),
            address,
            clock,
            tally: tally.clone(),
            slots: tokio::sync::Semaphore::new(plan.slots),
            waiting: sync::atomic::AtomicUsize::default(),
            rng: sync::Mutex::new(rng::Rng::new(plan.seed)),
            fault: sync::Mutex::default(),
            down: watch::Sender::new(clock::Millis::ZERO),
        });
        targets.list.push(target.clone());
        targets
            .tasks
            .push(tokio::spawn(serve::listen(target, listener)));
    }
    Ok(targets)
}

impl Targets {
    /// Returns the bound address of the target called `name`.
    pub fn address(&self, name: &str) -> Option<net::SocketAddr> {
        self.find(name).ok().map(|t| t.address)
    }

    /// Returns the names and bound addresses of all targets.
    pub fn addresses(&self) -> Vec<(&str, net::SocketAddr)> {
        self.list
            .iter()
            .map(|t| (t.plan.name.as_str(), t.address))
            .collect()
    }

    /// Replaces the fault of the target called `name` ([`Fault::None`] clears it) and returns the time of the change.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such target.
    ///
    /// # Panics
    ///
    /// Panics if a task of the target panicked before.
    pub fn set_fault(&self, name: &str, fault: &Fault) -> Result<clock::Millis, Error> {
        let target = self.find(name)?;
        let since = self.clock.now();
        let mut active = target.fault.lock().expect("no task of the target panicked");
        *active = ActiveFault {
            fault: fault.clone(),
            since,
        };
        Ok(since)
    }

    /// Returns the counters of all targets.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    fn find(&self, name: &str) -> Result<&Target, Error> {
        let found = self.list.iter().find(|t| t.plan.name == name);
        match found {
            Some(target) => Ok(target),
            None => NoTargetSnafu { name }.fail(),
        }
    }
}

impl Drop for Targets {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
