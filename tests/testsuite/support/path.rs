//! The request path of one daemon: its entry, its own home, and a target whose responses a test defines. Its only peers
//! are relays that a test plays.

use std::convert;
use std::net;
use std::sync;

use bytes::Bytes;
use futures_util::future;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::service;
use hyper_util::rt;
use peridotspread::coordination::member;
use peridotspread::daemon::{
    broadcast, cell, claims, egress, entry, exchange, freshness, home, memory, metrics, quota,
};
use peridotspread::protocol::{dialect, frame, peer};
use peridotspread::state::{bundle, clock, ids, settings, timeline};
use peridotspread::transport::{body, http as server, pool};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::fleet;

/// Responds to the requests that the target receives.
pub(crate) type Respond = fn(Request<Incoming>) -> future::BoxFuture<'static, Response<body::Body>>;

/// A running daemon with its target; both end with the runtime of the test.
pub(crate) struct Daemon {
    /// The address for callers.
    pub(crate) address: net::SocketAddr,
    _bundle: watch::Sender<sync::Arc<bundle::Bundle>>,
    _view: watch::Sender<sync::Arc<member::View>>,
    _stop: watch::Sender<bool>,
}

/// Starts a daemon with one target that has two slots and responds by `respond`; `test` names its directory.
pub(crate) async fn daemon(test: &str, respond: Respond) -> Daemon {
    daemon_with_limits(test, respond, settings::Limits::default()).await
}

/// Starts a daemon as [`daemon`] does, with other limits.
pub(crate) async fn daemon_with_limits(
    test: &str,
    respond: Respond,
    limits: settings::Limits,
) -> Daemon {
    let setup = Setup {
        limits,
        ..Setup::default()
    };
    start(test, respond, setup).await
}

/// Starts a daemon as [`daemon`] does, which has a route for `/fees` alone and serves callers with a known credential
/// only if `is_private`; `confirmed` tells when the platform confirmed its rules.
pub(crate) async fn daemon_with_confirmations(
    test: &str,
    respond: Respond,
    is_private: bool,
    confirmed: freshness::Confirmations,
) -> Daemon {
    let setup = Setup {
        prefix: Some("/fees"),
        rules: match is_private {
            true => "[unknown]\naction = \"refuse\"\n",
            false => "",
        },
        confirmed: Some(confirmed),
        ..Setup::default()
    };
    start(test, respond, setup).await
}

/// Starts a daemon as [`daemon`] does, whose bundle also holds `rules`.
pub(crate) async fn daemon_with_rules(test: &str, respond: Respond, rules: &str) -> Daemon {
    let setup = Setup {
        rules,
        ..Setup::default()
    };
    start(test, respond, setup).await
}

/// Starts a daemon that opens connections to its target by `direct` or through the relays `r1` and `r2`.
pub(crate) async fn daemon_with_relays(
    test: &str,
    direct: sync::Arc<dyn pool::Connector>,
    relays: sync::Arc<dyn egress::Relays>,
) -> Daemon {
    let never = |_| -> future::BoxFuture<'static, Response<body::Body>> {
        Box::pin(std::future::pending())
    };
    let setup = Setup {
        paths: Some((direct, relays)),
        ..Setup::default()
    };
    start(test, never, setup).await
}

/// Starts a daemon as [`daemon`] does, whose home grants the target `grants` times for each request and is then lost.
pub(crate) async fn daemon_with_lost_home(test: &str, respond: Respond, grants: u32) -> Daemon {
    let setup = Setup {
        grants: Some(grants),
        ..Setup::default()
    };
    start(test, respond, setup).await
}

/// Starts a daemon as [`daemon`] does, whose home has old rules: it grants the target, which the rules of the daemon list
/// as leaving since the request was handed to the home.
pub(crate) async fn daemon_with_late_home(test: &str, respond: Respond) -> Daemon {
    let setup = Setup {
        grants: Some(1),
        rules: LEAVING,
        ..Setup::default()
    };
    start(test, respond, setup).await
}

/// Rules by which [`daemon_with_late_home`] lists the target as leaving.
const LEAVING: &str = "# the target leaves while a request waits\n";

/// Starts a daemon as [`daemon`] does, whose home is lost with each request, and whose service is removed then.
pub(crate) async fn daemon_without_service(test: &str) -> Daemon {
    let never = |_| -> future::BoxFuture<'static, Response<body::Body>> {
        Box::pin(std::future::pending())
    };
    let setup = Setup {
        grants: Some(0),
        rules: REMOVED,
        ..Setup::default()
    };
    start(test, never, setup).await
}

/// Rules by which [`daemon_without_service`] removes the service.
const REMOVED: &str = "# the service is removed while a request waits\n";

/// The direct connector and the relays of a daemon.
type Paths = (
    sync::Arc<dyn pool::Connector>,
    sync::Arc<dyn egress::Relays>,
);

