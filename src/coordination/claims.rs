//! Batches claims of keyed non-idempotent work into few writes of the platform's table.
//!
//! A claim is a row that must not exist yet. One write is in flight at a time and carries all claims and outcomes that
//! wait; a conflict or a lost answer is resolved by reading the rows back, each of which names the claim's own token.
//! Where that can't be found out either, the claim ends as unavailable: nothing has been dispatched, so "not run" is true,
//! and the row, should it exist, is removed later.
//!
//! After a failed call the platform counts as down: claims are unavailable at once, but for one a second, which probes.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::protocol::platform;
use crate::protocol::problem;
use crate::state::clock;
use crate::state::ids;

/// The keys of claims start with it; the digest of scope and key follows.
pub const PREFIX: &str = "claims/";

/// The most rows of one write.
const BATCH_ROWS: usize = 64;

/// The most claims and outcomes that wait; a claim beyond it is unavailable at once.
const WAITING: usize = 4_096;

/// How long the platform counts as down after a call failed, unless a probe succeeds.
const DOWN_SPAN: clock::Millis = clock::Millis(1_000);

/// How long a claim may wait for its answer.
const CLAIM_SPAN: clock::Millis = clock::Millis(3_000);

/// How long an outcome waits to be written before it is given up.
const SETTLE_SPAN: clock::Millis = clock::Millis(600_000);

/// The value of a claim's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Drawn for this claim, so that its writer knows it again.
    pub token: String,
    /// What the work does.
    pub fingerprint: ids::Fingerprint,
    /// When it was claimed, by the writer's wall clock.
    pub time: clock::Millis,
    /// The outcome, once it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub record: Option<problem::RecordedOutcome>,
}

/// One claim that is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The row's key.
    pub key: String,
    /// The row's value.
    pub row: Row,
}

/// What becomes of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The claim is this daemon's.
    Fresh {
        /// The row's version, for the outcome.
        version: u64,
    },
    /// Another claim of the key exists.
    Taken(Row),
    /// The platform could not record it.
    Unavailable,
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// A claim is asked for.
    Claim(Claim),
    /// The outcome of a claim is known: its row is to hold the record, or to go where there is none.
    Complete {
        /// The claim.
        claim: Claim,
        /// The row's version, if it is known.
        version: Option<u64>,
        /// The outcome; absent where the work certainly did not run.
        record: Option<problem::RecordedOutcome>,
    },
    /// The write in flight ended.
    Written(Result<Vec<u64>, platform::Error>),
    /// The read in flight ended.
    Read(Result<Option<platform::Row>, platform::Error>),
    /// Time passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write the rows in one transaction.
    Write(Vec<platform::Write>),
    /// Read one row.
    Read(String),
    /// Tell whoever asked for the claim with this token.
    Answer {
        /// The claim's token.
        token: String,
        /// The answer.
        answer: Answer,
    },
    /// The platform became reachable or unreachable.
    Reachable(bool),
}

/// One item that waits.
#[derive(Clone, Debug)]
struct Item {
    claim: Claim,
    work: Work,
    until: clock::Millis,
    /// Whether a write of it may have taken effect.
    doubtful: bool,
    /// The row's version that the write expects; absent for a claim.
    version: Option<u64>,
}

#[derive(Clone, Debug)]
enum Work {
    Claim,
    Record(problem::RecordedOutcome),
    Remove,
}

impl Item {
    fn is_claim(&self) -> bool {
        matches!(self.work, Work::Claim)
    }

    fn write(&self) -> platform::Write {
        let value = match &self.work {
            Work::Claim => encode(&self.claim.row),
            Work::Record(record) => encode(&Row {
                record: Some(record.clone()),
                ..self.claim.row.clone()
            }),
            Work::Remove => None,
        };
        let expect = match self.version {
            Some(version) => platform::Expect::Version(version),
            None => platform::Expect::Absent,
        };
        platform::Write {
            key: self.claim.key.clone(),
            expect,
            value,
        }
    }
}

/// What is in flight.
#[derive(Debug)]
enum Flight {
    Write(Vec<Item>),
    /// Reads the first of the items; the others follow.
    Read(VecDeque<Item>),
}

/// The state machine.
#[derive(Debug, Default)]
pub struct Claims {
    /// The least time from one write to the next.
    pace: clock::Millis,
    write_due: clock::Millis,
    waiting: VecDeque<Item>,
    /// Items whose state in the table must be read before anything else.
    unclear: VecDeque<Item>,
    flight: Option<Flight>,
    down_until: clock::Millis,
    down: bool,
}

impl Claims {
    /// Sets the least time from the start of one write to that of the next.
    pub fn set_write_interval(&mut self, pace: clock::Millis) {
        self.pace = pace;
    }

