//! The platform's stand-in: a transactional table, an object store and a list of hosts that lags, over HTTP/1.1.
//!
//! `docs/PLATFORM.md` describes the interface. Faults are set at `/_control`, or through [`Handle`] within a process.

use std::collections::BTreeMap;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper_util::rt;
use peridotspread::protocol::platform;
use serde::{Deserialize, Serialize};
use sha2::Digest;
use tokio::task;

/// The most rows of one scan.
const SCAN_ROWS: usize = 1_000;

type Body = http_body_util::Full<Bytes>;
type Answer = http::Response<Body>;

/// The faults and limits in force; a `POST /_control` changes those that it names.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Options {
    /// Answers 503 to every call.
    pub down: bool,
    /// Takes calls and never answers them.
    pub hang: bool,
    /// Milliseconds before a call is acted on.
    pub slow_ms: u64,
    /// Writes to apply without an answer, from the next on.
    pub lose_next: u32,
    /// Writes to drop without an answer, from the next on; those of `lose_next` come first.
    pub drop_next: u32,
    /// The share of writes, from 0 to 1, that are applied without an answer.
    pub lose_share: f64,
    /// Transactions a second; no limit where 0.
    pub writes_s: u32,
    /// Reads and scans a second; no limit where 0.
    pub reads_s: u32,
    /// Milliseconds until a change of the list of hosts is seen.
    pub lag_ms: u64,
}

/// What the stand-in has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads of rows.
    pub reads: u64,
    /// Scans.
    pub scans: u64,
    /// Transactions, of whatever outcome.
    pub commits: u64,
    /// Rows written by transactions that were applied.
    pub rows: u64,
    /// Transactions refused because a row was not as expected.
    pub conflicts: u64,
    /// Writes applied without an answer.
    pub lost: u64,
    /// Writes dropped without an answer.
    pub dropped: u64,
    /// Calls refused for a limit.
    pub limited: u64,
    /// Calls refused or left open while down.
    pub refused: u64,
    /// Objects read.
    pub objects: u64,
    /// Objects stored.
    pub stores: u64,
    /// Bytes of objects sent.
    pub object_bytes: u64,
}

/// The stand-in's state as `GET /_control` shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The faults and limits in force.
    pub options: Options,
    /// What was counted.
    pub counters: Counters,
}

/// A running stand-in; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    shared: sync::Arc<Shared>,
    task: task::JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    inner: sync::Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    options: Options,
    counters: Counters,
    rows: BTreeMap<String, platform::Row>,
    objects: BTreeMap<String, Bytes>,
    writes: u64,
    hosts: Vec<(time::Instant, Vec<platform::Host>)>,
    write_limit: Limit,
    read_limit: Limit,
}

/// Counts calls within one second.
#[derive(Debug, Default)]
struct Limit {
    since: Option<time::Instant>,
    used: u32,
}

impl Limit {
    fn take(&mut self, limit: u32) -> bool {
        let now = time::Instant::now();
        let fresh = |since| now.duration_since(since) >= time::Duration::from_secs(1);
        if self.since.is_none_or(fresh) {
            self.since = Some(now);
            self.used = 0;
        }
        self.used = self.used.saturating_add(1);
        limit == 0 || self.used <= limit
    }
}

/// Why a call gets no answer.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("the answer is lost on command"))]
struct NoAnswer;

#[derive(Deserialize)]
struct Read {
    key: String,
}

#[derive(Deserialize)]
struct Scan {
    prefix: String,
    after: String,
    limit: usize,
}

#[derive(Deserialize)]
struct Commit {
    writes: Vec<platform::Write>,
}

/// What becomes of one transaction's answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fate {
    Answered,
    Lost,
    Dropped,
}

/// Serves the stand-in at `addr`, whose port may be 0, and returns the address in use.
///
/// # Panics
///
/// Panics if the address can't be bound.
pub async fn serve(addr: net::SocketAddr, options: Options) -> (net::SocketAddr, Handle) {
    let listener = tokio::net::TcpListener::bind(addr)
        .await
        .expect("the stand-in's address is free");
    let bound = listener
        .local_addr()
        .expect("a bound listener has an address");
    let inner = Inner {
        options,
        ..Inner::default()
    };
    let shared = sync::Arc::new(Shared {
        inner: sync::Mutex::new(inner),
    });
    let task = tokio::spawn(accept(listener, sync::Arc::clone(&shared)));
    (bound, Handle { shared, task })
}

impl Handle {
    /// Changes the faults and limits in force.
    pub fn set(&self, change: impl FnOnce(&mut Options)) {
        change(&mut self.shared.lock().options);
    }

    /// Replaces the list of hosts, which is seen once the lag has passed.
    pub fn set_hosts(&self, hosts: Vec<platform::Host>) {
        self.shared.lock().set_hosts(hosts);
    }

