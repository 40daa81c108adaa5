//! One target of a cell: its slots, its health, and the state of its ejection.

use crate::coordination::breadth;
use crate::coordination::ejection;
use crate::coordination::evidence;
use crate::coordination::failure_model;
use crate::coordination::outlier;
use crate::coordination::rate_limit;
use crate::coordination::trial;
use crate::protocol::peer;
use crate::state::clock;
use crate::state::ids;

/// The pause after a target sheds a request or accepts no connection; it doubles each time this happens in a row.
const FIRST_PAUSE: clock::Millis = clock::Millis(50);
/// The most doublings of the pause of a target that sheds requests.
const SHEDDING_DOUBLINGS: u32 = 6;
/// The requests that a target with slots to spare sheds in a row before its pause grows. One that sheds half of its
/// requests rarely does.
const SHEDS_IN_A_ROW: u32 = 5;
/// The most doublings of the pause of a target that accepts no connection.
const UNCONNECTED_DOUBLINGS: u32 = 3;
/// The most bytes of request bodies that one target holds at a time, unless it holds one request only.
///
/// A target crashes if its requests exceed its memory, which it does not state. This is three of the longest uploads
/// (360 KB), and seventeen of average length (60 KB).
const MAX_BODY_BYTES: u64 = 1_080 * 1_024;
/// Connections that break within this time count as one crash of the target.
const CRASH_WINDOW: clock::Millis = clock::Millis(100);

/// The state of one target.
#[derive(Debug)]
pub(super) struct Target {
    /// The slots that the bundle allows.
    pub(super) total_slots: usize,
    /// The slots in use, including those of requests that were abandoned a short time ago.
    pub(super) busy: usize,
    /// The bytes of the bodies of the requests that hold its slots.
    pub(super) body_bytes: u64,
    /// Whether it receives no new requests because the bundle removes it, or because it is gone.
    pub(super) leaving: bool,
    /// Whether it stated that it is leaving, or its address belongs to another target now. A bundle does not revoke
    /// this, since a target that starts again has another name.
    pub(super) gone: bool,
    /// The sequence number of its last grant.
    pub(super) last_grant: u64,
    /// When its last grant was made.
    pub(super) last_used: clock::Millis,
    /// When a try at it last failed.
    pub(super) failed_at: Option<clock::Millis>,
    /// When it was added.
    pub(super) added_at: clock::Millis,
    /// Whether it was added to a running cell and has received no request yet.
    pub(super) newcomer: bool,
    /// The number of requests in flight that are slow or worse.
    pub(super) overdue: usize,
    /// The number of requests that hold a slot and whose fingerprint had crashed another target.
    pub(super) crash_risks: usize,
    /// The statistics of its requests.
    pub(super) evidence: evidence::Evidence,
    /// The sum of the test that compares it with the other targets.
    pub(super) score: outlier::Score,
    /// The model of how likely it is to fail the next request.
    pub(super) failure_model: failure_model::FailureModel,
    /// Its failure domain.
    pub(super) domain: ids::DomainId,
    /// Whether it is normal, avoided or ejected, and the requests for its ejection.
    pub(super) ejection: ejection::Ejection,
    /// The schedule of its trials.
    pub(super) trial: trial::Trial,
    /// The slow start of its slots.
    pub(super) slow_start: trial::SlowStart,
    /// The rate limit that it states.
    pub(super) limiter: rate_limit::Limiter,
    /// The pause that it asked for in its last response; zero if it asked for none.
    pub(super) asked_pause: clock::Millis,
    paused_until: clock::Millis,
    pauses: u32,
    /// The requests that it shed since it last answered one.
    sheds: u32,
    crash: Option<Crash>,
}

/// The last crash of a target.
#[derive(Clone, Copy, Debug)]
struct Crash {
    at: clock::Millis,
    explained: bool,
}

/// How a broken connection relates to a crash of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BreakKind {
    /// The target crashed while it ran a request whose fingerprint had crashed another target.
    Explained,
    /// It is the first broken connection of a crash whose cause is not known.
    First,
    /// It is a further broken connection of such a crash.
    Further,
}

impl Target {
    pub(super) fn new(now: clock::Millis) -> Target {
        Target {
            total_slots: 0,
            busy: 0,
            body_bytes: 0,
            leaving: false,
            gone: false,
            last_grant: 0,
            last_used: clock::Millis::ZERO,
            failed_at: None,
            added_at: now,
            newcomer: false,
            overdue: 0,
            crash_risks: 0,
            evidence: evidence::Evidence::default(),
            score: outlier::Score::default(),
            failure_model: failure_model::FailureModel::new(now),
            domain: ids::DomainId::default(),
            ejection: ejection::Ejection::default(),
            trial: trial::Trial::default(),
            slow_start: trial::SlowStart::new(now),
            limiter: rate_limit::Limiter::default(),
            asked_pause: clock::Millis::ZERO,
            paused_until: clock::Millis::ZERO,
            pauses: 0,
            sheds: 0,
            crash: None,
        }
    }

    /// Returns whether it is neither avoided nor ejected.
    pub(super) fn is_normal(&self) -> bool {
        self.ejection.state() == ejection::State::Normal
    }

