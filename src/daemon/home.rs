//! The home of cells: grants slots at targets to entries, and receives the outcome of each try from them.
//!
//! Each request has a stream of its own, from another daemon or from this daemon's [`super::entry`]. The actor of the
//! cell ([`super::cell`]) decides, and the entry sends the request to the target.

use std::collections::BTreeMap;
use std::sync;
use std::sync::atomic;

use ractor::{Actor, ActorRef};
use snafu::ResultExt;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::{sync as tokio_sync, task, time};

use crate::coordination::cell::Arrival;
use crate::coordination::{cost, homes, member, quota};
use crate::daemon::cell;
use crate::daemon::cell::Message;
use crate::daemon::cell::Verdict;
use crate::daemon::memory;
use crate::daemon::metrics;
use crate::daemon::quota::{Arrival as Spending, Quotas, Token};
use crate::protocol::{frame, peer, refusal};
use crate::state::{bundle, clock, hash, ids, timeline};

/// The `Retry-After` of requests that this daemon refuses without asking the cell.
const RETRY_AFTER: clock::Millis = clock::Millis(500);
/// How long a request waits until the first keep-alive message, which shows the entry that its home is alive.
const FIRST_KEEPALIVE: clock::Millis = clock::Millis(20);
/// The time between two keep-alive messages.
const KEEPALIVE_INTERVAL: clock::Millis = clock::Millis(250);
/// The capacity of the channel for the outcomes of one request; each outcome follows a verdict, so few ever wait.
const OUTCOME_BUFFER: usize = 4;
/// The length that is assumed of a body whose length is not known: the average upload.
const UNKNOWN_BODY_BYTES: u64 = 60 * 1024;

/// The verdict for requests of a cell whose actor has stopped.
const CELL_STOPPED: Verdict = Verdict::Refuse(refusal::Refusal {
    outcome: refusal::Outcome::NotRun,
    cause: refusal::Cause::NoTarget,
    retry_after: Some(RETRY_AFTER),
});

/// The reading half of a request's stream.
pub type RecvHalf = Box<dyn AsyncRead + Send + Unpin>;
/// The writing half of a request's stream.
pub type SendHalf = Box<dyn AsyncWrite + Send + Unpin>;

/// Options of a [`Home`].
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// Records events in the daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
    /// The bundle in force.
    pub bundle: tokio_sync::watch::Receiver<sync::Arc<bundle::Bundle>>,
    /// The live daemons.
    pub view: tokio_sync::watch::Receiver<sync::Arc<member::View>>,
    /// Leases shares of the ejection budget.
    pub budget: sync::Arc<dyn cell::EjectionBudget>,
    /// Broadcasts quarantined fingerprints to the fleet.
    pub broadcast: sync::Arc<dyn cell::Broadcast>,
    /// Spends the tokens of organisations on their requests.
    pub quotas: sync::Arc<Quotas>,
    /// The daemon's metrics.
    pub metrics: sync::Arc<metrics::Metrics>,
    /// The memory of this daemon.
    pub memory: sync::Arc<memory::Memory>,
}

/// The cells of which this daemon is the home, or was until they are drained.
pub struct Home {
    options: Options,
    cells: tokio_sync::Mutex<BTreeMap<ids::CellId, CellHandle>>,
    tickets: atomic::AtomicU64,
    draining: atomic::AtomicBool,
}

/// A handle of a cell's actor.
#[derive(Clone)]
struct CellHandle {
    /// Whether this daemon ranked first for the cell in the last view.
    is_first: bool,
    actor: ActorRef<Message>,
    summary: sync::Arc<sync::RwLock<peer::CellSummary>>,
}

impl CellHandle {
    fn send(&self, message: Message) {
        if let Err(e) = self.actor.send_message(message) {
            log::error!("failed to send a message to the actor of a cell: {e}");
        }
    }

    fn summary(&self) -> Option<peer::CellSummary> {
        self.summary.read().ok().map(|s| s.clone())
    }
}

