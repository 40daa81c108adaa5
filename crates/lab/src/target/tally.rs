//! What the targets' stand-in counts: runs by key, by attempt and by target.
//!
//! The proofs compare it with what callers were told; nothing in it comes from the daemons.

use std::collections::BTreeMap;
use std::sync;

use peridotspread::state::clock;
use serde::{Deserialize, Serialize};

/// One run of a request at a target, counted when its work begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The target.
    pub target: String,
    /// When the work began.
    pub at: clock::Millis,
    /// The request's identity, as the daemon names it.
    pub request: String,
    /// The send that the load generator named; empty for other callers.
    pub attempt: String,
    /// The idempotency key; empty without.
    pub key: String,
    /// The method.
    pub method: String,
}

/// The counts of one target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests whose work began.
    pub runs: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests whose caller left while they waited or ran.
    pub cancelled: u64,
    /// Requests that were shed.
    pub shed: u64,
    /// Probes.
    pub probes: u64,
    /// Connections open now.
    pub open: usize,
    /// The most connections at a time.
    pub peak: usize,
    /// Connections that were closed at once because the limit was reached.
    pub over: u64,
    /// Requests in work now.
    pub busy: usize,
    /// The most requests in work at a time.
    pub busiest: usize,
}

/// All counts of one stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Every run, in the order of time.
    pub runs: Vec<Run>,
    /// The counts by target.
    pub targets: BTreeMap<String, Counts>,
}

/// Collects the counts of all targets of one stand-in.
#[derive(Debug, Default)]
pub struct Tally {
    inner: sync::Mutex<Snapshot>,
}

impl Tally {
    /// Adds a run.
    ///
    /// # Panics
    ///
    /// Panics if a user of the tally panicked before.
    pub fn run(&self, run: Run) {
        let mut inner = self.inner.lock().expect("no user of the tally panicked");
        let counts = inner.targets.entry(run.target.clone()).or_default();
        counts.runs += 1;
        counts.busy += 1;
        counts.busiest = counts.busiest.max(counts.busy);
        inner.runs.push(run);
    }

    /// Changes the counts of one target.
    ///
    /// # Panics
    ///
    /// Panics if a user of the tally panicked before.
    pub fn update(&self, target: &str, change: impl FnOnce(&mut Counts)) {
        let mut inner = self.inner.lock().expect("no user of the tally panicked");
        change(inner.targets.entry(target.to_owned()).or_default());
    }

    /// Copies all counts.
    ///
    /// # Panics
    ///
    /// Panics if a user of the tally panicked before.
    pub fn snapshot(&self) -> Snapshot {
        let inner = self.inner.lock().expect("no user of the tally panicked");
        inner.clone()
    }

    /// Copies the counts of one target.
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
    /// Counts the non-idempotent requests whose work ran more than once: by key, and by send where there is none.
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

    /// Returns when requests began at `target`, in order.
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
