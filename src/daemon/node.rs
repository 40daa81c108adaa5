//! Composes the daemon, runs it until it is stopped, and shuts it down gracefully: running requests are finished.

use std::net;
use std::sync;

use futures_util::future;
use snafu::ResultExt;
use tokio::{net as tcp, signal, sync as tokio_sync, task, time};

use crate::coordination::member as membership;
use crate::coordination::shutdown as graceful;
use crate::daemon::{
    admin, background, broadcast, cell, claims, control, egress, entry, exchange, follower,
    freshness, home, lease, links, member, memory, metrics, quota, registry, relay, shutdown,
};
use crate::protocol::{dialect, peer, platform, source};
use crate::state::{bundle, clock, ids, operator, settings, timeline};
use crate::transport::{http, platform as client, pool, quic, tls};

/// An error that prevents the daemon from starting.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// An address could not be bound.
    #[snafu(display(
        "failed to listen on {address} for {purpose}; free the address or change the settings"
    ))]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// What the address is for.
        purpose: &'static str,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The endpoint for peers could not be set up.
    #[snafu(display("failed to set up the endpoint for peers"))]
    Peers {
        /// The cause.
        source: quic::Error,
    },
    /// The certificate for callers could not be loaded.
    #[snafu(display("failed to load the certificate for callers"))]
    Tls {
        /// The cause.
        source: tls::Error,
    },
    /// The operators' keys could not be loaded.
    #[snafu(display("failed to load the operators' keys"))]
    Operators {
        /// The cause.
        source: operator::Error,
    },
    /// An actor could not start.
    #[snafu(display("failed to start the {part}"))]
    Actor {
        /// The part of the daemon that the actor runs.
        part: &'static str,
        /// The error of the actor library.
        source: ractor::SpawnErr,
    },
    /// The membership could not start.
    #[snafu(display("failed to start the membership"))]
    Member {
        /// The cause.
        source: member::Error,
    },
    /// The metrics could not be set up.
    #[snafu(display("failed to set up the metrics"))]
    Metrics {
        /// The cause.
        source: metrics::Error,
    },
}

/// The source of the rules and targets that the daemon runs by.
pub enum ConfigSource {
    /// Operators sign bundles and roll them out over the platform's table, which also holds the claims of idempotency
    /// keys and the leases of the ejection budget.
    Bundles {
        /// Stores bundles, claims and leases.
        platform: sync::Arc<dyn platform::Platform>,
        /// The operators who may sign bundles.
        operators: operator::Operators,
    },
    /// A platform keeps rules and targets itself. Idempotency keys are not claimed, and no target is ejected.
    Registry {
        /// Reads and follows rules and targets.
        source: sync::Arc<dyn source::Source>,
    },
}

/// What a daemon is built from: its settings, its credentials and the implementations of its interfaces.
pub struct Parts {
    /// The daemon's settings.
    pub settings: settings::Settings,
    /// Which run of the daemon this is.
    pub incarnation: ids::Incarnation,
    /// The identity that this daemon proves to others.
    pub identity: quic::Identity,
    /// The TLS settings for callers; plain HTTP where absent.
    pub tls: Option<sync::Arc<rustls::ServerConfig>>,
    /// Names the header fields that callers and targets use.
    pub dialect: sync::Arc<dyn dialect::Dialect>,
    /// Lists the hosts of the fleet.
    pub hosts: sync::Arc<dyn platform::Hosts>,
    /// The source of rules and targets.
    pub config: ConfigSource,
    /// The daemon's metrics.
    pub metrics: sync::Arc<metrics::Metrics>,
}

impl Parts {
    /// Returns the parts of a daemon that follows signed bundles, by its settings.
    ///
    /// # Errors
    ///
    /// Returns an error if a key or a certificate cannot be loaded.
    pub fn native(settings: &settings::Settings) -> Result<Parts, Error> {
        let platform = sync::Arc::new(client::HttpPlatform::new(&settings.platform));
        let operators =
            operator::Operators::load(&settings.keys.operators).context(OperatorsSnafu)?;
        Ok(Parts {
            settings: settings.clone(),
            incarnation: ids::Incarnation(clock::wall().0),
            identity: quic::Identity::read(settings).context(PeersSnafu)?,
            tls: tls::server_config(&settings.keys).context(TlsSnafu)?,
            dialect: sync::Arc::new(dialect::Native),
            hosts: platform.clone(),
            config: ConfigSource::Bundles {
                platform,
                operators,
            },
            metrics: sync::Arc::new(metrics::Metrics::new().context(MetricsSnafu)?),
        })
    }
}

