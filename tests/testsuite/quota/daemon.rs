//! Quotas of running daemons: on the request path of one, and between two over their messages.

use std::collections::BTreeMap;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use futures_util::{FutureExt, future};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use peridotspread::coordination::member;
use peridotspread::coordination::quota::{Ranking, Verdict};
use peridotspread::daemon::quota::Links;
use peridotspread::daemon::{links, metrics, quota};
use peridotspread::protocol::{frame, peer};
use peridotspread::state::{bundle, clock, ids, index};
use peridotspread::transport::{body, quic};
use tokio::sync::watch;

use crate::quic::bind_older;
use crate::support::fleet;
use crate::support::path::{daemon_with_rules, request};

fn answer(_request: Request<Incoming>) -> future::BoxFuture<'static, Response<body::Body>> {
    async { Response::new(body::full(Bytes::from_static(b"done"))) }.boxed()
}

fn refuse(_request: Request<Incoming>) -> future::BoxFuture<'static, Response<body::Body>> {
    async {
        let refused = Response::builder().status(503).header("retry-after", "0");
        refused
            .header("peridotspread-outcome", "not-run")
            .body(body::full(Bytes::new()))
            .unwrap()
    }
    .boxed()
}

fn rules(rate: f64) -> String {
    let digest = index::token_digest("key-1");
    format!(
        "[[organisations]]\nname = \"o\"\ntier = \"all\"\ncredentials = [\"{digest}\"]\nrate = {rate:.1}\nburst = 2.0\n"
    )
}

async fn send(daemon: &crate::support::path::Daemon, key: Option<&str>) -> Response<Incoming> {
    let mut head = request("GET", "/");
    if let Some(key) = key {
        head = head.header("authorization", format!("Bearer {key}"));
    }
    let request = head.body(body::full(Bytes::new())).unwrap();
    daemon.send(request).await.unwrap()
}

/// A refusal without a time, or of callers without a limit, would be as bad as no quota.
#[tokio::test(flavor = "multi_thread")]
async fn requests_beyond_the_quota_get_429_and_others_are_served() {
    let daemon = daemon_with_rules("quota-path", answer, &rules(2.0)).await;
    tokio::time::sleep(time::Duration::from_millis(600)).await;
    let mut served = 0;
    for _ in 0..40 {
        let response = send(&daemon, Some("key-1")).await;
        if response.status() == StatusCode::OK {
            served += 1;
            continue;
        }
        assert_eq!(response.status(), StatusCode::TOO_MANY_REQUESTS);
        assert!(response.headers().contains_key("retry-after"));
        assert_eq!(response.headers()["peridotspread-outcome"], "not-run");
    }
    assert!((3..40).contains(&served), "{served} served");
    assert_eq!(send(&daemon, None).await.status(), StatusCode::OK);
}

/// Requests that targets refuse to run would use up the quota.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_did_not_run_return_their_tokens() {
    let daemon = daemon_with_rules("quota-return", refuse, &rules(0.1)).await;
    tokio::time::sleep(time::Duration::from_millis(600)).await;
    for n in 0..20 {
        let response = send(&daemon, Some("key-1")).await;
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE, "{n}");
    }
}

/// Connects daemons within the process; those named in `old` know no tokens.
#[derive(Default)]
struct Wire {
    daemons: sync::Mutex<BTreeMap<String, sync::Arc<quota::Quotas>>>,
    old: Vec<String>,
}

struct Link {
    from: String,
    wire: sync::Arc<Wire>,
}

impl quota::Links for Link {
    fn get_tokens<'a>(
        &'a self,
        to: &'a str,
        request: peer::TokenRequest,
    ) -> future::BoxFuture<'a, Result<Option<Vec<peer::TokenLot>>, quota::NoTokens>> {
        Box::pin(async move {
            if self.wire.old.iter().any(|o| o == to) {
                return Err(quota::NoTokens::Old);
            }
            let daemon = self.wire.daemons.lock().unwrap().get(to).cloned();
            let no_reply = quota::NoTokens::NoReply("unknown".to_owned());
            Ok(daemon.ok_or(no_reply)?.answer(&self.from, request).await)
        })
    }
}

fn member(address: net::SocketAddr) -> member::Member {
    member::Member {
        peer: address,
        domain: "lahore-1".to_owned(),
        incarnation: ids::Incarnation(1),
        liveness: member::Liveness::Alive,
        version: 1,
    }
}

