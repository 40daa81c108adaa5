//! The follower's actor: carries [`adoption::Adoption`] over the platform and the peers.

use std::sync;

use futures_util::future;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync as tasks;

use crate::coordination::adoption::{self, Action, Event};
use crate::coordination::member;
use crate::daemon::stop;
use crate::protocol::peer;
use crate::protocol::platform;
use crate::protocol::rollout;
use crate::state::bundle;
use crate::state::clock;
use crate::state::operator;
use crate::state::timeline;

/// The time between two ticks.
const TICK_SPAN: clock::Millis = clock::Millis(250);

/// What the follower works with.
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The daemon's failure domain.
    pub domain: String,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// The platform.
    pub platform: sync::Arc<dyn platform::Platform>,
    /// The membership.
    pub members: tasks::watch::Receiver<sync::Arc<member::View>>,
    /// Who may sign bundles.
    pub operators: operator::Operators,
    /// The daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
    /// The way to the peers.
    pub sender: sync::Arc<dyn peer::ControlSender>,
}

/// A running follower; it stops when the last handle is dropped.
#[derive(Clone)]
pub struct Handle {
    actor: sync::Arc<stop::Stop<Message>>,
    bundle: tasks::watch::Receiver<sync::Arc<bundle::Bundle>>,
}

/// What the actor is told.
enum Message {
    Happened(Event),
    Note {
        from: String,
        note: peer::ControlMessage,
        reply: tasks::oneshot::Sender<peer::ControlMessage>,
    },
}

/// Starts the follower.
///
/// # Errors
///
/// Returns an error if the actor can't be started.
pub async fn spawn(options: Options) -> Result<Handle, ractor::SpawnErr> {
    let (sender, bundle) = tasks::watch::channel(sync::Arc::default());
    let members = options.members.clone();
    let (actor, _) = Actor::spawn(None, Carrier, (options, sender)).await?;
    tokio::spawn(pass_on_members(members, actor.clone()));
    tokio::spawn(pass_on_time(actor.clone()));
    Ok(Handle {
        actor: sync::Arc::new(stop::Stop(actor)),
        bundle,
    })
}

impl Handle {
    /// Returns the bundle in force, version 0 while there is none.
    pub fn bundle(&self) -> tasks::watch::Receiver<sync::Arc<bundle::Bundle>> {
        self.bundle.clone()
    }

    /// Takes in a note about bundles that came from the peer called `from`, and returns the reply.
    pub async fn handle_control(
        &self,
        from: &str,
        note: peer::ControlMessage,
    ) -> peer::ControlMessage {
        let (reply, replied) = tasks::oneshot::channel();
        let message = Message::Note {
            from: from.to_owned(),
            note,
            reply,
        };
        if self.actor.0.send_message(message).is_err() {
            return peer::ControlMessage::Ack;
        }
        replied.await.unwrap_or(peer::ControlMessage::Ack)
    }
}

impl peer::ControlHandler for Handle {
    fn handle<'a>(
        &'a self,
        from: &'a str,
        note: peer::ControlMessage,
    ) -> future::BoxFuture<'a, peer::ControlMessage> {
        Box::pin(self.handle_control(from, note))
    }
}

async fn pass_on_members(
    mut members: tasks::watch::Receiver<sync::Arc<member::View>>,
    actor: ActorRef<Message>,
) {
    loop {
        let view = members.borrow_and_update().clone();
        let event = Message::Happened(Event::Members(view));
        if actor.send_message(event).is_err() || members.changed().await.is_err() {
            return;
        }
    }
}

async fn pass_on_time(actor: ActorRef<Message>) {
    while actor.send_message(Message::Happened(Event::Tick)).is_ok() {
        tokio::time::sleep(TICK_SPAN.span()).await;
    }
}

struct Carrier;

struct State {
    adoption: adoption::Adoption,
    options: Options,
    bundle: tasks::watch::Sender<sync::Arc<bundle::Bundle>>,
}

impl Actor for Carrier {
    type Msg = Message;
    type State = State;
    type Arguments = (Options, tasks::watch::Sender<sync::Arc<bundle::Bundle>>);

    async fn pre_start(
        &self,
        _myself: ActorRef<Message>,
        (options, bundle): Self::Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let own = adoption::Options {
            name: options.name.clone(),
            domain: options.domain.clone(),
            operators: options.operators.clone(),
        };
        Ok(State {
            adoption: adoption::Adoption::new(options.clock.now(), own),
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
            Message::Happened(event) => state.adoption.handle(state.options.clock.now(), event),
            Message::Note { from, note, reply } => {
                let (answer, actions) = state.adoption.handle_message(&from, note);
                // A peer that no longer waits asks again.
                let _ = reply.send(answer);
                actions
            }
        };
        for action in actions {
            state.carry_out(&myself, action);
        }
        Ok(())
    }
}

impl State {
    fn carry_out(&mut self, myself: &ActorRef<Message>, action: Action) {
        match action {
            Action::ReadRow => self.read(myself),
            Action::Fetch(digest) => self.fetch(myself, digest),
            Action::Send { to, message } => self.send(myself, to, message),
            Action::Adopt(bundle) => {
                self.record(&format!("version {}", bundle.version));
                self.bundle.send_replace(bundle);
            }
            Action::Reject { version, reason } => {
                log::error!("the bundle of version {version} is not adopted: {reason}");
                self.record(&format!("version {version} rejected: {reason}"));
            }
        }
    }

    fn record(&self, detail: &str) {
        let subject = timeline::Subject::default();
        let recorder = &self.options.recorder;
        recorder.record(timeline::Kind::Adopted, subject, detail);
    }

    fn read(&self, myself: &ActorRef<Message>) {
        let platform = sync::Arc::clone(&self.options.platform);
        let myself = myself.clone();
        tokio::spawn(async move {
            let record = read_record(platform.as_ref()).await;
            let _ = myself.send_message(Message::Happened(Event::Row(record)));
        });
    }

    fn fetch(&self, myself: &ActorRef<Message>, digest: String) {
        let platform = sync::Arc::clone(&self.options.platform);
        let myself = myself.clone();
        tokio::spawn(async move {
            let content = platform.object(&digest).await.unwrap_or_else(|e| {
                log::debug!("the object {digest} can't be read: {e}");
                None
            });
            let _ = myself.send_message(Message::Happened(Event::Object { digest, content }));
        });
    }

    fn send(&self, myself: &ActorRef<Message>, to: String, message: peer::ControlMessage) {
        let sender = sync::Arc::clone(&self.options.sender);
        let myself = myself.clone();
        tokio::spawn(async move {
            let message = sender.send(&to, message).await;
            let message = message.map_err(|e| log::debug!("{e}")).ok();
            let _ = myself.send_message(Message::Happened(Event::Replied { from: to, message }));
        });
    }
}

/// Reads the row that names the bundle in force; absent where that fails or there is none.
async fn read_record(platform: &dyn platform::Platform) -> Option<rollout::Record> {
    let row = match platform.read(rollout::KEY).await {
        Ok(row) => row?,
        Err(e) => {
            log::debug!("the bundle's row can't be read: {e}");
            return None;
        }
    };
    serde_json::from_str(&row.value)
        .map_err(|e| log::error!("the bundle's row can't be understood: {e}"))
        .ok()
}
