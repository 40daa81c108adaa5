//! The fleet's policy: entries and cell homes that carry the daemon's own decision code.
//!
//! Each home drives a [`cell::Cell`] as `peridotspread::daemon` does; what is faked here is only what lies between the
//! decisions: messages, timers and the platform's table.

use std::collections::BTreeMap;

use peridotspread::coordination::cell;
use peridotspread::protocol::peer;
use peridotspread::protocol::refusal;
use peridotspread::state::clock;
use peridotspread::state::ids;
use peridotspread::state::timeline;

use crate::replay::target;
use crate::replay::world;

mod entry;
mod table;

use entry::{Choice, Entry, Homes};

/// The longest time between two ticks of a cell.
const TICK_SPAN: clock::Millis = clock::Millis(250);

/// How long a request may wait before the entry is told that its home is alive.
const QUEUED_NOTICE: clock::Millis = clock::Millis(20);

/// How long an entry waits for the first sign of a home.
const HOME_PATIENCE: clock::Millis = clock::Millis(100);

/// How long a call to the platform's table takes.
const TABLE_LATENCY: clock::Millis = clock::Millis(5);

/// How long a call to the platform's table may take.
const TABLE_TIMEOUT: clock::Millis = clock::Millis(1_000);

/// The homes that one request is offered to at most.
const MAX_HOMES: usize = 4;

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
        peers: Vec<peer::Summary>,
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
        summary: peer::Summary,
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
    /// The entry has waited for a first sign of the home.
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
    armed: clock::Millis,
}

/// One request at one home.
#[derive(Debug)]
struct Sending {
    request: usize,
    choice: Choice,
    /// The entry still counts on this home.
    current: bool,
    /// The entry has had a sign of the home.
    heard: bool,
    /// The entry has allowed the dispatch.
    gone: bool,
    /// The target that a slot is held at.
    granted: Option<usize>,
    running: Option<target::TryId>,
    /// How the last try ended.
    last: Option<cell::Outcome>,
    /// The home has said its last word.
    over: bool,
}

type World = world::World<Message>;

