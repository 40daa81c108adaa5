//! Time in milliseconds, as every state machine of the daemon takes it.
//!
//! Decisions never read the system's time. Their drivers read a [`Clock`] and pass [`Millis`] along with each event, so
//! that a recorded trace replays through the same code.

use std::fmt;
use std::ops;
use std::time;

use serde::{Deserialize, Serialize};

/// A point in time or a span, in milliseconds.
///
/// Points count from the origin of the [`Clock`] that read them, and compare only with points of the same clock.
/// Arithmetic saturates at zero and at the maximum.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The origin of a clock, or an empty span.
    pub const ZERO: Millis = Millis(0);
    /// The latest point in time, for "never".
    pub const MAX: Millis = Millis(u64::MAX);

    /// Returns the span as the standard library's type.
    pub fn span(self) -> time::Duration {
        time::Duration::from_millis(self.0)
    }

    /// Returns the span multiplied by `factor`, rounded down.
    pub fn scaled(self, factor: f64) -> Millis {
        Millis((self.0 as f64 * factor) as u64)
    }
}

impl ops::Add for Millis {
    type Output = Millis;

    fn add(self, rhs: Millis) -> Millis {
        Millis(self.0.saturating_add(rhs.0))
    }
}

impl ops::AddAssign for Millis {
    fn add_assign(&mut self, rhs: Millis) {
        *self = *self + rhs;
    }
}

impl ops::Sub for Millis {
    type Output = Millis;

    fn sub(self, rhs: Millis) -> Millis {
        Millis(self.0.saturating_sub(rhs.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

impl From<time::Duration> for Millis {
    fn from(span: time::Duration) -> Millis {
        Millis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Reads the time of this process, which never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: time::Instant,
}

impl Clock {
    /// Starts a clock whose origin is now.
    pub fn start() -> Clock {
        Clock {
            origin: time::Instant::now(),
        }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> Millis {
        Millis::from(self.origin.elapsed())
    }

    /// Returns the standard library's point in time for `at`.
    pub fn instant(&self, at: Millis) -> time::Instant {
        self.origin + at.span()
    }
}

/// Returns the wall clock in milliseconds since 1970, for records that people read and for rows shared by hosts.
///
/// # Panics
///
/// Panics if the host's wall clock stands before 1970.
pub fn wall() -> Millis {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .map(Millis::from)
        .expect("the wall clock stands after 1970")
}
