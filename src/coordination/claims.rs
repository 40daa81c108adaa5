//! Claims of idempotency keys for non-idempotent requests, batched into few writes to the platform's table.
//!
//! A claim is the insertion of a row that must not exist yet. One write is in flight at a time and carries all waiting
//! claims and outcomes. A conflict or a lost answer is resolved by reading the rows back; each row contains the token
//! of the claim that wrote it. If the read fails as well, the claim is answered as unavailable: nothing has been
//! dispatched yet, so "not run" is true, and the row, if it exists, is removed later.
//!
//! After a failed call the platform counts as down: claims are answered as unavailable at once, except for one per
//! second that probes the platform.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::protocol::platform;
use crate::protocol::problem;
use crate::state::clock;
use crate::state::ids;

/// The prefix of the keys of claim rows, which the digest of scope and idempotency key follows.
pub const PREFIX: &str = "claims/";

/// The most rows in one write.
const BATCH_ROWS: usize = 64;

/// The most claims and outcomes that wait; a further claim is answered as unavailable, a further outcome is dropped.
const MAX_WAITING: usize = 4_096;

/// How long the platform counts as down after a failed call; after this time a claim probes it.
const DOWN_SPAN: clock::Millis = clock::Millis(1_000);

/// How long a claim may wait before it is answered as unavailable.
const CLAIM_TIMEOUT: clock::Millis = clock::Millis(3_000);

/// How long an outcome may wait to be written before it is dropped.
const OUTCOME_TIMEOUT: clock::Millis = clock::Millis(600_000);

/// The value of a claim's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// A random token, by which the writer recognises its own claim.
    pub token: String,
    /// The fingerprint of the request.
    pub fingerprint: ids::Fingerprint,
    /// The time of the claim, by the writer's wall clock.
    pub time: clock::Millis,
    /// The outcome of the request, once it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub record: Option<problem::RecordedOutcome>,
}

/// A claim of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The row's key.
    pub key: String,
    /// The row's value.
    pub row: Row,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The key was free, and is now held by this claim.
    Fresh {
        /// The row's version, which the write of the outcome expects.
        version: u64,
    },
    /// Another claim of the key exists.
    Taken(Row),
    /// The platform could not record the claim.
    Unavailable,
}

/// An input of the state machine.
#[derive(Debug)]
pub enum Event {
    /// A caller's request claims a key.
    Claim(Claim),
    /// The outcome of a claim is known: its record is written to the row, or the row is removed if there is no record.
    Complete {
        /// The claim.
        claim: Claim,
        /// The row's version, if it is known.
        version: Option<u64>,
        /// The outcome; absent if the request certainly did not run.
        record: Option<problem::RecordedOutcome>,
    },
    /// The write in flight ended.
    Written(Result<Vec<u64>, platform::Error>),
    /// The read in flight ended.
    Read(Result<Option<platform::Row>, platform::Error>),
    /// Time passed.
    Tick,
}

/// An output of the state machine, to be carried out by its actor.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write the rows in one transaction.
    Write(Vec<platform::Write>),
    /// Read one row.
    Read(String),
    /// Answer a claim.
    Answer {
        /// The claim's token.
        token: String,
        /// The answer.
        answer: Answer,
    },
    /// The platform became reachable or unreachable.
    Reachable(bool),
}

/// A waiting claim or outcome.
#[derive(Clone, Debug)]
struct Item {
    claim: Claim,
    operation: Operation,
    deadline: clock::Millis,
    /// Whether a write of the item may have taken effect.
    maybe_written: bool,
    /// The row's version that the write expects; absent for a claim, which expects no row.
    version: Option<u64>,
}

/// The operation on a claim's row.
#[derive(Clone, Debug)]
enum Operation {
    /// Inserts the row.
    Claim,
    /// Adds the outcome to the row.
    Record(problem::RecordedOutcome),
    /// Removes the row.
    Remove,
}

impl Item {
    fn is_claim(&self) -> bool {
        matches!(self.operation, Operation::Claim)
    }

