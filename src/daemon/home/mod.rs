//! The home of cells: takes requests from entries, dispatches them to targets, and streams the answers back.
//!
//! A request arrives on a stream of its own, from another daemon or from this daemon's own [`super::entry`]. The cell's
//! actor decides; this module sends to the target and reports how each try ended.

use std::collections::BTreeMap;
use std::sync;
use std::sync::atomic;

use ractor::{Actor, ActorRef};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::{sync as tasks, time};

use crate::coordination::cell::Arrival;
use crate::coordination::{homes, member};
use crate::daemon::cell;
use crate::daemon::cell::Message;
use crate::protocol::{dialect, frame, peer, refusal};
use crate::state::{bundle, clock, ids, timeline};
use crate::transport::pool;

mod exchange;
mod inbound;

/// When to come back after a target could not be connected to.
const CONNECT_RETRY: clock::Millis = clock::Millis(1_000);

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
    /// The connections to targets.
    pub pool: sync::Arc<pool::Pool>,
    /// How targets are spoken to.
    pub dialect: sync::Arc<dyn dialect::Dialect>,
    /// The ejection budget.
    pub budget: sync::Arc<dyn cell::Budget>,
    /// The way to the whole fleet.
    pub spread: sync::Arc<dyn cell::Spread>,
}

/// The cells that this daemon is or was home of.
pub struct Home {
    options: Options,
    cells: tasks::Mutex<BTreeMap<ids::CellId, Handle>>,
    tickets: atomic::AtomicU64,
    draining: atomic::AtomicBool,
    /// The requests in flight here.
    running: tasks::watch::Sender<usize>,
}

/// A running cell.
#[derive(Clone)]
struct Handle {
    /// Whether this daemon ranked first for the cell when it last looked.
    first: bool,
    actor: ActorRef<Message>,
    summary: sync::Arc<sync::RwLock<peer::Summary>>,
}

impl Handle {
    fn tell(&self, message: Message) {
        if let Err(e) = self.actor.send_message(message) {
            log::error!("a cell does not take messages: {e}");
        }
    }

    fn summary(&self) -> Option<peer::Summary> {
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
            running: tasks::watch::Sender::default(),
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

    /// Waits until no request is in flight here, for at most `patience`.
    pub async fn finish(&self, patience: clock::Millis) {
        let mut running = self.running.subscribe();
        if time::timeout(patience.span(), running.wait_for(|n| *n == 0))
            .await
            .is_err()
        {
            log::warn!("requests are cut: they took longer than {patience} to finish");
        }
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
    pub async fn summaries(&self) -> Vec<peer::Summary> {
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

    /// Closes connections to targets that have been idle for too long.
    pub fn sweep(&self) {
        self.options.pool.sweep();
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
            spread: self.options.spread.clone(),
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
    pub async fn serve(&self, recv: Reader, send: Writer) -> Result<(), frame::Error> {
        let _counted = Counted::new(&self.running);
        self.serve_counted(recv, send).await
    }

    async fn serve_counted(&self, mut recv: Reader, mut send: Writer) -> Result<(), frame::Error> {
        let peer::ToHome::Head(mut head) = frame::receive(&mut recv).await? else {
            return frame::OutOfOrderSnafu.fail();
        };
        self.options.recorder.observe(head.stamp);
        if self.draining.load(atomic::Ordering::Relaxed) {
            let refusal = refusal::Refusal::not_run(refusal::Cause::Draining, Some(CONNECT_RETRY));
            return frame::send(
                &mut send,
                &peer::FromHome::Refused {
                    refusal,
                    summary: None,
                },
            )
            .await;
        }
        let Some(handle) = self.cell(&head.cell).await else {
            let refusal = refusal::Refusal::not_run(refusal::Cause::NoTarget, Some(CONNECT_RETRY));
            return frame::send(
                &mut send,
                &peer::FromHome::Refused {
                    refusal,
                    summary: None,
                },
            )
            .await;
        };
        handle.tell(Message::Peers(std::mem::take(&mut head.peers)));
        let inbound = inbound::Inbound::start(recv);
        let ticket = ids::Ticket(self.tickets.fetch_add(1, atomic::Ordering::Relaxed));
        let deadline = self.options.clock.now() + head.left;
        let (verdicts, receiver) = tasks::mpsc::unbounded_channel();
        let arrival = Arrival {
            ticket,
            tier: head.tier,
            deadline,
            objective: self.options.clock.now() + head.objective,
            tries: head.tries,
            idempotent: head.idempotent,
            replayable: !head.more,
            fingerprint: head.fingerprint,
        };
        handle.tell(Message::Arrive { arrival, verdicts });
        let exchange = exchange::Exchange {
            home: self,
            held: exchange::Held {
                handle: handle.clone(),
                ticket,
                released: false,
            },
            head,
            deadline,
            send,
            pieces: Some(inbound.pieces),
            go: Some(inbound.go),
            verdicts: receiver,
            lost: None,
            notices: exchange::notices(),
        };
        tokio::select! {
            served = exchange.run() => served,
            _ = inbound.gone => Ok(()),
        }
    }
}

/// Counts a request in flight while it lives.
struct Counted<'a>(&'a tasks::watch::Sender<usize>);

impl Counted<'_> {
    fn new(running: &tasks::watch::Sender<usize>) -> Counted<'_> {
        running.send_modify(|n| *n += 1);
        Counted(running)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|n| *n -= 1);
    }
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
