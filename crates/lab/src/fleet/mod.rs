//! A fleet of daemons as processes, with its targets and its platform, all on the loopback.
//!
//! The builder reads like a sentence: `fleet::builder("drain").daemons(3).domains(2).services(&bagh()).build().await`.
//! Daemons are processes of their own; the stand-ins run within the lab's process. Everything ends with the [`Fleet`].

use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::path;
use std::sync;
use std::sync::atomic;
use std::time;

use peridotspread::state::{bundle, clock};
use sha2::Digest;
use snafu::{OptionExt, ResultExt};

pub mod admin;
mod ejections;
pub(crate) mod files;
pub mod process;
mod rollout;
pub mod sizes;

pub use rollout::Operator;

use crate::load;
use crate::platform;
use crate::relay;
use crate::target;
use crate::watch;

/// The token of the fleet's operators at the admin addresses.
const ADMIN_TOKEN: &str = "lab-admin-token";
/// How long the fleet may take to start, and any condition to come true.
const PATIENCE: time::Duration = time::Duration::from_secs(30);
/// The time between two looks at a condition.
const LOOK: time::Duration = time::Duration::from_millis(10);
/// What each daemon adds to that time where daemons are asked, so that the asking costs the same in any fleet.
const LOOK_MORE: time::Duration = time::Duration::from_millis(1);
/// The tiers, first served first.
pub const TIERS: [&str; 3] = ["paying", "member", "guest"];

/// Why a fleet can't be built or led.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// A file can't be written.
    #[snafu(display("can't write {}", path.display()))]
    Files {
        /// The file.
        path: path::PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A daemon's keys can't be made.
    #[snafu(display("can't make keys"))]
    Keys {
        /// What is wrong.
        source: peridotspread::transport::keys::Error,
    },
    /// An operator's keys can't be made.
    #[snafu(display("can't make an operator's keys"))]
    Operator {
        /// What is wrong.
        source: peridotspread::state::operator::Error,
    },
    /// Settings or a bundle can't be written as TOML.
    #[snafu(display("can't write TOML"))]
    Settings {
        /// What is wrong.
        source: toml::ser::Error,
    },
    /// The targets can't be started.
    #[snafu(display("can't start the targets"))]
    Targets {
        /// What is wrong.
        source: target::Error,
    },
    /// A process can't be started or signalled.
    #[snafu(display("the daemon {name} can't be led: {source}"))]
    Process {
        /// The daemon.
        name: String,
        /// What is wrong.
        source: process::Error,
    },
    /// A loopback address can't be had.
    #[snafu(display("no free port on the loopback"))]
    Port {
        /// What the system said.
        source: std::io::Error,
    },
    /// There is no daemon of this name, or it does not run.
    #[snafu(display("no daemon {name} runs"))]
    NoDaemon {
        /// The name.
        name: String,
    },
    /// A rollout failed.
    #[snafu(display("the rollout failed: {reason}"))]
    Rollout {
        /// What was said.
        reason: String,
    },
    /// A condition did not come true in time.
    #[snafu(display("{what} did not come true within {PATIENCE:?}"))]
    TimedOut {
        /// The condition.
        what: String,
    },
}

/// What a fleet is built of.
#[derive(Clone, Debug)]
pub struct Builder {
    name: String,
    daemons: usize,
    domains: usize,
    spread: Option<usize>,
    services: Vec<sizes::Service>,
    platform: platform::Options,
    relayed: bool,
    seed: u64,
}

/// Begins to describe a fleet; `name` is told apart in file names and logs.
pub fn builder(name: &str) -> Builder {
    Builder {
        name: name.to_owned(),
        daemons: 3,
        domains: 1,
        spread: None,
        services: vec![sizes::Service::new("fees", 4, 3)],
        platform: platform::Options::default(),
        relayed: false,
        seed: 1,
    }
}

/// One daemon of a fleet.
#[derive(Debug)]
pub struct Daemon {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its address for callers.
    pub listen: net::SocketAddr,
    /// The address at which peers reach it.
    pub peer: net::SocketAddr,
    /// Its address for operators.
    pub admin: net::SocketAddr,
    settings: path::PathBuf,
    process: Option<process::Process>,
}

/// A running fleet; everything ends when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The clock of the lab's own times.
    pub clock: clock::Clock,
    /// The platform's stand-in.
    pub platform: sync::Arc<platform::Handle>,
    /// The targets.
    pub targets: target::Targets,
    /// The daemons, by name.
    pub daemons: BTreeMap<String, Daemon>,
    /// The services, as the builder took them.
    pub services: Vec<sizes::Service>,
    /// The bundle that was rolled out last.
    pub bundle: bundle::Bundle,
    /// The relay between the daemons, where there is one.
    pub relay: Option<relay::Relay>,
    place: net::SocketAddr,
    operators: Vec<Operator>,
    files: files::Files,
}

