//! An estimate of when the reply to a poll was made, whose age would otherwise be unknown.
//!
//! A source holds a poll until it has news or the requested time has passed. If a reply comes later than that time, it
//! took at least the excess on the way. A reply may have been made at any moment since the request; if it counted as
//! made when it was read, or when the requested time had passed, updates would look fresher than they are.
//!
//! Load pattern: hosts without free processor time, on which a reply takes hundreds of milliseconds. Each hop of the
//! updates would hide that time from [`super::escalation`].

use crate::state::clock;

/// The longest time that counts. A daemon that stood still reads a reply later than any network delays it.
const MAX_SPAN: clock::Millis = clock::Millis(300);

/// Estimates when replies were made.
#[derive(Debug, Default)]
pub struct ReplyTime {
    /// The time that recent replies took on the way.
    span: clock::Millis,
}

impl ReplyTime {
    /// Returns when the reply to a poll was made that was sent at `asked`, could be held for `wait` and is read at `now`.
    pub fn made_at(
        &mut self,
        now: clock::Millis,
        asked: clock::Millis,
        wait: clock::Millis,
    ) -> clock::Millis {
        let latest = asked + wait;
        if now > latest {
            // The span falls slowly: a reply that was made before the latest time took longer than this.
            let excess = (now - latest).min(MAX_SPAN);
            self.span = excess.max(self.span - clock::Millis(self.span.0 / 4));
        }
        (now - self.span).min(latest).max(asked)
    }
}
