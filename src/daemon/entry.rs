//! The entry of the request path: receives a caller's request, selects a cell and its home, sends the request to a
//! target and returns the response.
//!
//! Only the entry sends requests to targets, and only with the slots that homes grant it. It therefore knows which
//! requests may have run, and a lost home can be replaced by another even for a request that must not run twice.

use std::net;
use std::sync;

use bytes::Bytes;
use futures_util::future;
use http::{HeaderValue, Method, Request, Response, header, request};
use hyper::body::Incoming;
use tokio::sync as tokio_sync;

use crate::coordination::homes;
use crate::coordination::member;
use crate::coordination::statements;
use crate::daemon::broadcast;
use crate::daemon::claim;
use crate::daemon::claims::Claims;
use crate::daemon::exchange;
use crate::daemon::exchange::HomeResult;
use crate::daemon::freshness;
use crate::daemon::home;
use crate::daemon::memory;
use crate::daemon::metrics;
use crate::daemon::quota;
use crate::daemon::shutdown;
use crate::protocol::refusal::{Cause, Refusal};
use crate::protocol::{dialect, headers, peer};
use crate::state::{bundle, clock, ids, index, settings, timeline};
use crate::transport::{body, http as server};

/// The longest timeout of a request.
const MAX_TIMEOUT: clock::Millis = clock::Millis(600_000);
/// The most homes that one request is sent to.
const MAX_HOMES: usize = 4;
/// The `Retry-After` of refusals while no bundle is in force, no home is reachable or the entry is full.
const RETRY_AFTER: clock::Millis = clock::Millis(1_000);
/// The `Retry-After` of requests that newer rules may have a route or a credential for: the time in which a daemon that
/// is behind catches up. Other daemons may have them already.
const LAPSED_RETRY_AFTER: clock::Millis = clock::Millis(500);
/// How far a head may exceed its limit where the bundle refuses unknown callers, in bytes. The server would refuse a
/// long credential as a long head, whereas its caller is to learn that the credential is not known.
pub const LONG_CREDENTIAL_BYTES: usize = 68 * 1024;
/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Opens streams to homes.
pub trait Links: Send + Sync {
    /// Opens a stream for one request to the daemon `name` at `address`; returns `None` if it is unreachable.
    fn open<'a>(
        &'a self,
        name: &'a str,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'a, Option<(home::RecvHalf, home::SendHalf)>>;
}

/// Options of an [`Entry`].
pub struct Options {
    /// The daemon's settings.
    pub settings: settings::Settings,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// Records events in the daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
    /// The bundle in force.
    pub bundle: tokio_sync::watch::Receiver<sync::Arc<bundle::Bundle>>,
    /// How long ago the platform confirmed the rules.
    pub freshness: freshness::Freshness,
    /// The live daemons.
    pub view: tokio_sync::watch::Receiver<sync::Arc<member::View>>,
    /// Opens streams to homes.
    pub links: sync::Arc<dyn Links>,
    /// Claims idempotency keys.
    pub claims: sync::Arc<dyn Claims>,
    /// Looks up quarantined fingerprints.
    pub broadcaster: sync::Arc<broadcast::Broadcaster>,
    /// Refuses the requests of organisations that are over their quotas.
    pub quotas: sync::Arc<quota::Quotas>,
    /// The daemon's metrics.
    pub metrics: sync::Arc<metrics::Metrics>,
    /// Sends requests to targets.
    pub client: exchange::TargetClient,
    /// The memory of this daemon.
    pub memory: sync::Arc<memory::Memory>,
    /// The shutdown of this daemon.
    pub shutdown: sync::Arc<shutdown::Shutdown>,
}

/// Serves the requests of callers.
pub struct Entry {
    options: Options,
    selector: sync::Mutex<homes::Selector>,
    known_targets: sync::Mutex<statements::KnownTargets>,
    indexed: sync::Mutex<sync::Arc<IndexedBundle>>,
    permits: tokio_sync::Semaphore,
}

