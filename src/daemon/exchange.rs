//! The exchange of one request: requests slots from a home, sends the request to targets and returns the response.
//!
//! The [`super::entry`] runs one [`Exchange`] for each home that it selects. The exchange requests a slot on a
//! [`HomeStream`], sends the request to the target that the home grants and reports the outcome of each try. Only the
//! entry sends the request, so it knows what may have run, and nothing is lost with a home.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, header, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sha2::{Digest, Sha256};
use snafu::ResultExt;
use tokio::time as timers;

use crate::coordination::homes;
use crate::daemon::{claim, claims, forward, home, memory, shutdown};
use crate::protocol::dialect::{self, ResponseClass};
use crate::protocol::peer::{FromHome, Outcome, ToHome};
use crate::protocol::refusal::{self, Cause, Refusal};
use crate::protocol::{frame, headers, peer};
use crate::state::{clock, ids};
use crate::transport::{body, pool};

/// How long a home may take for its first message, and for its reply to a failed try: several round trips between
/// failure domains, and far less than a caller waits. If the first message is late, nothing was sent to a target with a
/// grant of that home, so the entry may try another home.
const MESSAGE_TIMEOUT: clock::Millis = clock::Millis(250);
/// How long a home may be silent about a queued request; it sends a message every 250 ms.
const QUEUED_TIMEOUT: clock::Millis = clock::Millis(600);
/// How long after the deadline a response is still accepted, a round trip: targets watch the deadline themselves and
/// may respond right at it.
const DEADLINE_MARGIN: clock::Millis = clock::Millis(25);
/// The `Retry-After` of requests that full targets refused: about the run time of one request.
const SHED_RETRY_AFTER: clock::Millis = clock::Millis(300);
/// The `Retry-After` of requests for which no connection to a target was opened.
const CONNECT_RETRY_AFTER: clock::Millis = clock::Millis(500);
/// The most bytes of a discarded response that are read to keep its connection; refusals are short.
const DISCARD_BYTES: usize = 4 * 1024;
/// How long reading a discarded response may take.
const DISCARD_TIMEOUT: clock::Millis = clock::Millis(100);

/// Sends requests to targets.
pub struct TargetClient {
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// The connections to targets.
    pub pool: sync::Arc<pool::Pool>,
    /// Names the header fields that targets expect and send.
    pub dialect: sync::Arc<dyn dialect::Dialect>,
}

/// A request to targets.
pub struct Outgoing {
    /// The request's identity within the fleet.
    pub id: ids::RequestId,
    /// The caller's own name for the request.
    pub name: String,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: http::Uri,
    /// The header fields, without those of one connection.
    pub fields: HeaderMap,
    /// The body, or its first bytes.
    pub first: Bytes,
    /// The unread part of the body; a request that has one can be sent only once.
    pub rest: Option<body::Upload>,
    /// Whether the body is longer than `first`.
    pub more: bool,
    /// The state of the unread part of the body.
    pub progress: body::Progress,
    /// The trailers of a body that was read to its end.
    pub trailers: HeaderMap,
    /// Whether the caller's credential and organisation are also removed from trailers that are still to be read.
    pub drops_identity: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the caller gives up.
    pub deadline: clock::Millis,
    /// The number of tries that were sent to targets.
    pub tries: u32,
    /// Why the outcome is unknown, if an earlier try may have run; absent if none may have.
    pub unknown_cause: Option<Cause>,
    /// The memory of the request and the buffered part of its body.
    pub kept: memory::Part,
    /// The memory of the response.
    pub response: memory::Part,
}

impl Outgoing {
    /// Returns whether the unread part of the body was sent, so that the request cannot be sent again.
    pub fn rest_is_sent(&self) -> bool {
        self.more && self.rest.is_none()
    }

