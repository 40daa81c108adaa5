//! An in-memory stand-in for the platform: a transactional table, an object store and a list of hosts over HTTP/1.1.
//!
//! Daemons and the command-line tool use it in tests, the demonstration and measurements in place of a real platform.
//! `docs/PLATFORM.md` describes the interface. Faults are injected at `/_control`, or through [`Handle`] within the
//! process; changes to the list of hosts become visible after a configurable lag.

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

/// The maximum number of rows that one scan returns.
const MAX_SCAN_ROWS: usize = 1_000;

type Body = http_body_util::Full<Bytes>;
type Response = http::Response<Body>;

/// The active faults and limits; `POST /_control` changes the fields that its body contains.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Options {
    /// Whether every call is answered with status 503.
    pub down: bool,
    /// Whether calls are accepted and never answered.
    pub hang: bool,
    /// The delay before a call is processed, in milliseconds.
    pub slow_ms: u64,
    /// The number of upcoming writes that are applied without a response.
    pub lose_next: u32,
    /// The number of upcoming writes that are dropped without a response, counted after those of `lose_next`.
    pub drop_next: u32,
    /// The share of writes, from 0 to 1, that are applied without a response.
    pub lose_share: f64,
    /// The maximum number of writes per second; 0 means no limit.
    pub writes_s: u32,
    /// The maximum number of reads per second, scans and object reads included; 0 means no limit.
    pub reads_s: u32,
    /// The delay until a change of the list of hosts becomes visible, in milliseconds.
    pub lag_ms: u64,
}

/// Counters of the calls since the stand-in started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads of single rows.
    pub reads: u64,
    /// Scans of rows.
    pub scans: u64,
    /// Transactions received, whatever their outcome.
    pub commits: u64,
    /// Rows written or removed by applied transactions.
    pub rows: u64,
    /// Transactions refused because a row did not match the expected version.
    pub conflicts: u64,
    /// Writes applied without a response.
    pub lost: u64,
    /// Writes dropped without a response.
    pub dropped: u64,
    /// Calls refused because of a rate limit.
    pub limited: u64,
    /// Calls refused while `down` is set, or never answered while `hang` is set.
    pub refused: u64,
    /// Reads of objects, whether found or not.
    pub objects: u64,
    /// Requests to store an object, whatever their outcome.
    pub stores: u64,
    /// Bytes of object content sent in responses.
    pub object_bytes: u64,
}

/// The body of responses to `GET /_control`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The active faults and limits.
    pub options: Options,
    /// The counters since the start.
    pub counters: Counters,
}

/// A handle to a running stand-in, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    shared: sync::Arc<Shared>,
    task: task::JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    inner: sync::Mutex<Inner>,
}

/// A stored object.
#[derive(Debug, Default)]
struct Object {
    content: Bytes,
    reads: u64,
}

#[derive(Debug, Default)]
struct Inner {
    options: Options,
    counters: Counters,
    rows: BTreeMap<String, platform::Row>,
    objects: BTreeMap<String, Object>,
    /// The version of the last written row.
    version: u64,
    /// Every list of hosts that was set, with the time from which it is visible.
    hosts: Vec<(time::Instant, Vec<platform::Host>)>,
    write_limit: Limit,
    read_limit: Limit,
}

/// A rate limit over fixed windows of one second.
#[derive(Debug, Default)]
struct Limit {
    since: Option<time::Instant>,
    used: u32,
}

impl Limit {
    fn try_acquire(&mut self, limit: u32) -> bool {
        let now = time::Instant::now();
        let elapsed = |since| now.duration_since(since) >= time::Duration::from_secs(1);
        if self.since.is_none_or(elapsed) {
            self.since = Some(now);
            self.used = 0;
        }
        self.used = self.used.saturating_add(1);
        limit == 0 || self.used <= limit
    }
}

/// Reported to Hyper to close the connection without a response.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("the response is dropped by an injected fault"))]
struct NoResponse;

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

/// What an injected fault does to a write and its response.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteOutcome {
    /// The write is applied and answered.
    Answered,
    /// The write is applied; the connection closes without a response.
    Lost,
    /// The write is not applied; the connection closes without a response.
    Dropped,
}

