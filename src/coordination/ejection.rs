//! The state of one target: normal, avoided, or ejected under a lease of the service's ejection budget.
//!
//! Avoiding takes effect at once. An ejection is requested, granted until a time, and renewed before it expires.
//! Without a renewal it expires by this home's own clock.

use crate::state::clock;

/// How long to wait for a reply to a request for an ejection.
const REPLY_SPAN: clock::Millis = clock::Millis(5_000);
/// The backoff after the first denial; it doubles with each further one.
const FIRST_BACKOFF: clock::Millis = clock::Millis(1_000);
/// The most doublings of the backoff.
const MAX_DOUBLINGS: u32 = 5;
/// An ejection is renewed when its remaining time is the lease divided by this number.
const RENEWAL_DIVISOR: u64 = 3;

/// How requests are dispatched to a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// It receives requests.
    #[default]
    Normal,
    /// It receives trials, and requests that have waited for some time for a normal target.
    Avoided,
    /// It receives no requests but single trials.
    Ejected {
        /// When the ejection expires.
        until: clock::Millis,
    },
}

/// The state of one target, and of the requests for its ejection.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    state: State,
    confirm_at: Option<clock::Millis>,
    reply_by: Option<clock::Millis>,
    retry_at: clock::Millis,
    denials: u32,
}

impl Ejection {
    /// Returns the state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns whether the target receives no requests but trials.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    /// Makes the target avoided; this ends an ejection, but the target stays suspected.
    pub fn avoid(&mut self) {
        self.state = State::Avoided;
    }

    /// Makes the target normal.
    pub fn reset(&mut self) {
        *self = Ejection::default();
    }

    /// Records a bad request after which the score is at or above the ejection threshold. The ejection is requested
    /// from `confirm_at` on, or from the time that an earlier such request set, if the score is still high enough then.
    ///
    /// By that time a fault common to all targets shows at the others too.
    pub fn confirm_from(&mut self, confirm_at: clock::Millis) {
        self.confirm_at = self.confirm_at.or(Some(confirm_at));
    }

    /// Records that the score is below the ejection threshold.
    pub fn withdraw(&mut self) {
        self.confirm_at = None;
    }

    /// Returns whether an ejection is to be requested or renewed now; if so, records the request.
    pub fn start_request(
        &mut self,
        now: clock::Millis,
        needed: bool,
        lease: clock::Millis,
    ) -> bool {
        if self.request_at(needed, lease) > now {
            return false;
        }
        self.reply_by = Some(now + REPLY_SPAN);
        true
    }

    /// Returns when the ejection is to be requested or renewed.
    pub fn request_at(&self, needed: bool, lease: clock::Millis) -> clock::Millis {
        let from = match self.state {
            State::Ejected { until } => until - clock::Millis(lease.0 / RENEWAL_DIVISOR),
            State::Avoided if needed => self.confirm_at.unwrap_or(clock::Millis::MAX),
            State::Normal | State::Avoided => return clock::Millis::MAX,
        };
        from.max(self.retry_at)
            .max(self.reply_by.unwrap_or_default())
    }

    /// Applies the grant of an ejection until a time.
    pub fn grant(&mut self, until: clock::Millis) {
        self.reply_by = None;
        self.denials = 0;
        self.retry_at = clock::Millis::ZERO;
        self.state = State::Ejected { until };
    }

    /// Applies a denial: an ejection in force lasts until it expires. The next request needs the backoff to pass and
    /// another bad request, since the target may have recovered by then.
    pub fn deny(&mut self, now: clock::Millis) {
        self.reply_by = None;
        self.confirm_at = None;
        self.retry_at = now + clock::Millis(FIRST_BACKOFF.0 << self.denials);
        self.denials = (self.denials + 1).min(MAX_DOUBLINGS);
    }

    /// Makes an ejected target avoided if its ejection has expired; returns whether it had.
    pub fn expire(&mut self, now: clock::Millis) -> bool {
        let expired = self.expires_at() <= now;
        if expired {
            self.avoid();
        }
        expired
    }

    /// Returns when the ejection expires; [`clock::Millis::MAX`] without one.
    pub fn expires_at(&self) -> clock::Millis {
        match self.state {
            State::Ejected { until } => until,
            State::Normal | State::Avoided => clock::Millis::MAX,
        }
    }
}