    fn identity(&self) -> dialect::RequestIdentity<'_> {
        dialect::RequestIdentity {
            id: self.id,
            name: &self.name,
        }
    }

    fn has_body(&self) -> bool {
        self.more || !self.first.is_empty() || !self.trailers.is_empty()
    }

    /// Returns the request to a target, or `None` if its body cannot be sent again.
    fn build(&mut self, client: &TargetClient, target: &str) -> Option<Request<body::Body>> {
        let first = self.first.clone();
        let body = match self.more {
            true => self.prefixed(client, first)?,
            false => body::with_trailers(first, self.trailers.clone()),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.fields.clone();
        if self.has_body() && !self.fields.contains_key(header::CONTENT_LENGTH) {
            // With some methods, hyper sends a body only if a field states its framing.
            let chunked = HeaderValue::from_static("chunked");
            request
                .headers_mut()
                .insert(header::TRANSFER_ENCODING, chunked);
        }
        let target_try = self.as_try(client, target);
        client
            .dialect
            .prepare_request(request.headers_mut(), &target_try);
        Some(request)
    }

    /// Returns the body that starts with `first` and goes on with its unread part; `None` if that was sent before.
    fn prefixed(&mut self, client: &TargetClient, first: Bytes) -> Option<body::Body> {
        let body = body::prefixed(first, self.rest.take()?);
        if !self.drops_identity {
            return Some(body);
        }
        let dialect = client.dialect.clone();
        let filtered = body.map_frame(move |mut frame| {
            if let Some(trailers) = frame.trailers_mut() {
                dialect.replace_organisation(trailers, "");
            }
            frame
        });
        Some(filtered.boxed_unsync())
    }

    fn as_try<'a>(&'a self, client: &TargetClient, target: &'a str) -> dialect::Try<'a> {
        dialect::Try {
            request: self.identity(),
            target,
            left: self.deadline - client.clock.now(),
        }
    }
}

/// The result of the exchange with one home.
pub enum HomeResult {
    /// A target responded, or the response to an earlier request with the same key is returned.
    Response {
        /// The response.
        response: Response<body::Body>,
        /// The target's name; empty where the response is a recorded one.
        target: String,
    },
    /// The request is refused, or its outcome is unknown.
    Refused(Refusal),
    /// The home was lost before the request was sent to a target.
    Lost(homes::Observation),
}

/// The result of the last try, for the caller if no other try follows.
enum LastTry {
    /// The target's response, which counts as a failure or a refusal.
    Response(Box<TargetResponse>),
    /// There is no response for the caller.
    Refusal(Refusal),
}

/// A target's response, whose body is still to be read from the connection.
struct TargetResponse {
    head: response::Parts,
    body: Incoming,
    connection: pool::Connection,
    target: String,
    /// How long the connection may be reused after the response.
    keep: clock::Millis,
    class: ResponseClass,
}

/// The result of one try at a target.
enum TryResult {
    /// The head of a response was received.
    Response(Box<TargetResponse>),
    /// No response was received.
    Failed(Outcome, Refusal),
    /// The home abandoned the try while it was in flight.
    Abandoned,
    /// This daemon reaches no target and no relay, so another grant would not help.
    CutOff,
}

impl TryResult {
    fn not_sent(outcome: Outcome) -> TryResult {
        let refusal = Refusal::not_run(Cause::ConnectFailed, Some(CONNECT_RETRY_AFTER));
        TryResult::Failed(outcome, refusal)
    }

    fn unknown(outcome: Outcome, cause: Cause) -> TryResult {
        TryResult::Failed(outcome, Refusal::unknown(cause))
    }
}