/// The bundle in force and its index.
#[derive(Default)]
struct IndexedBundle {
    bundle: sync::Arc<bundle::Bundle>,
    index: index::Index,
}

/// A caller's request with all that the selection of a cell and a target needs.
struct ParsedRequest {
    /// The message to homes; the cell, the times and the number of tries are set for each home.
    slot_request: peer::SlotRequest,
    outgoing: exchange::Outgoing,
    organisation: String,
    /// The digest of the credential that the request is served for, if it needs one.
    credential: Option<String>,
    key: Option<String>,
    /// The prefix of the route.
    route: String,
    /// When the route's objective for the response time is missed.
    objective: clock::Millis,
    displacement: memory::Displacement,
}

impl ParsedRequest {
    /// Returns whether the bundle in force no longer has the credential that the request is served for.
    fn is_withdrawn(&self, current: &IndexedBundle) -> bool {
        let IndexedBundle { bundle, index } = current;
        self.credential.as_ref().is_some_and(|digest| {
            bundle.unknown == bundle::Unknown::Refuse
                && !index.is_credential_of(bundle, digest, &self.organisation)
        })
    }
}

impl server::Handler for sync::Arc<Entry> {
    fn handle(
        &self,
        from: net::SocketAddr,
        request: Request<Incoming>,
    ) -> future::BoxFuture<'static, Response<body::Body>> {
        let entry = self.clone();
        Box::pin(async move { entry.respond(from, request).await })
    }
}

impl Entry {
    /// Creates an entry that serves as many requests at a time as the settings allow.
    pub fn new(options: Options) -> Entry {
        let permits = tokio_sync::Semaphore::new(options.settings.limits.requests);
        let selector = homes::Selector::new(&options.settings.name, &options.settings.domain);
        Entry {
            options,
            selector: sync::Mutex::new(selector),
            known_targets: sync::Mutex::default(),
            indexed: sync::Mutex::default(),
            permits,
        }
    }

