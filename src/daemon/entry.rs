//! The entry: takes a caller's request, picks a cell and its home, sends it to a target and returns the answer.
//!
//! It alone answers callers, and it alone sends their requests to targets, with the slots that homes grant it. So it
//! knows what may have run: a home that is lost is replaced by another, whatever the request does.

use std::net;
use std::sync;

use bytes::Bytes;
use futures_util::future;
use http::{HeaderValue, Method, Request, Response, header};
use hyper::body::Incoming;
use tokio::sync as tasks;

use crate::coordination::homes;
use crate::coordination::member;
use crate::daemon::broadcast;
use crate::daemon::claim;
use crate::daemon::claims::Claims;
use crate::daemon::exchange;
use crate::daemon::exchange::HomeResult;
use crate::daemon::home;
use crate::daemon::metrics;
use crate::protocol::refusal::{Cause, Refusal};
use crate::protocol::{dialect, headers, peer};
use crate::state::{bundle, clock, ids, index, settings, timeline};
use crate::transport::{body, http as server};

/// The longest time that a caller may give a request.
const MAX_DEADLINE: clock::Millis = clock::Millis(600_000);
/// The homes that one request is offered to at most.
const MAX_HOMES: usize = 4;
/// When to come back while no bundle is in force or no home is reached.
const RETRY_SOON: clock::Millis = clock::Millis(1_000);
/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Opens streams to homes.
pub trait Links: Send + Sync {
    /// Opens a stream for one request to the daemon called `name` at `address`; absent if it can't be reached.
    fn open<'a>(
        &'a self,
        name: &'a str,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'a, Option<(home::Reader, home::Writer)>>;
}

/// What the entry works with.
pub struct Options {
    /// The daemon's settings.
    pub settings: settings::Settings,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// The daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
    /// The bundle in force.
    pub bundle: tasks::watch::Receiver<sync::Arc<bundle::Bundle>>,
    /// The live daemons.
    pub view: tasks::watch::Receiver<sync::Arc<member::View>>,
    /// The streams to homes.
    pub links: sync::Arc<dyn Links>,
    /// The claims of keyed work.
    pub claims: sync::Arc<dyn Claims>,
    /// The fingerprints in quarantine.
    pub broadcaster: sync::Arc<broadcast::Broadcaster>,
    /// The daemon's metrics.
    pub metrics: sync::Arc<metrics::Metrics>,
    /// What requests are sent to targets with.
    pub client: exchange::TargetClient,
}

/// The entry of one daemon.
pub struct Entry {
    options: Options,
    homes: sync::Mutex<homes::Selector>,
    rules: sync::Mutex<sync::Arc<Rules>>,
    places: tasks::Semaphore,
}

/// The bundle in force with its look-ups.
#[derive(Default)]
struct Rules {
    bundle: sync::Arc<bundle::Bundle>,
    index: index::Index,
}

/// One request of a caller, read so far as the decisions need it.
struct Call {
    /// What homes are asked; the cell, the times and the tries are filled in for each.
    ask: peer::SlotRequest,
    outgoing: exchange::Outgoing,
    organisation: String,
    key: Option<String>,
    /// Until when an answer is worth most to the caller.
    objective: clock::Millis,
}

impl server::Handler for sync::Arc<Entry> {
    fn handle(
        &self,
        from: net::SocketAddr,
        request: Request<Incoming>,
    ) -> future::BoxFuture<'static, Response<body::Body>> {
        let entry = self.clone();
        Box::pin(async move { entry.answer(from, request).await })
    }
}

impl Entry {
    /// Creates the entry of one daemon.
    pub fn new(options: Options) -> Entry {
        let places = tasks::Semaphore::new(options.settings.limits.requests);
        let homes = homes::Selector::new(&options.settings.name, &options.settings.domain);
        Entry {
            options,
            homes: sync::Mutex::new(homes),
            rules: sync::Mutex::default(),
            places,
        }
    }