/// The exchange of one request with one home.
pub struct Exchange<'a> {
    /// Sends requests to targets.
    pub client: &'a TargetClient,
    /// Records each summary of the cell that the home sends.
    pub record_summary: &'a (dyn Fn(&peer::CellSummary) + Sync),
    /// Records what each response of a target states.
    pub record_statement: &'a (dyn Fn(&str, &peer::Statement) + Sync),
    /// Counts each try.
    pub record_try: &'a (dyn Fn(&TryRecord<'_>) + Sync),
    /// Returns the address of a target that may get a request now, by the rules in force and by what it stated. A
    /// request may wait for its grant while these change.
    pub usable_target: &'a (dyn Fn(&str) -> Option<net::SocketAddr> + Sync),
    /// The claim of the request's key.
    pub claim: &'a claim::Claim<'a>,
    /// The shutdown of this daemon.
    pub shutdown: &'a shutdown::Shutdown,
}

/// The progress of a request at one home.
#[derive(Default)]
struct Progress {
    last: Option<LastTry>,
    /// Present once the request may be sent, with the token of its claim if it has a key.
    claimed: Option<Option<claims::Token>>,
}

impl Exchange<'_> {
    /// Requests slots from the home at the other end of `stream`, sends the request to the targets that it grants,
    /// and records the outcome of its claim.
    pub async fn run(
        &self,
        stream: HomeStream,
        slot_request: peer::SlotRequest,
        outgoing: &mut Outgoing,
    ) -> HomeResult {
        let mut progress = Progress::default();
        let result = self
            .handle_messages(stream, slot_request, outgoing, &mut progress)
            .await;
        let token = progress.claimed.flatten();
        match &result {
            HomeResult::Response { response, .. } => {
                self.claim
                    .record_response(token, response.status().as_u16());
            }
            HomeResult::Refused(refusal) => self.claim.record_refusal(token, refusal),
            HomeResult::Lost(_) => {}
        }
        result
    }

    /// Sends the slot request, and handles the home's messages until the exchange ends.
    async fn handle_messages(
        &self,
        mut stream: HomeStream,
        slot_request: peer::SlotRequest,
        outgoing: &mut Outgoing,
        progress: &mut Progress,
    ) -> HomeResult {
        if stream
            .send(&ToHome::SlotRequest(Box::new(slot_request)))
            .await
            .is_err()
        {
            return HomeResult::Lost(homes::Observation::Lost);
        }
        let deadline = self.client.clock.instant(outgoing.deadline);
        let mut timeout = MESSAGE_TIMEOUT;
        while self.admits(outgoing) {
            match stream.receive(deadline, timeout).await {
                Received::Message(FromHome::Queued) => timeout = QUEUED_TIMEOUT,
                // The try ended before the home's message arrived.
                Received::Message(FromHome::Abandon) => {}
                Received::Message(FromHome::Granted { target, summary }) => {
                    summary.iter().for_each(self.record_summary);
                    if !outgoing.kept.pin() {
                        stream.report_outcome(Outcome::Withdrawn, None).await;
                        return HomeResult::Refused(memory_full());
                    }
                    if let Some(refused) = self.claim_key(&mut stream, outgoing, progress).await {
                        return refused;
                    }
                    if !self.admits(outgoing) {
                        stream.report_outcome(Outcome::Withdrawn, None).await;
                        break;
                    }
                    match self.use_grant(stream, outgoing, &target).await {
                        GrantResult::Answered(result) => return result,
                        GrantResult::Failed(last, rest) => {
                            progress.last = Some(last);
                            stream = rest;
                        }
                    }
                    timeout = MESSAGE_TIMEOUT;
                }
                Received::Message(FromHome::Refused { refusal, summary }) => {
                    summary.iter().for_each(self.record_summary);
                    return HomeResult::Refused(refusal.after_unknown_try(outgoing.unknown_cause));
                }
                Received::Deadline => {
                    let refusal = Refusal::not_run(Cause::DeadlinePassed, None);
                    return HomeResult::Refused(refusal.after_unknown_try(outgoing.unknown_cause));
                }
                Received::Message(FromHome::GiveUp) => {
                    return self.final_result(progress.last.take(), stream, outgoing);
                }
                // Without the home no other try follows, so the result of the last one is final.
                Received::Broken | Received::Silent if progress.last.is_some() => {
                    return self.final_result(progress.last.take(), stream, outgoing);
                }
                Received::Silent => return HomeResult::Lost(homes::Observation::Stalled),
                Received::Broken => return HomeResult::Lost(homes::Observation::Lost),
            }
        }
        let last = progress.last.take();
        let last = last.unwrap_or_else(|| LastTry::Refusal(draining()));
        self.final_result(Some(last), stream, outgoing)
    }

    /// Returns whether the request may be sent to a target, although this daemon may be shutting down.
    fn admits(&self, outgoing: &Outgoing) -> bool {
        let now = self.client.clock.now();
        self.shutdown
            .admits(now, outgoing.deadline, outgoing.idempotent)
    }

    /// Claims the request's key before the first try; returns the final result where the request may not be sent.
    async fn claim_key(
        &self,
        stream: &mut HomeStream,
        outgoing: &Outgoing,
        progress: &mut Progress,
    ) -> Option<HomeResult> {
        if progress.claimed.is_some() {
            return None;
        }
        let left = outgoing.deadline - self.client.clock.now();
        let result = match self.claim.acquire(left).await {
            claim::Permission::Granted(token) => {
                progress.claimed = Some(token);
                return None;
            }
            claim::Permission::Refused(refusal) => HomeResult::Refused(refusal),
            claim::Permission::Answered(response) => HomeResult::Response {
                response,
                target: String::new(),
            },
        };
        stream.report_outcome(Outcome::Withdrawn, None).await;
        Some(result)
    }

    /// Sends the request to the granted target, and reports the outcome to the home.
    async fn use_grant(
        &self,
        mut stream: HomeStream,
        outgoing: &mut Outgoing,
        target: &str,
    ) -> GrantResult {
        let last = match self.send_to_target(&mut stream, outgoing, target).await {
            TryResult::Response(mut response) => {
                let class = response.class;
                if is_refusal(class) {
                    let dialect = &self.client.dialect;
                    if dialect.correlation_id(&response.head.headers).is_empty() {
                        response.keep = clock::Millis::ZERO;
                    }
                }
                let statement = self.record_statement(&response);
                stream.report_outcome(outcome_of(class), statement).await;
                if class == ResponseClass::Answered {
                    return GrantResult::Answered(self.forward(stream, *response, outgoing));
                }
                last_try(self.client, class, response, outgoing)
            }
            TryResult::Failed(outcome, refusal) => {
                if refusal.outcome == refusal::Outcome::Unknown {
                    outgoing.unknown_cause = Some(refusal.cause);
                }
                stream.report_outcome(outcome, None).await;
                LastTry::Refusal(refusal)
            }
            TryResult::CutOff => {
                stream.report_outcome(Outcome::Withdrawn, None).await;
                let refusal = Refusal::not_run(Cause::CutOff, Some(CONNECT_RETRY_AFTER));
                let refusal = refusal.after_unknown_try(outgoing.unknown_cause);
                return GrantResult::Answered(HomeResult::Refused(refusal));
            }
            TryResult::Abandoned => {
                outgoing.unknown_cause = Some(Cause::TargetTimeout);
                LastTry::Refusal(Refusal::unknown(Cause::TargetTimeout))
            }
        };
        GrantResult::Failed(last, stream)
    }

    /// Records and returns what the target states in its response; absent if another target sent the response, or the
    /// response is an earlier one.
    fn record_statement(&self, response: &TargetResponse) -> Option<peer::Statement> {
        if matches!(
            response.class,
            ResponseClass::Misplaced | ResponseClass::Stray
        ) {
            return None;
        }
        let statement = self.client.dialect.statement(&response.head);
        (self.record_statement)(&response.target, &statement);
        Some(statement)
    }

    /// Logs and counts the result of one try.
    fn log_try(&self, outgoing: &Outgoing, record: &TryRecord<'_>) {
        (self.record_try)(record);
        let usage = record.usage.unwrap_or_default();
        log::info!(
            request = outgoing.name, id = outgoing.id.to_string(), target = record.target,
            relay = record.relay, result = record.result, class = record.class, tries = outgoing.tries,
            connection = usage.connection, before = usage.before, repeated = usage.repeated, took_ms = record.took.0;
            "tried"
        );
    }

    /// Returns the final result of a request whose last try was `last`.
    fn final_result(
        &self,
        last: Option<LastTry>,
        stream: HomeStream,
        outgoing: &mut Outgoing,
    ) -> HomeResult {
        match last {
            Some(LastTry::Response(response)) => self.forward(stream, *response, outgoing),
            Some(LastTry::Refusal(refusal)) => {
                HomeResult::Refused(refusal.after_unknown_try(outgoing.unknown_cause))
            }
            None => HomeResult::Refused(Refusal::unknown(Cause::TargetBroke)),
        }
    }

    /// Sends the request to a target, unless the target may get none.
    async fn send_to_target(
        &self,
        stream: &mut HomeStream,
        outgoing: &mut Outgoing,
        name: &str,
    ) -> TryResult {
        let client = self.client;
        let began = client.clock.now();
        let mut record = TryRecord::new(name);
        let Some(address) = (self.usable_target)(name) else {
            record.result = "slot returned unused".to_owned();
            self.log_try(outgoing, &record);
            return TryResult::not_sent(Outcome::Unlisted);
        };
        let id = client.dialect.sent_id(&outgoing.identity()).into_owned();
        let to = pool::Destination {
            name,
            address,
            idempotent: outgoing.idempotent,
            direct: false,
            request: Some(&id),
        };
        let mut connection = match client.pool.acquire(to).await {
            Ok(connection) => connection,
            Err(e) => {
                record.end(e.to_string(), client.clock.now() - began);
                self.log_try(outgoing, &record);
                return match e {
                    pool::Error::NoPath => TryResult::CutOff,
                    pool::Error::Unreachable { .. } => TryResult::not_sent(Outcome::Unreachable),
                    pool::Error::Unlisted { .. } => TryResult::not_sent(Outcome::Unlisted),
                    _ => TryResult::not_sent(Outcome::ConnectFailed),
                };
            }
        };
        let Some(request) = outgoing.build(client, name) else {
            return TryResult::not_sent(Outcome::Withdrawn);
        };
        outgoing.tries += 1;
        record.relay = connection.relay().unwrap_or_default().to_owned();
        record.usage = Some(connection.usage(&id));
        let at = client.clock.instant(outgoing.deadline) + DEADLINE_MARGIN.span();
        let sending = async {
            let sent = timers::timeout_at(at.into(), connection.send(&id, request)).await;
            (sent, connection)
        };
        let (sent, connection) = tokio::select! {
            biased;
            done = sending => done,
            () = stream.wait_for_abandon() => {
                record.class = "abandoned";
                record.end("abandoned by its home".to_owned(), client.clock.now() - began);
                self.log_try(outgoing, &record);
                return TryResult::Abandoned;
            }
        };
        let took = client.clock.now() - began;
        match sent {
            Ok(Ok(response)) => {
                let (head, body) = response.into_parts();
                let class = client
                    .dialect
                    .classify(&head, &outgoing.as_try(client, name));
                record.class = class.as_str();
                record.end(head.status.as_str().to_owned(), took);
                self.log_try(outgoing, &record);
                TryResult::Response(Box::new(TargetResponse {
                    keep: pool::keep_alive_timeout(&head.headers),
                    class,
                    head,
                    body,
                    connection,
                    target: name.to_owned(),
                }))
            }
            Ok(Err(e)) => {
                record.class = if e.never_sent() { "not-sent" } else { "broken" };
                record.end(e.to_string(), took);
                self.log_try(outgoing, &record);
                match e.never_sent() {
                    true => TryResult::not_sent(Outcome::ConnectFailed),
                    // A request that its caller broke off is no evidence against the target.
                    false if outgoing.progress.is_failed() => {
                        TryResult::unknown(Outcome::Expired, Cause::TargetBroke)
                    }
                    false => TryResult::unknown(Outcome::Broken, Cause::TargetBroke),
                }
            }
            Err(_) => {
                record.class = "timed-out";
                record.end("no answer before the deadline".to_owned(), took);
                self.log_try(outgoing, &record);
                // The target can't answer while its caller has not sent the whole body.
                let outcome = match outgoing.progress.is_waiting() {
                    true => Outcome::Expired,
                    false => Outcome::TimedOut,
                };
                TryResult::unknown(outcome, Cause::TargetTimeout)
            }
        }
    }

    /// Returns the response to the caller, whose body is forwarded as it is received.
    fn forward(
        &self,
        stream: HomeStream,
        received: TargetResponse,
        outgoing: &mut Outgoing,
    ) -> HomeResult {
        let mut response = Response::new(());
        *response.status_mut() = received.head.status;
        *response.headers_mut() = headers::forwarded_fields(&received.head.headers);
        let body = forward::ForwardedBody::new(forward::Options {
            body: received.body,
            keep_alive: received.keep,
            connection: received.connection,
            pool: self.client.pool.clone(),
            stream: Some(stream),
            deadline: Some(self.client.clock.instant(outgoing.deadline) + DEADLINE_MARGIN.span()),
            held: std::mem::take(&mut outgoing.response),
        });
        HomeResult::Response {
            response: response.map(|()| body.boxed_unsync()),
            target: received.target,
        }
    }
}

