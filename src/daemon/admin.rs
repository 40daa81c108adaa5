//! The admin interface: versioned HTTP for operators and other programs.
//!
//! `GET /v1/ready` and `GET /metrics` need no credentials. All other requests need the operators' bearer token, and are
//! recorded in the time line. The command-line tool is one of its clients.

use std::collections::BTreeSet;
use std::net;
use std::sync;

use bytes::Bytes;
use futures_util::future;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::sync as tokio_sync;

use crate::coordination::{homes, member};
use crate::daemon::{home, metrics};
use crate::protocol::{admin as protocol, peer};
use crate::state::{bundle, ids, index, timeline};
use crate::transport::{body, http as server};

/// Serves the admin interface of one daemon.
pub struct Admin {
    /// The daemon's name.
    pub name: String,
    /// The daemon's failure domain.
    pub domain: String,
    /// Which run of the daemon this is.
    pub incarnation: ids::Incarnation,
    /// The SHA-256 digest of the operators' token, in hexadecimal.
    pub token: String,
    /// The bundle in force.
    pub bundle: tokio_sync::watch::Receiver<sync::Arc<bundle::Bundle>>,
    /// The live daemons.
    pub view: tokio_sync::watch::Receiver<sync::Arc<member::View>>,
    /// The cells of which this daemon is the home.
    pub home: sync::Arc<home::Home>,
    /// The daemon's metrics.
    pub metrics: sync::Arc<metrics::Metrics>,
    /// Records events in the daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
    /// Sends control messages to other daemons.
    pub sender: sync::Arc<dyn peer::ControlSender>,
    /// Becomes true when the daemon starts to drain.
    pub draining: tokio_sync::watch::Sender<bool>,
}

impl server::Handler for sync::Arc<Admin> {
    fn handle(
        &self,
        from: net::SocketAddr,
        request: Request<Incoming>,
    ) -> future::BoxFuture<'static, Response<body::Body>> {
        let admin = self.clone();
        Box::pin(async move { admin.respond(from, &request).await })
    }
}

/// Serves the readiness of the daemon to load balancers, at any path.
pub struct Readiness(pub sync::Arc<Admin>);

impl server::Handler for Readiness {
    fn handle(
        &self,
        _from: net::SocketAddr,
        _request: Request<Incoming>,
    ) -> future::BoxFuture<'static, Response<body::Body>> {
        let response = self.0.ready();
        Box::pin(async move { response })
    }
}

impl Admin {
    async fn respond(
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
        if !self.is_authorized(request) {
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
            (&Method::GET, "/v1/targets") => json(&self.targets().await),
            (&Method::GET, "/v1/timeline") => self.timeline(),
            (&Method::POST, "/v1/drain") => self.drain(),
            _ => plain(
                StatusCode::NOT_FOUND,
                "no such page; see docs/reference/admin.md\n",
            ),
        }
    }

    fn is_authorized(&self, request: &Request<Incoming>) -> bool {
        let credentials = request
            .headers()
            .get(header::AUTHORIZATION)
            .and_then(|v| v.to_str().ok());
        let token = credentials.and_then(|v| v.strip_prefix("Bearer "));
        token.is_some_and(|t| index::token_digest(t) == self.token)
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

    async fn status(&self) -> protocol::Status {
        let view = self.view.borrow().clone();
        let version = self.bundle.borrow().version;
        let draining = *self.draining.borrow();
        let members = view.members.iter().map(|(name, m)| protocol::Member {
            name: name.clone(),
            domain: m.domain.clone(),
            peer: m.peer,
            liveness: m.liveness.as_str().to_owned(),
            version: m.version,
        });
        protocol::Status {
            daemon: self.name.clone(),
            domain: self.domain.clone(),
            incarnation: self.incarnation,
            version,
            draining,
            members: members.collect(),
            cells: self.home.summaries().await,
        }
    }

    /// Returns the target reports of all homes in the fleet, and the names of those that did not reply.
    async fn targets(&self) -> protocol::Targets {
        let bundle = self.bundle.borrow().clone();
        let view = self.view.borrow().clone();
        let cells = bundle.services.iter().flat_map(|s| s.cells().into_keys());
        let homes: BTreeSet<_> = cells
            .filter_map(|c| homes::rank(&c, &view).first().map(|h| (*h).to_owned()))
            .collect();
        let requests = homes.iter().map(|home| self.target_reports(home));
        let mut found = protocol::Targets {
            targets: Vec::new(),
            silent: Vec::new(),
        };
        for (home, reports) in homes.iter().zip(future::join_all(requests).await) {
            match reports {
                Some(reports) => found.targets.extend(reports),
                None => found.silent.push(home.clone()),
            }
        }
        found
            .targets
            .sort_by(|a, b| (&a.cell, &a.name).cmp(&(&b.cell, &b.name)));
        found
    }

    async fn target_reports(&self, home: &str) -> Option<Vec<peer::TargetReport>> {
        if home == self.name {
            return Some(self.home.target_reports().await);
        }
        match self
            .sender
            .send(home, peer::ControlMessage::GetTargets)
            .await
        {
            Ok(peer::ControlMessage::Targets(reports)) => Some(reports),
            Ok(_) => None,
            Err(e) => {
                log::debug!("{e}");
                None
            }
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
    let mut response = Response::new(body::full(Bytes::from_static(message.as_bytes())));
    *response.status_mut() = status;
    response
}

fn text(media: &'static str, content: String) -> Response<body::Body> {
    let mut response = Response::new(body::full(Bytes::from(content)));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(media));
    response
}

fn json<T: Serialize>(value: &T) -> Response<body::Body> {
    match serde_json::to_string(value) {
        Ok(content) => text("application/json", content),
        Err(e) => {
            log::error!("failed to encode a response: {e}");
            plain(
                StatusCode::INTERNAL_SERVER_ERROR,
                "failed to encode the response\n",
            )
        }
    }
}
