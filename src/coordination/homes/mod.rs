//! Selection of the cell and the home that serve a request.
//!
//! Every daemon ranks the live daemons of a failure domain by rendezvous hashing ([`rank()`]); the daemon that ranks
//! first is the cell's home. There is no election: while the daemons' membership views differ, a cell can have two
//! homes. Together they can briefly exceed the slots of a target, which violates no guarantee.
//!
//! An entry asks its [`Selector`] for each request. The selector skips homes whose answers stall or get lost, whichever
//! direction of the path is cut, and compares the cells of a service by the load in the summaries that homes attach to
//! their answers.
//!
//! Entries prefer their own failure domain, so a domain with few callers would leave its targets without requests. If
//! the service keeps a share of its targets in use, some requests go to a cell at random, and more follow while its
//! summary shows idle targets.

use std::collections::BTreeMap;

use crate::coordination::breadth;
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

/// The cost added to cells of other failure domains, in milliseconds: by how much such a cell must be better.
const OTHER_DOMAIN_PENALTY_MS: f64 = 25.0;
/// The cost added when the second-ranked home has to serve the request, in milliseconds.
const SECOND_HOME_PENALTY_MS: f64 = 50.0;
/// The cost added when the entry itself has to act as the cell's home, in milliseconds.
const LOCAL_HOME_PENALTY_MS: f64 = 200.0;
/// The cost of a failed request, in milliseconds.
const FAILURE_PENALTY_MS: f64 = 1_000.0;
/// The cost of a cell that has no slots, in milliseconds.
const NO_SLOTS_PENALTY_MS: f64 = 10_000.0;
/// The age from which a summary no longer affects the cost of its cell.
const LOAD_MAX_AGE: clock::Millis = clock::Millis(5_000);
/// The age above which a summary is no longer forwarded to homes.
const FORWARD_MAX_AGE: clock::Millis = clock::Millis(30_000);
/// One in this many requests goes to a cell at random, if the service keeps a share of its targets in use.
const EXPLORATION_INTERVAL: u64 = 16;
/// The number of ranked homes that an entry tries for one cell before it acts as the home itself.
const RANKED_HOMES: usize = 2;

/// The cell and the home that a request is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The cell that serves the request.
    pub cell: ids::CellId,
    /// The daemon that acts as the cell's home.
    pub home: String,
}

/// An attempt that yielded no response: the home refused the request, or no answer arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// The cell and the home that the request was sent to.
    pub choice: Choice,
    /// Whether the home refused the request on behalf of the whole cell. No other home of that cell is tried then,
    /// because it would hand out the same slots a second time.
    pub refused: bool,
}

/// Selects cells and homes for the requests of one entry.
#[derive(Debug)]
pub struct Selector {
    name: String,
    domain: String,
    reachability: Reachability,
    cells: BTreeMap<ids::CellId, CachedSummary>,
    random: Random,
}

/// The latest known summary of a cell.
#[derive(Debug)]
struct CachedSummary {
    summary: peer::CellSummary,
    /// When the home created the summary, by the local clock.
    created: clock::Millis,
}

impl CachedSummary {
    /// Returns whether the cell has targets that need a request, and slots for it.
    fn has_idle_targets(&self, now: clock::Millis) -> bool {
        let summary = &self.summary;
        let is_fresh = now - self.created <= breadth::USE_SPAN;
        is_fresh && summary.idle > 0 && summary.queued == 0 && summary.busy < summary.slots
    }
}

/// A cell, the home that would serve it, and the expected cost in milliseconds.
struct Candidate {
    choice: Choice,
    cost: f64,
    /// Whether the home ranks for the cell, so that other entries select it too.
    is_ranked: bool,
}

impl Selector {
    /// Creates the selector of the daemon `name` in the failure domain `domain`.
    pub fn new(name: &str, domain: &str) -> Selector {
        Selector {
            name: name.to_owned(),
            domain: domain.to_owned(),
            reachability: Reachability::default(),
            cells: BTreeMap::new(),
            random: Random::new(hash(&[name])),
        }
    }

    /// Selects a cell of `service` and a home for it, excluding the attempts in `failed`.
    ///
    /// Samples two cells of the entry's own failure domain and two of other domains at random, and selects the
    /// cheapest; cells of other domains carry a penalty. The home is the first in rank order that is reachable, and
    /// finally the entry itself. Returns `None` once every cell has refused the request or failed at every home.
    ///
    /// A new request of a service that keeps a share of its targets in use may go to a cell with idle targets instead.
    pub fn select(
        &mut self,
        now: clock::Millis,
        service: &bundle::Service,
        view: &member::View,
        failed: &[FailedAttempt],
    ) -> Option<Choice> {
        let cells = active_cells(service);
        let candidates = cells
            .iter()
            .filter_map(|c| self.candidate(now, c, view, failed));
        let mut candidates: Vec<_> = candidates.collect();
        let keeps_breadth = service.soundness && service.breadth_pct > 0.0;
        let idle = match keeps_breadth && failed.is_empty() {
            true => self.select_idle(now, &candidates),
            false => None,
        };
        let best = match idle {
            Some(index) => candidates.swap_remove(index),
            None => self.select_cheapest(candidates)?,
        };
        self.reachability.record_selection(now, &best.choice.home);
        Some(best.choice)
    }