/// The result of a granted slot.
enum GrantResult {
    /// The target answered.
    Answered(HomeResult),
    /// The try failed; the home decides whether another follows.
    Failed(LastTry, HomeStream),
}

/// What the log and the metrics tell of one try.
pub struct TryRecord<'a> {
    /// The target's name.
    pub target: &'a str,
    /// The daemon that relayed the request; empty for a direct connection.
    pub relay: String,
    /// What the connection had carried before; absent if none was used.
    pub usage: Option<pool::Usage>,
    /// The status of the response, or why there is none.
    pub result: String,
    /// The class of the response, or how the try ended without one.
    pub class: &'static str,
    /// How long the try took.
    pub took: clock::Millis,
}

impl<'a> TryRecord<'a> {
    fn new(target: &'a str) -> TryRecord<'a> {
        TryRecord {
            target,
            relay: String::new(),
            usage: None,
            result: String::new(),
            class: "not-sent",
            took: clock::Millis::ZERO,
        }
    }

    fn end(&mut self, result: String, took: clock::Millis) {
        (self.result, self.took) = (result, took);
    }

    /// Returns what the connection had carried before, as a label of metrics.
    pub fn connection(&self) -> &'static str {
        match self.usage {
            _ if !self.relay.is_empty() => "relayed",
            None => "none",
            Some(usage) if usage.repeated => "repeated",
            Some(usage) if usage.before > 0 => "reused",
            Some(_) => "new",
        }
    }
}