/// Runs a daemon with the parts of [`Parts::native`] until `stop` resolves or an operator drains it, then shuts it down
/// gracefully.
///
/// # Errors
///
/// Returns an error if an address cannot be bound, a key cannot be loaded or a part cannot start.
pub async fn run(
    settings: &settings::Settings,
    stop: future::BoxFuture<'static, ()>,
) -> Result<(), Error> {
    run_with(Parts::native(settings)?, stop).await
}

/// Runs a daemon of the given parts as [`run`] does.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a part cannot start.
pub async fn run_with(parts: Parts, stop: future::BoxFuture<'static, ()>) -> Result<(), Error> {
    let node = Node::start(parts).await?;
    node.serve(stop).await;
    Ok(())
}

/// The bundle in force, and the handler of control messages about it.
struct BundleSource {
    bundle: BundleReceiver,
    freshness: freshness::Freshness,
    handler: sync::Arc<dyn peer::ControlHandler>,
}

/// Receives the bundle in force.
type BundleReceiver = tokio_sync::watch::Receiver<sync::Arc<bundle::Bundle>>;

/// A daemon that is set up: its running actors and its bound listeners.
struct Node {
    settings: settings::Settings,
    recorder: sync::Arc<timeline::Recorder>,
    clock: clock::Clock,
    shutdown: sync::Arc<shutdown::Shutdown>,
    peers: quic::Peers,
    members: member::Handle,
    home: sync::Arc<home::Home>,
    entry: sync::Arc<entry::Entry>,
    relay: sync::Arc<relay::Relay>,
    admin: sync::Arc<admin::Admin>,
    draining: tokio_sync::watch::Receiver<bool>,
    tls: Option<sync::Arc<rustls::ServerConfig>>,
    limits: tokio_sync::watch::Receiver<settings::Limits>,
    ready: Option<tcp::TcpListener>,
    caller_listener: tcp::TcpListener,
    admin_listener: tcp::TcpListener,
    tasks: Vec<task::JoinHandle<()>>,
}

/// What several parts of the daemon share.
struct Shared {
    settings: settings::Settings,
    clock: clock::Clock,
    incarnation: ids::Incarnation,
    recorder: sync::Arc<timeline::Recorder>,
    hosts: sync::Arc<dyn platform::Hosts>,
    config: ConfigSource,
    dialect: sync::Arc<dyn dialect::Dialect>,
    metrics: sync::Arc<metrics::Metrics>,
    peers: quic::Peers,
    memory: sync::Arc<memory::Memory>,
    shutdown: sync::Arc<shutdown::Shutdown>,
}

/// The live daemons, and the sender of control messages to them.
struct Fleet {
    members: member::Handle,
    view: tokio_sync::watch::Receiver<sync::Arc<membership::View>>,
    sender: sync::Arc<dyn peer::ControlSender>,
    tokens: sync::Arc<dyn quota::Links>,
}

impl Shared {
    fn new(parts: Parts, peers: quic::Peers) -> Result<Shared, Error> {
        let (settings, incarnation) = (&parts.settings, parts.incarnation);
        let clock = clock::Clock::start();
        let recorder = timeline::Recorder::new(&settings.name, incarnation);
        recorder.record(
            timeline::Kind::Started,
            timeline::Subject::default(),
            &settings.domain,
        );
        Ok(Shared {
            memory: memory::Memory::new(&settings.limits, &parts.metrics),
            settings: settings.clone(),
            clock,
            incarnation,
            recorder: sync::Arc::new(recorder),
            hosts: parts.hosts,
            config: parts.config,
            dialect: parts.dialect,
            metrics: parts.metrics,
            peers,
            shutdown: sync::Arc::default(),
        })
    }

    async fn fleet(&self) -> Result<Fleet, Error> {
        let options = member::Options {
            name: self.settings.name.clone(),
            peer: self.settings.advertised_address(),
            domain: self.settings.domain.clone(),
            incarnation: self.incarnation,
            seeds: seeds(&self.settings),
            peers: self.peers.clone(),
            clock: self.clock,
            recorder: self.recorder.clone(),
        };
        let members = member::spawn(options).await.context(MemberSnafu)?;
        let view = members.view();
        let links = sync::Arc::new(links::ControlLinks {
            peers: self.peers.clone(),
            view: view.clone(),
        });
        Ok(Fleet {
            members,
            view,
            sender: links.clone(),
            tokens: links,
        })
    }

