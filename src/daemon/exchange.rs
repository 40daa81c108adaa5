//! One request's way from its entry: slots from homes, tries at targets, and the answer.
//!
//! An [`Exchange`] asks a home for a slot on a [`HomeStream`] and sends the request to the target that it grants. Only this entry
//! ever sends the request, so it knows what may have run; a home that is lost on the way takes nothing with it.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, header, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sha2::{Digest, Sha256};
use tokio::time as timers;

use crate::coordination::homes;
use crate::daemon::{claim, claims, forward, home};
use crate::protocol::dialect::{self, ResponseClass};
use crate::protocol::peer::{FromHome, Outcome, ToHome};
use crate::protocol::refusal::{self, Cause, Refusal};
use crate::protocol::{frame, headers, peer};
use crate::state::{bundle, clock, ids};
use crate::transport::{body, pool};

/// How long a home may take for its first sign: several round trips between failure domains, and far less than a
/// caller waits. A home that is late has granted nothing that was used, so another may be asked.
const FIRST_PATIENCE: clock::Millis = clock::Millis(250);
/// How long a home may be silent about a request that waits; it gives a sign every 250 ms.
const WAITING_PATIENCE: clock::Millis = clock::Millis(600);
/// How long after the deadline an answer may still come, whose target watches the deadline itself: a round trip.
const DEADLINE_MARGIN: clock::Millis = clock::Millis(25);
/// When to come back after targets refused a request because they are full; about one request's run.
const SHED_RETRY: clock::Millis = clock::Millis(300);
/// When to come back after no connection to a target was had.
const CONNECT_RETRY: clock::Millis = clock::Millis(500);
/// The bytes of an unwanted answer that are read to keep its connection; refusals are short.
const DISCARD_BYTES: usize = 4 * 1024;
/// How long the rest of an unwanted answer may take.
const DISCARD_TIMEOUT: clock::Millis = clock::Millis(100);

/// What an entry sends requests with.
pub struct TargetClient {
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// The connections to targets.
    pub pool: sync::Arc<pool::Pool>,
    /// How targets are spoken to.
    pub dialect: sync::Arc<dyn dialect::Dialect>,
}

/// A request as it goes to targets.
pub struct Outgoing {
    /// The fleet's identity for it.
    pub id: ids::RequestId,
    /// The caller's own name for it.
    pub name: String,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: http::Uri,
    /// The fields, without those that concern one connection.
    pub fields: HeaderMap,
    /// The body, or its first bytes.
    pub first: Bytes,
    /// What has not been read of the body; the request can be sent once only where there is some.
    pub rest: Option<Incoming>,
    /// Whether more of the body followed when it was read.
    pub more: bool,
    /// The trailers of a body that is here as a whole.
    pub trailers: HeaderMap,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When its caller gives up.
    pub deadline: clock::Millis,
    /// The tries that were sent to targets.
    pub tries: u32,
    /// Why it is not proven that an earlier try did not run.
    pub lost: Option<Cause>,
}

impl Outgoing {
    /// Returns whether the body can't be sent again, since a part of it is gone.
    pub fn rest_is_sent(&self) -> bool {
        self.more && self.rest.is_none()
    }

    fn named(&self) -> dialect::RequestIdentity<'_> {
        dialect::RequestIdentity {
            id: self.id,
            name: &self.name,
        }
    }

    fn has_body(&self) -> bool {
        self.more || !self.first.is_empty() || !self.trailers.is_empty()
    }

    /// Builds the request to a target; absent if its body was sent before.
    fn build(&mut self, client: &TargetClient, target: &str) -> Option<Request<body::Body>> {
        let first = self.first.clone();
        let body = match self.more {
            true => body::prefixed(first, self.rest.take()?),
            false => body::with_trailers(first, self.trailers.clone()),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.fields.clone();
        if self.has_body() && !self.fields.contains_key(header::CONTENT_LENGTH) {
            // The library sends no body with some methods unless its framing is named.
            let chunked = HeaderValue::from_static("chunked");
            request
                .headers_mut()
                .insert(header::TRANSFER_ENCODING, chunked);
        }
        let attempt = self.attempt(client, target);
        client
            .dialect
            .prepare_request(request.headers_mut(), &attempt);
        Some(request)
    }

    fn attempt<'a>(&'a self, client: &TargetClient, target: &'a str) -> dialect::Try<'a> {
        dialect::Try {
            request: self.named(),
            target,
            left: self.deadline - client.clock.now(),
        }
    }
}