/// The fleet's policy.
pub(crate) struct Fleet {
    homes: Homes,
    cells: BTreeMap<Place, Home>,
    entries: Vec<Entry>,
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
        Fleet {
            homes: Homes::new(scene),
            cells: BTreeMap::new(),
            entries: scene.names.iter().map(|_| Entry::default()).collect(),
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
            Message::Queued(send) => self.heard(send),
            Message::Ready(send) => self.ready(world, send),
            Message::Reply {
                send,
                answer,
                summary,
            } => self.reply(world, send, answer, summary),
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

/// The entry's part.
impl Fleet {
    fn take(&mut self, world: &mut World, request: usize) {
        let now = world.now();
        let wanted = *world.request(request);
        if let Some(until) = self.entries[wanted.entry].quarantined(now, wanted.fingerprint) {
            let refusal = refusal::Refusal::not_run(refusal::Cause::Quarantined, Some(until - now));
            world.answer(request, world::Answer::Refused(refusal));
            return;
        }
        world.after(
            wanted.deadline - now,
            wanted.entry,
            Message::Expired(request),
        );
        self.offer(world, request);
    }

    /// Offers a request to the next home; refuses it if there is none.
    fn offer(&mut self, world: &mut World, request: usize) {
        let now = world.now();
        let wanted = *world.request(request);
        let offers = self.offers.entry(request).or_default();
        let tried: Vec<_> = offers.iter().map(|s| self.sends[*s].choice).collect();
        let place = &world.scene().places[wanted.entry];
        let entry = &self.entries[wanted.entry];
        let choice = entry.choose(now, &self.homes, place, &tried, request);
        let Some(choice) = choice.filter(|_| tried.len() < MAX_HOMES) else {
            let refusal = refusal::Refusal::not_run(refusal::Cause::NoHome, Some(RETRY_SOON));
            self.answer(world, request, world::Answer::Refused(refusal));
            return;
        };
        let send = self.sends.len();
        offers.push(send);
        self.sends.push(Sending {
            request,
            choice,
            current: true,
            heard: false,
            gone: wanted.idempotent,
            granted: None,
            running: None,
            last: None,
            over: false,
        });
        let peers = entry.peers(now, choice.cell);
        world.send(wanted.entry, choice.home, Message::Head { send, peers });
        world.after(HOME_PATIENCE, wanted.entry, Message::Patience(send));
    }

    fn answer(&mut self, world: &mut World, request: usize, answer: world::Answer) {
        if let Some(key) = world.request(request).key {
            let not_run = matches!(answer, world::Answer::Refused(r) if r.outcome == refusal::Outcome::NotRun);
            let claimed = self
                .offers
                .get(&request)
                .is_some_and(|o| o.iter().any(|s| self.sends[*s].gone));
            if claimed && (not_run || answer == world::Answer::Served) {
                self.table.settle(key, !not_run);
            }
        }
        world.answer(request, answer);
    }

    fn heard(&mut self, send: SendId) {
        let sending = &mut self.sends[send];
        sending.heard = true;
    }

    fn trust(&mut self, world: &World, send: SendId) {
        self.heard(send);
        let sending = &self.sends[send];
        let entry = world.request(sending.request).entry;
        self.entries[entry].trust(sending.choice.home);
    }

    /// Allows the dispatch of non-idempotent work, once its key is claimed.
    fn ready(&mut self, world: &mut World, send: SendId) {
        self.trust(world, send);
        let request = self.sends[send].request;
        if !self.sends[send].current || world.closed(request) {
            return;
        }
        let wanted = *world.request(request);
        let Some(key) = wanted.key else {
            return self.allow(world, send);
        };
        let up = world.scene().table_up(world.now());
        let claim = up.then(|| self.table.claim(key));
        let span = if up { TABLE_LATENCY } else { TABLE_TIMEOUT };
        world.after(span, wanted.entry, Message::Claimed { send, claim });
    }

    fn claimed(&mut self, world: &mut World, send: SendId, claim: Option<table::Claim>) {
        let request = self.sends[send].request;
        let key = world.request(request).key;
        if !self.sends[send].current || world.closed(request) {
            if let (Some(key), Some(table::Claim::Fresh)) = (key, claim) {
                self.table.settle(key, false);
            }
            return;
        }
        let answer = match claim {
            Some(table::Claim::Fresh) => return self.allow(world, send),
            Some(table::Claim::Ran) => world::Answer::Served,
            Some(table::Claim::Unknown) => {
                world::Answer::Refused(refusal::Refusal::unknown(refusal::Cause::AlreadyClaimed))
            }
            None => world::Answer::Refused(refusal::Refusal::not_run(
                refusal::Cause::ClaimUnavailable,
                Some(RETRY_SOON),
            )),
        };
        self.withdraw(world, send);
        world.answer(request, answer);
    }

    fn allow(&mut self, world: &mut World, send: SendId) {
        let sending = &mut self.sends[send];
        sending.gone = true;
        let home = sending.choice.home;
        let entry = world.request(sending.request).entry;
        world.send(entry, home, Message::Go(send));
    }

    fn withdraw(&mut self, world: &mut World, send: SendId) {
        let sending = &mut self.sends[send];
        sending.current = false;
        let home = sending.choice.home;
        let entry = world.request(sending.request).entry;
        world.send(entry, home, Message::Dropped(send));
    }

    fn reply(
        &mut self,
        world: &mut World,
        send: SendId,
        answer: world::Answer,
        summary: peer::Summary,
    ) {
        self.trust(world, send);
        let sending = &self.sends[send];
        let request = sending.request;
        let entry = world.request(request).entry;
        self.entries[entry].observe(world.now(), sending.choice.cell, summary);
        if !sending.current {
            return;
        }
        let elsewhere = matches!(answer, world::Answer::Refused(r) if another_home_may_serve(r));
        if elsewhere && self.offers[&request].len() < MAX_HOMES {
            self.sends[send].current = false;
            if let Some(key) = world.request(request).key.filter(|_| self.sends[send].gone) {
                self.table.settle(key, false);
            }
            return self.offer(world, request);
        }
        self.answer(world, request, answer);
    }

    /// Turns to another home if the first gave no sign; what has been allowed to run is not offered again.
    fn lose_patience(&mut self, world: &mut World, send: SendId) {
        let sending = &self.sends[send];
        if sending.heard || !sending.current || world.closed(sending.request) {
            return;
        }
        let request = sending.request;
        let wanted = *world.request(request);
        self.entries[wanted.entry].suspect(world.now(), sending.choice.home);
        self.withdraw(world, send);
        self.offer(world, request);
    }

    fn expire(&mut self, world: &mut World, request: usize) {
        if world.closed(request) {
            return;
        }
        let offers = self.offers.get(&request).cloned().unwrap_or_default();
        let gone = offers.iter().any(|s| self.sends[*s].gone);
        for send in offers
            .into_iter()
            .filter(|s| self.sends[*s].current)
            .collect::<Vec<_>>()
        {
            self.withdraw(world, send);
        }
        let refusal = if gone {
            refusal::Refusal::unknown(refusal::Cause::TargetTimeout)
        } else {
            refusal::Refusal::not_run(refusal::Cause::DeadlinePassed, None)
        };
        self.answer(world, request, world::Answer::Refused(refusal));
    }
}

/// The home's part.
impl Fleet {
    /// Drives a cell by one event and carries out what it decides.
    fn drive(&mut self, world: &mut World, place: Place, event: cell::Event<'_>) {
        let now = world.now();
        if !self.cells.contains_key(&place) {
            self.open(world, place);
        }
        let Some(home) = self.cells.get_mut(&place) else {
            return;
        };
        let actions = home.cell.handle(now, event);
        let due = home
            .cell
            .wake()
            .max(now + clock::Millis(1))
            .min(now + TICK_SPAN);
        if home.armed <= now || due < home.armed {
            home.armed = due;
            world.after(due - now, place.daemon, Message::Tick { place, at: due });
        }
        for action in actions {
            self.carry_out(world, place, action);
        }
    }

    fn open(&mut self, world: &World, place: Place) {
        let mut cell = cell::Cell::new(&self.homes.cells[place.cell]);
        cell.handle(world.now(), cell::Event::Rules(&world.scene().service));
        self.cells.insert(
            place,
            Home {
                cell,
                armed: clock::Millis::ZERO,
            },
        );
    }

    fn carry_out(&mut self, world: &mut World, place: Place, action: cell::Action) {
        match action {
            cell::Action::Grant { ticket, target } => self.grant(world, ticket, &target),
            cell::Action::Refuse { ticket, refusal } => {
                self.finish(world, send_of(ticket), world::Answer::Refused(refusal));
            }
            cell::Action::GiveUp { ticket } => self.give_up(world, place, ticket),
            cell::Action::Abandon { ticket } => self.abandon(world, send_of(ticket)),
            cell::Action::AskEjection { target } => self.ask_ejection(world, place, target),
            cell::Action::EndEjection { target } => {
                if world.scene().table_up(world.now()) {
                    self.table.release(&target, place.daemon);
                }
            }
            cell::Action::Record { kind, target, .. } => record(world, place, kind, &target),
            cell::Action::Quarantine { fingerprint, span } => {
                let until = world.now() + span;
                for daemon in 0..self.entries.len() {
                    world.send(
                        place.daemon,
                        daemon,
                        Message::Quarantine {
                            daemon,
                            fingerprint,
                            until,
                        },
                    );
                }
            }
        }
    }

    fn admit(&mut self, world: &mut World, send: SendId, peers: &[peer::Summary]) {
        let place = self.place(send);
        let wanted = *world.request(self.sends[send].request);
        self.drive(world, place, cell::Event::Peers(peers));
        world.after(QUEUED_NOTICE, place.daemon, Message::Notice(send));
        let left = wanted.deadline - world.now();
        world.after(left, place.daemon, Message::Deadline(send));
        let arrival = cell::Arrival {
            ticket: ids::Ticket(send as u64),
            tier: wanted.tier,
            deadline: wanted.deadline,
            idempotent: wanted.idempotent,
            replayable: true,
            fingerprint: wanted.fingerprint,
        };
        self.drive(world, place, cell::Event::Arrive(arrival));
    }

    fn grant(&mut self, world: &mut World, ticket: ids::Ticket, target: &str) {
        let send = send_of(ticket);
        self.sends[send].granted = world.scene().target(target);
        if self.sends[send].gone {
            self.dispatch(world, send);
        } else {
            self.tell(world, send, Message::Ready(send));
        }
    }

    fn go(&mut self, world: &mut World, send: SendId) {
        if !self.sends[send].over {
            self.dispatch(world, send);
        }
    }

    fn dispatch(&mut self, world: &mut World, send: SendId) {
        let place = self.place(send);
        let sending = &mut self.sends[send];
        let Some(target) = sending.granted.take() else {
            return;
        };
        let id = world.dispatch(sending.request, place.daemon, target);
        sending.running = Some(id);
        self.tries.insert(id, send);
        self.drive(
            world,
            place,
            cell::Event::Dispatch(ids::Ticket(send as u64)),
        );
    }

    fn ended(&mut self, world: &mut World, id: target::TryId, outcome: cell::Outcome) {
        let Some(send) = self.tries.remove(&id) else {
            return;
        };
        let place = self.place(send);
        let ticket = ids::Ticket(send as u64);
        self.sends[send].running = None;
        self.sends[send].last = Some(outcome);
        self.drive(world, place, cell::Event::Done { ticket, outcome });
        if outcome == cell::Outcome::Answered {
            self.drive(world, place, cell::Event::Release(ticket));
            self.finish(world, send, world::Answer::Served);
        }
    }

    fn time_out(&mut self, world: &mut World, send: SendId) {
        if self.sends[send].over {
            return;
        }
        if let Some(id) = self.sends[send].running {
            world.cancel(id);
            self.ended(world, id, cell::Outcome::TimedOut);
        } else {
            self.drive(world, self.place(send), cell::Event::Tick);
        }
    }

    fn give_up(&mut self, world: &mut World, place: Place, ticket: ids::Ticket) {
        let send = send_of(ticket);
        let answer = final_answer(self.sends[send].last);
        self.finish(world, send, answer);
        self.drive(world, place, cell::Event::Release(ticket));
    }

    fn abandon(&mut self, world: &mut World, send: SendId) {
        if let Some(id) = self.sends[send].running.take() {
            self.tries.remove(&id);
            world.cancel(id);
        }
    }

    /// Forgets a request that its entry has given up.
    fn forget(&mut self, world: &mut World, send: SendId) {
        if self.sends[send].over {
            return;
        }
        self.abandon(world, send);
        self.sends[send].over = true;
        let ticket = ids::Ticket(send as u64);
        self.drive(world, self.place(send), cell::Event::Cancel(ticket));
    }

    /// Says the home's last word on a request.
    fn finish(&mut self, world: &mut World, send: SendId, answer: world::Answer) {
        if std::mem::replace(&mut self.sends[send].over, true) {
            return;
        }
        let place = self.place(send);
        let Some(home) = self.cells.get(&place) else {
            return;
        };
        let summary = home.cell.summary(world.now());
        self.tell(
            world,
            send,
            Message::Reply {
                send,
                answer,
                summary,
            },
        );
    }

    fn notice(&mut self, world: &mut World, send: SendId) {
        if !self.sends[send].over {
            self.tell(world, send, Message::Queued(send));
        }
    }

    fn tell(&self, world: &mut World, send: SendId, message: Message) {
        let sending = &self.sends[send];
        let entry = world.request(sending.request).entry;
        world.send(sending.choice.home, entry, message);
    }

    fn ask_ejection(&mut self, world: &mut World, place: Place, target: String) {
        let now = world.now();
        let scene = world.scene();
        let lease = scene.service.ejection.lease_ms;
        let up = scene.table_up(now);
        let held = up && self.table.hold(now, &scene.service, &target, place.daemon);
        let until = held.then(|| now + lease);
        let span = if up { TABLE_LATENCY } else { TABLE_TIMEOUT };
        world.after(
            span,
            place.daemon,
            Message::Ejection {
                place,
                target,
                until,
            },
        );
    }

    fn quarantine(
        &mut self,
        world: &mut World,
        daemon: usize,
        fingerprint: ids::Fingerprint,
        until: clock::Millis,
    ) {
        self.entries[daemon].quarantine(fingerprint, until);
        let span = until - world.now();
        let places: Vec<_> = self
            .cells
            .keys()
            .copied()
            .filter(|p| p.daemon == daemon)
            .collect();
        for place in places {
            self.drive(world, place, cell::Event::Quarantined { fingerprint, span });
        }
    }

    fn place(&self, send: SendId) -> Place {
        let Choice { cell, home } = self.sends[send].choice;
        Place { daemon: home, cell }
    }
}

/// Notes in the world's account what a cell says of its target.
fn record(world: &mut World, place: Place, kind: timeline::Kind, target: &str) {
    let Some(target) = world.scene().target(target) else {
        return;
    };
    match kind {
        timeline::Kind::Ejected => world.mark_ejected(place.daemon, target, true),
        timeline::Kind::Reinstated => world.mark_ejected(place.daemon, target, false),
        _ => {}
    }
}

fn send_of(ticket: ids::Ticket) -> SendId {
    usize::try_from(ticket.0).unwrap_or(usize::MAX)
}

/// Returns what the caller is told of a last try that failed.
fn final_answer(last: Option<cell::Outcome>) -> world::Answer {
    let refusal = match last {
        Some(cell::Outcome::Answered) => return world::Answer::Served,
        Some(cell::Outcome::Failed) => return world::Answer::Failed,
        Some(cell::Outcome::Shed | cell::Outcome::ConnectFailed) => {
            refusal::Refusal::not_run(refusal::Cause::ConnectFailed, Some(RETRY_SOON))
        }
        Some(cell::Outcome::TimedOut) => refusal::Refusal::unknown(refusal::Cause::TargetTimeout),
        Some(cell::Outcome::Broken) | None => {
            refusal::Refusal::unknown(refusal::Cause::TargetBroke)
        }
    };
    world::Answer::Refused(refusal)
}

/// Returns whether a refusal leaves it open that another cell serves the request.
fn another_home_may_serve(refusal: refusal::Refusal) -> bool {
    let elsewhere = matches!(
        refusal.cause,
        refusal::Cause::NoTarget
            | refusal::Cause::NoHome
            | refusal::Cause::Draining
            | refusal::Cause::QueueFull
            | refusal::Cause::Displaced
            | refusal::Cause::DeadlineTooShort
            | refusal::Cause::ConnectFailed
    );
    elsewhere && refusal.outcome == refusal::Outcome::NotRun
}
