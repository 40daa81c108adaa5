//! The actor of one cell at its home: carries [`coordination::cell::Cell`] and tells requests their verdicts.

use std::collections::BTreeMap;
use std::sync;

use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::{sync as tasks, task};

use crate::coordination;
use crate::coordination::cell::{Action, Event};
use crate::protocol::peer;
use crate::protocol::refusal;
use crate::state::bundle;
use crate::state::clock;
use crate::state::ids;
use crate::state::timeline;

/// The longest time between two ticks.
const TICK_SPAN: clock::Millis = clock::Millis(250);
/// How old the published summary of a cell may be.
const SUMMARY_SPAN: clock::Millis = clock::Millis(10);

/// What the cell decided about one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A slot is held at the named target.
    Grant(String),
    /// The request is refused.
    Refuse(refusal::Refusal),
    /// The failed try is final.
    GiveUp,
    /// The try in flight is given up; a grant at another target follows.
    Abandon,
}

/// What the actor is told.
#[derive(Debug)]
pub enum Message {
    /// A request arrives; its verdicts go to the channel.
    Arrive {
        /// The request.
        arrival: coordination::cell::Arrival,
        /// Where its verdicts go.
        verdicts: tasks::mpsc::UnboundedSender<Verdict>,
    },
    /// The home begins to use a slot.
    Dispatch(ids::Ticket),
    /// A try ended or its answer's head came.
    Done {
        /// The request.
        ticket: ids::Ticket,
        /// How.
        outcome: coordination::cell::Outcome,
    },
    /// The answer's body has ended.
    Release(ids::Ticket),
    /// The request is forgotten.
    Cancel(ids::Ticket),
    /// The bundle in force changed.
    Rules(sync::Arc<bundle::Bundle>),
    /// The evidence of the service's other cells.
    Peers(Vec<peer::CellSummary>),
    /// The answer to an asked ejection; until when it is granted.
    Ejection {
        /// The target.
        target: String,
        /// When the ejection lapses; absent where it is denied.
        until: Option<clock::Millis>,
    },
    /// A fingerprint was quarantined elsewhere in the fleet.
    Quarantined {
        /// The fingerprint.
        fingerprint: ids::Fingerprint,
        /// How long.
        span: clock::Millis,
    },
    /// Asks how the targets are judged.
    Targets(tasks::oneshot::Sender<Vec<peer::TargetReport>>),
    /// This daemon gives up the cell.
    Drain,
    /// Time passed.
    Tick,
}

/// Grants shares of a service's ejection budget.
pub trait Budget: Send + Sync {
    /// Asks for the ejection of a target; the answer is the time by this daemon's clock until which it holds.
    fn acquire<'a>(
        &'a self,
        service: &'a bundle::Service,
        target: &'a str,
    ) -> futures_util::future::BoxFuture<'a, Option<clock::Millis>>;

    /// Gives back the ejection of a target.
    fn release<'a>(
        &'a self,
        service: &'a bundle::Service,
        target: &'a str,
    ) -> futures_util::future::BoxFuture<'a, ()>;
}

/// A budget that grants nothing: targets are avoided and never ejected.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoBudget;

impl Budget for NoBudget {
    fn acquire<'a>(
        &'a self,
        _service: &'a bundle::Service,
        _target: &'a str,
    ) -> futures_util::future::BoxFuture<'a, Option<clock::Millis>> {
        Box::pin(async { None })
    }

    fn release<'a>(
        &'a self,
        _service: &'a bundle::Service,
        _target: &'a str,
    ) -> futures_util::future::BoxFuture<'a, ()> {
        Box::pin(async {})
    }
}

/// Takes what a cell tells the whole fleet.
pub trait Broadcast: Send + Sync {
    /// Puts a fingerprint into quarantine everywhere.
    fn quarantine(&self, fingerprint: ids::Fingerprint, span: clock::Millis);
}

/// What a cell's actor works with.
pub struct Options {
    /// The cell.
    pub id: ids::CellId,
    /// The bundle in force.
    pub bundle: sync::Arc<bundle::Bundle>,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// The daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
    /// The ejection budget.
    pub budget: sync::Arc<dyn Budget>,
    /// The way to the whole fleet.
    pub broadcast: sync::Arc<dyn Broadcast>,
    /// Where the cell's latest summary is published.
    pub summary: sync::Arc<sync::RwLock<peer::CellSummary>>,
}

/// The actor's state.
pub struct State {
    cell: coordination::cell::Cell,
    options: Options,
    service: Option<bundle::Service>,
    verdicts: BTreeMap<ids::Ticket, tasks::mpsc::UnboundedSender<Verdict>>,
    published: clock::Millis,
    draining: bool,
    armed: Option<(clock::Millis, task::JoinHandle<()>)>,
}

/// The actor's behaviour.
pub struct Carrier;