/// How offering a request to a home ended.
pub enum HomeResult {
    /// A target answered.
    Answer {
        /// The answer.
        response: Response<body::Body>,
        /// The target.
        target: String,
    },
    /// The request is refused, or its outcome is unknown.
    Refused(Refusal),
    /// The home was lost before it granted anything.
    Lost(homes::Observation),
}

/// What the last try brought, for the caller if no other follows.
enum Last {
    /// An answer that counts as a failure.
    Answer(Box<Answer>),
    /// No answer.
    Refusal(Refusal),
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
    Failed(Outcome, Refusal),
    /// The home gave the try up while it was in flight.
    Abandoned,
}

impl Try {
    fn not_sent(outcome: Outcome) -> Try {
        let refusal = Refusal::not_run(Cause::ConnectFailed, Some(CONNECT_RETRY));
        Try::Failed(outcome, refusal)
    }

    fn unknown(outcome: Outcome, cause: Cause) -> Try {
        Try::Failed(outcome, Refusal::unknown(cause))
    }
}

/// What a request is offered to a home with.
pub struct Exchange<'a> {
    /// The way to targets.
    pub client: &'a TargetClient,
    /// The service as this entry knows it.
    pub service: &'a bundle::Service,
    /// Takes the cell's state each time that the home tells it.
    pub learn: &'a (dyn Fn(&peer::CellSummary) + Sync),
    /// The claim of the request's key.
    pub claim: &'a claim::Claim<'a>,
}

/// How far a request has come at one home.
#[derive(Default)]
struct Progress {
    last: Option<Last>,
    /// Whether the request may be sent, and the token of its claim.
    claimed: Option<Option<claims::Token>>,
}

