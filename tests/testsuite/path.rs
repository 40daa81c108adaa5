//! The request path of one daemon, from caller to target and back, over real connections within one process.

use std::sync::atomic;
use std::time;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use peridotspread::state::clock::Millis;
use peridotspread::state::settings;
use peridotspread::transport::body;
use tokio::sync::watch;

use crate::support::path::{
    chunked_body, daemon, daemon_with_confirmations, daemon_with_late_home, daemon_with_limits,
    daemon_with_lost_home, daemon_without_service, request,
};

const MIB: usize = 1024 * 1024;

type ResponseFuture = future::BoxFuture<'static, Response<body::Body>>;

fn empty() -> body::Body {
    body::full(Bytes::new())
}

/// Responds with the number of bytes of the request's body.
fn count_bytes(request: Request<Incoming>) -> ResponseFuture {
    async move {
        let mut incoming = request.into_body();
        let mut count = 0;
        while let Some(Ok(frame)) = incoming.frame().await {
            count += frame.data_ref().map_or(0, Bytes::len);
        }
        Response::new(body::full(Bytes::from(count.to_string())))
    }
    .boxed()
}

/// Responds with the names of the request's header fields.
fn name_fields(request: Request<Incoming>) -> ResponseFuture {
    let names: Vec<_> = request.headers().keys().map(ToString::to_string).collect();
    async move { Response::new(body::full(Bytes::from(names.join(" ")))) }.boxed()
}

fn large_response(_request: Request<Incoming>) -> ResponseFuture {
    async { Response::new(chunked_body(64, MIB, true)) }.boxed()
}

fn truncated(_request: Request<Incoming>) -> ResponseFuture {
    async { Response::new(chunked_body(3, 1_000, false)) }.boxed()
}

fn with_trailers(_request: Request<Incoming>) -> ResponseFuture {
    let mut trailers = HeaderMap::new();
    trailers.insert("x-checksum", HeaderValue::from_static("17"));
    async {
        let mut response =
            Response::new(body::with_trailers(Bytes::from_static(b"data"), trailers));
        response
            .headers_mut()
            .insert("trailer", HeaderValue::from_static("x-checksum"));
        response
    }
    .boxed()
}