/// How a daemon differs from that of [`daemon`].
#[derive(Default)]
struct Setup<'a> {
    limits: settings::Limits,
    /// The number of grants for each request after which its home is lost.
    grants: Option<u32>,
    paths: Option<Paths>,
    /// The prefix of its route; absent if the route matches all requests.
    prefix: Option<&'a str>,
    /// Further rules of the bundle.
    rules: &'a str,
    /// When the platform last confirmed the rules.
    confirmed: Option<freshness::Confirmations>,
}

async fn start(test: &str, respond: Respond, setup: Setup<'_>) -> Daemon {
    let Setup {
        limits,
        grants,
        paths,
        prefix,
        rules,
        confirmed,
    } = setup;
    let prefix = prefix.unwrap_or("/");
    let target = target(respond).await;
    let mut own = fleet::files(test).settings("d1");
    own.limits = limits.clone();
    let clock = clock::Clock::start();
    let recorder = sync::Arc::new(timeline::Recorder::new("d1", ids::Incarnation(1)));
    let (bundle, bundle_seen) = watch::channel(sync::Arc::new(bundle_of(target, prefix, rules)));
    let (view, view_seen) = watch::channel(sync::Arc::new(view_of(&["d1"])));
    let metrics = sync::Arc::new(metrics::Metrics::new().unwrap());
    let memory = memory::Memory::new(&limits, &metrics);
    let pool_connector: sync::Arc<dyn pool::Connector> = match paths {
        None => sync::Arc::new(pool::TcpConnector),
        Some((direct, relays)) => sync::Arc::new(connector(direct, relays)),
    };
    let quotas = quota::Quotas::new(quota::Options {
        name: "d1".to_owned(),
        run: ids::Incarnation(1),
        clock,
        bundle: bundle_seen.clone(),
        view: view_seen.clone(),
        links: sync::Arc::new(NoPeers),
        metrics: metrics.clone(),
    });
    tokio::spawn(quotas.clone().run());
    let home = sync::Arc::new(home::Home::new(home::Options {
        name: "d1".to_owned(),
        clock,
        recorder: recorder.clone(),
        bundle: bundle_seen.clone(),
        view: view_seen.clone(),
        budget: sync::Arc::new(cell::NoEjectionBudget),
        broadcast: sync::Arc::new(NoBroadcast),
        quotas: quotas.clone(),
        metrics: metrics.clone(),
        memory: memory.clone(),
    }));
    let broadcaster = broadcast::Broadcaster::new(broadcast::Options {
        name: "d1".to_owned(),
        clock,
        view: view_seen.clone(),
        sender: sync::Arc::new(NoPeers),
        recorder: recorder.clone(),
    });
    let entry = sync::Arc::new(entry::Entry::new(entry::Options {
        settings: own,
        clock,
        recorder,
        bundle: bundle_seen,
        freshness: match confirmed {
            Some(confirmed) => freshness::Freshness::new(clock, confirmed, limits.apply_ms),
            None => freshness::Freshness::unlimited(clock),
        },
        view: view_seen,
        links: sync::Arc::new(OwnHome {
            home,
            grants,
            change: match rules {
                REMOVED => Some(|bundle| bundle.services.clear()),
                LEAVING => Some(|bundle| {
                    let services = bundle.services.iter_mut();
                    services.for_each(|s| s.targets.iter_mut().for_each(|t| t.leaving = true));
                }),
                _ => None,
            },
            bundle: bundle.clone(),
        }),
        claims: sync::Arc::new(claims::NoClaims),
        broadcaster,
        quotas,
        metrics,
        client: exchange::TargetClient {
            clock,
            pool: sync::Arc::new(pool::Pool::new(clock, limits.head_bytes, pool_connector)),
            dialect: sync::Arc::new(dialect::Native),
        },
        memory,
        shutdown: sync::Arc::default(),
    }));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let options = server::Options {
        listener,
        limits: watch::channel(limits).1,
        tls: None,
        last_requests: clock::Millis::ZERO,
    };
    tokio::spawn(server::serve(options, sync::Arc::new(entry), stopped));
    Daemon {
        address,
        _bundle: bundle,
        _view: view,
        _stop: stop,
    }
}

impl Daemon {
    /// Sends a request on a connection of its own.
    pub(crate) async fn send(
        &self,
        request: Request<body::Body>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        let stream = TcpStream::connect(self.address).await.unwrap();
        let (mut sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        sender.send_request(request).await
    }
}

async fn target(respond: Respond) -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let responding = service::service_fn(move |request| async move {
                Ok::<_, convert::Infallible>(respond(request).await)
            });
            let serving = hyper::server::conn::http1::Builder::new();
            tokio::spawn(serving.serve_connection(rt::TokioIo::new(stream), responding));
        }
    });
    address
}

fn bundle_of(target: net::SocketAddr, prefix: &str, rules: &str) -> bundle::Bundle {
    let text = format!(
        "version = 1\n[[tiers]]\nname = \"all\"\n[[services]]\nname = \"web\"\nfloor = 1\ndeadline_ms = 5000\n\
         [[services.targets]]\nname = \"web-1\"\naddress = \"{target}\"\ndomain = \"lahore-1\"\nslots = 2\n\
         [[routes]]\nprefix = \"{prefix}\"\nservice = \"web\"\n{rules}"
    );
    bundle::parse("bundle.toml", &text).unwrap()
}

