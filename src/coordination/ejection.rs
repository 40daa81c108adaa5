//! The standing of one target: in favour, avoided, or ejected under a lease of the service's ejection budget.
//!
//! Avoiding takes effect at once. An ejection is asked for, granted until a time, renewed before it lapses, and lapses by
//! this home's own clock where nothing renews it.

use crate::state::clock;

/// How long a reply to an asked ejection is waited for.
const REPLY_SPAN: clock::Millis = clock::Millis(5_000);
/// The wait after the first denial; it doubles with each one.
const FIRST_BACKOFF: clock::Millis = clock::Millis(1_000);
/// The doublings after which the wait no longer grows.
const MOST_DOUBLINGS: u32 = 5;
/// An ejection is renewed when this part of its lease is left.
const RENEW_PART: u64 = 3;

/// How a target is treated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// It gets work.
    #[default]
    Normal,
    /// It gets work where no other slot is free.
    Avoided,
    /// It gets no work but single trials.
    Ejected {
        /// When the ejection lapses.
        until: clock::Millis,
    },
}

/// The standing of one target, and what was asked about it.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    standing: Standing,
    confirmed: Option<clock::Millis>,
    asked: Option<clock::Millis>,
    retry: clock::Millis,
    denials: u32,
}

impl Ejection {
    /// Returns the standing.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Returns whether the target gets no work but trials.
    pub fn is_ejected(&self) -> bool {
        matches!(self.standing, Standing::Ejected { .. })
    }

    /// Puts the target out of favour, or ends its ejection but not the suspicion.
    pub fn avoid(&mut self) {
        self.standing = Standing::Avoided;
    }

    /// Puts the target in favour.
    pub fn clear(&mut self) {
        *self = Ejection::default();
    }

    /// Notes that a bad request made the evidence suffice for an ejection, or came on top; the ejection is asked for from
    /// `confirmed` on, if the evidence still suffices then.
    ///
    /// A fault behind all targets shows at the others by that time.
    pub fn suspect(&mut self, confirmed: clock::Millis) {
        self.confirmed = self.confirmed.or(Some(confirmed));
    }

    /// Notes that the evidence does not suffice for an ejection.
    pub fn trust(&mut self) {
        self.confirmed = None;
    }

    /// Returns whether the ejection is to be asked for now, or to be renewed, and notes that it was.
    pub fn ask(&mut self, now: clock::Millis, wanted: bool, lease: clock::Millis) -> bool {
        if self.ask_at(wanted, lease) > now {
            return false;
        }
        self.asked = Some(now + REPLY_SPAN);
        true
    }

    /// Returns when the ejection is to be asked for, or to be renewed.
    pub fn ask_at(&self, wanted: bool, lease: clock::Millis) -> clock::Millis {
        let from = match self.standing {
            Standing::Ejected { until } => until - clock::Millis(lease.0 / RENEW_PART),
            Standing::Avoided if wanted => self.confirmed.unwrap_or(clock::Millis::MAX),
            Standing::Normal | Standing::Avoided => return clock::Millis::MAX,
        };
        from.max(self.retry).max(self.asked.unwrap_or_default())
    }

    /// Takes the grant of an ejection until a time.
    pub fn grant(&mut self, until: clock::Millis) {
        self.asked = None;
        self.denials = 0;
        self.retry = clock::Millis::ZERO;
        self.standing = Standing::Ejected { until };
    }

    /// Takes a denial: what is held is kept until it lapses, and the next question waits for time and for another bad
    /// request, since the target may be well again by then.
    pub fn deny(&mut self, now: clock::Millis) {
        self.asked = None;
        self.confirmed = None;
        self.retry = now + clock::Millis(FIRST_BACKOFF.0 << self.denials);
        self.denials = (self.denials + 1).min(MOST_DOUBLINGS);
    }

    /// Ends an ejection whose time is over; returns whether it did.
    pub fn lapse(&mut self, now: clock::Millis) -> bool {
        let over = self.lapse_at() <= now;
        if over {
            self.avoid();
        }
        over
    }

    /// Returns when the ejection lapses; never where there is none.
    pub fn lapse_at(&self) -> clock::Millis {
        match self.standing {
            Standing::Ejected { until } => until,
            Standing::Normal | Standing::Avoided => clock::Millis::MAX,
        }
    }
}