impl Builder {
    /// Sets the number of daemons.
    pub fn daemons(self, daemons: usize) -> Builder {
        Builder { daemons, ..self }
    }

    /// Sets the number of failure domains.
    pub fn domains(self, domains: usize) -> Builder {
        Builder { domains, ..self }
    }

    /// Puts targets only into the first of the failure domains, as many as given.
    pub fn targets_in(self, domains: usize) -> Builder {
        Builder {
            spread: Some(domains),
            ..self
        }
    }

    /// Sets the services.
    pub fn services(self, services: &[sizes::Service]) -> Builder {
        Builder {
            services: services.to_vec(),
            ..self
        }
    }

    /// Sets the platform's limits and faults.
    pub fn platform(self, platform: platform::Options) -> Builder {
        Builder { platform, ..self }
    }

    /// Puts a relay between the daemons, which can cut the ways between them.
    pub fn relayed(self) -> Builder {
        Builder {
            relayed: true,
            ..self
        }
    }

    /// Sets the seed of service times.
    pub fn seed(self, seed: u64) -> Builder {
        Builder { seed, ..self }
    }

    /// Starts everything, and waits until each daemon has the bundle in force and sees all the others.
    ///
    /// # Errors
    ///
    /// Returns an error if anything can't be started, or the fleet does not come up in time.
    pub async fn build(self) -> Result<Fleet, Error> {
        let address = loopback();
        let clock = clock::Clock::start();
        let files = files::Files::create(&self.name)?;
        let operators = ["operator-1", "operator-2"].map(|name| Operator::create(&files, name));
        let operators = operators.into_iter().collect::<Result<_, _>>()?;
        let any = net::SocketAddr::new(address, 0);
        let (place, platform) = platform::serve(any, self.platform.clone()).await;
        let plans = self.plans(any);
        let targets = target::serve(&plans, clock).await.context(TargetsSnafu)?;
        let mut fleet = Fleet {
            clock,
            platform: sync::Arc::new(platform),
            bundle: self.bundle(&targets),
            targets,
            daemons: BTreeMap::new(),
            services: self.services.clone(),
            relay: self.relayed.then(relay::Relay::default),
            place,
            operators,
            files,
        };
        let mut ports = Ports {
            address,
            drawn: BTreeSet::new(),
        };
        for i in 0..self.daemons {
            let name = format!("d{i:03}");
            fleet
                .add(&name, &domain(i % self.domains), &mut ports)
                .await?;
        }
        fleet.list_hosts();
        let first = fleet.bundle.clone();
        fleet.roll_out(&first).await?;
        let names: Vec<_> = fleet.daemons.keys().cloned().collect();
        for name in &names {
            fleet.start(name)?;
        }
        fleet.wait_until_settled().await?;
        Ok(fleet)
    }

    fn plans(&self, any: net::SocketAddr) -> Vec<target::Plan> {
        let mut plans = Vec::new();
        for service in &self.services {
            for i in 0..service.targets {
                plans.push(target::Plan {
                    slots: service.slots,
                    median_ms: service.median_ms,
                    seed: self.seed.wrapping_add(plans.len() as u64),
                    ..target::Plan::new(&service.target(i), any)
                });
            }
        }
        plans
    }

    fn bundle(&self, targets: &target::Targets) -> bundle::Bundle {
        let organisation = |tier: &&str| bundle::Organisation {
            name: format!("org-{tier}"),
            tier: (*tier).to_owned(),
            credentials: vec![digest(&token(tier))],
        };
        let tier = |name: &&str| bundle::Tier {
            name: (*name).to_owned(),
        };
        bundle::Bundle {
            version: 1,
            callers: None,
            tiers: TIERS.iter().map(tier).collect(),
            unknown: bundle::Unknown::LastTier,
            organisations: TIERS.iter().map(organisation).collect(),
            services: self
                .services
                .iter()
                .map(|s| self.service(s, targets))
                .collect(),
            routes: self.services.iter().map(route).collect(),
        }
    }