/// Returns a view of daemons of one failure domain.
fn view_of(names: &[&str]) -> member::View {
    let daemon = member::Member {
        peer: "127.0.0.1:9".parse().unwrap(),
        domain: "lahore-1".to_owned(),
        incarnation: ids::Incarnation(1),
        liveness: member::Liveness::Alive,
        version: 1,
    };
    let members = names
        .iter()
        .map(|name| ((*name).to_owned(), daemon.clone()));
    member::View {
        members: members.collect(),
    }
}

/// Returns the connector of the daemon `d1`, whose relays are `r1` and `r2`.
pub(crate) fn connector(
    direct: sync::Arc<dyn pool::Connector>,
    relays: sync::Arc<dyn egress::Relays>,
) -> egress::EgressConnector {
    let view = sync::Arc::new(view_of(&["d1", "r1", "r2"]));
    egress::EgressConnector::new(egress::Options {
        name: "d1".to_owned(),
        domain: "lahore-1".to_owned(),
        clock: clock::Clock::start(),
        view: watch::channel(view).1,
        direct,
        relays,
        metrics: sync::Arc::new(metrics::Metrics::new().unwrap()),
    })
}

struct OwnHome {
    home: sync::Arc<home::Home>,
    /// The number of grants for each request after which the home is lost; absent if it is never lost.
    grants: Option<u32>,
    /// How the bundle changes when a request is handed to the home; absent if it stays.
    change: Option<fn(&mut bundle::Bundle)>,
    bundle: watch::Sender<sync::Arc<bundle::Bundle>>,
}

/// Grants the target for the slot request and after each outcome but the last, and then closes the stream.
async fn grant_and_close(mut recv: home::RecvHalf, mut send: home::SendHalf, grants: u32) {
    for _ in 0..grants {
        frame::receive::<peer::ToHome>(&mut recv).await.unwrap();
        let grant = peer::FromHome::Granted {
            target: "web-1".to_owned(),
            summary: None,
        };
        frame::send(&mut send, &grant).await.unwrap();
    }
    frame::receive::<peer::ToHome>(&mut recv).await.unwrap();
}

impl entry::Links for OwnHome {
    fn open<'a>(
        &'a self,
        _name: &'a str,
        _address: net::SocketAddr,
    ) -> future::BoxFuture<'a, Option<(home::RecvHalf, home::SendHalf)>> {
        let (home, grants) = (self.home.clone(), self.grants);
        if let Some(change) = self.change {
            self.bundle.send_modify(|bundle| {
                let bundle = sync::Arc::make_mut(bundle);
                bundle.version = 2;
                change(bundle);
            });
        }
        Box::pin(async move {
            let (entry_side, home_side) = tokio::io::duplex(16 * 1024);
            let (recv, send) = tokio::io::split(home_side);
            tokio::spawn(async move {
                match grants {
                    Some(grants) => grant_and_close(Box::new(recv), Box::new(send), grants).await,
                    // The response of a request shows whether its stream broke.
                    None => drop(home.serve(Box::new(recv), Box::new(send)).await),
                }
            });
            let (recv, send) = tokio::io::split(entry_side);
            Some((
                Box::new(recv) as home::RecvHalf,
                Box::new(send) as home::SendHalf,
            ))
        })
    }
}

struct NoBroadcast;

impl cell::Broadcast for NoBroadcast {
    fn quarantine(&self, _fingerprint: ids::Fingerprint, _span: clock::Millis) {}
}

struct NoPeers;

impl quota::Links for NoPeers {
    fn get_tokens<'a>(
        &'a self,
        _to: &'a str,
        _request: peer::TokenRequest,
    ) -> future::BoxFuture<'a, Result<Option<Vec<peer::TokenLot>>, quota::NoTokens>> {
        let reason = "this daemon has no peers".to_owned();
        Box::pin(async move { Err(quota::NoTokens::NoReply(reason)) })
    }
}

impl peer::ControlSender for NoPeers {
    fn send<'a>(
        &'a self,
        to: &'a str,
        _message: peer::ControlMessage,
    ) -> future::BoxFuture<'a, Result<peer::ControlMessage, peer::NoReply>> {
        let reason = "this daemon has no peers".to_owned();
        Box::pin(async move {
            Err(peer::NoReply {
                to: to.to_owned(),
                reason,
            })
        })
    }
}

/// Returns the builder of a request to the service of the test.
pub(crate) fn request(method: &str, uri: &str) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(uri)
        .header("host", "web.test")
}

/// Returns a body of `count` chunks of `len` bytes, which is truncated unless `whole`.
pub(crate) fn chunked_body(count: usize, len: usize, whole: bool) -> body::Body {
    let (sender, receiver) = body::channel();
    tokio::spawn(async move {
        for _ in 0..count {
            if sender
                .send(body::Chunk::Data(Bytes::from(vec![b'x'; len])))
                .await
                .is_err()
            {
                return;
            }
        }
        if whole {
            let _ = sender.send(body::Chunk::End(http::HeaderMap::new())).await;
        }
    });
    body::from_channel(Bytes::new(), receiver)
}