    /// Serves a request, and logs, counts and records how it ended.
    async fn respond(
        self: sync::Arc<Entry>,
        from: net::SocketAddr,
        request: Request<Incoming>,
    ) -> Response<body::Body> {
        // Reading the body of a caller that waits for `100 Continue` would ask for it.
        let discards =
            self.options.memory.is_limited() && !request.headers().contains_key(header::EXPECT);
        let request = request.map(|incoming| body::Upload::new(incoming, discards));
        let id = ids::RequestId::random();
        let began = self.options.clock.now();
        let mut record = RequestRecord {
            name: self
                .options
                .client
                .dialect
                .request_name(request.headers())
                .to_owned(),
            ..RequestRecord::default()
        };
        let served = match self.permits.try_acquire() {
            Ok(_permit) => self.serve(id, from, request, &mut record).await,
            Err(_) => Err(self.refusal_when_full(request)),
        };
        let took = self.options.clock.now() - began;
        let subject = timeline::Subject {
            service: Some(&record.service),
            target: None,
            request: Some(id),
        };
        match served {
            Ok(response) => {
                self.options.recorder.record(
                    timeline::Kind::Answered,
                    subject,
                    response.status().as_str(),
                );
                self.options
                    .metrics
                    .record_request(&record.service, record.tier, "answered", took);
                log::info!(
                    request = record.name, id = id.to_string(), route = record.route, service = record.service,
                    home = record.home, tried = record.homes_tried, bundle = record.version, rules_age_ms = record.rules_age.0,
                    status = response.status().as_u16(), took_ms = took.0;
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
                self.options.metrics.record_request(
                    &record.service,
                    record.tier,
                    refusal.outcome.as_str(),
                    took,
                );
                self.options
                    .metrics
                    .record_refusal(refusal.cause.as_str(), refusal.outcome.as_str());
                log::info!(
                    request = record.name, id = id.to_string(), route = record.route, service = record.service,
                    home = record.home, tried = record.homes_tried, bundle = record.version, rules_age_ms = record.rules_age.0,
                    outcome = refusal.outcome.as_str(), cause = refusal.cause.as_str(), retry_after_ms = refusal.retry_after.unwrap_or_default().0,
                    took_ms = took.0;
                    "refused"
                );
                self.options
                    .client
                    .dialect
                    .refusal_response(&refusal, &record.identity(id))
            }
        }
    }

    /// Parses a request, and tries homes until one ends it.
    async fn serve(
        &self,
        id: ids::RequestId,
        from: net::SocketAddr,
        request: Request<body::Upload>,
        record: &mut RequestRecord,
    ) -> Result<Response<body::Body>, Refusal> {
        let current = self.indexed_bundle();
        record.version = current.bundle.version;
        record.rules_age = self.options.freshness.age().unwrap_or_default();
        let mut parsed = self.parse(&current, id, from, request).await?;
        record.service.clone_from(&parsed.slot_request.cell.service);
        record.tier = parsed.slot_request.tier;
        record.route.clone_from(&parsed.route);
        let mut failed = Vec::new();
        let mut last = Refusal::not_run(Cause::NoHome, Some(RETRY_AFTER));
        while failed.len() < MAX_HOMES {
            // The bundle is read again for each home, since targets change while a request waits.
            let current = self.indexed_bundle();
            if parsed.is_withdrawn(&current) {
                let refusal = Refusal::not_run(Cause::UnknownCaller, None);
                return Err(refusal.after_unknown_try(parsed.outgoing.unknown_cause));
            }
            let service = current
                .index
                .service(&current.bundle, &parsed.slot_request.cell.service);
            let Some(service) = service else {
                // The caller comes back by the rules in force, which may lead it to another service.
                let refusal = Refusal::not_run(Cause::RulesChanged, Some(clock::Millis::ZERO));
                return Err(refusal.after_unknown_try(parsed.outgoing.unknown_cause));
            };
            let outgoing = &parsed.outgoing;
            let now = self.options.clock.now();
            let shutdown = &self.options.shutdown;
            if !shutdown.admits(now, outgoing.deadline, outgoing.idempotent) {
                last = exchange::draining();
                break;
            }
            let Some(choice) = self.select_home(service, &failed) else {
                break;
            };
            record.home.clone_from(&choice.home);
            record.homes_tried += 1;
            parsed.slot_request.peers =
                self.selector().summaries(self.options.clock.now(), service);
            let mut refused = false;
            let mut displacement = std::mem::take(&mut parsed.displacement);
            // A displaced request has not been sent: it is pinned before that.
            let result = tokio::select! {
                biased;
                () = displacement.wait() => return Err(exchange::memory_full()),
                result = self.try_home(&mut parsed, &choice, service) => result,
            };
            parsed.displacement = displacement;
            match result {
                HomeResult::Response {
                    mut response,
                    target,
                } => {
                    self.record_observation(&choice.home, homes::Observation::Answered);
                    let dialect = &self.options.client.dialect;
                    dialect.complete_response(
                        response.headers_mut(),
                        &record.identity(id),
                        &target,
                    );
                    return Ok(response);
                }
                HomeResult::Refused(refusal) => {
                    self.record_observation(&choice.home, homes::Observation::Answered);
                    if let (Cause::OverQuota, Some(wait)) = (refusal.cause, refusal.retry_after) {
                        let quotas = &self.options.quotas;
                        quotas.block(&parsed.organisation, &service.name, wait);
                    }
                    if !another_home_may_serve(refusal) || parsed.outgoing.rest_is_sent() {
                        return Err(refusal);
                    }
                    refused = refusal.cause != Cause::Draining;
                    last = refusal;
                }
                HomeResult::Lost(observation) => {
                    self.record_observation(&choice.home, observation);
                    log::info!(request = record.name, id = id.to_string(), home = choice.home; "home lost");
                }
            }
            failed.push(homes::FailedAttempt { choice, refused });
            if self.options.clock.now() >= parsed.outgoing.deadline {
                let refusal = Refusal::not_run(Cause::DeadlinePassed, None);
                return Err(refusal.after_unknown_try(parsed.outgoing.unknown_cause));
            }
        }
        Err(last.after_unknown_try(parsed.outgoing.unknown_cause))
    }

    /// Returns the bundle in force with its index, which is built by the first request after a change of the bundle.
    fn indexed_bundle(&self) -> sync::Arc<IndexedBundle> {
        let bundle = self.options.bundle.borrow().clone();
        let mut current = self.indexed.lock().expect("lock is not poisoned");
        if !sync::Arc::ptr_eq(&current.bundle, &bundle) {
            let index = index::Index::new(&bundle);
            *current = sync::Arc::new(IndexedBundle { bundle, index });
        }
        current.clone()
    }

    /// Returns the refusal of a request beyond the limit on requests at a time. A caller that would be refused without
    /// that limit learns so, since coming back would not help it.
    fn refusal_when_full(&self, request: Request<body::Upload>) -> Refusal {
        let (parts, _) = request.into_parts();
        match self.admit(&self.indexed_bundle(), &parts) {
            Err(refusal) if refusal.cause == Cause::UnknownCaller => refusal,
            Ok(_) | Err(_) => Refusal::not_run(Cause::QueueFull, Some(RETRY_AFTER)),
        }
    }

    /// Authenticates and routes a request by its head.
    fn admit<'a>(
        &self,
        current: &'a IndexedBundle,
        parts: &request::Parts,
    ) -> Result<(index::Caller<'a>, &'a bundle::Route), Refusal> {
        let IndexedBundle { bundle, index } = current;
        if bundle.version == 0 {
            return Err(Refusal::not_run(Cause::NoBundle, Some(RETRY_AFTER)));
        }
        let route = index.route(bundle, host(parts), parts.uri.path());
        let credential = self.options.client.dialect.credential(&parts.headers);
        let caller = index.caller(bundle, route, credential);
        let caller = caller.ok_or_else(|| self.refusal_by_rules(Cause::UnknownCaller))?;
        let route = route.ok_or_else(|| self.refusal_by_rules(Cause::NoRoute))?;
        Ok((caller, route))
    }