    /// Samples candidates and returns the cheapest.
    fn select_cheapest(&mut self, candidates: Vec<Candidate>) -> Option<Candidate> {
        let (near, far): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .partition(|c| c.choice.cell.domain == self.domain);
        let sampled = self.sample(near).into_iter();
        let sampled = sampled.chain(self.sample(far));
        sampled.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Returns the index of a candidate with idle targets and free slots. If none is known, returns one at random for
    /// one in [`EXPLORATION_INTERVAL`] requests, whose response brings the summary of its cell.
    fn select_idle(&mut self, now: clock::Millis, candidates: &[Candidate]) -> Option<usize> {
        let indices = |wanted: &dyn Fn(&Candidate) -> bool| -> Vec<usize> {
            let wanted = candidates.iter().enumerate().filter(|(_, c)| wanted(c));
            wanted.map(|(index, _)| index).collect()
        };
        let has_idle = |c: &Candidate| {
            let cached = self.cells.get(&c.choice.cell);
            c.is_ranked && cached.is_some_and(|cached| cached.has_idle_targets(now))
        };
        let idle = indices(&has_idle);
        if !idle.is_empty() {
            let index = idle[self.random.index(idle.len())];
            if let Some(cached) = self.cells.get_mut(&candidates[index].choice.cell) {
                cached.summary.idle -= 1;
            }
            return Some(index);
        }
        let explores = !candidates.is_empty() && self.random.below(EXPLORATION_INTERVAL) == 0;
        explores.then(|| self.random.index(candidates.len()))
    }

    /// Samples two candidates at random; returns all of them if there are no more than two.
    fn sample(&mut self, mut candidates: Vec<Candidate>) -> Vec<Candidate> {
        if candidates.len() <= 2 {
            return candidates;
        }
        let samples = (0..2).map(|_| candidates.swap_remove(self.random.index(candidates.len())));
        samples.collect()
    }

    /// Records the result or the progress of a request at `home`.
    pub fn observe(&mut self, now: clock::Millis, home: &str, observation: Observation) {
        if home != self.name {
            self.reachability.record(now, home, observation);
        }
    }

    /// Records a cell's summary, unless a newer one is known.
    pub fn record_summary(&mut self, now: clock::Millis, summary: &peer::CellSummary) {
        let created = now - summary.age;
        let newer = |s: &CachedSummary| s.created > created;
        if self.cells.get(&summary.cell).is_some_and(newer) {
            return;
        }
        self.cells.retain(|_, s| now - s.created <= FORWARD_MAX_AGE);
        let cached = CachedSummary {
            summary: summary.clone(),
            created,
        };
        self.cells.insert(summary.cell.clone(), cached);
    }

    /// Returns the summaries of the service's cells, with their current ages, to attach to a request.
    pub fn summaries(
        &self,
        now: clock::Millis,
        service: &bundle::Service,
    ) -> Vec<peer::CellSummary> {
        let first = ids::CellId::new(&service.name, "");
        self.cells
            .range(first..)
            .take_while(|(cell, _)| cell.service == service.name)
            .map(|(_, cached)| peer::CellSummary {
                age: now - cached.created,
                ..cached.summary.clone()
            })
            .filter(|s| s.age <= FORWARD_MAX_AGE)
            .collect()
    }

    /// Returns the candidate for `cell`, or `None` if the cell refused the request or no home is left to try.
    fn candidate(
        &self,
        now: clock::Millis,
        cell: &ids::CellId,
        view: &member::View,
        failed: &[FailedAttempt],
    ) -> Option<Candidate> {
        let earlier: Vec<_> = failed.iter().filter(|a| a.choice.cell == *cell).collect();
        if earlier.iter().any(|a| a.refused) {
            return None;
        }
        let untried = |home: &str| !earlier.iter().any(|a| a.choice.home == home);
        let usable = |h: &str| untried(h) && (h == self.name || self.reachability.allows(now, h));
        let ranked = rank::top_ranked(cell, view, RANKED_HOMES);
        let found = ranked
            .into_iter()
            .enumerate()
            .find(|(_, home)| usable(home));
        let (home, home_penalty) = match found {
            Some((0, home)) => (home, 0.0),
            Some((_, home)) => (home, SECOND_HOME_PENALTY_MS),
            None if untried(&self.name) => (self.name.as_str(), LOCAL_HOME_PENALTY_MS),
            None => return None,
        };
        let domain_penalty = if cell.domain == self.domain {
            0.0
        } else {
            OTHER_DOMAIN_PENALTY_MS
        };
        Some(Candidate {
            choice: Choice {
                cell: cell.clone(),
                home: home.to_owned(),
            },
            cost: home_penalty + domain_penalty + self.load_cost(now, cell),
            is_ranked: home_penalty < LOCAL_HOME_PENALTY_MS,
        })
    }

    /// Returns the cost that the cell's latest summary predicts, in milliseconds. The cost declines linearly with the
    /// summary's age and reaches zero at [`LOAD_MAX_AGE`].
    fn load_cost(&self, now: clock::Millis, cell: &ids::CellId) -> f64 {
        let Some(cached) = self.cells.get(cell) else {
            return 0.0;
        };
        let age = (now - cached.created).0 as f64 / LOAD_MAX_AGE.0 as f64;
        (1.0 - age).max(0.0) * expected_cost(&cached.summary)
    }
}

/// Returns the service's cells that have at least one target which is not leaving.
fn active_cells(service: &bundle::Service) -> Vec<ids::CellId> {
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

/// Returns the expected cost of a request at a cell in milliseconds: failures plus the time in the queue.
fn expected_cost(summary: &peer::CellSummary) -> f64 {
    if summary.slots == 0 {
        return NO_SLOTS_PENALTY_MS;
    }
    let failure_ms = f64::from(summary.bad) * FAILURE_PENALTY_MS;
    if summary.busy < summary.slots && summary.queued == 0 {
        return failure_ms;
    }
    let rounds = f64::from(summary.queued + 1) / f64::from(summary.slots);
    let queue_ms = rounds * summary.median.0 as f64;
    failure_ms + queue_ms.max(summary.wait.0 as f64)
}
