//! Soundness: how likely a target is to fail the next request, by what its last ones told.
//!
//! Targets turn bad and come back by themselves, each for some seconds. A [`FailureModel`] is a hidden Markov model of one
//! target: Bayes' rule takes in each outcome, and what nobody confirms relaxes to the prior. So a target that another
//! request has just proved sound is preferred to one that nobody used for a while, and one failure is enough to pass a
//! target over, whatever the rest of the service does. Load pattern: a share of the targets failing most requests at any
//! time, too briefly for [`crate::coordination::outlier`], which compares a target with the others.

use crate::protocol::peer::Outcome;
use crate::state::clock;

/// The ways in which a target is bad: each fails its requests in its own manner.
const MODES: usize = 3;

/// How the tries at a target end, by its state: the likelihood of each sign where it is sound, and in each bad mode.
struct Likelihood {
    sound: f64,
    bad: [f64; MODES],
}

/// The probabilities that a target of which nothing is known breaks connections, answers with failures, or is silent.
///
/// From the tries of whole days on deployments whose targets fail by turns (`docs/design/soundness.md`).
const PRIOR: [f64; MODES] = [0.28, 0.02, 0.01];
/// The time in which what is known of a target loses most of its weight; from the same tries.
const RELAXATION_MS: f64 = 9_500.0;

/// An answer: a bad target still serves some requests.
const ANSWERED: Likelihood = Likelihood {
    sound: 0.985,
    bad: [0.25, 0.55, 0.2],
};
/// An answer that is a failure, as sound targets give now and then.
const FAILED: Likelihood = Likelihood {
    sound: 0.012,
    bad: [0.012, 0.43, 0.01],
};
/// A connection that broke, which sound targets hardly ever do.
const BROKEN: Likelihood = Likelihood {
    sound: 0.002,
    bad: [0.73, 0.01, 0.1],
};
/// No connection, or no answer: the way there may be at fault.
const SILENT: Likelihood = Likelihood {
    sound: 0.002,
    bad: [0.01, 0.01, 0.7],
};

/// The doubts up to which targets count as equally sound, least first.
const LEVELS: [f64; 5] = [0.06, 0.15, 0.35, 0.5, 0.8];

/// The probability that one target is bad.
#[derive(Clone, Copy, Debug)]
pub struct FailureModel {
    /// The probability of each bad mode at the time `at`.
    modes: [f64; MODES],
    at: clock::Millis,
}

impl FailureModel {
    /// Returns the doubt about a target of which nothing is known.
    pub fn new(now: clock::Millis) -> FailureModel {
        FailureModel {
            modes: PRIOR,
            at: now,
        }
    }

    /// Returns the probability that the target is bad.
    pub fn value(&self, now: clock::Millis) -> f64 {
        self.relaxed(now).iter().sum()
    }

    /// Returns the class of equally sound targets that the target is in; 0 is the best.
    pub fn level(&self, now: clock::Millis) -> usize {
        let value = self.value(now);
        LEVELS.iter().filter(|level| value > **level).count()
    }

    /// Takes in how a try at the target ended.
    pub fn take(&mut self, now: clock::Millis, outcome: Outcome) {
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
            | Outcome::Withdrawn => return,
        };
        let before = self.relaxed(now);
        let sound = (1.0 - before.iter().sum::<f64>()) * likelihood.sound;
        let mut modes = [0.0; MODES];
        for (mode, (prior, likely)) in modes.iter_mut().zip(before.iter().zip(likelihood.bad)) {
            *mode = prior * likely;
        }
        let total = sound + modes.iter().sum::<f64>();
        self.modes = modes.map(|m| m / total);
        self.at = now;
    }

    /// Returns the probability of each bad mode at time `now`.
    fn relaxed(&self, now: clock::Millis) -> [f64; MODES] {
        let weight = (-((now - self.at).0 as f64) / RELAXATION_MS).exp();
        let mut modes = PRIOR;
        for (mode, known) in modes.iter_mut().zip(self.modes) {
            *mode += (known - *mode) * weight;
        }
        modes
    }
}
