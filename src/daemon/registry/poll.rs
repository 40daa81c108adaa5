//! The polls of the registry: a task for each topic, and one for the polls beside them.

use std::io::{Read, Write};
use std::pin;
use std::sync;

use flate2::{read, write};
use ractor::ActorRef;
use tokio::{sync as tokio_sync, time};

use super::Message;
use crate::coordination::route_changes;
use crate::protocol::source::{self, Batch, Topic};
use crate::protocol::{peer, version};
use crate::state::clock;

/// How long a peer's reply may take beyond the time of the long poll: several round trips between failure domains.
const REPLY_TIMEOUT: clock::Millis = clock::Millis(300);
/// How long no part of a reply may arrive once it has begun to: a transfer shares its link with others.
const PART_TIMEOUT: clock::Millis = clock::Millis(700);
/// The longest time that a reply may take to arrive, so that a peer that sends a little at a time is given up.
const TRANSFER_TIMEOUT: clock::Millis = clock::Millis(6_000);
/// The size from which updates are compressed for peers, in bytes.
const MIN_COMPRESSED_BYTES: usize = 1_024;
/// The largest size of updates after decompression, in bytes.
const MAX_UPDATE_BYTES: u64 = 64 * 1_024 * 1_024;
/// The pause after a poll of a peer that returned changes, so that one reply contains all further changes of the same
/// series. It is a small part of the time within which changes must be in force.
const PEER_PAUSE: clock::Millis = clock::Millis(100);

/// Updates of all topics from one daemon to another.
#[derive(Default, serde::Serialize, serde::Deserialize)]
pub(super) struct PeerUpdates {
    pub(super) rules: Batch,
    pub(super) targets: Batch,
    /// What the rules of the batch lack that the receiver has; absent if they are complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) rules_change: Option<route_changes::RulesChange>,
    /// The version of the protocol that the sender speaks.
    #[serde(default)]
    pub(super) version: version::Version,
}

impl PeerUpdates {
    pub(super) fn is_empty(&self) -> bool {
        self.rules.changes.is_empty() && self.targets.changes.is_empty()
    }

    /// Returns whether the rules may lack parts that the sender does not know, such as quotas.
    fn may_lack_rules(&self) -> bool {
        self.version == version::Version::FIRST && !self.rules.changes.is_empty()
    }

    /// Removes the parts of the rules that a daemon of version 1 refuses.
    pub(super) fn convert_to_version_1(&mut self) {
        for change in &mut self.rules.changes {
            if let Some(source::Item::Rules(bundle)) = &mut change.item {
                **bundle = bundle.for_version_1();
            }
        }
    }
}

/// The result of one poll.
pub(super) enum PollResult {
    /// The result of polling the platform for a topic.
    Platform(Topic, Result<Batch, source::Error>),
    /// The reply of a peer; absent if it did not reply.
    Peer(String, Option<PeerReply>),
}

/// The reply of a peer to a request for updates.
pub(super) struct PeerReply {
    /// The time since the platform last answered the peer, when it made the reply; absent while it does not answer.
    pub(super) age: Option<clock::Millis>,
    /// How long the peer held the request; absent if it does not state it.
    pub(super) held: Option<clock::Millis>,
    pub(super) updates: PeerUpdates,
}

impl PollResult {
    /// Returns whether the poll returned changes.
    fn has_changes(&self) -> bool {
        match self {
            PollResult::Platform(_, Ok(batch)) => !batch.changes.is_empty(),
            PollResult::Peer(_, Some(reply)) => !reply.updates.is_empty(),
            PollResult::Platform(_, Err(_)) | PollResult::Peer(_, None) => false,
        }
    }
}

/// The revisions up to which the topics are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Revisions {
    pub(super) rules: u64,
    pub(super) targets: u64,
    /// The revision of the rules that are held; absent if the peer does not take parts of rules.
    pub(super) held_rules: Option<u64>,
}

/// The next poll of a topic.
pub(super) struct NextPoll {
    pub(super) topic: Topic,
    pub(super) poll: Poll,
    /// When it was decided.
    pub(super) at: clock::Millis,
}

