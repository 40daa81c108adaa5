//! The actor of the membership: carries [`coordination::member::Table`] over datagrams and publishes the view.

use std::net;
use std::sync;

use bytes::Bytes;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use snafu::{ResultExt, ensure};
use tokio::{sync as tasks, task};

use crate::coordination;
use crate::coordination::homes;
use crate::coordination::member::{Action, Event, Seed, Table, View};
use crate::protocol::gossip;
use crate::protocol::platform;
use crate::state::clock;
use crate::state::ids;
use crate::state::timeline;
use crate::transport::quic;

/// The time between two ticks of the table.
const TICK: clock::Millis = clock::Millis(100);
/// How long [`Handle::leave`] waits for its messages to be sent.
const LEAVE_TIMEOUT: clock::Millis = clock::Millis(1_000);
/// The most bytes of a daemon's name, and of its failure domain's.
const NAME_BYTES: usize = 120;

/// Why the membership could not start.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// A name takes too much of each message.
    #[snafu(display("the name {name:?} is longer than {NAME_BYTES} bytes; choose a shorter one"))]
    Name {
        /// The name.
        name: String,
    },
    /// The actor could not start.
    #[snafu(display("the membership could not start"))]
    Spawn {
        /// What the actor's library said.
        source: ractor::SpawnErr,
    },
}

/// What the membership needs.
#[derive(Debug)]
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The address at which other daemons reach this one.
    pub peer: net::SocketAddr,
    /// The daemon's failure domain.
    pub domain: String,
    /// Which run of the daemon this is.
    pub incarnation: ids::Incarnation,
    /// Daemons to join at, whatever the platform's list says.
    pub seeds: Vec<Seed>,
    /// The connections to other daemons.
    pub peers: quic::Peers,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// The daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
}

/// The running membership.
#[derive(Clone, Debug)]
pub struct Handle {
    actor: ActorRef<Message>,
    view: tasks::watch::Receiver<sync::Arc<View>>,
}

/// Starts the membership.
///
/// # Errors
///
/// Returns an error if a name is too long for the messages, or the actor can't start.
pub async fn spawn(options: Options) -> Result<Handle, Error> {
    for name in [&options.name, &options.domain] {
        ensure!(name.len() <= NAME_BYTES, NameSnafu { name });
    }
    let table = Table::new(&coordination::member::Options {
        name: options.name.clone(),
        peer: options.peer,
        domain: options.domain.clone(),
        incarnation: options.incarnation,
        seeds: options.seeds.clone(),
        seed: options.incarnation.0 ^ homes::hash(&[&options.name]),
    });
    let (sender, view) = tasks::watch::channel(sync::Arc::new(table.view()));
    let state = State {
        table,
        options,
        view: sender,
    };
    let spawned = Actor::spawn(None, MemberActor, state).await;
    let (actor, _) = spawned.context(SpawnSnafu)?;
    tokio::spawn(tick(actor.clone()));
    Ok(Handle { actor, view })
}

impl Handle {
    /// Returns the view, which changes as members come and go.
    pub fn view(&self) -> tasks::watch::Receiver<sync::Arc<View>> {
        self.view.clone()
    }

    /// Takes in a datagram of the daemon called `from`.
    pub fn deliver(&self, from: String, bytes: Bytes) {
        self.tell(Message::Datagram { from, bytes });
    }

    /// Tells other daemons that this one leaves; returns once they have been written to.
    pub async fn leave(&self) {
        let (done, told) = tasks::oneshot::channel();
        self.tell(Message::Leave(done));
        let _ = tokio::time::timeout(LEAVE_TIMEOUT.span(), told).await;
    }

    /// Tells other daemons from now on that the bundle's version `version` is in force here.
    pub fn set_version(&self, version: u64) {
        self.tell(Message::Version(version));
    }

