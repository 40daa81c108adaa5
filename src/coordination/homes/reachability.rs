//! Circuit breaking of single homes: an unreachable home is skipped for a backoff time, then tried with one request.

use std::collections::BTreeMap;

use crate::state::clock;

/// The backoff after the first failure of a home; doubles with each failed trial.
const INITIAL_BACKOFF: clock::Millis = clock::Millis(500);
/// The longest backoff of a home.
const MAX_BACKOFF: clock::Millis = clock::Millis(16_000);
/// The time after the start of a trial in which no other trial of the same home starts.
const TRIAL_TIMEOUT: clock::Millis = clock::Millis(1_000);
/// The number of consecutive stalls that count as one lost answer.
const MAX_STALLS: u32 = 2;
/// The time without a failure after which an answer resets a home's state.
const RESET_AFTER: clock::Millis = clock::Millis(30_000);

/// What an entry observed of one of its requests at a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The home answered; a refusal counts as an answer.
    Answered,
    /// The home was unreachable, or the stream broke before the answer arrived.
    Lost,
    /// The home missed a progress message that was due; the request may still be answered.
    Stalled,
}

/// The state of all homes that have failed or stalled; other homes have no state here.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    homes: BTreeMap<String, HomeState>,
}

/// The circuit breaker of one home.
#[derive(Debug, Default)]
struct HomeState {
    /// The number of stalls since the last answer.
    stalls: u32,
    /// The number of failures since the state was last reset, which sets the backoff.
    failures: u32,
    /// The end of the backoff, after which trials may start; absent once the home has answered.
    blocked_until: Option<clock::Millis>,
    /// The earliest time of the next trial.
    next_trial: clock::Millis,
    /// The time of the last failure.
    last_failure: clock::Millis,
}

impl Reachability {
    /// Returns whether a request may be sent to `home`.
    pub(super) fn allows(&self, now: clock::Millis, home: &str) -> bool {
        let Some(state) = self.homes.get(home) else {
            return true;
        };
        state
            .blocked_until
            .is_none_or(|until| now >= until && now >= state.next_trial)
    }

    /// Records that a request is sent to `home`. If the home's backoff has ended, the request is its trial.
    pub(super) fn record_selection(&mut self, now: clock::Millis, home: &str) {
        if let Some(state) = self.homes.get_mut(home) {
            state.next_trial = now + TRIAL_TIMEOUT;
        }
    }

    /// Records an observation of `home`.
    pub(super) fn record(&mut self, now: clock::Millis, home: &str, observation: Observation) {
        match observation {
            Observation::Answered => self.record_answer(now, home),
            Observation::Lost => self
                .homes
                .entry(home.to_owned())
                .or_default()
                .record_failure(now),
            Observation::Stalled => {
                let state = self.homes.entry(home.to_owned()).or_default();
                state.stalls += 1;
                if state.stalls >= MAX_STALLS {
                    state.record_failure(now);
                }
            }
        }
    }

    fn record_answer(&mut self, now: clock::Millis, home: &str) {
        let Some(state) = self.homes.get_mut(home) else {
            return;
        };
        state.stalls = 0;
        state.blocked_until = None;
        if now - state.last_failure > RESET_AFTER {
            self.homes.remove(home);
        }
    }
}

impl HomeState {
    /// Starts a backoff twice as long as the last one. Failures during a backoff belong to requests that were sent
    /// before it, so they do not extend it.
    fn record_failure(&mut self, now: clock::Millis) {
        self.stalls = 0;
        if self.blocked_until.is_some_and(|until| now < until) {
            return;
        }
        let backoff = INITIAL_BACKOFF.0.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        self.last_failure = now;
        self.blocked_until = Some(now + clock::Millis(backoff).min(MAX_BACKOFF));
    }
}