    async fn answer(
        self: sync::Arc<Entry>,
        from: net::SocketAddr,
        request: Request<Incoming>,
    ) -> Response<body::Body> {
        let id = ids::RequestId::random();
        let began = self.options.clock.now();
        let mut seen = Seen {
            name: self
                .options
                .client
                .dialect
                .request_name(request.headers())
                .to_owned(),
            ..Seen::default()
        };
        let answered = match self.places.try_acquire() {
            Ok(_place) => self.serve(id, from, request, &mut seen).await,
            Err(_) => Err(Refusal::not_run(Cause::QueueFull, Some(RETRY_SOON))),
        };
        let took = self.options.clock.now() - began;
        let subject = timeline::Subject {
            service: Some(&seen.service),
            target: None,
            request: Some(id),
        };
        match answered {
            Ok(response) => {
                self.options.recorder.record(
                    timeline::Kind::Answered,
                    subject,
                    response.status().as_str(),
                );
                self.options
                    .metrics
                    .request(&seen.service, seen.tier, "answered", took);
                log::info!(
                    request = seen.name, id = id.to_string(), service = seen.service, home = seen.home,
                    tried = seen.tried, bundle = seen.version, status = response.status().as_u16(),
                    took_ms = took.0;
                    "answered"
                );
                response
            }
            Err(refusal) => {
                let kind = match refusal.outcome {
                    crate::protocol::refusal::Outcome::NotRun => timeline::Kind::Refused,
                    crate::protocol::refusal::Outcome::Unknown => timeline::Kind::Unknown,
                };
                self.options
                    .recorder
                    .record(kind, subject, refusal.cause.as_str());
                self.options.metrics.request(
                    &seen.service,
                    seen.tier,
                    refusal.outcome.as_str(),
                    took,
                );
                self.options
                    .metrics
                    .refusal(refusal.cause.as_str(), refusal.outcome.as_str());
                log::info!(
                    request = seen.name, id = id.to_string(), service = seen.service, home = seen.home,
                    tried = seen.tried, bundle = seen.version, outcome = refusal.outcome.as_str(),
                    cause = refusal.cause.as_str(), retry_after_ms = refusal.retry_after.unwrap_or_default().0,
                    took_ms = took.0;
                    "refused"
                );
                self.options
                    .client
                    .dialect
                    .refusal_response(&refusal, &seen.named(id))
            }
        }
    }

    async fn serve(
        &self,
        id: ids::RequestId,
        from: net::SocketAddr,
        request: Request<Incoming>,
        seen: &mut Seen,
    ) -> Result<Response<body::Body>, Refusal> {
        let rules = self.rules();
        seen.version = rules.bundle.version;
        let mut call = self.read(&rules, id, from, request).await?;
        seen.service.clone_from(&call.ask.cell.service);
        seen.tier = call.ask.tier;
        let mut tried = Vec::new();
        let mut last = Refusal::not_run(Cause::NoHome, Some(RETRY_SOON));
        while tried.len() < MAX_HOMES {
            // Targets come and go while a request waits.
            let rules = self.rules();
            let service = rules.index.service(&rules.bundle, &call.ask.cell.service);
            let service = service.ok_or(Refusal::not_run(Cause::NoRoute, None))?;
            let Some(choice) = self.choose(service, &tried) else {
                break;
            };
            seen.home.clone_from(&choice.home);
            seen.tried += 1;
            call.ask.peers = self.homes().summaries(self.options.clock.now(), service);
            let mut refused = false;
            match self.attempt(&mut call, &choice, service).await {
                HomeResult::Answer {
                    mut response,
                    target,
                } => {
                    self.observe(&choice.home, homes::Observation::Answered);
                    let dialect = &self.options.client.dialect;
                    dialect.complete_response(response.headers_mut(), &seen.named(id), &target);
                    return Ok(response);
                }
                HomeResult::Refused(refusal) => {
                    self.observe(&choice.home, homes::Observation::Answered);
                    if !another_home_may_serve(refusal) || call.outgoing.rest_is_sent() {
                        return Err(refusal);
                    }
                    refused = refusal.cause != Cause::Draining;
                    last = refusal;
                }
                HomeResult::Lost(observation) => {
                    self.observe(&choice.home, observation);
                    log::info!(request = seen.name, id = id.to_string(), home = choice.home; "home lost");
                }
            }
            tried.push(homes::FailedAttempt { choice, refused });
            if self.options.clock.now() >= call.outgoing.deadline {
                let refusal = Refusal::not_run(Cause::DeadlinePassed, None);
                return Err(refusal.after_lost_try(call.outgoing.lost));
            }
        }
        Err(last.after_lost_try(call.outgoing.lost))
    }

