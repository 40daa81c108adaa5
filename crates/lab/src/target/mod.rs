//! The stand-in for targets: slots, connections, service times, and faults on command.
//!
//! One process may stand in for many targets, each with a listening port of its own. [`serve`] starts them; the
//! [`Targets`] handle sets faults and reads counts, and so does the control port that [`control`] opens for other processes.

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

/// How one target behaves while it is well.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The target's name.
    pub name: String,
    /// Its address; port 0 draws a free one.
    pub listen: net::SocketAddr,
    /// The requests that it works on at a time.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// The requests that may wait for a slot; more are shed.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// The connections that it takes.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// How long a new connection waits before it is served, in milliseconds.
    #[serde(default = "default_connect")]
    pub connect_ms: clock::Millis,
    /// How long a probe takes, in milliseconds.
    #[serde(default = "default_probe")]
    pub probe_ms: clock::Millis,
    /// The median service time in milliseconds.
    #[serde(default = "default_median")]
    pub median_ms: f64,
    /// The deviation of the service time's logarithm.
    #[serde(default = "default_sigma")]
    pub sigma: f64,
    /// How long the target is cold after its start, in milliseconds.
    #[serde(default)]
    pub cold_ms: clock::Millis,
    /// The factor on service times while it is cold.
    #[serde(default = "default_factor")]
    pub cold_factor: f64,
    /// The bytes of an answer whose request names none.
    #[serde(default = "default_bytes")]
    pub bytes: u64,
    /// The seed of its service times.
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
    /// Plans a target with the defaults.
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

/// Why the stand-in does not start or does not obey.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// An address can't be listened at.
    #[snafu(display("can't listen at {address}; choose another address"))]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// No target has this name.
    #[snafu(display("there is no target {name}"))]
    NoTarget {
        /// The name.
        name: String,
    },
}

/// One running target.
#[derive(Debug)]
struct Target {
    plan: Plan,
    address: net::SocketAddr,
    clock: clock::Clock,
    tally: sync::Arc<Tally>,
    slots: tokio::sync::Semaphore,
    waiting: sync::atomic::AtomicUsize,
    rng: sync::Mutex<rng::Rng>,
    fault: sync::Mutex<Standing>,
    down: watch::Sender<clock::Millis>,
}

/// A fault and when it began.
#[derive(Clone, Debug, Default)]
struct Standing {
    fault: Fault,
    since: clock::Millis,
}

/// Running targets; they end with this handle.
#[derive(Debug)]
pub struct Targets {
    list: Vec<sync::Arc<Target>>,
    tally: sync::Arc<Tally>,
    clock: clock::Clock,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

/// Starts the targets of `plans`, which read times from `clock`.
///
/// # Errors
///
/// Returns an error if an address can't be listened at.
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
    /// Returns the address of the target called `name`.
    pub fn address(&self, name: &str) -> Option<net::SocketAddr> {
        self.find(name).ok().map(|t| t.address)
    }

    /// Returns the names and addresses of all targets.
    pub fn addresses(&self) -> Vec<(&str, net::SocketAddr)> {
        self.list
            .iter()
            .map(|t| (t.plan.name.as_str(), t.address))
            .collect()
    }

    /// Makes the target called `name` gray, or well by [`Fault::None`]; returns when, by the targets' clock.
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
        let mut standing = target.fault.lock().expect("no task of the target panicked");
        *standing = Standing {
            fault: fault.clone(),
            since,
        };
        Ok(since)
    }

    /// Returns the counts of all targets.
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
