//! The actor of the registry: runs [`crate::coordination::registry::Registry`] over a platform that keeps rules and targets.
//!
//! One task per topic polls for updates. [`readers`] decides where: at the platform, at the reader of the failure
//! domain or at any other daemon. The registry makes a bundle of the updates and publishes it to the daemon.

mod poll;
mod state;

use std::sync;

use futures_util::future;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::{sync as tokio_sync, time};

use self::poll::{EscalationReply, NextPoll, PollResult, Poller, Revisions};
use self::state::{Publishers, State};
use crate::coordination::{member, readers};
use crate::daemon::{freshness, metrics, stop};
use crate::protocol::source::{self, Topic};
use crate::protocol::{peer, platform, version};
use crate::state::{bundle, clock, timeline};

/// Options of the registry.
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The daemon's failure domain.
    pub domain: String,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// Reads and follows rules and targets.
    pub source: sync::Arc<dyn source::Source>,
    /// The live daemons.
    pub members: tokio_sync::watch::Receiver<sync::Arc<member::View>>,
    /// Sends control messages to peers.
    pub sender: sync::Arc<dyn peer::ControlSender>,
    /// Rewrites this daemon's rows after the platform was restored.
    pub hosts: sync::Arc<dyn platform::Hosts>,
    /// The daemon's metrics.
    pub metrics: sync::Arc<metrics::Metrics>,
    /// Records events in the daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
}

/// A handle of the registry's actor, which stops when the last handle is dropped.
#[derive(Clone)]
pub struct Handle {
    actor: sync::Arc<stop::StopOnDrop<Message>>,
    bundle: tokio_sync::watch::Receiver<sync::Arc<bundle::Bundle>>,
    progress: tokio_sync::watch::Receiver<Progress>,
    confirmed: freshness::Confirmations,
}

/// What peers that wait for updates need to know.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// The number of updates and losses of the platform.
    events: u64,
    /// When the platform last answered for all topics.
    answered: clock::Millis,
}

impl Progress {
    /// Returns whether a peer that waits since `before` learns something. One that waits through an outage does only once
    /// the platform has answered again.
    fn is_news(&self, before: &Progress, through_outage: bool) -> bool {
        match through_outage {
            true => self.answered > before.answered || self.events != before.events,
            false => {
                self.events != before.events
                    || self.answered >= before.answered + readers::REFRESH_STEP
            }
        }
    }
}

/// A message to the actor.
enum Message {
    /// The task of a topic requests its next poll.
    NextPoll {
        topic: Topic,
        reply: tokio_sync::oneshot::Sender<NextPoll>,
    },
    /// The task of escalations requests the polls to make beside those of the topics.
    NextEscalation {
        reply: tokio_sync::oneshot::Sender<EscalationReply>,
    },
    /// A poll has ended.
    Polled {
        result: Box<PollResult>,
        /// When the poll was made.
        asked: clock::Millis,
        /// How long the source could hold it.
        wait: clock::Millis,
    },
    /// A peer requests the updates after its revisions.
    GetUpdates {
        revisions: Revisions,
        version: version::Version,
        reply: tokio_sync::oneshot::Sender<peer::ControlMessage>,
    },
    /// The timer fired.
    Tick,
}

/// Starts the registry.
///
/// # Errors
///
/// Returns an error if the actor cannot be started.
pub async fn spawn(options: Options) -> Result<Handle, ractor::SpawnErr> {
    let (sender, bundle) = tokio_sync::watch::channel(sync::Arc::default());
    let (source, peers) = (options.source.clone(), options.sender.clone());
    let (progress, progress_seen) = tokio_sync::watch::channel(Progress::default());
    let (stale_peers, stale_peers_seen) = tokio_sync::watch::channel(0);
    let (confirmed, confirmed_seen) = tokio_sync::watch::channel(None);
    let publishers = Publishers {
        bundle: sender,
        progress,
        stale_peers,
        confirmed,
    };
    let (actor, _) = Actor::spawn(None, RegistryActor, (options, publishers)).await?;
    let poller = Poller {
        source,
        peers,
        actor: actor.clone(),
    };
    for topic in Topic::ALL {
        tokio::spawn(poll::poll_topic(
            topic,
            poller.clone(),
            stale_peers_seen.clone(),
        ));
    }
    tokio::spawn(poll::escalate(poller, stale_peers_seen));
    Ok(Handle {
        actor: sync::Arc::new(stop::StopOnDrop(actor)),
        bundle,
        progress: progress_seen,
        confirmed: confirmed_seen,
    })
}

impl Handle {
    /// Returns the bundle in force, version 0 while there is none.
    pub fn bundle(&self) -> tokio_sync::watch::Receiver<sync::Arc<bundle::Bundle>> {
        self.bundle.clone()
    }

