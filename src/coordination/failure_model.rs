//! The failure model: how likely a target is to fail the next request, by the outcomes of its last ones.
//!
//! Targets fail and recover by themselves within seconds. A [`FailureModel`] is a hidden Markov model of one target:
//! Bayes' rule updates it with each outcome, and without new outcomes it decays to the prior. So a target that has just
//! answered another request is preferred to one that has been idle for a while, and a single failure is enough to pass
//! a target over, whatever the rest of the service does.
//!
//! Load pattern: at any time a share of the targets fails most requests, too briefly for
//! [`crate::coordination::outlier`], which compares a target with the others.

use crate::protocol::peer::Outcome;
use crate::state::clock;

/// The number of failing states of the model; each fails requests in a different way.
const FAILING_STATES: usize = 3;

/// The likelihood of an outcome while the target is healthy, and in each failing state.
struct Likelihood {
    healthy: f64,
    failing: [f64; FAILING_STATES],
}

/// The probabilities that a target without known outcomes breaks connections, answers with failures, or does not
/// respond.
///
/// Estimated from full-day records of deployments whose targets fail intermittently; see `docs/design/soundness.md`.
const PRIOR: [f64; FAILING_STATES] = [0.28, 0.02, 0.01];
/// The time constant with which the model decays to the prior, estimated from the same records.
const DECAY_MS: f64 = 9_500.0;

/// An answer: a failing target still serves some requests.
const ANSWERED: Likelihood = Likelihood {
    healthy: 0.985,
    failing: [0.25, 0.55, 0.2],
};
/// An answer that is a failure; healthy targets return some too.
const FAILED: Likelihood = Likelihood {
    healthy: 0.012,
    failing: [0.012, 0.43, 0.01],
};
/// A connection that broke; this is rare at healthy targets.
const BROKEN: Likelihood = Likelihood {
    healthy: 0.002,
    failing: [0.73, 0.01, 0.1],
};
/// No connection, or no answer: the network path may be at fault.
const SILENT: Likelihood = Likelihood {
    healthy: 0.002,
    failing: [0.01, 0.01, 0.7],
};

/// The failure probabilities up to which targets are in the same level, in ascending order.
const LEVEL_LIMITS: [f64; 5] = [0.06, 0.15, 0.35, 0.5, 0.8];

/// The probabilities that one target is in each failing state.
#[derive(Clone, Copy, Debug)]
pub struct FailureModel {
    /// The probability of each failing state at the time `updated`.
    failing: [f64; FAILING_STATES],
    updated: clock::Millis,
}

impl FailureModel {
    /// Returns the model of a target without known outcomes.
    pub fn new(now: clock::Millis) -> FailureModel {
        FailureModel {
            failing: PRIOR,
            updated: now,
        }
    }

    /// Returns the probability that the target is failing.
    pub fn probability(&self, now: clock::Millis) -> f64 {
        self.decayed(now).iter().sum()
    }

    /// Returns the level of the failure probability. Targets of one level rank as equal; level 0 is the best.
    pub fn level(&self, now: clock::Millis) -> usize {
        let probability = self.probability(now);
        LEVEL_LIMITS
            .iter()
            .filter(|level| probability > **level)
            .count()
    }

    /// Updates the model with the outcome of a try at the target.
    pub fn record(&mut self, now: clock::Millis, outcome: Outcome) {
        let likelihood = match outcome {
            Outcome::Answered => ANSWERED,
            Outcome::Failed => FAILED,
            Outcome::Broken => BROKEN,
            Outcome::ConnectFailed | Outcome::TimedOut => SILENT,
            Outcome::Expired
            | Outcome::Shed
            | Outcome::NotRun
            | Outcome::Misplaced
            | Outcome::Unlisted
            | Outcome::Withdrawn
            | Outcome::Unreachable => return,
        };
        let before = self.decayed(now);
        let healthy = (1.0 - before.iter().sum::<f64>()) * likelihood.healthy;
        let mut failing = [0.0; FAILING_STATES];
        for (state, (prior, likely)) in failing
            .iter_mut()
            .zip(before.iter().zip(likelihood.failing))
        {
            *state = prior * likely;
        }
        let total = healthy + failing.iter().sum::<f64>();
        self.failing = failing.map(|m| m / total);
        self.updated = now;
    }

    /// Returns the probability of each failing state at time `now`.
    fn decayed(&self, now: clock::Millis) -> [f64; FAILING_STATES] {
        let weight = (-((now - self.updated).0 as f64) / DECAY_MS).exp();
        let mut failing = PRIOR;
        for (state, known) in failing.iter_mut().zip(self.failing) {
            *state += (known - *state) * weight;
        }
        failing
    }
}
