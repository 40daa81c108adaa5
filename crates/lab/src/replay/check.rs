//! Checks the runs of a trace against its stated outcome.

use crate::replay;
use crate::replay::Replay;
use crate::replay::measures;
use crate::replay::scene;
use crate::replay::trace;

/// Replays `trace` on every service of its fleets, `seeds` times each, and returns what misses the stated outcome.
pub fn findings(trace: &trace::Trace, fleets: &[trace::Fleet], seeds: u64) -> Vec<String> {
    let mut found = Vec::new();
    for fleet in fleets {
        let compared = trace
            .outcomes
            .iter()
            .any(|o| o.harm_ratio.is_some() && concerns(o, fleet));
        let mine = runs(&replay::FleetReplay, trace, fleet, seeds);
        let baseline = if compared {
            runs(&replay::BaselineReplay, trace, fleet, seeds)
        } else {
            Vec::new()
        };
        found.extend(zeros(fleet, &mine));
        for outcome in trace.outcomes.iter().filter(|o| concerns(o, fleet)) {
            found.extend(misses(outcome, fleet, &mine, &baseline));
        }
    }
    found
}

/// Replays `trace` on the services of one fleet in turn, `seeds` times each.
pub fn runs(
    policy: &dyn Replay,
    trace: &trace::Trace,
    fleet: &trace::Fleet,
    seeds: u64,
) -> Vec<measures::Run> {
    let services = trace.services(fleet);
    let total = seeds * services.len() as u64;
    (0..total)
        .map(|seed| run(policy, trace, fleet, seed))
        .collect()
}

/// Replays `trace` once, on the service that is the seed's turn.
pub fn run(
    policy: &dyn Replay,
    trace: &trace::Trace,
    fleet: &trace::Fleet,
    seed: u64,
) -> measures::Run {
    let services = trace.services(fleet);
    let turn = usize::try_from(seed).unwrap_or(0) % services.len().max(1);
    let scene = scene::Scene::new(trace, fleet, services[turn], seed);
    policy.run(scene, seed)
}

fn concerns(outcome: &trace::Outcome, fleet: &trace::Fleet) -> bool {
    outcome
        .fleet
        .as_ref()
        .is_none_or(|name| *name == fleet.name)
}

/// Checks what is zero in every trace.
fn zeros(fleet: &trace::Fleet, runs: &[measures::Run]) -> Vec<String> {
    let sums = [
        (
            "floor breaches",
            runs.iter().map(|r| r.floor_breaches).sum::<usize>(),
        ),
        ("ran twice", runs.iter().map(|r| r.ran_twice).sum()),
        (
            "ran though refused",
            runs.iter().map(|r| r.ran_though_refused).sum(),
        ),
    ];
    sums.into_iter()
        .filter(|(_, sum)| *sum > 0)
        .map(|(name, sum)| format!("{}: {name}: {sum}, must be 0", fleet.name))
        .collect()
}

fn misses(
    outcome: &trace::Outcome,
    fleet: &trace::Fleet,
    runs: &[measures::Run],
    baseline: &[measures::Run],
) -> Vec<String> {
    let mut found = Vec::new();
    let mut require = |holds: bool, what: String| {
        if !holds {
            found.push(format!("{}: {what}", fleet.name));
        }
    };
    if let Some(bound) = outcome.detect_ms {
        let late = runs.iter().flat_map(|r| &r.detections).max().copied();
        let late = late.unwrap_or(measures::Detection::After(bound));
        let holds = late <= measures::Detection::After(bound);
        require(
            holds,
            format!("last new request at a gray target: {late:?}, at most {bound}"),
        );
    }
    if let Some(bound) = outcome.false_ejections {
        let sum: f64 = runs.iter().map(|r| r.false_ejections).sum();
        require(
            sum <= bound,
            format!("false ejections: {sum}, at most {bound}"),
        );
    }
    for (tier, (share, bound)) in measures::served(runs)
        .iter()
        .zip(&outcome.served)
        .enumerate()
    {
        require(
            share >= bound,
            format!("tier {tier}: served {share:.4}, at least {bound}"),
        );
    }
    if let Some(bound) = outcome.harm_ratio {
        let harmed = |runs: &[measures::Run]| runs.iter().map(|r| r.harmed).sum::<usize>();
        let (mine, theirs) = (harmed(runs), harmed(baseline));
        let most = bound * theirs as f64;
        require(
            mine as f64 <= most,
            format!("harmed: {mine}, at most {bound} of the baseline's {theirs}"),
        );
    }
    if let Some(bound) = outcome.crashes {
        let worst = runs.iter().map(|r| r.crashes).max().unwrap_or(0);
        require(
            worst <= bound,
            format!("targets crashed in one run: {worst}, at most {bound}"),
        );
    }
    found
}