/// Returns what the caller gets for a response that is no success if no other try follows.
fn last_try(
    client: &TargetClient,
    class: ResponseClass,
    response: Box<TargetResponse>,
    outgoing: &mut Outgoing,
) -> LastTry {
    match class {
        // The target states that this try did not run, which says nothing about earlier tries.
        ResponseClass::Shed if outgoing.unknown_cause.is_some() => {
            let refusal = Refusal::not_run(Cause::TargetShed, Some(SHED_RETRY_AFTER));
            LastTry::Refusal(refusal.after_unknown_try(outgoing.unknown_cause))
        }
        ResponseClass::Answered | ResponseClass::Shed => LastTry::Response(response),
        ResponseClass::Failed => {
            outgoing.unknown_cause = Some(Cause::TargetBroke);
            LastTry::Response(response)
        }
        ResponseClass::Expired => {
            outgoing.unknown_cause = Some(Cause::TargetTimeout);
            LastTry::Response(response)
        }
        ResponseClass::NotRun | ResponseClass::Misplaced => {
            tokio::spawn(discard(*response, client.pool.clone()));
            LastTry::Refusal(Refusal::not_run(Cause::TargetShed, Some(SHED_RETRY_AFTER)))
        }
        ResponseClass::Unusable | ResponseClass::Stray => {
            outgoing.unknown_cause = Some(Cause::TargetBroke);
            LastTry::Refusal(Refusal::unknown(Cause::TargetBroke))
        }
    }
}

