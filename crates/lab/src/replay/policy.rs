//! `cargo lab policy`: replays all trace families under both policies and prints the measurements.

use std::path;
use std::sync::atomic;
use std::thread;

use crate::replay;
use crate::replay::check;
use crate::replay::measures;
use crate::replay::trace;

/// Options of [`run`].
#[derive(Clone, Debug)]
pub struct PolicyOptions {
    /// The directory that holds the traces.
    pub dir: path::PathBuf,
    /// The number of runs for each family, user and policy; each run has its own seed.
    pub seeds: u64,
    /// Restricts the replay to families whose names contain this text.
    pub only: Option<String>,
    /// The number of runs that execute in parallel.
    pub threads: usize,
}

/// Replays the families and passes each line of measurements to `print` as soon as it is available.
///
/// # Errors
///
/// Returns an error if a trace or a fleet cannot be read or parsed.
///
/// # Panics
///
/// Panics if a run panics.
pub fn run(
    options: &PolicyOptions,
    print: &mut dyn FnMut(&measures::Line),
) -> Result<(), trace::Error> {
    let all = trace::load_all(&options.dir)?;
    let selected = |t: &trace::Trace| options.only.as_ref().is_none_or(|o| t.family.contains(o));
    for (trace, fleets) in all.iter().filter(|(t, _)| selected(t)) {
        let policies = replay::policies(trace);
        for fleet in fleets {
            for policy in &policies {
                let run_seed = |seed| check::run(policy.as_ref(), trace, fleet, seed);
                let runs = run_seeds(options.seeds, options.threads, &run_seed);
                print(&measures::Line::new(
                    &trace.family,
                    &fleet.name,
                    policy.name(),
                    &runs,
                ));
            }
        }
    }
    Ok(())
}

/// Calls `run_seed` with each seed below `seeds` and returns the results in the order of the seeds, whatever the number
/// of threads.
pub(crate) fn run_seeds(
    seeds: u64,
    threads: usize,
    run_seed: &(dyn Fn(u64) -> measures::Run + Sync),
) -> Vec<measures::Run> {
    let next = atomic::AtomicU64::new(0);
    let work = || {
        let mut done = Vec::new();
        loop {
            let seed = next.fetch_add(1, atomic::Ordering::Relaxed);
            if seed >= seeds {
                return done;
            }
            done.push((seed, run_seed(seed)));
        }
    };
    let mut all: Vec<_> = thread::scope(|scope| {
        let workers: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        let joined = workers
            .into_iter()
            .map(|w| w.join().expect("no run panics"));
        joined.flatten().collect()
    });
    all.sort_by_key(|(seed, _)| *seed);
    all.into_iter().map(|(_, run)| run).collect()
}
