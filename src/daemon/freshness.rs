//! How long ago the platform confirmed the rules that a daemon serves by.
//!
//! A platform confirms a change, and from then on it must be in force within a time that its operators know. A daemon
//! whose rules were confirmed longer ago serves by them, since most of them still hold, but it does not know what they
//! lack: a route or a credential that they do not have may exist by now.

use tokio::sync as tokio_sync;

use crate::state::clock;

/// The age of a daemon's rules, and the age up to which what they lack does not exist.
#[derive(Clone, Debug)]
pub struct Freshness {
    clock: clock::Clock,
    /// When the platform last confirmed the rules, if it has; absent where rules hold until operators replace them.
    confirmed: Option<Confirmations>,
    bound: clock::Millis,
}

/// Receives the time at which the platform last confirmed the rules; absent before the first time.
pub type Confirmations = tokio_sync::watch::Receiver<Option<clock::Millis>>;

impl Freshness {
    /// Creates the freshness of rules that a platform confirms, whose changes must be in force within `bound`.
    pub fn new(clock: clock::Clock, confirmed: Confirmations, bound: clock::Millis) -> Freshness {
        Freshness {
            clock,
            confirmed: Some(confirmed),
            bound,
        }
    }

    /// Creates the freshness of rules that hold until operators replace them.
    pub fn unlimited(clock: clock::Clock) -> Freshness {
        Freshness {
            clock,
            confirmed: None,
            bound: clock::Millis::MAX,
        }
    }

    /// Returns the time since the platform last confirmed the rules, if it has.
    pub fn age(&self) -> Option<clock::Millis> {
        let confirmed = *self.confirmed.as_ref()?.borrow();
        Some(self.clock.now() - confirmed?)
    }

    /// Returns whether the rules may lack changes that must be in force.
    pub fn is_lapsed(&self) -> bool {
        self.confirmed.is_some() && self.age().is_none_or(|age| age > self.bound)
    }
}
