//! A fleet of daemon processes with its targets and its platform, on the loopback interface.
//!
//! Tests and measurements start a fleet with a builder, for example
//! `fleet::builder("drain").daemons(3).domains(2).services(&sizes::bagh()).build().await`. Each daemon is a separate
//! process; the stand-ins for the targets and the platform run in the process of the lab. Dropping the [`Fleet`] stops
//! all of them.

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
pub mod builds;
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

/// The bearer token for the admin interface of the daemons.
const ADMIN_TOKEN: &str = "lab-admin-token";
/// The timeout for the start of the fleet and for every condition that a caller waits for.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// The interval between two checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// The additional interval per daemon of the fleet when daemons are polled, so that the polling load does not grow with
/// the size of the fleet.
const POLL_PER_DAEMON: time::Duration = time::Duration::from_millis(1);
/// The tiers, in descending order of priority.
pub const TIERS: [&str; 3] = ["paying", "member", "guest"];

/// An error of building or controlling a fleet.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// A file cannot be written.
    #[snafu(display("failed to write {}", path.display()))]
    Files {
        /// The path of the file.
        path: path::PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The keys of a daemon cannot be created.
    #[snafu(display("failed to create the keys of a daemon"))]
    Keys {
        /// The cause.
        source: peridotspread::transport::keys::Error,
    },
    /// The keys of an operator cannot be created.
    #[snafu(display("failed to create the keys of an operator"))]
    Operator {
        /// The cause.
        source: peridotspread::state::operator::Error,
    },
    /// Settings or a bundle cannot be serialised as TOML.
    #[snafu(display("failed to write the settings or the bundle as TOML"))]
    Settings {
        /// The cause.
        source: toml::ser::Error,
    },
    /// The targets cannot be started, or a fault cannot be set.
    #[snafu(display("failed to start the targets or to set a fault"))]
    Targets {
        /// The cause.
        source: target::Error,
    },
    /// A daemon process cannot be started, signalled or waited for.
    #[snafu(display("failed to control the daemon {name}: {source}"))]
    Process {
        /// The name of the daemon.
        name: String,
        /// The cause.
        source: process::Error,
    },
    /// No port is free on the loopback address.
    #[snafu(display("no free port on the loopback address"))]
    Port {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// No daemon of this name exists, or it is not running.
    #[snafu(display("no daemon named {name} is running"))]
    NoDaemon {
        /// The requested name.
        name: String,
    },
    /// A rollout failed or its bundle was not accepted.
    #[snafu(display("the rollout failed: {reason}"))]
    Rollout {
        /// The error or the outcome of the rollout.
        reason: String,
    },
    /// A condition was not met in time.
    #[snafu(display("timed out after {TIMEOUT:?} waiting for {condition}"))]
    TimedOut {
        /// The condition that was waited for.
        condition: String,
    },
}

/// The configuration of a fleet that is to be started.
#[derive(Clone, Debug)]
pub struct Builder {
    name: String,
    daemons: usize,
    domains: usize,
    target_domains: Option<usize>,
    services: Vec<sizes::Service>,
    platform: platform::Options,
    relayed: bool,
    seed: u64,
    program: Option<path::PathBuf>,
}

/// Returns a builder with default values: three daemons in one failure domain and one service. `name` appears in the
/// names of files and must differ between the fleets of a process.
pub fn builder(name: &str) -> Builder {
    Builder {
        name: name.to_owned(),
        daemons: 3,
        domains: 1,
        target_domains: None,
        services: vec![sizes::Service::new("fees", 4, 3)],
        platform: platform::Options::default(),
        relayed: false,
        seed: 1,
        program: None,
    }
}

/// A daemon of a fleet.
#[derive(Debug)]
pub struct Daemon {
    /// The name of the daemon.
    pub name: String,
    /// The failure domain of the daemon.
    pub domain: String,
    /// The address on which it accepts requests from callers.
    pub listen: net::SocketAddr,
    /// The address at which the other daemons reach it; the address of the relay if there is one.
    pub peer: net::SocketAddr,
    /// The address of its admin interface.
    pub admin: net::SocketAddr,
    settings: path::PathBuf,
    /// The program that it runs; absent for the one of this workspace.
    program: Option<path::PathBuf>,
    process: Option<process::Process>,
}

/// A running fleet; dropping it kills the daemons, stops the targets and the platform, and removes the files.
#[derive(Debug)]
pub struct Fleet {
    /// The clock that the measurements of the lab use.
    pub clock: clock::Clock,
    /// The stand-in for the platform.
    pub platform: sync::Arc<platform::Handle>,
    /// The stand-ins for the targets.
    pub targets: target::Targets,
    /// The daemons by name, including stopped ones.
    pub daemons: BTreeMap<String, Daemon>,
    /// The services, as passed to the builder.
    pub services: Vec<sizes::Service>,
    /// The last bundle that was rolled out.
    pub bundle: bundle::Bundle,
    /// The relay between the daemons, if the fleet was built with one.
    pub relay: Option<relay::Relay>,
    platform_address: net::SocketAddr,
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

    /// Restricts the targets to the first `domains` failure domains.
    pub fn targets_in(self, domains: usize) -> Builder {
        Builder {
            target_domains: Some(domains),
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

    /// Sets the limits and faults of the platform.
    pub fn platform(self, platform: platform::Options) -> Builder {
        Builder { platform, ..self }
    }

    /// Adds a relay between the daemons, which can cut the links between them.
    pub fn relayed(self) -> Builder {
        Builder {
            relayed: true,
            ..self
        }
    }

    /// Sets the program of the daemons, in place of the one of this workspace.
    pub fn program(self, program: path::PathBuf) -> Builder {
        Builder {
            program: Some(program),
            ..self
        }
    }

    /// Sets the seed of the targets' service times.
    pub fn seed(self, seed: u64) -> Builder {
        Builder { seed, ..self }
    }

    /// Starts the fleet and waits until each daemon has the bundle in force and sees all others as alive.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of the fleet cannot be started, or if the fleet does not settle in time.
    pub async fn build(self) -> Result<Fleet, Error> {
        let address = loopback_address();
        let clock = clock::Clock::start();
        let files = files::Files::create(&self.name)?;
        let operators = ["operator-1", "operator-2"].map(|name| Operator::create(&files, name));
        let operators = operators.into_iter().collect::<Result<_, _>>()?;
        let any_port = net::SocketAddr::new(address, 0);
        let (platform_address, platform) = platform::serve(any_port, self.platform.clone()).await;
        let plans = self.target_plans(any_port);
        let targets = target::serve(&plans, clock).await.context(TargetsSnafu)?;
        let mut fleet = Fleet {
            clock,
            platform: sync::Arc::new(platform),
            bundle: self.bundle(&targets),
            targets,
            daemons: BTreeMap::new(),
            services: self.services.clone(),
            relay: self.relayed.then(relay::Relay::default),
            platform_address,
            operators,
            files,
        };
        let mut ports = Ports {
            address,
            assigned: BTreeSet::new(),
        };
        for i in 0..self.daemons {
            let name = format!("d{i:03}");
            fleet
                .add_daemon(&name, &domain(i % self.domains), &mut ports)
                .await?;
        }
        fleet.list_hosts();
        let first = fleet.bundle.clone();
        fleet.roll_out(&first).await?;
        let names: Vec<_> = fleet.daemons.keys().cloned().collect();
        for name in &names {
            fleet.set_program(name, self.program.clone())?;
            fleet.start(name)?;
        }
        fleet.wait_until_settled().await?;
        Ok(fleet)
    }

    fn target_plans(&self, any_port: net::SocketAddr) -> Vec<target::Plan> {
        let mut plans = Vec::new();
        for service in &self.services {
            for i in 0..service.targets {
                plans.push(target::Plan {
                    slots: service.slots,
                    median_ms: service.median_ms,
                    seed: self.seed.wrapping_add(plans.len() as u64),
                    ..target::Plan::new(&service.target(i), any_port)
                });
            }
        }
        plans
    }

    fn bundle(&self, targets: &target::Targets) -> bundle::Bundle {
        let organisation = |tier: &&str| bundle::Organisation {
            burst: 0.0,
            rate: None,
            name: format!("org-{tier}"),
            tier: (*tier).to_owned(),
            credentials: vec![digest(&token(tier))],
        };
        let tier = |name: &&str| bundle::Tier {
            name: (*name).to_owned(),
        };
        bundle::Bundle {
            precedence: bundle::Precedence::default(),
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
                domain: domain(i % self.target_domains.unwrap_or(self.domains)),
                slots: service.slots,
                connections: CONNECTIONS,
                leaving: false,
            })
        });
        bundle::Service {
            order: bundle::Order::default(),
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

/// Returns the bearer token for the callers of a tier.
pub fn token(tier: &str) -> String {
    format!("token-{tier}")
}

/// Returns the SHA-256 digest of `text` in hexadecimal.
fn digest(text: &str) -> String {
    hex::encode(sha2::Sha256::digest(text))
}

/// Returns a loopback address that is derived from the process id and differs for each fleet, so that other traffic
/// does not occupy its ports; falls back to 127.0.0.1 if the address cannot be bound.
fn loopback_address() -> net::IpAddr {
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

/// An allocator of free ports on one address that returns no port twice.
#[derive(Debug)]
struct Ports {
    address: net::IpAddr,
    assigned: BTreeSet<net::SocketAddr>,
}

impl Ports {
    fn tcp(&mut self) -> std::io::Result<net::SocketAddr> {
        loop {
            let free = net::TcpListener::bind((self.address, 0))?.local_addr()?;
            if self.assigned.insert(free) {
                return Ok(free);
            }
        }
    }

    fn udp(&mut self) -> std::io::Result<net::SocketAddr> {
        loop {
            let free = net::UdpSocket::bind((self.address, 0))?.local_addr()?;
            if self.assigned.insert(free) {
                return Ok(free);
            }
        }
    }
}

impl Fleet {
    async fn add_daemon(
        &mut self,
        name: &str,
        domain: &str,
        ports: &mut Ports,
    ) -> Result<(), Error> {
        let peer = ports.udp().context(PortSnafu)?;
        let advertise = match &mut self.relay {
            Some(relay) => Some(relay.open(name, peer).await.context(PortSnafu)?),
            None => None,
        };
        let options = files::DaemonOptions {
            domain: domain.to_owned(),
            listen: ports.tcp().context(PortSnafu)?,
            peer,
            advertise,
            admin: ports.tcp().context(PortSnafu)?,
            platform: self.platform_address,
            seeds: self.seeds(),
        };
        let operators: Vec<_> = self.operators.iter().map(|o| o.public.clone()).collect();
        let settings = self
            .files
            .settings(name, &options, &operators, ADMIN_TOKEN)?;
        let daemon = Daemon {
            name: name.to_owned(),
            domain: options.domain,
            listen: options.listen,
            peer: advertise.unwrap_or(peer),
            admin: options.admin,
            settings,
            program: None,
            process: None,
        };
        self.daemons.insert(name.to_owned(), daemon);
        Ok(())
    }

    /// Returns the membership seeds of a new daemon: the first few daemons of the fleet.
    fn seeds(&self) -> BTreeMap<String, net::SocketAddr> {
        const SEEDS: usize = 5;
        let seeds = self.daemons.values().take(SEEDS);
        seeds.map(|d| (d.name.clone(), d.peer)).collect()
    }

    /// Sets the platform's list of hosts to all daemons of the fleet.
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

    /// Sets the fault of a target, or clears it with [`target::Fault::None`], and returns the time of the change.
    ///
    /// # Errors
    ///
    /// Returns an error if no target has this name.
    pub fn set_fault(&self, name: &str, fault: &target::Fault) -> Result<clock::Millis, Error> {
        self.targets.set_fault(name, fault).context(TargetsSnafu)
    }

    /// Starts to monitor the ejections and floors of all services by the rows of the platform's table.
    pub fn watch(&self) -> watch::Watch {
        let floors = self.services.iter().map(|s| watch::Floor {
            service: s.name.clone(),
            targets: s.targets,
            floor: s.floor,
        });
        let platform = self.platform.clone();
        watch::start(floors.collect(), self.clock, move |service| {
            ejections::leased_targets(&platform, service)
        })
    }

    /// Starts to monitor that the version in force at a daemon never decreases.
    pub fn watch_versions(&self) -> watch::Versions {
        let daemons: Vec<_> = self.daemons.values().map(|d| d.admin).collect();
        watch::versions(&daemons, ADMIN_TOKEN)
    }

    /// Returns the addresses on which the daemons accept requests, for a load generator.
    pub fn entries(&self) -> sync::Arc<load::Entries> {
        let addresses = self.daemons.values().map(|d| (d.name.clone(), d.listen));
        sync::Arc::new(load::Entries::new(&addresses.collect()))
    }

    /// Starts the daemon `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon has this name or it cannot be started.
    pub fn start(&mut self, name: &str) -> Result<(), Error> {
        let log = self.files.path(&format!("{name}.log"));
        let daemon = self.daemons.get_mut(name).context(NoDaemonSnafu { name })?;
        let program = match &daemon.program {
            Some(program) => program.clone(),
            None => process::find_program("peridotspreadd").context(ProcessSnafu { name })?,
        };
        let process = process::Process::start(&program, &daemon.settings, &log);
        daemon.process = Some(process.context(ProcessSnafu { name })?);
        Ok(())
    }

    /// Sets the program that a daemon runs from its next start; absent for the one of this workspace.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such daemon.
    pub fn set_program(&mut self, name: &str, program: Option<path::PathBuf>) -> Result<(), Error> {
        let daemon = self.daemons.get_mut(name).context(NoDaemonSnafu { name })?;
        daemon.program = program;
        Ok(())
    }

    fn process(&mut self, name: &str) -> Result<&mut process::Process, Error> {
        let daemon = self.daemons.get_mut(name);
        daemon
            .and_then(|d| d.process.as_mut())
            .context(NoDaemonSnafu { name })
    }

    /// Kills a daemon with SIGKILL and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon is not running.
    pub async fn kill(&mut self, name: &str) -> Result<(), Error> {
        let killed = self.process(name)?.kill().await;
        killed.context(ProcessSnafu { name })?;
        self.clear_process(name);
        Ok(())
    }

    /// Kills all daemons of a failure domain, one immediately after the other.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon cannot be killed.
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

    /// Freezes a daemon with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon is not running.
    pub fn freeze(&mut self, name: &str) -> Result<(), Error> {
        let frozen = self.process(name)?.freeze();
        frozen.context(ProcessSnafu { name })
    }

    /// Resumes a frozen daemon with SIGCONT.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon is not running.
    pub fn resume(&mut self, name: &str) -> Result<(), Error> {
        let resumed = self.process(name)?.resume();
        resumed.context(ProcessSnafu { name })
    }

    /// Asks a daemon to shut down gracefully with SIGTERM, without waiting for its exit.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon is not running.
    pub fn terminate(&mut self, name: &str) -> Result<(), Error> {
        let terminated = self.process(name)?.terminate();
        terminated.context(ProcessSnafu { name })
    }

    /// Waits until a daemon that was asked to shut down has exited, and returns its exit status.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon is not running or does not exit in time.
    pub async fn wait_for_exit(&mut self, name: &str) -> Result<std::process::ExitStatus, Error> {
        let status = self.process(name)?.wait_for_exit(TIMEOUT).await;
        let status = status.context(ProcessSnafu { name })?;
        self.clear_process(name);
        Ok(status)
    }

    fn clear_process(&mut self, name: &str) {
        if let Some(daemon) = self.daemons.get_mut(name) {
            daemon.process = None;
        }
    }

    /// Returns the running daemons, including frozen ones.
    pub fn running(&self) -> impl Iterator<Item = &Daemon> {
        self.daemons.values().filter(|d| d.process.is_some())
    }

    /// Returns the total processor time and memory of the running daemons.
    pub fn usage(&self) -> process::Usage {
        let usages = self.process_ids().into_iter().filter_map(process::usage);
        usages.fold(process::Usage::default(), |sum, one| process::Usage {
            cpu_s: sum.cpu_s + one.cpu_s,
            rss: sum.rss + one.rss,
        })
    }

    /// Returns the process ids of the running daemons.
    pub fn process_ids(&self) -> Vec<u32> {
        let processes = self.daemons.values().filter_map(|d| d.process.as_ref());
        processes.map(process::Process::id).collect()
    }

    /// Reads the status of a daemon; `None` if it does not respond.
    pub async fn status(&self, name: &str) -> Option<admin::Status> {
        let daemon = self.daemons.get(name)?;
        admin::status(daemon.admin, ADMIN_TOKEN).await
    }

    /// Reads the time line of a daemon as JSON lines; empty if it does not respond.
    pub async fn timeline(&self, name: &str) -> String {
        let Some(daemon) = self.daemons.get(name) else {
            return String::new();
        };
        let response = admin::call(daemon.admin, ADMIN_TOKEN, http::Method::GET, "/v1/timeline");
        let body = response.await.map(|(_, body)| body).unwrap_or_default();
        String::from_utf8_lossy(&body).into_owned()
    }

    /// Returns the log of a daemon, for the report of a failed test.
    pub fn log(&self, name: &str) -> String {
        let path = self.files.path(&format!("{name}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Waits until each running daemon has the bundle in force and sees exactly the running daemons as alive.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition is not met in time.
    pub async fn wait_until_settled(&self) -> Result<Durations, Error> {
        let alive: Vec<_> = self.running().map(|d| d.name.clone()).collect();
        let version = self.bundle.version;
        self.wait_for_all("the fleet to settle", |status| {
            let seen = status.members.iter().filter(|m| m.liveness == "alive");
            status.version == version && seen.map(|m| &m.name).eq(alive.iter())
        })
        .await
    }

    /// Waits until each running daemon has `version` or a later one in force, and returns the time that each took.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition is not met in time.
    pub async fn wait_until_in_force(&self, version: u64) -> Result<Durations, Error> {
        self.wait_for_all("the bundle to come into force", |s| s.version >= version)
            .await
    }

    /// Waits until each running daemon except `name` sees `name` in one of the states `liveness`, or no longer lists it
    /// if
    /// `liveness` is empty.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition is not met in time.
    pub async fn wait_until_seen_as(
        &self,
        name: &str,
        liveness: &[&str],
    ) -> Result<Durations, Error> {
        let condition = format!("{name} to be seen as {liveness:?}");
        let others = self.running().filter(|d| d.name != name);
        self.wait_for_daemons(others, &condition, |status| {
            match status.members.iter().find(|m| m.name == name) {
                Some(member) => liveness.contains(&member.liveness.as_str()),
                None => liveness.is_empty(),
            }
        })
        .await
    }

    /// Waits until the daemon `observer` sees the daemon `name` in the state `liveness`.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition is not met in time.
    pub async fn wait_until_seen_by(
        &self,
        observer: &str,
        name: &str,
        liveness: &str,
    ) -> Result<Durations, Error> {
        let condition = format!("{name} to be seen as {liveness} by {observer}");
        let daemon = self.running().filter(|d| d.name == observer);
        self.wait_for_daemons(daemon, &condition, |status| {
            let mut seen = status.members.iter();
            seen.any(|m| m.name == name && m.liveness == liveness)
        })
        .await
    }

    async fn wait_for_all(
        &self,
        condition: &str,
        holds: impl Fn(&admin::Status) -> bool,
    ) -> Result<Durations, Error> {
        self.wait_for_daemons(self.running(), condition, holds)
            .await
    }

    /// Waits until `holds` is true of the status of each of the daemons. A daemon is not polled again once it was true.
    async fn wait_for_daemons<'a>(
        &'a self,
        daemons: impl Iterator<Item = &'a Daemon>,
        condition: &str,
        holds: impl Fn(&admin::Status) -> bool,
    ) -> Result<Durations, Error> {
        let start = time::Instant::now();
        let holds = &holds;
        let fleet = u32::try_from(self.daemons.len()).unwrap_or(u32::MAX);
        let polls = daemons.map(|daemon| async move {
            loop {
                let status = admin::status(daemon.admin, ADMIN_TOKEN).await;
                if status.is_some_and(|s| holds(&s)) {
                    return start.elapsed();
                }
                tokio::time::sleep(POLL_INTERVAL + POLL_PER_DAEMON * fleet).await;
            }
        });
        let all = futures_util::future::join_all(polls);
        match tokio::time::timeout(TIMEOUT, all).await {
            Ok(list) => Ok(Durations { list }),
            Err(_) => TimedOutSnafu { condition }.fail(),
        }
    }
}

/// The time that each daemon took until it met a condition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Durations {
    /// The durations, one for each daemon.
    pub list: Vec<time::Duration>,
}

impl Durations {
    /// Returns the longest duration.
    pub fn last(&self) -> time::Duration {
        self.list.iter().max().copied().unwrap_or_default()
    }
}

/// Polls `holds` until it returns true.
///
/// # Errors
///
/// Returns an error that names `condition` if it is not met in time.
pub async fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) -> Result<(), Error> {
    let start = time::Instant::now();
    while !holds() {
        if start.elapsed() > TIMEOUT {
            return TimedOutSnafu { condition }.fail();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
