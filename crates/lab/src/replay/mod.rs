//! Deterministic replay of traces through the daemon's own decision code and through a baseline policy, with
//! measurements of both.
//!
//! A [`scenario::Scenario`] is built from a [`trace::Trace`] and one service of a [`trace::Fleet`]. A
//! [`sim::Simulation`] runs a policy on the scenario, and [`measures`] holds the results. `docs/TRACES.md` documents
//! the file formats,
//! `docs/design/detection.md` the results.

use peridotspread::state::bundle;

mod baseline;
pub mod check;
pub mod curve;
mod fleet;
pub mod measures;
pub mod policy;
pub mod scenario;
pub mod sim;
pub mod target;
pub mod trace;

/// Runs a scenario under one policy.
pub trait Replay: Send + Sync {
    /// Returns the name of the policy, as in the output.
    fn name(&self) -> &'static str;

    /// Runs `scenario` to its end and returns the measurements; `seed` seeds the random decisions of the simulation.
    fn run(&self, scenario: scenario::Scenario, seed: u64) -> measures::Run;
}

/// The policy of the fleet: the decision code of the daemons.
#[derive(Debug)]
pub struct FleetReplay;

impl Replay for FleetReplay {
    fn name(&self) -> &'static str {
        "fleet"
    }

    fn run(&self, scenario: scenario::Scenario, seed: u64) -> measures::Run {
        const WHOLE_TARGET: f64 = 1.0;
        let sim = sim::Simulation::new(scenario, seed, WHOLE_TARGET);
        let mut policy = fleet::Fleet::new(&sim);
        sim.run(&mut policy)
    }
}

/// The policy of the fleet with the given order of service.
#[derive(Debug)]
pub struct OrderReplay(pub bundle::Order);

impl Replay for OrderReplay {
    fn name(&self) -> &'static str {
        match self.0 {
            bundle::Order::Arrival => "arrival",
            bundle::Order::Value => "value",
        }
    }

    fn run(&self, mut scenario: scenario::Scenario, seed: u64) -> measures::Run {
        scenario.service.order = self.0;
        FleetReplay.run(scenario, seed)
    }
}

/// The policy for comparison, in which each daemon decides on its own.
#[derive(Debug)]
pub struct BaselineReplay;

impl Replay for BaselineReplay {
    fn name(&self) -> &'static str {
        "baseline"
    }

    fn run(&self, scenario: scenario::Scenario, seed: u64) -> measures::Run {
        let share = 1.0 / scenario.names.len().max(1) as f64;
        let sim = sim::Simulation::new(scenario, seed, share);
        let mut policy = baseline::Baseline::default();
        sim.run(&mut policy)
    }
}

/// Returns the policies to compare on a trace: the policy of the fleet, then the baseline. On a trace with streams, these
/// are the two orders of service.
pub fn policies(trace: &trace::Trace) -> Vec<Box<dyn Replay>> {
    if !trace.streams.is_empty() {
        return vec![
            Box::new(OrderReplay(bundle::Order::Value)),
            Box::new(OrderReplay(bundle::Order::Arrival)),
        ];
    }
    vec![Box::new(FleetReplay), Box::new(BaselineReplay)]
}
