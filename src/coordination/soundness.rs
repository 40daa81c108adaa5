//! Soundness: how likely a target is to fail the next request, by what its last ones told.
//!
//! Targets turn bad and come back by themselves, each for some seconds. A [`Doubt`] is the probability that its target is
//! bad now: Bayes' rule takes in each outcome, and what nobody confirms fades back to the prior. So a target that another
//! request has just proved sound is preferred to one that nobody used for a while, and one failure is enough to pass a
//! target over, whatever the rest of the service does. Load pattern: a share of the targets failing most requests at any
//! time, too briefly for [`crate::coordination::judge`], which compares a target with the others.

use crate::protocol::peer::Outcome;
use crate::state::clock;

/// The probability that a target is bad of which nothing is known of late.
const PRIOR: f64 = 0.15;
/// The time in which what is known of a target loses most of its weight: about as long as a target stays bad.
const FADING_MS: f64 = 2_500.0;
/// The same for a target that failed several times in a row.
const LONG_FADING_MS: f64 = 5_000.0;

/// The likelihoods of one outcome, at a target that is bad and at one that is sound.
struct Likelihood {
    bad: f64,
    sound: f64,
}

/// An answer: a bad target still serves some requests.
const ANSWERED: Likelihood = Likelihood {
    bad: 0.25,
    sound: 0.985,
};
/// An answer that is a failure, as sound targets give now and then.
const FAILED: Likelihood = Likelihood {
    bad: 0.4,
    sound: 0.015,
};
/// A connection that broke, which sound targets hardly ever do.
const BROKEN: Likelihood = Likelihood {
    bad: 0.7,
    sound: 0.003,
};
/// No connection, or no answer: the way there may be at fault.
const SILENT: Likelihood = Likelihood {
    bad: 0.6,
    sound: 0.01,
};

/// The doubts up to which targets count as equally sound, least first.
const LEVELS: [f64; 5] = [0.05, 0.15, 0.3, 0.5, 0.8];

/// The probability that one target is bad.
#[derive(Clone, Copy, Debug)]
pub struct Doubt {
    value: f64,
    at: clock::Millis,
    /// The failures since the last answer.
    failures: u32,
}

impl Doubt {
    /// Returns the doubt about a target of which nothing is known.
    pub fn new(now: clock::Millis) -> Doubt {
        Doubt {
            value: PRIOR,
            at: now,
            failures: 0,
        }
    }

    /// Returns the probability that the target is bad.
    pub fn value(&self, now: clock::Millis) -> f64 {
        let fading = match self.failures {
            0 | 1 => FADING_MS,
            _ => LONG_FADING_MS,
        };
        let weight = (-((now - self.at).0 as f64) / fading).exp();
        PRIOR + (self.value - PRIOR) * weight
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
            Outcome::Shed
            | Outcome::NotRun
            | Outcome::Misplaced
            | Outcome::Unlisted
            | Outcome::Withdrawn => return,
        };
        let value = self.value(now);
        let bad = value * likelihood.bad;
        self.value = bad / (bad + (1.0 - value) * likelihood.sound);
        self.at = now;
        self.failures = match outcome {
            Outcome::Answered => 0,
            _ => self.failures + 1,
        };
    }
}
