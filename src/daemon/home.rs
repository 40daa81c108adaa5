//! The home of cells: gives out the slots of targets to entries, and hears from them how each try ended.
//!
//! A request asks on a stream of its own, from another daemon or from this daemon's own [`super::entry`]. The cell's
//! actor decides; the entry sends to the target.

use std::collections::BTreeMap;
use std::sync;
use std::sync::atomic;

use ractor::{Actor, ActorRef};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::{sync as tasks, task, time};

use crate::coordination::cell::Arrival;
use crate::coordination::{homes, member};
use crate::daemon::cell;
use crate::daemon::cell::Message;
use crate::daemon::cell::Verdict;
use crate::protocol::{frame, peer, refusal};
use crate::state::{bundle, clock, ids, timeline};

/// When to come back after this daemon did not take a request for the cell.
const RETRY_SOON: clock::Millis = clock::Millis(500);
/// How long a request may wait before the entry is told that its home is alive.
const FIRST_NOTICE: clock::Millis = clock::Millis(20);
/// The time between two such notices.
const NOTICE_SPAN: clock::Millis = clock::Millis(250);
/// The outcomes of one request that wait to be taken up; each follows a verdict.
const OUTCOMES: usize = 4;

/// The verdict of a cell whose actor has ended.
const CELL_GONE: Verdict = Verdict::Refuse(refusal::Refusal {
    outcome: refusal::Outcome::NotRun,
    cause: refusal::Cause::NoTarget,
    retry_after: Some(RETRY_SOON),
});

/// The reading half of a request's stream.
pub type Reader = Box<dyn AsyncRead + Send + Unpin>;
/// The writing half of a request's stream.
pub type Writer = Box<dyn AsyncWrite + Send + Unpin>;

/// What the home works with.
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// The daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
    /// The bundle in force.
    pub bundle: tasks::watch::Receiver<sync::Arc<bundle::Bundle>>,
    /// The live daemons.
    pub view: tasks::watch::Receiver<sync::Arc<member::View>>,
    /// The ejection budget.
    pub budget: sync::Arc<dyn cell::Budget>,
    /// The way to the whole fleet.
    pub broadcast: sync::Arc<dyn cell::Broadcast>,
}

/// The cells that this daemon is or was home of.
pub struct Home {
    options: Options,
    cells: tasks::Mutex<BTreeMap<ids::CellId, Handle>>,
    tickets: atomic::AtomicU64,
    draining: atomic::AtomicBool,
}

/// A running cell.
#[derive(Clone)]
struct Handle {
    /// Whether this daemon ranked first for the cell when it last looked.
    first: bool,
    actor: ActorRef<Message>,
    summary: sync::Arc<sync::RwLock<peer::CellSummary>>,
}

impl Handle {
    fn tell(&self, message: Message) {
        if let Err(e) = self.actor.send_message(message) {
            log::error!("a cell does not take messages: {e}");
        }
    }

    fn summary(&self) -> Option<peer::CellSummary> {
        self.summary.read().ok().map(|s| s.clone())
    }
}

impl Home {
    /// Creates a home without cells; each starts with its first request.
    pub fn new(options: Options) -> Home {
        Home {
            options,
            cells: tasks::Mutex::default(),
            tickets: atomic::AtomicU64::default(),
            draining: atomic::AtomicBool::default(),
        }
    }

    /// Gives up all cells: what was not dispatched goes back to its entries.
    pub async fn drain(&self) {
        self.draining.store(true, atomic::Ordering::Relaxed);
        for handle in self.cells.lock().await.values() {
            handle.tell(Message::Drain);
        }
    }

    /// Gives up the cells for which another daemon ranks first now: what was not dispatched goes back to its entries,
    /// what runs is finished, and a cell that comes back starts anew.
    pub async fn follow(&self, view: &member::View) {
        let mut cells = self.cells.lock().await;
        cells.retain(|id, handle| {
            let first = self.ranks_first(id, view);
            if handle.first && !first {
                handle.tell(Message::Drain);
                self.options.recorder.record(
                    timeline::Kind::Home,
                    subject(id, None, None),
                    "another daemon is home now",
                );
                return false;
            }
            handle.first = first;
            true
        });
    }