    fn service(&self, service: &sizes::Service, targets: &target::Targets) -> bundle::Service {
        const QUEUE: usize = 100;
        const CONNECTIONS: usize = 400;
        let list = (0..service.targets).filter_map(|i| {
            let name = service.target(i);
            Some(bundle::Target {
                address: targets.address(&name)?,
                name,
                domain: domain(i % self.spread.unwrap_or(self.domains)),
                slots: service.slots,
                connections: CONNECTIONS,
                leaving: false,
            })
        });
        bundle::Service {
            name: service.name.clone(),
            floor: service.floor,
            deadline_ms: clock::Millis(5_000),
            queue: QUEUE,
            cells: None,
            parts: 1,
            soundness: false,
            breadth_pct: 0.0,
            ejection: service.ejection.clone(),
            retry: bundle::Retry::default(),
            targets: list.collect(),
        }
    }
}

fn domain(i: usize) -> String {
    format!("fd-{}", i + 1)
}

fn route(service: &sizes::Service) -> bundle::Route {
    bundle::Route {
        host: None,
        prefix: format!("/{}", service.name),
        service: service.name.clone(),
        ..bundle::Route::default()
    }
}

/// Returns the bearer token of the callers of a tier.
pub fn token(tier: &str) -> String {
    format!("token-{tier}")
}

/// Returns the SHA-256 digest of a text, in hexadecimal.
fn digest(text: &str) -> String {
    hex::encode(sha2::Sha256::digest(text))
}

/// Draws an address of the loopback for one fleet, so that no other traffic takes its ports.
fn loopback() -> net::IpAddr {
    static COUNT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
    const FLEETS_BITS: u32 = 6;
    const BASE: u32 = 0x7f40_0000;
    let count = COUNT.fetch_add(1, atomic::Ordering::Relaxed);
    let low = (std::process::id() << FLEETS_BITS) | (count & ((1 << FLEETS_BITS) - 1));
    let address = net::IpAddr::V4((BASE | (low & 0x3f_ffff)).into());
    match net::TcpListener::bind((address, 0)) {
        Ok(_) => address,
        Err(_) => net::IpAddr::V4(net::Ipv4Addr::LOCALHOST),
    }
}

/// Draws free ports at one address, none of them twice.
#[derive(Debug)]
struct Ports {
    address: net::IpAddr,
    drawn: BTreeSet<net::SocketAddr>,
}

impl Ports {
    fn tcp(&mut self) -> std::io::Result<net::SocketAddr> {
        loop {
            let free = net::TcpListener::bind((self.address, 0))?.local_addr()?;
            if self.drawn.insert(free) {
                return Ok(free);
            }
        }
    }

    fn udp(&mut self) -> std::io::Result<net::SocketAddr> {
        loop {
            let free = net::UdpSocket::bind((self.address, 0))?.local_addr()?;
            if self.drawn.insert(free) {
                return Ok(free);
            }
        }
    }
}

impl Fleet {
    async fn add(&mut self, name: &str, domain: &str, ports: &mut Ports) -> Result<(), Error> {
        let peer = ports.udp().context(PortSnafu)?;
        let advertise = match &mut self.relay {
            Some(relay) => Some(relay.open(name, peer).await.context(PortSnafu)?),
            None => None,
        };
        let place = files::DaemonOptions {
            domain: domain.to_owned(),
            listen: ports.tcp().context(PortSnafu)?,
            peer,
            advertise,
            admin: ports.tcp().context(PortSnafu)?,
            platform: self.place,
            seeds: self.seeds(),
        };
        let operators: Vec<_> = self.operators.iter().map(|o| o.public.clone()).collect();
        let settings = self.files.settings(name, &place, &operators, ADMIN_TOKEN)?;
        let daemon = Daemon {
            name: name.to_owned(),
            domain: place.domain,
            listen: place.listen,
            peer: advertise.unwrap_or(peer),
            admin: place.admin,
            settings,
            process: None,
        };
        self.daemons.insert(name.to_owned(), daemon);
        Ok(())
    }

    /// Returns the seeds of a new daemon: a few of those before it.
    fn seeds(&self) -> BTreeMap<String, net::SocketAddr> {
        const SEEDS: usize = 5;
        let seeds = self.daemons.values().take(SEEDS);
        seeds.map(|d| (d.name.clone(), d.peer)).collect()
    }

    /// Puts all daemons on the platform's list of hosts.
    pub fn list_hosts(&self) {
        let hosts = self
            .daemons
            .values()
            .map(|d| peridotspread::protocol::platform::Host {
                name: d.name.clone(),
                peer: d.peer,
                domain: d.domain.clone(),
                leaving: false,
            });
        self.platform.set_hosts(hosts.collect());
    }

    /// Makes a target gray, or well by [`target::Fault::None`]; returns when.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such target.
    pub fn set_fault(&self, name: &str, fault: &target::Fault) -> Result<clock::Millis, Error> {
        self.targets.set_fault(name, fault).context(TargetsSnafu)
    }

