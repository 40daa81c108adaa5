//! Daemons reduced to their QUIC connections and membership, for tests and measurements within one process.
//!
//! Each daemon runs on its own thread, which can be paused. A UDP relay between them can cut and delay links.

use std::collections::BTreeMap;
use std::net;
use std::sync::{Arc, mpsc};
use std::thread;

use peridotspread::coordination::member::{Seed, View};
use peridotspread::daemon::member;
use peridotspread::state::{clock, ids, settings, timeline};
use peridotspread::transport::quic;
use snafu::{OptionExt, ResultExt};
use tokio::sync as tasks;

use crate::fleet;
use crate::fleet::files;
use crate::relay;

/// Why a daemon failed to start.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Its files were not written.
    #[snafu(display("failed to write the daemon's files"))]
    Files {
        /// What is wrong.
        source: fleet::Error,
    },
    /// Its settings file was not parsed.
    #[snafu(display("failed to parse the daemon's settings"))]
    Settings {
        /// The parser's error.
        source: toml::de::Error,
    },
    /// Its peer address was not bound.
    #[snafu(display("failed to bind the daemon's peer address"))]
    Bind {
        /// What is wrong.
        source: quic::Error,
    },
    /// Its membership did not start.
    #[snafu(display("failed to start the daemon's membership"))]
    Member {
        /// What is wrong.
        source: member::Error,
    },
    /// An operating system call failed.
    #[snafu(display("failed to create a thread, runtime or socket, or to read a file"))]
    System {
        /// The I/O error.
        source: std::io::Error,
    },
    /// The daemon's thread ended before the daemon was ready.
    #[snafu(display("the daemon's thread ended before the daemon was ready"))]
    Ended,
}

/// A fleet of daemons connected through one relay.
#[derive(Debug)]
pub struct Fleet {
    files: files::Files,
    relay: relay::Relay,
    /// The daemons' relay addresses by name.
    fronts: BTreeMap<String, net::SocketAddr>,
    nodes: BTreeMap<String, Node>,
}

/// A running daemon, which stops when dropped.
#[derive(Debug)]
pub struct Node {
    /// Its connections.
    pub peers: quic::Peers,
    /// Its membership.
    pub member: member::Handle,
    /// Its time line.
    pub recorder: Arc<timeline::Recorder>,
    commands: tasks::mpsc::UnboundedSender<Command>,
}

/// A command to a daemon's thread.
enum Command {
    /// Block the thread until the channel closes.
    Pause(mpsc::Receiver<()>),
}

impl Fleet {
    /// Creates a fleet without daemons, whose files are in a directory named after `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory cannot be written.
    pub fn create(name: &str) -> Result<Fleet, Error> {
        Ok(Fleet {
            files: files::Files::create(name).context(FilesSnafu)?,
            relay: relay::Relay::default(),
            fronts: BTreeMap::new(),
            nodes: BTreeMap::new(),
        })
    }

    /// Starts the daemon called `name`, or restarts it after [`Fleet::kill`]; it joins through the running daemons.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon fails to start.
    pub async fn start(&mut self, name: &str) -> Result<(), Error> {
        let place = files::DaemonOptions {
            domain: "lahore-1".to_owned(),
            listen: any_port(),
            peer: any_port(),
            advertise: None,
            admin: any_port(),
            platform: any_port(),
            seeds: BTreeMap::new(),
        };
        let path = self
            .files
            .settings(name, &place, &[], "")
            .context(FilesSnafu)?;
        let text = std::fs::read_to_string(&path).context(SystemSnafu)?;
        let settings = toml::from_str::<settings::Settings>(&text).context(SettingsSnafu)?;
        let (bound, mut started) = spawn_thread(settings, self.seeds())?;
        let address = bound.recv().ok().context(EndedSnafu)??;
        let front = match self.fronts.get(name) {
            Some(front) => {
                self.relay.rebind(name, address);
                *front
            }
            None => self.relay.open(name, address).await.context(SystemSnafu)?,
        };
        self.fronts.insert(name.to_owned(), front);
        let node = started.wait_ready(front).await?;
        self.nodes.insert(name.to_owned(), node);
        Ok(())
    }

    /// Returns the running daemons as seeds for a new one.
    fn seeds(&self) -> Vec<Seed> {
        let running = self
            .fronts
            .iter()
            .filter(|(n, _)| self.nodes.contains_key(*n));
        let seed = |(name, peer): (&String, &net::SocketAddr)| Seed {
            name: name.clone(),
            peer: *peer,
        };
        running.map(seed).collect()
    }

    /// Stops the daemon called `name` without notice to the others.
    pub fn kill(&mut self, name: &str) {
        self.nodes.remove(name);
    }

    /// Blocks the thread of the daemon called `name` until the returned guard is dropped.
    ///
    /// # Panics
    ///
    /// Panics if no such daemon runs.
    pub fn pause(&self, name: &str) -> mpsc::Sender<()> {
        let (guard, receiver) = mpsc::channel();
        let _ = self.node(name).commands.send(Command::Pause(receiver));
        guard
    }