    /// Returns the refusal of a request for something that the rules lack, unless newer rules may have it.
    fn refusal_by_rules(&self, cause: Cause) -> Refusal {
        match self.options.freshness.is_lapsed() {
            true => Refusal::not_run(Cause::RulesLapsed, Some(LAPSED_RETRY_AFTER)),
            false => Refusal::not_run(cause, None),
        }
    }

    /// Reads the head and the first part of the body, and authenticates and routes the request.
    async fn parse(
        &self,
        current: &IndexedBundle,
        id: ids::RequestId,
        from: net::SocketAddr,
        request: Request<body::Upload>,
    ) -> Result<ParsedRequest, Refusal> {
        let bad_request = Refusal::not_run(Cause::BadRequest, None);
        let limits = &self.options.settings.limits;
        let limits = limits.with_caller_limits(current.bundle.callers.as_ref());
        let (parts, mut incoming) = request.into_parts();
        let (caller, route) = self.admit(current, &parts)?;
        if head_bytes(&parts) > limits.head_bytes {
            return Err(Refusal::not_run(Cause::HeadTooLong, None));
        }
        let service = current
            .index
            .service(&current.bundle, route.service_for(id.0 as u64));
        let service = service.ok_or_else(|| self.refusal_by_rules(Cause::NoRoute))?;
        let blocked = self
            .options
            .quotas
            .blocked(caller.organisation, &service.name);
        if let Some(left) = blocked {
            return Err(Refusal::not_run(Cause::OverQuota, Some(left)));
        }
        if parts.method == Method::CONNECT || parts.headers.contains_key(header::UPGRADE) {
            return Err(bad_request);
        }
        let length = content_length(&parts.headers);
        if length.unwrap_or_default() > limits.body_bytes {
            return Err(Refusal::not_run(Cause::BodyTooLong, None));
        }
        let requested = self.options.client.dialect.time_limit(&parts.headers);
        let left = requested
            .map_err(|_| bad_request)?
            .unwrap_or(service.deadline_ms);
        let timeout = route.timeout_ms.unwrap_or(MAX_TIMEOUT);
        let left = left.min(timeout).min(MAX_TIMEOUT);
        let now = self.options.clock.now();
        let deadline = now + left;
        let idempotent = route.is_idempotent(&parts.method);
        if !self.options.shutdown.admits(now, deadline, idempotent) {
            return Err(exchange::draining());
        }
        let key = header_text(&parts.headers, headers::IDEMPOTENCY_KEY).map(str::to_owned);
        if key
            .as_ref()
            .is_some_and(|k| k.is_empty() || k.len() > MAX_KEY_BYTES)
        {
            return Err(bad_request);
        }
        let lease = self
            .options
            .memory
            .admit(caller.tier, body_length(&incoming));
        let mut lease = lease.ok_or(exchange::memory_full())?;
        incoming.hold(Box::new(lease.upload));
        let progress = incoming.progress();
        let prefix = exchange::read_prefix(incoming, limits.replay_bytes);
        let mut prefix = tokio::select! {
            biased;
            () = lease.displacement.wait() => return Err(exchange::memory_full()),
            prefix = self.with_deadline(deadline, prefix) => prefix?.map_err(|_| bad_request)?,
        };
        let length = length.or(prefix.rest.is_none().then_some(prefix.first.len() as u64));
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
            prefix.start(limits.replay_bytes),
        );
        if let Some(left) = self.options.broadcaster.remaining(fingerprint) {
            return Err(Refusal::not_run(Cause::Quarantined, Some(left)));
        }
        let mut fields = headers::forwarded_fields(&parts.headers);
        exchange::add_forwarding_fields(&mut fields, from, host(&parts));
        let dialect = &self.options.client.dialect;
        let has_organisations = !current.bundle.organisations.is_empty();
        if has_organisations {
            dialect.replace_organisation(&mut fields, caller.organisation);
            dialect.replace_organisation(&mut prefix.trailers, "");
        }
        if headers::accepts_trailers(&parts.headers) {
            fields.append(header::TE, HeaderValue::from_static("trailers"));
        }
        let name = dialect.request_name(&parts.headers).to_owned();
        let objective = route.objective_ms.unwrap_or(left).min(left);
        let more = prefix.rest.is_some();
        let slot_request = peer::SlotRequest {
            request: id,
            name: name.clone(),
            stamp: self.options.recorder.stamp(),
            cell: ids::CellId::new(&service.name, ""),
            tier: caller.tier,
            left,
            objective,
            tries: route.tries.unwrap_or(u32::MAX),
            used: 0,
            idempotent,
            replayable: !more,
            fingerprint,
            origin: ids::DomainId::from_name(&self.options.settings.domain),
            peers: Vec::new(),
            known: Vec::new(),
            context: Some(peer::RequestContext {
                organisation: caller.organisation.to_owned(),
                route: route.hash(),
                length,
                counted: false,
            }),
        };
        let outgoing = exchange::Outgoing {
            id,
            name,
            method: parts.method,
            uri: uri.parse().map_err(|_| bad_request)?,
            fields,
            first: Bytes::from(prefix.first),
            rest: prefix.rest,
            more,
            progress,
            trailers: prefix.trailers,
            drops_identity: has_organisations,
            idempotent,
            deadline,
            tries: 0,
            unknown_cause: None,
            kept: lease.kept,
            response: lease.response,
        };
        Ok(ParsedRequest {
            slot_request,
            outgoing,
            organisation: caller.organisation.to_owned(),
            credential: caller.digest,
            key: key.filter(|_| !idempotent),
            route: route.prefix.clone(),
            objective: deadline - left + objective,
            displacement: lease.displacement,
        })
    }

    /// Awaits `future`, or refuses the request once `deadline` has passed.
    async fn with_deadline<F: Future>(
        &self,
        deadline: clock::Millis,
        future: F,
    ) -> Result<F::Output, Refusal> {
        let at = self.options.clock.instant(deadline);
        let passed = Refusal::not_run(Cause::DeadlinePassed, None);
        tokio::time::timeout_at(at.into(), future)
            .await
            .map_err(|_| passed)
    }

    fn select_home(
        &self,
        service: &bundle::Service,
        failed: &[homes::FailedAttempt],
    ) -> Option<homes::Choice> {
        let view = self.options.view.borrow().clone();
        self.selector()
            .select(self.options.clock.now(), service, &view, failed)
    }

    fn selector(&self) -> sync::MutexGuard<'_, homes::Selector> {
        self.selector.lock().expect("lock is not poisoned")
    }

    fn known_targets(&self) -> sync::MutexGuard<'_, statements::KnownTargets> {
        self.known_targets.lock().expect("lock is not poisoned")
    }

    /// Returns the bundle in force.
    pub(super) fn bundle(&self) -> sync::Arc<bundle::Bundle> {
        self.options.bundle.borrow().clone()
    }

    /// Returns the memory of the daemon.
    pub(super) fn memory(&self) -> &memory::Memory {
        &self.options.memory
    }

    /// Returns the client of targets.
    pub(super) fn client(&self) -> &exchange::TargetClient {
        &self.options.client
    }

    /// Returns whether a target accepts requests from this daemon, by what it stated.
    pub(super) fn accepts(&self, target: &str) -> bool {
        let now = self.options.clock.now();
        self.known_targets().accepts(now, target)
    }

    /// Returns the address of a target of `service` that may get a request now: it is listed and not leaving in the
    /// bundle in force, and accepts requests by what it stated.
    fn usable_target(&self, service: &str, target: &str) -> Option<net::SocketAddr> {
        let current = self.indexed_bundle();
        let service = current.index.service(&current.bundle, service)?;
        let listed = service.targets.iter().find(|t| t.name == target)?;
        (!listed.leaving && self.accepts(target)).then_some(listed.address)
    }

    /// Records what a target of `service` stated in a response to this daemon.
    pub(super) fn record_statement(
        &self,
        service: &str,
        target: &str,
        statement: &peer::Statement,
    ) {
        let now = self.options.clock.now();
        if self.known_targets().record(now, target, statement) {
            self.options.metrics.record_statement(service);
            log::info!(
                target = target, limit = format!("{:?}", statement.limit), leaving = statement.leaving,
                pause_ms = statement.pause.0;
                "a target states which requests it accepts"
            );
        }
    }

    /// Returns what this entry knows of a cell's targets from their statements.
    fn known_of_cell(
        &self,
        now: clock::Millis,
        service: &bundle::Service,
        cell: &ids::CellId,
    ) -> Vec<peer::KnownTarget> {
        let targets = service.targets.iter();
        let of_cell = targets.filter(|t| service.cell_of(t) == *cell);
        self.known_targets()
            .of(now, of_cell.map(|t| t.name.as_str()))
    }

    /// Records whether a home answered, for the selection of homes.
    fn record_observation(&self, home: &str, observation: homes::Observation) {
        let now = self.options.clock.now();
        self.selector().observe(now, home, observation);
    }

    /// Requests a slot at the selected home, and sends the request to the targets that it grants.
    async fn try_home(
        &self,
        parsed: &mut ParsedRequest,
        choice: &homes::Choice,
        service: &bundle::Service,
    ) -> HomeResult {
        let lost = HomeResult::Lost(homes::Observation::Lost);
        let view = self.options.view.borrow().clone();
        let Some(member) = view.members.get(&choice.home) else {
            return lost;
        };
        let stream_opened = self.options.links.open(&choice.home, member.peer);
        let Ok(Some((recv, send))) = self
            .with_deadline(parsed.outgoing.deadline, stream_opened)
            .await
        else {
            return lost;
        };
        let now = self.options.clock.now();
        let mut slot_request = peer::SlotRequest {
            cell: choice.cell.clone(),
            left: parsed.outgoing.deadline - now,
            objective: parsed.objective - now,
            used: parsed.outgoing.tries,
            stamp: self.options.recorder.stamp(),
            known: self.known_of_cell(now, service, &choice.cell),
            ..parsed.slot_request.clone()
        };
        if let Some(context) = &mut slot_request.context {
            context.counted = parsed.outgoing.unknown_cause.is_some();
        }
        let stream = exchange::HomeStream { recv, send };
        let record_summary = |summary: &peer::CellSummary| {
            self.selector()
                .record_summary(self.options.clock.now(), summary);
        };
        let record_statement = |target: &str, statement: &peer::Statement| {
            self.record_statement(&service.name, target, statement);
        };
        let record_try = |record: &exchange::TryRecord<'_>| {
            self.options
                .metrics
                .record_try(record.class, record.connection());
        };
        let usable_target = |target: &str| self.usable_target(&service.name, target);
        let claim = claim::Claim {
            claims: self.options.claims.as_ref(),
            scope: [&parsed.organisation, &service.name],
            key: parsed.key.as_deref(),
            fingerprint: parsed.slot_request.fingerprint,
        };
        let exchange = exchange::Exchange {
            client: &self.options.client,
            record_summary: &record_summary,
            record_statement: &record_statement,
            record_try: &record_try,
            usable_target: &usable_target,
            claim: &claim,
            shutdown: &self.options.shutdown,
        };
        exchange
            .run(stream, slot_request, &mut parsed.outgoing)
            .await
    }
}

