//! The actor of the registry: carries [`coordination::registry::Registry`] over a platform that tells rules and targets.
//!
//! One task a topic hears the news, from where [`readers`] decides: the platform, the reader of the failure domain, or any
//! other daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::sync;

use futures_util::future;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::{sync as tasks, time};

use crate::coordination;
use crate::coordination::{member, readers};
use crate::daemon::stop;
use crate::protocol::peer;
use crate::protocol::source::{self, Batch, Topic};
use crate::state::{bundle, clock, timeline};

/// How long a peer's reply may take beyond its wait: several round trips between failure domains.
const REPLY_TIMEOUT: clock::Millis = clock::Millis(300);
/// The pause after news, in which further changes gather: a small part of the time within which they must be in force,
/// since changes come in series and each one asked for alone costs a call.
const GATHER_SPAN: clock::Millis = clock::Millis(100);
/// How long changes are gathered before a bundle is published: a small part of the time within which they must be in
/// force, since each bundle costs every part of the daemon time.
const PUBLISH_SPAN: clock::Millis = clock::Millis(60);

/// What the registry works with.
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The daemon's failure domain.
    pub domain: String,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// The platform.
    pub source: sync::Arc<dyn source::Source>,
    /// The live daemons.
    pub members: tasks::watch::Receiver<sync::Arc<member::View>>,
    /// The way to the peers.
    pub sender: sync::Arc<dyn peer::ControlSender>,
    /// The daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
}

/// A running registry; it stops when the last handle is dropped.
#[derive(Clone)]
pub struct Handle {
    actor: sync::Arc<stop::Stop<Message>>,
    bundle: tasks::watch::Receiver<sync::Arc<bundle::Bundle>>,
    /// Changes with each news, and when the platform is lost.
    news: tasks::watch::Receiver<u64>,
}

/// News from one daemon to another.
#[derive(Default, serde::Serialize, serde::Deserialize)]
struct News {
    rules: Batch,
    targets: Batch,
}

impl News {
    fn is_empty(&self) -> bool {
        self.rules.changes.is_empty() && self.targets.changes.is_empty()
    }
}

/// What came of one round of hearing news.
enum Heard {
    /// The platform answered about a topic, or did not.
    Platform(Topic, Result<Batch, source::Error>),
    /// A peer replied, with the time since the platform answered it; or it did not reply.
    Peer(String, Option<(Option<clock::Millis>, News)>),
}

impl Heard {
    /// Returns whether something changed.
    fn is_news(&self) -> bool {
        match self {
            Heard::Platform(_, Ok(reading)) => !reading.changes.is_empty(),
            Heard::Peer(_, Some((_, news))) => !news.is_empty(),
            Heard::Platform(_, Err(_)) | Heard::Peer(_, None) => false,
        }
    }
}

/// What the actor is told.
enum Message {
    /// Asks where to hear news of a topic next.
    Next {
        topic: Topic,
        reply: tasks::oneshot::Sender<Order>,
    },
    /// News were heard, or not.
    Heard(Box<Heard>),
    /// A peer asks.
    Asked {
        marks: Marks,
        reply: tasks::oneshot::Sender<peer::ControlMessage>,
    },
    /// Time passed.
    Tick,
}

/// How far the topics are known.
#[derive(Clone, Copy, Debug)]
struct Marks {
    rules: u64,
    targets: u64,
}

/// What the task of a topic does next.
enum Order {
    /// It reads the topic from the platform as a whole.
    Read,
    /// It follows the topic at the platform.
    Follow(u64),
    /// It asks a peer about all topics.
    Ask(String, Marks),
    /// It does nothing for a while; another task or a later time brings news.
    Pause(clock::Millis),
}

/// Starts the registry.
///
/// # Errors
///
/// Returns an error if the actor can't be started.
pub async fn spawn(options: Options) -> Result<Handle, ractor::SpawnErr> {
    let (sender, bundle) = tasks::watch::channel(sync::Arc::default());
    let (source, notes) = (options.source.clone(), options.sender.clone());
    let (news, fresh) = tasks::watch::channel(0);
    let (actor, _) = Actor::spawn(None, Carrier, (options, sender, news)).await?;
    for topic in Topic::ALL {
        tokio::spawn(hear(topic, source.clone(), notes.clone(), actor.clone()));
    }
    Ok(Handle {
        actor: sync::Arc::new(stop::Stop(actor)),
        bundle,
        news: fresh,
    })
}

