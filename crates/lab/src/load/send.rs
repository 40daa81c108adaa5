//! Sends one request, and resends it until it is served or its caller gives up.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http::header;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use peridotspread::protocol::{headers, problem};
use peridotspread::state::clock;

use super::report::{Attempt, Report, Result};
use super::{Entries, Request, client};
use crate::echo;

/// How long a caller waits for a response after the request's deadline.
const CALLER_GRACE: clock::Millis = clock::Millis(1_000);
/// The maximum wait before a resend, also where `Retry-After` is longer.
const MAX_WAIT: clock::Millis = clock::Millis(3_000);
/// The wait before a resend without `Retry-After`.
const DEFAULT_WAIT: clock::Millis = clock::Millis(200);
/// The number of entries tried per attempt before it counts as refused. An entry that accepts no connection was sent
/// nothing, so that trying another one is safe.
const CONNECT_TRIES: usize = 4;

/// Sends requests and records their results in the report.
#[derive(Debug)]
pub(super) struct Sender {
    pub(super) clients: client::Clients,
    pub(super) entries: sync::Arc<Entries>,
    pub(super) clock: clock::Clock,
    pub(super) report: sync::Arc<sync::Mutex<Report>>,
    pub(super) resends: u32,
}

/// The result of one attempt and the wait before the next one.
struct AttemptResult {
    result: Result,
    wait: clock::Millis,
}

impl AttemptResult {
    /// Returns a result without a `Retry-After`.
    fn with_default_wait(result: Result) -> AttemptResult {
        AttemptResult {
            result,
            wait: DEFAULT_WAIT,
        }
    }
}

impl Sender {
    /// Sends the request that was scheduled at `due`, resends it as configured, and records its result.
    pub(super) async fn run_request(&self, request: &Request, due: time::Instant) {
        self.update_report(|r| r.record_arrival(&request.kind.service, &request.caller.tier));
        let mut entry = None;
        let mut last = Result::NotRun;
        let mut conclusive = true;
        for count in 0..=self.resends {
            let id = format!("{}-{count}", request.nonce);
            let (attempt, name) = self.attempt(request, &id, entry.as_deref()).await;
            last = attempt.result;
            conclusive &= !matches!(last, Result::Unknown | Result::Lost);
            self.update_report(|r| {
                r.attempts.push(Attempt {
                    id,
                    key: request.key.clone().unwrap_or_default(),
                    entry: name.clone(),
                    at: self.clock.now(),
                    result: last,
                });
            });
            if !last.may_be_resent(request) || count == self.resends {
                break;
            }
            entry = Some(name);
            tokio::time::sleep(attempt.wait.span()).await;
        }
        if last == Result::NotRun && !conclusive {
            last = Result::Unknown;
        }
        self.update_report(|r| {
            r.record_result(
                &request.kind.service,
                &request.caller.tier,
                last,
                due.elapsed(),
            );
        });
    }

    fn update_report(&self, change: impl FnOnce(&mut Report)) {
        let mut report = self.report.lock().expect("no task of the load panicked");
        change(&mut report);
    }

    /// Sends the request once and returns the result with the entry's name. Avoids the entry `except` while there are
    /// others.
    async fn attempt(
        &self,
        request: &Request,
        id: &str,
        except: Option<&str>,
    ) -> (AttemptResult, String) {
        let mut except = except.map(str::to_owned);
        for _ in 0..CONNECT_TRIES {
            let now = self.clock.now();
            let Some((name, address)) = self.entries.choose(now, except.as_deref()) else {
                break;
            };
            let timeout = request.deadline + CALLER_GRACE;
            let sent = tokio::time::timeout(timeout.span(), self.exchange(request, id, address));
            match sent.await {
                Ok(Ok(attempt)) => return (attempt, name),
                Ok(Err(client::Error::Broken { .. })) | Err(_) => {
                    self.entries.record_failure(&name, self.clock.now());
                    return (AttemptResult::with_default_wait(Result::Lost), name);
                }
                Ok(Err(client::Error::Connect { .. })) => {
                    self.entries.record_failure(&name, self.clock.now());
                    except = Some(name);
                }
                Ok(Err(client::Error::Unsent { .. })) => {}
            }
        }
        (
            AttemptResult::with_default_wait(Result::NotRun),
            String::new(),
        )
    }

