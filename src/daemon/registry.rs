//! The actor of the registry: carries [`coordination::registry::Registry`] over a platform that tells rules and targets.
//!
//! One task a topic follows the platform. While the platform does not answer, a peer that it answers tells the news.

use std::sync;

use futures_util::future;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::{sync as tasks, time};

use crate::coordination;
use crate::coordination::member;
use crate::protocol::peer;
use crate::protocol::source::{self, Reading, Topic};
use crate::state::{bundle, clock, ids, timeline};

/// How long the platform may wait for changes before it answers; so long, a silent platform stays unnoticed.
const FOLLOW_SPAN: clock::Millis = clock::Millis(4_000);
/// The pause after the platform did not answer; it doubles each time.
const FIRST_PAUSE: clock::Millis = clock::Millis(100);
/// The longest pause after the platform did not answer.
const LONGEST_PAUSE: clock::Millis = clock::Millis(800);
/// The time between two questions to peers while the platform does not answer: a fraction of the time within which
/// news must be in force.
const ASK_SPAN: clock::Millis = clock::Millis(300);

/// What the registry works with.
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// The platform.
    pub source: sync::Arc<dyn source::Source>,
    /// The live daemons.
    pub members: tasks::watch::Receiver<sync::Arc<member::View>>,
    /// The way to the peers.
    pub sender: sync::Arc<dyn peer::NoteSender>,
    /// The daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
}

/// A running registry; it stops when the last handle is dropped.
#[derive(Clone)]
pub struct Handle {
    actor: sync::Arc<Stop>,
    bundle: tasks::watch::Receiver<sync::Arc<bundle::Bundle>>,
}

/// Stops the actor when dropped.
struct Stop(ActorRef<Message>);

impl Drop for Stop {
    fn drop(&mut self) {
        self.0.stop(None);
    }
}

/// News from one daemon to another.
#[derive(Default, serde::Serialize, serde::Deserialize)]
struct News {
    rules: Reading,
    targets: Reading,
}

/// What the actor is told.
enum Message {
    /// The platform answered, or did not; the reply is the mark to follow on from.
    Read {
        topic: Topic,
        outcome: Result<Reading, source::Error>,
        reply: tasks::oneshot::Sender<Option<u64>>,
    },
    /// A peer told its news.
    News(News),
    /// A peer asks.
    Asked {
        mark: u64,
        reply: tasks::oneshot::Sender<News>,
    },
    /// It may be time to ask a peer.
    Ask,
    /// Time passed.
    Tick,
}

/// Starts the registry.
///
/// # Errors
///
/// Returns an error if the actor can't be started.
pub async fn spawn(options: Options) -> Result<Handle, ractor::SpawnErr> {
    let (sender, bundle) = tasks::watch::channel(sync::Arc::default());
    let source = options.source.clone();
    let (actor, _) = Actor::spawn(None, Carrier, (options, sender)).await?;
    for topic in Topic::ALL {
        tokio::spawn(follow(topic, source.clone(), actor.clone()));
    }
    tokio::spawn(ask_when_cut_off(actor.clone()));
    Ok(Handle {
        actor: sync::Arc::new(Stop(actor)),
        bundle,
    })
}

impl Handle {
    /// Returns the bundle in force, version 0 while there is none.
    pub fn bundle(&self) -> tasks::watch::Receiver<sync::Arc<bundle::Bundle>> {
        self.bundle.clone()
    }
}

impl peer::NoteTaker for Handle {
    fn take<'a>(&'a self, _from: &'a str, note: peer::Note) -> future::BoxFuture<'a, peer::Note> {
        Box::pin(async move {
            let peer::Note::AskNews { mark } = note else {
                return peer::Note::Done;
            };
            let (reply, replied) = tasks::oneshot::channel();
            let asked = Message::Asked { mark, reply };
            if self.actor.0.send_message(asked).is_err() {
                return peer::Note::Done;
            }
            match replied.await.map(|news| serde_json::to_vec(&news)) {
                Ok(Ok(bytes)) => peer::Note::News(bytes),
                Ok(Err(e)) => {
                    log::error!("news can't be written for a peer: {e}");
                    peer::Note::Done
                }
                Err(_) => peer::Note::Done,
            }
        })
    }
}

/// Follows one topic until the actor ends.
async fn follow(topic: Topic, source: sync::Arc<dyn source::Source>, actor: ActorRef<Message>) {
    let mut mark = None;
    let mut pause = FIRST_PAUSE;
    loop {
        let outcome = match mark {
            Some(mark) => source.follow(topic, mark, FOLLOW_SPAN).await,
            None => source.read(topic).await,
        };
        let failed = matches!(outcome, Err(source::Error::Unavailable { .. }));
        let forgotten = matches!(outcome, Err(source::Error::Forgotten));
        let (reply, replied) = tasks::oneshot::channel();
        let read = Message::Read {
            topic,
            outcome,
            reply,
        };
        if actor.send_message(read).is_err() {
            return;
        }
        let Ok(known) = replied.await else { return };
        mark = known.filter(|_| !forgotten);
        if failed {
            time::sleep(pause.span()).await;
            pause = clock::Millis(pause.0 * 2).min(LONGEST_PAUSE);
        } else {
            pause = FIRST_PAUSE;
        }
    }
}

async fn ask_when_cut_off(actor: ActorRef<Message>) {
    while actor.send_message(Message::Ask).is_ok() {
        time::sleep(ASK_SPAN.span()).await;
    }
}

struct Carrier;

