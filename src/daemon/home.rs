//! The home of cells: takes requests from entries, dispatches them to targets, and streams the answers back.
//!
//! A request arrives on a stream of its own, from another daemon or from this daemon's own [`super::entry`]. The cell's
//! actor decides; this module sends to the target and reports how each try ended.

use std::collections::BTreeMap;
use std::sync;
use std::sync::atomic;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ractor::{Actor, ActorRef};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::{sync as tasks, task, time};

use crate::coordination::cell::{Arrival, Outcome};
use crate::coordination::{homes, member};
use crate::daemon::cell;
use crate::daemon::cell::{Message, Verdict};
use crate::protocol::{frame, headers, peer, refusal};
use crate::state::{bundle, clock, ids, timeline};
use crate::transport::{body, pool};

/// How long a request may take before the entry is told that its home is alive.
const FIRST_NOTICE: clock::Millis = clock::Millis(20);
/// The time between two such notices.
const NOTICE_SPAN: clock::Millis = clock::Millis(250);
/// When to come back after a target could not be connected to.
const CONNECT_RETRY: clock::Millis = clock::Millis(1_000);

/// The verdict of a cell whose actor has ended.
const CELL_GONE: Verdict = Verdict::Refuse(refusal::Refusal {
    outcome: refusal::Outcome::NotRun,
    cause: refusal::Cause::NoTarget,
    retry_after: Some(CONNECT_RETRY),
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
    /// The connections to targets.
    pub pool: pool::Pool,
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
        let inbound = Inbound::start(recv);
        let ticket = ids::Ticket(self.tickets.fetch_add(1, atomic::Ordering::Relaxed));
        let deadline = self.options.clock.now() + head.left;
        let (verdicts, receiver) = tasks::mpsc::unbounded_channel();
        let arrival = Arrival {
            ticket,
            tier: head.tier,
            deadline,
            idempotent: head.idempotent,
            replayable: !head.more,
            fingerprint: head.fingerprint,
        };
        handle.tell(Message::Arrive { arrival, verdicts });
        let exchange = Exchange {
            home: self,
            held: Held {
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
            notices: notices(),
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

/// What comes from the entry after the head.
struct Inbound {
    pieces: tasks::mpsc::Receiver<body::Piece>,
    go: tasks::oneshot::Receiver<()>,
    /// Resolves when the entry has gone.
    gone: AbortOnDrop,
}

/// A task that ends with its owner.
struct AbortOnDrop(task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Future for AbortOnDrop {
    type Output = ();

    fn poll(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<()> {
        std::pin::Pin::new(&mut self.0).poll(cx).map(|_| ())
    }
}

impl Inbound {
    fn start(recv: Reader) -> Inbound {
        let (piece_sender, pieces) = body::channel();
        let (go_sender, go) = tasks::oneshot::channel();
        let gone = AbortOnDrop(tokio::spawn(read_inbound(recv, piece_sender, go_sender)));
        Inbound { pieces, go, gone }
    }
}

/// Reads the entry's frames until the entry has gone.
async fn read_inbound(
    mut recv: Reader,
    pieces: tasks::mpsc::Sender<body::Piece>,
    go: tasks::oneshot::Sender<()>,
) {
    let mut go = Some(go);
    let mut pieces = Some(pieces);
    while let Ok(frame) = frame::read(&mut recv).await {
        let piece = match frame {
            frame::Frame::Data(data) => body::Piece::Data(data),
            control @ frame::Frame::Control(_) => match frame::decode::<peer::ToHome>(&control) {
                Ok(peer::ToHome::Go) => {
                    if let Some(go) = go.take() {
                        // The exchange may have ended already.
                        let _ = go.send(());
                    }
                    continue;
                }
                Ok(peer::ToHome::End(trailers)) => {
                    body::Piece::End(headers::from_fields(&trailers))
                }
                Ok(peer::ToHome::Head(_)) | Err(_) => return,
            },
        };
        let ends = matches!(piece, body::Piece::End(_));
        if let Some(sender) = &pieces {
            // A target that answers early stops reading the body.
            let _ = sender.send(piece).await;
        }
        if ends {
            pieces = None;
        }
    }
}

/// A request's place in its cell; cancelled when dropped before its release.
struct Held {
    handle: Handle,
    ticket: ids::Ticket,
    released: bool,
}

impl Held {
    fn done(&self, outcome: Outcome) {
        self.handle.tell(Message::Done {
            ticket: self.ticket,
            outcome,
        });
    }

    fn release(&mut self) {
        self.released = true;
        self.handle.tell(Message::Release(self.ticket));
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if !self.released {
            self.handle.tell(Message::Cancel(self.ticket));
        }
    }
}

/// One request at its home.
struct Exchange<'a> {
    home: &'a Home,
    held: Held,
    head: Box<peer::Head>,
    deadline: clock::Millis,
    send: Writer,
    pieces: Option<tasks::mpsc::Receiver<body::Piece>>,
    go: Option<tasks::oneshot::Receiver<()>>,
    verdicts: tasks::mpsc::UnboundedReceiver<Verdict>,
    /// Why it is not proven that earlier tries did not run.
    lost: Option<refusal::Cause>,
    /// Falls due when the entry is to be told that the home is alive.
    notices: time::Interval,
}

fn notices() -> time::Interval {
    let first = time::Instant::now() + FIRST_NOTICE.span();
    let mut notices = time::interval_at(first, NOTICE_SPAN.span());
    notices.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    notices
}

/// What the last try brought, for the caller if no other follows.
enum Last {
    /// An answer that counts as a failure.
    Answer(Box<Answer>),
    /// No answer.
    Refusal(refusal::Refusal),
}

/// A target's answer, whose body is still to be read from the connection.
struct Answer {
    response: Response<Incoming>,
    connection: pool::Connection,
    target: String,
}

/// How one try at a target ended.
enum Try {
    /// The head of an answer came.
    Answer(Box<Answer>),
    /// No answer came.
    Failed {
        outcome: Outcome,
        refusal: refusal::Refusal,
    },
    /// The cell gave the try up while it was in flight.
    Abandoned,
}

impl Try {
    fn not_sent() -> Try {
        let refusal = refusal::Refusal::not_run(refusal::Cause::ConnectFailed, Some(CONNECT_RETRY));
        Try::Failed {
            outcome: Outcome::ConnectFailed,
            refusal,
        }
    }

    fn unknown(outcome: Outcome, cause: refusal::Cause) -> Try {
        Try::Failed {
            outcome,
            refusal: refusal::Refusal::unknown(cause),
        }
    }
}

impl Exchange<'_> {
    async fn run(mut self) -> Result<(), frame::Error> {
        let mut last = None;
        loop {
            match self.next_verdict().await? {
                Verdict::Refuse(refusal) => return self.refuse(refusal).await,
                Verdict::Grant(target) => {
                    // A failed answer that is not passed on is dropped with its connection.
                    drop(last.take());
                    if !self.await_go().await? {
                        return Ok(());
                    }
                    match self.dispatch(&target).await? {
                        Try::Answer(answer) => {
                            let outcome = classify(&answer.response);
                            self.held.done(outcome);
                            if outcome == Outcome::Answered {
                                return self.pass_on(*answer).await;
                            }
                            if outcome == Outcome::Failed {
                                self.lost = Some(refusal::Cause::TargetBroke);
                            }
                            last = Some(Last::Answer(answer));
                        }
                        Try::Failed { outcome, refusal } => {
                            self.held.done(outcome);
                            if refusal.outcome == refusal::Outcome::Unknown {
                                self.lost = Some(refusal.cause);
                            }
                            last = Some(Last::Refusal(refusal));
                        }
                        Try::Abandoned => self.lost = Some(refusal::Cause::TargetTimeout),
                    }
                }
                // The verdict crossed with the end of its try.
                Verdict::Abandon => {}
                Verdict::GiveUp => {
                    return match last {
                        Some(Last::Answer(answer)) => self.pass_on(*answer).await,
                        Some(Last::Refusal(refusal)) => self.refuse(refusal).await,
                        None => {
                            self.refuse(refusal::Refusal::unknown(refusal::Cause::TargetBroke))
                                .await
                        }
                    };
                }
            }
        }
    }

    /// Waits for the cell's verdict, and tells the entry meanwhile that its home is alive.
    async fn next_verdict(&mut self) -> Result<Verdict, frame::Error> {
        loop {
            tokio::select! {
                biased;
                verdict = self.verdicts.recv() => return Ok(verdict.unwrap_or(CELL_GONE)),
                _ = self.notices.tick() => {}
            }
            frame::send(&mut self.send, &peer::FromHome::Queued).await?;
        }
    }

    /// Asks the entry to allow a dispatch that takes two steps; returns whether it did before the deadline.
    async fn await_go(&mut self) -> Result<bool, frame::Error> {
        if !self.head.two_steps() {
            return Ok(true);
        }
        let Some(go) = self.go.take() else {
            return Ok(true);
        };
        frame::send(&mut self.send, &peer::FromHome::Ready).await?;
        let at = self.home.options.clock.instant(self.deadline);
        Ok(matches!(time::timeout_at(at.into(), go).await, Ok(Ok(()))))
    }

    async fn dispatch(&mut self, name: &str) -> Result<Try, frame::Error> {
        self.held.handle.tell(Message::Dispatch(self.held.ticket));
        let Some(address) = self.address(name) else {
            return Ok(Try::not_sent());
        };
        let options = &self.home.options;
        let subject = subject(&self.head.cell, Some(name), Some(self.head.request));
        options
            .recorder
            .record(timeline::Kind::Dispatched, subject, "");
        let mut connection = match options.pool.acquire(address, self.head.idempotent).await {
            Ok(connection) => connection,
            Err(e) => {
                log::debug!("{e}");
                return Ok(Try::not_sent());
            }
        };
        let Some(request) = self.request() else {
            return Ok(Try::not_sent());
        };
        let at = self.home.options.clock.instant(self.deadline);
        let mut sending = std::pin::pin!(async move {
            let sent = time::timeout_at(at.into(), connection.send(request)).await;
            (sent, connection)
        });
        let (sent, connection) = loop {
            tokio::select! {
                biased;
                sent = &mut sending => break sent,
                _ = self.verdicts.recv() => return Ok(Try::Abandoned),
                _ = self.notices.tick() => {}
            }
            frame::send(&mut self.send, &peer::FromHome::Queued).await?;
        };
        Ok(match sent {
            Ok(Ok(response)) => Try::Answer(Box::new(Answer {
                response,
                connection,
                target: name.to_owned(),
            })),
            Ok(Err(e)) if e.never_sent() => Try::not_sent(),
            Ok(Err(_)) => Try::unknown(Outcome::Broken, refusal::Cause::TargetBroke),
            Err(_) => Try::unknown(Outcome::TimedOut, refusal::Cause::TargetTimeout),
        })
    }

    fn address(&self, name: &str) -> Option<std::net::SocketAddr> {
        let bundle = self.home.options.bundle.borrow();
        let service = bundle.service(&self.head.cell.service)?;
        service
            .targets
            .iter()
            .find(|t| t.name == name)
            .map(|t| t.address)
    }

    /// Builds the request to the target; absent if it is malformed or its body was sent before.
    fn request(&mut self) -> Option<Request<body::Body>> {
        let first = Bytes::from(self.head.body.clone());
        let body = if self.head.more {
            body::streamed(first, self.pieces.take()?)
        } else {
            body::with_trailers(first, headers::from_fields(&self.head.trailers))
        };
        let method = Method::from_bytes(self.head.method.as_bytes()).ok()?;
        let mut request = Request::new(body);
        *request.method_mut() = method;
        *request.uri_mut() = self.head.uri.parse::<Uri>().ok()?;
        *request.headers_mut() = headers::from_fields(&self.head.fields);
        if self.head.has_body() && !request.headers().contains_key(header::CONTENT_LENGTH) {
            // The library sends no body with some methods unless its framing is named.
            let chunked = HeaderValue::from_static("chunked");
            request
                .headers_mut()
                .insert(header::TRANSFER_ENCODING, chunked);
        }
        let left = self.deadline - self.home.options.clock.now();
        request
            .headers_mut()
            .insert(headers::DEADLINE, left.0.into());
        if let Ok(id) = self.head.request.to_string().parse() {
            request.headers_mut().insert(headers::REQUEST, id);
        }
        Some(request)
    }

    async fn refuse(mut self, refusal: refusal::Refusal) -> Result<(), frame::Error> {
        self.held.release();
        let summary = self.held.handle.summary();
        let refusal = refusal.despite(self.lost);
        frame::send(
            &mut self.send,
            &peer::FromHome::Refused { refusal, summary },
        )
        .await
    }

    /// Streams an answer to the entry; an answer that the target cuts short ends without [`peer::FromHome::End`].
    async fn pass_on(mut self, answer: Answer) -> Result<(), frame::Error> {
        let (parts, mut incoming) = answer.response.into_parts();
        let Some(summary) = self.held.handle.summary() else {
            return Ok(());
        };
        let head = peer::FromHome::Answer {
            status: parts.status.as_u16(),
            fields: headers::to_fields(&parts.headers),
            target: answer.target,
            summary,
        };
        frame::send(&mut self.send, &head).await?;
        let mut trailers = HeaderMap::new();
        let patience = self.patience();
        loop {
            let Ok(next) = time::timeout(patience.span(), incoming.frame()).await else {
                return Ok(());
            };
            let Some(next) = next else { break };
            let Ok(piece) = next else { return Ok(()) };
            match piece.into_data() {
                Ok(data) => frame::send_data(&mut self.send, &data).await?,
                Err(other) => trailers = other.into_trailers().unwrap_or_default(),
            }
        }
        self.held.release();
        frame::send(
            &mut self.send,
            &peer::FromHome::End(headers::to_fields(&trailers)),
        )
        .await?;
        self.home.options.pool.put_back(answer.connection).await;
        Ok(())
    }

    /// Returns how long the target may take between two pieces of its answer.
    fn patience(&self) -> clock::Millis {
        let bundle = self.home.options.bundle.borrow();
        bundle
            .service(&self.head.cell.service)
            .map_or(self.head.left, |s| s.deadline_ms)
    }
}

/// Tells how a try with an answer ended.
fn classify(response: &Response<Incoming>) -> Outcome {
    let sheds = response.status() == http::StatusCode::SERVICE_UNAVAILABLE;
    if sheds && response.headers().contains_key(header::RETRY_AFTER) {
        return Outcome::Shed;
    }
    if response.status().is_server_error() {
        return Outcome::Failed;
    }
    Outcome::Answered
}