    fn ranks_first(&self, id: &ids::CellId, view: &member::View) -> bool {
        homes::rank(id, view)
            .first()
            .is_some_and(|n| *n == self.options.name)
    }

    /// Refuses requests with the fingerprint in all cells for a time.
    pub async fn quarantine(&self, fingerprint: ids::Fingerprint, span: clock::Millis) {
        for handle in self.cells.lock().await.values() {
            handle.tell(Message::Quarantined { fingerprint, span });
        }
    }

    /// Passes a new bundle to all cells.
    pub async fn adopt(&self, bundle: &sync::Arc<bundle::Bundle>) {
        for handle in self.cells.lock().await.values() {
            handle.tell(Message::Rules(bundle.clone()));
        }
    }

    /// Returns the summaries of all cells here.
    pub async fn summaries(&self) -> Vec<peer::CellSummary> {
        self.cells
            .lock()
            .await
            .values()
            .filter_map(Handle::summary)
            .collect()
    }

    /// Returns how the targets of all cells here are judged.
    pub async fn targets(&self) -> Vec<peer::TargetReport> {
        let handles: Vec<_> = self.cells.lock().await.values().cloned().collect();
        let mut reports = Vec::new();
        for handle in handles {
            let (reply, replied) = tasks::oneshot::channel();
            handle.tell(Message::Targets(reply));
            reports.extend(replied.await.unwrap_or_default());
        }
        for report in &mut reports {
            report.home.clone_from(&self.options.name);
        }
        reports
    }

    async fn cell(&self, id: &ids::CellId) -> Option<Handle> {
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
            summary: summary.clone(),
        };
        let (actor, _) = Actor::spawn(None, cell::Carrier, options).await.ok()?;
        let first = self.ranks_first(id, &self.options.view.borrow());
        let handle = Handle {
            first,
            actor,
            summary,
        };
        cells.insert(id.clone(), handle.clone());
        self.options.recorder.record(
            timeline::Kind::Home,
            subject(id, None, None),
            "this daemon is home of the cell",
        );
        Some(handle)
    }

    /// Serves one request that came on a stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks; the request is then cancelled.
    pub async fn serve(&self, mut recv: Reader, mut send: Writer) -> Result<(), frame::Error> {
        let peer::ToHome::SlotRequest(mut ask) = frame::receive(&mut recv).await? else {
            return frame::OutOfOrderSnafu.fail();
        };
        self.options.recorder.observe(ask.stamp);
        let handle = match self.draining.load(atomic::Ordering::Relaxed) {
            true => Err(refusal::Cause::Draining),
            false => self.cell(&ask.cell).await.ok_or(refusal::Cause::NoTarget),
        };
        let handle = match handle {
            Ok(handle) => handle,
            Err(cause) => return refuse(&mut send, cause).await,
        };
        handle.tell(Message::Peers(std::mem::take(&mut ask.peers)));
        let ticket = ids::Ticket(self.tickets.fetch_add(1, atomic::Ordering::Relaxed));
        let (verdicts, receiver) = tasks::mpsc::unbounded_channel();
        let arrival = self.arrival(ticket, &ask);
        handle.tell(Message::Arrive { arrival, verdicts });
        let place = Place {
            handle,
            ticket,
            answering: false,
            ended: false,
        };
        place.serve(&ask, recv, send, receiver).await
    }

    fn arrival(&self, ticket: ids::Ticket, ask: &peer::SlotRequest) -> Arrival {
        let now = self.options.clock.now();
        Arrival {
            ticket,
            tier: ask.tier,
            deadline: now + ask.left,
            objective: now + ask.objective,
            max_tries: ask.tries,
            prior_tries: ask.used,
            idempotent: ask.idempotent,
            replayable: ask.replayable,
            fingerprint: ask.fingerprint,
            origin: ask.origin,
        }
    }
}

async fn refuse(send: &mut Writer, cause: refusal::Cause) -> Result<(), frame::Error> {
    let refused = peer::FromHome::Refused {
        refusal: refusal::Refusal::not_run(cause, Some(RETRY_SOON)),
        summary: None,
    };
    frame::send(send, &refused).await
}