/// Starts the daemons `d0` and `d1`, and returns the first and an organisation whose holder is the second.
async fn two_daemons(old: &[&str]) -> (sync::Arc<quota::Quotas>, String) {
    let daemon = member("127.0.0.1:9".parse().unwrap());
    let names = ["d0", "d1"].map(str::to_owned);
    let members = names.iter().map(|n| (n.clone(), daemon.clone())).collect();
    let view = sync::Arc::new(member::View { members });
    let mut ranking = Ranking::default();
    ranking.apply(&view);
    let mut organisations = (0..).map(|n| format!("o{n}"));
    let organisation = organisations
        .find(|o| ranking.holder(o) == Some("d1"))
        .unwrap();
    let rules = bundle::Bundle {
        organisations: vec![bundle::Organisation {
            name: organisation.clone(),
            rate: Some(10.0),
            ..bundle::Organisation::default()
        }],
        ..bundle::Bundle::default()
    };
    let rules = sync::Arc::new(rules);
    let wire = sync::Arc::new(Wire {
        old: old.iter().map(|o| (*o).to_owned()).collect(),
        ..Wire::default()
    });
    for name in &names {
        // The senders live as long as the test, so that the daemons run.
        let bundle = Box::leak(Box::new(watch::channel(rules.clone()))).1.clone();
        let view = Box::leak(Box::new(watch::channel(view.clone()))).1.clone();
        let quotas = quota::Quotas::new(quota::Options {
            name: name.clone(),
            run: ids::Incarnation(1),
            clock: clock::Clock::start(),
            bundle,
            view,
            links: sync::Arc::new(Link {
                from: name.clone(),
                wire: wire.clone(),
            }),
            metrics: sync::Arc::new(metrics::Metrics::new().unwrap()),
        });
        tokio::spawn(quotas.clone().run());
        wire.daemons.lock().unwrap().insert(name.clone(), quotas);
    }
    let first = wire.daemons.lock().unwrap()["d0"].clone();
    tokio::time::sleep(time::Duration::from_millis(600)).await;
    (first, organisation)
}

async fn verdict(quotas: &sync::Arc<quota::Quotas>, organisation: &str) -> Option<Verdict> {
    let context = peer::RequestContext {
        organisation: organisation.to_owned(),
        ..peer::RequestContext::default()
    };
    match quotas.spend(Some(&context)) {
        quota::Arrival::Free => None,
        quota::Arrival::Decided(verdict) => Some(verdict),
        quota::Arrival::Waiting(decided) => Some(decided.await.unwrap()),
    }
}

/// Without the messages, each home would hand out the quota for itself or refuse everything.
#[tokio::test(flavor = "multi_thread")]
async fn a_home_spends_tokens_of_another_daemon() {
    let (home, organisation) = two_daemons(&[]).await;
    assert_eq!(verdict(&home, &organisation).await, Some(Verdict::Go));
    let mut refused = false;
    for _ in 0..40 {
        refused |= matches!(
            verdict(&home, &organisation).await,
            Some(Verdict::Refuse(_))
        );
    }
    assert!(refused);
    assert_eq!(verdict(&home, "no limit").await, None);
}

/// While hosts are replaced, a holder of the older build would leave its organisations without tokens.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_knows_no_tokens_is_no_holder() {
    let (home, organisation) = two_daemons(&["d1"]).await;
    assert_eq!(verdict(&home, &organisation).await, Some(Verdict::Go));
}

/// An older build drops a connection with a message that it does not know.
#[tokio::test(flavor = "multi_thread")]
async fn requests_for_tokens_are_sent_to_builds_that_know_them_only() {
    let files = fleet::files("quota-quic");
    let (a, _incoming) = quic::Peers::bind(&files.settings("a")).unwrap();
    let (b, mut to_b) = quic::Peers::bind(&files.settings("b")).unwrap();
    let (older, mut to_older) = bind_older(&files, "c");
    let members = [("b", b.local()), ("c", older.local())];
    let members = members.map(|(name, at)| (name.to_owned(), member(at)));
    let view = sync::Arc::new(member::View {
        members: members.into(),
    });
    let links = links::ControlLinks {
        peers: a,
        view: watch::channel(view).1,
    };
    let request = peer::TokenRequest {
        home: "a".to_owned(),
        run: 1,
        sequence: 1,
        received: 0,
        forwarded: false,
        needs: Vec::new(),
    };
    let lots = Some(vec![peer::TokenLot {
        organisation: "o".to_owned(),
        tokens: 2,
        wait: clock::Millis(50),
        room: clock::Millis(70),
    }]);
    let (sent, reply) = (request.clone(), lots.clone());
    let holder = tokio::spawn(async move {
        let Some(quic::Incoming::Stream {
            mut send, mut recv, ..
        }) = to_b.recv().await
        else {
            panic!("a stream comes first");
        };
        let message: peer::ControlMessage = frame::receive(&mut recv).await.unwrap();
        assert_eq!(message, peer::ControlMessage::GetTokens(Box::new(sent)));
        let reply = peer::ControlMessage::Tokens(reply);
        frame::send(&mut send, &reply).await.unwrap();
        send.finish().unwrap();
        let _ = send.stopped().await;
    });
    assert_eq!(links.get_tokens("b", request.clone()).await, Ok(lots));
    holder.await.unwrap();
    let old = links.get_tokens("c", request).await;
    assert_eq!(old, Err(quota::NoTokens::Old));
    if let Some(quic::Incoming::Stream { mut recv, .. }) = to_older.recv().await {
        assert!(frame::read(&mut recv).await.is_err(), "a message was sent");
    }
}