    /// Returns when the next write may start, if one waits for its time.
    pub fn next_write(&self) -> Option<clock::Millis> {
        let idle = self.flight.is_none() && !self.waiting.is_empty();
        idle.then_some(self.write_due)
    }

    /// Takes in an event, and returns what is to be done.
    pub fn handle(&mut self, now: clock::Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Claim(claim) => self.claim(now, claim, &mut actions),
            Event::Complete {
                claim,
                version,
                record,
            } => self.settle(now, claim, version, record),
            Event::Written(result) => self.written(now, result, &mut actions),
            Event::Read(result) => self.read(now, result, &mut actions),
            Event::Tick => {}
        }
        self.expire(now, &mut actions);
        self.start(now, &mut actions);
        actions
    }

    /// Returns whether the platform counts as down.
    pub fn is_down(&self) -> bool {
        self.down
    }

    fn claim(&mut self, now: clock::Millis, claim: Claim, actions: &mut Vec<Action>) {
        let full = self.waiting.len() + self.unclear.len() >= WAITING;
        let probe = now >= self.down_until && self.flight.is_none();
        if full || (self.down && !probe) {
            actions.push(tell(&claim, Answer::Unavailable));
            return;
        }
        self.waiting.push_back(Item {
            claim,
            work: Work::Claim,
            until: now + CLAIM_SPAN,
            doubtful: false,
            version: None,
        });
    }

    fn settle(
        &mut self,
        now: clock::Millis,
        claim: Claim,
        version: Option<u64>,
        record: Option<problem::RecordedOutcome>,
    ) {
        let item = Item {
            claim,
            work: record.map_or(Work::Remove, Work::Record),
            until: now + SETTLE_SPAN,
            doubtful: false,
            version,
        };
        self.settle_item(item);
    }

    fn settle_item(&mut self, item: Item) {
        if self.unclear.len() + self.waiting.len() >= WAITING {
            return;
        }
        // An outcome is written only over the claim's own row; where its version is not known it is read first.
        if item.version.is_some() {
            self.waiting.push_back(item);
        } else {
            self.unclear.push_back(item);
        }
    }

    /// Starts the next call: what is unclear about claims is read before anything is written.
    fn start(&mut self, now: clock::Millis, actions: &mut Vec<Action>) {
        if self.flight.is_some() || (self.down && now < self.down_until) {
            return;
        }
        let unclear_claim = self.unclear.iter().any(Item::is_claim);
        if !self.waiting.is_empty() && !unclear_claim {
            if now >= self.write_due {
                self.write(now, actions);
            }
        } else if !self.unclear.is_empty() {
            let mut items = std::mem::take(&mut self.unclear);
            items.make_contiguous().sort_by_key(|i| !i.is_claim());
            self.read_next(items, actions);
        }
    }

    fn write(&mut self, now: clock::Millis, actions: &mut Vec<Action>) {
        self.write_due = now + self.pace;
        let mut batch = BTreeMap::new();
        let mut rest = VecDeque::new();
        while let Some(item) = self.waiting.pop_front() {
            // Two writes of one row can't go together: the second waits for the first.
            if batch.len() < BATCH_ROWS && !batch.contains_key(&item.claim.key) {
                batch.insert(item.claim.key.clone(), item);
            } else {
                rest.push_back(item);
            }
        }
        self.waiting = rest;
        let items: Vec<_> = batch.into_values().collect();
        actions.push(Action::Write(items.iter().map(Item::write).collect()));
        self.flight = Some(Flight::Write(items));
    }

    fn written(
        &mut self,
        now: clock::Millis,
        result: Result<Vec<u64>, platform::Error>,
        actions: &mut Vec<Action>,
    ) {
        let Some(Flight::Write(items)) = self.flight.take() else {
            return;
        };
        match result {
            Ok(versions) => {
                self.reached(actions);
                let claims = items.into_iter().zip(versions);
                for (item, version) in claims.filter(|(item, _)| item.is_claim()) {
                    actions.push(tell(&item.claim, Answer::Fresh { version }));
                }
            }
            Err(platform::Error::Conflict { key }) => {
                self.reached(actions);
                self.conflict(items, &key);
            }
            Err(platform::Error::Unavailable { .. }) => {
                self.failed(now, actions);
                for item in items {
                    self.give_up(now, item, actions);
                }
            }
            Err(platform::Error::Lost { .. }) => {
                let doubtful = |item| Item {
                    doubtful: true,
                    ..item
                };
                self.unclear.extend(items.into_iter().map(doubtful));
            }
        }
    }

    /// Sorts out a write of which nothing happened: the row in conflict is read, the others are written again.
    fn conflict(&mut self, items: Vec<Item>, key: &str) {
        if !items.iter().any(|i| i.claim.key == key) {
            self.unclear.extend(items);
            return;
        }
        for item in items.into_iter().rev() {
            if item.claim.key == key {
                self.unclear.push_back(item);
            } else {
                self.waiting.push_front(item);
            }
        }
    }

    /// Ends a claim that could not be recorded; a row that may exist all the same is removed later.
    fn give_up(&mut self, now: clock::Millis, item: Item, actions: &mut Vec<Action>) {
        if !item.is_claim() {
            self.settle_item(item);
            return;
        }
        actions.push(tell(&item.claim, Answer::Unavailable));
        if item.doubtful {
            self.settle(now, item.claim, None, None);
        }
    }

    fn read_next(&mut self, items: VecDeque<Item>, actions: &mut Vec<Action>) {
        let Some(item) = items.front() else { return };
        actions.push(Action::Read(item.claim.key.clone()));
        self.flight = Some(Flight::Read(items));
    }

    fn read(
        &mut self,
        now: clock::Millis,
        result: Result<Option<platform::Row>, platform::Error>,
        actions: &mut Vec<Action>,
    ) {
        let Some(Flight::Read(mut items)) = self.flight.take() else {
            return;
        };
        let Some(item) = items.pop_front() else {
            return;
        };
        match result {
            Ok(row) => {
                self.reached(actions);
                self.resolve(item, row, actions);
            }
            Err(_) => {
                self.failed(now, actions);
                self.give_up(now, item, actions);
                for item in std::mem::take(&mut items) {
                    self.give_up(now, item, actions);
                }
            }
        }
        self.read_next(items, actions);
    }

    fn resolve(&mut self, item: Item, row: Option<platform::Row>, actions: &mut Vec<Action>) {
        let found = row.as_ref().map(|r| serde_json::from_str::<Row>(&r.value));
        match (row, found) {
            (Some(row), Some(Ok(found))) => self.resolve_found(item, row.version, found, actions),
            (None, _) if item.is_claim() => self.waiting.push_front(item),
            (Some(_), _) if item.is_claim() => {
                actions.push(tell(&item.claim, Answer::Unavailable));
            }
            // The row is gone, or is none of a claim: there is nothing to settle.
            _ => {}
        }
    }

    fn resolve_found(&mut self, item: Item, version: u64, found: Row, actions: &mut Vec<Action>) {
        let own = found.token == item.claim.row.token;
        match item.work {
            Work::Claim if own => actions.push(tell(&item.claim, Answer::Fresh { version })),
            Work::Claim => actions.push(tell(&item.claim, Answer::Taken(found))),
            Work::Record(_) | Work::Remove if own => self.waiting.push_back(Item {
                version: Some(version),
                ..item
            }),
            Work::Record(_) | Work::Remove => {}
        }
    }

    fn expire(&mut self, now: clock::Millis, actions: &mut Vec<Action>) {
        let (waiting, late) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition::<VecDeque<_>, _>(|i| now < i.until);
        self.waiting = waiting;
        let (unclear, late_unclear) = std::mem::take(&mut self.unclear)
            .into_iter()
            .partition::<VecDeque<_>, _>(|i| now < i.until);
        self.unclear = unclear;
        let late = late.into_iter().chain(late_unclear);
        for item in late.filter(Item::is_claim) {
            self.give_up(now, item, actions);
        }
    }

    fn reached(&mut self, actions: &mut Vec<Action>) {
        if self.down {
            actions.push(Action::Reachable(true));
        }
        self.down = false;
    }

    fn failed(&mut self, now: clock::Millis, actions: &mut Vec<Action>) {
        if !self.down {
            actions.push(Action::Reachable(false));
        }
        self.down = true;
        self.down_until = now + DOWN_SPAN;
        for item in std::mem::take(&mut self.waiting) {
            self.give_up(now, item, actions);
        }
    }
}

fn tell(claim: &Claim, answer: Answer) -> Action {
    Action::Answer {
        token: claim.row.token.clone(),
        answer,
    }
}

fn encode(row: &Row) -> Option<String> {
    serde_json::to_string(row).ok()
}

/// Returns the writes that remove those of `rows` whose claims are older than `kept` at wall clock `wall`.
pub fn expiry_writes(
    rows: &[platform::Row],
    wall: clock::Millis,
    kept: clock::Millis,
) -> Vec<platform::Write> {
    let old = |row: &&platform::Row| {
        serde_json::from_str::<Row>(&row.value).is_ok_and(|claim| claim.time + kept < wall)
    };
    let removal = |row: &platform::Row| platform::Write {
        key: row.key.clone(),
        expect: platform::Expect::Version(row.version),
        value: None,
    };
    rows.iter().filter(old).map(removal).collect()
}