impl Home {
    /// Creates a home without cells; the actor of each cell starts with its first request.
    pub fn new(options: Options) -> Home {
        Home {
            options,
            cells: tokio_sync::Mutex::default(),
            tickets: atomic::AtomicU64::default(),
            draining: atomic::AtomicBool::default(),
        }
    }

    /// Drains all cells: requests that were not dispatched are refused, and their entries go on to other homes.
    pub async fn drain(&self) {
        self.draining.store(true, atomic::Ordering::Relaxed);
        for handle in self.cells.lock().await.values() {
            handle.send(Message::Drain);
        }
    }

    /// Drains the cells for which another daemon ranks first in the new view: requests that were not dispatched are
    /// refused, and their entries go on to the new home. Running requests are finished. If the cell returns to this
    /// daemon, it starts with a new actor.
    pub async fn drain_moved_cells(&self, view: &member::View) {
        let mut cells = self.cells.lock().await;
        cells.retain(|id, handle| {
            let is_first = self.ranks_first(id, view);
            if handle.is_first && !is_first {
                handle.send(Message::Drain);
                self.options.recorder.record(
                    timeline::Kind::Home,
                    subject(id, None, None),
                    "another daemon is home now",
                );
                return false;
            }
            if handle.is_first != is_first {
                handle.send(Message::Ranked { is_first });
            }
            handle.is_first = is_first;
            true
        });
    }

    fn ranks_first(&self, id: &ids::CellId, view: &member::View) -> bool {
        homes::rank(id, view)
            .first()
            .is_some_and(|n| *n == self.options.name)
    }

    /// Quarantines a fingerprint in all cells for `span`.
    pub async fn quarantine(&self, fingerprint: ids::Fingerprint, span: clock::Millis) {
        for handle in self.cells.lock().await.values() {
            handle.send(Message::Quarantined { fingerprint, span });
        }
    }

    /// Sends a new bundle to all cells.
    pub async fn apply_bundle(&self, bundle: &sync::Arc<bundle::Bundle>) {
        for handle in self.cells.lock().await.values() {
            handle.send(Message::Rules(bundle.clone()));
        }
    }

    /// Returns the latest summaries of all cells.
    pub async fn summaries(&self) -> Vec<peer::CellSummary> {
        self.cells
            .lock()
            .await
            .values()
            .filter_map(CellHandle::summary)
            .collect()
    }

    /// Returns the reports on the targets of all cells.
    pub async fn target_reports(&self) -> Vec<peer::TargetReport> {
        let handles: Vec<_> = self.cells.lock().await.values().cloned().collect();
        let mut reports = Vec::new();
        for handle in handles {
            let (reply, replied) = tokio_sync::oneshot::channel();
            handle.send(Message::GetTargets(reply));
            reports.extend(replied.await.unwrap_or_default());
        }
        for report in &mut reports {
            report.home.clone_from(&self.options.name);
        }
        reports
    }

    /// Returns the handle of a cell, whose actor is started if it does not run; `None` if its service is unknown or the
    /// actor fails to start.
    async fn get_or_start(&self, id: &ids::CellId) -> Option<CellHandle> {
        let mut cells = self.cells.lock().await;
        if let Some(handle) = cells.get(id) {
            return Some(handle.clone());
        }
        let bundle = self.options.bundle.borrow().clone();
        bundle.service(&id.service)?;
        let summary = sync::Arc::new(sync::RwLock::new(
            crate::coordination::cell::Cell::new(id).summary(clock::Millis::ZERO),
        ));
        let options = cell::Options {
            id: id.clone(),
            bundle,
            clock: self.options.clock,
            recorder: self.options.recorder.clone(),
            budget: self.options.budget.clone(),
            broadcast: self.options.broadcast.clone(),
            metrics: self.options.metrics.clone(),
            summary: summary.clone(),
        };
        let (actor, _) = Actor::spawn(None, cell::CellActor, options).await.ok()?;
        let is_first = self.ranks_first(id, &self.options.view.borrow());
        let handle = CellHandle {
            is_first,
            actor,
            summary,
        };
        handle.send(Message::Ranked { is_first });
        cells.insert(id.clone(), handle.clone());
        self.options.recorder.record(
            timeline::Kind::Home,
            subject(id, None, None),
            "this daemon is home of the cell",
        );
        Some(handle)
    }

