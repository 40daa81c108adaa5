//! The follower's actor: runs [`adoption::Adoption`] over the platform and the peers.
//!
//! It receives the signed bundles that operators roll out, from the platform or from peers, and publishes the bundle in
//! force to the daemon.

use std::sync;

use futures_util::future;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync as tokio_sync;

use crate::coordination::adoption::{self, Action, Event};
use crate::coordination::member;
use crate::daemon::stop;
use crate::protocol::peer;
use crate::protocol::platform;
use crate::protocol::rollout;
use crate::protocol::version;
use crate::state::bundle;
use crate::state::clock;
use crate::state::operator;
use crate::state::timeline;

/// The time between two ticks of the state machine.
const TICK_INTERVAL: clock::Millis = clock::Millis(250);

/// Options of the follower.
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The daemon's failure domain.
    pub domain: String,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// Stores bundles and the row that names the bundle in force.
    pub platform: sync::Arc<dyn platform::Platform>,
    /// The live daemons.
    pub members: tokio_sync::watch::Receiver<sync::Arc<member::View>>,
    /// The operators who may sign bundles.
    pub operators: operator::Operators,
    /// Records events in the daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
    /// Sends control messages to peers.
    pub sender: sync::Arc<dyn peer::ControlSender>,
}

/// A handle of the follower's actor, which stops when the last handle is dropped.
#[derive(Clone)]
pub struct Handle {
    actor: sync::Arc<stop::StopOnDrop<Message>>,
    bundle: tokio_sync::watch::Receiver<sync::Arc<bundle::Bundle>>,
}

/// A message to the actor.
enum Message {
    Event(Event),
    Control {
        from: String,
        message: peer::ControlMessage,
        reply: tokio_sync::oneshot::Sender<peer::ControlMessage>,
    },
}

/// Starts the follower.
///
/// # Errors
///
/// Returns an error if the actor cannot be started.
pub async fn spawn(options: Options) -> Result<Handle, ractor::SpawnErr> {
    let (sender, bundle) = tokio_sync::watch::channel(sync::Arc::default());
    let members = options.members.clone();
    let (actor, _) = Actor::spawn(None, FollowerActor, (options, sender)).await?;
    tokio::spawn(forward_views(members, actor.clone()));
    tokio::spawn(send_ticks(actor.clone()));
    Ok(Handle {
        actor: sync::Arc::new(stop::StopOnDrop(actor)),
        bundle,
    })
}

impl Handle {
    /// Returns the bundle in force, version 0 while there is none.
    pub fn bundle(&self) -> tokio_sync::watch::Receiver<sync::Arc<bundle::Bundle>> {
        self.bundle.clone()
    }

    /// Handles a control message about bundles from the peer `from`, and returns the reply.
    pub async fn handle_control(
        &self,
        from: &str,
        message: peer::ControlMessage,
    ) -> peer::ControlMessage {
        let (reply, replied) = tokio_sync::oneshot::channel();
        let control = Message::Control {
            from: from.to_owned(),
            message,
            reply,
        };
        if self.actor.0.send_message(control).is_err() {
            return peer::ControlMessage::Ack;
        }
        replied.await.unwrap_or(peer::ControlMessage::Ack)
    }
}

impl peer::ControlHandler for Handle {
    fn handle<'a>(
        &'a self,
        from: &'a str,
        _version: version::Version,
        message: peer::ControlMessage,
    ) -> future::BoxFuture<'a, peer::ControlMessage> {
        Box::pin(self.handle_control(from, message))
    }
}

async fn forward_views(
    mut members: tokio_sync::watch::Receiver<sync::Arc<member::View>>,
    actor: ActorRef<Message>,
) {
    loop {
        let view = members.borrow_and_update().clone();
        let event = Message::Event(Event::Members(view));
        if actor.send_message(event).is_err() || members.changed().await.is_err() {
            return;
        }
    }
}

