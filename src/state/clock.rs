//! Time in milliseconds, the unit of all state machines of the daemon.
//!
//! State machines never read the system clock. Their drivers read a [`Clock`] and pass the time with each event, so
//! that a recorded trace can be replayed through the same code.

use std::fmt;
use std::ops;
use std::time;

use serde::{Deserialize, Serialize};
use tokio::time as tokio_time;

/// A point in time or a duration, in milliseconds.
///
/// A point in time counts from the origin of the [`Clock`] that read it, or from 1970 for [`wall`]; only points with
/// the same origin can be compared.
/// Arithmetic saturates at zero and at the maximum value.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The origin of a clock, or a duration of zero.
    pub const ZERO: Millis = Millis(0);
    /// The latest point in time, used for "never".
    pub const MAX: Millis = Millis(u64::MAX);

    /// Converts the duration to the type of the standard library.
    pub fn span(self) -> time::Duration {
        time::Duration::from_millis(self.0)
    }

    /// Returns the duration multiplied by `factor`, rounded down.
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

/// A monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// An instant of the runtime, so that tests can let its time pass without waiting.
    origin: tokio_time::Instant,
}

impl Clock {
    /// Creates a clock whose origin is the current time.
    pub fn start() -> Clock {
        Clock {
            origin: tokio_time::Instant::now(),
        }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> Millis {
        Millis::from(self.origin.elapsed())
    }

    /// Converts a point in time of this clock to the type of the standard library.
    pub fn instant(&self, at: Millis) -> time::Instant {
        (self.origin + at.span()).into_std()
    }
}

/// Returns the wall clock in milliseconds since 1970, for human-readable records and for rows that hosts share.
///
/// # Panics
///
/// Panics if the wall clock is set to a time before 1970.
pub fn wall() -> Millis {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .map(Millis::from)
        .expect("the wall clock is set to a time after 1970")
}
