//! The actor of the membership: runs [`coordination::member::Table`] over datagrams, and publishes the view of the live
//! daemons.

use std::net;
use std::sync;

use bytes::Bytes;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use snafu::{ResultExt, ensure};
use tokio::{sync as tokio_sync, task};

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
const TICK_INTERVAL: clock::Millis = clock::Millis(100);
/// How long [`Handle::leave`] waits until its messages are sent.
const LEAVE_TIMEOUT: clock::Millis = clock::Millis(1_000);
/// The longest name of a daemon or a failure domain, in bytes; names are part of each datagram.
const MAX_NAME_BYTES: usize = 120;

/// An error that prevents the membership from starting.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// A name takes too many bytes of each datagram.
    #[snafu(display(
        "the name {name:?} is longer than {MAX_NAME_BYTES} bytes; choose a shorter one"
    ))]
    Name {
        /// The name.
        name: String,
    },
    /// The actor could not start.
    #[snafu(display("failed to start the actor of the membership"))]
    Spawn {
        /// The error of the actor library.
        source: ractor::SpawnErr,
    },
}

/// Options of the membership.
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
    /// Daemons to join the fleet at, in addition to those of the platform's list.
    pub seeds: Vec<Seed>,
    /// The connections to other daemons.
    pub peers: quic::Peers,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// Records events in the daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
}

/// A handle of the membership's actor.
#[derive(Clone, Debug)]
pub struct Handle {
    actor: ActorRef<Message>,
    view: tokio_sync::watch::Receiver<sync::Arc<View>>,
}

/// Starts the membership.
///
/// # Errors
///
/// Returns an error if a name is too long for the messages, or the actor cannot start.
pub async fn spawn(options: Options) -> Result<Handle, Error> {
    for name in [&options.name, &options.domain] {
        ensure!(name.len() <= MAX_NAME_BYTES, NameSnafu { name });
    }
    let table = Table::new(&coordination::member::Options {
        name: options.name.clone(),
        peer: options.peer,
        domain: options.domain.clone(),
        incarnation: options.incarnation,
        seeds: options.seeds.clone(),
        random_seed: options.incarnation.0 ^ homes::hash(&[&options.name]),
    });
    let (sender, view) = tokio_sync::watch::channel(sync::Arc::new(table.view()));
    let state = State {
        table,
        options,
        view: sender,
    };
    let spawned = Actor::spawn(None, MemberActor, state).await;
    let (actor, _) = spawned.context(SpawnSnafu)?;
    tokio::spawn(send_ticks(actor.clone()));
    Ok(Handle { actor, view })
}

impl Handle {
    /// Returns a receiver of the view, which changes as daemons join, leave or fail.
    pub fn view(&self) -> tokio_sync::watch::Receiver<sync::Arc<View>> {
        self.view.clone()
    }

    /// Handles a datagram from the daemon `from`.
    pub fn deliver(&self, from: String, bytes: Bytes) {
        self.send(Message::Datagram { from, bytes });
    }

    /// Announces to other daemons that this one leaves. Returns once the messages are sent, or after
    /// `LEAVE_TIMEOUT`.
    pub async fn leave(&self) {
        let (done, sent) = tokio_sync::oneshot::channel();
        self.send(Message::Leave(done));
        let _ = tokio::time::timeout(LEAVE_TIMEOUT.span(), sent).await;
    }

    /// Sets the version of the bundle in force, which other daemons receive with the next messages.
    pub fn set_version(&self, version: u64) {
        self.send(Message::Version(version));
    }

    /// Replaces the platform's list of hosts; hosts that are leaving are not used as seeds.
    pub fn set_hosts(&self, hosts: &[platform::Host]) {
        let staying = hosts.iter().filter(|h| !h.leaving);
        let seeds = staying.map(|h| Seed {
            name: h.name.clone(),
            peer: h.peer,
        });
        self.send(Message::Hosts(seeds.collect()));
    }

    /// Stops the actor without announcement, so that other daemons detect a failure.
    pub fn stop(&self) {
        self.actor.stop(None);
    }

    fn send(&self, message: Message) {
        // An actor that has stopped needs no messages.
        let _ = self.actor.cast(message);
    }
}

/// A message to the actor.
#[derive(Debug)]
enum Message {
    Datagram { from: String, bytes: Bytes },
    Hosts(Vec<Seed>),
    Version(u64),
    Leave(tokio_sync::oneshot::Sender<()>),
    Tick,
}

/// Sends ticks until the actor stops; a late tick delays those that follow.
async fn send_ticks(actor: ActorRef<Message>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL.span());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while actor.cast(Message::Tick).is_ok() {
        interval.tick().await;
    }
}

struct MemberActor;

struct State {
    table: Table,
    options: Options,
    view: tokio_sync::watch::Sender<sync::Arc<View>>,
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
            Message::Datagram { from, bytes } => state.handle_datagram(&from, &bytes),
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
    fn handle_datagram(&mut self, from: &str, bytes: &[u8]) {
        match gossip::decode(bytes) {
            Ok(datagram) => {
                self.options.recorder.observe(datagram.stamp);
                let message = &datagram.message;
                drop(self.handle(Event::Received { from, message }));
            }
            Err(e) => log::warn!("failed to decode a datagram from {from}: {e}"),
        }
    }

    /// Passes an event to the table and executes its actions; returns the tasks that send messages.
    fn handle(&mut self, event: Event<'_>) -> Vec<task::JoinHandle<()>> {
        let now = self.options.clock.now();
        let actions = self.table.handle(now, event);
        let sends = actions.into_iter().filter_map(|a| self.execute(a));
        let sends = sends.collect();
        if let Some(view) = self.table.take_view() {
            self.view.send_replace(sync::Arc::new(view));
        }
        sends
    }

    fn execute(&self, action: Action) -> Option<task::JoinHandle<()>> {
        match action {
            Action::Send { to, peer, message } => self.send_message(to, peer, message),
            Action::Record { kind, detail } => {
                let subject = timeline::Subject::default();
                self.options.recorder.record(kind, subject, &detail);
                None
            }
        }
    }

    fn send_message(
        &self,
        to: String,
        peer: net::SocketAddr,
        message: gossip::Message,
    ) -> Option<task::JoinHandle<()>> {
        let stamp = self.options.recorder.stamp();
        let bytes = gossip::encode(&gossip::Datagram::new(stamp, message));
        let bytes = Bytes::from(
            bytes
                .inspect_err(|e| log::error!("failed to encode a message: {e}"))
                .ok()?,
        );
        let peers = self.options.peers.clone();
        Some(tokio::spawn(async move {
            if let Err(e) = peers.datagram(&to, peer, bytes).await {
                log::debug!("failed to send a message to {to}: {e}");
            }
        }))
    }
}