    /// Returns the faults in force and what was counted.
    pub fn report(&self) -> Report {
        self.shared.lock().report()
    }

    /// Returns all rows whose keys start with `prefix`, past all faults.
    pub fn rows(&self, prefix: &str) -> Vec<platform::Row> {
        let inner = self.shared.lock();
        let rows = inner.rows.values();
        rows.filter(|r| r.key.starts_with(prefix))
            .cloned()
            .collect()
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: tokio::net::TcpListener, shared: sync::Arc<Shared>) {
    // Connections live in the set, and end with it when the handle is dropped.
    let mut connections = task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        stream.set_nodelay(true).ok();
        while connections.try_join_next().is_some() {}
        let shared = sync::Arc::clone(&shared);
        connections.spawn(async move {
            let service = hyper::service::service_fn(|request| shared.answer(request));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(rt::TokioIo::new(stream), service);
            if let Err(e) = connection.await {
                log::debug!("a connection to the platform's stand-in ended: {e}");
            }
        });
    }
}

impl Shared {
    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    async fn answer(
        &self,
        request: http::Request<hyper::body::Incoming>,
    ) -> Result<Answer, NoAnswer> {
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return Err(NoAnswer);
        };
        let body = body.to_bytes();
        if head.uri.path().starts_with("/_control") {
            return Ok(self.control(&head, &body));
        }
        let options = self.lock().options.clone();
        if options.slow_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(options.slow_ms)).await;
        }
        if self.lock().options.hang {
            self.lock().counters.refused += 1;
            std::future::pending::<()>().await;
        }
        self.lock().call(&head, body)
    }

    fn control(&self, head: &http::request::Parts, body: &[u8]) -> Answer {
        let mut inner = self.lock();
        match (&head.method, head.uri.path()) {
            (&http::Method::GET, "/_control") => json(&inner.report()),
            (&http::Method::POST, "/_control") => match patched(&inner.options, body) {
                Ok(options) => {
                    inner.options = options;
                    json(&inner.report())
                }
                Err(e) => plain(http::StatusCode::BAD_REQUEST, &e.to_string()),
            },
            (&http::Method::POST, "/_control/hosts") => match serde_json::from_slice(body) {
                Ok(hosts) => {
                    inner.set_hosts(hosts);
                    json(&inner.report())
                }
                Err(e) => plain(http::StatusCode::BAD_REQUEST, &e.to_string()),
            },
            _ => plain(http::StatusCode::NOT_FOUND, "no such control"),
        }
    }
}

impl Inner {
    fn report(&self) -> Report {
        Report {
            options: self.options.clone(),
            counters: self.counters,
        }
    }

    fn set_hosts(&mut self, hosts: Vec<platform::Host>) {
        let seen = time::Instant::now() + time::Duration::from_millis(self.options.lag_ms);
        self.hosts.push((seen, hosts));
    }

    /// Returns the latest list of hosts whose lag has passed.
    fn seen_hosts(&self) -> &[platform::Host] {
        let now = time::Instant::now();
        let seen = self.hosts.iter().rev().find(|(at, _)| *at <= now);
        seen.map_or(&[], |(_, hosts)| hosts)
    }