    /// Serves the request of one stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks; the request is then cancelled.
    pub async fn serve(&self, mut recv: RecvHalf, mut send: SendHalf) -> Result<(), frame::Error> {
        let (mut first, extension) = frame::receive_extended::<peer::ToHome>(&mut recv).await?;
        first.extend(&extension).context(frame::CodecSnafu)?;
        let peer::ToHome::SlotRequest(mut slot_request) = first else {
            return frame::OutOfOrderSnafu.fail();
        };
        self.options.recorder.observe(slot_request.stamp);
        let Some(_held) = self.options.memory.admit_slot_request() else {
            // An entry of version 1 does not know the cause.
            let cause = match slot_request.context {
                Some(_) => refusal::Cause::MemoryFull,
                None => refusal::Cause::QueueFull,
            };
            let refusal = refusal::Refusal::not_run(cause, Some(RETRY_AFTER));
            return refuse(&mut send, refusal).await;
        };
        let handle = match self.draining.load(atomic::Ordering::Relaxed) {
            true => Err(refusal::Cause::Draining),
            false => self
                .get_or_start(&slot_request.cell)
                .await
                .ok_or(refusal::Cause::NoTarget),
        };
        let handle = match handle {
            Ok(handle) => handle,
            Err(cause) => {
                let refusal = refusal::Refusal::not_run(cause, Some(RETRY_AFTER));
                return refuse(&mut send, refusal).await;
            }
        };
        let token = match self.spend_token(&slot_request, &mut send).await? {
            Ok(token) => token,
            Err(refusal) => return refuse(&mut send, refusal).await,
        };
        handle.send(Message::OtherCells(std::mem::take(&mut slot_request.peers)));
        let ticket = ids::Ticket(self.tickets.fetch_add(1, atomic::Ordering::Relaxed));
        let (verdicts, receiver) = tokio_sync::mpsc::unbounded_channel();
        let arrival = self.arrival(ticket, &slot_request);
        let known = std::mem::take(&mut slot_request.known);
        handle.send(Message::Arrive {
            arrival,
            known,
            verdicts,
        });
        let registration = Registration {
            handle,
            ticket,
            answered: false,
            ran: false,
            ended: false,
            token,
        };
        registration
            .serve(&slot_request, recv, send, receiver)
            .await
    }

    /// Spends a token of the organisation's quota on a request, and keeps its entry informed while it waits for one.
    async fn spend_token(
        &self,
        slot_request: &peer::SlotRequest,
        send: &mut SendHalf,
    ) -> Result<Result<Option<Token>, refusal::Refusal>, frame::Error> {
        let quotas = &self.options.quotas;
        let verdict = match quotas.spend(slot_request.context.as_ref()) {
            Spending::Free => return Ok(Ok(None)),
            Spending::Decided(verdict) => verdict,
            Spending::Waiting(mut decided) => {
                let mut keepalives = keepalives();
                loop {
                    tokio::select! {
                        verdict = &mut decided => break verdict.unwrap_or(quota::Verdict::Unknown),
                        _ = keepalives.tick() => frame::send(send, &peer::FromHome::Queued).await?,
                    }
                }
            }
        };
        let context = slot_request.context.as_ref();
        let token = context.and_then(|c| quotas.token(c, verdict));
        Ok(match verdict {
            quota::Verdict::Go => Ok(token),
            quota::Verdict::Refuse(room) => Err(refusal::Refusal::not_run(
                refusal::Cause::OverQuota,
                Some(room),
            )),
            // Another home may reach the holder.
            quota::Verdict::Unknown => Err(refusal::Refusal::not_run(
                refusal::Cause::NoHome,
                Some(RETRY_AFTER),
            )),
        })
    }

