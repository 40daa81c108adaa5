//! One request at its home: its place in the cell, its tries at targets, and its answer.

use std::sync;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Uri, header, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{sync as tasks, time};

use crate::coordination::cell::Outcome;
use crate::daemon::cell::{Message, Verdict};
use crate::protocol::dialect::{self, Reading};
use crate::protocol::{frame, headers, peer, refusal};
use crate::state::{clock, ids, timeline};
use crate::transport::{body, pool};

use super::{CONNECT_RETRY, Handle, Home, Writer, subject};

/// How long a request may take before the entry is told that its home is alive.
const FIRST_NOTICE: clock::Millis = clock::Millis(20);

/// The time between two such notices.
const NOTICE_SPAN: clock::Millis = clock::Millis(250);

/// When to come back after targets refused a request because they are full; about one request's run.
const SHED_RETRY: clock::Millis = clock::Millis(300);
/// The bytes of an unwanted answer that are read to keep its connection; refusals are short.
const DISCARD_BYTES: usize = 4 * 1024;
/// How long the rest of an unwanted answer may take.
const DISCARD_TIMEOUT: clock::Millis = clock::Millis(100);

/// The verdict of a cell whose actor has ended.
const CELL_GONE: Verdict = Verdict::Refuse(refusal::Refusal {
    outcome: refusal::Outcome::NotRun,
    cause: refusal::Cause::NoTarget,
    retry_after: Some(CONNECT_RETRY),
});

/// A request's place in its cell; cancelled when dropped before its release.
pub(super) struct Held {
    pub(super) handle: Handle,
    pub(super) ticket: ids::Ticket,
    pub(super) released: bool,
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
pub(super) struct Exchange<'a> {
    pub(super) home: &'a Home,
    pub(super) held: Held,
    pub(super) head: Box<peer::Head>,
    pub(super) deadline: clock::Millis,
    pub(super) send: Writer,
    pub(super) pieces: Option<tasks::mpsc::Receiver<body::Piece>>,
    pub(super) go: Option<tasks::oneshot::Receiver<()>>,
    pub(super) verdicts: tasks::mpsc::UnboundedReceiver<Verdict>,
    /// Why it is not proven that earlier tries did not run.
    pub(super) lost: Option<refusal::Cause>,
    /// Falls due when the entry is to be told that the home is alive.
    pub(super) notices: time::Interval,
}

pub(super) fn notices() -> time::Interval {
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
    head: response::Parts,
    body: Incoming,
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
    pub(super) async fn run(mut self) -> Result<(), frame::Error> {
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
                            let reading = self.read(&answer);
                            self.log_try(&answer.target, answer.head.status.as_str(), reading);
                            self.held.done(outcome(reading));
                            if reading == Reading::Answered {
                                return self.pass_on(*answer).await;
                            }
                            last = Some(self.keep(reading, answer));
                        }
                        Try::Failed { outcome, refusal } => {
                            self.log_failure(&target, outcome);
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
        let Some(request) = self.request(name) else {
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
            Ok(Ok(response)) => {
                let (head, body) = response.into_parts();
                Try::Answer(Box::new(Answer {
                    head,
                    body,
                    connection,
                    target: name.to_owned(),
                }))
            }
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
    fn request(&mut self, target: &str) -> Option<Request<body::Body>> {
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
        let attempt = self.attempt(target);
        let dialect = &self.home.options.dialect;
        dialect.prepare(request.headers_mut(), &attempt);
        Some(request)
    }

    fn attempt<'a>(&'a self, target: &'a str) -> dialect::Try<'a> {
        dialect::Try {
            request: dialect::Named {
                id: self.head.request,
                name: &self.head.name,
            },
            target,
            left: self.deadline - self.home.options.clock.now(),
        }
    }

    fn read(&self, answer: &Answer) -> Reading {
        let dialect = &self.home.options.dialect;
        dialect.read(&answer.head, &self.attempt(&answer.target))
    }

    /// Keeps what an answer that is no success is good for, should no other try follow.
    fn keep(&mut self, reading: Reading, answer: Box<Answer>) -> Last {
        match reading {
            Reading::Answered | Reading::Shed => Last::Answer(answer),
            Reading::Failed => {
                self.lost = Some(refusal::Cause::TargetBroke);
                Last::Answer(answer)
            }
            Reading::NotRun | Reading::Misplaced => {
                let pool = self.home.options.pool.clone();
                tokio::spawn(discard(*answer, pool));
                let cause = refusal::Cause::TargetShed;
                Last::Refusal(refusal::Refusal::not_run(cause, Some(SHED_RETRY)))
            }
            Reading::Unfit => {
                self.lost = Some(refusal::Cause::TargetBroke);
                Last::Refusal(refusal::Refusal::unknown(refusal::Cause::TargetBroke))
            }
        }
    }

    /// Logs how a target answered one try.
    fn log_try(&self, target: &str, status: &str, reading: Reading) {
        log::info!(
            request = self.head.name, id = self.head.request.to_string(), service = self.head.cell.service,
            target = target, status = status, reading = format!("{reading:?}"),
            left_ms = (self.deadline - self.home.options.clock.now()).0;
            "target answered"
        );
    }

    /// Logs that one try brought no answer.
    fn log_failure(&self, target: &str, outcome: Outcome) {
        log::info!(
            request = self.head.name, id = self.head.request.to_string(), service = self.head.cell.service,
            target = target, outcome = format!("{outcome:?}"),
            left_ms = (self.deadline - self.home.options.clock.now()).0;
            "no answer from target"
        );
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
        let Answer {
            head: parts,
            body: mut incoming,
            connection,
            target,
        } = answer;
        let keep = pool::keep_alive(&parts.headers);
        let Some(summary) = self.held.handle.summary() else {
            return Ok(());
        };
        let head = peer::FromHome::Answer {
            status: parts.status.as_u16(),
            fields: headers::to_fields(&parts.headers),
            target,
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
        self.home.options.pool.put_back(connection, keep).await;
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
fn outcome(reading: Reading) -> Outcome {
    match reading {
        Reading::Answered => Outcome::Answered,
        Reading::Failed => Outcome::Failed,
        Reading::Shed => Outcome::Shed,
        Reading::NotRun => Outcome::NotRun,
        Reading::Misplaced => Outcome::Misplaced,
        Reading::Unfit => Outcome::Broken,
    }
}

/// Reads what is left of an answer that nobody wants, so that its connection serves again.
async fn discard(answer: Answer, pool: sync::Arc<pool::Pool>) {
    let keep = pool::keep_alive(&answer.head.headers);
    let rest = http_body_util::Limited::new(answer.body, DISCARD_BYTES).collect();
    match time::timeout(DISCARD_TIMEOUT.span(), rest).await {
        Ok(Ok(_)) => pool.put_back(answer.connection, keep).await,
        Ok(Err(_)) | Err(_) => log::debug!("a connection is closed with an unwanted answer"),
    }
}
