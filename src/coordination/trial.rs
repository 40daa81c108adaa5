//! Reinstatement: trial requests for targets out of favour, waits that grow with flapping, and slow start.
//!
//! [`Trial`] decides when a target that is avoided or ejected gets its next single trial request, and when it has passed
//! enough of them. [`Ramp`] limits the slots of a target that is new, cold or reinstated.

use crate::state::clock;

/// The wait before the first trial.
const FIRST_WAIT: clock::Millis = clock::Millis(1_000);
/// The longest wait between trials.
const LONGEST_WAIT: clock::Millis = clock::Millis(60_000);
/// The doublings of the wait after which it no longer grows.
const MOST_DOUBLINGS: u32 = 6;
/// The log-likelihood ratio for health that reinstates a target the first time.
const PASS_RATIO: f64 = 2.8;
/// The log-likelihood ratio for health that each further doubling of the wait asks for on top.
const MORE_PASS_RATIO: f64 = 1.4;
/// The requests that other targets get before the first trial; they double with the wait, so that trials stay a small
/// share of the requests of a quiet service.
const FIRST_OTHERS: u32 = 2;
/// The requests that other targets get while a due trial finds none before the target moves up untried.
const UNTRIED_OTHERS: u32 = 16;
/// The good time that takes one doubling back.
const FORGIVE_SPAN: clock::Millis = clock::Millis(30_000);
/// How long a due trial waits for an idempotent request before the target moves up untried.
const UNTRIED_SPAN: clock::Millis = clock::Millis(10_000);
/// The longest time that a due trial waits for an idempotent request.
const MOST_UNTRIED_SPAN: clock::Millis = clock::Millis(300_000);
/// How long a slow start takes without any answer.
const RAMP_SPAN: clock::Millis = clock::Millis(3_000);
/// The good answers that open one more slot during a slow start.
const ANSWERS_A_SLOT: usize = 3;

/// The way back of one target.
#[derive(Clone, Debug, Default)]
pub struct Trial {
    doublings: u32,
    good_since: clock::Millis,
    next: clock::Millis,
    passed: f64,
    others: u32,
    needed: u32,
    running: bool,
}

impl Trial {
    /// Begins the wait of a target that fell out of favour.
    pub fn fall(&mut self, now: clock::Millis) {
        self.forgive(now);
        self.wait(now);
    }

    /// Notes that the target is in favour again.
    pub fn rise(&mut self, now: clock::Millis) {
        self.good_since = now;
        self.passed = 0.0;
    }

    /// Returns whether a trial may be granted.
    pub fn due(&self, now: clock::Millis) -> bool {
        !self.running && self.next <= now && self.others >= self.needed
    }

    /// Counts a request that another target got.
    pub fn pass_by(&mut self) {
        self.others = self.others.saturating_add(1);
    }

    /// Notes that a trial was granted.
    pub fn grant(&mut self) {
        self.running = true;
    }

    /// Notes that the trial ended, whatever came of it.
    pub fn end(&mut self) {
        self.running = false;
    }

    /// Counts one request by its log-likelihood ratio, which is negative for a good answer; returns whether the target
    /// has passed. Where the requests speak against the target on the whole, the wait begins anew, and longer.
    pub fn count(&mut self, now: clock::Millis, ratio: f64) -> bool {
        if self.next > now {
            return false;
        }
        self.passed -= ratio;
        if self.passed < 0.0 {
            self.wait(now);
            return false;
        }
        let more = f64::from(self.doublings.saturating_sub(1));
        self.passed >= PASS_RATIO + MORE_PASS_RATIO * more
    }

    /// Begins the wait anew, and longer, if it is over.
    pub fn fail(&mut self, now: clock::Millis) {
        if self.next <= now {
            self.wait(now);
        }
    }

    /// Returns when the next trial is due.
    pub fn next(&self) -> clock::Millis {
        if self.running {
            return clock::Millis::MAX;
        }
        self.next
    }

    /// Returns when the target moves up untried because no request fit for a trial came.
    pub fn untried(&self) -> clock::Millis {
        if self.others < self.needed + UNTRIED_OTHERS {
            return clock::Millis::MAX;
        }
        self.untried_alone()
    }

    /// Returns the same where no other target gets requests either.
    pub fn untried_alone(&self) -> clock::Millis {
        let span = clock::Millis(UNTRIED_SPAN.0 << self.doublings.saturating_sub(1));
        self.next() + span.min(MOST_UNTRIED_SPAN)
    }

    fn wait(&mut self, now: clock::Millis) {
        let wait = clock::Millis(FIRST_WAIT.0 << self.doublings).min(LONGEST_WAIT);
        self.next = now + wait;
        self.needed = FIRST_OTHERS << self.doublings;
        self.doublings = (self.doublings + 1).min(MOST_DOUBLINGS);
        self.others = 0;
        self.passed = 0.0;
    }

    fn forgive(&mut self, now: clock::Millis) {
        let good = (now - self.good_since).0 / FORGIVE_SPAN.0;
        let good = u32::try_from(good).unwrap_or(u32::MAX);
        self.doublings = self.doublings.saturating_sub(good);
    }
}

/// The slow start of one target: one slot at first, all of them after a span or enough good answers.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    start: clock::Millis,
    answers: usize,
}

impl Ramp {
    /// Begins a slow start.
    pub fn new(now: clock::Millis) -> Ramp {
        Ramp {
            start: now,
            answers: 0,
        }
    }

    /// Counts a good answer.
    pub fn answer(&mut self) {
        self.answers = self.answers.saturating_add(1);
    }

    /// Returns how many of `total` slots may be used.
    pub fn allowed(&self, now: clock::Millis, total: usize) -> usize {
        let timed = total as u64 * (now - self.start).0 / RAMP_SPAN.0;
        let timed = usize::try_from(timed).unwrap_or(usize::MAX);
        let answered = 1 + self.answers / ANSWERS_A_SLOT;
        timed.max(answered).min(total)
    }

    /// Returns when time opens the next of `total` slots; never once all are open.
    pub fn next(&self, now: clock::Millis, total: usize) -> clock::Millis {
        let allowed = self.allowed(now, total);
        if allowed >= total {
            return clock::Millis::MAX;
        }
        let span = RAMP_SPAN.0 * (allowed as u64 + 1);
        self.start + clock::Millis(span.div_ceil(total as u64))
    }
}