    /// Returns the relay between the daemons.
    pub fn relay(&self) -> &relay::Relay {
        &self.relay
    }

    /// Returns the relay address of the daemon called `name`.
    ///
    /// # Panics
    ///
    /// Panics if no such daemon was ever started.
    pub fn front(&self, name: &str) -> net::SocketAddr {
        self.fronts[name]
    }

    /// Returns the daemon called `name`.
    ///
    /// # Panics
    ///
    /// Panics if no such daemon runs.
    pub fn node(&self, name: &str) -> &Node {
        &self.nodes[name]
    }

    /// Returns the names of the running daemons.
    pub fn names(&self) -> Vec<String> {
        self.nodes.keys().cloned().collect()
    }

    /// Returns the current membership view of the daemon called `name`.
    ///
    /// # Panics
    ///
    /// Panics if no such daemon runs.
    pub fn view(&self, name: &str) -> Arc<View> {
        self.node(name).member.view().borrow().clone()
    }
}

/// Returns a loopback address whose port is selected by the system.
fn any_port() -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))
}

/// A daemon whose socket is bound and whose membership starts once its relay address is known.
struct StartingNode {
    front: Option<tasks::oneshot::Sender<net::SocketAddr>>,
    node: tasks::oneshot::Receiver<Result<Node, Error>>,
}

impl StartingNode {
    /// Sends the relay address to the daemon and waits until its membership runs.
    async fn wait_ready(&mut self, front: net::SocketAddr) -> Result<Node, Error> {
        if let Some(sender) = self.front.take() {
            let _ = sender.send(front);
        }
        (&mut self.node).await.ok().context(EndedSnafu)?
    }
}

/// Receives the address that a starting daemon is bound to.
type BoundAddress = mpsc::Receiver<Result<net::SocketAddr, Error>>;

/// Starts a daemon on its own thread, up to binding its socket.
fn spawn_thread(
    settings: settings::Settings,
    seeds: Vec<Seed>,
) -> Result<(BoundAddress, StartingNode), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(SystemSnafu)?;
    let (bound, address) = mpsc::channel();
    let (front, relay_address) = tasks::oneshot::channel();
    let (sender, node) = tasks::oneshot::channel();
    let name = settings.name.clone();
    let run = move || runtime.block_on(run_daemon(settings, seeds, bound, relay_address, sender));
    thread::Builder::new()
        .name(name)
        .spawn(run)
        .context(SystemSnafu)?;
    let front = Some(front);
    Ok((address, StartingNode { front, node }))
}

/// Runs a daemon on the current thread until its [`Node`] is dropped.
async fn run_daemon(
    settings: settings::Settings,
    seeds: Vec<Seed>,
    bound: mpsc::Sender<Result<net::SocketAddr, Error>>,
    front: tasks::oneshot::Receiver<net::SocketAddr>,
    started: tasks::oneshot::Sender<Result<Node, Error>>,
) {
    let (peers, incoming) = match quic::Peers::bind(&settings).context(BindSnafu) {
        Ok(bound) => bound,
        Err(e) => return drop(bound.send(Err(e))),
    };
    let _ = bound.send(Ok(peers.local()));
    let Ok(front) = front.await else {
        return;
    };
    let incarnation = ids::Incarnation(clock::wall().0);
    let recorder = Arc::new(timeline::Recorder::new(&settings.name, incarnation));
    let spawned = member::spawn(member::Options {
        name: settings.name.clone(),
        peer: front,
        domain: settings.domain.clone(),
        incarnation,
        seeds,
        peers: peers.clone(),
        clock: clock::Clock::start(),
        recorder: recorder.clone(),
    });
    let member = match spawned.await.context(MemberSnafu) {
        Ok(member) => member,
        Err(e) => return drop(started.send(Err(e))),
    };
    tokio::spawn(deliver(incoming, member.clone()));
    let (commands, mut received) = tasks::mpsc::unbounded_channel();
    let node = Node {
        peers,
        member,
        recorder,
        commands,
    };
    let _ = started.send(Ok(node));
    while let Some(Command::Pause(guard)) = received.recv().await {
        // Blocks the single-threaded runtime on purpose; no message is ever sent on this channel.
        let _ = guard.recv();
    }
}

/// Passes datagrams to the membership, and reads streams to their end so that they stay open until then.
pub(crate) async fn deliver(
    mut incoming: tasks::mpsc::Receiver<quic::Incoming>,
    member: member::Handle,
) {
    while let Some(item) = incoming.recv().await {
        match item {
            quic::Incoming::Datagram { from, bytes } => member.deliver(from, bytes),
            quic::Incoming::Stream { send, mut recv, .. } => {
                tokio::spawn(async move {
                    let _ = recv.read_to_end(usize::MAX).await;
                    drop(send);
                });
            }
        }
    }
}