impl Exchange<'_> {
    /// Offers a request to the home at the other end of `stream`, and sends it to the targets that the home grants.
    pub async fn make(
        &self,
        stream: HomeStream,
        ask: peer::SlotRequest,
        outgoing: &mut Outgoing,
    ) -> HomeResult {
        let mut progress = Progress::default();
        let attempt = self.run(stream, ask, outgoing, &mut progress).await;
        let token = progress.claimed.flatten();
        match &attempt {
            HomeResult::Answer { response, .. } => {
                self.claim.ran(token, response.status().as_u16());
            }
            HomeResult::Refused(refusal) => self.claim.refused(token, refusal),
            HomeResult::Lost(_) => {}
        }
        attempt
    }

    async fn run(
        &self,
        mut stream: HomeStream,
        ask: peer::SlotRequest,
        outgoing: &mut Outgoing,
        progress: &mut Progress,
    ) -> HomeResult {
        if stream
            .send(&ToHome::SlotRequest(Box::new(ask)))
            .await
            .is_err()
        {
            return HomeResult::Lost(homes::Observation::Lost);
        }
        let deadline = self.client.clock.instant(outgoing.deadline);
        let mut patience = FIRST_PATIENCE;
        loop {
            match stream.next(deadline, patience).await {
                Next::Message(FromHome::Queued) => patience = WAITING_PATIENCE,
                // The home may take back a try that has ended meanwhile.
                Next::Message(FromHome::Abandon) => {}
                Next::Message(FromHome::Granted { target, summary }) => {
                    summary.iter().for_each(self.learn);
                    if let Some(refused) = self.permit(&mut stream, outgoing, progress).await {
                        return refused;
                    }
                    match self.use_grant(stream, outgoing, &target).await {
                        Used::Answered(attempt) => return attempt,
                        Used::Failed(kept, rest) => {
                            progress.last = Some(kept);
                            stream = rest;
                        }
                    }
                    patience = FIRST_PATIENCE;
                }
                Next::Message(FromHome::Refused { refusal, summary }) => {
                    summary.iter().for_each(self.learn);
                    return HomeResult::Refused(refusal.after_lost_try(outgoing.lost));
                }
                Next::Deadline => {
                    let refusal = Refusal::not_run(Cause::DeadlinePassed, None);
                    return HomeResult::Refused(refusal.after_lost_try(outgoing.lost));
                }
                Next::Message(FromHome::GiveUp) => {
                    return self.end(progress.last.take(), stream, outgoing);
                }
                // What the last try brought is all that there is.
                Next::Broken | Next::Silent if progress.last.is_some() => {
                    return self.end(progress.last.take(), stream, outgoing);
                }
                Next::Silent => return HomeResult::Lost(homes::Observation::Stalled),
                Next::Broken => return HomeResult::Lost(homes::Observation::Lost),
            }
        }
    }

    /// Claims the request's key before its first try; returns the request's end where it may not be sent.
    async fn permit(
        &self,
        stream: &mut HomeStream,
        outgoing: &Outgoing,
        progress: &mut Progress,
    ) -> Option<HomeResult> {
        if progress.claimed.is_some() {
            return None;
        }
        let left = outgoing.deadline - self.client.clock.now();
        let ended = match self.claim.make(left).await {
            claim::Permission::Granted(token) => {
                progress.claimed = Some(token);
                return None;
            }
            claim::Permission::Refused(refusal) => HomeResult::Refused(refusal),
            claim::Permission::Answered(response) => HomeResult::Answer {
                response,
                target: String::new(),
            },
        };
        stream.report(Outcome::Withdrawn).await;
        Some(ended)
    }

    /// Sends the request to the target that was granted, and tells the home how that ended.
    async fn use_grant(
        &self,
        mut stream: HomeStream,
        outgoing: &mut Outgoing,
        target: &str,
    ) -> Used {
        let kept = match self.try_at(&mut stream, outgoing, target).await {
            Try::Answer(answer) => {
                let reading = read(self.client, outgoing, &answer);
                stream.report(outcome_of(reading)).await;
                if reading == ResponseClass::Answered {
                    return Used::Answered(self.pass_on(stream, *answer, outgoing));
                }
                keep(self.client, reading, answer, outgoing)
            }
            Try::Failed(outcome, refusal) => {
                if refusal.outcome == refusal::Outcome::Unknown {
                    outgoing.lost = Some(refusal.cause);
                }
                stream.report(outcome).await;
                Last::Refusal(refusal)
            }
            Try::Abandoned => {
                outgoing.lost = Some(Cause::TargetTimeout);
                Last::Refusal(Refusal::unknown(Cause::TargetTimeout))
            }
        };
        Used::Failed(kept, stream)
    }

    /// Ends a request by what its last try brought.
    fn end(&self, last: Option<Last>, stream: HomeStream, outgoing: &Outgoing) -> HomeResult {
        match last {
            Some(Last::Answer(answer)) => self.pass_on(stream, *answer, outgoing),
            Some(Last::Refusal(refusal)) => {
                HomeResult::Refused(refusal.after_lost_try(outgoing.lost))
            }
            None => HomeResult::Refused(Refusal::unknown(Cause::TargetBroke)),
        }
    }

    /// Sends the request to a target, unless this entry knows better of it.
    async fn try_at(&self, stream: &mut HomeStream, outgoing: &mut Outgoing, name: &str) -> Try {
        let client = self.client;
        let known = self.service.targets.iter().find(|t| t.name == name);
        let Some(target) = known.filter(|t| !t.leaving) else {
            return Try::not_sent(Outcome::Unlisted);
        };
        let began = client.clock.now();
        let acquired = client
            .pool
            .acquire(target.address, outgoing.idempotent)
            .await;
        let mut connection = match acquired {
            Ok(connection) => connection,
            Err(e) => {
                log_try(outgoing, name, &e.to_string(), client.clock.now() - began);
                return Try::not_sent(Outcome::ConnectFailed);
            }
        };
        let Some(request) = outgoing.build(client, name) else {
            return Try::not_sent(Outcome::Withdrawn);
        };
        outgoing.tries += 1;
        let at = client.clock.instant(outgoing.deadline) + DEADLINE_MARGIN.span();
        let sending = async {
            let sent = timers::timeout_at(at.into(), connection.send(request)).await;
            (sent, connection)
        };
        let (sent, connection) = tokio::select! {
            biased;
            done = sending => done,
            () = stream.abandoned() => {
                log_try(outgoing, name, "given up by its home", client.clock.now() - began);
                return Try::Abandoned;
            }
        };
        let took = client.clock.now() - began;
        match sent {
            Ok(Ok(response)) => {
                log_try(outgoing, name, response.status().as_str(), took);
                let (head, body) = response.into_parts();
                Try::Answer(Box::new(Answer {
                    head,
                    body,
                    connection,
                    target: name.to_owned(),
                }))
            }
            Ok(Err(e)) => {
                log_try(outgoing, name, &e.to_string(), took);
                match e.never_sent() {
                    true => Try::not_sent(Outcome::ConnectFailed),
                    false => Try::unknown(Outcome::Broken, Cause::TargetBroke),
                }
            }
            Err(_) => {
                log_try(outgoing, name, "no answer before the deadline", took);
                Try::unknown(Outcome::TimedOut, Cause::TargetTimeout)
            }
        }
    }

    /// Passes an answer on to the caller, piece by piece as it comes.
    fn pass_on(&self, stream: HomeStream, answer: Answer, outgoing: &Outgoing) -> HomeResult {
        let mut response = Response::new(());
        *response.status_mut() = answer.head.status;
        *response.headers_mut() = headers::forwarded_fields(&answer.head.headers);
        let body = forward::ForwardedBody::new(forward::Options {
            body: answer.body,
            keep: pool::keep_alive_timeout(&answer.head.headers),
            connection: answer.connection,
            pool: self.client.pool.clone(),
            stream,
            until: self.client.clock.instant(outgoing.deadline) + DEADLINE_MARGIN.span(),
        });
        HomeResult::Answer {
            response: response.map(|()| body.boxed_unsync()),
            target: answer.target,
        }
    }
}

