//! Trials: a fleet under load, whose guarantees are checked by counters kept outside the daemons.
//!
//! The demonstration and the tests of processes start a [`Trial`], inject faults into its fleet, and read the
//! [`Counts`] at the end.

use std::collections::BTreeMap;
use std::sync;
use std::time;

use peridotspread::state::clock;

use crate::fleet;
use crate::load;
use crate::target;
use crate::watch;

/// How long a leaving target may still receive new requests.
pub const LEAVE_GRACE: clock::Millis = clock::Millis(5_000);
/// The timeout of waits for served or refused requests.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// The interval between reads of the report while waiting.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// A fleet under load.
#[derive(Debug)]
pub struct Trial {
    /// The fleet under load.
    pub fleet: fleet::Fleet,
    /// The load balancer in front of the fleet.
    pub entries: sync::Arc<load::Entries>,
    load: load::Load,
    watch: watch::Watch,
    versions: watch::Versions,
    /// The daemons that were shut down gracefully, with the time when that began.
    drained: BTreeMap<String, clock::Millis>,
    /// The targets that were marked as leaving, with the time when the rollout was accepted.
    leaving: BTreeMap<String, clock::Millis>,
    /// The targets into which faults were injected.
    faulted: Vec<String>,
}

/// The counters of a trial, all taken outside the daemons.
#[derive(Clone, Debug)]
pub struct Counts {
    /// The results that callers saw.
    pub report: load::Report,
    /// The runs and counters of the targets.
    pub snapshot: target::Snapshot,
    /// The violations found by comparing callers' results with targets' runs.
    pub verdict: load::Verdict,
    /// The observed ejections.
    pub observed: watch::Observed,
    /// Attempts that got no response from a daemon after the start of its graceful shutdown.
    pub unanswered: u64,
    /// Requests that began at a target more than [`LEAVE_GRACE`] after it was marked as leaving.
    pub late_runs: u64,
    /// Observed decreases of the bundle version at a daemon.
    pub version_regressions: u64,
    /// Targets that were ejected although no fault was injected into them.
    pub false_ejections: Vec<String>,
}

impl Trial {
    /// Starts a load on a fleet.
    pub fn start(fleet: fleet::Fleet, plan: &load::Plan) -> Trial {
        let entries = fleet.entries();
        Trial {
            load: load::start(plan, entries.clone(), fleet.clock),
            watch: fleet.watch(),
            versions: fleet.watch_versions(),
            entries,
            fleet,
            drained: BTreeMap::new(),
            leaving: BTreeMap::new(),
            faulted: Vec::new(),
        }
    }

    /// Calls `read` with the current report of the load.
    pub fn read<T>(&self, read: impl FnOnce(&load::Report) -> T) -> T {
        self.load.read(read)
    }

    /// Returns the ejections observed so far.
    pub fn observed(&self) -> watch::Observed {
        self.watch.observed()
    }

    /// Waits until `count` more requests of a service are served.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than 30 seconds.
    pub async fn wait_served(&self, service: &str, count: u64) -> Result<(), fleet::Error> {
        let what = format!("{count} more served requests of {service}");
        self.wait_count(
            &what,
            |r| r.services.get(service).map_or(0, |g| g.served),
            count,
        )
        .await
    }

    /// Waits until `count` more requests of a service are refused as not run.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than 30 seconds.
    pub async fn wait_refused(&self, service: &str, count: u64) -> Result<(), fleet::Error> {
        let what = format!("{count} more refused requests of {service}");
        self.wait_count(
            &what,
            |r| r.services.get(service).map_or(0, |g| g.not_run),
            count,
        )
        .await
    }

    /// Waits until the counter that `read` returns has increased by `more`.
    async fn wait_count(
        &self,
        what: &str,
        read: impl Fn(&load::Report) -> u64,
        more: u64,
    ) -> Result<(), fleet::Error> {
        let start = time::Instant::now();
        let before = self.load.read(&read);
        while self.load.read(&read) < before + more {
            if start.elapsed() > WAIT_TIMEOUT {
                return Err(fleet::Error::TimedOut {
                    condition: what.to_owned(),
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Injects a fault into a target ([`target::Fault::None`] clears it) and returns the time of the change.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such target.
    pub fn set_fault(
        &mut self,
        name: &str,
        fault: &target::Fault,
    ) -> Result<clock::Millis, fleet::Error> {
        self.faulted.push(name.to_owned());
        self.fleet.set_fault(name, fault)
    }

    /// Starts the graceful shutdown of a daemon; [`Counts::unanswered`] counts its unanswered attempts from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon is not running.
    pub fn drain(&mut self, name: &str) -> Result<(), fleet::Error> {
        self.drained.insert(name.to_owned(), self.fleet.clock.now());
        self.fleet.terminate(name)
    }

    /// Rolls out a bundle that marks a target as leaving, and returns its version.
    ///
    /// # Errors
    ///
    /// Returns an error if the rollout fails.
    pub async fn leave(&mut self, name: &str) -> Result<u64, fleet::Error> {
        let mut next = self.fleet.bundle.clone();
        next.version += 1;
        let targets = next.services.iter_mut().flat_map(|s| &mut s.targets);
        for target in targets.filter(|t| t.name == name) {
            target.leaving = true;
        }
        self.fleet.roll_out(&next).await?;
        self.leaving.insert(name.to_owned(), self.fleet.clock.now());
        Ok(next.version)
    }

    /// Stops the load and returns the counters with the fleet, which keeps running.
    pub async fn finish(self) -> (Counts, fleet::Fleet) {
        let report = self.load.stop().await;
        let snapshot = self.fleet.targets.tally().snapshot();
        let observed = self.watch.observed();
        let late_runs = snapshot.runs.iter().filter(|run| {
            let leaving = self.leaving.get(&run.target);
            leaving.is_some_and(|at| run.at > *at + LEAVE_GRACE)
        });
        let unanswered = self
            .drained
            .iter()
            .map(|(name, at)| report.count_lost(name, *at));
        let false_ejections = observed
            .ejected
            .keys()
            .filter(|t| !self.faulted.contains(t));
        let counts = Counts {
            verdict: report.verdict(&snapshot),
            unanswered: unanswered.sum(),
            late_runs: late_runs.count() as u64,
            version_regressions: self.versions.regressions(),
            false_ejections: false_ejections.cloned().collect(),
            observed: observed.clone(),
            report,
            snapshot,
        };
        (counts, self.fleet)
    }
}

impl Counts {
    /// Returns the counters that must be zero and are not, by name.
    pub fn violations(&self) -> Vec<(&'static str, u64)> {
        let all = [
            ("wrong_answers", self.verdict.wrong),
            ("truncated_unseen", self.verdict.short),
            ("ran_twice", self.verdict.twice),
            ("ran_though_refused", self.verdict.refused),
            ("floor_breaches", self.observed.breaches),
            ("cut_in_drain", self.unanswered),
            ("late_work", self.late_runs),
            ("version_falls", self.version_regressions),
        ];
        all.into_iter().filter(|(_, n)| *n > 0).collect()
    }
}