fn with_content_length(_request: Request<Incoming>) -> ResponseFuture {
    async {
        let mut response = Response::new(empty());
        response
            .headers_mut()
            .insert("content-length", HeaderValue::from_static("1234"));
        response
    }
    .boxed()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_request_body_is_streamed_to_the_target() {
    let daemon = daemon("path-upload", count_bytes).await;
    for method in ["GET", "POST"] {
        let sent = request(method, "/").header("transfer-encoding", "chunked");
        let sent = sent.body(chunked_body(64, MIB, true)).unwrap();
        let response = daemon.send(sent).await.unwrap();
        let text = response.into_body().collect().await.unwrap().to_bytes();
        assert_eq!(text, (64 * MIB).to_string(), "{method}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_response_is_streamed_to_the_caller() {
    let daemon = daemon("path-download", large_response).await;
    let response = daemon
        .send(request("GET", "/").body(empty()).unwrap())
        .await
        .unwrap();
    let mut incoming = response.into_body();
    let mut count = 0;
    while let Some(frame) = incoming.frame().await {
        count += frame.unwrap().data_ref().map_or(0, Bytes::len);
    }
    assert_eq!(count, 64 * MIB);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_truncated_by_the_target_is_truncated_to_the_caller() {
    let daemon = daemon("path-cut", truncated).await;
    let response = daemon
        .send(request("GET", "/").body(empty()).unwrap())
        .await
        .unwrap();
    assert!(response.into_body().collect().await.is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn trailers_reach_the_caller() {
    let daemon = daemon("path-trailers", with_trailers).await;
    let sent = request("GET", "/")
        .header("te", "trailers")
        .body(empty())
        .unwrap();
    let response = daemon.send(sent).await.unwrap();
    let collected = response.into_body().collect().await.unwrap();
    assert_eq!(collected.trailers().unwrap()["x-checksum"], "17");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_response_to_head_keeps_its_content_length() {
    let daemon = daemon("path-head", with_content_length).await;
    let response = daemon
        .send(request("HEAD", "/").body(empty()).unwrap())
        .await
        .unwrap();
    assert_eq!(response.headers()["content-length"], "1234");
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_specific_fields_are_not_forwarded() {
    let daemon = daemon("path-fields", name_fields).await;
    let sent = request("GET", "/")
        .header("connection", "x-mine")
        .header("x-mine", "1")
        .header("keep-alive", "timeout=5")
        .header("x-kept", "1")
        .body(empty())
        .unwrap();
    let response = daemon.send(sent).await.unwrap();
    let text = response.into_body().collect().await.unwrap().to_bytes();
    let names: Vec<_> = std::str::from_utf8(&text).unwrap().split(' ').collect();
    for forwarded in [
        "x-kept",
        "via",
        "x-forwarded-for",
        "peridotspread-deadline-ms",
        "peridotspread-request",
    ] {
        assert!(
            names.contains(&forwarded),
            "{forwarded} is missing in {names:?}"
        );
    }
    for removed in ["x-mine", "keep-alive", "connection"] {
        assert!(
            !names.contains(&removed),
            "{removed} was forwarded in {names:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_head_above_the_limit_is_refused() {
    let limits = settings::Limits {
        head_bytes: 8 * 1024,
        ..settings::Limits::default()
    };
    let daemon = daemon_with_limits("path-limit", name_fields, limits).await;
    let sent = request("GET", "/")
        .header("x-long", "x".repeat(32 * 1024))
        .body(empty())
        .unwrap();
    let response = daemon.send(sent).await.unwrap();
    assert_eq!(
        response.status(),
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_that_passes_at_the_target_has_an_unknown_outcome() {
    for method in ["GET", "POST"] {
        let daemon = daemon(&format!("path-deadline-{method}"), |_| {
            future::pending().boxed()
        })
        .await;
        let sent = request(method, "/")
            .header("peridotspread-deadline-ms", "300")
            .body(empty())
            .unwrap();
        let response = daemon.send(sent).await.unwrap();
        assert_eq!(
            response.headers()["peridotspread-outcome"],
            "unknown",
            "{method}"
        );
        assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT, "{method}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_cancels_its_request() {
    static RUNNING: std::sync::LazyLock<watch::Sender<i32>> =
        std::sync::LazyLock::new(watch::Sender::default);
    struct Run;
    impl Drop for Run {
        fn drop(&mut self) {
            RUNNING.send_modify(|n| *n -= 1);
        }
    }
    fn hang(_request: Request<Incoming>) -> ResponseFuture {
        RUNNING.send_modify(|n| *n += 1);
        let run = Run;
        async move {
            future::pending::<()>().await;
            drop(run);
            Response::new(empty())
        }
        .boxed()
    }
    let daemon = daemon("path-leave", hang).await;
    let mut running = RUNNING.subscribe();
    let sending = daemon.send(request("POST", "/").body(empty()).unwrap());
    tokio::select! {
        _ = sending => panic!("the target never responds"),
        _ = running.wait_for(|n| *n == 1) => {}
    }
    let stopped = running.wait_for(|n| *n == 0);
    tokio::time::timeout(time::Duration::from_secs(4), stopped)
        .await
        .unwrap()
        .unwrap();
}

/// Responds to the first request with 500, and refuses all others with 503 and `Retry-After`.
fn fail_then_refuse(_request: Request<Incoming>) -> ResponseFuture {
    static COUNT: atomic::AtomicUsize = atomic::AtomicUsize::new(0);
    async {
        let mut response = Response::new(empty());
        *response.status_mut() = match COUNT.fetch_add(1, atomic::Ordering::Relaxed) {
            0 => StatusCode::INTERNAL_SERVER_ERROR,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let after = HeaderValue::from_static("1");
        response.headers_mut().insert("retry-after", after);
        response
    }
    .boxed()
}

// The first try fails and may have run. The second one is refused, which says nothing about the first, so the outcome
// stays unknown when no home is left to decide on another try.
#[tokio::test(flavor = "multi_thread")]
async fn a_shed_try_after_a_failed_one_proves_nothing_though_its_home_is_lost() {
    let daemon = daemon_with_lost_home("path-shed", fail_then_refuse, 2).await;
    let sent = request("GET", "/").body(empty()).unwrap();
    let response = daemon.send(sent).await.unwrap();
    assert_eq!(response.headers()["peridotspread-outcome"], "unknown");
}

/// Responds as if to another request, which did not run.
fn refuse_another_request(_request: Request<Incoming>) -> ResponseFuture {
    async {
        let mut response = Response::new(empty());
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let fields = response.headers_mut();
        fields.insert("retry-after", HeaderValue::from_static("1"));
        let other = HeaderValue::from_static("00000000000000000000000000000001");
        fields.insert("peridotspread-request", other);
        response
    }
    .boxed()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_to_another_request_does_not_reach_the_caller() {
    let daemon = daemon("another-request", refuse_another_request).await;
    let sent = request("POST", "/").body(empty()).unwrap();
    let response = daemon.send(sent).await.unwrap();
    assert_eq!(response.headers()["peridotspread-outcome"], "unknown");
}

/// Guards against reading a body for which there is no memory, and against a refusal that its caller can't receive.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_does_not_fit_in_memory_is_refused_before_its_body_is_read() {
    let limits = settings::Limits {
        memory_bytes: Some(512 * 1024),
        ..settings::Limits::default()
    };
    let daemon = daemon_with_limits("path-memory", count_bytes, limits).await;
    let upload = request("POST", "/").body(chunked_body(8, 64 * 1024, true));
    let response = daemon.send(upload.unwrap()).await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers().contains_key("retry-after"));
    let text = response.into_body().collect().await.unwrap().to_bytes();
    assert!(String::from_utf8_lossy(&text).contains("memory-full"));
    for _ in 0..3 {
        let short = request("GET", "/").body(empty()).unwrap();
        assert_eq!(daemon.send(short).await.unwrap().status(), StatusCode::OK);
    }
}

/// Guards against a request that is told that it has no route (404), although its route only leads to another service
/// since it was admitted.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_service_is_removed_while_it_waits_comes_back_at_once() {
    let daemon = daemon_without_service("path-removed").await;
    let sent = request("POST", "/").body(empty()).unwrap();
    let response = daemon.send(sent).await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()["peridotspread-outcome"], "not-run");
    assert!(response.headers().contains_key("retry-after"));
}

/// Guards against a 404 or 401 that is not true: the daemon has not heard of changes for so long that a route or a
/// credential may exist by now.
#[tokio::test]
async fn what_lapsed_rules_lack_is_refused_as_not_known_and_what_they_have_is_served() {
    let confirmed = |at| watch::channel(at).1;
    let lapsed = confirmed(None);
    for (is_private, uri, name) in [(false, "/clubs/1", "route"), (true, "/fees/1", "caller")] {
        let test = format!("lapsed-{name}");
        let daemon =
            daemon_with_confirmations(&test, name_fields, is_private, lapsed.clone()).await;
        let response = daemon
            .send(request("GET", uri).body(empty()).unwrap())
            .await;
        let response = response.unwrap();
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE, "{name}");
        assert!(response.headers().contains_key("retry-after"), "{name}");
        let cause = response.into_body().collect().await.unwrap().to_bytes();
        assert!(String::from_utf8_lossy(&cause).contains("rules-lapsed"));
    }
    let daemon = daemon_with_confirmations("lapsed-known", name_fields, false, lapsed).await;
    let response = daemon.send(request("GET", "/fees/1").body(empty()).unwrap());
    assert_eq!(response.await.unwrap().status(), StatusCode::OK);
}

#[tokio::test]
async fn what_fresh_rules_lack_is_refused_as_missing_at_once_until_they_lapse() {
    let (confirm, confirmed) = watch::channel(Some(Millis::ZERO));
    let daemon = daemon_with_confirmations("fresh-rules", name_fields, false, confirmed).await;
    let get = || daemon.send(request("GET", "/clubs/1").body(empty()).unwrap());
    let status = async || get().await.unwrap().status();
    assert_eq!(status().await, StatusCode::NOT_FOUND);
    tokio::time::sleep(time::Duration::from_millis(2_100)).await;
    assert_eq!(status().await, StatusCode::SERVICE_UNAVAILABLE);
    confirm.send_replace(Some(Millis(2_100)));
    let begin = time::Instant::now();
    assert_eq!(status().await, StatusCode::NOT_FOUND);
    assert!(begin.elapsed() < time::Duration::from_millis(500));
}

/// Guards against a request that waits at a home while its target begins to leave, and is sent by the rules of before.
#[tokio::test]
async fn a_grant_is_not_used_for_a_target_that_began_to_leave_while_the_request_waited() {
    let daemon = daemon_with_late_home("late-grant", name_fields).await;
    for method in ["GET", "POST"] {
        let response = daemon.send(request(method, "/fees/1").body(empty()).unwrap());
        let status = response.await.unwrap().status();
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{method}");
    }
}