/// The fields of a request's log records and metrics.
#[derive(Default)]
struct RequestRecord {
    /// The caller's own name for the request.
    name: String,
    /// The prefix of the route; a route may lead to several services.
    route: String,
    service: String,
    tier: u8,
    /// The version of the bundle that the request was routed by.
    version: u64,
    /// The time since the platform confirmed the rules when the request arrived.
    rules_age: clock::Millis,
    /// The last home that the request was sent to.
    home: String,
    /// The number of homes that the request was sent to.
    homes_tried: usize,
}

impl RequestRecord {
    fn identity(&self, id: ids::RequestId) -> dialect::RequestIdentity<'_> {
        dialect::RequestIdentity {
            id,
            name: &self.name,
        }
    }
}

/// Returns whether another home may serve a request that was refused for this reason.
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
            | Cause::MemoryFull
    );
    elsewhere && refusal.outcome == crate::protocol::refusal::Outcome::NotRun
}

fn header_text<'a>(map: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
}

/// Returns the size of a request's head as sent over HTTP/1.1.
fn head_bytes(parts: &request::Parts) -> usize {
    /// The separators of the request line, the version and the empty line at the end.
    const REQUEST_LINE: usize = " ".len() + " HTTP/1.1\r\n".len() + "\r\n".len();
    let target = parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
    let fields = parts.headers.iter();
    let fields = fields.map(|(n, v)| n.as_str().len() + ": \r\n".len() + v.len());
    REQUEST_LINE + parts.method.as_str().len() + target + fields.sum::<usize>()
}

/// Returns the host that a request is addressed to; empty if it names none.
fn host(parts: &request::Parts) -> &str {
    let in_uri = parts.uri.host();
    let host = in_uri.or_else(|| header_text(&parts.headers, header::HOST.as_str()));
    host.unwrap_or_default()
}

/// Returns the length of a body that has not been read.
fn body_length(incoming: &body::Upload) -> memory::BodyLength {
    match http_body::Body::size_hint(incoming).exact() {
        Some(length) => memory::BodyLength::Known(length),
        None => memory::BodyLength::Unknown,
    }
}

/// Returns the value of `Content-Length`, or nothing where it is absent or malformed.
fn content_length(map: &http::HeaderMap) -> Option<u64> {
    header_text(map, header::CONTENT_LENGTH.as_str()).and_then(|v| v.parse().ok())
}