/// What came of a grant.
enum Used {
    /// The target answered.
    Answered(HomeResult),
    /// The try failed; the home decides whether another follows.
    Failed(Last, HomeStream),
}

/// Logs how one try went.
fn log_try(outgoing: &Outgoing, target: &str, result: &str, took: clock::Millis) {
    log::info!(
        request = outgoing.name, id = outgoing.id.to_string(), target = target, result = result,
        tries = outgoing.tries, took_ms = took.0;
        "tried"
    );
}

fn read(client: &TargetClient, outgoing: &Outgoing, answer: &Answer) -> ResponseClass {
    let attempt = outgoing.attempt(client, &answer.target);
    client.dialect.classify(&answer.head, &attempt)
}

/// Keeps what an answer that is no success is good for, should no other try follow.
fn keep(
    client: &TargetClient,
    reading: ResponseClass,
    answer: Box<Answer>,
    outgoing: &mut Outgoing,
) -> Last {
    match reading {
        // The target's word holds for its own try, and says nothing of those before.
        ResponseClass::Shed if outgoing.lost.is_some() => {
            let refusal = Refusal::not_run(Cause::TargetShed, Some(SHED_RETRY));
            Last::Refusal(refusal.after_lost_try(outgoing.lost))
        }
        ResponseClass::Answered | ResponseClass::Shed => Last::Answer(answer),
        ResponseClass::Failed => {
            outgoing.lost = Some(Cause::TargetBroke);
            Last::Answer(answer)
        }
        ResponseClass::Expired => {
            outgoing.lost = Some(Cause::TargetTimeout);
            Last::Answer(answer)
        }
        ResponseClass::NotRun | ResponseClass::Misplaced => {
            tokio::spawn(discard(*answer, client.pool.clone()));
            Last::Refusal(Refusal::not_run(Cause::TargetShed, Some(SHED_RETRY)))
        }
        ResponseClass::Unusable => {
            outgoing.lost = Some(Cause::TargetBroke);
            Last::Refusal(Refusal::unknown(Cause::TargetBroke))
        }
    }
}

