//! `cargo lab policy`: replays all families under both policies and prints their measures.

use std::path;
use std::sync::atomic;
use std::thread;

use crate::replay;
use crate::replay::check;
use crate::replay::measures;
use crate::replay::trace;

/// What to replay.
#[derive(Clone, Debug)]
pub struct PolicyOptions {
    /// The directory of the traces.
    pub dir: path::PathBuf,
    /// The runs of each family, user and policy; each draws from a seed of its own.
    pub seeds: u64,
    /// Only the families whose names contain this text.
    pub only: Option<String>,
    /// The runs at a time.
    pub threads: usize,
}

/// Replays the families, and hands each line of measures to `print` as it comes.
///
/// # Errors
///
/// Returns an error if a trace or a fleet does not read.
///
/// # Panics
///
/// Panics if a decision panics during a run.
pub fn run(
    options: &PolicyOptions,
    print: &mut dyn FnMut(&measures::Line),
) -> Result<(), trace::Error> {
    let all = trace::load_all(&options.dir)?;
    let policies = replay::policies();
    let wanted = |t: &trace::Trace| options.only.as_ref().is_none_or(|o| t.family.contains(o));
    for (trace, fleets) in all.iter().filter(|(t, _)| wanted(t)) {
        for fleet in fleets {
            for policy in &policies {
                let one = |seed| check::run(policy.as_ref(), trace, fleet, seed);
                let runs = run_seeds(options.seeds, options.threads, &one);
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

/// Runs `one` for each of the first `seeds` seeds; the result does not depend on the number of threads.
pub(crate) fn run_seeds(
    seeds: u64,
    threads: usize,
    one: &(dyn Fn(u64) -> measures::Run + Sync),
) -> Vec<measures::Run> {
    let next = atomic::AtomicU64::new(0);
    let work = || {
        let mut done = Vec::new();
        loop {
            let seed = next.fetch_add(1, atomic::Ordering::Relaxed);
            if seed >= seeds {
                return done;
            }
            done.push((seed, one(seed)));
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