impl Handle {
    /// Returns the bundle in force, version 0 while there is none.
    pub fn bundle(&self) -> tasks::watch::Receiver<sync::Arc<bundle::Bundle>> {
        self.bundle.clone()
    }
}

impl peer::ControlHandler for Handle {
    fn handle<'a>(
        &'a self,
        _from: &'a str,
        note: peer::ControlMessage,
    ) -> future::BoxFuture<'a, peer::ControlMessage> {
        Box::pin(async move {
            let peer::ControlMessage::GetUpdates {
                rules,
                targets,
                wait,
            } = note
            else {
                return peer::ControlMessage::Ack;
            };
            let marks = Marks { rules, targets };
            let mut news = self.news.clone();
            news.mark_unchanged();
            let first = self.ask(marks).await;
            if !is_idle(&first) {
                return first;
            }
            // Without news in time, the reply says at least how fresh this daemon is.
            let _ = time::timeout(wait.min(readers::LONG_POLL).span(), news.changed()).await;
            self.ask(marks).await
        })
    }
}

/// Returns whether the news are none, by a daemon that the platform answers.
fn is_idle(note: &peer::ControlMessage) -> bool {
    matches!(note, peer::ControlMessage::Updates { age: Some(_), changes } if changes.is_empty())
}

impl Handle {
    async fn ask(&self, marks: Marks) -> peer::ControlMessage {
        let (reply, replied) = tasks::oneshot::channel();
        if self
            .actor
            .0
            .send_message(Message::Asked { marks, reply })
            .is_err()
        {
            return peer::ControlMessage::Ack;
        }
        replied.await.unwrap_or(peer::ControlMessage::Ack)
    }
}

/// Hears news of one topic until the actor ends.
async fn hear(
    topic: Topic,
    source: sync::Arc<dyn source::Source>,
    notes: sync::Arc<dyn peer::ControlSender>,
    actor: ActorRef<Message>,
) {
    loop {
        let (reply, replied) = tasks::oneshot::channel();
        if actor.send_message(Message::Next { topic, reply }).is_err() {
            return;
        }
        let Ok(order) = replied.await else { return };
        let heard = match order {
            Order::Read => Heard::Platform(topic, source.read(topic).await),
            Order::Follow(mark) => {
                Heard::Platform(topic, source.follow(topic, mark, readers::LONG_POLL).await)
            }
            Order::Ask(name, marks) => {
                let reply = ask_peer(notes.as_ref(), &name, marks).await;
                Heard::Peer(name, reply)
            }
            Order::Pause(span) => {
                time::sleep(span.span()).await;
                continue;
            }
        };
        let news = heard.is_news();
        if actor.send_message(Message::Heard(Box::new(heard))).is_err() {
            return;
        }
        if news {
            time::sleep(GATHER_SPAN.span()).await;
        }
    }
}

async fn ask_peer(
    notes: &dyn peer::ControlSender,
    name: &str,
    marks: Marks,
) -> Option<(Option<clock::Millis>, News)> {
    let ask = peer::ControlMessage::GetUpdates {
        rules: marks.rules,
        targets: marks.targets,
        wait: readers::LONG_POLL,
    };
    let asking = notes.send(name, ask);
    let Ok(replied) = time::timeout((readers::LONG_POLL + REPLY_TIMEOUT).span(), asking).await
    else {
        log::info!(peer = name; "no news from a peer in time");
        return None;
    };
    match replied {
        Ok(peer::ControlMessage::Updates { age, changes }) if changes.is_empty() => {
            Some((age, News::default()))
        }
        Ok(peer::ControlMessage::Updates { age, changes }) => {
            match serde_json::from_slice(&changes) {
                Ok(news) => Some((age, news)),
                Err(e) => {
                    log::warn!(peer = name; "news of a peer can't be understood: {e}");
                    None
                }
            }
        }
        Ok(_) => None,
        Err(e) => {
            log::info!(peer = name, reason = e.to_string(); "no news from a peer");
            None
        }
    }
}

