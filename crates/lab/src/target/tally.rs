//! Counters of the targets' stand-in and its log of processed requests.
//!
//! Tests compare them with the responses that callers received. Nothing in them comes from the daemons, so that they
//! check the fleet independently.

use std::collections::BTreeMap;
use std::sync;

use peridotspread::state::clock;
use serde::{Deserialize, Serialize};

/// One run of a request at a target, recorded when its processing begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The target's name.
    pub target: String,
    /// When the processing began.
    pub at: clock::Millis,
    /// The request's identity as assigned by the daemon.
    pub request: String,
    /// The load generator's name of the attempt; empty for other callers.
    pub attempt: String,
    /// The idempotency key; empty if the request has none.
    pub key: String,
    /// The HTTP method.
    pub method: String,
}

/// The counters of one target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests whose processing began.
    pub runs: u64,
    /// Requests that were processed to the end and answered.
    pub answered: u64,
    /// Requests whose processing was dropped because the caller disconnected or the target crashed.
    pub cancelled: u64,
    /// Requests that were shed without being processed.
    pub shed: u64,
    /// Health probes received.
    pub probes: u64,
    /// Currently open connections.
    pub open: usize,
    /// The highest number of open connections.
    pub peak: usize,
    /// Connections closed on arrival because the limit was reached.
    pub over: u64,
    /// Requests currently being processed.
    pub busy: usize,
    /// The highest number of requests processed concurrently.
    pub busiest: usize,
}

/// A copy of all counters and runs of one stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// All runs, in order of time.
    pub runs: Vec<Run>,
    /// The counters by target name.
    pub targets: BTreeMap<String, Counts>,
}

/// Collects the counters and runs of all targets of one stand-in.
#[derive(Debug, Default)]
pub struct Tally {
    inner: sync::Mutex<Snapshot>,
}

impl Tally {
    /// Records the start of a run.
    ///
    /// # Panics
    ///
    /// Panics if a user of the tally panicked before.
    pub fn record_run(&self, run: Run) {
        let mut inner = self.inner.lock().expect("no user of the tally panicked");
        let counts = inner.targets.entry(run.target.clone()).or_default();
        counts.runs += 1;
        counts.busy += 1;
        counts.busiest = counts.busiest.max(counts.busy);
        inner.runs.push(run);
    }

    /// Changes the counters of one target.
    ///
    /// # Panics
    ///
    /// Panics if a user of the tally panicked before.
    pub fn update(&self, target: &str, change: impl FnOnce(&mut Counts)) {
        let mut inner = self.inner.lock().expect("no user of the tally panicked");
        change(inner.targets.entry(target.to_owned()).or_default());
    }

    /// Returns a copy of all counters and runs.
    ///
    /// # Panics
    ///
    /// Panics if a user of the tally panicked before.
    pub fn snapshot(&self) -> Snapshot {
        let inner = self.inner.lock().expect("no user of the tally panicked");
        inner.clone()
    }

    /// Returns a copy of the counters of one target.
    ///
    /// # Panics
    ///
    /// Panics if a user of the tally panicked before.
    pub fn counts(&self, target: &str) -> Counts {
        let inner = self.inner.lock().expect("no user of the tally panicked");
        inner.targets.get(target).cloned().unwrap_or_default()
    }
}

impl Snapshot {
    /// Counts the non-idempotent requests that ran more than once, identified by key, or by attempt where there is no
    /// key.
    pub fn ran_twice(&self) -> usize {
        const SAFE: [&str; 3] = ["GET", "HEAD", "OPTIONS"];
        let mut runs = BTreeMap::<&str, usize>::new();
        for run in self
            .runs
            .iter()
            .filter(|r| !SAFE.contains(&r.method.as_str()))
        {
            let name = if run.key.is_empty() {
                &run.attempt
            } else {
                &run.key
            };
            *runs.entry(name).or_default() += 1;
        }
        runs.values().filter(|n| **n > 1).count()
    }

    /// Returns the start times of all runs at `target`, in ascending order.
    pub fn starts(&self, target: &str) -> Vec<clock::Millis> {
        let mut starts: Vec<_> = self
            .runs
            .iter()
            .filter(|r| r.target == target)
            .map(|r| r.at)
            .collect();
        starts.sort();
        starts
    }
}
