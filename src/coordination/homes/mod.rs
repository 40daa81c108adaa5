//! Selector of cells: which daemon a request goes to.
//!
//! Every daemon ranks the live daemons of a failure domain by rendezvous hashing ([`rank`]); the one that ranks first
//! is the cell's home. No election takes place: while views differ a cell may have two homes, which may overfill the
//! slots of targets for a moment and breaks no promise.
//!
//! [`Selector`] is an entry's own judgement on top: it passes over homes whose answers stall or get lost, in whichever
//! direction the path is cut, and weighs the cells of a service by the summaries that come along with answers.

use std::collections::BTreeMap;

use crate::coordination::member;
use crate::coordination::random::Random;
use crate::protocol::peer;
use crate::state::bundle;
use crate::state::clock;
use crate::state::ids;

mod rank;
mod reachability;

use reachability::Reachability;

pub use crate::state::hash::hash;
pub use rank::rank;
pub use reachability::Observation;

/// How much better another cell must be before a request leaves its own failure domain, in milliseconds.
const OWN_DOMAIN_MS: f64 = 25.0;
/// What a request costs at the second in rank instead of the first, in milliseconds.
const SECOND_HOME_MS: f64 = 50.0;
/// What a request costs at the entry itself instead of a home, in milliseconds.
const SELF_HOME_MS: f64 = 200.0;
/// What a failed request costs, in milliseconds.
const FAILURE_MS: f64 = 1_000.0;
/// What a request costs at a cell without a single slot, in milliseconds.
const NO_SLOTS_MS: f64 = 10_000.0;
/// The age at which a summary says nothing more about a cell's load.
const LOAD_AGE: clock::Millis = clock::Millis(5_000);
/// The age at which a summary is not sent on any more.
const EVIDENCE_AGE: clock::Millis = clock::Millis(30_000);
/// The members in rank order that an entry tries for one cell before itself.
const RANKS: usize = 2;

/// Where to send a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The cell that is to serve it.
    pub cell: ids::CellId,
    /// The daemon that is asked to be the cell's home.
    pub home: String,
}

/// A choice that did not bring an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Where the request was sent.
    pub choice: Choice,
    /// Whether the home refused it for its whole cell. No other home of that cell is asked then: it would hand out the
    /// same slots a second time.
    pub refused: bool,
}

/// One entry's judgement of homes and cells.
#[derive(Debug)]
pub struct Selector {
    me: String,
    domain: String,
    reachability: Reachability,
    cells: BTreeMap<ids::CellId, Seen>,
    random: Random,
}

/// The last summary of a cell.
#[derive(Debug)]
struct Seen {
    summary: peer::Summary,
    /// When the home made it.
    made: clock::Millis,
}

/// A cell with the home that would serve it.
struct Offer {
    choice: Choice,
    cost: f64,
}

impl Selector {
    /// Creates the judgement of the daemon called `me` in the failure domain `domain`, which knows nothing yet.
    pub fn new(me: &str, domain: &str) -> Selector {
        Selector {
            me: me.to_owned(),
            domain: domain.to_owned(),
            reachability: Reachability::default(),
            cells: BTreeMap::new(),
            random: Random::new(hash(&[me])),
        }
    }

    /// Chooses a cell of `service` and a home for it, other than those in `tried`.
    ///
    /// The better of two cells of the entry's own failure domain comes first, unless the better of two others is better
    /// by a margin; they are drawn at random. Its home is the first in rank that the entry can reach, at last the entry itself.
    /// Returns nothing once every cell has refused or was tried at every home.
    pub fn select(
        &mut self,
        now: clock::Millis,
        service: &bundle::Service,
        view: &member::View,
        tried: &[FailedAttempt],
    ) -> Option<Choice> {
        let cells = cells_with_targets(service);
        let offers = cells.iter().filter_map(|c| self.offer(now, c, view, tried));
        let (own, others): (Vec<_>, Vec<_>) =
            offers.partition(|o| o.choice.cell.domain == self.domain);
        let drawn = self.draw(own).into_iter();
        let drawn = drawn.chain(self.draw(others));
        let best = drawn.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        self.reachability.choose(now, &best.choice.home);
        Some(best.choice)
    }