    /// Returns the bundle in force with its look-ups, which are prepared with the first request after an adoption.
    fn rules(&self) -> sync::Arc<Rules> {
        let bundle = self.options.bundle.borrow().clone();
        let mut rules = self.rules.lock().expect("no holder panicked");
        if !sync::Arc::ptr_eq(&rules.bundle, &bundle) {
            let index = index::Index::new(&bundle);
            *rules = sync::Arc::new(Rules { bundle, index });
        }
        rules.clone()
    }

    async fn read(
        &self,
        rules: &Rules,
        id: ids::RequestId,
        from: net::SocketAddr,
        request: Request<Incoming>,
    ) -> Result<Call, Refusal> {
        let bad = Refusal::not_run(Cause::BadRequest, None);
        let limits = &self.options.settings.limits;
        let limits = limits.with_caller_limits(rules.bundle.callers.as_ref());
        if rules.bundle.version == 0 {
            return Err(Refusal::not_run(Cause::NoBundle, Some(RETRY_SOON)));
        }
        let (parts, incoming) = request.into_parts();
        let caller = rules.index.caller(&rules.bundle, bearer(&parts.headers));
        let caller = caller.ok_or(Refusal::not_run(Cause::UnknownCaller, None))?;
        let host = parts
            .uri
            .host()
            .or_else(|| text(&parts.headers, header::HOST.as_str()))
            .unwrap_or_default();
        let route = rules.index.route(&rules.bundle, host, parts.uri.path());
        let route = route.ok_or(Refusal::not_run(Cause::NoRoute, None))?;
        let service = rules
            .index
            .service(&rules.bundle, route.service_for(id.0 as u64));
        let service = service.ok_or(Refusal::not_run(Cause::NoRoute, None))?;
        if parts.method == Method::CONNECT || parts.headers.contains_key(header::UPGRADE) {
            return Err(bad);
        }
        if content_length(&parts.headers) > limits.body_bytes {
            return Err(Refusal::not_run(Cause::BodyTooLong, None));
        }
        let asked = self.options.client.dialect.deadline(&parts.headers);
        let left = asked.map_err(|_| bad)?.unwrap_or(service.deadline_ms);
        let timeout = route.timeout_ms.unwrap_or(MAX_DEADLINE);
        let left = left.min(timeout).min(MAX_DEADLINE);
        let until = self.options.clock.now() + left;
        let key = text(&parts.headers, headers::IDEMPOTENCY_KEY).map(str::to_owned);
        if key
            .as_ref()
            .is_some_and(|k| k.is_empty() || k.len() > MAX_KEY_BYTES)
        {
            return Err(bad);
        }
        let prefix = exchange::read_prefix(incoming, limits.replay_bytes);
        let prefix = self.before(until, prefix).await?.map_err(|_| bad)?;
        let uri = parts
            .uri
            .path_and_query()
            .map_or("/", |p| p.as_str())
            .to_owned();
        let fingerprint = exchange::fingerprint(
            caller.organisation,
            &parts.method,
            &uri,
            key.as_deref(),
            &prefix.first,
        );
        if let Some(left) = self.options.broadcaster.left(fingerprint) {
            return Err(Refusal::not_run(Cause::Quarantined, Some(left)));
        }
        let mut fields = headers::forwarded_fields(&parts.headers);
        exchange::add_forwarding(&mut fields, from, host);
        if headers::accepts_trailers(&parts.headers) {
            fields.append(header::TE, HeaderValue::from_static("trailers"));
        }
        let idempotent = route.is_idempotent(&parts.method);
        let tier = route.tier.as_ref().and_then(|t| rules.bundle.tier_rank(t));
        let name = self
            .options
            .client
            .dialect
            .request_name(&parts.headers)
            .to_owned();
        let objective = route.objective_ms.unwrap_or(left).min(left);
        let more = prefix.rest.is_some();
        let ask = peer::SlotRequest {
            request: id,
            name: name.clone(),
            stamp: self.options.recorder.stamp(),
            cell: ids::CellId::new(&service.name, ""),
            tier: tier.unwrap_or(caller.tier),
            left,
            objective,
            tries: route.tries.unwrap_or(u32::MAX),
            used: 0,
            idempotent,
            replayable: !more,
            fingerprint,
            origin: ids::DomainId::from_name(&self.options.settings.domain),
            peers: Vec::new(),
        };
        let outgoing = exchange::Outgoing {
            id,
            name,
            method: parts.method,
            uri: uri.parse().map_err(|_| bad)?,
            fields,
            first: Bytes::from(prefix.first),
            rest: prefix.rest,
            more,
            trailers: prefix.trailers,
            idempotent,
            deadline: until,
            tries: 0,
            lost: None,
        };
        Ok(Call {
            ask,
            outgoing,
            organisation: caller.organisation.to_owned(),
            key: key.filter(|_| !idempotent),
            objective: until - left + objective,
        })
    }

