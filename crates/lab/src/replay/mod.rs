//! Replays traces through the daemon's own decision code and through a baseline policy, and measures both.
//!
//! A [`trace::Trace`] on one service of a [`trace::Fleet`] gives a [`scene::Scene`]; the [`world::World`] confronts a
//! policy with it; [`measures`] hold what was seen. `docs/TRACES.md` documents the files, `docs/design/detection.md`
//! what was found.

mod baseline;
pub mod check;
pub mod curve;
mod fleet;
pub mod measures;
pub mod policy;
pub mod scene;
pub mod target;
pub mod trace;
pub mod world;

/// Replays one scene under one policy.
pub trait Replay: Send + Sync {
    /// Returns the policy's name.
    fn name(&self) -> &'static str;

    /// Runs the scene to its end.
    fn run(&self, scene: scene::Scene, seed: u64) -> measures::Run;
}

/// The fleet's policy.
#[derive(Debug)]
pub struct FleetReplay;

impl Replay for FleetReplay {
    fn name(&self) -> &'static str {
        "fleet"
    }

    fn run(&self, scene: scene::Scene, seed: u64) -> measures::Run {
        const WHOLE_TARGET: f64 = 1.0;
        let world = world::World::new(scene, seed, WHOLE_TARGET);
        let mut policy = fleet::Fleet::new(&world);
        world.play(&mut policy)
    }
}

/// The baseline policy.
#[derive(Debug)]
pub struct BaselineReplay;

impl Replay for BaselineReplay {
    fn name(&self) -> &'static str {
        "baseline"
    }

    fn run(&self, scene: scene::Scene, seed: u64) -> measures::Run {
        let share = 1.0 / scene.names.len().max(1) as f64;
        let world = world::World::new(scene, seed, share);
        let mut policy = baseline::Baseline::default();
        world.play(&mut policy)
    }
}

/// Returns the policies that are compared: the fleet's, then the baseline.
pub fn policies() -> Vec<Box<dyn Replay>> {
    vec![Box::new(FleetReplay), Box::new(BaselineReplay)]
}