    /// Draws two offers, or takes what there is.
    fn draw(&mut self, mut offers: Vec<Offer>) -> Vec<Offer> {
        if offers.len() <= 2 {
            return offers;
        }
        let draws = (0..2).map(|_| offers.swap_remove(self.random.index(offers.len())));
        draws.collect()
    }

    /// Takes in how a request at `home` went on.
    pub fn observe(&mut self, now: clock::Millis, home: &str, observation: Observation) {
        if home != self.me {
            self.reachability.observe(now, home, observation);
        }
    }

    /// Takes in a cell's summary, unless a newer one is known.
    pub fn record_summary(&mut self, now: clock::Millis, summary: &peer::Summary) {
        let made = now - summary.age;
        let newer = |s: &Seen| s.made > made;
        if self.cells.get(&summary.cell).is_some_and(newer) {
            return;
        }
        self.cells.retain(|_, s| now - s.made <= EVIDENCE_AGE);
        let seen = Seen {
            summary: summary.clone(),
            made,
        };
        self.cells.insert(summary.cell.clone(), seen);
    }

    /// Returns the summaries of the service's cells to send along with a request, with their ages.
    pub fn summaries(&self, now: clock::Millis, service: &bundle::Service) -> Vec<peer::Summary> {
        let first = ids::CellId::new(&service.name, "");
        self.cells
            .range(first..)
            .take_while(|(cell, _)| cell.service == service.name)
            .map(|(_, seen)| peer::Summary {
                age: now - seen.made,
                ..seen.summary.clone()
            })
            .filter(|s| s.age <= EVIDENCE_AGE)
            .collect()
    }

    /// Finds the home that would serve the cell, and what that would cost; none where all were tried.
    fn offer(
        &self,
        now: clock::Millis,
        cell: &ids::CellId,
        view: &member::View,
        tried: &[FailedAttempt],
    ) -> Option<Offer> {
        let before: Vec<_> = tried.iter().filter(|t| t.choice.cell == *cell).collect();
        if before.iter().any(|t| t.refused) {
            return None;
        }
        let untried = |home: &str| !before.iter().any(|t| t.choice.home == home);
        let fit =
            |home: &str| untried(home) && (home == self.me || self.reachability.allows(now, home));
        let ranked = rank::leading(cell, view, RANKS);
        let found = ranked.into_iter().enumerate().find(|(_, home)| fit(home));
        let (home, detour) = match found {
            Some((0, home)) => (home, 0.0),
            Some((_, home)) => (home, SECOND_HOME_MS),
            None if untried(&self.me) => (self.me.as_str(), SELF_HOME_MS),
            None => return None,
        };
        let distance = if cell.domain == self.domain {
            0.0
        } else {
            OWN_DOMAIN_MS
        };
        Some(Offer {
            choice: Choice {
                cell: cell.clone(),
                home: home.to_owned(),
            },
            cost: detour + distance + self.cost(now, cell),
        })
    }

    /// Returns what the cell's last summary lets a request expect, in milliseconds; it fades with age.
    fn cost(&self, now: clock::Millis, cell: &ids::CellId) -> f64 {
        let Some(seen) = self.cells.get(cell) else {
            return 0.0;
        };
        let age = (now - seen.made).0 as f64 / LOAD_AGE.0 as f64;
        (1.0 - age).max(0.0) * expected_cost(&seen.summary)
    }
}

/// Returns the service's cells that have targets which take work.
fn cells_with_targets(service: &bundle::Service) -> Vec<ids::CellId> {
    let mut cells: Vec<_> = service
        .targets
        .iter()
        .filter(|t| !t.leaving)
        .map(|t| service.cell_of(t))
        .collect();
    cells.sort();
    cells.dedup();
    cells
}

fn expected_cost(summary: &peer::Summary) -> f64 {
    if summary.slots == 0 {
        return NO_SLOTS_MS;
    }
    let failures = f64::from(summary.bad) * FAILURE_MS;
    if summary.busy < summary.slots && summary.queued == 0 {
        return failures;
    }
    let ahead = f64::from(summary.queued + 1) / f64::from(summary.slots);
    let queue = ahead * summary.median.0 as f64;
    failures + queue.max(summary.wait.0 as f64)
}