impl Actor for Carrier {
    type Msg = Message;
    type State = State;
    type Arguments = Options;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        options: Options,
    ) -> Result<State, ActorProcessingErr> {
        let rules = Message::Rules(options.bundle.clone());
        myself.send_message(rules)?;
        Ok(State {
            cell: coordination::cell::Cell::new(&options.id),
            options,
            service: None,
            verdicts: BTreeMap::new(),
            published: clock::Millis::ZERO,
            draining: false,
            armed: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.options.clock.now();
        let ticked = matches!(message, Message::Tick);
        let actions = state.take(now, message);
        for action in actions {
            state.carry_out(&myself, action);
        }
        if state.draining && state.verdicts.is_empty() {
            myself.stop(None);
        }
        state.publish(now);
        state.arm(&myself, now, ticked);
        Ok(())
    }
}

impl State {
    fn take(&mut self, now: clock::Millis, message: Message) -> Vec<Action> {
        match message {
            Message::Arrive { arrival, verdicts } => {
                self.verdicts.insert(arrival.ticket, verdicts);
                self.cell.handle(now, Event::Arrive(arrival))
            }
            Message::Dispatch(ticket) => self.cell.handle(now, Event::Dispatch(ticket)),
            Message::Done { ticket, outcome } => {
                self.cell.handle(now, Event::Done { ticket, outcome })
            }
            Message::Release(ticket) => {
                self.verdicts.remove(&ticket);
                self.cell.handle(now, Event::Release(ticket))
            }
            Message::Cancel(ticket) => {
                self.verdicts.remove(&ticket);
                self.cell.handle(now, Event::Cancel(ticket))
            }
            Message::Rules(bundle) => {
                self.service = bundle.service(&self.options.id.service).cloned();
                let gone = bundle::Service::without_targets(&self.options.id.service);
                self.cell
                    .handle(now, Event::Rules(self.service.as_ref().unwrap_or(&gone)))
            }
            Message::Peers(summaries) => self.cell.handle(now, Event::Peers(&summaries)),
            Message::Ejection {
                target,
                until: Some(until),
            } => self.cell.handle(
                now,
                Event::Granted {
                    target: &target,
                    until,
                },
            ),
            Message::Ejection {
                target,
                until: None,
            } => self.cell.handle(now, Event::Denied { target: &target }),
            Message::Quarantined { fingerprint, span } => self
                .cell
                .handle(now, Event::Quarantined { fingerprint, span }),
            Message::Targets(reply) => {
                // An asker that has gone needs no reply.
                let _ = reply.send(self.cell.target_reports());
                Vec::new()
            }
            Message::Drain => {
                self.draining = true;
                self.cell.handle(now, Event::Drain)
            }
            Message::Tick => self.cell.handle(now, Event::Tick),
        }
    }

    fn carry_out(&mut self, myself: &ActorRef<Message>, action: Action) {
        match action {
            Action::Grant { ticket, target } => self.tell(ticket, Verdict::Grant(target)),
            Action::Refuse { ticket, refusal } => {
                self.tell(ticket, Verdict::Refuse(refusal));
                self.verdicts.remove(&ticket);
            }
            Action::GiveUp { ticket } => self.tell(ticket, Verdict::GiveUp),
            Action::Abandon { ticket } => self.tell(ticket, Verdict::Abandon),
            Action::RequestEjection { target } => self.ask_ejection(myself, target),
            Action::ReleaseEjection { target } => self.end_ejection(target),
            Action::Record {
                kind,
                target,
                detail,
            } => {
                let subject = timeline::Subject {
                    service: Some(&self.options.id.service),
                    target: Some(&target),
                    request: None,
                };
                self.options.recorder.record(kind, subject, &detail);
            }
            Action::Quarantine { fingerprint, span } => {
                self.options.broadcast.quarantine(fingerprint, span);
            }
        }
    }

    fn tell(&self, ticket: ids::Ticket, verdict: Verdict) {
        if let Some(verdicts) = self.verdicts.get(&ticket) {
            // A request that no longer listens has sent its cancellation already.
            let _ = verdicts.send(verdict);
        }
    }

    fn ask_ejection(&self, myself: &ActorRef<Message>, target: String) {
        let Some(service) = self.service.clone() else {
            return;
        };
        let budget = self.options.budget.clone();
        let myself = myself.clone();
        tokio::spawn(async move {
            let until = budget.acquire(&service, &target).await;
            let _ = myself.send_message(Message::Ejection { target, until });
        });
    }

    fn end_ejection(&self, target: String) {
        let Some(service) = self.service.clone() else {
            return;
        };
        let budget = self.options.budget.clone();
        tokio::spawn(async move { budget.release(&service, &target).await });
    }

    fn publish(&mut self, now: clock::Millis) {
        if now - self.published < SUMMARY_SPAN && self.published != clock::Millis::ZERO {
            return;
        }
        self.published = now;
        let summary = self.cell.summary(now);
        if let Ok(mut place) = self.options.summary.write() {
            *place = summary;
        }
    }

    /// Arms the timer for the next tick, if it is due before the armed one.
    fn arm(&mut self, myself: &ActorRef<Message>, now: clock::Millis, ticked: bool) {
        if ticked {
            self.armed = None;
        }
        let due = self
            .cell
            .wake()
            .max(now + clock::Millis(1))
            .min(now + TICK_SPAN);
        if let Some((at, timer)) = &self.armed {
            if *at <= due {
                return;
            }
            timer.abort();
        }
        let myself = myself.clone();
        let timer = tokio::spawn(async move {
            tokio::time::sleep((due - now).span()).await;
            let _ = myself.send_message(Message::Tick);
        });
        self.armed = Some((due, timer));
    }
}
