//! Suspicions: a member that did not answer has a time to refute that, and is taken for dead after it.

use crate::coordination::member::table::Table;
use crate::protocol::gossip;
use crate::state::clock;

/// The reporters that make a suspicion short, where that many watch the member.
const ACCUSERS: usize = 2;
/// The shortest time to refute a suspicion, in a fleet of one.
const BASE: clock::Millis = clock::Millis(1_000);
/// What each doubling of the fleet adds to the time to refute a suspicion.
const DOUBLING: clock::Millis = clock::Millis(250);
/// How many times as long a suspicion with too few reporters stands.
const FEW_FACTOR: u64 = 3;
/// How long a daemon that hears from nobody holds back its accusations, because the fault may be its own.
const DOUBT: clock::Millis = clock::Millis(6_000);

/// One suspicion.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    /// When it began here.
    pub(super) since: clock::Millis,
    /// The reporters that make it short.
    needed: usize,
    reporters: Vec<String>,
}

impl Suspicion {
    /// Returns the reporter that joined last.
    pub(super) fn reporter(&self) -> Option<String> {
        self.reporters.last().cloned()
    }

    /// Returns when the member is dead unless it refutes.
    fn end(&self, members: usize) -> clock::Millis {
        let doublings = u64::from(usize::BITS - members.leading_zeros());
        let short = BASE.0 + DOUBLING.0 * doublings;
        let enough = self.reporters.len() >= self.needed;
        let span = if enough { short } else { short * FEW_FACTOR };
        self.since + clock::Millis(span)
    }
}

impl Table {
    /// Accuses a member that did not answer a probe which began at `began`.
    pub(super) fn accuse(&mut self, now: clock::Millis, name: &str, began: clock::Millis) {
        if self.is_in_doubt(now, began) {
            return;
        }
        let Some(mut said) = self.record_of(name) else {
            return;
        };
        said.reporter = Some(self.name.clone());
        match said.about.state {
            gossip::Liveness::Dead => {}
            gossip::Liveness::Leaving => {
                said.about.state = gossip::Liveness::Dead;
                said.reporter = None;
                self.merge(now, &said, true);
            }
            gossip::Liveness::Alive | gossip::Liveness::Suspect => {
                said.about.state = gossip::Liveness::Suspect;
                if self.merge(now, &said, true) {
                    self.send_record(&said.about, &said);
                }
            }
        }
    }

    /// Returns whether the silence may be this daemon's own fault: it heard from nobody else since the probe began.
    fn is_in_doubt(&self, now: clock::Millis, began: clock::Millis) -> bool {
        let Some(heard) = self.heard else {
            return false;
        };
        self.live > 2 && heard < began && now - heard < DOUBT
    }

    pub(super) fn begin_suspicion(
        &mut self,
        now: clock::Millis,
        name: &str,
        reporter: Option<&str>,
    ) {
        let watchers = self.neighbours_of(name).before.len();
        let suspicion = Suspicion {
            since: now,
            needed: watchers.clamp(1, ACCUSERS),
            reporters: reporter.map(str::to_owned).into_iter().collect(),
        };
        self.suspicions.insert(name.to_owned(), suspicion);
    }

    /// Adds an reporter, and returns whether that shortens the suspicion.
    pub(super) fn join_suspicion(&mut self, name: &str, reporter: &str) -> bool {
        let Some(suspicion) = self.suspicions.get_mut(name) else {
            return false;
        };
        let known = suspicion.reporters.iter().any(|a| a == reporter);
        if known || suspicion.reporters.len() >= suspicion.needed {
            return false;
        }
        suspicion.reporters.push(reporter.to_owned());
        self.updates.add(name);
        true
    }

    /// Takes the members for dead that did not refute in time.
    pub(super) fn expire(&mut self, now: clock::Millis) {
        let live = self.live;
        let ended = self.suspicions.iter().filter(|(_, s)| s.end(live) <= now);
        let ended: Vec<_> = ended.map(|(name, _)| name.clone()).collect();
        for name in ended {
            let Some(mut said) = self.record_of(&name) else {
                continue;
            };
            said.about.state = gossip::Liveness::Dead;
            said.reporter = None;
            self.merge(now, &said, true);
        }
    }
}
