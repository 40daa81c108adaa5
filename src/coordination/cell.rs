//! The cell: slots, queue and dispatch of one service's targets in one failure domain.
//!
//! The home's actor feeds it [`Event`]s and carries out its [`Action`]s; it is the only place that decides which
//! target a request goes to.

use std::collections::{BTreeMap, VecDeque};

use crate::protocol::peer;
use crate::protocol::refusal;
use crate::state::bundle;
use crate::state::clock;
use crate::state::ids;
use crate::state::timeline;

/// A request that arrives at the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request within this home.
    pub ticket: ids::Ticket,
    /// The caller's tier; 0 is served first.
    pub tier: u8,
    /// When the caller gives up.
    pub deadline: clock::Millis,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the body can be sent again on a retry.
    pub replayable: bool,
    /// What the request does, for the quarantine.
    pub fingerprint: ids::Fingerprint,
}

/// How one try at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered with a status that is no failure.
    Answered,
    /// The target answered with a status from 500 on.
    Failed,
    /// The target refused the request undone (503 with `Retry-After`), because it sheds load or drains.
    Shed,
    /// No connection was had; the request was not sent.
    ConnectFailed,
    /// The connection died after the request was sent.
    Broken,
    /// No answer came before the deadline.
    TimedOut,
}

/// What happens to the cell.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// A request arrives.
    Arrive(Arrival),
    /// The home begins to send a granted request to its target.
    Dispatch(ids::Ticket),
    /// The head of the target's answer came, or the try failed before it. The slot stays taken after
    /// [`Outcome::Answered`] and [`Outcome::Failed`] until [`Event::Release`].
    Done {
        /// The request.
        ticket: ids::Ticket,
        /// How the try ended.
        outcome: Outcome,
    },
    /// The answer's body has ended, or has been cut; the slot is free.
    Release(ids::Ticket),
    /// The caller left, or the entry was lost; the request is forgotten.
    Cancel(ids::Ticket),
    /// The bundle in force changed, or came for the first time.
    Rules(&'a bundle::Service),
    /// The evidence of the service's other cells, as an entry brought it.
    Peers(&'a [peer::Summary]),
    /// The ejection of a target was granted until a time by this home's clock; the grant may be renewed.
    Granted {
        /// The target.
        target: &'a str,
        /// When the ejection lapses.
        until: clock::Millis,
    },
    /// The ejection of a target was denied: the floor allows none, or the platform does not answer.
    Denied {
        /// The target.
        target: &'a str,
    },
    /// A request's fingerprint was quarantined elsewhere in the fleet.
    Quarantined {
        /// What the request does.
        fingerprint: ids::Fingerprint,
        /// How long it stays in quarantine.
        span: clock::Millis,
    },
    /// The home gives up the cell: what was not dispatched goes back, what runs is finished, nothing new is taken.
    Drain,
    /// Time passed.
    Tick,
}

/// What the home has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A slot at `target` is held for the request; the home sends [`Event::Dispatch`] when it begins to use it.
    Grant {
        /// The request.
        ticket: ids::Ticket,
        /// The target's name.
        target: String,
    },
    /// The request is refused.
    Refuse {
        /// The request.
        ticket: ids::Ticket,
        /// The refusal.
        refusal: refusal::Refusal,
    },
    /// The failed try is final: the home passes its outcome to the caller.
    GiveUp {
        /// The request.
        ticket: ids::Ticket,
    },
    /// The try in flight is given up because its target stalls: the home closes the connection and sends no more events
    /// about this try. The request is idempotent, and its grant at another target is the next action.
    Abandon {
        /// The request.
        ticket: ids::Ticket,
    },
    /// A share of the ejection budget is wanted for the target.
    AskEjection {
        /// The target's name.
        target: String,
    },
    /// The target's ejection is given back.
    EndEjection {
        /// The target's name.
        target: String,
    },
    /// An event for the time line.
    Record {
        /// What happened.
        kind: timeline::Kind,
        /// The target concerned.
        target: String,
        /// The rest, for a person.
        detail: String,
    },
    /// A request that crashed targets goes into quarantine in the whole fleet.
    Quarantine {
        /// What the request does.
        fingerprint: ids::Fingerprint,
        /// How long.
        span: clock::Millis,
    },
}

/// The state of one cell at its home.
#[derive(Debug)]
pub struct Cell {
    id: ids::CellId,
    targets: BTreeMap<String, Slots>,
    queues: BTreeMap<u8, VecDeque<Arrival>>,
    running: BTreeMap<ids::Ticket, String>,
    limit: usize,
}

#[derive(Debug, Default)]
struct Slots {
    total: usize,
    busy: usize,
}

