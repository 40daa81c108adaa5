//! An entry's choice of cell and home, and what it has seen of them.

use std::collections::BTreeMap;

use peridotspread::coordination::homes;
use peridotspread::protocol::peer;
use peridotspread::state::clock;
use peridotspread::state::ids;

use crate::replay::scene;

/// How long a home that did not answer is tried last.
const SUSPICION: clock::Millis = clock::Millis(5_000);

/// How old a summary may be to guide the choice of a cell.
const FRESH: clock::Millis = clock::Millis(2_000);

/// The homes of one cell that an entry tries.
const HOMES_A_CELL: usize = 2;

/// Where a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Choice {
    /// The cell, by its place in [`Entry::new`]'s list.
    pub(crate) cell: usize,
    /// The daemon that is its home.
    pub(crate) home: usize,
}

/// What one entry knows.
#[derive(Debug, Default)]
pub(crate) struct Entry {
    seen: BTreeMap<usize, Seen>,
    suspects: BTreeMap<usize, clock::Millis>,
    quarantined: BTreeMap<ids::Fingerprint, clock::Millis>,
}

#[derive(Debug)]
struct Seen {
    at: clock::Millis,
    summary: peer::Summary,
}

/// The ranked homes of each cell, which all entries see alike.
#[derive(Debug)]
pub(crate) struct Homes {
    /// The cells.
    pub(crate) cells: Vec<ids::CellId>,
    ranked: Vec<Vec<usize>>,
}

impl Homes {
    /// Ranks the homes of the scene's cells.
    pub(crate) fn new(scene: &scene::Scene) -> Homes {
        let cells: Vec<_> = scene.service.cells().into_keys().collect();
        let rank = |cell| {
            let names = homes::rank(cell, &scene.view)
                .into_iter()
                .take(HOMES_A_CELL);
            names.filter_map(|n| scene.daemon(n)).collect()
        };
        Homes {
            ranked: cells.iter().map(rank).collect(),
            cells,
        }
    }
}

impl Entry {
    /// Takes in the summary of a cell.
    pub(crate) fn observe(&mut self, now: clock::Millis, cell: usize, summary: peer::Summary) {
        self.seen.insert(cell, Seen { at: now, summary });
    }

    /// Returns the summaries of the cells other than `cell`, with their ages.
    pub(crate) fn peers(&self, now: clock::Millis, cell: usize) -> Vec<peer::Summary> {
        let others = self.seen.iter().filter(|(c, _)| **c != cell);
        others
            .map(|(_, seen)| {
                let mut summary = seen.summary.clone();
                summary.age += now - seen.at;
                summary
            })
            .collect()
    }

    /// Notes that a home did not answer.
    pub(crate) fn suspect(&mut self, now: clock::Millis, home: usize) {
        self.suspects.insert(home, now + SUSPICION);
    }

    /// Notes that a home answered.
    pub(crate) fn trust(&mut self, home: usize) {
        self.suspects.remove(&home);
    }

    /// Puts a fingerprint into quarantine.
    pub(crate) fn quarantine(&mut self, fingerprint: ids::Fingerprint, until: clock::Millis) {
        self.quarantined.insert(fingerprint, until);
    }

    /// Returns until when a fingerprint is in quarantine.
    pub(crate) fn quarantined(
        &self,
        now: clock::Millis,
        fingerprint: ids::Fingerprint,
    ) -> Option<clock::Millis> {
        self.quarantined
            .get(&fingerprint)
            .copied()
            .filter(|until| *until > now)
    }

    /// Chooses where to send a request next; `draw` spreads requests over the cells of other failure domains.
    pub(crate) fn choose(
        &self,
        now: clock::Millis,
        homes: &Homes,
        place: &str,
        tried: &[Choice],
        draw: usize,
    ) -> Option<Choice> {
        let mut cells: Vec<_> = (0..homes.cells.len()).collect();
        let count = cells.len().max(1);
        cells.sort_by_key(|c| (homes.cells[*c].domain != place, (c + draw) % count));
        if let [own, other, ..] = cells[..]
            && self.load(now, other) < self.load(now, own)
        {
            cells.swap(0, 1);
        }
        let all = cells.iter().flat_map(|cell| {
            let ranked = homes.ranked[*cell].iter();
            ranked.map(|home| Choice {
                cell: *cell,
                home: *home,
            })
        });
        let open: Vec<_> = all.filter(|c| !tried.contains(c)).collect();
        let trusted = open
            .iter()
            .find(|c| self.suspects.get(&c.home).is_none_or(|until| *until <= now));
        trusted.or(open.first()).copied()
    }

    /// Returns the expected wait at a cell and then the share of its slots that is taken, for comparison.
    fn load(&self, now: clock::Millis, cell: usize) -> (clock::Millis, u64) {
        const PER_MILLE: u64 = 1_000;
        let Some(seen) = self.seen.get(&cell).filter(|s| now - s.at < FRESH) else {
            return (clock::Millis::ZERO, 0);
        };
        let taken = u64::from(seen.summary.busy) + u64::from(seen.summary.queued);
        let slots = u64::from(seen.summary.slots.max(1));
        (seen.summary.wait, taken * PER_MILLE / slots)
    }
}