/// What the task of escalations does next.
pub(super) enum EscalationReply {
    /// Wait for a while.
    Wait(clock::Millis),
    /// Make these polls.
    Polls(Vec<NextPoll>),
}

/// What the task of a topic polls next.
pub(super) enum Poll {
    /// Read the whole topic from the platform.
    Read,
    /// Wait for changes after a revision at the platform.
    Follow {
        revision: u64,
        /// How long the platform may hold the call.
        wait: clock::Millis,
        /// The pause if there are changes.
        pause: clock::Millis,
    },
    /// Request the updates of all topics from a peer.
    Peer {
        name: String,
        revisions: Revisions,
        /// How long the peer may hold the reply.
        wait: clock::Millis,
        /// Whether it may do so although it has lost the platform.
        through_outage: bool,
    },
    /// Poll nothing for a while, unless another source is selected before.
    Pause(clock::Millis),
}

impl Poll {
    /// Returns how long the source may hold the poll.
    fn wait(&self) -> clock::Millis {
        match self {
            Poll::Follow { wait, .. } | Poll::Peer { wait, .. } => *wait,
            Poll::Read | Poll::Pause(_) => clock::Millis::ZERO,
        }
    }
}

/// Makes the polls that the actor decides on.
#[derive(Clone)]
pub(super) struct Poller {
    pub(super) source: sync::Arc<dyn source::Source>,
    pub(super) peers: sync::Arc<dyn peer::ControlSender>,
    pub(super) actor: ActorRef<Message>,
}

impl Poller {
    /// Makes a poll and sends its result to the actor. Returns whether there were changes, or nothing if the actor has
    /// stopped or the poll is a pause.
    async fn run(&self, next: NextPoll) -> Option<bool> {
        let NextPoll { topic, poll, at } = next;
        let wait = poll.wait();
        let result = match poll {
            Poll::Read => PollResult::Platform(topic, self.source.read(topic).await),
            Poll::Follow { revision, wait, .. } => {
                PollResult::Platform(topic, self.source.follow(topic, revision, wait).await)
            }
            Poll::Peer {
                name,
                revisions,
                wait,
                through_outage,
            } => {
                let request = peer::ControlMessage::GetUpdates {
                    rules: revisions.rules,
                    targets: revisions.targets,
                    wait,
                    through_outage,
                    held_rules: revisions.held_rules,
                };
                let reply = poll_peer(self.peers.as_ref(), &name, request, wait).await;
                PollResult::Peer(name, reply)
            }
            Poll::Pause(_) => return None,
        };
        let has_changes = result.has_changes();
        let result = Box::new(result);
        let sent = self.actor.send_message(Message::Polled {
            result,
            asked: at,
            wait,
        });
        sent.is_ok().then_some(has_changes)
    }
}

/// Polls for updates of one topic until the actor stops.
pub(super) async fn poll_topic(
    topic: Topic,
    poller: Poller,
    mut stale_peers: tokio_sync::watch::Receiver<u64>,
) {
    loop {
        let (reply, replied) = tokio_sync::oneshot::channel();
        let asked = poller
            .actor
            .send_message(Message::NextPoll { topic, reply });
        if asked.is_err() {
            return;
        }
        let Ok(next) = replied.await else { return };
        if let Poll::Pause(span) = next.poll {
            // The sender is gone only if the actor has stopped, which the next message shows.
            let _ = time::timeout(span.span(), stale_peers.changed()).await;
            continue;
        }
        let pause = match next.poll {
            Poll::Follow { pause, .. } => pause,
            _ => PEER_PAUSE,
        };
        match poller.run(next).await {
            None => return,
            Some(true) => time::sleep(pause.span()).await,
            Some(false) => {}
        }
    }
}