    /// Returns the name of its state in reports.
    pub(super) fn state_label(&self) -> &'static str {
        if self.leaving {
            return "leaving";
        }
        match self.ejection.state() {
            ejection::State::Normal => "normal",
            ejection::State::Avoided => "avoided",
            ejection::State::Ejected { .. } => "ejected",
        }
    }

    /// Returns whether it is normal, has no slow request in flight, and has a score below half of the threshold
    /// `avoid`.
    pub(super) fn is_healthy(&self, avoid: f64) -> bool {
        self.is_normal() && self.overdue == 0 && self.score.value() < avoid / 2.0
    }

    /// Returns whether it may receive requests other than trials.
    pub(super) fn accepts_requests(&self) -> bool {
        !self.leaving && !self.ejection.is_ejected()
    }

    /// Returns whether it received a request within [`breadth::USE_SPAN`].
    pub(super) fn is_used(&self, now: clock::Millis) -> bool {
        now - self.last_used <= breadth::USE_SPAN
    }

    /// Returns the time by which idle targets are ordered; the earliest gets the next request.
    pub(super) fn idle_since(&self) -> clock::Millis {
        match self.newcomer {
            true => self.added_at + breadth::JOIN_SPAN,
            false => self.last_used,
        }
    }

    /// Returns the number of slots that may be used for requests other than trials.
    pub(super) fn usable_slots(&self, now: clock::Millis) -> usize {
        if self.accepts_requests() {
            return self.slow_start.allowed_slots(now, self.total_slots);
        }
        0
    }

    /// Returns whether it has a free slot for a request other than a trial.
    pub(super) fn has_free_slot(&self, now: clock::Millis) -> bool {
        self.paused_until <= now && self.busy < self.usable_slots(now) && self.limiter.allows(now)
    }

    /// Returns whether it may hold a body of this many bytes besides those that it holds.
    pub(super) fn has_room(&self, body: u64) -> bool {
        body == 0 || self.body_bytes == 0 || self.body_bytes.saturating_add(body) <= MAX_BODY_BYTES
    }

    /// Returns the number of slots for summaries: none beyond those in use while its rate limit allows no request.
    pub(super) fn open_slots(&self, now: clock::Millis) -> usize {
        let usable = self.usable_slots(now);
        match self.limiter.allows(now) {
            true => usable,
            false => usable.min(self.busy),
        }
    }

    /// Returns the number of requests of the mean duration `hold` that it can run at a time, by its slots and its rate
    /// limit.
    pub(super) fn concurrency(&self, now: clock::Millis, hold: clock::Millis) -> f64 {
        (self.usable_slots(now) as f64).min(self.limiter.concurrency(hold))
    }

    /// Returns whether it may be granted a trial now.
    pub(super) fn is_trial_due(&self, now: clock::Millis) -> bool {
        !self.leaving
            && !self.is_normal()
            && self.paused_until <= now
            && self.busy < self.total_slots
            && self.limiter.allows(now)
            && self.trial.is_due(now)
    }

    /// Returns when another slot may open by time alone.
    pub(super) fn next_slot_at(&self, now: clock::Millis) -> clock::Millis {
        if self.leaving || self.busy >= self.total_slots {
            return clock::Millis::MAX;
        }
        if self.paused_until > now {
            return self.paused_until;
        }
        if !self.limiter.allows(now) {
            return self.limiter.next_at(now);
        }
        let trial = match self.ejection.state() {
            ejection::State::Normal => clock::Millis::MAX,
            _ if self.trial.next_due() <= now => clock::Millis::MAX,
            _ => self.trial.next_due(),
        };
        trial.min(self.slow_start.next_slot_at(now, self.total_slots))
    }

    /// Pauses it after it shed a request, because it is overloaded or draining.
    ///
    /// If it sheds with slots to spare, the cause is a fault and not its load, and the pause does not grow beyond the one
    /// that it asked for. That one binds only the daemon that it asked: a target may shed the requests of some daemons,
    /// or a part of all requests. So the pause of all daemons grows only once it has shed [`SHEDS_IN_A_ROW`] requests
    /// without an answer in between.
    pub(super) fn pause_after_shed(&mut self, now: clock::Millis) {
        let full = self.busy + 1 >= self.total_slots;
        let asked = std::mem::take(&mut self.asked_pause);
        self.sheds = self.sheds.saturating_add(1);
        if full {
            self.pause(now, SHEDDING_DOUBLINGS);
            return;
        }
        let doublings = self.sheds.saturating_sub(SHEDS_IN_A_ROW);
        let longest = asked.max(FIRST_PAUSE);
        let pause = FIRST_PAUSE.0 << doublings.min(SHEDDING_DOUBLINGS);
        self.paused_until = now + clock::Millis(pause).min(longest);
    }

    /// Pauses it after it accepted no connection; it may be restarting.
    pub(super) fn pause_after_connect_failure(&mut self, now: clock::Millis) {
        self.pause(now, UNCONNECTED_DOUBLINGS);
    }

    fn pause(&mut self, now: clock::Millis, max_doublings: u32) {
        self.paused_until = now + clock::Millis(FIRST_PAUSE.0 << self.pauses.min(max_doublings));
        self.pauses = (self.pauses + 1).min(SHEDDING_DOUBLINGS);
    }

    /// Records how a try ended.
    pub(super) fn record_outcome(&mut self, now: clock::Millis, outcome: peer::Outcome) {
        self.failure_model.record(now, outcome);
        if outcome.is_failure() {
            self.failed_at = Some(now);
        }
    }

    /// Counts a good answer towards its slow start, and ends the doubling of its pauses.
    pub(super) fn record_answer(&mut self) {
        self.pauses = 0;
        self.sheds = 0;
        self.slow_start.record_answer();
    }

    /// Returns how the break of one connection relates to a crash.
    pub(super) fn classify_break(&mut self, now: clock::Millis) -> BreakKind {
        let last = self.crash.filter(|c| now - c.at <= CRASH_WINDOW);
        let crash = Crash {
            at: last.map_or(now, |c| c.at),
            explained: self.crash_risks > 0 || last.is_some_and(|c| c.explained),
        };
        self.crash = Some(crash);
        match (crash.explained, last) {
            (true, _) => BreakKind::Explained,
            (false, None) => BreakKind::First,
            (false, Some(_)) => BreakKind::Further,
        }
    }
}
