//! The shutdown of this daemon, which decides the requests that it still starts.

use std::sync;

use crate::coordination::shutdown::Schedule;
use crate::state::{clock, settings};

/// Whether the daemon is shutting down, and by which schedule.
#[derive(Debug, Default)]
pub struct Shutdown {
    schedule: sync::OnceLock<Schedule>,
}

impl Shutdown {
    /// Starts the shutdown, and returns its schedule; a later call returns that of the first.
    pub fn begin(&self, now: clock::Millis, limits: &settings::Limits) -> Schedule {
        let schedule = || Schedule::new(now, limits.linger_ms, limits.drain_ms);
        *self.schedule.get_or_init(schedule)
    }

    /// Returns whether a request may be sent to a target at `now`, as [`Schedule::admits`] does.
    pub fn admits(&self, now: clock::Millis, deadline: clock::Millis, idempotent: bool) -> bool {
        let schedule = self.schedule.get();
        schedule.is_none_or(|s| s.admits(now, deadline, idempotent))
    }
}