    /// Starts to watch ejections and floors by the platform's rows.
    pub fn watch(&self) -> watch::Watch {
        let floors = self.services.iter().map(|s| watch::Floor {
            service: s.name.clone(),
            targets: s.targets,
            floor: s.floor,
        });
        let platform = self.platform.clone();
        watch::start(floors.collect(), self.clock, move |service| {
            ejections::held(&platform, service)
        })
    }

    /// Starts to watch that no daemon's version in force falls.
    pub fn watch_versions(&self) -> watch::Versions {
        let daemons: Vec<_> = self.daemons.values().map(|d| d.admin).collect();
        watch::versions(&daemons, ADMIN_TOKEN)
    }

    /// Returns the addresses for callers of all daemons, for a load.
    pub fn entries(&self) -> sync::Arc<load::Entries> {
        let addresses = self.daemons.values().map(|d| (d.name.clone(), d.listen));
        sync::Arc::new(load::Entries::new(&addresses.collect()))
    }

    /// Starts the daemon called `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such daemon or it can't be started.
    pub fn start(&mut self, name: &str) -> Result<(), Error> {
        let program = process::find_program("peridotspreadd").context(ProcessSnafu { name })?;
        let log = self.files.path(&format!("{name}.log"));
        let daemon = self.daemons.get_mut(name).context(NoDaemonSnafu { name })?;
        let process = process::Process::start(&program, &daemon.settings, &log);
        daemon.process = Some(process.context(ProcessSnafu { name })?);
        Ok(())
    }

    fn process(&mut self, name: &str) -> Result<&mut process::Process, Error> {
        let daemon = self.daemons.get_mut(name);
        daemon
            .and_then(|d| d.process.as_mut())
            .context(NoDaemonSnafu { name })
    }

    /// Kills a daemon at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not run.
    pub async fn kill(&mut self, name: &str) -> Result<(), Error> {
        let killed = self.process(name)?.kill().await;
        killed.context(ProcessSnafu { name })?;
        self.forget(name);
        Ok(())
    }

    /// Kills all daemons of a failure domain at once.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon can't be killed.
    pub async fn kill_domain(&mut self, domain: &str) -> Result<(), Error> {
        let names: Vec<_> = self
            .running()
            .filter(|d| d.domain == domain)
            .map(|d| d.name.clone())
            .collect();
        for name in names {
            self.kill(&name).await?;
        }
        Ok(())
    }

    /// Freezes a daemon where it stands.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not run.
    pub fn freeze(&mut self, name: &str) -> Result<(), Error> {
        let frozen = self.process(name)?.freeze();
        frozen.context(ProcessSnafu { name })
    }

    /// Lets a frozen daemon go on.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not run.
    pub fn resume(&mut self, name: &str) -> Result<(), Error> {
        let woken = self.process(name)?.resume();
        woken.context(ProcessSnafu { name })
    }

    /// Asks a daemon to shut down gracefully, without waiting for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not run.
    pub fn terminate(&mut self, name: &str) -> Result<(), Error> {
        let told = self.process(name)?.terminate();
        told.context(ProcessSnafu { name })
    }

    /// Waits until a daemon that was told to shut down has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not run or does not end in time.
    pub async fn wait_for_exit(&mut self, name: &str) -> Result<std::process::ExitStatus, Error> {
        let ended = self.process(name)?.wait_for_exit(PATIENCE).await;
        let status = ended.context(ProcessSnafu { name })?;
        self.forget(name);
        Ok(status)
    }

    fn forget(&mut self, name: &str) {
        if let Some(daemon) = self.daemons.get_mut(name) {
            daemon.process = None;
        }
    }

    /// Returns the daemons that run, frozen ones among them.
    pub fn running(&self) -> impl Iterator<Item = &Daemon> {
        self.daemons.values().filter(|d| d.process.is_some())
    }

    /// Sums what the system accounts to the daemons that run.
    pub fn usage(&self) -> process::Usage {
        let each = self.process_ids().into_iter().filter_map(process::usage);
        each.fold(process::Usage::default(), |sum, one| process::Usage {
            cpu_s: sum.cpu_s + one.cpu_s,
            rss: sum.rss + one.rss,
        })
    }

    /// Returns the process ids of the daemons that run.
    pub fn process_ids(&self) -> Vec<u32> {
        let processes = self.daemons.values().filter_map(|d| d.process.as_ref());
        processes.map(process::Process::id).collect()
    }

    /// Reads a daemon's status; none where it does not answer.
    pub async fn status(&self, name: &str) -> Option<admin::Status> {
        let daemon = self.daemons.get(name)?;
        admin::status(daemon.admin, ADMIN_TOKEN).await
    }