    /// Returns when the platform last confirmed the rules, by the daemon's clock.
    pub fn confirmations(&self) -> freshness::Confirmations {
        self.confirmed.clone()
    }
}

impl peer::ControlHandler for Handle {
    fn handle<'a>(
        &'a self,
        _from: &'a str,
        version: version::Version,
        message: peer::ControlMessage,
    ) -> future::BoxFuture<'a, peer::ControlMessage> {
        Box::pin(async move {
            let peer::ControlMessage::GetUpdates {
                rules,
                targets,
                wait,
                through_outage,
                held_rules,
            } = message
            else {
                return peer::ControlMessage::Ack;
            };
            let revisions = Revisions {
                rules,
                targets,
                held_rules,
            };
            let begin = time::Instant::now();
            let end = begin + wait.min(readers::PEER_POLL).span();
            let mut reply = self
                .await_updates(revisions, version, end, through_outage)
                .await;
            if let peer::ControlMessage::Updates { held, .. } = &mut reply {
                *held = Some(begin.elapsed().into());
            }
            reply
        })
    }
}

/// Returns whether a reply comes from a daemon that is not cut off from the platform.
fn is_current(reply: &peer::ControlMessage) -> bool {
    matches!(reply, peer::ControlMessage::Updates { age: Some(_), .. })
}

/// Returns whether a reply has no changes, and comes from a daemon whose own updates are old.
fn is_old_and_empty(reply: &peer::ControlMessage) -> bool {
    let is_old = |age: &Option<clock::Millis>| age.is_none_or(|age| age > readers::FRESH_SPAN);
    matches!(reply, peer::ControlMessage::Updates { age, changes, .. } if changes.is_empty() && is_old(age))
}

/// Returns whether a reply has no changes.
fn is_empty(reply: &peer::ControlMessage) -> bool {
    matches!(reply, peer::ControlMessage::Updates { changes, .. } if changes.is_empty())
}

impl Handle {
    /// Returns the updates after a peer's revisions, once there is news for the peer, or at `end`.
    async fn await_updates(
        &self,
        revisions: Revisions,
        version: version::Version,
        end: time::Instant,
        through_outage: bool,
    ) -> peer::ControlMessage {
        let mut progress = self.progress.clone();
        let mut before = *progress.borrow_and_update();
        let mut reply = self.updates_since(revisions, version).await;
        // A daemon that starts waits until this one has something, if it starts too.
        let both_start = revisions.rules == 0 && revisions.targets == 0;
        let waits = match through_outage {
            true => is_old_and_empty(&reply),
            false => is_empty(&reply) && (both_start || is_current(&reply)),
        };
        if !waits {
            return reply;
        }
        loop {
            let has_news = |now: &Progress| now.is_news(&before, through_outage);
            let waited = time::timeout_at(end, progress.wait_for(has_news));
            let is_over = waited.await.map_or(true, |news| news.is_err());
            before = *progress.borrow_and_update();
            // Without news within that time, the reply at least states how fresh this daemon is.
            reply = self.updates_since(revisions, version).await;
            if is_over || !through_outage || !is_old_and_empty(&reply) {
                return reply;
            }
        }
    }

    async fn updates_since(
        &self,
        revisions: Revisions,
        version: version::Version,
    ) -> peer::ControlMessage {
        let (reply, replied) = tokio_sync::oneshot::channel();
        if self
            .actor
            .0
            .send_message(Message::GetUpdates {
                revisions,
                version,
                reply,
            })
            .is_err()
        {
            return peer::ControlMessage::Ack;
        }
        replied.await.unwrap_or(peer::ControlMessage::Ack)
    }
}

struct RegistryActor;

impl Actor for RegistryActor {
    type Msg = Message;
    type State = State;
    type Arguments = (Options, Publishers);

    async fn pre_start(
        &self,
        _myself: ActorRef<Message>,
        (options, publishers): Self::Arguments,
    ) -> Result<State, ActorProcessingErr> {
        Ok(State::new(options, publishers))
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.now();
        match message {
            Message::NextPoll { topic, reply } => {
                // The task of a topic ends when the actor stops, so a failed reply needs no handling.
                let poll = state.next_poll(now, topic);
                let _ = reply.send(NextPoll {
                    topic,
                    poll,
                    at: now,
                });
            }
            Message::NextEscalation { reply } => {
                // This task ends when the actor stops, too.
                let _ = reply.send(state.next_escalation(now));
            }
            Message::Polled {
                result,
                asked,
                wait,
            } => {
                state.handle_polled(now, *result, asked, wait);
            }
            Message::GetUpdates {
                revisions,
                version,
                reply,
            } => {
                // A peer whose poll timed out polls again.
                let _ = reply.send(state.updates_since(now, revisions, version));
            }
            Message::Tick => state.handle_tick(now),
        }
        state.publish_due(now);
        state.schedule_tick(&myself, now);
        Ok(())
    }
}
