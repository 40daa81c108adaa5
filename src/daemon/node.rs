//! Composes the daemon, runs it until it is told to stop, and shuts it down without cutting a request.

use std::net;
use std::sync;

use futures_util::future;
use snafu::ResultExt;
use tokio::{net as tcp, signal, sync as tasks, task, time};

use crate::coordination::member as membership;
use crate::daemon::{
    admin, claims, entry, follower, home, lease, links, member, metrics, notes, spread,
};
use crate::protocol::{peer, platform};
use crate::state::{bundle, clock, ids, operator, settings, timeline};
use crate::transport::{http, platform as client, pool, quic, tls};

/// How long a leaving daemon goes on to take callers that the balancer still sends.
const LINGER_SPAN: clock::Millis = clock::Millis(3_000);
/// The time between two readings of the list of hosts.
const HOSTS_SPAN: clock::Millis = clock::Millis(30_000);
/// The time between two readings while no other daemon is known.
const ALONE_SPAN: clock::Millis = clock::Millis(500);
/// The time between two sweeps of idle connections to targets.
const SWEEP_SPAN: clock::Millis = clock::Millis(5_000);

/// Why the daemon could not run.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// An address could not be bound.
    #[snafu(display(
        "can't listen on {address} for {purpose}; free the address or change the settings"
    ))]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// What it is for.
        purpose: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
    /// The endpoint for peers could not be set up.
    #[snafu(display("can't set up the address for peers"))]
    Peers {
        /// What is wrong.
        source: quic::Error,
    },
    /// The certificate for callers can't be used.
    #[snafu(display("can't use the certificate for callers"))]
    Tls {
        /// What is wrong.
        source: tls::Error,
    },
    /// The operators' keys can't be used.
    #[snafu(display("can't use the operators' keys"))]
    Operators {
        /// What is wrong.
        source: operator::Error,
    },
    /// An actor could not start.
    #[snafu(display("can't start the {part}"))]
    Actor {
        /// What it carries.
        part: &'static str,
        /// What the actor's library said.
        source: ractor::SpawnErr,
    },
    /// The membership could not start.
    #[snafu(display("can't start the membership"))]
    Member {
        /// What is wrong.
        source: member::Error,
    },
    /// The metrics could not be set up.
    #[snafu(display("can't set up the metrics"))]
    Metrics {
        /// What is wrong.
        source: metrics::Error,
    },
}

/// Runs the daemon until `stop` resolves or an operator drains it, then shuts it down gracefully.
///
/// # Errors
///
/// Returns an error if an address can't be bound or a key can't be used.
pub async fn run(
    settings: &settings::Settings,
    stop: future::BoxFuture<'static, ()>,
) -> Result<(), Error> {
    let node = Node::start(settings).await?;
    node.serve(stop).await;
    Ok(())
}

struct Node {
    settings: settings::Settings,
    recorder: sync::Arc<timeline::Recorder>,
    peers: quic::Peers,
    members: member::Handle,
    home: sync::Arc<home::Home>,
    entry: sync::Arc<entry::Entry>,
    admin: sync::Arc<admin::Admin>,
    draining: tasks::watch::Receiver<bool>,
    tls: Option<sync::Arc<rustls::ServerConfig>>,
    public: tcp::TcpListener,
    operators: tcp::TcpListener,
    tasks: Vec<task::JoinHandle<()>>,
}