    /// Sends the request to the entry at `address` and verifies the response.
    async fn exchange(
        &self,
        request: &Request,
        id: &str,
        address: net::SocketAddr,
    ) -> std::result::Result<AttemptResult, client::Error> {
        let mut connection = self.clients.acquire(address).await?;
        let response = connection
            .send(address, build_request(request, id, address))
            .await?;
        let (head, body) = response.into_parts();
        let attempt = classify(request, &head);
        let end = verify_body(request, &head.headers, body).await;
        if connection.is_exclusive() && end != BodyEnd::Broken {
            self.clients.release(address, connection);
        }
        Ok(match (attempt.result, end) {
            (Result::Served, BodyEnd::Broken) => AttemptResult::with_default_wait(Result::Lost),
            (Result::Served, BodyEnd::Short) => AttemptResult::with_default_wait(Result::Short),
            (Result::Served, BodyEnd::Wrong) => AttemptResult::with_default_wait(Result::Wrong),
            _ => attempt,
        })
    }
}

impl Result {
    /// Returns whether a caller may resend the request after this result.
    fn may_be_resent(self, request: &Request) -> bool {
        match self {
            Result::NotRun => true,
            Result::Unknown | Result::Lost => {
                request.kind.method.is_safe() || request.key.is_some()
            }
            Result::Served | Result::Replayed | Result::Wrong | Result::Short => false,
        }
    }
}

/// Returns the body of the request.
fn request_body(request: &Request) -> Bytes {
    echo::filler(&request.nonce, 0, request.kind.body)
}

fn build_request(
    request: &Request,
    id: &str,
    address: net::SocketAddr,
) -> http::Request<Full<Bytes>> {
    let kind = &request.kind;
    let mut builder = http::Request::builder()
        .method(&kind.method)
        .uri(format!("http://{address}{}", kind.path))
        .header(header::HOST, address.to_string())
        .header(headers::DEADLINE, request.deadline.0)
        .header(echo::NONCE, &request.nonce)
        .header(echo::ATTEMPT, id)
        .header(echo::BYTES, kind.bytes);
    if !request.caller.token.is_empty() {
        let value = format!("Bearer {}", request.caller.token);
        builder = builder.header(header::AUTHORIZATION, value);
    }
    if let Some(key) = &request.key {
        builder = builder.header(headers::IDEMPOTENCY_KEY, key);
    }
    if request.chunked {
        builder = builder.header(echo::CHUNKED, "yes");
    }
    builder
        .body(Full::new(request_body(request)))
        .expect("the request's parts are valid")
}

/// Classifies a response by its head.
fn classify(request: &Request, head: &http::response::Parts) -> AttemptResult {
    let outcome = field_text(&head.headers, headers::OUTCOME);
    let wait = field_text(&head.headers, header::RETRY_AFTER.as_str())
        .parse::<u64>()
        .map_or(DEFAULT_WAIT, |s| clock::Millis(s * 1_000).min(MAX_WAIT));
    let result = match outcome {
        "not-run" => Result::NotRun,
        "unknown" => Result::Unknown,
        _ if request.key.is_some() && head.headers.contains_key(problem::REPLAYED) => {
            Result::Replayed
        }
        _ if field_text(&head.headers, echo::NONCE) == request.nonce => Result::Served,
        _ if head.headers.contains_key(echo::NONCE) => Result::Wrong,
        _ if head.status.is_success() => Result::Wrong,
        _ => Result::Unknown,
    };
    AttemptResult { result, wait }
}

/// How a response body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyEnd {
    /// It is complete and belongs to the request.
    Complete,
    /// It ended as if it were complete, but bytes are missing.
    Short,
    /// It does not belong to the request, or was altered.
    Wrong,
    /// It ended with an error.
    Broken,
}

/// Reads the response body and compares it with the expected one.
async fn verify_body(request: &Request, fields: &http::HeaderMap, mut body: Incoming) -> BodyEnd {
    let mut received = 0u64;
    let mut intact = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return BodyEnd::Broken;
        };
        if let Some(data) = frame.data_ref() {
            intact &= echo::matches(&request.nonce, received, data);
            received += data.len() as u64;
        }
    }
    let digest = field_text(fields, echo::DIGEST);
    if !intact || digest != body_digest(request) {
        return BodyEnd::Wrong;
    }
    match received.cmp(&request.kind.bytes) {
        std::cmp::Ordering::Less => BodyEnd::Short,
        std::cmp::Ordering::Equal => BodyEnd::Complete,
        std::cmp::Ordering::Greater => BodyEnd::Wrong,
    }
}

/// Returns the SHA-256 digest of the request body in hexadecimal.
fn body_digest(request: &Request) -> String {
    use sha2::Digest;
    hex::encode(sha2::Sha256::digest(request_body(request)))
}

/// Returns the value of the header field `name`, or an empty string if it is absent.
fn field_text<'a>(fields: &'a http::HeaderMap, name: &str) -> &'a str {
    let value = fields.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default()
}
