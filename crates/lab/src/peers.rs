//! Daemons reduced to their connections and their membership, each on a thread of its own that can be stopped.

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

/// Why a daemon can't be started.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Its files can't be written.
    #[snafu(display("can't write the daemon's files"))]
    Files {
        /// What is wrong.
        source: fleet::Error,
    },
    /// Its settings can't be read back.
    #[snafu(display("can't read the daemon's settings"))]
    Settings {
        /// What the parser said.
        source: toml::de::Error,
    },
    /// Its address can't be bound.
    #[snafu(display("can't bind the daemon's address"))]
    Bind {
        /// What is wrong.
        source: quic::Error,
    },
    /// Its membership can't start.
    #[snafu(display("can't start the daemon's membership"))]
    Member {
        /// What is wrong.
        source: member::Error,
    },
    /// The system gives no thread, runtime or socket.
    #[snafu(display("the system gives no thread, runtime or socket"))]
    System {
        /// What it said.
        source: std::io::Error,
    },
    /// The daemon's thread ended early.
    #[snafu(display("the daemon's thread ended early"))]
    Ended,
}

/// The daemons of one fleet, behind one relay.
#[derive(Debug)]
pub struct Fleet {
    files: files::Files,
    relay: relay::Relay,
    /// The daemons' addresses at the relay.
    fronts: BTreeMap<String, net::SocketAddr>,
    nodes: BTreeMap<String, Node>,
}

/// One daemon.
#[derive(Debug)]
pub struct Node {
    /// Its connections.
    pub peers: quic::Peers,
    /// Its membership.
    pub member: member::Handle,
    /// Its time line.
    pub recorder: Arc<timeline::Recorder>,
    orders: tasks::mpsc::UnboundedSender<Order>,
}

/// What a daemon's thread is told.
enum Order {
    /// Run nothing until the channel closes.
    Pause(mpsc::Receiver<()>),
}

impl Fleet {
    /// Creates a fleet without daemons; `name` names its directory.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory can't be written.
    pub fn create(name: &str) -> Result<Fleet, Error> {
        Ok(Fleet {
            files: files::Files::create(name).context(FilesSnafu)?,
            relay: relay::Relay::default(),
            fronts: BTreeMap::new(),
            nodes: BTreeMap::new(),
        })
    }

    /// Starts the daemon called `name`, or starts it again after [`Fleet::kill`]; it joins at those that run.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon can't start.
    pub async fn start(&mut self, name: &str) -> Result<(), Error> {
        let place = files::DaemonOptions {
            domain: "lahore-1".to_owned(),
            listen: free(),
            peer: free(),
            advertise: None,
            admin: free(),
            platform: free(),
            seeds: BTreeMap::new(),
        };
        let path = self
            .files
            .settings(name, &place, &[], "")
            .context(FilesSnafu)?;
        let text = std::fs::read_to_string(&path).context(SystemSnafu)?;
        let settings = toml::from_str::<settings::Settings>(&text).context(SettingsSnafu)?;
        let (bound, mut started) = begin(settings, self.seeds())?;
        let address = bound.recv().ok().context(EndedSnafu)??;
        let front = match self.fronts.get(name) {
            Some(front) => {
                self.relay.move_to(name, address);
                *front
            }
            None => self.relay.open(name, address).await.context(SystemSnafu)?,
        };
        self.fronts.insert(name.to_owned(), front);
        let node = started.finish(front).await?;
        self.nodes.insert(name.to_owned(), node);
        Ok(())
    }

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

    /// Ends the daemon called `name` without a word.
    pub fn kill(&mut self, name: &str) {
        self.nodes.remove(name);
    }

    /// Stops all that the daemon called `name` does; it goes on when the returned guard is dropped.
    ///
    /// # Panics
    ///
    /// Panics if no such daemon runs.
    pub fn pause(&self, name: &str) -> mpsc::Sender<()> {
        let (guard, receiver) = mpsc::channel();
        let _ = self.node(name).orders.send(Order::Pause(receiver));
        guard
    }

    /// Returns the relay between the daemons.
    pub fn relay(&self) -> &relay::Relay {
        &self.relay
    }

    /// Returns the address of the daemon called `name` at the relay.
    ///
    /// # Panics
    ///
    /// Panics if no such daemon was started.
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

    /// Returns the names of the daemons that run.
    pub fn names(&self) -> Vec<String> {
        self.nodes.keys().cloned().collect()
    }

    /// Returns what the daemon called `name` sees now.
    ///
    /// # Panics
    ///
    /// Panics if no such daemon runs.
    pub fn view(&self, name: &str) -> Arc<View> {
        self.node(name).member.view().borrow().clone()
    }
}

fn free() -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))
}

/// A daemon whose address is bound and whose membership has not started.
struct Started {
    front: Option<tasks::oneshot::Sender<net::SocketAddr>>,
    node: tasks::oneshot::Receiver<Result<Node, Error>>,
}

impl Started {
    async fn finish(&mut self, front: net::SocketAddr) -> Result<Node, Error> {
        if let Some(sender) = self.front.take() {
            let _ = sender.send(front);
        }
        (&mut self.node).await.ok().context(EndedSnafu)?
    }
}

type Bound = mpsc::Receiver<Result<net::SocketAddr, Error>>;

/// Begins to start a daemon on a thread of its own.
fn begin(settings: settings::Settings, seeds: Vec<Seed>) -> Result<(Bound, Started), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(SystemSnafu)?;
    let (bound, address) = mpsc::channel();
    let (front, told) = tasks::oneshot::channel();
    let (sender, node) = tasks::oneshot::channel();
    let name = settings.name.clone();
    let run = move || runtime.block_on(run(settings, seeds, bound, told, sender));
    thread::Builder::new()
        .name(name)
        .spawn(run)
        .context(SystemSnafu)?;
    let front = Some(front);
    Ok((address, Started { front, node }))
}

/// Runs a daemon until its [`Node`] is dropped.
async fn run(
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
    let (orders, mut ordered) = tasks::mpsc::unbounded_channel();
    let node = Node {
        peers,
        member,
        recorder,
        orders,
    };
    let _ = started.send(Ok(node));
    while let Some(Order::Pause(guard)) = ordered.recv().await {
        // The thread runs nothing else meanwhile; the channel closes without a message.
        let _ = guard.recv();
    }
}

/// Hands datagrams to the membership, and keeps streams open until their sender ends them.
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
