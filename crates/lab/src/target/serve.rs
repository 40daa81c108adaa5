//! Serves the connections and requests of one target, and applies its injected fault to them.

use std::sync;
use std::sync::atomic;
use std::time;

use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use peridotspread::protocol::headers;
use peridotspread::state::clock;
use sha2::Digest;
use tokio::net::{TcpListener, TcpStream};

use super::{ActiveFault, Fault, Run, Target};
use crate::echo;

/// The path of health probes.
const PROBE_PATH: &str = "/healthz";
/// The `Retry-After` of shed requests, in seconds.
const RETRY_AFTER_S: u64 = 1;
/// The delay between attempts to bind the port again after a crash.
const REBIND_INTERVAL: time::Duration = time::Duration::from_millis(20);

type TargetResponse = Response<echo::Filler>;

/// Accepts connections until the stand-in stops; a crash closes the port while the target is down.
pub(super) async fn listen(target: sync::Arc<Target>, first: TcpListener) {
    let mut down = target.down.subscribe();
    let mut listener = Some(first);
    loop {
        let Some(open) = listener.take() else {
            tokio::time::sleep(REBIND_INTERVAL).await;
            listener = TcpListener::bind(target.address).await.ok();
            continue;
        };
        accept_until_crash(&target, &open, &mut down).await;
        drop(open);
        let until = *down.borrow_and_update();
        tokio::time::sleep((until - target.clock.now()).span()).await;
    }
}

async fn accept_until_crash(
    target: &sync::Arc<Target>,
    listener: &TcpListener,
    down: &mut tokio::sync::watch::Receiver<clock::Millis>,
) {
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
            _ = down.changed() => return,
        };
        tokio::spawn(serve_connection(target.clone(), stream));
    }
}

/// Decrements the number of open connections when dropped.
struct OpenGuard<'a>(&'a Target);

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.tally.update(&self.0.plan.name, |c| c.open -= 1);
    }
}

async fn serve_connection(target: sync::Arc<Target>, stream: TcpStream) {
    let limit = target.plan.connections;
    let mut accepted = false;
    target.tally.update(&target.plan.name, |c| {
        accepted = c.open < limit;
        if accepted {
            c.open += 1;
            c.peak = c.peak.max(c.open);
        } else {
            c.over += 1;
        }
    });
    if !accepted {
        return;
    }
    let _open = OpenGuard(&target);
    let mut down = target.down.subscribe();
    tokio::time::sleep(target.plan.connect_ms.span()).await;
    let _ = stream.set_nodelay(true);
    let handler = service::service_fn(|request| handle(target.clone(), request));
    let served = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), handler);
    tokio::select! {
        _ = served => {}
        _ = down.changed() => {}
    }
}

async fn handle(
    target: sync::Arc<Target>,
    request: Request<Incoming>,
) -> Result<TargetResponse, echo::Truncated> {
    if request.uri().path() == PROBE_PATH {
        target.tally.update(&target.plan.name, |c| c.probes += 1);
        tokio::time::sleep(target.plan.probe_ms.span()).await;
        return Ok(empty_response(StatusCode::OK));
    }
    let active = target.active_fault();
    if let Fault::Crash { marker, down_ms } = &active.fault
        && request.uri().path().contains(marker.as_str())
    {
        target
            .begin_run(request.method().as_str(), request.headers())
            .finish(false);
        target.down.send_replace(target.clock.now() + *down_ms);
        return Err(echo::Truncated);
    }
    if matches!(active.fault, Fault::Late { .. }) {
        let task = tokio::spawn(async move { process(&target, request, &active).await });
        return task.await.unwrap_or(Err(echo::Truncated));
    }
    process(&target, request, &active).await
}

/// Tracks a request in processing; dropped before [`RunGuard::finish`], it counts the request as cancelled.
struct RunGuard<'a> {
    target: &'a Target,
    ended: bool,
}

impl RunGuard<'_> {
    fn finish(mut self, answered: bool) {
        self.ended = true;
        self.target.tally.update(&self.target.plan.name, |c| {
            c.busy -= 1;
            c.answered += u64::from(answered);
        });
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.target.tally.update(&self.target.plan.name, |c| {
            c.busy -= 1;
            c.cancelled += 1;
        });
    }
}

impl Target {
    fn active_fault(&self) -> ActiveFault {
        let active = self.fault.lock().expect("no task of the target panicked");
        active.clone()
    }