    fn write(&self) -> platform::Write {
        let value = match &self.operation {
            Operation::Claim => encode(&self.claim.row),
            Operation::Record(record) => encode(&Row {
                record: Some(record.clone()),
                ..self.claim.row.clone()
            }),
            Operation::Remove => None,
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

/// The call to the platform in flight.
#[derive(Debug)]
enum InFlight {
    /// Writes all of the items.
    Write(Vec<Item>),
    /// Reads the row of the first item; the others follow.
    Read(VecDeque<Item>),
}

/// The state machine that batches the claims of one daemon.
#[derive(Debug, Default)]
pub struct Claims {
    /// The shortest time between the starts of two writes.
    write_interval: clock::Millis,
    next_write: clock::Millis,
    waiting: VecDeque<Item>,
    /// Items whose state in the table is unknown and must be read first.
    unresolved: VecDeque<Item>,
    in_flight: Option<InFlight>,
    down_until: clock::Millis,
    is_down: bool,
}

impl Claims {
    /// Sets the shortest time between the starts of two writes.
    pub fn set_write_interval(&mut self, write_interval: clock::Millis) {
        self.write_interval = write_interval;
    }

    /// Returns when the next write may start, or `None` if a call is in flight or nothing waits to be written.
    pub fn next_write(&self) -> Option<clock::Millis> {
        let idle = self.in_flight.is_none() && !self.waiting.is_empty();
        idle.then_some(self.next_write)
    }

    /// Handles an event, and returns the actions in order.
    pub fn handle(&mut self, now: clock::Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Claim(claim) => self.enqueue_claim(now, claim, &mut actions),
            Event::Complete {
                claim,
                version,
                record,
            } => self.complete(now, claim, version, record),
            Event::Written(result) => self.on_written(now, result, &mut actions),
            Event::Read(result) => self.on_read(now, result, &mut actions),
            Event::Tick => {}
        }
        self.expire(now, &mut actions);
        self.start_call(now, &mut actions);
        actions
    }

    /// Returns whether the platform counts as down.
    pub fn is_down(&self) -> bool {
        self.is_down
    }

    fn enqueue_claim(&mut self, now: clock::Millis, claim: Claim, actions: &mut Vec<Action>) {
        let is_full = self.waiting.len() + self.unresolved.len() >= MAX_WAITING;
        let is_probe = now >= self.down_until && self.in_flight.is_none();
        if is_full || (self.is_down && !is_probe) {
            actions.push(reply(&claim, Answer::Unavailable));
            return;
        }
        self.waiting.push_back(Item {
            claim,
            operation: Operation::Claim,
            deadline: now + CLAIM_TIMEOUT,
            maybe_written: false,
            version: None,
        });
    }

    fn complete(
        &mut self,
        now: clock::Millis,
        claim: Claim,
        version: Option<u64>,
        record: Option<problem::RecordedOutcome>,
    ) {
        let item = Item {
            claim,
            operation: record.map_or(Operation::Remove, Operation::Record),
            deadline: now + OUTCOME_TIMEOUT,
            maybe_written: false,
            version,
        };
        self.enqueue_outcome(item);
    }

    fn enqueue_outcome(&mut self, item: Item) {
        if self.unresolved.len() + self.waiting.len() >= MAX_WAITING {
            return;
        }
        // An outcome may only overwrite the claim's own row; if the row's version is unknown, the row is read first.
        if item.version.is_some() {
            self.waiting.push_back(item);
        } else {
            self.unresolved.push_back(item);
        }
    }

    /// Starts the next call to the platform: unresolved claims are read before anything is written.
    fn start_call(&mut self, now: clock::Millis, actions: &mut Vec<Action>) {
        if self.in_flight.is_some() || (self.is_down && now < self.down_until) {
            return;
        }
        let has_unresolved_claim = self.unresolved.iter().any(Item::is_claim);
        if !self.waiting.is_empty() && !has_unresolved_claim {
            if now >= self.next_write {
                self.start_write(now, actions);
            }
        } else if !self.unresolved.is_empty() {
            let mut items = std::mem::take(&mut self.unresolved);
            items.make_contiguous().sort_by_key(|i| !i.is_claim());
            self.read_next(items, actions);
        }
    }

    fn start_write(&mut self, now: clock::Millis, actions: &mut Vec<Action>) {
        self.next_write = now + self.write_interval;
        let mut batch = BTreeMap::new();
        let mut rest = VecDeque::new();
        while let Some(item) = self.waiting.pop_front() {
            // One transaction cannot write a row twice: the second write waits for the first.
            if batch.len() < BATCH_ROWS && !batch.contains_key(&item.claim.key) {
                batch.insert(item.claim.key.clone(), item);
            } else {
                rest.push_back(item);
            }
        }
        self.waiting = rest;
        let items: Vec<_> = batch.into_values().collect();
        actions.push(Action::Write(items.iter().map(Item::write).collect()));
        self.in_flight = Some(InFlight::Write(items));
    }

    fn on_written(
        &mut self,
        now: clock::Millis,
        result: Result<Vec<u64>, platform::Error>,
        actions: &mut Vec<Action>,
    ) {
        let Some(InFlight::Write(items)) = self.in_flight.take() else {
            return;
        };
        match result {
            Ok(versions) => {
                self.record_success(actions);
                let claims = items.into_iter().zip(versions);
                for (item, version) in claims.filter(|(item, _)| item.is_claim()) {
                    actions.push(reply(&item.claim, Answer::Fresh { version }));
                }
            }
            Err(platform::Error::Conflict { key }) => {
                self.record_success(actions);
                self.resolve_conflict(items, &key);
            }
            Err(platform::Error::Unavailable { .. }) => {
                self.record_failure(now, actions);
                for item in items {
                    self.abandon(now, item, actions);
                }
            }
            Err(platform::Error::Lost { .. }) => {
                let maybe_written = |item| Item {
                    maybe_written: true,
                    ..item
                };
                self.unresolved.extend(items.into_iter().map(maybe_written));
            }
        }
    }

    /// Handles a write that had no effect because of a conflict: the row in conflict is read, the others are retried.
    fn resolve_conflict(&mut self, items: Vec<Item>, key: &str) {
        if !items.iter().any(|i| i.claim.key == key) {
            self.unresolved.extend(items);
            return;
        }
        for item in items.into_iter().rev() {
            if item.claim.key == key {
                self.unresolved.push_back(item);
            } else {
                self.waiting.push_front(item);
            }
        }
    }

    /// Answers a claim as unavailable, and queues the removal of its row if the row may exist. An outcome is queued
    /// again.
    fn abandon(&mut self, now: clock::Millis, item: Item, actions: &mut Vec<Action>) {
        if !item.is_claim() {
            self.enqueue_outcome(item);
            return;
        }
        actions.push(reply(&item.claim, Answer::Unavailable));
        if item.maybe_written {
            self.complete(now, item.claim, None, None);
        }
    }

    /// Reads the row of the first item.
    fn read_next(&mut self, items: VecDeque<Item>, actions: &mut Vec<Action>) {
        let Some(item) = items.front() else { return };
        actions.push(Action::Read(item.claim.key.clone()));
        self.in_flight = Some(InFlight::Read(items));
    }

    fn on_read(
        &mut self,
        now: clock::Millis,
        result: Result<Option<platform::Row>, platform::Error>,
        actions: &mut Vec<Action>,
    ) {
        let Some(InFlight::Read(mut items)) = self.in_flight.take() else {
            return;
        };
        let Some(item) = items.pop_front() else {
            return;
        };
        match result {
            Ok(row) => {
                self.record_success(actions);
                self.resolve(item, row, actions);
            }
            Err(_) => {
                self.record_failure(now, actions);
                self.abandon(now, item, actions);
                for item in std::mem::take(&mut items) {
                    self.abandon(now, item, actions);
                }
            }
        }
        self.read_next(items, actions);
    }

    /// Resolves an item by the row that was read, if any.
    fn resolve(&mut self, item: Item, row: Option<platform::Row>, actions: &mut Vec<Action>) {
        let found = row.as_ref().map(|r| serde_json::from_str::<Row>(&r.value));
        match (row, found) {
            (Some(row), Some(Ok(found))) => self.resolve_found(item, row.version, found, actions),
            (None, _) if item.is_claim() => self.waiting.push_front(item),
            (Some(_), _) if item.is_claim() => {
                actions.push(reply(&item.claim, Answer::Unavailable));
            }
            // The row no longer exists or is not a claim: there is no outcome to write.
            _ => {}
        }
    }

    fn resolve_found(&mut self, item: Item, version: u64, found: Row, actions: &mut Vec<Action>) {
        let own = found.token == item.claim.row.token;
        match item.operation {
            Operation::Claim if own => actions.push(reply(&item.claim, Answer::Fresh { version })),
            Operation::Claim => actions.push(reply(&item.claim, Answer::Taken(found))),
            Operation::Record(_) | Operation::Remove if own => self.waiting.push_back(Item {
                version: Some(version),
                ..item
            }),
            Operation::Record(_) | Operation::Remove => {}
        }
    }

    /// Abandons the claims and drops the outcomes whose time has passed.
    fn expire(&mut self, now: clock::Millis, actions: &mut Vec<Action>) {
        let (waiting, expired) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition::<VecDeque<_>, _>(|i| now < i.deadline);
        self.waiting = waiting;
        let (unresolved, expired_unresolved) = std::mem::take(&mut self.unresolved)
            .into_iter()
            .partition::<VecDeque<_>, _>(|i| now < i.deadline);
        self.unresolved = unresolved;
        let expired = expired.into_iter().chain(expired_unresolved);
        for item in expired.filter(Item::is_claim) {
            self.abandon(now, item, actions);
        }
    }

    /// Records that the platform answered a call.
    fn record_success(&mut self, actions: &mut Vec<Action>) {
        if self.is_down {
            actions.push(Action::Reachable(true));
        }
        self.is_down = false;
    }

    /// Records that a call to the platform failed, and abandons the waiting items.
    fn record_failure(&mut self, now: clock::Millis, actions: &mut Vec<Action>) {
        if !self.is_down {
            actions.push(Action::Reachable(false));
        }
        self.is_down = true;
        self.down_until = now + DOWN_SPAN;
        for item in std::mem::take(&mut self.waiting) {
            self.abandon(now, item, actions);
        }
    }
}

fn reply(claim: &Claim, answer: Answer) -> Action {
    Action::Answer {
        token: claim.row.token.clone(),
        answer,
    }
}

fn encode(row: &Row) -> Option<String> {
    serde_json::to_string(row).ok()
}

/// Returns the writes that remove those of `rows` whose claims are older than `retention` at wall-clock time `wall`.
pub fn expiry_writes(
    rows: &[platform::Row],
    wall: clock::Millis,
    retention: clock::Millis,
) -> Vec<platform::Write> {
    let old = |row: &&platform::Row| {
        serde_json::from_str::<Row>(&row.value).is_ok_and(|claim| claim.time + retention < wall)
    };
    let removal = |row: &platform::Row| platform::Write {
        key: row.key.clone(),
        expect: platform::Expect::Version(row.version),
        value: None,
    };
    rows.iter().filter(old).map(removal).collect()
}
