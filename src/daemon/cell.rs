//! The actor of one cell at its home: runs the state machine [`coordination::cell::Cell`] and sends its verdicts to the
//! requests' tasks in [`super::home`].

use std::collections::BTreeMap;
use std::sync;

use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::{sync as tokio_sync, task};

use crate::coordination;
use crate::coordination::cell::{Action, Event};
use crate::daemon::metrics;
use crate::protocol::peer;
use crate::protocol::refusal;
use crate::state::bundle;
use crate::state::clock;
use crate::state::ids;
use crate::state::timeline;

/// The longest time between two ticks of the state machine.
const TICK_INTERVAL: clock::Millis = clock::Millis(250);
/// The least time between two log lines about the use of a cell's targets.
const USAGE_LOG_INTERVAL: clock::Millis = clock::Millis(1_000);
/// The least time between two published summaries.
const SUMMARY_INTERVAL: clock::Millis = clock::Millis(10);

/// The cell's decision about one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A slot at the named target is granted.
    Grant(String),
    /// The request is refused.
    Refuse(refusal::Refusal),
    /// The failed try is final; it is not retried.
    GiveUp,
    /// The try in flight is abandoned; a grant at another target follows.
    Abandon,
}

/// A message to the actor.
#[derive(Debug)]
pub enum Message {
    /// A request arrived.
    Arrive {
        /// The request.
        arrival: coordination::cell::Arrival,
        /// What its entry knows of targets from their statements.
        known: Vec<peer::KnownTarget>,
        /// Receives its verdicts.
        verdicts: tokio_sync::mpsc::UnboundedSender<Verdict>,
    },
    /// A granted slot is put to use: the home sends the grant to the entry.
    Sent(ids::Ticket),
    /// A try ended: the head of the response was received, or the try failed before that.
    Done {
        /// The request.
        ticket: ids::Ticket,
        /// The outcome of the try.
        outcome: coordination::cell::Outcome,
        /// What the target states in its response; absent if there is none.
        statement: Option<peer::Statement>,
    },
    /// Whether this daemon ranks first for the cell.
    Ranked {
        /// Whether it does.
        is_first: bool,
    },
    /// The request ended, and its slot is free.
    Release(ids::Ticket),
    /// The request was cancelled, since its stream broke.
    Cancel(ids::Ticket),
    /// The bundle in force changed.
    Rules(sync::Arc<bundle::Bundle>),
    /// The summaries of the service's other cells.
    OtherCells(Vec<peer::CellSummary>),
    /// The reply to the request for an ejection lease.
    Ejection {
        /// The target.
        target: String,
        /// When the lease expires; absent if it was denied.
        until: Option<clock::Millis>,
    },
    /// A fingerprint was quarantined, by this cell or elsewhere in the fleet.
    Quarantined {
        /// The fingerprint.
        fingerprint: ids::Fingerprint,
        /// How long it stays in quarantine.
        span: clock::Millis,
    },
    /// Requests the reports on the cell's targets.
    GetTargets(tokio_sync::oneshot::Sender<Vec<peer::TargetReport>>),
    /// This daemon is no longer the cell's home; the actor stops once all requests have ended.
    Drain,
    /// The timer fired.
    Tick,
}

/// Leases shares of a service's ejection budget.
pub trait EjectionBudget: Send + Sync {
    /// Requests a lease for the ejection of a target; returns when it expires by this daemon's clock, or `None` if it
    /// is denied.
    fn acquire<'a>(
        &'a self,
        service: &'a bundle::Service,
        target: &'a str,
    ) -> futures_util::future::BoxFuture<'a, Option<clock::Millis>>;

    /// Releases the lease for the ejection of a target.
    fn release<'a>(
        &'a self,
        service: &'a bundle::Service,
        target: &'a str,
    ) -> futures_util::future::BoxFuture<'a, ()>;
}

/// An ejection budget that grants no leases: targets are avoided, but never ejected.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoEjectionBudget;

impl EjectionBudget for NoEjectionBudget {
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

/// Broadcasts what a cell detects to the fleet.
pub trait Broadcast: Send + Sync {
    /// Quarantines a fingerprint in the whole fleet for `span`.
    fn quarantine(&self, fingerprint: ids::Fingerprint, span: clock::Millis);
}

/// Options of a cell's actor.
pub struct Options {
    /// The cell.
    pub id: ids::CellId,
    /// The bundle in force.
    pub bundle: sync::Arc<bundle::Bundle>,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// Records events in the daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
    /// Leases shares of the ejection budget.
    pub budget: sync::Arc<dyn EjectionBudget>,
    /// Broadcasts quarantined fingerprints to the fleet.
    pub broadcast: sync::Arc<dyn Broadcast>,
    /// The daemon's metrics.
    pub metrics: sync::Arc<metrics::Metrics>,
    /// Where the cell's latest summary is published.
    pub summary: sync::Arc<sync::RwLock<peer::CellSummary>>,
}

/// The state of a cell's actor.
pub struct State {
    cell: coordination::cell::Cell,
    options: Options,
    service: Option<bundle::Service>,
    verdicts: BTreeMap<ids::Ticket, tokio_sync::mpsc::UnboundedSender<Verdict>>,
    published: clock::Millis,
    /// Whether the last log line about the use of targets said that one receives no requests.
    logged_neglect: bool,
    /// When that line was written.
    logged_at: clock::Millis,
    draining: bool,
    /// When the next tick is due, and the task that sends it.
    timer: Option<(clock::Millis, task::JoinHandle<()>)>,
}

/// The actor of a cell.
pub struct CellActor;

impl Actor for CellActor {
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
            logged_neglect: false,
            logged_at: clock::Millis::ZERO,
            draining: false,
            timer: None,
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
        let actions = state.handle(now, message);
        for action in actions {
            state.execute(&myself, action);
        }
        if state.draining && state.verdicts.is_empty() {
            myself.stop(None);
        }
        state.publish(now);
        for (event, count) in state.cell.take_counts() {
            let service = &state.options.id.service;
            state.options.metrics.record_scarcity(service, event, count);
        }
        if ticked {
            state.log_usage(now);
        }
        state.schedule_tick(&myself, now, ticked);
        Ok(())
    }
}