/// Starts the stand-in at `addr` and returns the address it is bound to; port 0 selects a free port.
///
/// # Panics
///
/// Panics if the address cannot be bound.
pub async fn serve(addr: net::SocketAddr, options: Options) -> (net::SocketAddr, Handle) {
    let listener = tokio::net::TcpListener::bind(addr)
        .await
        .expect("failed to bind the address of the platform's stand-in");
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
    /// Changes the active faults and limits.
    pub fn set(&self, change: impl FnOnce(&mut Options)) {
        change(&mut self.shared.lock().options);
    }

    /// Replaces the list of hosts; the new list becomes visible after [`Options::lag_ms`].
    pub fn set_hosts(&self, hosts: Vec<platform::Host>) {
        self.shared.lock().set_hosts(hosts);
    }

    /// Returns how many reads of the object `digest` found it.
    pub fn object_reads(&self, digest: &str) -> u64 {
        let inner = self.shared.lock();
        inner.objects.get(digest).map_or(0, |o| o.reads)
    }

    /// Returns the active faults and limits and the counters.
    pub fn report(&self) -> Report {
        self.shared.lock().report()
    }

    /// Returns all rows whose keys start with `prefix`, regardless of active faults.
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
    // The set owns the connection tasks, so that they are aborted when the handle is dropped.
    let mut connections = task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        stream.set_nodelay(true).ok();
        while connections.try_join_next().is_some() {}
        let shared = sync::Arc::clone(&shared);
        connections.spawn(async move {
            let service = hyper::service::service_fn(|request| shared.handle(request));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(rt::TokioIo::new(stream), service);
            if let Err(e) = connection.await {
                log::debug!("connection to the platform's stand-in failed: {e}");
            }
        });
    }
}