    /// Takes in the platform's list of hosts in place of the last one; those that leave are no seeds.
    pub fn set_hosts(&self, hosts: &[platform::Host]) {
        let staying = hosts.iter().filter(|h| !h.leaving);
        let seeds = staying.map(|h| Seed {
            name: h.name.clone(),
            peer: h.peer,
        });
        self.tell(Message::Hosts(seeds.collect()));
    }

    /// Stops taking part; other daemons find this one silent.
    pub fn stop(&self) {
        self.actor.stop(None);
    }

    fn tell(&self, message: Message) {
        // A membership that has stopped needs to be told nothing.
        let _ = self.actor.cast(message);
    }
}

/// What the actor is told.
#[derive(Debug)]
enum Message {
    Datagram { from: String, bytes: Bytes },
    Hosts(Vec<Seed>),
    Version(u64),
    Leave(tasks::oneshot::Sender<()>),
    Tick,
}

/// Ticks until the actor stops; ticks that were missed are left out.
async fn tick(actor: ActorRef<Message>) {
    let mut interval = tokio::time::interval(TICK.span());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while actor.cast(Message::Tick).is_ok() {
        interval.tick().await;
    }
}

struct MemberActor;

struct State {
    table: Table,
    options: Options,
    view: tasks::watch::Sender<sync::Arc<View>>,
}

impl Actor for MemberActor {
    type Msg = Message;
    type State = State;
    type Arguments = State;

    async fn pre_start(
        &self,
        _myself: ActorRef<Message>,
        state: State,
    ) -> Result<State, ActorProcessingErr> {
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Datagram { from, bytes } => state.take_in(&from, &bytes),
            Message::Hosts(hosts) => drop(state.handle(Event::Hosts(&hosts))),
            Message::Version(version) => drop(state.handle(Event::Version(version))),
            Message::Tick => drop(state.handle(Event::Tick)),
            Message::Leave(done) => {
                let sends = state.handle(Event::Leave);
                tokio::spawn(async move {
                    for send in sends {
                        let _ = send.await;
                    }
                    let _ = done.send(());
                });
            }
        }
        Ok(())
    }
}

impl State {
    fn take_in(&mut self, from: &str, bytes: &[u8]) {
        match gossip::decode(bytes) {
            Ok(datagram) => {
                self.options.recorder.observe(datagram.stamp);
                let message = &datagram.message;
                drop(self.handle(Event::Received { from, message }));
            }
            Err(e) => log::warn!("a datagram of {from} can't be understood: {e}"),
        }
    }

    /// Hands an event to the table, and carries out what it decides; returns the messages that are being sent.
    fn handle(&mut self, event: Event<'_>) -> Vec<task::JoinHandle<()>> {
        let now = self.options.clock.now();
        let actions = self.table.handle(now, event);
        let sends = actions.into_iter().filter_map(|a| self.carry_out(a));
        let sends = sends.collect();
        if let Some(view) = self.table.take_view() {
            self.view.send_replace(sync::Arc::new(view));
        }
        sends
    }

    fn carry_out(&self, action: Action) -> Option<task::JoinHandle<()>> {
        match action {
            Action::Send { to, peer, message } => self.send(to, peer, message),
            Action::Record { kind, detail } => {
                let subject = timeline::Subject::default();
                self.options.recorder.record(kind, subject, &detail);
                None
            }
        }
    }

    fn send(
        &self,
        to: String,
        peer: net::SocketAddr,
        message: gossip::Message,
    ) -> Option<task::JoinHandle<()>> {
        let stamp = self.options.recorder.stamp();
        let bytes = gossip::encode(&gossip::Datagram { stamp, message });
        let bytes = Bytes::from(
            bytes
                .inspect_err(|e| log::error!("a message can't be encoded: {e}"))
                .ok()?,
        );
        let peers = self.options.peers.clone();
        Some(tokio::spawn(async move {
            if let Err(e) = peers.datagram(&to, peer, bytes).await {
                log::debug!("a message to {to} is lost: {e}");
            }
        }))
    }
}
