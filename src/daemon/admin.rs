//! The admin interface: versioned HTTP for operators and other programs.
//!
//! `GET /v1/ready` and `GET /metrics` are open; all else needs the operators' bearer token, and is recorded in the time
//! line. The command-line tool shows what comes from here.

use std::net;
use std::sync;

use bytes::Bytes;
use futures_util::future;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::sync as tasks;

use crate::coordination::member;
use crate::daemon::{home, metrics};
use crate::protocol::peer;
use crate::state::{bundle, ids, index, timeline};
use crate::transport::{body, http as server};

/// What the admin interface shows and changes.
pub struct Admin {
    /// The daemon's name.
    pub name: String,
    /// The daemon's failure domain.
    pub domain: String,
    /// Which run of the daemon.
    pub incarnation: ids::Incarnation,
    /// The SHA-256 digest of the operators' token, in hexadecimal.
    pub token: String,
    /// The bundle in force.
    pub bundle: tasks::watch::Receiver<sync::Arc<bundle::Bundle>>,
    /// The live daemons.
    pub view: tasks::watch::Receiver<sync::Arc<member::View>>,
    /// The cells here.
    pub home: sync::Arc<home::Home>,
    /// The daemon's metrics.
    pub metrics: sync::Arc<metrics::Metrics>,
    /// The daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
    /// Becomes true when the daemon shuts down.
    pub draining: tasks::watch::Sender<bool>,
}

/// What `GET /v1/status` tells.
#[derive(Debug, Serialize)]
pub struct Status {
    /// The daemon's name.
    pub daemon: String,
    /// The daemon's failure domain.
    pub domain: String,
    /// Which run of the daemon.
    pub incarnation: ids::Incarnation,
    /// The version of the bundle in force; 0 for none.
    pub version: u64,
    /// Whether the daemon shuts down.
    pub draining: bool,
    /// The daemons that this one knows of, itself among them.
    pub members: Vec<Seen>,
    /// The cells that this daemon is home of.
    pub cells: Vec<peer::Summary>,
}

/// One daemon as another sees it.
#[derive(Debug, Serialize)]
pub struct Seen {
    /// The daemon's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its address for peers.
    pub peer: net::SocketAddr,
    /// `alive`, `suspect` or `leaving`.
    pub liveness: &'static str,
    /// The version that it last told of.
    pub version: u64,
}

impl server::Handler for sync::Arc<Admin> {
    fn handle(
        &self,
        from: net::SocketAddr,
        request: Request<Incoming>,
    ) -> future::BoxFuture<'static, Response<body::Body>> {
        let admin = self.clone();
        Box::pin(async move { admin.answer(from, &request).await })
    }
}

impl Admin {
    async fn answer(
        &self,
        from: net::SocketAddr,
        request: &Request<Incoming>,
    ) -> Response<body::Body> {
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::GET, "/v1/ready") => return self.ready(),
            (&Method::GET, "/metrics") => {
                return text("text/plain; version=0.0.4", self.metrics.text());
            }
            _ => {}
        }
        if !self.knows(request) {
            return plain(
                StatusCode::UNAUTHORIZED,
                "the operators' token is missing or wrong\n",
            );
        }
        let detail = format!("{} {path} from {from}", request.method());
        self.recorder
            .record(timeline::Kind::Admin, timeline::Subject::default(), &detail);
        match (request.method(), path) {
            (&Method::GET, "/v1/status") => json(&self.status().await),
            (&Method::GET, "/v1/timeline") => self.timeline(),
            (&Method::POST, "/v1/drain") => self.drain(),
            _ => plain(
                StatusCode::NOT_FOUND,
                "no such page; see docs/reference/admin.md\n",
            ),
        }
    }

    fn knows(&self, request: &Request<Incoming>) -> bool {
        let shown = request
            .headers()
            .get(header::AUTHORIZATION)
            .and_then(|v| v.to_str().ok());
        let token = shown.and_then(|v| v.strip_prefix("Bearer "));
        token.is_some_and(|t| index::digest(t) == self.token)
    }

    fn ready(&self) -> Response<body::Body> {
        if *self.draining.borrow() {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
        }
        if self.bundle.borrow().version == 0 {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "no bundle in force\n");
        }
        plain(StatusCode::OK, "ready\n")
    }

    async fn status(&self) -> Status {
        let view = self.view.borrow().clone();
        let version = self.bundle.borrow().version;
        let draining = *self.draining.borrow();
        let members = view.members.iter().map(|(name, m)| Seen {
            name: name.clone(),
            domain: m.domain.clone(),
            peer: m.peer,
            liveness: m.liveness.as_str(),
            version: m.version,
        });
        Status {
            daemon: self.name.clone(),
            domain: self.domain.clone(),
            incarnation: self.incarnation,
            version,
            draining,
            members: members.collect(),
            cells: self.home.summaries().await,
        }
    }

    fn timeline(&self) -> Response<body::Body> {
        let lines = self
            .recorder
            .events()
            .iter()
            .filter_map(|e| serde_json::to_string(e).ok())
            .collect::<Vec<_>>();
        text("application/jsonl", lines.join("\n") + "\n")
    }

    fn drain(&self) -> Response<body::Body> {
        self.draining.send_replace(true);
        plain(StatusCode::ACCEPTED, "draining\n")
    }
}

fn plain(status: StatusCode, message: &'static str) -> Response<body::Body> {
    let mut response = Response::new(body::whole(Bytes::from_static(message.as_bytes())));
    *response.status_mut() = status;
    response
}

fn text(media: &'static str, content: String) -> Response<body::Body> {
    let mut response = Response::new(body::whole(Bytes::from(content)));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(media));
    response
}

fn json<T: Serialize>(value: &T) -> Response<body::Body> {
    match serde_json::to_string(value) {
        Ok(content) => text("application/json", content),
        Err(e) => {
            log::error!("an answer can't be written: {e}");
            plain(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the answer can't be written\n",
            )
        }
    }
}