/// Tells how a try with an answer ended.
fn outcome_of(reading: ResponseClass) -> Outcome {
    match reading {
        ResponseClass::Answered => Outcome::Answered,
        ResponseClass::Failed => Outcome::Failed,
        ResponseClass::Expired => Outcome::Expired,
        ResponseClass::Shed => Outcome::Shed,
        ResponseClass::NotRun => Outcome::NotRun,
        ResponseClass::Misplaced => Outcome::Misplaced,
        ResponseClass::Unusable => Outcome::Broken,
    }
}

/// Reads what is left of an answer that nobody wants, so that its connection serves again.
async fn discard(answer: Answer, pool: sync::Arc<pool::Pool>) {
    let keep = pool::keep_alive_timeout(&answer.head.headers);
    let rest = http_body_util::Limited::new(answer.body, DISCARD_BYTES).collect();
    match timers::timeout(DISCARD_TIMEOUT.span(), rest).await {
        Ok(Ok(_)) => pool.release(answer.connection, keep).await,
        Ok(Err(_)) | Err(_) => log::debug!("a connection is closed with an unwanted answer"),
    }
}

/// A request's body, read up to a limit.
pub struct Prefix {
    /// The first bytes.
    pub first: Vec<u8>,
    /// The rest, if the limit was reached.
    pub rest: Option<Incoming>,
    /// The trailers, if the body is here as a whole.
    pub trailers: HeaderMap,
}

/// Reads a body until its end, or until more than `limit` bytes are here.
///
/// # Errors
///
/// Returns an error if the caller cuts the body short.
pub async fn read_prefix(mut incoming: Incoming, limit: usize) -> Result<Prefix, hyper::Error> {
    let mut first = Vec::new();
    let mut trailers = HeaderMap::new();
    while let Some(frame) = incoming.frame().await {
        match frame?.into_data() {
            Ok(data) => first.extend_from_slice(&data),
            Err(other) => trailers = other.into_trailers().unwrap_or_default(),
        }
        if first.len() > limit {
            return Ok(Prefix {
                first,
                rest: Some(incoming),
                trailers,
            });
        }
    }
    Ok(Prefix {
        first,
        rest: None,
        trailers,
    })
}

/// Digests what a request does: its key, else its method, path and first bytes, each within its organisation.
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

/// Tells targets who the caller is: the fields `Via`, `X-Forwarded-For` and `X-Forwarded-Host`.
pub fn add_forwarding(fields: &mut HeaderMap, from: net::SocketAddr, host: &str) {
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

/// A request's stream to a home.
pub struct HomeStream {
    /// The home's half.
    pub recv: home::Reader,
    /// The entry's half; the home cancels the request when it closes.
    pub send: home::Writer,
}

/// What came next on a stream.
enum Next {
    Message(FromHome),
    /// The stream broke, or brought what the protocol does not allow.
    Broken,
    /// The home was silent for too long.
    Silent,
    /// The caller gave up.
    Deadline,
}

impl HomeStream {
    /// Sends a message to the home.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks; the home may have read the message all the same.
    pub async fn send(&mut self, message: &ToHome) -> Result<(), frame::Error> {
        frame::send(&mut self.send, message).await
    }

    /// Tells the home how a try ended; one that is lost by now frees the slot by itself.
    async fn report(&mut self, outcome: Outcome) {
        if let Err(e) = self.send(&ToHome::Done(outcome)).await {
            log::debug!("an outcome does not reach the home: {e}");
        }
    }

    /// Waits for the next message, until the deadline or until the home was silent for longer than `patience`.
    async fn next(&mut self, deadline: time::Instant, patience: clock::Millis) -> Next {
        let until = deadline.min(time::Instant::now() + patience.span());
        match timers::timeout_at(until.into(), frame::receive(&mut self.recv)).await {
            Ok(Ok(message)) => Next::Message(message),
            Ok(Err(_)) => Next::Broken,
            Err(_) if until == deadline => Next::Deadline,
            Err(_) => Next::Silent,
        }
    }

    /// Resolves when the home gives up the try in flight; never where the home is lost, whose word is not needed.
    async fn abandoned(&mut self) {
        loop {
            match frame::receive(&mut self.recv).await {
                Ok(FromHome::Abandon) => return,
                Ok(_) => {}
                Err(_) => std::future::pending().await,
            }
        }
    }
}