impl State {
    fn handle(&mut self, now: clock::Millis, message: Message) -> Vec<Action> {
        match message {
            Message::Arrive {
                arrival,
                known,
                verdicts,
            } => {
                self.verdicts.insert(arrival.ticket, verdicts);
                let known = &known;
                self.cell.handle(now, Event::Arrive { arrival, known })
            }
            Message::Sent(ticket) => self.cell.handle(now, Event::Sent(ticket)),
            Message::Done {
                ticket,
                outcome,
                statement,
            } => {
                let mut actions = match statement {
                    Some(statement) => self.cell.handle(now, Event::Stated { ticket, statement }),
                    None => Vec::new(),
                };
                actions.extend(self.cell.handle(now, Event::Done { ticket, outcome }));
                actions
            }
            Message::Ranked { is_first } => self.cell.handle(now, Event::Ranked { is_first }),
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
                let without_targets = bundle::Service::without_targets(&self.options.id.service);
                self.cell.handle(
                    now,
                    Event::Rules(self.service.as_ref().unwrap_or(&without_targets)),
                )
            }
            Message::OtherCells(summaries) => self.cell.handle(now, Event::OtherCells(&summaries)),
            Message::Ejection {
                target,
                until: Some(until),
            } => self.cell.handle(
                now,
                Event::EjectionGranted {
                    target: &target,
                    until,
                },
            ),
            Message::Ejection {
                target,
                until: None,
            } => self
                .cell
                .handle(now, Event::EjectionDenied { target: &target }),
            Message::Quarantined { fingerprint, span } => self
                .cell
                .handle(now, Event::Quarantined { fingerprint, span }),
            Message::GetTargets(reply) => {
                // The caller may have stopped waiting.
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

    fn execute(&mut self, myself: &ActorRef<Message>, action: Action) {
        match action {
            Action::Grant { ticket, target } => self.send_verdict(ticket, Verdict::Grant(target)),
            Action::Refuse { ticket, refusal } => {
                self.send_verdict(ticket, Verdict::Refuse(refusal));
                self.verdicts.remove(&ticket);
            }
            Action::GiveUp { ticket } => self.send_verdict(ticket, Verdict::GiveUp),
            Action::Abandon { ticket } => self.send_verdict(ticket, Verdict::Abandon),
            Action::RequestEjection { target } => self.request_ejection(myself, target),
            Action::ReleaseEjection { target } => self.release_ejection(target),
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
                log::warn!(
                    cell = self.options.id.to_string(), fingerprint = fingerprint.to_string(), span_ms = span.0;
                    "quarantined requests that crash targets"
                );
                self.options.metrics.record_quarantine("started");
                self.options.broadcast.quarantine(fingerprint, span);
            }
            Action::EndProbation { fingerprint } => {
                log::info!(
                    cell = self.options.id.to_string(), fingerprint = fingerprint.to_string();
                    "a request was answered after its quarantine"
                );
                self.options.metrics.record_quarantine("ended");
            }
        }
    }

    fn send_verdict(&self, ticket: ids::Ticket, verdict: Verdict) {
        if let Some(verdicts) = self.verdicts.get(&ticket) {
            // A request whose task has ended has already been cancelled.
            let _ = verdicts.send(verdict);
        }
    }

    fn request_ejection(&self, myself: &ActorRef<Message>, target: String) {
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

    fn release_ejection(&self, target: String) {
        let Some(service) = self.service.clone() else {
            return;
        };
        let budget = self.options.budget.clone();
        tokio::spawn(async move { budget.release(&service, &target).await });
    }

    /// Logs that a target receives no requests for too long, or that all receive some again.
    fn log_usage(&mut self, now: clock::Millis) {
        let usage = self.cell.usage(now);
        let is_neglected = self.cell.required_breadth() > 0.0 && usage.has_neglected_target();
        if is_neglected == self.logged_neglect || now - self.logged_at < USAGE_LOG_INTERVAL {
            return;
        }
        (self.logged_neglect, self.logged_at) = (is_neglected, now);
        log::info!(
            cell = self.options.id.to_string(), counted = usage.counted, used = usage.used,
            longest_idle_ms = usage.longest_idle.0;
            "{}", if is_neglected { "targets without requests" } else { "all targets receive requests" }
        );
    }

    fn publish(&mut self, now: clock::Millis) {
        if now - self.published < SUMMARY_INTERVAL && self.published != clock::Millis::ZERO {
            return;
        }
        self.published = now;
        let summary = self.cell.summary(now);
        if let Ok(mut published) = self.options.summary.write() {
            *published = summary;
        }
    }

    /// Schedules the next tick, if it is due before the one that is scheduled.
    fn schedule_tick(&mut self, myself: &ActorRef<Message>, now: clock::Millis, ticked: bool) {
        if ticked {
            self.timer = None;
        }
        let due = self
            .cell
            .wake()
            .max(now + clock::Millis(1))
            .min(now + TICK_INTERVAL);
        if let Some((at, timer)) = &self.timer {
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
        self.timer = Some((due, timer));
    }
}