/// Makes further polls while the updates are too old, until the actor stops.
pub(super) async fn escalate(poller: Poller, mut stale_peers: tokio_sync::watch::Receiver<u64>) {
    loop {
        let (reply, replied) = tokio_sync::oneshot::channel();
        let asked = poller.actor.send_message(Message::NextEscalation { reply });
        if asked.is_err() {
            return;
        }
        match replied.await {
            Err(_) => return,
            Ok(EscalationReply::Wait(span)) => {
                // The sender is gone only if the actor has stopped, which the next message shows.
                let _ = time::timeout(span.span(), stale_peers.changed()).await;
            }
            Ok(EscalationReply::Polls(polls)) => {
                // None of them waits for another, since each may go unanswered.
                for next in polls {
                    let poller = poller.clone();
                    tokio::spawn(async move { poller.run(next).await });
                }
            }
        }
    }
}

/// Requests the updates of all topics from a peer, which may hold the reply for `wait`.
async fn poll_peer(
    peers: &dyn peer::ControlSender,
    name: &str,
    request: peer::ControlMessage,
    wait: clock::Millis,
) -> Option<PeerReply> {
    let arrived = peer::Arrived::default();
    let polled = peers.send_counted(name, request, &arrived);
    let Some(replied) = with_progress(polled, &arrived, wait + REPLY_TIMEOUT).await else {
        log::info!(peer = name, received_bytes = arrived.bytes(); "no reply from a peer in time");
        return None;
    };
    let (age, held, changes) = match replied {
        Ok(peer::ControlMessage::Updates {
            age,
            held,
            changes,
            compressed: false,
        }) => (age, held, changes),
        Ok(peer::ControlMessage::Updates {
            age, held, changes, ..
        }) => (age, held, decompress(name, &changes)?),
        Ok(_) => return None,
        Err(e) => {
            log::info!(peer = name, reason = e.to_string(); "no updates from a peer");
            return None;
        }
    };
    let updates = match changes.is_empty() {
        true => PeerUpdates::default(),
        false => decode_updates(name, &changes)?,
    };
    Some(PeerReply { age, held, updates })
}

/// Awaits a reply that must begin to arrive within `timeout`, and then arrive in parts until it is complete.
async fn with_progress<F: Future>(
    reply: F,
    arrived: &peer::Arrived,
    timeout: clock::Millis,
) -> Option<F::Output> {
    let mut reply = pin::pin!(reply);
    let end = time::Instant::now() + (timeout + TRANSFER_TIMEOUT).span();
    let mut wait = timeout;
    let mut before = 0;
    loop {
        let part = time::timeout(wait.span(), &mut reply).await;
        if let Ok(reply) = part {
            return Some(reply);
        }
        let bytes = arrived.bytes();
        if bytes == before || time::Instant::now() >= end {
            return None;
        }
        (before, wait) = (bytes, PART_TIMEOUT);
    }
}

/// Compresses updates for a peer, if that is worth it.
pub(super) fn compress(updates: &[u8]) -> Option<Vec<u8>> {
    if updates.len() < MIN_COMPRESSED_BYTES {
        return None;
    }
    let mut encoder = write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
    let written = encoder
        .write_all(updates)
        .and_then(|()| encoder.finish())
        .inspect_err(|e| log::error!("failed to compress the updates for a peer: {e}"));
    written.ok()
}

/// Decompresses the updates of a peer; returns nothing if that fails.
fn decompress(name: &str, compressed: &[u8]) -> Option<Vec<u8>> {
    let mut updates = Vec::new();
    let decoder = read::DeflateDecoder::new(compressed);
    match decoder.take(MAX_UPDATE_BYTES).read_to_end(&mut updates) {
        Ok(_) => Some(updates),
        Err(e) => {
            log::warn!(peer = name; "failed to decompress the updates of a peer: {e}");
            None
        }
    }
}

/// Decodes the updates of a peer; returns nothing if they cannot be used.
fn decode_updates(name: &str, changes: &[u8]) -> Option<PeerUpdates> {
    match serde_json::from_slice(changes) {
        Ok(updates) if PeerUpdates::may_lack_rules(&updates) => {
            log::info!(peer = name; "passed over the rules of a peer of an older build");
            None
        }
        Ok(updates) => Some(updates),
        Err(e) => {
            log::warn!(peer = name; "failed to decode the updates of a peer: {e}");
            None
        }
    }
}