struct State {
    registry: coordination::registry::Registry,
    options: Options,
    bundle: tasks::watch::Sender<sync::Arc<bundle::Bundle>>,
    /// The topics that the platform does not answer about.
    lost: Vec<Topic>,
    /// When the registry is to be ticked.
    armed: clock::Millis,
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
        Ok(State {
            registry: coordination::registry::Registry::default(),
            options,
            bundle,
            lost: Vec::new(),
            armed: clock::Millis::MAX,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.options.clock.now();
        match message {
            Message::Read {
                topic,
                outcome,
                reply,
            } => {
                state.take_outcome(now, topic, outcome);
                // The task that follows a topic ends with the actor.
                let _ = reply.send(state.registry.mark(topic));
            }
            Message::News(news) => {
                state.take(now, Topic::Rules, &news.rules, "peer");
                state.take(now, Topic::Targets, &news.targets, "peer");
            }
            Message::Asked { mark, reply } => {
                // A peer that no longer waits asks again.
                let _ = reply.send(News {
                    rules: state.registry.news(Topic::Rules, mark),
                    targets: state.registry.news(Topic::Targets, mark),
                });
            }
            Message::Ask => state.ask(&myself),
            Message::Tick => {
                state.armed = clock::Millis::MAX;
                if state.registry.tick(now) {
                    state.publish("targets did not come back");
                }
            }
        }
        state.arm(&myself, now);
        Ok(())
    }
}

impl State {
    fn take_outcome(
        &mut self,
        now: clock::Millis,
        topic: Topic,
        outcome: Result<Reading, source::Error>,
    ) {
        match outcome {
            Ok(reading) => {
                self.regain(now, topic);
                self.take(now, topic, &reading, "platform");
            }
            Err(source::Error::Forgotten) => {
                log::info!(topic = topic.as_str(); "the platform dropped its history; reading as a whole");
                self.regain(now, topic);
            }
            Err(e) => {
                if !self.lost.contains(&topic) {
                    log::warn!(topic = topic.as_str(), reason = e.to_string(); "platform lost");
                    self.record(timeline::Kind::Platform, "lost");
                    self.lost.push(topic);
                }
                self.registry.lose(now);
            }
        }
    }

    fn regain(&mut self, now: clock::Millis, topic: Topic) {
        let before = self.lost.len();
        self.lost.retain(|t| *t != topic);
        if before == 0 || !self.lost.is_empty() {
            return;
        }
        if let Some(away) = self.registry.regain(now) {
            log::info!(away_ms = away.0; "platform regained");
            self.record(timeline::Kind::Platform, "regained");
        }
    }

    fn take(&mut self, now: clock::Millis, topic: Topic, reading: &Reading, from: &str) {
        for change in &reading.changes {
            log::info!(
                topic = topic.as_str(), key = change.key, mark = change.mark, from = from,
                gone = change.item.is_none();
                "platform told"
            );
        }
        if self.registry.take(now, topic, reading) {
            self.publish(topic.as_str());
        }
    }

    fn publish(&mut self, why: &str) {
        let Some(bundle) = self.registry.bundle() else {
            return;
        };
        let before = self.bundle.borrow().version;
        if bundle.version != before {
            self.record(
                timeline::Kind::Adopted,
                &format!("version {}", bundle.version),
            );
        }
        log::info!(
            version = bundle.version, routes = bundle.routes.len(),
            targets = bundle.services.iter().map(|s| s.targets.len()).sum::<usize>(), why = why;
            "bundle in force"
        );
        self.bundle.send_replace(bundle);
    }

    /// Asks a peer for news while the platform does not answer.
    fn ask(&self, myself: &ActorRef<Message>) {
        if self.lost.is_empty() {
            return;
        }
        let view = self.options.members.borrow().clone();
        let others = view.members.iter();
        let others = others.filter(|(name, m)| {
            **name != self.options.name && m.liveness == member::Liveness::Alive
        });
        let others: Vec<_> = others.map(|(name, _)| name).collect();
        let draw = ids::RequestId::random().0;
        let Some(peer) = others.get((draw % others.len().max(1) as u128) as usize) else {
            return;
        };
        let known = Topic::ALL.map(|t| self.registry.mark(t).unwrap_or_default());
        let mark = known.into_iter().min().unwrap_or_default();
        let (peer, sender) = ((*peer).clone(), self.options.sender.clone());
        let myself = myself.clone();
        tokio::spawn(async move {
            match sender.send(&peer, peer::Note::AskNews { mark }).await {
                Ok(peer::Note::News(bytes)) => match serde_json::from_slice(&bytes) {
                    // A registry that has ended needs no news.
                    Ok(news) => drop(myself.send_message(Message::News(news))),
                    Err(e) => log::warn!(peer = peer; "news of a peer can't be understood: {e}"),
                },
                Ok(_) => {}
                Err(e) => log::debug!("{e}"),
            }
        });
    }

    fn record(&self, kind: timeline::Kind, detail: &str) {
        let subject = timeline::Subject::default();
        self.options.recorder.record(kind, subject, detail);
    }

    /// Arms the timer for the registry's next tick.
    fn arm(&mut self, myself: &ActorRef<Message>, now: clock::Millis) {
        let wake = self.registry.wake().max(now + clock::Millis(1));
        if wake >= self.armed || wake == clock::Millis::MAX {
            return;
        }
        self.armed = wake;
        let myself = myself.clone();
        tokio::spawn(async move {
            time::sleep((wake - now).span()).await;
            let _ = myself.send_message(Message::Tick);
        });
    }
}