impl Shared {
    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    async fn handle(
        &self,
        request: http::Request<hyper::body::Incoming>,
    ) -> Result<Response, NoResponse> {
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return Err(NoResponse);
        };
        let body = body.to_bytes();
        if head.uri.path().starts_with("/_control") {
            return Ok(self.handle_control(&head, &body));
        }
        let options = self.lock().options.clone();
        if options.slow_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(options.slow_ms)).await;
        }
        if self.lock().options.hang {
            self.lock().counters.refused += 1;
            std::future::pending::<()>().await;
        }
        self.lock().dispatch(&head, body)
    }

    fn handle_control(&self, head: &http::request::Parts, body: &[u8]) -> Response {
        let mut inner = self.lock();
        match (&head.method, head.uri.path()) {
            (&http::Method::GET, "/_control") => json_response(&inner.report()),
            (&http::Method::POST, "/_control") => match merge_options(&inner.options, body) {
                Ok(options) => {
                    inner.options = options;
                    json_response(&inner.report())
                }
                Err(e) => text_response(http::StatusCode::BAD_REQUEST, &e.to_string()),
            },
            (&http::Method::POST, "/_control/hosts") => match serde_json::from_slice(body) {
                Ok(hosts) => {
                    inner.set_hosts(hosts);
                    json_response(&inner.report())
                }
                Err(e) => text_response(http::StatusCode::BAD_REQUEST, &e.to_string()),
            },
            _ => text_response(http::StatusCode::NOT_FOUND, "no such control"),
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
        let visible = time::Instant::now() + time::Duration::from_millis(self.options.lag_ms);
        self.hosts.push((visible, hosts));
    }

    /// Returns the latest list of hosts that is already visible.
    fn visible_hosts(&self) -> &[platform::Host] {
        let now = time::Instant::now();
        let visible = self.hosts.iter().rev().find(|(at, _)| *at <= now);
        visible.map_or(&[], |(_, hosts)| hosts)
    }

    fn dispatch(
        &mut self,
        head: &http::request::Parts,
        body: Bytes,
    ) -> Result<Response, NoResponse> {
        if self.options.down {
            self.counters.refused += 1;
            return Ok(text_response(http::StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        let path = head.uri.path();
        match (&head.method, path) {
            (&http::Method::POST, "/table/read") => Ok(self.read_row(&body)),
            (&http::Method::POST, "/table/scan") => Ok(self.scan_rows(&body)),
            (&http::Method::POST, "/table/commit") => self.commit(&body),
            (&http::Method::GET, "/hosts") => Ok(json_response(&self.visible_hosts())),
            (method, path) => match (method, path.strip_prefix("/objects/")) {
                (&http::Method::GET, Some(digest)) => Ok(self.get_object(digest)),
                (&http::Method::PUT, Some(digest)) => self.put_object(digest, body),
                _ => Ok(text_response(http::StatusCode::NOT_FOUND, "no such path")),
            },
        }
    }

    fn limit_response(&mut self) -> Response {
        self.counters.limited += 1;
        text_response(http::StatusCode::TOO_MANY_REQUESTS, "over the limit")
    }

    fn read_row(&mut self, body: &[u8]) -> Response {
        self.counters.reads += 1;
        if !self.read_limit.try_acquire(self.options.reads_s) {
            return self.limit_response();
        }
        match serde_json::from_slice::<Read>(body) {
            Ok(read) => json_response(&self.rows.get(&read.key)),
            Err(e) => text_response(http::StatusCode::BAD_REQUEST, &e.to_string()),
        }
    }

    fn scan_rows(&mut self, body: &[u8]) -> Response {
        self.counters.scans += 1;
        if !self.read_limit.try_acquire(self.options.reads_s) {
            return self.limit_response();
        }
        match serde_json::from_slice::<Scan>(body) {
            Ok(scan) => {
                let rows: Vec<_> = self
                    .rows
                    .values()
                    .filter(|r| r.key.starts_with(&scan.prefix) && r.key > scan.after)
                    .take(scan.limit.min(MAX_SCAN_ROWS))
                    .collect();
                json_response(&rows)
            }
            Err(e) => text_response(http::StatusCode::BAD_REQUEST, &e.to_string()),
        }
    }

    fn commit(&mut self, body: &[u8]) -> Result<Response, NoResponse> {
        self.counters.commits += 1;
        if !self.write_limit.try_acquire(self.options.writes_s) {
            return Ok(self.limit_response());
        }
        let commit = match serde_json::from_slice::<Commit>(body) {
            Ok(commit) => commit,
            Err(e) => return Ok(text_response(http::StatusCode::BAD_REQUEST, &e.to_string())),
        };
        let outcome = self.draw_outcome();
        if outcome == WriteOutcome::Dropped {
            self.counters.dropped += 1;
            return Err(NoResponse);
        }
        let response = self.apply(commit.writes);
        if outcome == WriteOutcome::Lost {
            self.counters.lost += 1;
            return Err(NoResponse);
        }
        Ok(response)
    }

    /// Selects the injected fault of the current write; the sequence of random selections is the same in every run.
    fn draw_outcome(&mut self) -> WriteOutcome {
        if self.options.lose_next > 0 {
            self.options.lose_next -= 1;
            return WriteOutcome::Lost;
        }
        if self.options.drop_next > 0 {
            self.options.drop_next -= 1;
            return WriteOutcome::Dropped;
        }
        let sample =
            peridotspread::coordination::homes::hash(&[&self.counters.commits.to_string()]);
        if (sample as f64) < self.options.lose_share * u64::MAX as f64 {
            return WriteOutcome::Lost;
        }
        WriteOutcome::Answered
    }

    fn apply(&mut self, writes: Vec<platform::Write>) -> Response {
        let conflict = writes.iter().find(|w| !self.is_satisfied(w));
        if let Some(write) = conflict {
            self.counters.conflicts += 1;
            let body = serde_json::json!({ "key": write.key });
            let mut response = json_response(&body);
            *response.status_mut() = http::StatusCode::CONFLICT;
            return response;
        }
        let mut versions = Vec::with_capacity(writes.len());
        for write in writes {
            // Versions are counted across the whole table, so that a row that is removed and inserted again never
            // reuses one.
            self.version += 1;
            self.counters.rows += 1;
            versions.push(self.version);
            match write.value {
                Some(value) => {
                    let row = platform::Row {
                        key: write.key.clone(),
                        version: self.version,
                        value,
                    };
                    self.rows.insert(write.key, row);
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        json_response(&versions)
    }

    /// Returns whether the row that `write` changes has the version that it expects.
    fn is_satisfied(&self, write: &platform::Write) -> bool {
        let version = self.rows.get(&write.key).map(|r| r.version);
        match write.expect {
            platform::Expect::Any => true,
            platform::Expect::Absent => version.is_none(),
            platform::Expect::Version(v) => version == Some(v),
        }
    }

    fn get_object(&mut self, digest: &str) -> Response {
        self.counters.objects += 1;
        if !self.read_limit.try_acquire(self.options.reads_s) {
            return self.limit_response();
        }
        match self.objects.get_mut(digest) {
            Some(object) => {
                object.reads += 1;
                self.counters.object_bytes += object.content.len() as u64;
                http::Response::new(Body::new(object.content.clone()))
            }
            None => text_response(http::StatusCode::NOT_FOUND, "no such object"),
        }
    }

    fn put_object(&mut self, digest: &str, content: Bytes) -> Result<Response, NoResponse> {
        self.counters.stores += 1;
        if !self.write_limit.try_acquire(self.options.writes_s) {
            return Ok(self.limit_response());
        }
        if hex::encode(sha2::Sha256::digest(&content)) != digest {
            let status = http::StatusCode::UNPROCESSABLE_ENTITY;
            return Ok(text_response(status, "the content has another digest"));
        }
        let object = self.objects.entry(digest.to_owned()).or_default();
        object.content = content;
        Ok(text_response(http::StatusCode::OK, ""))
    }
}

/// Returns `options` with the fields present in the JSON object `body` replaced.
fn merge_options(options: &Options, body: &[u8]) -> Result<Options, serde_json::Error> {
    let mut value = serde_json::to_value(options)?;
    let patch = serde_json::from_slice::<BTreeMap<String, serde_json::Value>>(body)?;
    for (name, new) in patch {
        value[name] = new;
    }
    serde_json::from_value(value)
}

fn json_response<M: Serialize>(message: &M) -> Response {
    let body = serde_json::to_vec(message).expect("every response is serializable");
    http::Response::builder()
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Body::from(body))
        .expect("the constant response head is valid")
}

fn text_response(status: http::StatusCode, text: &str) -> Response {
    let mut response = http::Response::new(Body::from(text.to_owned()));
    *response.status_mut() = status;
    response
}