    fn arrival(&self, ticket: ids::Ticket, slot_request: &peer::SlotRequest) -> Arrival {
        let now = self.options.clock.now();
        let context = slot_request.context.clone().unwrap_or_default();
        Arrival {
            ticket,
            tier: slot_request.tier,
            deadline: now + slot_request.left,
            objective: now + slot_request.objective,
            max_tries: slot_request.tries,
            prior_tries: slot_request.used,
            idempotent: slot_request.idempotent,
            replayable: slot_request.replayable,
            fingerprint: slot_request.fingerprint,
            origin: slot_request.origin,
            organisation: match context.organisation.as_str() {
                "" => 0,
                name => hash::hash(&[name]),
            },
            kind: cost::Kind::new(context.route, context.length),
            body: self.body_bytes(slot_request),
        }
    }

    /// Returns the bytes of a request's body that count against what a target may hold; 0 if memory is not limited.
    fn body_bytes(&self, slot_request: &peer::SlotRequest) -> u64 {
        if !self.options.memory.is_limited() {
            return 0;
        }
        let context = slot_request.context.as_ref();
        let length = context.and_then(|c| c.length);
        length.unwrap_or(UNKNOWN_BODY_BYTES)
    }
}

async fn refuse(send: &mut SendHalf, refusal: refusal::Refusal) -> Result<(), frame::Error> {
    let refused = peer::FromHome::Refused {
        refusal,
        summary: None,
    };
    frame::send(send, &refused).await
}

/// A request that was passed to its cell. Dropping the registration before the request has ended cancels the request.
struct Registration {
    handle: CellHandle,
    ticket: ids::Ticket,
    /// Whether the target answered, so that the entry forwards the response.
    answered: bool,
    /// Whether a try of the request may have run.
    ran: bool,
    ended: bool,
    /// The token of the organisation's quota; absent if it has none.
    token: Option<Token>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        if !self.ended {
            self.handle.send(Message::Cancel(self.ticket));
        }
    }
}

impl Registration {
    /// Sends the cell's verdicts to the entry, and the entry's outcomes to the cell, until either ends the request.
    async fn serve(
        mut self,
        slot_request: &peer::SlotRequest,
        mut recv: RecvHalf,
        mut send: SendHalf,
        mut verdicts: tokio_sync::mpsc::UnboundedReceiver<Verdict>,
    ) -> Result<(), frame::Error> {
        let (outcomes, mut reported) = tokio_sync::mpsc::channel(OUTCOME_BUFFER);
        let reader = AbortOnDrop(tokio::spawn(async move {
            read_outcomes(&mut recv, outcomes).await
        }));
        let mut keepalives = keepalives();
        let mut is_waiting = true;
        loop {
            let verdict = tokio::select! {
                biased;
                verdict = verdicts.recv() => verdict.unwrap_or(CELL_STOPPED),
                outcome = reported.recv() => match outcome {
                    Some((outcome, statement)) => {
                        self.report_outcome(slot_request, outcome, statement);
                        continue;
                    }
                    None => return self.finish(reader).await,
                },
                _ = keepalives.tick(), if is_waiting => {
                    frame::send(&mut send, &peer::FromHome::Queued).await?;
                    continue;
                }
            };
            is_waiting = matches!(verdict, Verdict::Abandon);
            self.log_refusal(slot_request, &verdict);
            if self.send_verdict(verdict, &mut send).await? {
                return Ok(());
            }
        }
    }

    fn report_outcome(
        &mut self,
        slot_request: &peer::SlotRequest,
        outcome: peer::Outcome,
        statement: Option<peer::Statement>,
    ) {
        log::info!(
            request = slot_request.name, id = slot_request.request.to_string(), cell = slot_request.cell.to_string(),
            outcome = format!("{outcome:?}");
            "try ended"
        );
        self.answered |= outcome == peer::Outcome::Answered;
        self.ran |= outcome.may_have_run();
        self.set_spent(false);
        let ticket = self.ticket;
        self.handle.send(Message::Done {
            ticket,
            outcome,
            statement,
        });
    }