/// Returns whether the target states by a response of this class that the request did not run.
fn is_refusal(class: ResponseClass) -> bool {
    matches!(
        class,
        ResponseClass::Shed | ResponseClass::NotRun | ResponseClass::Misplaced
    )
}

/// Returns the outcome of a try whose response is of the given class.
fn outcome_of(class: ResponseClass) -> Outcome {
    match class {
        ResponseClass::Answered => Outcome::Answered,
        ResponseClass::Failed => Outcome::Failed,
        ResponseClass::Expired => Outcome::Expired,
        ResponseClass::Shed => Outcome::Shed,
        ResponseClass::NotRun => Outcome::NotRun,
        ResponseClass::Misplaced => Outcome::Misplaced,
        ResponseClass::Unusable => Outcome::Broken,
        // The target lives, so the request has not crashed it.
        ResponseClass::Stray => Outcome::Failed,
    }
}

/// Returns the refusal of a request for which the daemon has no memory.
pub fn memory_full() -> Refusal {
    Refusal::not_run(Cause::MemoryFull, Some(memory::RETRY_AFTER))
}

/// Returns the refusal of a request that may not end before this daemon does.
pub fn draining() -> Refusal {
    Refusal::not_run(Cause::Draining, Some(clock::Millis::ZERO))
}