    async fn bundle_source(&self, fleet: &Fleet) -> Result<BundleSource, Error> {
        match &self.config {
            ConfigSource::Bundles {
                platform,
                operators,
            } => self.follower(fleet, platform, operators).await,
            ConfigSource::Registry { source } => self.registry(fleet, source).await,
        }
    }

    async fn follower(
        &self,
        fleet: &Fleet,
        platform: &sync::Arc<dyn platform::Platform>,
        operators: &operator::Operators,
    ) -> Result<BundleSource, Error> {
        let options = follower::Options {
            name: self.settings.name.clone(),
            domain: self.settings.domain.clone(),
            clock: self.clock,
            platform: platform.clone(),
            members: fleet.view.clone(),
            operators: operators.clone(),
            recorder: self.recorder.clone(),
            sender: fleet.sender.clone(),
        };
        let part = "follower of the bundle";
        let follower = follower::spawn(options).await;
        let follower = follower.context(ActorSnafu { part })?;
        Ok(BundleSource {
            bundle: follower.bundle(),
            freshness: freshness::Freshness::unlimited(self.clock),
            handler: sync::Arc::new(follower),
        })
    }

    async fn registry(
        &self,
        fleet: &Fleet,
        source: &sync::Arc<dyn source::Source>,
    ) -> Result<BundleSource, Error> {
        let options = registry::Options {
            name: self.settings.name.clone(),
            domain: self.settings.domain.clone(),
            clock: self.clock,
            source: source.clone(),
            members: fleet.view.clone(),
            sender: fleet.sender.clone(),
            hosts: self.hosts.clone(),
            metrics: self.metrics.clone(),
            recorder: self.recorder.clone(),
        };
        let part = "registry of rules and targets";
        let registry = registry::spawn(options).await;
        let registry = registry.context(ActorSnafu { part })?;
        let bound = self.settings.limits.apply_ms;
        Ok(BundleSource {
            bundle: registry.bundle(),
            freshness: freshness::Freshness::new(self.clock, registry.confirmations(), bound),
            handler: sync::Arc::new(registry),
        })
    }

    async fn claims(&self, fleet: &Fleet) -> Result<sync::Arc<dyn claims::Claims>, Error> {
        let ConfigSource::Bundles { platform, .. } = &self.config else {
            return Ok(sync::Arc::new(claims::NoClaims));
        };
        let options = claims::Options {
            name: self.settings.name.clone(),
            clock: self.clock,
            platform: platform.clone(),
            members: fleet.view.clone(),
            recorder: self.recorder.clone(),
        };
        let claims = claims::spawn(options).await;
        let claims = claims.context(ActorSnafu { part: "claims" })?;
        Ok(sync::Arc::new(claims))
    }

    fn budget(&self) -> sync::Arc<dyn cell::EjectionBudget> {
        let ConfigSource::Bundles { platform, .. } = &self.config else {
            return sync::Arc::new(cell::NoEjectionBudget);
        };
        sync::Arc::new(lease::Leases::new(lease::Options {
            name: self.settings.name.clone(),
            clock: self.clock,
            platform: platform.clone(),
        }))
    }

