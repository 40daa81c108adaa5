//! One target of a cell: its slots, and all that is known about it.

use crate::coordination::ejection;
use crate::coordination::evidence;
use crate::coordination::failure_model;
use crate::coordination::outlier;
use crate::coordination::trial;
use crate::protocol::peer;
use crate::state::clock;
use crate::state::ids;

/// The pause after a target shed a request or took no connection; it doubles with each one in a row.
const FIRST_PAUSE: clock::Millis = clock::Millis(50);
/// The doublings of the pause of a target that sheds requests.
const SHEDDING_DOUBLINGS: u32 = 6;
/// The doublings of the pause of a target that takes no connection.
const UNCONNECTED_DOUBLINGS: u32 = 3;
/// Connections that break within this time are one crash of the target.
const CRASH_SPAN: clock::Millis = clock::Millis(100);

/// One target.
#[derive(Debug)]
pub(super) struct Target {
    /// The slots by the bundle.
    pub(super) total: usize,
    /// The slots in use, with those whose request was abandoned a short time ago.
    pub(super) busy: usize,
    /// Whether it gets no new work any more.
    pub(super) leaving: bool,
    /// The number of the last grant.
    pub(super) granted: u64,
    /// When the last grant was.
    pub(super) used: clock::Millis,
    /// When its last failure was.
    pub(super) failed: Option<clock::Millis>,
    /// Whether it joined the others and has had no work yet.
    pub(super) newcomer: bool,
    /// The requests in flight that are slow already.
    pub(super) overdue: usize,
    /// The requests in flight that were part of a crash of another target.
    pub(super) suspects: usize,
    /// What its requests told.
    pub(super) evidence: evidence::Evidence,
    /// What speaks against it, in comparison with the others.
    pub(super) score: outlier::Score,
    /// How likely it is to fail the next request.
    pub(super) doubt: failure_model::FailureModel,
    /// The failure domain that it stands in.
    pub(super) place: ids::DomainId,
    /// Its standing.
    pub(super) ejection: ejection::Ejection,
    /// Its way back.
    pub(super) trial: trial::Trial,
    /// Its slow start.
    pub(super) ramp: trial::Ramp,
    paused: clock::Millis,
    pauses: u32,
    crash: Option<Crash>,
}

/// The last crash of a target.
#[derive(Clone, Copy, Debug)]
struct Crash {
    at: clock::Millis,
    explained: bool,
}

/// What the break of one connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Blame {
    /// A crash by a request that crashed another target before.
    Request,
    /// The first sign of a crash whose cause is not known.
    Open,
    /// A further sign of such a crash.
    Same,
}

impl Target {
    pub(super) fn new(now: clock::Millis) -> Target {
        Target {
            total: 0,
            busy: 0,
            leaving: false,
            granted: 0,
            used: clock::Millis::ZERO,
            failed: None,
            newcomer: false,
            overdue: 0,
            suspects: 0,
            evidence: evidence::Evidence::default(),
            score: outlier::Score::default(),
            doubt: failure_model::FailureModel::new(now),
            place: ids::DomainId::default(),
            ejection: ejection::Ejection::default(),
            trial: trial::Trial::default(),
            ramp: trial::Ramp::new(now),
            paused: clock::Millis::ZERO,
            pauses: 0,
            crash: None,
        }
    }

    /// Returns whether it is in favour.
    pub(super) fn is_normal(&self) -> bool {
        self.ejection.standing() == ejection::Standing::Normal
    }

    /// Returns the word for its standing that reports show.
    pub(super) fn describe(&self) -> &'static str {
        if self.leaving {
            return "leaving";
        }
        match self.ejection.standing() {
            ejection::Standing::Normal => "normal",
            ejection::Standing::Avoided => "avoided",
            ejection::Standing::Ejected { .. } => "ejected",
        }
    }

    /// Returns whether nothing speaks against it at the moment.
    pub(super) fn is_well(&self, avoid: f64) -> bool {
        self.is_normal() && self.overdue == 0 && self.score.value() < avoid / 2.0
    }

    /// Returns whether it may take work other than trials.
    pub(super) fn takes_work(&self) -> bool {
        !self.leaving && !self.ejection.is_ejected()
    }

    /// Returns the slots that may be used for work other than trials.
    pub(super) fn slots(&self, now: clock::Millis) -> usize {
        if self.takes_work() {
            return self.ramp.allowed(now, self.total);
        }
        0
    }

    /// Returns whether it has a free slot for work other than trials.
    pub(super) fn is_free(&self, now: clock::Millis) -> bool {
        self.paused <= now && self.busy < self.slots(now)
    }

    /// Returns whether it may get a trial now.
    pub(super) fn awaits_trial(&self, now: clock::Millis) -> bool {
        !self.leaving
            && !self.is_normal()
            && self.paused <= now
            && self.busy < self.total
            && self.trial.due(now)
    }

    /// Returns when a slot may open by time alone.
    pub(super) fn opens_at(&self, now: clock::Millis) -> clock::Millis {
        if self.leaving || self.busy >= self.total {
            return clock::Millis::MAX;
        }
        if self.paused > now {
            return self.paused;
        }
        let trial = match self.ejection.standing() {
            ejection::Standing::Normal => clock::Millis::MAX,
            _ if self.trial.next() <= now => clock::Millis::MAX,
            _ => self.trial.next(),
        };
        trial.min(self.ramp.next(now, self.total))
    }

    /// Pauses it after it shed a request: it sheds load, or drains. One that sheds with slots to spare does so by some
    /// fault, whatever its load, and gets no longer pauses.
    pub(super) fn pause_shedding(&mut self, now: clock::Millis) {
        let full = self.busy + 1 >= self.total;
        self.pause(now, if full { SHEDDING_DOUBLINGS } else { 0 });
    }

    /// Pauses it after it took no connection: it may be restarting.
    pub(super) fn pause_unconnected(&mut self, now: clock::Millis) {
        self.pause(now, UNCONNECTED_DOUBLINGS);
    }

    fn pause(&mut self, now: clock::Millis, most: u32) {
        self.paused = now + clock::Millis(FIRST_PAUSE.0 << self.pauses.min(most));
        self.pauses = (self.pauses + 1).min(SHEDDING_DOUBLINGS);
    }

    /// Takes in how a try ended.
    pub(super) fn took(&mut self, now: clock::Millis, outcome: peer::Outcome) {
        self.doubt.take(now, outcome);
        if outcome.is_failure() {
            self.failed = Some(now);
        }
    }

    /// Counts a good answer towards its slow start.
    pub(super) fn answered(&mut self) {
        self.pauses = 0;
        self.ramp.answer();
    }

    /// Assigns the break of one connection.
    pub(super) fn crashed(&mut self, now: clock::Millis) -> Blame {
        let last = self.crash.filter(|c| now - c.at <= CRASH_SPAN);
        let crash = Crash {
            at: last.map_or(now, |c| c.at),
            explained: self.suspects > 0 || last.is_some_and(|c| c.explained),
        };
        self.crash = Some(crash);
        match (crash.explained, last) {
            (true, _) => Blame::Request,
            (false, None) => Blame::Open,
            (false, Some(_)) => Blame::Same,
        }
    }
}