impl Cell {
    /// Creates a cell without targets; [`Event::Rules`] brings them.
    pub fn new(id: &ids::CellId) -> Cell {
        Cell {
            id: id.clone(),
            targets: BTreeMap::new(),
            queues: BTreeMap::new(),
            running: BTreeMap::new(),
            limit: 0,
        }
    }

    /// Takes one event at time `now` and returns what has to be done, in order.
    pub fn handle(&mut self, now: clock::Millis, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Arrive(arrival) => self.arrive(arrival, &mut actions),
            Event::Done { ticket, outcome } => self.done(ticket, outcome, &mut actions),
            Event::Release(ticket) => self.release(ticket),
            Event::Cancel(ticket) => self.cancel(ticket),
            Event::Rules(service) => self.adopt(service),
            Event::Dispatch(_)
            | Event::Peers(_)
            | Event::Granted { .. }
            | Event::Denied { .. }
            | Event::Quarantined { .. }
            | Event::Drain
            | Event::Tick => {}
        }
        self.expire(now, &mut actions);
        self.dispatch(&mut actions);
        actions
    }

    /// Tells the cell's load and evidence.
    pub fn summary(&self, _now: clock::Millis) -> peer::Summary {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        peer::Summary {
            cell: self.id.clone(),
            slots: count(self.targets.values().map(|s| s.total).sum()),
            busy: count(self.targets.values().map(|s| s.busy).sum()),
            queued: count(self.queued()),
            wait: clock::Millis::ZERO,
            median: clock::Millis::ZERO,
            bad: 0.0,
            seen: 0,
            age: clock::Millis::ZERO,
        }
    }

    /// Returns whether the request runs as a trial at a target that is avoided or ejected.
    pub fn is_trial(&self, _ticket: ids::Ticket) -> bool {
        false
    }

    /// Returns when [`Event::Tick`] is due at the latest.
    pub fn wake(&self) -> clock::Millis {
        let waiting = self.queues.values().flatten();
        waiting
            .map(|a| a.deadline)
            .min()
            .unwrap_or(clock::Millis::MAX)
    }

    fn queued(&self) -> usize {
        self.queues.values().map(VecDeque::len).sum()
    }

    fn arrive(&mut self, arrival: Arrival, actions: &mut Vec<Action>) {
        if self.queued() >= self.limit {
            let refusal =
                refusal::Refusal::not_run(refusal::Cause::QueueFull, Some(clock::Millis(1_000)));
            actions.push(Action::Refuse {
                ticket: arrival.ticket,
                refusal,
            });
            return;
        }
        self.queues
            .entry(arrival.tier)
            .or_default()
            .push_back(arrival);
    }

    fn done(&mut self, ticket: ids::Ticket, outcome: Outcome, actions: &mut Vec<Action>) {
        if !matches!(outcome, Outcome::Answered | Outcome::Failed) {
            self.release(ticket);
            actions.push(Action::GiveUp { ticket });
        }
    }

    fn release(&mut self, ticket: ids::Ticket) {
        let Some(name) = self.running.remove(&ticket) else {
            return;
        };
        if let Some(slots) = self.targets.get_mut(&name) {
            slots.busy -= 1;
        }
    }

    fn cancel(&mut self, ticket: ids::Ticket) {
        for queue in self.queues.values_mut() {
            queue.retain(|a| a.ticket != ticket);
        }
        self.release(ticket);
    }

    fn adopt(&mut self, service: &bundle::Service) {
        self.limit = service.queue;
        let mut old = std::mem::take(&mut self.targets);
        for target in service
            .targets
            .iter()
            .filter(|t| t.domain == self.id.domain && !t.leaving)
        {
            let mut slots = old.remove(&target.name).unwrap_or_default();
            slots.total = target.slots;
            self.targets.insert(target.name.clone(), slots);
        }
    }

    fn expire(&mut self, now: clock::Millis, actions: &mut Vec<Action>) {
        for queue in self.queues.values_mut() {
            queue.retain(|a| {
                if a.deadline > now {
                    return true;
                }
                let refusal = refusal::Refusal::not_run(refusal::Cause::DeadlinePassed, None);
                actions.push(Action::Refuse {
                    ticket: a.ticket,
                    refusal,
                });
                false
            });
        }
    }

    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        while let Some((name, slots)) = self
            .targets
            .iter_mut()
            .filter(|(_, s)| s.busy < s.total)
            .min_by_key(|(_, s)| s.busy)
        {
            let Some(arrival) = self.queues.values_mut().find_map(VecDeque::pop_front) else {
                return;
            };
            slots.busy += 1;
            self.running.insert(arrival.ticket, name.clone());
            actions.push(Action::Grant {
                ticket: arrival.ticket,
                target: name.clone(),
            });
        }
    }
}