    fn call(&mut self, head: &http::request::Parts, body: Bytes) -> Result<Answer, NoAnswer> {
        if self.options.down {
            self.counters.refused += 1;
            return Ok(plain(http::StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        let path = head.uri.path();
        match (&head.method, path) {
            (&http::Method::POST, "/table/read") => Ok(self.read(&body)),
            (&http::Method::POST, "/table/scan") => Ok(self.scan(&body)),
            (&http::Method::POST, "/table/commit") => self.commit(&body),
            (&http::Method::GET, "/hosts") => Ok(json(&self.seen_hosts())),
            (method, path) => match (method, path.strip_prefix("/objects/")) {
                (&http::Method::GET, Some(digest)) => Ok(self.object(digest)),
                (&http::Method::PUT, Some(digest)) => self.store(digest, body),
                _ => Ok(plain(http::StatusCode::NOT_FOUND, "no such path")),
            },
        }
    }

    fn limited(&mut self) -> Answer {
        self.counters.limited += 1;
        plain(http::StatusCode::TOO_MANY_REQUESTS, "over the limit")
    }

    fn read(&mut self, body: &[u8]) -> Answer {
        self.counters.reads += 1;
        if !self.read_limit.take(self.options.reads_s) {
            return self.limited();
        }
        match serde_json::from_slice::<Read>(body) {
            Ok(read) => json(&self.rows.get(&read.key)),
            Err(e) => plain(http::StatusCode::BAD_REQUEST, &e.to_string()),
        }
    }

    fn scan(&mut self, body: &[u8]) -> Answer {
        self.counters.scans += 1;
        if !self.read_limit.take(self.options.reads_s) {
            return self.limited();
        }
        match serde_json::from_slice::<Scan>(body) {
            Ok(scan) => {
                let rows: Vec<_> = self
                    .rows
                    .values()
                    .filter(|r| r.key.starts_with(&scan.prefix) && r.key > scan.after)
                    .take(scan.limit.min(SCAN_ROWS))
                    .collect();
                json(&rows)
            }
            Err(e) => plain(http::StatusCode::BAD_REQUEST, &e.to_string()),
        }
    }

    fn commit(&mut self, body: &[u8]) -> Result<Answer, NoAnswer> {
        self.counters.commits += 1;
        if !self.write_limit.take(self.options.writes_s) {
            return Ok(self.limited());
        }
        let commit = match serde_json::from_slice::<Commit>(body) {
            Ok(commit) => commit,
            Err(e) => return Ok(plain(http::StatusCode::BAD_REQUEST, &e.to_string())),
        };
        let fate = self.fate();
        if fate == Fate::Dropped {
            self.counters.dropped += 1;
            return Err(NoAnswer);
        }
        let answer = self.apply(commit.writes);
        if fate == Fate::Lost {
            self.counters.lost += 1;
            return Err(NoAnswer);
        }
        Ok(answer)
    }

    /// Draws what becomes of a write's answer; the sequence of draws is the same in every run.
    fn fate(&mut self) -> Fate {
        if self.options.lose_next > 0 {
            self.options.lose_next -= 1;
            return Fate::Lost;
        }
        if self.options.drop_next > 0 {
            self.options.drop_next -= 1;
            return Fate::Dropped;
        }
        let draw = peridotspread::coordination::homes::hash(&[&self.counters.commits.to_string()]);
        if (draw as f64) < self.options.lose_share * u64::MAX as f64 {
            return Fate::Lost;
        }
        Fate::Answered
    }

    fn apply(&mut self, writes: Vec<platform::Write>) -> Answer {
        let failed = writes.iter().find(|w| !self.holds(w));
        if let Some(write) = failed {
            self.counters.conflicts += 1;
            let body = serde_json::json!({ "key": write.key });
            let mut answer = json(&body);
            *answer.status_mut() = http::StatusCode::CONFLICT;
            return answer;
        }
        let mut versions = Vec::with_capacity(writes.len());
        for write in writes {
            // Versions count over the whole table, so that a row removed and inserted again never repeats one.
            self.writes += 1;
            self.counters.rows += 1;
            versions.push(self.writes);
            match write.value {
                Some(value) => {
                    let row = platform::Row {
                        key: write.key.clone(),
                        version: self.writes,
                        value,
                    };
                    self.rows.insert(write.key, row);
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        json(&versions)
    }

    fn holds(&self, write: &platform::Write) -> bool {
        let version = self.rows.get(&write.key).map(|r| r.version);
        match write.expect {
            platform::Expect::Any => true,
            platform::Expect::Absent => version.is_none(),
            platform::Expect::Version(v) => version == Some(v),
        }
    }

    fn object(&mut self, digest: &str) -> Answer {
        self.counters.objects += 1;
        if !self.read_limit.take(self.options.reads_s) {
            return self.limited();
        }
        match self.objects.get(digest) {
            Some(content) => {
                self.counters.object_bytes += content.len() as u64;
                http::Response::new(Body::new(content.clone()))
            }
            None => plain(http::StatusCode::NOT_FOUND, "no such object"),
        }
    }

    fn store(&mut self, digest: &str, content: Bytes) -> Result<Answer, NoAnswer> {
        self.counters.stores += 1;
        if !self.write_limit.take(self.options.writes_s) {
            return Ok(self.limited());
        }
        if hex::encode(sha2::Sha256::digest(&content)) != digest {
            let status = http::StatusCode::UNPROCESSABLE_ENTITY;
            return Ok(plain(status, "the content has another digest"));
        }
        self.objects.insert(digest.to_owned(), content);
        Ok(plain(http::StatusCode::OK, ""))
    }
}

/// Returns `options` with the fields that `body` names changed.
fn patched(options: &Options, body: &[u8]) -> Result<Options, serde_json::Error> {
    let mut value = serde_json::to_value(options)?;
    let patch = serde_json::from_slice::<BTreeMap<String, serde_json::Value>>(body)?;
    for (name, new) in patch {
        value[name] = new;
    }
    serde_json::from_value(value)
}

fn json<M: Serialize>(message: &M) -> Answer {
    let body = serde_json::to_vec(message).expect("answers encode as JSON");
    http::Response::builder()
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Body::from(body))
        .expect("a constant head is valid")
}

fn plain(status: http::StatusCode, text: &str) -> Answer {
    let mut answer = http::Response::new(Body::from(text.to_owned()));
    *answer.status_mut() = status;
    answer
}