struct Carrier;

struct State {
    registry: coordination::registry::Registry,
    readers: readers::SourceSelector,
    options: Options,
    bundle: tasks::watch::Sender<sync::Arc<bundle::Bundle>>,
    news: tasks::watch::Sender<u64>,
    /// When each topic was last fresh.
    fresh: BTreeMap<Topic, clock::Millis>,
    /// The topics to be read as a whole, since the platform dropped its history.
    forgotten: BTreeSet<Topic>,
    lost: bool,
    /// What changed since the bundle was last published, and when it first did.
    unpublished: Option<(clock::Millis, String)>,
    /// When the registry is to be ticked.
    armed: clock::Millis,
}

impl Actor for Carrier {
    type Msg = Message;
    type State = State;
    type Arguments = (
        Options,
        tasks::watch::Sender<sync::Arc<bundle::Bundle>>,
        tasks::watch::Sender<u64>,
    );

    async fn pre_start(
        &self,
        _myself: ActorRef<Message>,
        (options, bundle, news): Self::Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let now = options.clock.now();
        Ok(State {
            registry: coordination::registry::Registry::default(),
            readers: readers::SourceSelector::new(now, &options.name, &options.domain),
            options,
            bundle,
            news,
            fresh: BTreeMap::new(),
            forgotten: BTreeSet::new(),
            lost: false,
            unpublished: None,
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
            Message::Next { topic, reply } => {
                // The task that hears of a topic ends with the actor.
                let _ = reply.send(state.next(now, topic));
            }
            Message::Heard(heard) => match *heard {
                Heard::Platform(topic, outcome) => state.hear_platform(now, topic, outcome),
                Heard::Peer(name, reply) => state.hear_peer(now, &name, reply),
            },
            Message::Asked { marks, reply } => {
                // A peer that no longer waits asks again.
                let _ = reply.send(state.tell(now, marks));
            }
            Message::Tick => {
                state.armed = clock::Millis::MAX;
                if state.registry.tick(now) {
                    state.note_change(now, "targets did not come back");
                }
            }
        }
        state.publish_due(now);
        state.arm(&myself, now);
        Ok(())
    }
}

impl State {
    /// Decides what the task of a topic does next. That of the targets asks peers about all topics.
    fn next(&mut self, now: clock::Millis, topic: Topic) -> Order {
        let view = self.options.members.borrow().clone();
        match self.readers.plan(now, &view) {
            readers::Plan::Peer(_) if topic != Topic::Targets => Order::Pause(readers::LONG_POLL),
            readers::Plan::Peer(name) => Order::Ask(name, self.marks()),
            readers::Plan::Wait(until) => Order::Pause(until - now + clock::Millis(1)),
            readers::Plan::Platform => match self.registry.revision(topic) {
                Some(mark) if !self.forgotten.contains(&topic) => Order::Follow(mark),
                _ => Order::Read,
            },
        }
    }

    fn marks(&self) -> Marks {
        let mark = |topic| self.registry.revision(topic).unwrap_or_default();
        Marks {
            rules: mark(Topic::Rules),
            targets: mark(Topic::Targets),
        }
    }

    fn hear_platform(
        &mut self,
        now: clock::Millis,
        topic: Topic,
        outcome: Result<Batch, source::Error>,
    ) {
        let unanswered = matches!(outcome, Err(source::Error::Unavailable { .. }));
        self.readers.record_platform(now, !unanswered);
        match outcome {
            Ok(reading) => {
                self.forgotten.remove(&topic);
                self.fresh.insert(topic, now);
                self.note_contact(now);
                self.log(topic, &reading, "platform");
                if self.registry.apply(now, topic, &reading) {
                    self.note_change(now, topic.as_str());
                }
            }
            Err(source::Error::HistoryDropped) => {
                log::info!(topic = topic.as_str(); "the platform dropped its history; reading as a whole");
                self.forgotten.insert(topic);
            }
            Err(e) => self.note_loss(now, &e.to_string()),
        }
    }

