//! The relay: connects to targets for daemons that do not reach them, and sends their requests there.
//!
//! Each request has a stream of its own, by the protocol of [`crate::protocol::relay`]. A relay connects directly only,
//! so no request passes through two relays. It sends nothing to a target that it knows to be leaving, or that stated
//! that it accepts no requests from this daemon, and keeps what the target states in its responses.

use std::convert;
use std::sync;

use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use tokio::{sync as tokio_sync, time};

use crate::daemon::egress::EgressConnector;
use crate::daemon::entry::Entry;
use crate::daemon::{forward, memory};
use crate::protocol::relay::{RelayReply, RelayRequest, RelayResult};
use crate::protocol::{frame, headers};
use crate::state::{bundle, clock, settings};
use crate::transport::{body, pool};

/// How long the other daemon may take to send its request once the target is connected.
const REQUEST_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// Options of a [`Relay`].
pub struct Options {
    /// The limits of the daemon.
    pub limits: settings::Limits,
    /// The entry, which knows the targets and keeps the connections to them.
    pub entry: sync::Arc<Entry>,
    /// Knows whether this daemon reaches targets itself.
    pub egress: sync::Arc<EgressConnector>,
}

/// Relays requests of other daemons.
pub struct Relay {
    options: Options,
    permits: sync::Arc<tokio_sync::Semaphore>,
}

/// The target of one stream.
struct Link {
    connection: pool::Connection,
    target: String,
    service: String,
}

impl Relay {
    /// Creates a relay for as many requests at a time as the daemon serves of its own callers.
    pub fn new(options: Options) -> Relay {
        let permits = tokio_sync::Semaphore::new(options.limits.requests);
        Relay {
            options,
            permits: sync::Arc::new(permits),
        }
    }

    /// Waits until the requests in flight have ended, for at most the time of a drain, and accepts no others.
    pub async fn drain(&self) {
        let all = u32::try_from(self.options.limits.requests).unwrap_or(u32::MAX);
        let ended = self.permits.acquire_many(all);
        let timeout = self.options.limits.drain_ms;
        if time::timeout(timeout.span(), ended).await.is_err() {
            log::warn!("aborted relayed requests: the drain took longer than {timeout}");
        }
        self.permits.close();
    }

    /// Serves one stream of another daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks before the target is connected.
    pub async fn serve(
        self: &sync::Arc<Relay>,
        mut stream: Box<dyn pool::Stream>,
    ) -> Result<(), frame::Error> {
        let request: RelayRequest = frame::receive(&mut stream).await?;
        let Ok(_permit) = self.permits.try_acquire() else {
            return frame::send(&mut stream, &RelayReply::Busy).await;
        };
        let Some(_held) = self.options.entry.memory().admit_relayed() else {
            return frame::send(&mut stream, &RelayReply::Busy).await;
        };
        match self.connect(&request).await {
            Ok(link) => {
                frame::send(&mut stream, &RelayReply::Ready).await?;
                self.serve_request(stream, link).await;
                Ok(())
            }
            Err(reply) => frame::send(&mut stream, &reply).await,
        }
    }