    /// Logs a refusal with the state of the cell that led to it. Grants are not logged, since their outcomes are.
    fn log_refusal(&self, slot_request: &peer::SlotRequest, verdict: &Verdict) {
        let Verdict::Refuse(refusal) = verdict else {
            return;
        };
        let Some(summary) = self.handle.summary() else {
            return;
        };
        log::info!(
            request = slot_request.name, id = slot_request.request.to_string(), cell = slot_request.cell.to_string(),
            tier = slot_request.tier, cause = refusal.cause.as_str(), left_ms = slot_request.left.0,
            used = slot_request.used, slots = summary.slots, busy = summary.busy, queued = summary.queued,
            wait_ms = summary.wait.0;
            "refused by the cell"
        );
    }

    /// Sends a verdict to the entry; returns whether it is the last.
    async fn send_verdict(
        &mut self,
        verdict: Verdict,
        send: &mut SendHalf,
    ) -> Result<bool, frame::Error> {
        let (message, last) = match verdict {
            Verdict::Grant(target) => {
                self.handle.send(Message::Sent(self.ticket));
                self.set_spent(true);
                let summary = self.handle.summary();
                (peer::FromHome::Granted { target, summary }, false)
            }
            Verdict::Abandon => {
                self.ran = true;
                (peer::FromHome::Abandon, false)
            }
            Verdict::Refuse(refusal) => {
                let summary = self.handle.summary();
                (peer::FromHome::Refused { refusal, summary }, true)
            }
            Verdict::GiveUp => (peer::FromHome::GiveUp, true),
        };
        if last {
            self.release();
        }
        frame::send(send, &message).await?;
        Ok(last)
    }

    /// Sets whether the token is spent: from each grant to its outcome, and for good once a try may have run.
    fn set_spent(&mut self, may_have_run: bool) {
        if let Some(token) = &mut self.token {
            token.set_spent(self.ran || may_have_run);
        }
    }

    /// Ends the request after the entry has closed its half of the stream.
    async fn finish(mut self, reader: AbortOnDrop) -> Result<(), frame::Error> {
        let is_complete = matches!(reader.await, Ok(true));
        // After a truncated response the target may still be at work, so the request is cancelled and not released.
        if is_complete && self.answered {
            self.release();
        }
        Ok(())
    }

    fn release(&mut self) {
        self.ended = true;
        self.handle.send(Message::Release(self.ticket));
    }
}

/// Receives the outcomes from the entry until the request ends; returns whether it ended with [`peer::ToHome::Ended`].
async fn read_outcomes(
    recv: &mut RecvHalf,
    outcomes: tokio_sync::mpsc::Sender<(peer::Outcome, Option<peer::Statement>)>,
) -> bool {
    loop {
        match frame::read(recv).await {
            Ok(message) => match frame::decode(&message) {
                Ok(peer::ToHome::Done { outcome, statement }) => {
                    if outcomes.send((outcome, statement)).await.is_err() {
                        return false;
                    }
                }
                Ok(peer::ToHome::Ended) => return true,
                Ok(peer::ToHome::SlotRequest(_)) | Err(_) => return false,
            },
            Err(_) => return false,
        }
    }
}

/// A task that is aborted when its handle is dropped.
struct AbortOnDrop(task::JoinHandle<bool>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Future for AbortOnDrop {
    type Output = Result<bool, task::JoinError>;

    fn poll(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Self::Output> {
        std::pin::Pin::new(&mut self.0).poll(cx)
    }
}

fn keepalives() -> time::Interval {
    let first = time::Instant::now() + FIRST_KEEPALIVE.span();
    let mut keepalives = time::interval_at(first, KEEPALIVE_INTERVAL.span());
    keepalives.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    keepalives
}

/// Returns the subject of a time line event about a cell.
fn subject<'a>(
    cell: &'a ids::CellId,
    target: Option<&'a str>,
    request: Option<ids::RequestId>,
) -> timeline::Subject<'a> {
    timeline::Subject {
        service: Some(&cell.service),
        target,
        request,
    }
}
