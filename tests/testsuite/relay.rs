//! Requests of a daemon that reaches no target, through a relay that a test scripts: what became of a request is told
//! truthfully, and nothing is sent twice.

use std::net;
use std::sync;
use std::time;

use futures_util::future;
use http::StatusCode;
use peridotspread::daemon::egress;
use peridotspread::protocol::frame;
use peridotspread::protocol::relay::{RelayReply, RelayRequest};
use peridotspread::transport::{body, pool};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

use crate::support::path::{connector, daemon_with_relays, request};

/// What the relays of a test do with a stream.
#[derive(Clone, Copy)]
enum Script {
    /// Reply this, and close the stream.
    Reply(RelayReply),
    /// Accept the request, and answer it with this.
    Answer(&'static str),
}

/// Relays that play a script and keep the requests that they received.
struct ScriptedRelays {
    script: Script,
    received: sync::Arc<sync::Mutex<Vec<String>>>,
}

impl egress::Relays for ScriptedRelays {
    fn open<'a>(&'a self, _name: &'a str) -> future::BoxFuture<'a, Option<Box<dyn pool::Stream>>> {
        let (near, far) = tokio::io::duplex(16 * 1024);
        tokio::spawn(play(self.script, far, self.received.clone()));
        Box::pin(async move { Some(Box::new(near) as Box<dyn pool::Stream>) })
    }
}

async fn play(
    script: Script,
    mut stream: DuplexStream,
    received: sync::Arc<sync::Mutex<Vec<String>>>,
) {
    let asked: RelayRequest = frame::receive(&mut stream).await.unwrap();
    assert_eq!(asked.target, "web-1");
    let answer = match script {
        Script::Reply(reply) => {
            // The daemon may have taken another path.
            let _ = frame::send(&mut stream, &reply).await;
            return;
        }
        Script::Answer(answer) => answer,
    };
    frame::send(&mut stream, &RelayReply::Ready).await.unwrap();
    let mut buffer = vec![0; 4096];
    let count = stream.read(&mut buffer).await.unwrap_or_default();
    if count > 0 {
        let head = String::from_utf8_lossy(&buffer[..count]);
        let line = head.lines().next().unwrap_or_default().to_owned();
        received.lock().unwrap().push(line);
        // The daemon may have closed the stream.
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}

/// A direct connector whose connections are refused.
struct NoTargets;

impl pool::Connector for NoTargets {
    fn connect<'a>(
        &'a self,
        to: pool::Destination<'a>,
    ) -> future::BoxFuture<'a, Result<pool::Opened, pool::Error>> {
        let address: net::SocketAddr = to.address;
        let source = std::io::ErrorKind::ConnectionRefused.into();
        Box::pin(async move { Err(pool::Error::Connect { address, source }) })
    }

    fn trusts_idle(&self) -> bool {
        true
    }
}

/// Sends a request that must not run twice; returns its status, and how often a relay received it.
async fn send(test: &str, script: Script) -> (StatusCode, usize) {
    let received = sync::Arc::<sync::Mutex<Vec<String>>>::default();
    let relays = ScriptedRelays {
        script,
        received: received.clone(),
    };
    let daemon = daemon_with_relays(test, sync::Arc::new(NoTargets), sync::Arc::new(relays)).await;
    let request = request("POST", "/fees").body(body::full("paid".into()));
    let response = daemon.send(request.unwrap()).await.unwrap();
    let count = received.lock().unwrap().len();
    (response.status(), count)
}

const ANSWERED: &str =
    "HTTP/1.1 200 OK\r\nperidotspread-relay-result: answered\r\ncontent-length: 2\r\n\r\nok";
const NOT_SENT: &str =
    "HTTP/1.1 502 Bad Gateway\r\nperidotspread-relay-result: not-sent\r\ncontent-length: 0\r\n\r\n";
const BROKEN: &str =
    "HTTP/1.1 502 Bad Gateway\r\nperidotspread-relay-result: broken\r\ncontent-length: 0\r\n\r\n";
const UNMARKED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_a_relay_passes_on_reaches_the_caller() {
    let sent = send("relay-answered", Script::Answer(ANSWERED)).await;
    assert_eq!(sent, (StatusCode::OK, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_a_relay_did_not_send_is_refused_as_not_run() {
    let (status, received) = send("relay-not-sent", Script::Answer(NOT_SENT)).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(received >= 1);
}

// A status that promises "not run" would make the caller send the request again.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_relay_is_lost_has_an_unknown_outcome_and_is_sent_once() {
    let sent = send("relay-lost", Script::Answer("")).await;
    assert_eq!(sent, (StatusCode::BAD_GATEWAY, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_broke_behind_a_relay_has_an_unknown_outcome_and_is_sent_once() {
    let sent = send("relay-broken", Script::Answer(BROKEN)).await;
    assert_eq!(sent, (StatusCode::BAD_GATEWAY, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_the_mark_of_a_relay_proves_nothing() {
    let sent = send("relay-unmarked", Script::Answer(UNMARKED)).await;
    assert_eq!(sent, (StatusCode::BAD_GATEWAY, 1));
}

// It waited for the rest of the time that a connection may take.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_all_paths_refuse_fails_at_once() {
    let relays = ScriptedRelays {
        script: Script::Reply(RelayReply::ConnectFailed),
        received: sync::Arc::default(),
    };
    let connector = connector(sync::Arc::new(NoTargets), sync::Arc::new(relays));
    let to = pool::Destination {
        name: "web-1",
        address: "127.0.0.1:9".parse().unwrap(),
        idempotent: false,
        direct: false,
        request: Some("first"),
    };
    let began = time::Instant::now();
    let failed = pool::Connector::connect(&connector, to).await.err();
    assert!(
        matches!(failed, Some(pool::Error::Connect { .. })),
        "{failed:?}"
    );
    assert!(began.elapsed() < pool::CONNECT_TIMEOUT.span() / 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_no_relay_takes_is_refused_as_not_run() {
    for (test, reply) in [
        ("relay-cut-off", RelayReply::CutOff),
        ("relay-busy", RelayReply::Busy),
        ("relay-unlisted", RelayReply::Unlisted),
        ("relay-failed", RelayReply::ConnectFailed),
    ] {
        let sent = send(test, Script::Reply(reply)).await;
        assert_eq!(sent, (StatusCode::SERVICE_UNAVAILABLE, 0), "{test}");
    }
}
