//! The fleet's policy: entries and cell homes that carry the daemon's own decision code.
//!
//! Each home drives a [`cell::Cell`] as `peridotspread::daemon` does; what is faked here is only what lies between the
//! decisions: messages, timers and the platform's table.

use std::collections::{BTreeMap, BTreeSet};

use peridotspread::coordination::cell;
use peridotspread::coordination::homes;
use peridotspread::protocol::peer;
use peridotspread::protocol::refusal;
use peridotspread::state::clock;
use peridotspread::state::ids;

use crate::replay::target;
use crate::replay::world;

mod entry;
mod home;
mod table;

/// How long a call to the platform's table takes.
const TABLE_LATENCY: clock::Millis = clock::Millis(5);

/// How long a call to the platform's table may take.
const TABLE_TIMEOUT: clock::Millis = clock::Millis(1_000);

/// When to come back after a refusal by an entry.
const RETRY_SOON: clock::Millis = clock::Millis(1_000);

/// One request at one home, by its place in the list of all.
type SendId = usize;

/// What daemons send each other and themselves.
#[derive(Debug)]
pub(crate) enum Message {
    /// A request's head arrives at its home.
    Head {
        send: SendId,
        peers: Vec<peer::CellSummary>,
    },
    /// The entry allows the dispatch.
    Go(SendId),
    /// The entry has given up the request.
    Dropped(SendId),
    /// The home is alive and has the request.
    Queued(SendId),
    /// The home holds a slot.
    Ready(SendId),
    /// The home's last word on a request.
    Reply {
        send: SendId,
        answer: world::Answer,
        summary: peer::CellSummary,
    },
    /// A fingerprint goes into quarantine at one daemon.
    Quarantine {
        daemon: usize,
        fingerprint: ids::Fingerprint,
        until: clock::Millis,
    },
    /// The notice that a request is queued is due.
    Notice(SendId),
    /// The request's deadline has come at its home.
    Deadline(SendId),
    /// The entry may have waited for too long for a sign of the home.
    Patience(SendId),
    /// The request's deadline has come at its entry.
    Expired(usize),
    /// The table answered a claim.
    Claimed {
        send: SendId,
        claim: Option<table::Claim>,
    },
    /// The table answered a call about an ejection.
    Ejection {
        place: Place,
        target: String,
        until: Option<clock::Millis>,
    },
    /// A cell is due for a tick.
    Tick { place: Place, at: clock::Millis },
}

/// One cell at one home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    daemon: usize,
    cell: usize,
}

#[derive(Debug)]
struct Home {
    cell: cell::Cell,
    /// The targets that the cell ejects.
    ejected: BTreeSet<String>,
    armed: clock::Millis,
}

/// A fingerprint in quarantine.
#[derive(Clone, Copy, Debug)]
struct Quarantined {
    fingerprint: ids::Fingerprint,
    until: clock::Millis,
}

/// One request at one home.
#[derive(Debug)]
struct Sending {
    request: usize,
    choice: homes::Choice,
    place: Place,
    /// The entry still counts on this home.
    current: bool,
    /// When the entry last had a sign of the home.
    heard: clock::Millis,
    /// The home refused it for its whole cell.
    refused: bool,
    /// The home fell silent after it was allowed to dispatch.
    silent: bool,
    /// The entry waits for the platform's table.
    claiming: bool,
    /// The entry has allowed the dispatch.
    gone: bool,
    /// The target that a slot is held at.
    granted: Option<usize>,
    running: Option<target::TryId>,
    /// How the last try ended.
    last: Option<cell::Outcome>,
    /// Why it is not proven that earlier tries did not run.
    lost: Option<refusal::Cause>,
    /// The home has said its last word.
    over: bool,
}

type World = world::World<Message>;

/// The fleet's policy.
pub(crate) struct Fleet {
    ids: Vec<ids::CellId>,
    cells: BTreeMap<Place, Home>,
    /// Each entry's judgement of homes.
    judges: Vec<homes::Selector>,
    /// The quarantine as each daemon knows it.
    quarantined: BTreeMap<usize, Vec<Quarantined>>,
    sends: Vec<Sending>,
    /// The homes that each request was offered to.
    offers: BTreeMap<usize, Vec<SendId>>,
    tries: BTreeMap<target::TryId, SendId>,
    table: table::Table,
}

impl Fleet {
    /// Creates the daemons of a world.
    pub(crate) fn new(world: &World) -> Fleet {
        let scene = world.scene();
        let daemons = scene.names.iter().zip(&scene.places);
        Fleet {
            ids: scene.service.cells().into_keys().collect(),
            cells: BTreeMap::new(),
            judges: daemons
                .map(|(name, place)| homes::Selector::new(name, place))
                .collect(),
            quarantined: BTreeMap::new(),
            sends: Vec::new(),
            offers: BTreeMap::new(),
            tries: BTreeMap::new(),
            table: table::Table::default(),
        }
    }
}

impl world::Policy for Fleet {
    type Message = Message;

    fn handle(&mut self, world: &mut World, input: world::Input<Message>) {
        match input {
            world::Input::Request(request) => self.take(world, request),
            world::Input::Ended { id, outcome } => self.ended(world, id, outcome),
            world::Input::Rules => self.adopt(world),
            world::Input::Message(message) => self.receive(world, message),
        }
    }
}

impl Fleet {
    fn receive(&mut self, world: &mut World, message: Message) {
        match message {
            Message::Head { send, peers } => self.admit(world, send, &peers),
            Message::Go(send) => self.go(world, send),
            Message::Dropped(send) => self.forget(world, send),
            Message::Queued(send) => self.heard(world, send),
            Message::Ready(send) => self.ready(world, send),
            Message::Reply {
                send,
                answer,
                summary,
            } => self.reply(world, send, answer, &summary),
            Message::Quarantine {
                daemon,
                fingerprint,
                until,
            } => self.quarantine(world, daemon, fingerprint, until),
            Message::Notice(send) => self.notice(world, send),
            Message::Deadline(send) => self.time_out(world, send),
            Message::Patience(send) => self.lose_patience(world, send),
            Message::Expired(request) => self.expire(world, request),
            Message::Claimed { send, claim } => self.claimed(world, send, claim),
            Message::Ejection {
                place,
                target,
                until,
            } => {
                let event = match until {
                    Some(until) => cell::Event::Granted {
                        target: &target,
                        until,
                    },
                    None => cell::Event::Denied { target: &target },
                };
                self.drive(world, place, event);
            }
            Message::Tick { place, at } => {
                let current = self
                    .cells
                    .get_mut(&place)
                    .is_some_and(|home| home.armed == at);
                if current {
                    self.drive(world, place, cell::Event::Tick);
                }
            }
        }
    }

    fn adopt(&mut self, world: &mut World) {
        let service = world.scene().service.clone();
        let places: Vec<_> = self.cells.keys().copied().collect();
        for place in places {
            self.drive(world, place, cell::Event::Rules(&service));
        }
    }
}