impl Node {
    async fn start(settings: &settings::Settings) -> Result<Node, Error> {
        let public = listen(settings.listen, "callers").await?;
        let operators = listen(settings.admin, "operators").await?;
        let signers =
            operator::Operators::load(&settings.keys.operators).context(OperatorsSnafu)?;
        let tls = tls::server(&settings.keys).context(TlsSnafu)?;
        let (peers, incoming) = quic::Peers::bind(settings).context(PeersSnafu)?;
        let metrics = sync::Arc::new(metrics::Metrics::new().context(MetricsSnafu)?);
        let clock = clock::Clock::start();
        let incarnation = ids::Incarnation(clock::wall().0);
        let recorder = sync::Arc::new(timeline::Recorder::new(&settings.name, incarnation));
        recorder.record(
            timeline::Kind::Started,
            timeline::Subject::default(),
            &settings.domain,
        );
        let platform: sync::Arc<dyn platform::Platform> =
            sync::Arc::new(client::HttpPlatform::new(&settings.platform));
        let members = member::spawn(member::Options {
            name: settings.name.clone(),
            peer: settings.reachable(),
            domain: settings.domain.clone(),
            incarnation,
            seeds: seeds(settings),
            peers: peers.clone(),
            clock,
            recorder: recorder.clone(),
        })
        .await
        .context(MemberSnafu)?;
        let view = members.view();
        let sender: sync::Arc<dyn peer::NoteSender> = sync::Arc::new(links::PeerNotes {
            peers: peers.clone(),
            view: view.clone(),
        });
        let follower = follower::spawn(follower::Options {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            clock,
            platform: platform.clone(),
            members: view.clone(),
            operators: signers,
            recorder: recorder.clone(),
            sender: sender.clone(),
        })
        .await
        .context(ActorSnafu {
            part: "follower of the bundle",
        })?;
        let bundle = follower.bundle();
        let claims = claims::spawn(claims::Options {
            name: settings.name.clone(),
            clock,
            platform: platform.clone(),
            members: view.clone(),
            recorder: recorder.clone(),
        })
        .await
        .context(ActorSnafu { part: "claims" })?;
        let leases = lease::Leases::new(lease::Options {
            name: settings.name.clone(),
            clock,
            platform: platform.clone(),
        });
        let spreader = spread::Spreader::new(spread::Options {
            name: settings.name.clone(),
            clock,
            view: view.clone(),
            sender: sender.clone(),
            recorder: recorder.clone(),
        });
        let home = sync::Arc::new(home::Home::new(home::Options {
            name: settings.name.clone(),
            clock,
            recorder: recorder.clone(),
            bundle: bundle.clone(),
            view: view.clone(),
            pool: pool::Pool::new(clock, settings.limits.head_bytes),
            budget: sync::Arc::new(leases),
            spread: spreader.clone(),
        }));
        spreader.attach(&home);
        let links = links::PeerLinks {
            name: settings.name.clone(),
            peers: peers.clone(),
            home: home.clone(),
        };
        let entry = sync::Arc::new(entry::Entry::new(entry::Options {
            settings: settings.clone(),
            clock,
            recorder: recorder.clone(),
            bundle: bundle.clone(),
            view: view.clone(),
            links: sync::Arc::new(links),
            claims: sync::Arc::new(claims),
            spreader: spreader.clone(),
            metrics: metrics.clone(),
        }));
        let (draining_sender, draining) = tasks::watch::channel(false);
        let admin = sync::Arc::new(admin::Admin {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            incarnation,
            token: settings.keys.admin_token.clone(),
            bundle: bundle.clone(),
            view: view.clone(),
            home: home.clone(),
            metrics,
            recorder: recorder.clone(),
            sender,
            draining: draining_sender,
        });
        let notes = sync::Arc::new(notes::Notes {
            spreader,
            home: home.clone(),
            follower,
        });
        let tasks = vec![
            tokio::spawn(accept_peers(incoming, home.clone(), members.clone(), notes)),
            tokio::spawn(pass_on_bundles(bundle, home.clone(), members.clone())),
            tokio::spawn(follow_hosts(platform, members.clone())),
            tokio::spawn(pass_on_views(view, home.clone())),
            tokio::spawn(sweep(home.clone())),
        ];
        Ok(Node {
            settings: settings.clone(),
            recorder,
            peers,
            members,
            home,
            entry,
            admin,
            draining,
            tls,
            public,
            operators,
            tasks,
        })
    }

