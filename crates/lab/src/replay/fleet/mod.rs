//! The policy of the fleet: entries and homes of cells that run the decision code of the daemon.
//!
//! Each home passes events to a [`cell::Cell`] as `peridotspread::daemon` does. Only messages, timers and the
//! platform's table are simulated.

use std::collections::{BTreeMap, BTreeSet};

use peridotspread::coordination::cell;
use peridotspread::coordination::homes;
use peridotspread::protocol::peer;
use peridotspread::protocol::refusal;
use peridotspread::state::clock;
use peridotspread::state::ids;

use crate::replay::sim;
use crate::replay::target;

mod entry;
mod home;
mod table;

/// The latency of a call to the platform's table.
const TABLE_LATENCY: clock::Millis = clock::Millis(5);

/// The timeout of a call to the platform's table.
const TABLE_TIMEOUT: clock::Millis = clock::Millis(1_000);

/// The retry delay that an entry's refusals suggest to the caller.
const RETRY_AFTER: clock::Millis = clock::Millis(1_000);

/// The index of an exchange in [`Fleet::exchanges`].
type ExchangeId = usize;

/// A message between daemons, or a timer of a daemon.
#[derive(Debug)]
pub(crate) enum Message {
    /// Requests a slot: the head of a request and the summaries of other cells, from entry to home.
    Head {
        exchange: ExchangeId,
        peers: Vec<peer::CellSummary>,
    },
    /// Allows the dispatch, from entry to home.
    AllowDispatch(ExchangeId),
    /// Cancels the request, from entry to home.
    Cancel(ExchangeId),
    /// Reports that the home is alive and the request is queued, from home to entry.
    Queued(ExchangeId),
    /// Reports that a slot is granted and the dispatch must be allowed, from home to entry.
    Ready(ExchangeId),
    /// The final answer, from home to entry.
    Reply {
        exchange: ExchangeId,
        answer: sim::Answer,
        summary: peer::CellSummary,
    },
    /// Quarantines a fingerprint at one daemon.
    Quarantine {
        daemon: usize,
        fingerprint: ids::Fingerprint,
        until: clock::Millis,
    },
    /// Timer of the home: the next [`Message::Queued`] is due.
    QueuedDue(ExchangeId),
    /// Timer of the home: the deadline of the request.
    HomeDeadline(ExchangeId),
    /// Timer of the entry: the home may have been silent for too long.
    HomeTimeout(ExchangeId),
    /// Timer of the entry: the deadline of the request with this index.
    EntryDeadline(usize),
    /// The table's answer to a claim; `None` if it did not respond in time.
    Claimed {
        exchange: ExchangeId,
        claim: Option<table::Claim>,
    },
    /// The table's answer to the request for an ejection lease; `until` is `None` if the lease was not granted.
    Ejection {
        location: CellLocation,
        target: String,
        until: Option<clock::Millis>,
    },
    /// Timer of a cell; outdated unless `at` is the time of the cell's next tick.
    Tick {
        location: CellLocation,
        at: clock::Millis,
    },
}

/// The location of a cell: a daemon that acts as its home, and the index of the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CellLocation {
    daemon: usize,
    cell: usize,
}

#[derive(Debug)]
struct Home {
    cell: cell::Cell,
    /// The targets that the cell currently ejects.
    ejected: BTreeSet<String>,
    /// The time of the next timer; an earlier [`Message::Tick`] replaces it.
    next_tick: clock::Millis,
}

/// A quarantined fingerprint and the end of its quarantine.
#[derive(Clone, Copy, Debug)]
struct Quarantined {
    fingerprint: ids::Fingerprint,
    until: clock::Millis,
}

/// The exchange between an entry and a home about one request.
#[derive(Debug)]
struct Exchange {
    request: usize,
    choice: homes::Choice,
    location: CellLocation,
    /// Whether the entry still waits for the answer of this home.
    awaited: bool,
    /// The time of the last message from the home.
    last_contact: clock::Millis,
    /// Whether the home refused the request on behalf of the cell, not just because it is draining.
    refused: bool,
    /// Whether the home fell silent after the dispatch was allowed.
    silent: bool,
    /// Whether the entry waits for the platform's table to answer a claim.
    claim_pending: bool,
    /// Whether the entry has allowed the dispatch.
    allowed: bool,
    /// The target at which a slot is granted, until the dispatch.
    granted: Option<usize>,
    running: Option<target::TryId>,
    /// The outcome of the last try.
    last_outcome: Option<cell::Outcome>,
    /// The reason why earlier tries may have run the request, if they may have.
    lost_cause: Option<refusal::Cause>,
    /// Whether the home has sent its final answer or the exchange was cancelled.
    finished: bool,
}