    fn broadcaster(&self, fleet: &Fleet) -> sync::Arc<broadcast::Broadcaster> {
        broadcast::Broadcaster::new(broadcast::Options {
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
        bundle: &BundleReceiver,
        broadcaster: &sync::Arc<broadcast::Broadcaster>,
        quotas: &sync::Arc<quota::Quotas>,
    ) -> sync::Arc<home::Home> {
        let home = sync::Arc::new(home::Home::new(home::Options {
            name: self.settings.name.clone(),
            clock: self.clock,
            recorder: self.recorder.clone(),
            bundle: bundle.clone(),
            view: fleet.view.clone(),
            budget: self.budget(),
            broadcast: broadcaster.clone(),
            quotas: quotas.clone(),
            metrics: self.metrics.clone(),
            memory: self.memory.clone(),
        }));
        broadcaster.attach(&home);
        home
    }

    fn quotas(&self, fleet: &Fleet, bundle: &BundleReceiver) -> sync::Arc<quota::Quotas> {
        quota::Quotas::new(quota::Options {
            name: self.settings.name.clone(),
            run: self.incarnation,
            clock: self.clock,
            bundle: bundle.clone(),
            view: fleet.view.clone(),
            links: fleet.tokens.clone(),
            metrics: self.metrics.clone(),
        })
    }

    fn egress(&self, fleet: &Fleet) -> sync::Arc<egress::EgressConnector> {
        let relays = egress::PeerRelays {
            peers: self.peers.clone(),
            view: fleet.view.clone(),
        };
        sync::Arc::new(egress::EgressConnector::new(egress::Options {
            name: self.settings.name.clone(),
            domain: self.settings.domain.clone(),
            clock: self.clock,
            view: fleet.view.clone(),
            direct: match self.memory.is_limited() {
                true => sync::Arc::new(pool::LimitedTcpConnector),
                false => sync::Arc::new(pool::TcpConnector),
            },
            relays: sync::Arc::new(relays),
            metrics: self.metrics.clone(),
        }))
    }

    async fn entry(
        &self,
        fleet: &Fleet,
        rules: &BundleSource,
        home: &sync::Arc<home::Home>,
        broadcaster: &sync::Arc<broadcast::Broadcaster>,
        quotas: &sync::Arc<quota::Quotas>,
        pool: &sync::Arc<pool::Pool>,
    ) -> Result<entry::Entry, Error> {
        let links = links::HomeLinks {
            name: self.settings.name.clone(),
            peers: self.peers.clone(),
            home: home.clone(),
        };
        Ok(entry::Entry::new(entry::Options {
            settings: self.settings.clone(),
            clock: self.clock,
            recorder: self.recorder.clone(),
            bundle: rules.bundle.clone(),
            freshness: rules.freshness.clone(),
            view: fleet.view.clone(),
            links: sync::Arc::new(links),
            claims: self.claims(fleet).await?,
            broadcaster: broadcaster.clone(),
            quotas: quotas.clone(),
            metrics: self.metrics.clone(),
            client: exchange::TargetClient {
                clock: self.clock,
                pool: pool.clone(),
                dialect: self.dialect.clone(),
            },
            memory: self.memory.clone(),
            shutdown: self.shutdown.clone(),
        }))
    }

    fn admin(
        &self,
        fleet: &Fleet,
        bundle: &BundleReceiver,
        home: &sync::Arc<home::Home>,
    ) -> admin::Admin {
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
            draining: tokio_sync::watch::Sender::new(false),
        }
    }
}

impl Node {
    async fn start(parts: Parts) -> Result<Node, Error> {
        let settings = &parts.settings;
        let caller_listener = listen(settings.listen, "callers").await?;
        let admin_listener = listen(settings.admin, "operators").await?;
        let ready = match settings.ready {
            Some(address) => Some(listen(address, "readiness checks").await?),
            None => None,
        };
        let tls = parts.tls.clone();
        let timing = quic::Timeouts::default();
        let bound = quic::Peers::bind_as(&parts.identity, settings, &timing);
        let (peers, incoming) = bound.context(PeersSnafu)?;
        let shared = Shared::new(parts, peers)?;
        let fleet = shared.fleet().await?;
        let rules = shared.bundle_source(&fleet).await?;
        let bundle = rules.bundle.clone();
        let broadcaster = shared.broadcaster(&fleet);
        let quotas = shared.quotas(&fleet, &bundle);
        let home = shared.home(&fleet, &bundle, &broadcaster, &quotas);
        let egress = shared.egress(&fleet);
        let head_bytes = shared.settings.limits.head_bytes;
        let pool = pool::Pool::new(shared.clock, head_bytes, egress.clone());
        let pool = sync::Arc::new(match shared.memory.is_limited() {
            true => pool.with_stall_timeout(),
            false => pool,
        });
        let entry = shared.entry(&fleet, &rules, &home, &broadcaster, &quotas, &pool);
        let entry = sync::Arc::new(entry.await?);
        let relay = sync::Arc::new(relay::Relay::new(relay::Options {
            limits: shared.settings.limits.clone(),
            entry: entry.clone(),
            egress,
        }));
        let admin = shared.admin(&fleet, &bundle, &home);
        let router = control::ControlRouter {
            broadcaster,
            home: home.clone(),
            quotas: quotas.clone(),
            handler: rules.handler,
        };
        let (limits, limits_seen) = tokio_sync::watch::channel(shared.settings.limits.clone());
        let members = fleet.members;
        let tasks = vec![
            tokio::spawn(background::accept_peers(
                incoming,
                home.clone(),
                members.clone(),
                sync::Arc::new(router),
                relay.clone(),
            )),
            tokio::spawn(background::forward_bundles(
                bundle.clone(),
                home.clone(),
                members.clone(),
            )),
            tokio::spawn(background::forward_limits(bundle.clone(), limits)),
            tokio::spawn(background::follow_hosts(shared.hosts, members.clone())),
            tokio::spawn(background::forward_views(fleet.view, home.clone())),
            tokio::spawn(background::close_idle_connections(pool)),
            tokio::spawn(quotas.run()),
        ];
        Ok(Node {
            settings: shared.settings,
            recorder: shared.recorder,
            clock: shared.clock,
            shutdown: shared.shutdown,
            peers: shared.peers,
            members,
            home,
            entry,
            relay,
            draining: admin.draining.subscribe(),
            admin: sync::Arc::new(admin),
            tls,
            limits: limits_seen,
            ready,
            caller_listener,
            admin_listener,
            tasks,
        })
    }

