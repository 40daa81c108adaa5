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

/// One family on one user's fleet under one policy.
struct Case<'a> {
    trace: &'a trace::Trace,
    fleet: &'a trace::Fleet,
    policy: &'a dyn replay::Replay,
}

/// Replays the families, and hands each line of measures to `print` as it comes.
///
/// # Errors
///
/// Returns an error if a trace or a fleet does not read.
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
                let case = Case {
                    trace,
                    fleet,
                    policy: policy.as_ref(),
                };
                let runs = replay_all(&case, options.seeds, options.threads);
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

/// Replays one case for all seeds; the result does not depend on the number of threads.
fn replay_all(case: &Case<'_>, seeds: u64, threads: usize) -> Vec<measures::Run> {
    let next = atomic::AtomicU64::new(0);
    let work = || {
        let mut done = Vec::new();
        loop {
            let seed = next.fetch_add(1, atomic::Ordering::Relaxed);
            if seed >= seeds {
                return done;
            }
            done.push((seed, check::run(case.policy, case.trace, case.fleet, seed)));
        }
    };
    let mut all: Vec<_> = thread::scope(|scope| {
        let workers: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        workers
            .into_iter()
            .flat_map(|w| w.join().unwrap_or_default())
            .collect()
    });
    all.sort_by_key(|(seed, _)| *seed);
    all.into_iter().map(|(_, run)| run).collect()
}
