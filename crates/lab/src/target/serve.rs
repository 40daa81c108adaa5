//! Serves the connections and requests of one target.

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

use super::{Fault, Run, Standing, Target};
use crate::echo;

/// The path of probes.
const PROBE_PATH: &str = "/healthz";
/// When a shed request may come back, in seconds.
const RETRY_AFTER_S: u64 = 1;
/// How long to wait before a port is tried again after a crash.
const REBIND: time::Duration = time::Duration::from_millis(20);

type Answer = Response<echo::Filler>;

/// Accepts connections until the stand-in ends; a crash closes the port for a while.
pub(super) async fn listen(target: sync::Arc<Target>, first: TcpListener) {
    let mut down = target.down.subscribe();
    let mut listener = Some(first);
    loop {
        let Some(open) = listener.take() else {
            tokio::time::sleep(REBIND).await;
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
        tokio::spawn(connection(target.clone(), stream));
    }
}

/// Counts a connection for as long as it is open.
struct Open<'a>(&'a Target);

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.tally.update(&self.0.plan.name, |c| c.open -= 1);
    }
}

async fn connection(target: sync::Arc<Target>, stream: TcpStream) {
    let limit = target.plan.connections;
    let mut taken = false;
    target.tally.update(&target.plan.name, |c| {
        taken = c.open < limit;
        if taken {
            c.open += 1;
            c.peak = c.peak.max(c.open);
        } else {
            c.over += 1;
        }
    });
    if !taken {
        return;
    }
    let _open = Open(&target);
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
) -> Result<Answer, echo::Cut> {
    if request.uri().path() == PROBE_PATH {
        target.tally.update(&target.plan.name, |c| c.probes += 1);
        tokio::time::sleep(target.plan.probe_ms.span()).await;
        return Ok(plain(StatusCode::OK));
    }
    let standing = target.standing();
    if let Fault::Crash { marker, down_ms } = &standing.fault
        && request.uri().path().contains(marker.as_str())
    {
        target
            .begin(request.method().as_str(), request.headers())
            .end(false);
        target.down.send_replace(target.clock.now() + *down_ms);
        return Err(echo::Cut);
    }
    if matches!(standing.fault, Fault::Late { .. }) {
        let work = tokio::spawn(async move { work(&target, request, &standing).await });
        return work.await.unwrap_or(Err(echo::Cut));
    }
    work(&target, request, &standing).await
}

/// Counts a run until it ends; one that is dropped before was cancelled.
struct Running<'a> {
    target: &'a Target,
    ended: bool,
}

impl Running<'_> {
    fn end(mut self, answered: bool) {
        self.ended = true;
        self.target.tally.update(&self.target.plan.name, |c| {
            c.busy -= 1;
            c.answered += u64::from(answered);
        });
    }
}

impl Drop for Running<'_> {
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
    fn standing(&self) -> Standing {
        let standing = self.fault.lock().expect("no task of the target panicked");
        standing.clone()
    }

    fn begin(&self, method: &str, fields: &HeaderMap) -> Running<'_> {
        self.tally.run(Run {
            target: self.plan.name.clone(),
            at: self.clock.now(),
            request: text(fields, headers::REQUEST),
            attempt: text(fields, echo::ATTEMPT),
            key: text(fields, headers::IDEMPOTENCY_KEY),
            method: method.to_owned(),
        });
        Running {
            target: self,
            ended: false,
        }
    }

    /// Draws a service time under the standing fault.
    fn service_time(&self, standing: &Standing) -> clock::Millis {
        let mut rng = self.rng.lock().expect("no task of the target panicked");
        let mut ms = rng.lognormal(self.plan.median_ms, self.plan.sigma);
        if self.clock.now() < self.plan.cold_ms {
            ms *= self.plan.cold_factor;
        }
        match &standing.fault {
            Fault::Slow { factor } => ms *= factor,
            Fault::Late { by_ms } => ms += by_ms.0 as f64,
            _ => {}
        }
        clock::Millis(ms.round() as u64)
    }

    fn chance(&self, share: f64) -> bool {
        let mut rng = self.rng.lock().expect("no task of the target panicked");
        rng.unit() < share
    }

    /// Takes a slot, or waits for one among the few that may; none where the request is shed.
    async fn slot(&self) -> Option<tokio::sync::SemaphorePermit<'_>> {
        if let Ok(permit) = self.slots.try_acquire() {
            return Some(permit);
        }
        let before = self.waiting.fetch_add(1, atomic::Ordering::Relaxed);
        let _waiting = Waiting(&self.waiting);
        if before >= self.plan.queue {
            return None;
        }
        self.slots.acquire().await.ok()
    }
}

