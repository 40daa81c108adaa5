//! Reinstatement of targets: trial requests, backoff for targets that flap, and slow start.
//!
//! [`Trial`] decides when a target that is avoided or ejected gets its next single trial request, and when it has
//! passed enough of them. [`SlowStart`] limits the slots of a target that is new, cold or reinstated.

use crate::state::clock;

/// The wait before the first trial.
const FIRST_WAIT: clock::Millis = clock::Millis(1_000);
/// The longest wait between trials.
const MAX_WAIT: clock::Millis = clock::Millis(60_000);
/// The most doublings of the wait.
const MAX_DOUBLINGS: u32 = 6;
/// The log-likelihood ratio in favour of health that reinstates a target the first time.
const PASS_RATIO: f64 = 2.8;
/// The additional log-likelihood ratio that each further doubling of the wait requires.
const MORE_PASS_RATIO: f64 = 1.4;
/// The requests that other targets must get before the first trial. The number doubles with the wait, so that trials
/// stay a small share of the requests of a service with little load.
const FIRST_OTHER_REQUESTS: u32 = 2;
/// The requests that other targets get, while no request fits a trial that is due, before the target is promoted
/// without one.
const PROMOTION_OTHER_REQUESTS: u32 = 16;
/// The healthy time that reduces the wait by one doubling.
const RECOVERY_SPAN: clock::Millis = clock::Millis(30_000);
/// How long a due trial waits for a suitable request before the target is promoted without one; it doubles with the
/// wait.
const UNTRIED_SPAN: clock::Millis = clock::Millis(10_000);
/// The longest time that a due trial waits for a suitable request.
const MAX_UNTRIED_SPAN: clock::Millis = clock::Millis(300_000);
/// How long a slow start takes if no answer is received.
const SLOW_START_SPAN: clock::Millis = clock::Millis(3_000);
/// The good answers that open one more slot during a slow start.
const ANSWERS_PER_SLOT: usize = 3;

/// The schedule of the trials of one target, with exponential backoff.
#[derive(Clone, Debug, Default)]
pub struct Trial {
    doublings: u32,
    healthy_since: clock::Millis,
    next: clock::Millis,
    passed_ratio: f64,
    other_requests: u32,
    required_requests: u32,
    running: bool,
}

impl Trial {
    /// Starts the wait of a target that has become avoided, after reducing the backoff by the time that it was healthy.
    pub fn begin(&mut self, now: clock::Millis) {
        self.reduce_backoff(now);
        self.wait(now);
    }

    /// Records that the target is normal again.
    pub fn finish(&mut self, now: clock::Millis) {
        self.healthy_since = now;
        self.passed_ratio = 0.0;
    }

    /// Returns whether a trial may be granted.
    pub fn is_due(&self, now: clock::Millis) -> bool {
        !self.running && self.next <= now && self.other_requests >= self.required_requests
    }

    /// Counts a request that another target got.
    pub fn count_other_request(&mut self) {
        self.other_requests = self.other_requests.saturating_add(1);
    }

    /// Records that a trial was granted.
    pub fn start_trial(&mut self) {
        self.running = true;
    }

    /// Records that the trial ended, with any outcome.
    pub fn end_trial(&mut self) {
        self.running = false;
    }

    /// Adds the log-likelihood ratio of one request, which is negative for a good answer; returns whether the target
    /// has passed. If the requests together are evidence against the target, the wait restarts with one more doubling.
    pub fn record(&mut self, now: clock::Millis, ratio: f64) -> bool {
        if self.next > now {
            return false;
        }
        self.passed_ratio -= ratio;
        if self.passed_ratio < 0.0 {
            self.wait(now);
            return false;
        }
        let extra = f64::from(self.doublings.saturating_sub(1));
        self.passed_ratio >= PASS_RATIO + MORE_PASS_RATIO * extra
    }

    /// Restarts the wait with one more doubling if it is over.
    pub fn restart_wait(&mut self, now: clock::Millis) {
        if self.next <= now {
            self.wait(now);
        }
    }

    /// Returns when the next trial is due; [`clock::Millis::MAX`] while one is running.
    pub fn next_due(&self) -> clock::Millis {
        if self.running {
            return clock::Millis::MAX;
        }
        self.next
    }

    /// Returns when the target is promoted without a trial because no suitable request arrived.
    pub fn promotion_at(&self) -> clock::Millis {
        if self.other_requests < self.required_requests + PROMOTION_OTHER_REQUESTS {
            return clock::Millis::MAX;
        }
        self.promotion_at_degraded()
    }

    /// Like [`Trial::promotion_at`], but for a cell whose targets are all suspected: no requests to other targets are
    /// required.
    pub fn promotion_at_degraded(&self) -> clock::Millis {
        let span = clock::Millis(UNTRIED_SPAN.0 << self.doublings.saturating_sub(1));
        self.next_due() + span.min(MAX_UNTRIED_SPAN)
    }

    fn wait(&mut self, now: clock::Millis) {
        let wait = clock::Millis(FIRST_WAIT.0 << self.doublings).min(MAX_WAIT);
        self.next = now + wait;
        self.required_requests = FIRST_OTHER_REQUESTS << self.doublings;
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        self.other_requests = 0;
        self.passed_ratio = 0.0;
    }

    fn reduce_backoff(&mut self, now: clock::Millis) {
        let recovered = (now - self.healthy_since).0 / RECOVERY_SPAN.0;
        let recovered = u32::try_from(recovered).unwrap_or(u32::MAX);
        self.doublings = self.doublings.saturating_sub(recovered);
    }
}

/// The slow start of one target: one slot at first, and all of them after `SLOW_START_SPAN` or enough good answers.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    start: clock::Millis,
    answers: usize,
}

impl SlowStart {
    /// Starts a slow start at `now`.
    pub fn new(now: clock::Millis) -> SlowStart {
        SlowStart {
            start: now,
            answers: 0,
        }
    }

    /// Counts a good answer.
    pub fn record_answer(&mut self) {
        self.answers = self.answers.saturating_add(1);
    }

    /// Returns how many of `total` slots may be used.
    pub fn allowed_slots(&self, now: clock::Millis, total: usize) -> usize {
        let timed = total as u64 * (now - self.start).0 / SLOW_START_SPAN.0;
        let timed = usize::try_from(timed).unwrap_or(usize::MAX);
        let answered = 1 + self.answers / ANSWERS_PER_SLOT;
        timed.max(answered).min(total)
    }

    /// Returns when the next of `total` slots opens by time alone; [`clock::Millis::MAX`] if all are open.
    pub fn next_slot_at(&self, now: clock::Millis, total: usize) -> clock::Millis {
        let allowed = self.allowed_slots(now, total);
        if allowed >= total {
            return clock::Millis::MAX;
        }
        let span = SLOW_START_SPAN.0 * (allowed as u64 + 1);
        self.start + clock::Millis(span.div_ceil(total as u64))
    }
}
