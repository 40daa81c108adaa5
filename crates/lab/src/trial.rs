//! A fleet under load, and what was counted outside the daemons when it is over.
//!
//! The demonstration and the proofs of promises are trials: they start a [`Trial`], bring faults upon its fleet, and
//! read the [`Counts`].

use std::collections::BTreeMap;
use std::sync;
use std::time;

use peridotspread::state::clock;

use crate::fleet;
use crate::load;
use crate::target;
use crate::watch;

/// How long a leaving target may still get new work.
pub const LEAVE: clock::Millis = clock::Millis(5_000);
/// How long a trial waits for requests to be served.
const PATIENCE: time::Duration = time::Duration::from_secs(30);
/// The time between two looks at the report.
const LOOK: time::Duration = time::Duration::from_millis(20);

/// A fleet under load.
#[derive(Debug)]
pub struct Trial {
    /// The fleet.
    pub fleet: fleet::Fleet,
    /// The balancer before it.
    pub entries: sync::Arc<load::Entries>,
    load: load::Load,
    watch: watch::Watch,
    versions: watch::Versions,
    drained: BTreeMap<String, clock::Millis>,
    left: BTreeMap<String, clock::Millis>,
    sick: Vec<String>,
}

/// What was counted outside the daemons.
#[derive(Clone, Debug)]
pub struct Counts {
    /// What callers were told.
    pub report: load::Report,
    /// What the targets counted.
    pub counted: target::Snapshot,
    /// The comparison of the two.
    pub verdict: load::Verdict,
    /// What was seen of ejections.
    pub seen: watch::Seen,
    /// Sends that a daemon got during its graceful shutdown and left without an answer.
    pub cut: u64,
    /// Requests that began at a target more than [`LEAVE`] after it was told to leave.
    pub late: u64,
    /// Versions of the bundle that were seen to fall at a daemon.
    pub falls: u64,
    /// Targets that were ejected, though nothing was wrong with them.
    pub mistaken: Vec<String>,
}

impl Trial {
    /// Puts a fleet under load.
    pub fn start(fleet: fleet::Fleet, plan: &load::Plan) -> Trial {
        let entries = fleet.entries();
        Trial {
            load: load::start(plan, entries.clone(), fleet.clock),
            watch: fleet.watch(),
            versions: fleet.watch_versions(),
            entries,
            fleet,
            drained: BTreeMap::new(),
            left: BTreeMap::new(),
            sick: Vec::new(),
        }
    }

    /// Reads what callers were told so far.
    pub fn read<T>(&self, read: impl FnOnce(&load::Report) -> T) -> T {
        self.load.read(read)
    }

    /// Copies what was seen of ejections so far.
    pub fn seen(&self) -> watch::Seen {
        self.watch.seen()
    }

    /// Waits until `count` more requests of a service were served.
    ///
    /// # Errors
    ///
    /// Returns an error if that does not happen in time.
    pub async fn wait_served(&self, service: &str, count: u64) -> Result<(), fleet::Error> {
        let what = format!("{count} more answers of {service}");
        self.counts(
            &what,
            |r| r.services.get(service).map_or(0, |g| g.served),
            count,
        )
        .await
    }

    /// Waits until `count` more requests of a service were refused as not run.
    ///
    /// # Errors
    ///
    /// Returns an error if that does not happen in time.
    pub async fn wait_refused(&self, service: &str, count: u64) -> Result<(), fleet::Error> {
        let what = format!("{count} more refusals of {service}");
        self.counts(
            &what,
            |r| r.services.get(service).map_or(0, |g| g.not_run),
            count,
        )
        .await
    }

    async fn counts(
        &self,
        what: &str,
        read: impl Fn(&load::Report) -> u64,
        more: u64,
    ) -> Result<(), fleet::Error> {
        let start = time::Instant::now();
        let from = self.load.read(&read);
        while self.load.read(&read) < from + more {
            if start.elapsed() > PATIENCE {
                return Err(fleet::Error::TimedOut {
                    what: what.to_owned(),
                });
            }
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    /// Makes a target gray, or well again by [`target::Fault::None`]; returns when.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such target.
    pub fn set_fault(
        &mut self,
        name: &str,
        fault: &target::Fault,
    ) -> Result<clock::Millis, fleet::Error> {
        self.sick.push(name.to_owned());
        self.fleet.set_fault(name, fault)
    }

    /// Begins the graceful shutdown of a daemon; [`Counts::cut`] counts what it leaves without an answer from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not run.
    pub fn drain(&mut self, name: &str) -> Result<(), fleet::Error> {
        self.drained.insert(name.to_owned(), self.fleet.clock.now());
        self.fleet.terminate(name)
    }

    /// Rolls out a bundle in which a target leaves; returns its version.
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
        self.left.insert(name.to_owned(), self.fleet.clock.now());
        Ok(next.version)
    }

    /// Ends the load, and compares all counts; the fleet is still there afterwards.
    pub async fn finish(self) -> (Counts, fleet::Fleet) {
        let report = self.load.stop().await;
        let counted = self.fleet.targets.tally().snapshot();
        let seen = self.watch.seen();
        let late = counted.runs.iter().filter(|run| {
            let left = self.left.get(&run.target);
            left.is_some_and(|at| run.at > *at + LEAVE)
        });
        let cut = self
            .drained
            .iter()
            .map(|(name, at)| report.count_lost(name, *at));
        let mistaken = seen.ejected.keys().filter(|t| !self.sick.contains(t));
        let counts = Counts {
            verdict: report.verdict(&counted),
            cut: cut.sum(),
            late: late.count() as u64,
            falls: self.versions.falls(),
            mistaken: mistaken.cloned().collect(),
            seen: seen.clone(),
            report,
            counted,
        };
        (counts, self.fleet)
    }
}

impl Counts {
    /// Returns the counts that must be zero and are not.
    pub fn violations(&self) -> Vec<(&'static str, u64)> {
        let all = [
            ("wrong_answers", self.verdict.wrong),
            ("truncated_unseen", self.verdict.short),
            ("ran_twice", self.verdict.twice),
            ("ran_though_refused", self.verdict.refused),
            ("floor_breaches", self.seen.breaches),
            ("cut_in_drain", self.cut),
            ("late_work", self.late),
            ("version_falls", self.falls),
        ];
        all.into_iter().filter(|(_, n)| *n > 0).collect()
    }
}