async fn send_ticks(actor: ActorRef<Message>) {
    while actor.send_message(Message::Event(Event::Tick)).is_ok() {
        tokio::time::sleep(TICK_INTERVAL.span()).await;
    }
}

struct FollowerActor;

struct State {
    adoption: adoption::Adoption,
    options: Options,
    bundle: tokio_sync::watch::Sender<sync::Arc<bundle::Bundle>>,
}

impl Actor for FollowerActor {
    type Msg = Message;
    type State = State;
    type Arguments = (
        Options,
        tokio_sync::watch::Sender<sync::Arc<bundle::Bundle>>,
    );

    async fn pre_start(
        &self,
        _myself: ActorRef<Message>,
        (options, bundle): Self::Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let adoption_options = adoption::Options {
            name: options.name.clone(),
            domain: options.domain.clone(),
            operators: options.operators.clone(),
        };
        Ok(State {
            adoption: adoption::Adoption::new(options.clock.now(), adoption_options),
            options,
            bundle,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let actions = match message {
            Message::Event(event) => state.adoption.handle(state.options.clock.now(), event),
            Message::Control {
                from,
                message,
                reply,
            } => {
                let (response, actions) = state.adoption.handle_message(&from, message);
                // A peer that no longer waits sends its request again.
                let _ = reply.send(response);
                actions
            }
        };
        for action in actions {
            state.execute(&myself, action);
        }
        Ok(())
    }
}

impl State {
    fn execute(&mut self, myself: &ActorRef<Message>, action: Action) {
        match action {
            Action::ReadRow => self.read_row(myself),
            Action::Fetch(digest) => self.fetch_object(myself, digest),
            Action::Send { to, message } => self.send_message(myself, to, message),
            Action::Adopt(bundle) => {
                self.record(&format!("version {}", bundle.version));
                self.bundle.send_replace(bundle);
            }
            Action::Reject { version, reason } => {
                log::error!("rejected the bundle of version {version}: {reason}");
                self.record(&format!("version {version} rejected: {reason}"));
            }
        }
    }

    fn record(&self, detail: &str) {
        let subject = timeline::Subject::default();
        let recorder = &self.options.recorder;
        recorder.record(timeline::Kind::Adopted, subject, detail);
    }

    fn read_row(&self, myself: &ActorRef<Message>) {
        let platform = sync::Arc::clone(&self.options.platform);
        let myself = myself.clone();
        tokio::spawn(async move {
            let record = read_record(platform.as_ref()).await;
            let _ = myself.send_message(Message::Event(Event::Row(record)));
        });
    }

    fn fetch_object(&self, myself: &ActorRef<Message>, digest: String) {
        let platform = sync::Arc::clone(&self.options.platform);
        let myself = myself.clone();
        tokio::spawn(async move {
            let content = platform.object(&digest).await.unwrap_or_else(|e| {
                log::debug!("failed to read the object {digest}: {e}");
                None
            });
            let _ = myself.send_message(Message::Event(Event::Object { digest, content }));
        });
    }

    fn send_message(&self, myself: &ActorRef<Message>, to: String, message: peer::ControlMessage) {
        let sender = sync::Arc::clone(&self.options.sender);
        let myself = myself.clone();
        tokio::spawn(async move {
            let message = sender.send(&to, message).await;
            let message = message.map_err(|e| log::debug!("{e}")).ok();
            let _ = myself.send_message(Message::Event(Event::Replied { from: to, message }));
        });
    }
}

/// Reads the row that names the bundle in force; returns `None` if that fails or there is no row.
async fn read_record(platform: &dyn platform::Platform) -> Option<rollout::Record> {
    let row = match platform.read(rollout::KEY).await {
        Ok(row) => row?,
        Err(e) => {
            log::debug!("failed to read the row that names the bundle in force: {e}");
            return None;
        }
    };
    serde_json::from_str(&row.value)
        .map_err(|e| log::error!("failed to decode the row that names the bundle in force: {e}"))
        .ok()
}