type Simulation = sim::Simulation<Message>;

/// The state of the policy for all daemons.
pub(crate) struct Fleet {
    cell_ids: Vec<ids::CellId>,
    cells: BTreeMap<CellLocation, Home>,
    /// The selector of homes of each entry.
    selectors: Vec<homes::Selector>,
    /// The quarantined fingerprints that each daemon knows.
    quarantined: BTreeMap<usize, Vec<Quarantined>>,
    exchanges: Vec<Exchange>,
    /// The exchanges of each request, in the order in which homes were tried.
    request_exchanges: BTreeMap<usize, Vec<ExchangeId>>,
    tries: BTreeMap<target::TryId, ExchangeId>,
    table: table::Table,
}

impl Fleet {
    /// Creates the daemons of the simulated scenario.
    pub(crate) fn new(sim: &Simulation) -> Fleet {
        let scenario = sim.scenario();
        let daemons = scenario.names.iter().zip(&scenario.daemon_domains);
        Fleet {
            cell_ids: scenario.service.cells().into_keys().collect(),
            cells: BTreeMap::new(),
            selectors: daemons
                .map(|(name, domain)| homes::Selector::new(name, domain))
                .collect(),
            quarantined: BTreeMap::new(),
            exchanges: Vec::new(),
            request_exchanges: BTreeMap::new(),
            tries: BTreeMap::new(),
            table: table::Table::default(),
        }
    }
}

impl sim::Policy for Fleet {
    type Message = Message;

    fn handle(&mut self, sim: &mut Simulation, input: sim::Input<Message>) {
        match input {
            sim::Input::Request(request) => self.accept_request(sim, request),
            sim::Input::TryEnded {
                id,
                outcome,
                statement,
            } => self.handle_outcome(sim, id, outcome, statement),
            sim::Input::Rules => self.apply_rules(sim),
            sim::Input::Message(message) => self.handle_message(sim, message),
        }
    }
}

impl Fleet {
    fn handle_message(&mut self, sim: &mut Simulation, message: Message) {
        match message {
            Message::Head { exchange, peers } => self.admit(sim, exchange, &peers),
            Message::AllowDispatch(exchange) => self.dispatch_allowed(sim, exchange),
            Message::Cancel(exchange) => self.cancel_exchange(sim, exchange),
            Message::Queued(exchange) => self.record_contact(sim, exchange),
            Message::Ready(exchange) => self.handle_ready(sim, exchange),
            Message::Reply {
                exchange,
                answer,
                summary,
            } => self.handle_reply(sim, exchange, answer, &summary),
            Message::Quarantine {
                daemon,
                fingerprint,
                until,
            } => self.apply_quarantine(sim, daemon, fingerprint, until),
            Message::QueuedDue(exchange) => self.send_queued(sim, exchange),
            Message::HomeDeadline(exchange) => self.handle_home_deadline(sim, exchange),
            Message::HomeTimeout(exchange) => self.check_home_timeout(sim, exchange),
            Message::EntryDeadline(request) => self.handle_entry_deadline(sim, request),
            Message::Claimed { exchange, claim } => self.handle_claim(sim, exchange, claim),
            Message::Ejection {
                location,
                target,
                until,
            } => {
                let event = match until {
                    Some(until) => cell::Event::EjectionGranted {
                        target: &target,
                        until,
                    },
                    None => cell::Event::EjectionDenied { target: &target },
                };
                self.handle_event(sim, location, event);
            }
            Message::Tick { location, at } => {
                let current = self
                    .cells
                    .get_mut(&location)
                    .is_some_and(|home| home.next_tick == at);
                if current {
                    self.handle_event(sim, location, cell::Event::Tick);
                }
            }
        }
    }

    fn apply_rules(&mut self, sim: &mut Simulation) {
        let service = sim.scenario().service.clone();
        let locations: Vec<_> = self.cells.keys().copied().collect();
        for location in locations {
            self.handle_event(sim, location, cell::Event::Rules(&service));
        }
    }
}
