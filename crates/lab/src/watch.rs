//! Observes from outside how the fleet treats targets: traffic, ejections, floors and bundle versions.
//!
//! Traffic is taken from the targets' stand-in, ejections from the rows of the platform's stand-in, and versions from
//! the daemons' status.

use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::sync;
use std::time;

use peridotspread::state::clock;

use crate::fleet::admin;

/// The interval between reads of the platform's rows.
const ROWS_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// The interval between reads of a daemon's version.
const VERSION_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The longest gap between requests that count as regular traffic.
const TRAFFIC_GAP: clock::Millis = clock::Millis(1_000);

/// Returns how long a target that had a fault from `from` until `to` kept receiving regular traffic.
///
/// `starts` are the start times of its requests in ascending order. Traffic ends with the last request that comes
/// within a second of the one before; later ones count as single trials. Where no two requests are so close, it ends
/// with the first one.
pub fn detection_time(
    starts: &[clock::Millis],
    from: clock::Millis,
    to: clock::Millis,
) -> clock::Millis {
    let received: Vec<_> = starts
        .iter()
        .copied()
        .filter(|s| *s >= from && *s < to)
        .collect();
    let last_pair = received
        .windows(2)
        .rfind(|pair| pair[1] <= pair[0] + TRAFFIC_GAP);
    match last_pair {
        Some(pair) => pair[1] - from,
        None => received.first().map_or(clock::Millis::ZERO, |s| *s - from),
    }
}

/// The observed ejections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observed {
    /// All targets that were ejected at some time, with the time of the first observation.
    pub ejected: BTreeMap<String, clock::Millis>,
    /// Observations of a service with fewer targets left than its floor.
    pub breaches: u64,
}

/// The floor of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Floor {
    /// The service's name.
    pub service: String,
    /// The number of its targets.
    pub targets: usize,
    /// The least number of targets that ejection must leave.
    pub floor: usize,
}

/// A handle to an observer of floors and ejections, which stops when dropped.
#[derive(Debug)]
pub struct Watch {
    observed: sync::Arc<sync::Mutex<Observed>>,
    task: tokio::task::JoinHandle<()>,
}

/// Starts to observe the floors of services; `ejected_of` returns the currently ejected targets of a service.
pub fn start(
    floors: Vec<Floor>,
    clock: clock::Clock,
    ejected_of: impl Fn(&str) -> BTreeSet<String> + Send + 'static,
) -> Watch {
    let observed = sync::Arc::new(sync::Mutex::new(Observed::default()));
    let shared = observed.clone();
    let task = tokio::spawn(async move {
        loop {
            for floor in &floors {
                let ejected = ejected_of(&floor.service);
                let mut observed = shared.lock().expect("no watcher panicked");
                observed.breaches += u64::from(floor.targets - ejected.len() < floor.floor);
                for target in ejected {
                    observed.ejected.entry(target).or_insert(clock.now());
                }
            }
            tokio::time::sleep(ROWS_INTERVAL).await;
        }
    });
    Watch { observed, task }
}

impl Watch {
    /// Returns the ejections observed so far.
    ///
    /// # Panics
    ///
    /// Panics if the watcher panicked.
    pub fn observed(&self) -> Observed {
        self.observed.lock().expect("no watcher panicked").clone()
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A handle to an observer of the bundle versions in force at daemons, which stops when dropped.
#[derive(Debug)]
pub struct Versions {
    regressions: sync::Arc<sync::atomic::AtomicU64>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

/// Starts to observe the versions at the status addresses `daemons`, authorised by `token`.
///
/// A daemon without a version in force, as after a start, does not count as a decrease.
pub fn versions(daemons: &[net::SocketAddr], token: &str) -> Versions {
    let regressions = sync::Arc::new(sync::atomic::AtomicU64::default());
    let tasks = daemons.iter().map(|address| {
        let (address, token, regressions) = (*address, token.to_owned(), regressions.clone());
        tokio::spawn(async move {
            let mut highest = 0;
            loop {
                let version = admin::status(address, &token)
                    .await
                    .map_or(0, |s| s.version);
                if version > 0 && version < highest {
                    regressions.fetch_add(1, sync::atomic::Ordering::Relaxed);
                }
                highest = highest.max(version);
                tokio::time::sleep(VERSION_INTERVAL).await;
            }
        })
    });
    Versions {
        tasks: tasks.collect(),
        regressions,
    }
}

impl Versions {
    /// Returns the number of observations of a version lower than an earlier one at the same daemon.
    pub fn regressions(&self) -> u64 {
        self.regressions.load(sync::atomic::Ordering::Relaxed)
    }
}

impl Drop for Versions {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