/// A request's place in its cell; cancelled when dropped before its end.
struct Place {
    handle: Handle,
    ticket: ids::Ticket,
    /// Whether the entry passes an answer on.
    answering: bool,
    ended: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.ended {
            self.handle.tell(Message::Cancel(self.ticket));
        }
    }
}

impl Place {
    /// Passes the cell's verdicts to the entry, and the entry's outcomes to the cell, until either ends the request.
    async fn serve(
        mut self,
        ask: &peer::SlotRequest,
        mut recv: Reader,
        mut send: Writer,
        mut verdicts: tasks::mpsc::UnboundedReceiver<Verdict>,
    ) -> Result<(), frame::Error> {
        let (outcomes, mut told) = tasks::mpsc::channel(OUTCOMES);
        let reading = AbortOnDrop(tokio::spawn(async move {
            read_outcomes(&mut recv, outcomes).await
        }));
        let mut notices = notices();
        let mut waits = true;
        loop {
            let verdict = tokio::select! {
                biased;
                verdict = verdicts.recv() => verdict.unwrap_or(CELL_GONE),
                outcome = told.recv() => match outcome {
                    Some(outcome) => {
                        self.take(ask, outcome);
                        continue;
                    }
                    None => return self.leave(reading).await,
                },
                _ = notices.tick(), if waits => {
                    frame::send(&mut send, &peer::FromHome::Queued).await?;
                    continue;
                }
            };
            waits = matches!(verdict, Verdict::Abandon);
            self.log(ask, &verdict);
            if self.pass_on(verdict, &mut send).await? {
                return Ok(());
            }
        }
    }

    fn take(&mut self, ask: &peer::SlotRequest, outcome: peer::Outcome) {
        log::info!(
            request = ask.name, id = ask.request.to_string(), cell = ask.cell.to_string(),
            outcome = format!("{outcome:?}");
            "try ended"
        );
        self.answering |= outcome == peer::Outcome::Answered;
        let ticket = self.ticket;
        self.handle.tell(Message::Done { ticket, outcome });
    }

    /// Logs a refusal with the state of the cell that led to it; grants show in how their tries end.
    fn log(&self, ask: &peer::SlotRequest, verdict: &Verdict) {
        let Verdict::Refuse(refusal) = verdict else {
            return;
        };
        let Some(summary) = self.handle.summary() else {
            return;
        };
        log::info!(
            request = ask.name, id = ask.request.to_string(), cell = ask.cell.to_string(), tier = ask.tier,
            cause = refusal.cause.as_str(), left_ms = ask.left.0, used = ask.used, slots = summary.slots,
            busy = summary.busy, queued = summary.queued, wait_ms = summary.wait.0;
            "refused by the cell"
        );
    }

    /// Passes a verdict to the entry; returns whether it was the last.
    async fn pass_on(&mut self, verdict: Verdict, send: &mut Writer) -> Result<bool, frame::Error> {
        let (message, last) = match verdict {
            Verdict::Grant(target) => {
                self.handle.tell(Message::Dispatch(self.ticket));
                let summary = self.handle.summary();
                (peer::FromHome::Granted { target, summary }, false)
            }
            Verdict::Abandon => (peer::FromHome::Abandon, false),
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

    /// Ends the request when the entry has ended its half of the stream.
    async fn leave(mut self, reading: AbortOnDrop) -> Result<(), frame::Error> {
        let regular = matches!(reading.await, Ok(true));
        // An answer that was cut short may keep its target at work.
        if regular && self.answering {
            self.release();
        }
        Ok(())
    }

    fn release(&mut self) {
        self.ended = true;
        self.handle.tell(Message::Release(self.ticket));
    }
}

/// Reads the entry's outcomes until the request ends; returns whether it ended regularly.
async fn read_outcomes(recv: &mut Reader, outcomes: tasks::mpsc::Sender<peer::Outcome>) -> bool {
    loop {
        match frame::read(recv).await {
            Ok(control) => match frame::decode(&control) {
                Ok(peer::ToHome::Done(outcome)) => {
                    if outcomes.send(outcome).await.is_err() {
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

/// A task that ends with its owner.
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

fn notices() -> time::Interval {
    let first = time::Instant::now() + FIRST_NOTICE.span();
    let mut notices = time::interval_at(first, NOTICE_SPAN.span());
    notices.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    notices
}

/// Builds the subject of a time line event about a cell.
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