    /// Waits for `work` until the time `until`.
    async fn before<F: Future>(&self, until: clock::Millis, work: F) -> Result<F::Output, Refusal> {
        let at = self.options.clock.instant(until);
        let passed = Refusal::not_run(Cause::DeadlinePassed, None);
        tokio::time::timeout_at(at.into(), work)
            .await
            .map_err(|_| passed)
    }

    fn choose(
        &self,
        service: &bundle::Service,
        tried: &[homes::FailedAttempt],
    ) -> Option<homes::Choice> {
        let view = self.options.view.borrow().clone();
        self.homes()
            .select(self.options.clock.now(), service, &view, tried)
    }

    fn homes(&self) -> sync::MutexGuard<'_, homes::Selector> {
        self.homes.lock().expect("no holder panicked")
    }

    /// Takes in how a request at a home went on.
    fn observe(&self, home: &str, observation: homes::Observation) {
        let now = self.options.clock.now();
        self.homes().observe(now, home, observation);
    }

    async fn attempt(
        &self,
        call: &mut Call,
        choice: &homes::Choice,
        service: &bundle::Service,
    ) -> HomeResult {
        let lost = HomeResult::Lost(homes::Observation::Lost);
        let view = self.options.view.borrow().clone();
        let Some(member) = view.members.get(&choice.home) else {
            return lost;
        };
        let opening = self.options.links.open(&choice.home, member.peer);
        let Ok(Some((recv, send))) = self.before(call.outgoing.deadline, opening).await else {
            return lost;
        };
        let now = self.options.clock.now();
        let ask = peer::SlotRequest {
            cell: choice.cell.clone(),
            left: call.outgoing.deadline - now,
            objective: call.objective - now,
            used: call.outgoing.tries,
            stamp: self.options.recorder.stamp(),
            ..call.ask.clone()
        };
        let stream = exchange::HomeStream { recv, send };
        let learn = |summary: &peer::CellSummary| {
            self.homes()
                .record_summary(self.options.clock.now(), summary);
        };
        let claim = claim::Claim {
            claims: self.options.claims.as_ref(),
            scope: [&call.organisation, &service.name],
            key: call.key.as_deref(),
            fingerprint: call.ask.fingerprint,
        };
        let exchange = exchange::Exchange {
            client: &self.options.client,
            service,
            learn: &learn,
            claim: &claim,
        };
        exchange.make(stream, ask, &mut call.outgoing).await
    }
}

/// What the records of a request name.
#[derive(Default)]
struct Seen {
    /// The caller's own name for the request.
    name: String,
    service: String,
    tier: u8,
    /// The version of the bundle that decided.
    version: u64,
    /// The home that was asked last.
    home: String,
    /// The homes that were asked.
    tried: usize,
}

impl Seen {
    fn named(&self, id: ids::RequestId) -> dialect::RequestIdentity<'_> {
        dialect::RequestIdentity {
            id,
            name: &self.name,
        }
    }
}

/// Returns whether a refusal leaves it open that another cell serves the request.
fn another_home_may_serve(refusal: Refusal) -> bool {
    let elsewhere = matches!(
        refusal.cause,
        Cause::NoTarget
            | Cause::NoHome
            | Cause::Draining
            | Cause::QueueFull
            | Cause::Displaced
            | Cause::DeadlineTooShort
            | Cause::TargetShed
            | Cause::ConnectFailed
    );
    elsewhere && refusal.outcome == crate::protocol::refusal::Outcome::NotRun
}

fn text<'a>(map: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
}

fn bearer(map: &http::HeaderMap) -> Option<&str> {
    text(map, header::AUTHORIZATION.as_str())?
        .strip_prefix("Bearer ")
        .map(str::trim)
}

/// Returns the length that the head names for the body; 0 where it names none that can be read.
fn content_length(map: &http::HeaderMap) -> u64 {
    let length = text(map, header::CONTENT_LENGTH.as_str()).and_then(|v| v.parse().ok());
    length.unwrap_or_default()
}