    /// Connects to the target of a request, or returns the reply that states why not.
    async fn connect(&self, request: &RelayRequest) -> Result<Link, RelayReply> {
        if self.options.egress.is_cut_off() {
            return Err(RelayReply::CutOff);
        }
        let bundle = self.options.entry.bundle();
        let (service, target) = find(&bundle, &request.target).ok_or(RelayReply::Unlisted)?;
        if target.leaving || !self.options.entry.accepts(&target.name) {
            return Err(RelayReply::Unlisted);
        }
        let to = pool::Destination {
            name: &target.name,
            address: target.address,
            idempotent: request.idempotent,
            direct: true,
            request: None,
        };
        let acquired = self.options.entry.client().pool.acquire(to);
        let connection = match time::timeout(request.timeout.span(), acquired).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(_)) | Err(_) => return Err(RelayReply::ConnectFailed),
        };
        Ok(Link {
            connection,
            target: target.name.clone(),
            service: service.name.clone(),
        })
    }

    /// Serves the one request of a stream. If the other daemon closes the stream, the request is cancelled.
    async fn serve_request(self: &sync::Arc<Relay>, stream: Box<dyn pool::Stream>, link: Link) {
        let link = sync::Mutex::new(Some(link));
        let service = service::service_fn(|request| {
            // The connection serves one request, since it is not kept alive.
            let link = link.lock().ok().and_then(|mut link| link.take());
            async {
                let response = match link {
                    Some(link) => self.send(request, link).await,
                    None => failure(RelayResult::NotSent),
                };
                Ok::<_, convert::Infallible>(response)
            }
        });
        let limits = &self.options.limits;
        let mut builder = http1::Builder::new();
        builder
            .keep_alive(false)
            .auto_date_header(false)
            .timer(rt::TokioTimer::new())
            .header_read_timeout(REQUEST_TIMEOUT)
            .max_headers(limits.head_fields);
        if limits.memory_bytes.is_some() {
            // The daemon that sends the request adds fields to the head that its caller sent.
            builder.max_buf_size(2 * limits.head_bytes.max(pool::MIN_BUFFER_BYTES));
        }
        if let Err(e) = builder
            .serve_connection(rt::TokioIo::new(stream), service)
            .await
        {
            log::debug!("a relayed request failed: {e}");
        }
    }

    /// Sends a request to its target, and returns the response with a mark of what became of the request.
    async fn send(&self, request: Request<Incoming>, mut link: Link) -> Response<body::Body> {
        let client = self.options.entry.client();
        let name = client.dialect.request_name(request.headers()).to_owned();
        let id = client.dialect.correlation_id(request.headers()).to_owned();
        if !link.connection.admits(&id) {
            let to = pool::Destination {
                name: &link.target,
                address: link.connection.address(),
                idempotent: false,
                direct: true,
                request: Some(&id),
            };
            match client.pool.acquire(to).await {
                Ok(connection) => link.connection = connection,
                Err(_) => return failure(RelayResult::NotSent),
            }
        }
        let usage = link.connection.usage(&id);
        let request = request.map(|b| b.map_err(body::Error::from).boxed_unsync());
        let response = match link.connection.send(&id, request).await {
            Ok(response) => response,
            Err(e) => {
                log::info!(
                    request = name, target = link.target, result = e.to_string(),
                    connection = usage.connection, before = usage.before, repeated = usage.repeated;
                    "relayed"
                );
                return failure(match e.never_sent() {
                    true => RelayResult::NotSent,
                    false => RelayResult::Broken,
                });
            }
        };
        log::info!(
            request = name, target = link.target, result = response.status().as_str(),
            connection = usage.connection, before = usage.before, repeated = usage.repeated;
            "relayed"
        );
        let (mut head, body) = response.into_parts();
        let answered = client.dialect.correlation_id(&head.headers);
        let is_stray = !answered.is_empty() && answered != id;
        // Another target has the address, which the first one left.
        let is_misplaced = head.status == StatusCode::MISDIRECTED_REQUEST;
        if !is_stray && !is_misplaced {
            let statement = client.dialect.statement(&head);
            self.options
                .entry
                .record_statement(&link.service, &link.target, &statement);
        }
        // A second copy of a refusal would seem to refuse the next request, which the other daemon may send again. After a
        // stray response, each further one on the connection would arrive a request late.
        let keep_alive = match head.status.is_success() && !is_stray {
            true => pool::keep_alive_timeout(&head.headers),
            false => clock::Millis::ZERO,
        };
        head.headers = headers::forwarded_fields(&head.headers);
        RelayResult::Answered.write(&mut head.headers);
        let body = forward::ForwardedBody::new(forward::Options {
            body,
            connection: link.connection,
            keep_alive,
            pool: client.pool.clone(),
            stream: None,
            deadline: None,
            held: memory::Part::default(),
        });
        Response::from_parts(head, body.boxed_unsync())
    }
}

/// Returns a target with its service.
fn find<'a>(
    bundle: &'a bundle::Bundle,
    target: &str,
) -> Option<(&'a bundle::Service, &'a bundle::Target)> {
    let services = bundle.services.iter();
    let mut targets = services.flat_map(|s| s.targets.iter().map(move |t| (s, t)));
    targets.find(|(_, t)| t.name == target)
}

/// Returns the response to a request that got none from its target.
fn failure(result: RelayResult) -> Response<body::Body> {
    let mut response = Response::new(body::full(bytes::Bytes::new()));
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    result.write(response.headers_mut());
    response
}