/// Reads a response that is not forwarded, so that its connection can be reused.
async fn discard(response: TargetResponse, pool: sync::Arc<pool::Pool>) {
    let keep = response.keep;
    let rest = http_body_util::Limited::new(response.body, DISCARD_BYTES).collect();
    match timers::timeout(DISCARD_TIMEOUT.span(), rest).await {
        Ok(Ok(_)) => pool.release(response.connection, keep).await,
        Ok(Err(_)) | Err(_) => log::debug!("closed a connection before the response ended"),
    }
}

/// The start of a request's body, read up to a limit.
pub struct BodyPrefix {
    /// The first bytes.
    pub first: Vec<u8>,
    /// The unread rest, if the body is longer than the limit.
    pub rest: Option<body::Upload>,
    /// The trailers, if the body was read to its end.
    pub trailers: HeaderMap,
}

impl BodyPrefix {
    /// Returns the first bytes of the body, `limit` at most. How many more were read depends on the pieces in which they
    /// arrived.
    pub fn start(&self, limit: usize) -> &[u8] {
        &self.first[..self.first.len().min(limit)]
    }
}

/// Reads a body to its end, or until more than `limit` bytes were read.
///
/// # Errors
///
/// Returns an error if the caller cuts the body short.
pub async fn read_prefix(
    mut incoming: body::Upload,
    limit: usize,
) -> Result<BodyPrefix, body::Error> {
    let length = http_body::Body::size_hint(&incoming).exact();
    let mut first = Vec::with_capacity(length.map_or(0, |l| l.min(limit as u64) as usize));
    let mut trailers = HeaderMap::new();
    while let Some(frame) = incoming.frame().await {
        match frame?.into_data() {
            Ok(data) => first.extend_from_slice(&data),
            Err(other) => trailers = other.into_trailers().unwrap_or_default(),
        }
        if first.len() > limit {
            return Ok(BodyPrefix {
                first,
                rest: Some(incoming),
                trailers,
            });
        }
    }
    Ok(BodyPrefix {
        first,
        rest: None,
        trailers,
    })
}

