//! The home's part of the fleet's policy: drives a cell as `peridotspread::daemon::home` does.

use std::collections::BTreeSet;

use peridotspread::coordination::cell;
use peridotspread::protocol::peer;
use peridotspread::protocol::refusal;
use peridotspread::state::clock;
use peridotspread::state::ids;

use crate::replay::fleet;
use crate::replay::fleet::{Fleet, Home, Message, Place, Quarantined, SendId, World};
use crate::replay::target;
use crate::replay::world;

/// The longest time between two ticks of a cell.
const TICK_SPAN: clock::Millis = clock::Millis(250);

/// How long a request may take before the entry is told that its home is alive.
const FIRST_NOTICE: clock::Millis = clock::Millis(20);

/// The time between two signs of a home.
const NOTICE_SPAN: clock::Millis = clock::Millis(250);

impl Fleet {
    /// Drives a cell by one event and carries out what it decides.
    pub(super) fn drive(&mut self, world: &mut World, place: Place, event: cell::Event<'_>) {
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
        note_ejections(world, place, home);
        for action in actions {
            self.carry_out(world, place, action);
        }
    }

    fn open(&mut self, world: &World, place: Place) {
        let mut cell = cell::Cell::new(&self.ids[place.cell]);
        let now = world.now();
        cell.handle(now, cell::Event::Rules(&world.scene().service));
        for known in self.quarantined.get(&place.daemon).into_iter().flatten() {
            let (fingerprint, span) = (known.fingerprint, known.until - now);
            cell.handle(now, cell::Event::Quarantined { fingerprint, span });
        }
        self.cells.insert(
            place,
            Home {
                cell,
                ejected: BTreeSet::new(),
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
            cell::Action::RequestEjection { target } => self.ask_ejection(world, place, target),
            cell::Action::ReleaseEjection { target } => {
                if world.scene().table_up(world.now()) {
                    self.table.release(&target, place.daemon);
                }
            }
            cell::Action::Record { .. } => {}
            cell::Action::Quarantine { fingerprint, span } => {
                let until = world.now() + span;
                for daemon in 0..self.judges.len() {
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

    pub(super) fn admit(&mut self, world: &mut World, send: SendId, peers: &[peer::CellSummary]) {
        let place = self.sends[send].place;
        let wanted = *world.request(self.sends[send].request);
        self.drive(world, place, cell::Event::Peers(peers));
        world.after(FIRST_NOTICE, place.daemon, Message::Notice(send));
        let left = wanted.deadline - world.now();
        world.after(left, place.daemon, Message::Deadline(send));
        let arrival = cell::Arrival {
            ticket: ids::Ticket(send as u64),
            tier: wanted.tier,
            deadline: wanted.deadline,
            objective: wanted.objective,
            max_tries: u32::MAX,
            prior_tries: 0,
            origin: ids::DomainId::default(),
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

    pub(super) fn go(&mut self, world: &mut World, send: SendId) {
        if !self.sends[send].over {
            self.dispatch(world, send);
        }
    }

    fn dispatch(&mut self, world: &mut World, send: SendId) {
        let place = self.sends[send].place;
        let sending = &mut self.sends[send];
        let Some(target) = sending.granted.take() else {
            return;
        };
        let ticket = ids::Ticket(send as u64);
        let trial = self
            .cells
            .get(&place)
            .is_some_and(|h| h.cell.is_trial(ticket));
        let id = world.dispatch(sending.request, place.daemon, target, trial);
        sending.running = Some(id);
        self.tries.insert(id, send);
        self.drive(
            world,
            place,
            cell::Event::Dispatch(ids::Ticket(send as u64)),
        );
    }

    pub(super) fn ended(&mut self, world: &mut World, id: target::TryId, outcome: cell::Outcome) {
        let Some(send) = self.tries.remove(&id) else {
            return;
        };
        let place = self.sends[send].place;
        let ticket = ids::Ticket(send as u64);
        self.sends[send].running = None;
        self.sends[send].last = Some(outcome);
        match outcome {
            cell::Outcome::Failed | cell::Outcome::Broken => {
                self.sends[send].lost = Some(refusal::Cause::TargetBroke);
            }
            cell::Outcome::TimedOut | cell::Outcome::Expired => {
                self.sends[send].lost = Some(refusal::Cause::TargetTimeout);
            }
            cell::Outcome::Answered
            | cell::Outcome::Shed
            | cell::Outcome::ConnectFailed
            | cell::Outcome::NotRun
            | cell::Outcome::Misplaced
            | cell::Outcome::Unlisted
            | cell::Outcome::Withdrawn => {}
        }
        self.drive(world, place, cell::Event::Done { ticket, outcome });
        if outcome == cell::Outcome::Answered {
            self.drive(world, place, cell::Event::Release(ticket));
            self.finish(world, send, world::Answer::Served);
        }
    }

    pub(super) fn time_out(&mut self, world: &mut World, send: SendId) {
        if self.sends[send].over {
            return;
        }
        if let Some(id) = self.sends[send].running {
            world.cancel(id);
            self.ended(world, id, cell::Outcome::TimedOut);
        } else {
            self.drive(world, self.sends[send].place, cell::Event::Tick);
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
            self.sends[send].lost = Some(refusal::Cause::TargetTimeout);
        }
    }

    /// Forgets a request that its entry has given up.
    pub(super) fn forget(&mut self, world: &mut World, send: SendId) {
        if self.sends[send].over {
            return;
        }
        self.abandon(world, send);
        self.sends[send].over = true;
        let ticket = ids::Ticket(send as u64);
        self.drive(world, self.sends[send].place, cell::Event::Cancel(ticket));
    }

    /// Says the home's last word on a request.
    fn finish(&mut self, world: &mut World, send: SendId, answer: world::Answer) {
        if std::mem::replace(&mut self.sends[send].over, true) {
            return;
        }
        let place = self.sends[send].place;
        let Some(home) = self.cells.get(&place) else {
            return;
        };
        let summary = home.cell.summary(world.now());
        let answer = match answer {
            world::Answer::Refused(r) => {
                world::Answer::Refused(r.after_lost_try(self.sends[send].lost))
            }
            _ => answer,
        };
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

    pub(super) fn notice(&mut self, world: &mut World, send: SendId) {
        if !self.sends[send].over {
            self.tell(world, send, Message::Queued(send));
            let home = self.sends[send].place.daemon;
            world.after(NOTICE_SPAN, home, Message::Notice(send));
        }
    }

    fn tell(&self, world: &mut World, send: SendId, message: Message) {
        let sending = &self.sends[send];
        let entry = world.request(sending.request).entry;
        world.send(sending.place.daemon, entry, message);
    }

    fn ask_ejection(&mut self, world: &mut World, place: Place, target: String) {
        let now = world.now();
        let scene = world.scene();
        let lease = scene.service.ejection.lease_ms;
        let up = scene.table_up(now);
        let held = up && self.table.hold(now, &scene.service, &target, place.daemon);
        let until = held.then(|| now + lease);
        let span = if up {
            fleet::TABLE_LATENCY
        } else {
            fleet::TABLE_TIMEOUT
        };
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

    pub(super) fn quarantine(
        &mut self,
        world: &mut World,
        daemon: usize,
        fingerprint: ids::Fingerprint,
        until: clock::Millis,
    ) {
        let known = self.quarantined.entry(daemon).or_default();
        known.push(Quarantined { fingerprint, until });
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
}

/// Brings the world's account of a cell's ejections up to date.
fn note_ejections(world: &mut World, place: Place, home: &mut Home) {
    let now: BTreeSet<_> = home.cell.ejected_targets().map(str::to_owned).collect();
    if now == home.ejected {
        return;
    }
    let before = std::mem::replace(&mut home.ejected, now);
    for name in before.union(&home.ejected) {
        if let Some(target) = world.scene().target(name) {
            world.mark_ejected(place.daemon, target, home.ejected.contains(name));
        }
    }
}

fn send_of(ticket: ids::Ticket) -> SendId {
    usize::try_from(ticket.0).unwrap_or(usize::MAX)
}

/// Returns what the caller is told of a last try that failed.
fn final_answer(last: Option<cell::Outcome>) -> world::Answer {
    let refusal = match last {
        Some(cell::Outcome::Answered) => return world::Answer::Served,
        Some(cell::Outcome::Failed | cell::Outcome::Shed) => return world::Answer::Failed,
        Some(
            cell::Outcome::ConnectFailed
            | cell::Outcome::NotRun
            | cell::Outcome::Misplaced
            | cell::Outcome::Unlisted
            | cell::Outcome::Withdrawn,
        ) => refusal::Refusal::not_run(refusal::Cause::ConnectFailed, Some(fleet::RETRY_SOON)),
        Some(cell::Outcome::TimedOut | cell::Outcome::Expired) => {
            refusal::Refusal::unknown(refusal::Cause::TargetTimeout)
        }
        Some(cell::Outcome::Broken) | None => {
            refusal::Refusal::unknown(refusal::Cause::TargetBroke)
        }
    };
    world::Answer::Refused(refusal)
}