    /// Reads a daemon's time line as JSON lines; empty where it does not answer.
    pub async fn timeline(&self, name: &str) -> String {
        let Some(daemon) = self.daemons.get(name) else {
            return String::new();
        };
        let page = admin::call(daemon.admin, ADMIN_TOKEN, http::Method::GET, "/v1/timeline");
        let body = page.await.map(|(_, body)| body).unwrap_or_default();
        String::from_utf8_lossy(&body).into_owned()
    }

    /// Reads the log of a daemon, for a failed test's report.
    pub fn log(&self, name: &str) -> String {
        let path = self.files.path(&format!("{name}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Waits until each running daemon has the bundle in force and sees exactly the running ones alive.
    ///
    /// # Errors
    ///
    /// Returns an error if that does not come true in time.
    pub async fn wait_until_settled(&self) -> Result<Durations, Error> {
        let alive: Vec<_> = self.running().map(|d| d.name.clone()).collect();
        let version = self.bundle.version;
        self.each("the fleet's coming up", |status| {
            let seen = status.members.iter().filter(|m| m.liveness == "alive");
            status.version == version && seen.map(|m| &m.name).eq(alive.iter())
        })
        .await
    }

    /// Waits until each running daemon has `version` in force; returns how long each took.
    ///
    /// # Errors
    ///
    /// Returns an error if that does not come true in time.
    pub async fn wait_until_in_force(&self, version: u64) -> Result<Durations, Error> {
        self.each("the bundle's coming into force", |s| s.version >= version)
            .await
    }

    /// Waits until each running daemon but `name` sees it as one of `liveness`, or not at all where that is empty.
    ///
    /// # Errors
    ///
    /// Returns an error if that does not come true in time.
    pub async fn wait_until_seen_as(
        &self,
        name: &str,
        liveness: &[&str],
    ) -> Result<Durations, Error> {
        let what = format!("the sight of {name} as {liveness:?}");
        let others = self.running().filter(|d| d.name != name);
        self.those(others, &what, |status| {
            match status.members.iter().find(|m| m.name == name) {
                Some(member) => liveness.contains(&member.liveness.as_str()),
                None => liveness.is_empty(),
            }
        })
        .await
    }

    /// Waits until the daemon `at` sees the daemon `name` as `liveness`.
    ///
    /// # Errors
    ///
    /// Returns an error if that does not come true in time.
    pub async fn wait_until_seen_by(
        &self,
        at: &str,
        name: &str,
        liveness: &str,
    ) -> Result<Durations, Error> {
        let what = format!("the sight of {name} as {liveness} at {at}");
        let daemon = self.running().filter(|d| d.name == at);
        self.those(daemon, &what, |status| {
            let mut seen = status.members.iter();
            seen.any(|m| m.name == name && m.liveness == liveness)
        })
        .await
    }

    async fn each(
        &self,
        what: &str,
        holds: impl Fn(&admin::Status) -> bool,
    ) -> Result<Durations, Error> {
        self.those(self.running(), what, holds).await
    }

    /// Waits until the condition holds at each of the daemons; asks none again at which it held.
    async fn those<'a>(
        &'a self,
        daemons: impl Iterator<Item = &'a Daemon>,
        what: &str,
        holds: impl Fn(&admin::Status) -> bool,
    ) -> Result<Durations, Error> {
        let start = time::Instant::now();
        let holds = &holds;
        let fleet = u32::try_from(self.daemons.len()).unwrap_or(u32::MAX);
        let waits = daemons.map(|daemon| async move {
            loop {
                let status = admin::status(daemon.admin, ADMIN_TOKEN).await;
                if status.is_some_and(|s| holds(&s)) {
                    return start.elapsed();
                }
                tokio::time::sleep(LOOK + LOOK_MORE * fleet).await;
            }
        });
        let all = futures_util::future::join_all(waits);
        match tokio::time::timeout(PATIENCE, all).await {
            Ok(list) => Ok(Durations { list }),
            Err(_) => TimedOutSnafu { what }.fail(),
        }
    }
}

/// How long each daemon took until a condition held there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Durations {
    /// The spans, one a daemon.
    pub list: Vec<time::Duration>,
}

impl Durations {
    /// Returns how long the last daemon took.
    pub fn last(&self) -> time::Duration {
        self.list.iter().max().copied().unwrap_or_default()
    }
}

/// Waits until `holds` returns true.
///
/// # Errors
///
/// Returns an error naming `what` if that does not come true in time.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) -> Result<(), Error> {
    let start = time::Instant::now();
    while !holds() {
        if start.elapsed() > PATIENCE {
            return TimedOutSnafu { what }.fail();
        }
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}