/// Returns the fingerprint of a request, for claims and the quarantine: a digest of its organisation, path and key, or
/// of its organisation, method, path and first bytes where it has no key.
pub fn fingerprint(
    organisation: &str,
    method: &Method,
    uri: &str,
    key: Option<&str>,
    first: &[u8],
) -> ids::Fingerprint {
    let mut digest = Sha256::new();
    let parts: [&[u8]; 4] = match key {
        Some(key) => [
            organisation.as_bytes(),
            b"key",
            uri.as_bytes(),
            key.as_bytes(),
        ],
        None => [
            organisation.as_bytes(),
            method.as_str().as_bytes(),
            uri.as_bytes(),
            first,
        ],
    };
    for part in parts {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.finalize()[..8]);
    ids::Fingerprint(u64::from_le_bytes(bytes))
}

/// Adds the fields that inform targets of the proxy (`Via`), the caller (`X-Forwarded-For`) and the host that the
/// caller addressed (`X-Forwarded-Host`).
pub fn add_forwarding_fields(fields: &mut HeaderMap, from: net::SocketAddr, host: &str) {
    fields.append("via", HeaderValue::from_static("1.1 peridotspread"));
    if let Ok(from) = HeaderValue::from_str(&from.ip().to_string()) {
        fields.append("x-forwarded-for", from);
    }
    if let Ok(host) = HeaderValue::from_str(host)
        && !host.is_empty()
    {
        fields.append("x-forwarded-host", host);
    }
}

/// The stream of one request to a home.
pub struct HomeStream {
    /// Receives the home's messages.
    pub recv: home::RecvHalf,
    /// Sends messages to the home, which cancels the request when this half closes.
    pub send: home::SendHalf,
}

/// The next event on a stream from a home.
enum Received {
    Message(FromHome),
    /// The stream broke, or a message was malformed.
    Broken,
    /// No message was received before the timeout.
    Silent,
    /// The request's deadline passed.
    Deadline,
}

impl HomeStream {
    /// Sends a message to the home.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks; the home may have received the message nevertheless.
    pub async fn send(&mut self, message: &ToHome) -> Result<(), frame::Error> {
        let extension = message.extension().context(frame::CodecSnafu)?;
        frame::send_extended(&mut self.send, message, &extension).await
    }

    /// Reports the outcome of a try to the home. If the stream is broken, the home frees the slot by itself.
    async fn report_outcome(&mut self, outcome: Outcome, statement: Option<peer::Statement>) {
        if let Err(e) = self.send(&ToHome::Done { outcome, statement }).await {
            log::debug!("failed to report the outcome of a try to the home: {e}");
        }
    }

    /// Waits for the next message until the deadline, and for `timeout` at most.
    async fn receive(&mut self, deadline: time::Instant, timeout: clock::Millis) -> Received {
        let until = deadline.min(time::Instant::now() + timeout.span());
        match timers::timeout_at(until.into(), frame::receive(&mut self.recv)).await {
            Ok(Ok(message)) => Received::Message(message),
            Ok(Err(_)) => Received::Broken,
            Err(_) if until == deadline => Received::Deadline,
            Err(_) => Received::Silent,
        }
    }

    /// Waits until the home abandons the try in flight. If the home is lost, the try goes on and this never resolves.
    async fn wait_for_abandon(&mut self) {
        loop {
            match frame::receive(&mut self.recv).await {
                Ok(FromHome::Abandon) => return,
                Ok(_) => {}
                Err(_) => std::future::pending().await,
            }
        }
    }
}