    async fn serve(mut self, stop: future::BoxFuture<'static, ()>) {
        let (stop_callers, callers_stopped) = tokio_sync::watch::channel(false);
        let (stop_admin, admin_stopped) = tokio_sync::watch::channel(false);
        let options = http::Options {
            listener: self.caller_listener,
            limits: self.limits.clone(),
            tls: self.tls.clone(),
            last_requests: graceful::last_requests(self.settings.limits.drain_ms),
        };
        let caller_server = tokio::spawn(http::serve(
            options,
            sync::Arc::new(self.entry.clone()),
            callers_stopped,
        ));
        let options = http::Options {
            listener: self.admin_listener,
            limits: constant(&self.settings.limits),
            tls: None,
            last_requests: clock::Millis::ZERO,
        };
        let admin_server = tokio::spawn(http::serve(
            options,
            sync::Arc::new(self.admin.clone()),
            admin_stopped.clone(),
        ));
        if let Some(listener) = self.ready.take() {
            let options = http::Options {
                listener,
                limits: constant(&self.settings.limits),
                tls: None,
                last_requests: clock::Millis::ZERO,
            };
            let readiness = sync::Arc::new(admin::Readiness(self.admin.clone()));
            self.tasks
                .push(tokio::spawn(http::serve(options, readiness, admin_stopped)));
        }
        log::info!(
            "the daemon {} serves callers on {}",
            self.settings.name,
            self.settings.listen
        );
        tokio::select! {
            () = stop => {}
            () = http::wait_until_true(&mut self.draining) => {}
        }
        self.admin.draining.send_replace(true);
        self.recorder
            .record(timeline::Kind::Draining, timeline::Subject::default(), "");
        let schedule = self.shutdown.begin(self.clock.now(), &self.settings.limits);
        let cut = self.clock.instant(schedule.cut);
        let members = self.members.clone();
        let leaving = tokio::spawn(async move { members.leave().await });
        self.home.drain().await;
        time::sleep_until(self.clock.instant(schedule.closes).into()).await;
        stop_callers.send_replace(true);
        let finished = async {
            let (served, ()) = tokio::join!(caller_server, self.relay.drain());
            if let Err(e) = served {
                log::error!("the server for callers failed: {e}");
            }
            // The messages that announce the end of this daemon need the connections to its peers.
            let _ = leaving.await;
        };
        if time::timeout_at(cut.into(), finished).await.is_err() {
            log::warn!("aborted the requests in flight: they took longer than the drain");
        }
        self.recorder
            .record(timeline::Kind::Stopped, timeline::Subject::default(), "");
        stop_admin.send_replace(true);
        admin_server.abort();
        self.peers.close().await;
        for task in self.tasks {
            task.abort();
        }
    }
}

/// Returns a receiver of limits that never change.
fn constant(limits: &settings::Limits) -> tokio_sync::watch::Receiver<settings::Limits> {
    tokio_sync::watch::channel(limits.clone()).1
}

async fn listen(
    address: net::SocketAddr,
    purpose: &'static str,
) -> Result<tcp::TcpListener, Error> {
    tcp::TcpListener::bind(address)
        .await
        .context(ListenSnafu { address, purpose })
}

/// Returns the daemons that the settings name as seeds.
fn seeds(settings: &settings::Settings) -> Vec<membership::Seed> {
    let seeds = settings.seeds.iter();
    seeds
        .map(|(name, peer)| membership::Seed {
            name: name.clone(),
            peer: *peer,
        })
        .collect()
}

/// Resolves when the process receives SIGTERM or SIGINT.
///
/// # Panics
///
/// Panics if no handler for SIGTERM can be installed.
pub async fn stop_signal() {
    let kind = signal::unix::SignalKind::terminate();
    let mut terminate = signal::unix::signal(kind).expect("a handler for SIGTERM can be installed");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = signal::ctrl_c() => {}
    }
}
