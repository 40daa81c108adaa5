//! The judgement of single homes: one that can't be reached is passed over for a while, then tried by one request.

use std::collections::BTreeMap;

use crate::state::clock;

/// How long a home is passed over at first; doubles each time that its trial fails.
const FIRST_PAUSE: clock::Millis = clock::Millis(500);
/// How long a home is passed over at most.
const LONGEST_PAUSE: clock::Millis = clock::Millis(16_000);
/// How long one trial holds off others.
const TRIAL: clock::Millis = clock::Millis(1_000);
/// The stalls in a row that count as much as one lost answer.
const STALLS: u32 = 2;
/// How long a home must answer before its earlier failures are forgotten.
const FORGIVEN: clock::Millis = clock::Millis(30_000);

/// How a request at a home went on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The home answered, be it by a refusal.
    Answered,
    /// The home could not be reached, or the stream broke before the answer came.
    Lost,
    /// The home gives no sign although one is due; the request may still be answered.
    Stalled,
}

/// What is known of all homes; one that never failed has no entry.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    homes: BTreeMap<String, Record>,
}

#[derive(Debug, Default)]
struct Record {
    /// Stalls since the last answer.
    stalls: u32,
    /// Times in a row that the home was found unreachable.
    failures: u32,
    /// The home is passed over until then, and after that on trial.
    until: Option<clock::Millis>,
    /// No other trial begins before then.
    trial: clock::Millis,
    /// When the home last failed.
    failed: clock::Millis,
}

impl Reachability {
    /// Returns whether a request may go to the home.
    pub(super) fn allows(&self, now: clock::Millis, home: &str) -> bool {
        let Some(record) = self.homes.get(home) else {
            return true;
        };
        record
            .until
            .is_none_or(|until| now >= until && now >= record.trial)
    }

    /// Notes that a request goes to the home; where the home is on trial, it is the trial.
    pub(super) fn choose(&mut self, now: clock::Millis, home: &str) {
        if let Some(record) = self.homes.get_mut(home) {
            record.trial = now + TRIAL;
        }
    }

    pub(super) fn observe(&mut self, now: clock::Millis, home: &str, observation: Observation) {
        match observation {
            Observation::Answered => self.answered(now, home),
            Observation::Lost => self.homes.entry(home.to_owned()).or_default().fail(now),
            Observation::Stalled => {
                let record = self.homes.entry(home.to_owned()).or_default();
                record.stalls += 1;
                if record.stalls >= STALLS {
                    record.fail(now);
                }
            }
        }
    }

    fn answered(&mut self, now: clock::Millis, home: &str) {
        let Some(record) = self.homes.get_mut(home) else {
            return;
        };
        record.stalls = 0;
        record.until = None;
        if now - record.failed > FORGIVEN {
            self.homes.remove(home);
        }
    }
}

impl Record {
    /// Passes the home over for longer than the last time; failures of requests sent before do not add up.
    fn fail(&mut self, now: clock::Millis) {
        self.stalls = 0;
        if self.until.is_some_and(|until| now < until) {
            return;
        }
        let pause = FIRST_PAUSE.0.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        self.failed = now;
        self.until = Some(now + clock::Millis(pause).min(LONGEST_PAUSE));
    }
}
