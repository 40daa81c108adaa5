//! Composes the daemon, runs it until it is told to stop, and shuts it down without cutting a request.

use std::net;
use std::sync;

use futures_util::future;
use snafu::ResultExt;
use tokio::{net as tcp, signal, sync as tasks, task, time};

use crate::coordination::member as membership;
use crate::daemon::{
    admin, claims, entry, feeds, follower, home, lease, links, member, metrics, notes, spread,
};
use crate::protocol::{peer, platform};
use crate::state::{bundle, clock, ids, operator, settings, timeline};
use crate::transport::{http, platform as client, pool, quic, tls};

/// How long a leaving daemon goes on to take callers that the balancer still sends.
const LINGER_SPAN: clock::Millis = clock::Millis(3_000);

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

/// The bundle in force, as it changes.
type Bundles = tasks::watch::Receiver<sync::Arc<bundle::Bundle>>;

/// A composed daemon.
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

/// What all parts of the daemon are built on.
struct Base {
    settings: settings::Settings,
    clock: clock::Clock,
    incarnation: ids::Incarnation,
    recorder: sync::Arc<timeline::Recorder>,
    platform: sync::Arc<dyn platform::Platform>,
    metrics: sync::Arc<metrics::Metrics>,
    peers: quic::Peers,
}

/// The live daemons, and the way to them.
struct Fleet {
    members: member::Handle,
    view: tasks::watch::Receiver<sync::Arc<membership::View>>,
    sender: sync::Arc<dyn peer::NoteSender>,
}

impl Base {
    fn new(settings: &settings::Settings, peers: quic::Peers) -> Result<Base, Error> {
        let incarnation = ids::Incarnation(clock::wall().0);
        let recorder = timeline::Recorder::new(&settings.name, incarnation);
        recorder.record(
            timeline::Kind::Started,
            timeline::Subject::default(),
            &settings.domain,
        );
        Ok(Base {
            settings: settings.clone(),
            clock: clock::Clock::start(),
            incarnation,
            recorder: sync::Arc::new(recorder),
            platform: sync::Arc::new(client::HttpPlatform::new(&settings.platform)),
            metrics: sync::Arc::new(metrics::Metrics::new().context(MetricsSnafu)?),
            peers,
        })
    }

    async fn fleet(&self) -> Result<Fleet, Error> {
        let options = member::Options {
            name: self.settings.name.clone(),
            peer: self.settings.reachable(),
            domain: self.settings.domain.clone(),
            incarnation: self.incarnation,
            seeds: seeds(&self.settings),
            peers: self.peers.clone(),
            clock: self.clock,
            recorder: self.recorder.clone(),
        };
        let members = member::spawn(options).await.context(MemberSnafu)?;
        let view = members.view();
        let notes = links::PeerNotes {
            peers: self.peers.clone(),
            view: view.clone(),
        };
        Ok(Fleet {
            members,
            view,
            sender: sync::Arc::new(notes),
        })
    }

    async fn follower(&self, fleet: &Fleet) -> Result<follower::Handle, Error> {
        let operators =
            operator::Operators::load(&self.settings.keys.operators).context(OperatorsSnafu)?;
        let options = follower::Options {
            name: self.settings.name.clone(),
            domain: self.settings.domain.clone(),
            clock: self.clock,
            platform: self.platform.clone(),
            members: fleet.view.clone(),
            operators,
            recorder: self.recorder.clone(),
            sender: fleet.sender.clone(),
        };
        let part = "follower of the bundle";
        follower::spawn(options).await.context(ActorSnafu { part })
    }

    async fn claims(&self, fleet: &Fleet) -> Result<claims::Handle, Error> {
        let options = claims::Options {
            name: self.settings.name.clone(),
            clock: self.clock,
            platform: self.platform.clone(),
            members: fleet.view.clone(),
            recorder: self.recorder.clone(),
        };
        claims::spawn(options)
            .await
            .context(ActorSnafu { part: "claims" })
    }

