//! The entry: takes a caller's request, picks a cell and its home, and returns the answer.
//!
//! It alone answers callers. Non-idempotent work takes two steps: until the entry has sent [`peer::ToHome::Go`], no
//! home dispatches it, so a lost home proves that it did not run and another may be tried. After that the fleet never
//! tries it again. Idempotent work goes in one step.

use std::net;
use std::sync;

use futures_util::future;
use http::{Method, Request, Response, header};
use hyper::body::Incoming;
use tokio::sync as tasks;

use crate::coordination::homes;
use crate::coordination::member;
use crate::daemon::claims::{Claimed, Claims, Settled};
use crate::daemon::exchange;
use crate::daemon::exchange::Attempt;
use crate::daemon::home;
use crate::daemon::metrics;
use crate::daemon::spread;
use crate::protocol::refusal::{Cause, Refusal};
use crate::protocol::{dialect, headers, peer, problem};
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
    pub spreader: sync::Arc<spread::Spreader>,
    /// The daemon's metrics.
    pub metrics: sync::Arc<metrics::Metrics>,
    /// How callers are spoken to.
    pub dialect: sync::Arc<dyn dialect::Dialect>,
}

/// The entry of one daemon.
pub struct Entry {
    options: Options,
    homes: sync::Mutex<homes::Homes>,
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
    head: peer::Head,
    organisation: String,
    key: Option<String>,
    deadline: clock::Millis,
    /// Until when an answer is worth most to the caller.
    objective: clock::Millis,
    /// What has not been read of the body.
    rest: Option<Incoming>,
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
        let homes = homes::Homes::new(&options.settings.name, &options.settings.domain);
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
            name: self.options.dialect.name(request.headers()).to_owned(),
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
            Ok(mut response) => {
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
                let target = text(response.headers(), headers::TARGET).map(str::to_owned);
                response.headers_mut().remove(headers::TARGET);
                let named = seen.named(id);
                let target = target.unwrap_or_default();
                let dialect = &self.options.dialect;
                dialect.complete(response.headers_mut(), &named, &target);
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
                    cause = refusal.cause.as_str(), retry_after_ms = refusal.retry_after.map(|r| r.0),
                    took_ms = took.0;
                    "refused"
                );
                self.options.dialect.refuse(&refusal, &seen.named(id))
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
        seen.service.clone_from(&call.head.cell.service);
        seen.tier = call.head.tier;
        let service = rules.index.service(&rules.bundle, &call.head.cell.service);
        let service = service.ok_or(Refusal::not_run(Cause::NoRoute, None))?;
        let mut tried = Vec::new();
        // Why it is not proven that idempotent work did not run at a home tried before.
        let mut lost = None;
        let mut last = Refusal::not_run(Cause::NoHome, Some(RETRY_SOON));
        while tried.len() < MAX_HOMES {
            let Some(choice) = self.choose(service, &tried) else {
                break;
            };
            seen.home.clone_from(&choice.home);
            seen.tried += 1;
            call.head.peers = self.homes().peers(self.options.clock.now(), service);
            let attempt = self.attempt(&mut call, &choice).await;
            self.observe(&choice.home, &attempt);
            let mut refused = false;
            match attempt {
                Attempt::Answer { response, .. } => return Ok(response),
                Attempt::Refused { refusal, .. } if !another_home_may_serve(refusal) => {
                    return Err(refusal.despite(lost));
                }
                Attempt::Refused { refusal, .. } => {
                    refused = refusal.cause != Cause::Draining;
                    last = refusal;
                }
                Attempt::Lost { started, .. } if started && call.head.two_steps() => {
                    return Err(Refusal::unknown(Cause::HomeLost));
                }
                Attempt::Lost { started, .. } => {
                    log::debug!("the home {} is lost", choice.home);
                    lost = lost.or(started.then_some(Cause::HomeLost));
                }
            }
            tried.push(homes::Tried { choice, refused });
            if self.options.clock.now() >= call.deadline {
                return Err(Refusal::not_run(Cause::DeadlinePassed, None).despite(lost));
            }
        }
        Err(last.despite(lost))
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
        let limits = limits.under(rules.bundle.callers.as_ref());
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
        let service = rules.index.service(&rules.bundle, route.service_for(id.0 as u64));
        let service = service.ok_or(Refusal::not_run(Cause::NoRoute, None))?;
        if parts.method == Method::CONNECT || parts.headers.contains_key(header::UPGRADE) {
            return Err(bad);
        }
        if content_length(&parts.headers) > limits.body_bytes {
            return Err(Refusal::not_run(Cause::BodyTooLong, None));
        }
        let asked = self.options.dialect.deadline(&parts.headers);
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
        if let Some(left) = self.options.spreader.left(fingerprint) {
            return Err(Refusal::not_run(Cause::Quarantined, Some(left)));
        }
        let mut fields = headers::to_fields(&parts.headers);
        exchange::add_forwarding(&mut fields, from, host);
        if headers::takes_trailers(&parts.headers) {
            exchange::add_field(&mut fields, header::TE.as_str(), "trailers");
        }
        let idempotent = route.is_idempotent(&parts.method);
        let tier = route.tier.as_ref().and_then(|t| rules.bundle.rank(t));
        let head = peer::Head {
            request: id,
            stamp: self.options.recorder.stamp(),
            cell: ids::CellId::new(&service.name, ""),
            bundle: rules.bundle.version,
            tier: tier.unwrap_or(caller.tier),
            left,
            objective: route.objective_ms.unwrap_or(left).min(left),
            tries: route.tries.unwrap_or(u32::MAX),
            name: self.options.dialect.name(&parts.headers).to_owned(),
            idempotent,
            fingerprint,
            method: parts.method.as_str().to_owned(),
            uri,
            fields,
            body: prefix.first,
            more: prefix.rest.is_some(),
            trailers: headers::to_fields(&prefix.trailers),
            peers: Vec::new(),
        };
        Ok(Call {
            objective: until - left + head.objective,
            head,
            organisation: caller.organisation.to_owned(),
            key: key.filter(|_| !idempotent),
            deadline: until,
            rest: prefix.rest,
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

    fn choose(&self, service: &bundle::Service, tried: &[homes::Tried]) -> Option<homes::Choice> {
        let view = self.options.view.borrow().clone();
        self.homes()
            .choose(self.options.clock.now(), service, &view, tried)
    }

    fn homes(&self) -> sync::MutexGuard<'_, homes::Homes> {
        self.homes.lock().expect("no holder panicked")
    }

    /// Takes in how a request at a home went on, and what the home told of its cell.
    fn observe(&self, home: &str, attempt: &Attempt) {
        let now = self.options.clock.now();
        let mut homes = self.homes();
        match attempt {
            Attempt::Answer { summary, .. } | Attempt::Refused { summary, .. } => {
                homes.observe(now, home, homes::Observation::Answered);
                if let Some(summary) = summary {
                    homes.learn(now, summary);
                }
            }
            Attempt::Lost { observation, .. } => homes.observe(now, home, *observation),
        }
    }

    async fn attempt(&self, call: &mut Call, choice: &homes::Choice) -> Attempt {
        let view = self.options.view.borrow().clone();
        let Some(member) = view.members.get(&choice.home) else {
            return Attempt::unreached();
        };
        let opening = self.options.links.open(&choice.home, member.peer);
        let Ok(Some((recv, send))) = self.before(call.deadline, opening).await else {
            return Attempt::unreached();
        };
        call.head.cell = choice.cell.clone();
        let now = self.options.clock.now();
        call.head.left = call.deadline - now;
        call.head.objective = call.objective - now;
        call.head.stamp = self.options.recorder.stamp();
        let deadline = self.options.clock.instant(call.deadline);
        let mut stream = exchange::Stream {
            recv,
            send,
            deadline,
        };
        if let Err(lost) = stream.send_head(&call.head).await {
            return lost;
        }
        if !call.head.two_steps() {
            return stream.finish_one_step().await;
        }
        if let Err(ended) = stream.await_ready().await {
            return ended;
        }
        let Some(key) = call.key.clone() else {
            return self.go(stream, call).await;
        };
        self.claim_and_go(stream, call, &key).await
    }

    /// Allows the dispatch; from here on the work may run.
    async fn go(&self, mut stream: exchange::Stream, call: &mut Call) -> Attempt {
        if stream.send_go().await.is_err() {
            return Attempt::lost(true);
        }
        stream.finish(call.rest.take()).await
    }

    async fn claim_and_go(&self, stream: exchange::Stream, call: &mut Call, key: &str) -> Attempt {
        let scope = [call.organisation.as_str(), call.head.cell.service.as_str()];
        let claiming = self
            .options
            .claims
            .claim(&scope, key, call.head.fingerprint);
        let token = match self.before(call.deadline, claiming).await {
            Ok(Claimed::Fresh(token)) => token,
            Ok(Claimed::Ran(record)) => {
                let response = problem::recorded(&record);
                return Attempt::Answer {
                    response,
                    summary: None,
                };
            }
            Ok(Claimed::Unknown) => {
                return Attempt::refused(Refusal::unknown(Cause::AlreadyClaimed));
            }
            Ok(Claimed::KeyReused) => {
                return Attempt::refused(Refusal::not_run(Cause::KeyReused, None));
            }
            Ok(Claimed::Unavailable) | Err(_) => {
                return Attempt::refused(Refusal::not_run(
                    Cause::ClaimUnavailable,
                    Some(RETRY_SOON),
                ));
            }
        };
        let attempt = self.go(stream, call).await;
        match &attempt {
            Attempt::Answer { response, .. } => self
                .options
                .claims
                .settle(token, Settled::Ran(problem::record(response))),
            Attempt::Refused { refusal, .. }
                if refusal.outcome == crate::protocol::refusal::Outcome::NotRun =>
            {
                self.options.claims.settle(token, Settled::NotRun);
            }
            Attempt::Refused { .. } | Attempt::Lost { .. } => {}
        }
        attempt
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
    fn named(&self, id: ids::RequestId) -> dialect::Named<'_> {
        dialect::Named {
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