    async fn serve(mut self, stop: future::BoxFuture<'static, ()>) {
        let (stop_public, public_stopped) = tasks::watch::channel(false);
        let (stop_admin, admin_stopped) = tasks::watch::channel(false);
        let options = http::Options {
            listener: self.public,
            limits: self.settings.limits.clone(),
            tls: self.tls.clone(),
        };
        let public = tokio::spawn(http::serve(
            options,
            sync::Arc::new(self.entry.clone()),
            public_stopped,
        ));
        let options = http::Options {
            listener: self.operators,
            limits: self.settings.limits.clone(),
            tls: None,
        };
        let operators = tokio::spawn(http::serve(
            options,
            sync::Arc::new(self.admin.clone()),
            admin_stopped,
        ));
        log::info!(
            "the daemon {} serves callers on {}",
            self.settings.name,
            self.settings.listen
        );
        tokio::select! {
            () = stop => {}
            () = http::told(&mut self.draining) => {}
        }
        self.admin.draining.send_replace(true);
        self.recorder
            .record(timeline::Kind::Draining, timeline::Subject::default(), "");
        self.members.leave().await;
        self.home.drain().await;
        time::sleep(LINGER_SPAN.span()).await;
        stop_public.send_replace(true);
        if let Err(e) = public.await {
            log::error!("the server for callers failed: {e}");
        }
        self.home.finish(self.settings.limits.drain_ms).await;
        self.recorder
            .record(timeline::Kind::Stopped, timeline::Subject::default(), "");
        stop_admin.send_replace(true);
        operators.abort();
        self.peers.close().await;
        for task in self.tasks {
            task.abort();
        }
    }
}

async fn listen(
    address: net::SocketAddr,
    purpose: &'static str,
) -> Result<tcp::TcpListener, Error> {
    tcp::TcpListener::bind(address)
        .await
        .context(ListenSnafu { address, purpose })
}

/// Hands what comes from peers to its place.
async fn accept_peers(
    mut incoming: tasks::mpsc::Receiver<quic::Incoming>,
    home: sync::Arc<home::Home>,
    members: member::Handle,
    notes: sync::Arc<notes::Notes>,
) {
    while let Some(item) = incoming.recv().await {
        match item {
            quic::Incoming::Stream {
                from,
                purpose: peer::Purpose::Request,
                send,
                recv,
            } => {
                let home = home.clone();
                tokio::spawn(async move {
                    if let Err(e) = home.serve(Box::new(recv), Box::new(send)).await {
                        log::debug!("a request's stream from {from} ended: {e}");
                    }
                });
            }
            quic::Incoming::Datagram { from, bytes } => members.deliver(from, bytes),
            quic::Incoming::Stream {
                from,
                purpose: peer::Purpose::Note,
                send,
                recv,
            } => {
                let notes = notes.clone();
                tokio::spawn(async move {
                    if let Err(e) = notes.serve(&from, recv, send).await {
                        log::debug!("a note of {from} was not answered: {e}");
                    }
                });
            }
        }
    }
}

async fn pass_on_bundles(
    mut bundle: tasks::watch::Receiver<sync::Arc<bundle::Bundle>>,
    home: sync::Arc<home::Home>,
    members: member::Handle,
) {
    while bundle.changed().await.is_ok() {
        let current = bundle.borrow_and_update().clone();
        members.set_version(current.version);
        home.adopt(&current).await;
    }
}

async fn pass_on_views(
    mut view: tasks::watch::Receiver<sync::Arc<membership::View>>,
    home: sync::Arc<home::Home>,
) {
    while view.changed().await.is_ok() {
        let current = view.borrow_and_update().clone();
        home.follow(&current).await;
    }
}

/// Returns the daemons that the settings name to join at.
fn seeds(settings: &settings::Settings) -> Vec<membership::Seed> {
    let seeds = settings.seeds.iter();
    seeds
        .map(|(name, peer)| membership::Seed {
            name: name.clone(),
            peer: *peer,
        })
        .collect()
}

/// Tells the membership of the platform's hosts, often while it knows of no others and rarely after that.
async fn follow_hosts(platform: sync::Arc<dyn platform::Platform>, members: member::Handle) {
    loop {
        match platform.hosts().await {
            Ok(hosts) => members.add_seeds(&hosts),
            Err(e) => log::warn!("the list of hosts can't be read: {e}"),
        }
        let alone = members.view().borrow().members.len() <= 1;
        let pause = if alone { ALONE_SPAN } else { HOSTS_SPAN };
        time::sleep(pause.span()).await;
    }
}

async fn sweep(home: sync::Arc<home::Home>) {
    loop {
        time::sleep(SWEEP_SPAN.span()).await;
        home.sweep();
    }
}

/// Resolves when the process is told to stop by SIGTERM or SIGINT.
///
/// # Panics
///
/// Panics if the system does not let the process listen for signals.
pub async fn stop_signal() {
    let kind = signal::unix::SignalKind::terminate();
    let mut terminate =
        signal::unix::signal(kind).expect("the system lets processes listen for signals");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = signal::ctrl_c() => {}
    }
}