    fn hear_peer(
        &mut self,
        now: clock::Millis,
        name: &str,
        reply: Option<(Option<clock::Millis>, News)>,
    ) {
        let Some((age, news)) = reply else {
            self.readers.record_stale_peer(now, name);
            return;
        };
        let fresh = age.filter(|age| *age <= readers::FRESH_SPAN);
        match fresh {
            Some(age) => {
                for topic in Topic::ALL {
                    let at = self.fresh.entry(topic).or_default();
                    *at = (now - age).max(*at);
                }
                self.note_contact(now);
            }
            None => self.readers.record_stale_peer(now, name),
        }
        let mut changed = false;
        for (topic, reading) in [(Topic::Rules, &news.rules), (Topic::Targets, &news.targets)] {
            self.log(topic, reading, name);
            changed |= self.registry.apply_peer(now, topic, reading);
        }
        if changed {
            self.note_change(now, "news of a peer");
        }
    }

    /// Tells a peer what it misses, and how fresh that is.
    fn tell(&self, now: clock::Millis, marks: Marks) -> peer::ControlMessage {
        let news = News {
            rules: self.registry.updates_since(now, Topic::Rules, marks.rules),
            targets: self
                .registry
                .updates_since(now, Topic::Targets, marks.targets),
        };
        let changes = match news.is_empty() {
            true => Ok(Vec::new()),
            false => serde_json::to_vec(&news),
        };
        let changes = changes.unwrap_or_else(|e| {
            log::error!("news can't be written for a peer: {e}");
            Vec::new()
        });
        peer::ControlMessage::Updates {
            age: self.age(now),
            changes,
        }
    }

    /// Returns how long ago the platform told of all topics; absent while it is lost.
    fn age(&self, now: clock::Millis) -> Option<clock::Millis> {
        if self.lost {
            return None;
        }
        let at = |topic: &Topic| self.fresh.get(topic).copied();
        let ats: Option<Vec<_>> = Topic::ALL.iter().map(at).collect();
        Some(now - ats?.into_iter().min()?)
    }

    fn note_contact(&mut self, now: clock::Millis) {
        self.lost = false;
        if let Some(away) = self.registry.record_recovery(now) {
            log::info!(away_ms = away.0; "platform regained");
            self.record(timeline::Kind::Platform, "regained");
        }
    }

    fn note_loss(&mut self, now: clock::Millis, reason: &str) {
        if !self.lost {
            log::warn!(reason = reason; "platform lost");
            self.record(timeline::Kind::Platform, "lost");
            self.lost = true;
            // Peers that wait for news learn that there is none to be had here.
            self.news.send_modify(|n| *n += 1);
        }
        self.registry.record_outage(now);
    }

    fn log(&self, topic: Topic, reading: &Batch, from: &str) {
        for change in &reading.changes {
            log::info!(
                topic = topic.as_str(), key = change.key, mark = change.revision, from = from,
                gone = change.item.is_none();
                "platform told"
            );
        }
    }

    /// ControlRouter that the bundle is another one now; changes that come together are published together.
    fn note_change(&mut self, now: clock::Millis, why: &str) {
        self.unpublished.get_or_insert((now, why.to_owned()));
        // Peers that wait for news are told at once.
        self.news.send_modify(|n| *n += 1);
    }

    fn publish_due(&mut self, now: clock::Millis) {
        let first = self.bundle.borrow().version == 0;
        let due = |(since, _): &mut (clock::Millis, String)| first || now - *since >= PUBLISH_SPAN;
        if let Some((_, why)) = self.unpublished.take_if(due) {
            self.publish(&why);
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

    fn record(&self, kind: timeline::Kind, detail: &str) {
        let subject = timeline::Subject::default();
        self.options.recorder.record(kind, subject, detail);
    }

    /// Arms the timer for the registry's next tick.
    fn arm(&mut self, myself: &ActorRef<Message>, now: clock::Millis) {
        let publish = self
            .unpublished
            .as_ref()
            .map(|(since, _)| *since + PUBLISH_SPAN);
        let wake = self
            .registry
            .next_deadline()
            .min(publish.unwrap_or(clock::Millis::MAX));
        let wake = wake.max(now + clock::Millis(1));
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