    /// Records that the processing of a request begins.
    fn begin_run(&self, method: &str, fields: &HeaderMap) -> RunGuard<'_> {
        self.tally.record_run(Run {
            target: self.plan.name.clone(),
            at: self.clock.now(),
            request: field_text(fields, headers::REQUEST),
            attempt: field_text(fields, echo::ATTEMPT),
            key: field_text(fields, headers::IDEMPOTENCY_KEY),
            method: method.to_owned(),
        });
        RunGuard {
            target: self,
            ended: false,
        }
    }

    /// Draws a random service time, changed by the active fault.
    fn service_time(&self, active: &ActiveFault) -> clock::Millis {
        let mut rng = self.rng.lock().expect("no task of the target panicked");
        let mut ms = rng.lognormal(self.plan.median_ms, self.plan.sigma);
        if self.clock.now() < self.plan.cold_ms {
            ms *= self.plan.cold_factor;
        }
        match &active.fault {
            Fault::Slow { factor } => ms *= factor,
            Fault::Late { by_ms } => ms += by_ms.0 as f64,
            _ => {}
        }
        clock::Millis(ms.round() as u64)
    }

    /// Returns true with probability `share`.
    fn sample_bernoulli(&self, share: f64) -> bool {
        let mut rng = self.rng.lock().expect("no task of the target panicked");
        rng.unit() < share
    }

    /// Acquires a slot, waiting for one if the queue has room; returns none if the request is shed.
    async fn acquire_slot(&self) -> Option<tokio::sync::SemaphorePermit<'_>> {
        if let Ok(permit) = self.slots.try_acquire() {
            return Some(permit);
        }
        let before = self.waiting.fetch_add(1, atomic::Ordering::Relaxed);
        let _waiting = WaitGuard(&self.waiting);
        if before >= self.plan.queue {
            return None;
        }
        self.slots.acquire().await.ok()
    }
}

/// Decrements the number of requests that wait for a slot when dropped.
struct WaitGuard<'a>(&'a atomic::AtomicUsize);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

async fn process(
    target: &Target,
    request: Request<Incoming>,
    active: &ActiveFault,
) -> Result<TargetResponse, echo::Truncated> {
    let slot = match active.fault {
        Fault::Drain => None,
        _ => target.acquire_slot().await,
    };
    let Some(_slot) = slot else {
        target.tally.update(&target.plan.name, |c| c.shed += 1);
        let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
        let fields = response.headers_mut();
        fields.insert(http::header::RETRY_AFTER, RETRY_AFTER_S.into());
        return Ok(response);
    };
    let (head, body) = request.into_parts();
    let run = target.begin_run(head.method.as_str(), &head.headers);
    let digest = hash_body(body).await?;
    if active.fault.stalls_after(target.clock.now() - active.since) {
        std::future::pending::<()>().await;
    }
    let late = matches!(active.fault, Fault::Late { .. });
    let time = target.service_time(active);
    let remaining = remaining_time(&head.headers).filter(|_| !late);
    tokio::time::sleep(remaining.unwrap_or(time).min(time).span()).await;
    run.finish(true);
    if remaining.is_some_and(|remaining| remaining < time) {
        return Ok(empty_response(StatusCode::GATEWAY_TIMEOUT));
    }
    Ok(build_response(target, active, &head.headers, &digest))
}

async fn hash_body(mut body: Incoming) -> Result<String, echo::Truncated> {
    let mut hash = sha2::Sha256::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(echo::Truncated);
        };
        if let Ok(data) = frame.into_data() {
            hash.update(&data);
        }
    }
    Ok(hex::encode(hash.finalize()))
}

fn build_response(
    target: &Target,
    active: &ActiveFault,
    fields: &HeaderMap,
    digest: &str,
) -> TargetResponse {
    let share = match active.fault {
        Fault::Errors { share } | Fault::Truncate { share } => share,
        _ => 0.0,
    };
    let affected = share > 0.0 && target.sample_bernoulli(share);
    let nonce = field_text(fields, echo::NONCE);
    let bytes = field_text(fields, echo::BYTES)
        .parse()
        .unwrap_or(target.plan.bytes);
    let mut body = echo::Filler::new(&nonce, bytes, fields.contains_key(echo::CHUNKED));
    let mut status = StatusCode::OK;
    match active.fault {
        Fault::Errors { .. } if affected => status = StatusCode::INTERNAL_SERVER_ERROR,
        Fault::Truncate { .. } if affected => body = body.truncate_after(bytes / 2),
        _ => {}
    }
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let echoed = [
        (echo::NONCE, nonce),
        (echo::DIGEST, digest.to_owned()),
        (echo::BYTES, bytes.to_string()),
        (echo::TARGET, target.plan.name.clone()),
    ];
    for (name, value) in echoed {
        if let Ok(value) = http::HeaderValue::try_from(value) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

fn empty_response(status: StatusCode) -> TargetResponse {
    let mut response = Response::new(echo::Filler::new("", 0, false));
    *response.status_mut() = status;
    response
}

fn remaining_time(fields: &HeaderMap) -> Option<clock::Millis> {
    field_text(fields, headers::DEADLINE)
        .parse()
        .ok()
        .map(clock::Millis)
}

/// Returns the value of the header field `name`, or an empty string if it is absent.
fn field_text(fields: &HeaderMap, name: &str) -> String {
    let value = fields.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}
