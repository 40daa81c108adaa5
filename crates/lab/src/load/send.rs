//! Carries one request through its sends until it is served, or its caller gives up.

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

/// How long after its deadline a caller waits for an answer.
const GRACE: clock::Millis = clock::Millis(1_000);
/// The longest wait before a resend, whatever `Retry-After` says.
const MAX_WAIT: clock::Millis = clock::Millis(3_000);
/// The wait before a resend where `Retry-After` is absent.
const WAIT: clock::Millis = clock::Millis(200);
/// How many entries are tried for one send before it counts as refused: an entry that takes no connection has not
/// been sent anything.
const CONNECT_TRIES: usize = 4;

/// Sends requests and notes what their callers were told.
#[derive(Debug)]
pub(super) struct Sender {
    pub(super) clients: client::Clients,
    pub(super) entries: sync::Arc<Entries>,
    pub(super) clock: clock::Clock,
    pub(super) report: sync::Arc<sync::Mutex<Report>>,
    pub(super) resends: u32,
}

/// What one send came to, and when the next may follow.
struct Told {
    result: Result,
    wait: clock::Millis,
}

impl Told {
    fn at_once(result: Result) -> Told {
        Told { result, wait: WAIT }
    }
}

impl Sender {
    /// Sends the request that was due at `due`, and again while that may help.
    pub(super) async fn carry(&self, request: &Request, due: time::Instant) {
        self.note(|r| r.arrived(&request.kind.service, &request.caller.tier));
        let mut entry = None;
        let mut last = Result::NotRun;
        let mut known = true;
        for count in 0..=self.resends {
            let id = format!("{}-{count}", request.nonce);
            let (told, name) = self.send(request, &id, entry.as_deref()).await;
            last = told.result;
            known &= !matches!(last, Result::Unknown | Result::Lost);
            self.note(|r| {
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
            tokio::time::sleep(told.wait.span()).await;
        }
        if last == Result::NotRun && !known {
            last = Result::Unknown;
        }
        self.note(|r| {
            r.finished(
                &request.kind.service,
                &request.caller.tier,
                last,
                due.elapsed(),
            );
        });
    }

    fn note(&self, change: impl FnOnce(&mut Report)) {
        let mut report = self.report.lock().expect("no task of the load panicked");
        change(&mut report);
    }

    /// Sends the request once, through an entry that is not `but` where there is another.
    async fn send(&self, request: &Request, id: &str, but: Option<&str>) -> (Told, String) {
        let mut but = but.map(str::to_owned);
        for _ in 0..CONNECT_TRIES {
            let now = self.clock.now();
            let Some((name, address)) = self.entries.choose(now, but.as_deref()) else {
                break;
            };
            let limit = request.deadline + GRACE;
            let sent = tokio::time::timeout(limit.span(), self.exchange(request, id, address));
            match sent.await {
                Ok(Ok(told)) => return (told, name),
                Ok(Err(client::Error::Broken { .. })) | Err(_) => {
                    self.entries.fail(&name, self.clock.now());
                    return (Told::at_once(Result::Lost), name);
                }
                Ok(Err(client::Error::Connect { .. })) => {
                    self.entries.fail(&name, self.clock.now());
                    but = Some(name);
                }
                Ok(Err(client::Error::Unsent { .. })) => {}
            }
        }
        (Told::at_once(Result::NotRun), String::new())
    }

    async fn exchange(
        &self,
        request: &Request,
        id: &str,
        address: net::SocketAddr,
    ) -> std::result::Result<Told, client::Error> {
        let mut connection = self.clients.take(address).await?;
        let answer = connection
            .send(address, build(request, id, address))
            .await?;
        let (head, body) = answer.into_parts();
        let told = judge(request, &head);
        let end = read(request, &head.headers, body).await;
        if connection.is_exclusive() && end != End::Broken {
            self.clients.give_back(address, connection);
        }
        Ok(match (told.result, end) {
            (Result::Served, End::Broken) => Told::at_once(Result::Lost),
            (Result::Served, End::Short) => Told::at_once(Result::Short),
            (Result::Served, End::Wrong) => Told::at_once(Result::Wrong),
            _ => told,
        })
    }
}

impl Result {
    /// Returns whether its caller would send the request again.
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

/// The bytes of the request's body.
fn body(request: &Request) -> Bytes {
    echo::piece(&request.nonce, 0, request.kind.body)
}

fn build(request: &Request, id: &str, address: net::SocketAddr) -> http::Request<Full<Bytes>> {
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
        .body(Full::new(body(request)))
        .expect("the request's parts are valid")
}

/// Reads from the answer's head what the caller was told.
fn judge(request: &Request, head: &http::response::Parts) -> Told {
    let outcome = text(&head.headers, headers::OUTCOME);
    let wait = text(&head.headers, header::RETRY_AFTER.as_str())
        .parse::<u64>()
        .map_or(WAIT, |s| clock::Millis(s * 1_000).min(MAX_WAIT));
    let result = match outcome {
        "not-run" => Result::NotRun,
        "unknown" => Result::Unknown,
        _ if request.key.is_some() && head.headers.contains_key(problem::REPLAYED) => {
            Result::Replayed
        }
        _ if text(&head.headers, echo::NONCE) == request.nonce => Result::Served,
        _ if head.headers.contains_key(echo::NONCE) => Result::Wrong,
        _ if head.status.is_success() => Result::Wrong,
        _ => Result::Unknown,
    };
    Told { result, wait }
}

/// How an answer's body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It is the whole answer to the request.
    Whole,
    /// It ended as if whole, but bytes are missing.
    Short,
    /// It is not the answer to the request.
    Wrong,
    /// It was seen to break off.
    Broken,
}

async fn read(request: &Request, fields: &http::HeaderMap, mut body: Incoming) -> End {
    let mut got = 0u64;
    let mut same = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return End::Broken;
        };
        if let Some(data) = frame.data_ref() {
            same &= echo::matches(&request.nonce, got, data);
            got += data.len() as u64;
        }
    }
    let digest = text(fields, echo::DIGEST);
    if !same || digest != digest_of(request) {
        return End::Wrong;
    }
    match got.cmp(&request.kind.bytes) {
        std::cmp::Ordering::Less => End::Short,
        std::cmp::Ordering::Equal => End::Whole,
        std::cmp::Ordering::Greater => End::Wrong,
    }
}

fn digest_of(request: &Request) -> String {
    use sha2::Digest;
    hex::encode(sha2::Sha256::digest(body(request)))
}

fn text<'a>(fields: &'a http::HeaderMap, name: &str) -> &'a str {
    let value = fields.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default()
}
