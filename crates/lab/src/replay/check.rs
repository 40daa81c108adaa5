//! Checks the runs of a trace against the outcomes that the trace requires.

use crate::replay;
use crate::replay::Replay;
use crate::replay::measures;
use crate::replay::scenario;
use crate::replay::trace;
use peridotspread::state::bundle;

/// Replays `trace` on every service of its fleets, `seeds` times each, and returns a message for each required bound
/// that is missed.
pub fn findings(trace: &trace::Trace, fleets: &[trace::Fleet], seeds: u64) -> Vec<String> {
    let mut found = Vec::new();
    for fleet in fleets {
        let compared = trace
            .outcomes
            .iter()
            .any(|o| o.harm_ratio.is_some() && applies_to(o, fleet));
        let fleet_runs = runs(&replay::FleetReplay, trace, fleet, seeds);
        let baseline = if compared {
            runs(&replay::BaselineReplay, trace, fleet, seeds)
        } else {
            Vec::new()
        };
        let by_arrival = match trace.outcomes.iter().any(|o| o.worth_ratio.is_some()) {
            true => runs(
                &replay::OrderReplay(bundle::Order::Arrival),
                trace,
                fleet,
                seeds,
            ),
            false => Vec::new(),
        };
        found.extend(nonzero_counts(fleet, &fleet_runs));
        for outcome in trace.outcomes.iter().filter(|o| applies_to(o, fleet)) {
            found.extend(missed_bounds(outcome, fleet, &fleet_runs, &baseline));
            found.extend(missed_shares(outcome, fleet, &fleet_runs, &by_arrival));
        }
    }
    found
}

/// Replays `trace` on each service of `fleet`, `seeds` times each.
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

/// Replays `trace` once; the seed selects the service in round-robin order.
pub fn run(
    policy: &dyn Replay,
    trace: &trace::Trace,
    fleet: &trace::Fleet,
    seed: u64,
) -> measures::Run {
    let services = trace.services(fleet);
    let index = usize::try_from(seed).unwrap_or(0) % services.len().max(1);
    let scenario = scenario::Scenario::new(trace, fleet, services[index], seed);
    policy.run(scenario, seed)
}

fn applies_to(outcome: &trace::Outcome, fleet: &trace::Fleet) -> bool {
    outcome
        .fleet
        .as_ref()
        .is_none_or(|name| *name == fleet.name)
}

/// Returns a message for each count that must be zero in every trace but is not.
fn nonzero_counts(fleet: &trace::Fleet, runs: &[measures::Run]) -> Vec<String> {
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

/// Checks the bounds on the requests of streams.
fn missed_shares(
    outcome: &trace::Outcome,
    fleet: &trace::Fleet,
    runs: &[measures::Run],
    by_arrival: &[measures::Run],
) -> Vec<String> {
    let mut found = Vec::new();
    if let Some(bound) = outcome.worth_ratio {
        let worth = |runs| measures::worth(runs).unwrap_or_default();
        let (value, arrival) = (worth(runs), worth(by_arrival));
        if value < bound * arrival {
            found.push(format!(
                "{}: worth {value:.4}, at least {bound} of {arrival:.4} in the order of arrival",
                fleet.name
            ));
        }
    }
    if let Some(bound) = outcome.least_ratio {
        let streams = measures::streams(runs);
        let all = measures::Share {
            all: streams.iter().map(|s| s.all).sum(),
            served: streams.iter().map(|s| s.served).sum(),
        };
        for (stream, share) in streams.iter().enumerate() {
            if share.value() < bound * all.value() {
                let (share, all) = (share.value(), all.value());
                let name = &fleet.name;
                found.push(format!(
                    "{name}: stream {stream}: served {share:.4}, at least {bound} of {all:.4}"
                ));
            }
        }
    }
    found
}

fn missed_bounds(
    outcome: &trace::Outcome,
    fleet: &trace::Fleet,
    runs: &[measures::Run],
    baseline: &[measures::Run],
) -> Vec<String> {
    let mut found = Vec::new();
    let mut require = |holds: bool, message: String| {
        if !holds {
            found.push(format!("{}: {message}", fleet.name));
        }
    };
    if let Some(bound) = outcome.detect_ms {
        let slowest = runs.iter().flat_map(|r| &r.detections).max().copied();
        let slowest = slowest.unwrap_or(measures::Detection::After(bound));
        let holds = slowest <= measures::Detection::After(bound);
        require(
            holds,
            format!("last new request at a gray target: {slowest:?}, at most {bound}"),
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
        let (fleet_harmed, baseline_harmed) = (harmed(runs), harmed(baseline));
        let most = bound * baseline_harmed as f64;
        require(
            fleet_harmed as f64 <= most,
            format!("harmed: {fleet_harmed}, at most {bound} of the baseline's {baseline_harmed}"),
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