/// Counts a request for as long as it waits for a slot.
struct Waiting<'a>(&'a atomic::AtomicUsize);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

async fn work(
    target: &Target,
    request: Request<Incoming>,
    standing: &Standing,
) -> Result<Answer, echo::Cut> {
    let slot = match standing.fault {
        Fault::Drain => None,
        _ => target.slot().await,
    };
    let Some(_slot) = slot else {
        target.tally.update(&target.plan.name, |c| c.shed += 1);
        let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
        let fields = answer.headers_mut();
        fields.insert(http::header::RETRY_AFTER, RETRY_AFTER_S.into());
        return Ok(answer);
    };
    let (head, body) = request.into_parts();
    let running = target.begin(head.method.as_str(), &head.headers);
    let digest = digest(body).await?;
    if standing.fault.stalls(target.clock.now() - standing.since) {
        std::future::pending::<()>().await;
    }
    let late = matches!(standing.fault, Fault::Late { .. });
    let time = target.service_time(standing);
    let left = deadline(&head.headers).filter(|_| !late);
    tokio::time::sleep(left.unwrap_or(time).min(time).span()).await;
    running.end(true);
    if left.is_some_and(|left| left < time) {
        return Ok(plain(StatusCode::GATEWAY_TIMEOUT));
    }
    Ok(answer(target, standing, &head.headers, &digest))
}

async fn digest(mut body: Incoming) -> Result<String, echo::Cut> {
    let mut hash = sha2::Sha256::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(echo::Cut);
        };
        if let Ok(data) = frame.into_data() {
            hash.update(&data);
        }
    }
    Ok(hex::encode(hash.finalize()))
}

fn answer(target: &Target, standing: &Standing, fields: &HeaderMap, digest: &str) -> Answer {
    let share = match standing.fault {
        Fault::Errors { share } | Fault::Truncate { share } => share,
        _ => 0.0,
    };
    let hit = share > 0.0 && target.chance(share);
    let nonce = text(fields, echo::NONCE);
    let bytes = text(fields, echo::BYTES)
        .parse()
        .unwrap_or(target.plan.bytes);
    let mut body = echo::Filler::new(&nonce, bytes, fields.contains_key(echo::CHUNKED));
    let mut status = StatusCode::OK;
    match standing.fault {
        Fault::Errors { .. } if hit => status = StatusCode::INTERNAL_SERVER_ERROR,
        Fault::Truncate { .. } if hit => body = body.cut_after(bytes / 2),
        _ => {}
    }
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    let echoed = [
        (echo::NONCE, nonce),
        (echo::DIGEST, digest.to_owned()),
        (echo::BYTES, bytes.to_string()),
        (echo::TARGET, target.plan.name.clone()),
    ];
    for (name, value) in echoed {
        if let Ok(value) = http::HeaderValue::try_from(value) {
            answer.headers_mut().insert(name, value);
        }
    }
    answer
}

fn plain(status: StatusCode) -> Answer {
    let mut answer = Response::new(echo::Filler::new("", 0, false));
    *answer.status_mut() = status;
    answer
}

fn deadline(fields: &HeaderMap) -> Option<clock::Millis> {
    text(fields, headers::DEADLINE)
        .parse()
        .ok()
        .map(clock::Millis)
}

/// Returns the field called `name`; empty where it is absent.
fn text(fields: &HeaderMap, name: &str) -> String {
    let value = fields.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}
