//! Suspicions: a member that did not answer its probes has a limited time to refute, and is then declared dead.

use crate::coordination::member::table::Table;
use crate::protocol::gossip;
use crate::state::clock;

/// The number of reporters that confirm a suspicion, which shortens it. One suffices if only one daemon watches the
/// member.
const CONFIRMATIONS: usize = 2;
/// The base of the time to refute a confirmed suspicion.
const BASE_TIMEOUT: clock::Millis = clock::Millis(1_000);
/// The time that each doubling of the fleet adds to refute a confirmed suspicion.
const TIMEOUT_PER_DOUBLING: clock::Millis = clock::Millis(250);
/// The factor by which an unconfirmed suspicion lasts longer.
const UNCONFIRMED_FACTOR: u64 = 3;
/// How long a daemon that receives no messages suspects nobody, because the fault may be its own.
const MAX_ISOLATION: clock::Millis = clock::Millis(6_000);

/// A suspicion of one member.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    /// When the suspicion began here.
    pub(super) since: clock::Millis,
    /// The number of reporters that confirm the suspicion.
    required: usize,
    reporters: Vec<String>,
}

impl Suspicion {
    /// Returns the latest reporter of the suspicion.
    pub(super) fn last_reporter(&self) -> Option<String> {
        self.reporters.last().cloned()
    }

    /// Returns when the member is declared dead unless it refutes, in a fleet of `members` live members.
    fn deadline(&self, members: usize) -> clock::Millis {
        let doublings = u64::from(usize::BITS - members.leading_zeros());
        let timeout = BASE_TIMEOUT.0 + TIMEOUT_PER_DOUBLING.0 * doublings;
        let is_confirmed = self.reporters.len() >= self.required;
        let span = if is_confirmed {
            timeout
        } else {
            timeout * UNCONFIRMED_FACTOR
        };
        self.since + clock::Millis(span)
    }
}

impl Table {
    /// Suspects the member `name`, which did not answer a probe that began at `began`. A leaving member is declared
    /// dead at once.
    pub(super) fn suspect(&mut self, now: clock::Millis, name: &str, began: clock::Millis) {
        if self.may_be_isolated(now, began) {
            return;
        }
        let Some(mut record) = self.record_of(name) else {
            return;
        };
        record.reporter = Some(self.name.clone());
        match record.about.state {
            gossip::MemberState::Dead => {}
            gossip::MemberState::Leaving => {
                record.about.state = gossip::MemberState::Dead;
                record.reporter = None;
                self.merge(now, &record, true);
            }
            gossip::MemberState::Alive | gossip::MemberState::Suspect => {
                record.about.state = gossip::MemberState::Suspect;
                if self.merge(now, &record, true) {
                    self.send_record(&record.about, &record);
                }
            }
        }
    }

    /// Returns whether this daemon may itself be isolated: it has received no message since the probe began, but
    /// received one within [`MAX_ISOLATION`].
    ///
    /// Two daemons alone cannot tell which of them is isolated, so in a fleet of two this returns `false`.
    fn may_be_isolated(&self, now: clock::Millis, began: clock::Millis) -> bool {
        let Some(received) = self.last_received else {
            return false;
        };
        self.live_count > 2 && received < began && now - received < MAX_ISOLATION
    }

    /// Starts a suspicion of the member `name`.
    pub(super) fn start_suspicion(
        &mut self,
        now: clock::Millis,
        name: &str,
        reporter: Option<&str>,
    ) {
        let watchers = self.neighbours_of(name).predecessors.len();
        let suspicion = Suspicion {
            since: now,
            required: watchers.clamp(1, CONFIRMATIONS),
            reporters: reporter.map(str::to_owned).into_iter().collect(),
        };
        self.suspicions.insert(name.to_owned(), suspicion);
    }

    /// Adds a reporter, and returns whether it counts towards the confirmation of the suspicion.
    pub(super) fn confirm_suspicion(&mut self, name: &str, reporter: &str) -> bool {
        let Some(suspicion) = self.suspicions.get_mut(name) else {
            return false;
        };
        let known = suspicion.reporters.iter().any(|a| a == reporter);
        if known || suspicion.reporters.len() >= suspicion.required {
            return false;
        }
        suspicion.reporters.push(reporter.to_owned());
        self.updates.add(name);
        true
    }

    /// Declares dead the members that did not refute in time.
    pub(super) fn expire_suspicions(&mut self, now: clock::Millis) {
        let members = self.live_count;
        let expired = self
            .suspicions
            .iter()
            .filter(|(_, s)| s.deadline(members) <= now);
        let expired: Vec<_> = expired.map(|(name, _)| name.clone()).collect();
        for name in expired {
            let Some(mut record) = self.record_of(&name) else {
                continue;
            };
            record.about.state = gossip::MemberState::Dead;
            record.reporter = None;
            self.merge(now, &record, true);
        }
    }
}