    fn spreader(&self, fleet: &Fleet) -> sync::Arc<spread::Spreader> {
        spread::Spreader::new(spread::Options {
            name: self.settings.name.clone(),
            clock: self.clock,
            view: fleet.view.clone(),
            sender: fleet.sender.clone(),
            recorder: self.recorder.clone(),
        })
    }

    fn home(
        &self,
        fleet: &Fleet,
        bundle: &Bundles,
        spreader: &sync::Arc<spread::Spreader>,
    ) -> sync::Arc<home::Home> {
        let leases = lease::Leases::new(lease::Options {
            name: self.settings.name.clone(),
            clock: self.clock,
            platform: self.platform.clone(),
        });
        let home = sync::Arc::new(home::Home::new(home::Options {
            name: self.settings.name.clone(),
            clock: self.clock,
            recorder: self.recorder.clone(),
            bundle: bundle.clone(),
            view: fleet.view.clone(),
            pool: pool::Pool::new(self.clock, self.settings.limits.head_bytes),
            budget: sync::Arc::new(leases),
            spread: spreader.clone(),
        }));
        spreader.attach(&home);
        home
    }

    async fn entry(
        &self,
        fleet: &Fleet,
        bundle: &Bundles,
        home: &sync::Arc<home::Home>,
        spreader: &sync::Arc<spread::Spreader>,
    ) -> Result<entry::Entry, Error> {
        let links = links::PeerLinks {
            name: self.settings.name.clone(),
            peers: self.peers.clone(),
            home: home.clone(),
        };
        Ok(entry::Entry::new(entry::Options {
            settings: self.settings.clone(),
            clock: self.clock,
            recorder: self.recorder.clone(),
            bundle: bundle.clone(),
            view: fleet.view.clone(),
            links: sync::Arc::new(links),
            claims: sync::Arc::new(self.claims(fleet).await?),
            spreader: spreader.clone(),
            metrics: self.metrics.clone(),
        }))
    }

    fn admin(&self, fleet: &Fleet, bundle: &Bundles, home: &sync::Arc<home::Home>) -> admin::Admin {
        admin::Admin {
            name: self.settings.name.clone(),
            domain: self.settings.domain.clone(),
            incarnation: self.incarnation,
            token: self.settings.keys.admin_token.clone(),
            bundle: bundle.clone(),
            view: fleet.view.clone(),
            home: home.clone(),
            metrics: self.metrics.clone(),
            recorder: self.recorder.clone(),
            sender: fleet.sender.clone(),
            draining: tasks::watch::Sender::new(false),
        }
    }
}

impl Node {
    async fn start(settings: &settings::Settings) -> Result<Node, Error> {
        let public = listen(settings.listen, "callers").await?;
        let operators = listen(settings.admin, "operators").await?;
        let tls = tls::server(&settings.keys).context(TlsSnafu)?;
        let (peers, incoming) = quic::Peers::bind(settings).context(PeersSnafu)?;
        let base = Base::new(settings, peers)?;
        let fleet = base.fleet().await?;
        let follower = base.follower(&fleet).await?;
        let bundle = follower.bundle();
        let spreader = base.spreader(&fleet);
        let home = base.home(&fleet, &bundle, &spreader);
        let entry = base.entry(&fleet, &bundle, &home, &spreader).await?;
        let admin = base.admin(&fleet, &bundle, &home);
        let notes = notes::Notes {
            spreader,
            home: home.clone(),
            follower,
        };
        let members = fleet.members;
        let tasks = vec![
            tokio::spawn(feeds::accept_peers(
                incoming,
                home.clone(),
                members.clone(),
                sync::Arc::new(notes),
            )),
            tokio::spawn(feeds::pass_on_bundles(
                bundle,
                home.clone(),
                members.clone(),
            )),
            tokio::spawn(feeds::follow_hosts(base.platform, members.clone())),
            tokio::spawn(feeds::pass_on_views(fleet.view, home.clone())),
            tokio::spawn(feeds::sweep(home.clone())),
        ];
        Ok(Node {
            settings: base.settings,
            recorder: base.recorder,
            peers: base.peers,
            members,
            home,
            entry: sync::Arc::new(entry),
            draining: admin.draining.subscribe(),
            admin: sync::Arc::new(admin),
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
