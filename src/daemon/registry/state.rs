//! The state of the registry's actor: what it polls next, and what it does with the results.

use std::collections::{BTreeMap, BTreeSet};
use std::sync;

use ractor::ActorRef;
use tokio::{sync as tokio_sync, time};

use super::poll::{
    EscalationReply, NextPoll, PeerReply, PeerUpdates, Poll, PollResult, Revisions, compress,
};
use super::{Message, Options, Progress};
use crate::coordination;
use crate::coordination::{escalation, homes, member, readers, reply_time};
use crate::protocol::source::{self, Batch, Topic};
use crate::protocol::{peer, platform, version};
use crate::state::{bundle, clock, timeline};

/// The same pause of a reader after a poll of the platform, each of which has a price. With two pauses of peers it stays
/// below a fifth of the time within which changes must be in force.
const PLATFORM_PAUSE: clock::Millis = clock::Millis(250);
/// The same pause for a daemon that polls the platform in place of its reader: no other daemon waits for its updates,
/// and there may be many such daemons at once.
const FALLBACK_PAUSE: clock::Millis = clock::Millis(400);
/// How long changes are collected before a bundle is published, since each bundle costs processor time in every part of
/// the daemon. This is a small part of the time within which changes must be in force.
const PUBLISH_DELAY: clock::Millis = clock::Millis(60);
/// The shortest time over which the daemons of a fleet spread the rewriting of their rows after the platform was
/// restored. Rows should be back within two seconds.
const REWRITE_SPREAD: clock::Millis = clock::Millis(1_200);
/// The most daemons that begin to rewrite their rows in one second, which keeps them below a platform's limit on writes.
const REWRITES_PER_S: u64 = 900;
/// The pause after a failed attempt to rewrite rows.
const REWRITE_PAUSE: clock::Millis = clock::Millis(200);
/// How long another daemon may have rules of a higher version in force before they are requested from it: longer than
/// the platform takes to tell both.
const BEHIND_SPAN: clock::Millis = clock::Millis(800);
/// The pause of a topic's task while the platform is called beside it.
const CALL_PAUSE: clock::Millis = clock::Millis(50);
/// How often rules that are not confirmed are compared with those of other daemons.
const CONFIRM_INTERVAL: clock::Millis = clock::Millis(50);
/// How long a daemon that starts waits for confirmation of the rules it has, before it serves by them. Other daemons
/// answer in less if they can be reached, and callers are served by those meanwhile.
const CONFIRM_SPAN: clock::Millis = clock::Millis(1_000);
/// The name of the platform in log lines about the origin of updates.
const PLATFORM: &str = "platform";

/// Returns how long one of `daemons` waits before it rewrites its rows, by hash, which spreads them evenly.
fn rewrite_delay(name: &str, era: u64, daemons: usize) -> clock::Millis {
    let spread = (daemons as u64 * 1_000 / REWRITES_PER_S).max(REWRITE_SPREAD.0);
    clock::Millis(homes::hash(&["rewrite", name, &era.to_string()]) % spread)
}

/// Rewrites the rows of this daemon after `delay`, and tries again until the platform has answered.
async fn rewrite_rows(hosts: sync::Arc<dyn platform::Hosts>, era: u64, delay: clock::Millis) {
    time::sleep(delay.span()).await;
    loop {
        match hosts.restore_rows().await {
            Ok(rows) => {
                log::info!(era = era, rows = rows; "rewrote the rows that a copy may lack");
                return;
            }
            Err(e) => {
                log::warn!(era = era; "failed to rewrite the rows that a copy may lack: {e}");
                time::sleep(REWRITE_PAUSE.span()).await;
            }
        }
    }
}

/// The senders of what the actor publishes.
pub(super) struct Publishers {
    pub(super) bundle: tokio_sync::watch::Sender<sync::Arc<bundle::Bundle>>,
    /// What peers that wait for updates need to know.
    pub(super) progress: tokio_sync::watch::Sender<Progress>,
    /// Counts the peers that were found stale, after which the tasks of all topics select their sources again.
    pub(super) stale_peers: tokio_sync::watch::Sender<u64>,
    /// When the platform last confirmed the rules.
    pub(super) confirmed: tokio_sync::watch::Sender<Option<clock::Millis>>,
}

/// Updates for peers that know the topics up to the same revisions. A reader has many such peers, and encoding the rules
/// takes longer than anything else that it does for a poll.
struct EncodedUpdates {
    revisions: Revisions,
    version: version::Version,
    changes: Vec<u8>,
    compressed: bool,
}

/// Changes of the rules or targets that are not published yet.
struct Unpublished {
    /// When the first of them arrived.
    since: clock::Millis,
    /// What changed.
    why: String,
    /// The time after which the first of them was confirmed: the platform had answered without it.
    confirmed_after: Option<clock::Millis>,
}

pub(super) struct State {
    registry: coordination::registry::Registry,
    selector: readers::SourceSelector,
    escalation: escalation::Escalation,
    /// How long answers of the platform take.
    platform_time: reply_time::ReplyTime,
    /// How long replies of peers take.
    peer_time: reply_time::ReplyTime,
    options: Options,
    publishers: Publishers,
    /// When the platform last answered for each topic, here or at the peer that was polled.
    answered: BTreeMap<Topic, clock::Millis>,
    /// The topics whose history the platform dropped, so that the whole topic must be read.
    history_dropped: BTreeSet<Topic>,
    /// The latest era of a revision; absent before the first batch.
    era: Option<u64>,
    /// The topics to poll at the platform because it has answered for another one again.
    regained_topics: BTreeSet<Topic>,
    /// The number of calls to a platform that failed to answer, which selects the topic of the next one.
    calls: usize,
    /// Whether the platform was the last source that was selected.
    polls_platform: bool,
    /// The last source that was selected, for logs.
    source: String,
    /// Since when another daemon has had rules of a higher version in force.
    behind_since: Option<clock::Millis>,
    /// The number of polls of daemons with rules of a higher version, which selects the next one.
    ahead_polls: usize,
    /// Since when there are rules to put into force; absent before.
    rules_since: Option<clock::Millis>,
    /// Whether the platform does not answer.
    lost: bool,
    /// The last encoded updates for a peer; absent once anything has changed since.
    encoded: Option<EncodedUpdates>,
    /// The changes that are not published yet.
    unpublished: Option<Unpublished>,
    /// When the next tick is due.
    next_tick: clock::Millis,
}

impl State {
    /// Returns the state of a registry that knows nothing yet.
    pub(super) fn new(options: Options, publishers: Publishers) -> State {
        let now = options.clock.now();
        State {
            registry: coordination::registry::Registry::default(),
            selector: readers::SourceSelector::new(now, &options.name, &options.domain),
            escalation: escalation::Escalation::new(now),
            platform_time: reply_time::ReplyTime::default(),
            peer_time: reply_time::ReplyTime::default(),
            options,
            publishers,
            answered: BTreeMap::new(),
            history_dropped: BTreeSet::new(),
            era: None,
            regained_topics: BTreeSet::new(),
            calls: 0,
            polls_platform: false,
            source: String::new(),
            behind_since: None,
            ahead_polls: 0,
            rules_since: None,
            lost: false,
            encoded: None,
            unpublished: None,
            next_tick: clock::Millis::MAX,
        }
    }

    /// Returns the current time.
    pub(super) fn now(&self) -> clock::Millis {
        self.options.clock.now()
    }

    /// Handles the result of a poll that was made at `asked`, and that its source could hold for `wait`.
    pub(super) fn handle_polled(
        &mut self,
        now: clock::Millis,
        result: PollResult,
        asked: clock::Millis,
        wait: clock::Millis,
    ) {
        self.encoded = None;
        match result {
            PollResult::Platform(topic, Err(source::Error::Unavailable { .. }))
                if self.answered.get(&topic).is_some_and(|at| *at > asked) =>
            {
                // The platform has answered since, here or along the path of the updates.
                log::info!(topic = topic.as_str(); "passed over the failure of an earlier poll");
            }
            PollResult::Platform(topic, outcome) => {
                let made = self.platform_time.made_at(now, asked, wait);
                // The backoff counts from the poll, since a call that is not answered takes long by itself.
                match outcome {
                    Err(source::Error::Unavailable { .. }) => {
                        self.selector.record_platform(asked, false);
                    }
                    _ => self.selector.record_platform(now, true),
                }
                if outcome.is_ok() && self.is_escalated(now) {
                    self.selector.record_recovery();
                    self.poll_other_topics(topic);
                }
                self.handle_platform(now, made, topic, outcome);
            }
            PollResult::Peer(name, None) => self.handle_late_peer(now, &name),
            PollResult::Peer(name, Some(reply)) => {
                let made = match reply.held {
                    // The reply may have been made that much later than the request was sent, and not later.
                    Some(held) => (asked + held).min(now),
                    None => self.peer_time.made_at(now, asked, wait),
                };
                self.handle_peer(now, made, &name, reply);
            }
        }
    }

    /// Has all other topics polled at the platform too, which answers again. Their own tasks may wait for peers.
    fn poll_other_topics(&mut self, answered: Topic) {
        let others = Topic::ALL.into_iter().filter(|t| *t != answered);
        self.regained_topics.extend(others);
        self.publishers.stale_peers.send_modify(|n| *n += 1);
    }

    /// Handles the timer.
    pub(super) fn handle_tick(&mut self, now: clock::Millis) {
        self.next_tick = clock::Millis::MAX;
        self.encoded = None;
        if self.registry.tick(now) {
            self.record_change(now, "absent targets were removed", None);
        }
        if !self.has_published() && self.registry.rules_version() > 0 {
            // The tasks poll a daemon with later rules at once.
            self.publishers.stale_peers.send_modify(|n| *n += 1);
        }
    }

    /// Returns the next poll for the task of a topic. The task of the targets polls peers for all topics.
    pub(super) fn next_poll(&mut self, now: clock::Millis, topic: Topic) -> Poll {
        let view = self.options.members.borrow().clone();
        if topic == Topic::Rules
            && let Some(name) = self.peer_ahead(now, &view)
        {
            let revisions = Revisions {
                rules: 0,
                ..self.revisions()
            };
            return Poll::Peer {
                name,
                revisions,
                wait: clock::Millis::ZERO,
                through_outage: false,
            };
        }
        let source = self.selector.next_source(now, &view);
        self.log_source(now, &source);
        match source {
            // A daemon that starts may go on to the platform at any time, for all topics.
            readers::Source::Peer(_) if topic != Topic::Targets => {
                Poll::Pause(match self.registry.bundle().is_some() {
                    true => readers::LONG_POLL,
                    false => readers::PEER_INTERVAL,
                })
            }
            readers::Source::Peer(name) => {
                // A peer that has rules and targets answers a daemon that has none at once. One that starts itself is
                // asked again.
                let wait = match self.registry.bundle().is_some() {
                    true => readers::peer_poll_wait(self.age(now)),
                    false => readers::PEER_START_WAIT,
                };
                self.polls_platform = false;
                let through_outage = self.is_escalated(now);
                Poll::Peer {
                    name,
                    revisions: self.revisions(),
                    wait: match through_outage {
                        true => readers::PEER_POLL,
                        false => wait,
                    },
                    through_outage,
                }
            }
            readers::Source::Wait(until) => Poll::Pause(until - now + clock::Millis(1)),
            // The task of escalations calls a platform that has failed to answer, with one topic at a time.
            readers::Source::Platform if self.next_call(now).is_some() => Poll::Pause(CALL_PAUSE),
            readers::Source::Platform => {
                let pause = match self.selector.is_reader(&view) {
                    true => PLATFORM_PAUSE,
                    false => FALLBACK_PAUSE,
                };
                // The task of the rules pauses while peers are polled.
                if !std::mem::replace(&mut self.polls_platform, true) {
                    self.publishers.stale_peers.send_modify(|n| *n += 1);
                }
                let age = self.answered.get(&topic).map(|at| now - *at);
                self.platform_poll(topic, readers::platform_poll_wait(now, age), pause)
            }
        }
    }

    /// Returns the polls to make beside those of the topics, or how long to wait before any are due.
    pub(super) fn next_escalation(&mut self, now: clock::Millis) -> EscalationReply {
        let regained = std::mem::take(&mut self.regained_topics);
        if !regained.is_empty() && self.is_escalated(now) {
            return EscalationReply::Polls(self.polls_of_platform(now, regained));
        }
        let view = self.options.members.borrow().clone();
        let answered = self.answered_in_force();
        let is_reader = self.selector.is_reader(&view);
        let age = answered.map_or(clock::Millis::ZERO, |at| now - at);
        let call_at = self.next_call(now);
        let step = match (self.escalation.next_step(now, answered, is_reader), call_at) {
            (escalation::Step::Wait(_), Some(at)) if at <= now => escalation::Step::PollPlatform,
            (escalation::Step::Wait(until), Some(at)) => escalation::Step::Wait(until.min(at)),
            (step, _) => step,
        };
        let polls = match step {
            escalation::Step::Wait(until) => {
                return EscalationReply::Wait((until - now).max(clock::Millis(1)));
            }
            escalation::Step::PollPeers => self.polls_of_other_readers(now, &view),
            escalation::Step::AwaitNews => self.polls_for_news(now, &view),
            escalation::Step::PollPlatform => {
                let topics = self.topics_to_call(now);
                self.polls_of_platform(now, topics)
            }
        };
        for next in &polls {
            let (kind, name) = match &next.poll {
                Poll::Peer { name, .. } => ("peer", name.as_str()),
                _ => ("platform", PLATFORM),
            };
            log::info!(
                topic = next.topic.as_str(), to = name, source = self.source, age_ms = age.0, step = step.as_str(),
                excluded = self.selector.excluded_peers();
                "updates are old; polling another source too"
            );
            self.options.metrics.record_escalation(kind);
        }
        EscalationReply::Polls(polls)
    }

    /// Returns when this daemon next calls a platform that has failed to answer, although its updates are old.
    fn next_call(&self, now: clock::Millis) -> Option<clock::Millis> {
        let is_reader = self.selector.is_reader(&self.options.members.borrow());
        let age = self.answered_in_force().map(|at| now - at);
        let is_old = age.is_some_and(|age| age >= escalation::ages(is_reader).platform);
        self.selector.next_call().filter(|_| is_old)
    }

    /// Returns the topics to poll at the platform: all, or one after the other while it fails to answer. The others
    /// follow once it answers.
    fn topics_to_call(&mut self, now: clock::Millis) -> BTreeSet<Topic> {
        if self.next_call(now).is_none() {
            return Topic::ALL.into();
        }
        self.calls += 1;
        BTreeSet::from([Topic::ALL[self.calls % Topic::ALL.len()]])
    }

    /// Returns when the platform last answered for what is in force. Without a bundle in force, the polls of the topics
    /// still look for the first updates; rules that no source has confirmed count as old.
    fn answered_in_force(&self) -> Option<clock::Millis> {
        self.has_published()
            .then(|| self.answered_at().unwrap_or_default())
    }

    /// Returns whether the updates are so old that the daemon polls more than one source.
    fn is_escalated(&self, now: clock::Millis) -> bool {
        let is_reader = self.selector.is_reader(&self.options.members.borrow());
        let age = self.answered_in_force().map(|at| now - at);
        age.is_some_and(|age| age >= escalation::ages(is_reader).peer)
    }

    /// Returns polls of two readers other than the source, which reply at once.
    fn polls_of_other_readers(&mut self, now: clock::Millis, view: &member::View) -> Vec<NextPoll> {
        let mut another = || self.selector.another_reader(view, &self.source);
        let names: BTreeSet<_> = [another(), another()].into_iter().flatten().collect();
        self.polls_of_peers(now, names, clock::Millis::ZERO, false)
    }

    /// Returns polls of peers that reply once the platform has answered them again.
    fn polls_for_news(&mut self, now: clock::Millis, view: &member::View) -> Vec<NextPoll> {
        let names = self.selector.news_sources(view, &self.source);
        self.polls_of_peers(now, names, readers::PEER_POLL, true)
    }

    fn polls_of_peers(
        &self,
        now: clock::Millis,
        names: BTreeSet<String>,
        wait: clock::Millis,
        through_outage: bool,
    ) -> Vec<NextPoll> {
        let revisions = self.revisions();
        let poll = |name| NextPoll {
            topic: Topic::Targets,
            poll: Poll::Peer {
                name,
                revisions,
                wait,
                through_outage,
            },
            at: now,
        };
        names.into_iter().map(poll).collect()
    }

    /// Returns polls of the platform for topics, which it answers at once; none while it fails to answer.
    fn polls_of_platform(&mut self, now: clock::Millis, topics: BTreeSet<Topic>) -> Vec<NextPoll> {
        if !self.selector.may_poll_platform(now) {
            return Vec::new();
        }
        self.selector.record_call(now);
        let poll = |topic| NextPoll {
            topic,
            poll: self.platform_poll(topic, clock::Millis::ZERO, PLATFORM_PAUSE),
            at: now,
        };
        topics.into_iter().map(poll).collect()
    }

    /// Logs and counts the source of updates if it is another one than before.
    fn log_source(&mut self, now: clock::Millis, source: &readers::Source) {
        let (kind, name) = match source {
            readers::Source::Platform => ("platform", PLATFORM),
            readers::Source::Peer(name) => ("peer", name.as_str()),
            readers::Source::Wait(_) => return,
        };
        if self.source == name {
            return;
        }
        let age = self.answered_at().map(|at| now - at);
        log::info!(
            source = name, source_before = self.source, age_ms = age.unwrap_or_default().0,
            excluded = self.selector.excluded_peers();
            "selected another source of updates"
        );
        self.options.metrics.record_source(kind);
        name.clone_into(&mut self.source);
    }

    /// Returns when the platform last answered for the topic that it answered longest ago, here or along the path of
    /// the updates; absent before it has answered for all topics.
    fn answered_at(&self) -> Option<clock::Millis> {
        let at = |topic: &Topic| self.answered.get(topic).copied();
        let times: Option<Vec<_>> = Topic::ALL.iter().map(at).collect();
        times?.into_iter().min()
    }

    /// Returns a poll of the platform, which may hold it for `wait` until there are changes.
    fn platform_poll(&self, topic: Topic, wait: clock::Millis, pause: clock::Millis) -> Poll {
        match self.registry.revision(topic) {
            Some(revision) if self.can_follow(topic, revision) => Poll::Follow {
                revision,
                wait,
                pause,
            },
            _ => Poll::Read,
        }
    }

    /// Returns whether the platform can be asked for the changes after a revision.
    fn can_follow(&self, topic: Topic, revision: u64) -> bool {
        let is_current = self.era == Some(self.options.source.era(revision));
        is_current && !self.history_dropped.contains(&topic)
    }

    /// Returns an alive daemon that has had rules of a higher version in force for [`BEHIND_SPAN`], or for
    /// [`CONFIRM_INTERVAL`] if this daemon has none in force yet.
    ///
    /// The platform has lost them if it was restored from a copy, until the operators write them again. It may also
    /// turn away this daemon and the peers that it polls, but not all daemons. Each daemon ahead is polled in turn.
    fn peer_ahead(&mut self, now: clock::Millis, view: &member::View) -> Option<String> {
        let held = self.registry.rules_version();
        let is_ahead =
            |m: &member::Member| m.liveness == member::Liveness::Alive && m.version > held;
        let ahead = view.members.iter().filter(|(_, m)| is_ahead(m));
        let ahead: Vec<_> = ahead.map(|(name, _)| name).collect();
        if held == 0 || ahead.is_empty() {
            self.behind_since = None;
            return None;
        }
        let since = *self.behind_since.get_or_insert(now);
        let span = match self.has_published() {
            true => BEHIND_SPAN,
            false => CONFIRM_INTERVAL,
        };
        if now - since < span {
            return None;
        }
        self.behind_since = Some(now);
        self.ahead_polls += 1;
        Some(ahead[self.ahead_polls % ahead.len()].clone())
    }

    /// Handles the first sign of a later era: this daemon rewrites its rows, and each topic is read again from the
    /// platform unless a peer sends its updates.
    fn enter_era(&mut self, now: clock::Millis, era: u64, from: &str) {
        if self.era.is_some_and(|known| known >= era) {
            return;
        }
        let Some(before) = self.era.replace(era) else {
            return;
        };
        let revisions = self.revisions();
        log::warn!(
            era = era, era_before = before, from = from, rules_mark = revisions.rules,
            targets_mark = revisions.targets, rules = self.registry.rules_version();
            "the platform was restored from a copy"
        );
        self.record(timeline::Kind::Platform, "restored from a copy");
        self.options.metrics.record_restore();
        self.registry.record_restore(now);
        let daemons = self.options.members.borrow().members.len();
        let delay = rewrite_delay(&self.options.name, era, daemons);
        tokio::spawn(rewrite_rows(self.options.hosts.clone(), era, delay));
    }

    fn revisions(&self) -> Revisions {
        let revision = |topic| self.registry.revision(topic).unwrap_or_default();
        Revisions {
            rules: revision(Topic::Rules),
            targets: revision(Topic::Targets),
            held_rules: Some(self.registry.rules_revision()),
        }
    }

    /// Handles the result of polling the platform for a topic; `made` is when it answered.
    fn handle_platform(
        &mut self,
        now: clock::Millis,
        made: clock::Millis,
        topic: Topic,
        outcome: Result<Batch, source::Error>,
    ) {
        let answered_before = self.answered.get(&topic).copied();
        match outcome {
            Ok(batch) if self.is_outdated(batch.revision) => {
                log::info!(topic = topic.as_str(), mark = batch.revision; "ignored an answer of an earlier era");
            }
            Ok(batch) => {
                self.enter_era(now, self.options.source.era(batch.revision), PLATFORM);
                self.history_dropped.remove(&topic);
                self.record_answer(topic, made);
                self.record_contact(now);
                self.log_changes(topic, &batch, PLATFORM);
                if batch.whole {
                    log::info!(
                        topic = topic.as_str(), mark = batch.revision, keys = batch.changes.len();
                        "read a whole topic"
                    );
                }
                if self.registry.apply(now, topic, &batch) {
                    self.record_change(now, topic.as_str(), answered_before);
                } else if batch.whole {
                    // The revisions may have changed, which peers that wait for updates need to know.
                    self.publishers.progress.send_modify(|p| p.events += 1);
                }
            }
            Err(source::Error::Restored { era }) => self.enter_era(now, era, PLATFORM),
            Err(source::Error::HistoryDropped) => {
                log::info!(topic = topic.as_str(); "the platform dropped the history of a topic; reading all of it");
                self.history_dropped.insert(topic);
            }
            Err(e) => self.record_loss(now, topic, &e.to_string()),
        }
    }

    /// Handles the reply of a peer; `made` is when it was made.
    fn handle_peer(
        &mut self,
        now: clock::Millis,
        made: clock::Millis,
        name: &str,
        reply: PeerReply,
    ) {
        let PeerReply {
            age, mut updates, ..
        } = reply;
        if let Some(change) = &updates.rules_change
            && !self.registry.complete_rules(change, &mut updates.rules)
        {
            // Another poll has changed the rules meanwhile. Without its part of the rules, the reply would confirm rules
            // that it does not contain; the next poll states what is held.
            log::info!(peer = name, base = change.base; "passed over a reply with a part of other rules");
            return;
        }
        let answered_before = self.answered_at();
        let is_lost = age.is_none();
        let age = age.map(|age| age + (now - made));
        let span = self.selector.fresh_span(&self.options.members.borrow());
        let fresh = age.filter(|age| *age <= span);
        match fresh {
            Some(age) => {
                self.selector.record_fresh_peer(name);
                let was_escalated = self.is_escalated(now);
                for topic in Topic::ALL {
                    self.record_answer(topic, now - age);
                }
                if was_escalated && !self.is_escalated(now) {
                    self.selector.record_recovery();
                }
                self.record_contact(now);
            }
            None => {
                match is_lost {
                    true => self.selector.record_lost_peer(now, name),
                    false => self.selector.record_stale_peer(now, name),
                }
                self.publishers.stale_peers.send_modify(|n| *n += 1);
                if !self.selector.accepts_stale() {
                    return;
                }
            }
        }
        let mut changed = false;
        for (topic, batch) in [
            (Topic::Rules, &updates.rules),
            (Topic::Targets, &updates.targets),
        ] {
            // A peer without news states no revision.
            let is_outdated = self.is_outdated(batch.revision) && !self.has_later_rules(batch);
            if batch.revision == 0 || is_outdated {
                continue;
            }
            self.enter_era(now, self.options.source.era(batch.revision), name);
            self.log_changes(topic, batch, name);
            changed |= self.registry.apply_peer(now, topic, batch);
        }
        if fresh.is_some() && self.registry.bundle().is_some() {
            self.selector.record_peer_data();
        }
        if changed {
            self.record_change(now, "updates from a peer", answered_before);
        }
    }

    /// Handles a peer that did not reply in time.
    fn handle_late_peer(&mut self, now: clock::Millis, name: &str) {
        self.selector.record_late_peer(now, name);
        self.selector.record_silence(now);
        self.publishers.stale_peers.send_modify(|n| *n += 1);
    }

    /// Returns whether a batch has rules of a higher version than those here. They count also if the peer has not yet
    /// seen that the platform was restored, since versions never fall.
    fn has_later_rules(&self, batch: &Batch) -> bool {
        let held = self.registry.rules_version();
        batch.changes.iter().any(|change| {
            matches!(&change.item, Some(source::Item::Rules(rules)) if rules.version > held)
        })
    }

    /// Returns whether a revision is of an era that has ended.
    fn is_outdated(&self, revision: u64) -> bool {
        let era = self.options.source.era(revision);
        self.era.is_some_and(|known| era < known)
    }

    /// Returns the updates after a peer's revisions, and how fresh they are.
    pub(super) fn updates_since(
        &mut self,
        now: clock::Millis,
        revisions: Revisions,
        version: version::Version,
    ) -> peer::ControlMessage {
        let is_same = |e: &&EncodedUpdates| e.revisions == revisions && e.version == version;
        let encoded = self.encoded.as_ref().filter(is_same);
        let (changes, compressed) = match encoded {
            Some(encoded) => (encoded.changes.clone(), encoded.compressed),
            None => {
                let changes = self.encode_updates(now, revisions, version);
                let compressed = revisions.held_rules.and_then(|_| compress(&changes));
                let (changes, compressed) = match compressed {
                    Some(compressed) => (compressed, true),
                    None => (changes, false),
                };
                // The rest of the grace periods of targets differs from reply to reply.
                let is_lasting = self.registry.next_deadline() == clock::Millis::MAX;
                self.encoded = is_lasting.then(|| EncodedUpdates {
                    revisions,
                    version,
                    changes: changes.clone(),
                    compressed,
                });
                (changes, compressed)
            }
        };
        peer::ControlMessage::Updates {
            age: self.age(now),
            changes,
            held: None,
            compressed,
        }
    }

    /// Returns the encoded updates after a peer's revisions; empty if there are none.
    fn encode_updates(
        &self,
        now: clock::Millis,
        revisions: Revisions,
        version: version::Version,
    ) -> Vec<u8> {
        let mut updates = PeerUpdates {
            rules: self
                .registry
                .updates_since(now, Topic::Rules, revisions.rules),
            targets: self
                .registry
                .updates_since(now, Topic::Targets, revisions.targets),
            rules_change: None,
            version: version::Version::CURRENT,
        };
        if let Some(base) = revisions.held_rules {
            updates.rules_change = self.registry.reduce_rules(base, &mut updates.rules);
        }
        // A peer that knows nothing of a topic has to learn that there is nothing in it.
        let is_new = |known: u64, batch: &Batch| known == 0 && batch.revision > 0;
        let has_new_topic =
            is_new(revisions.rules, &updates.rules) || is_new(revisions.targets, &updates.targets);
        if updates.is_empty() && !has_new_topic {
            return Vec::new();
        }
        if version == version::Version::FIRST {
            updates.convert_to_version_1();
        }
        serde_json::to_vec(&updates).unwrap_or_else(|e| {
            log::error!("failed to encode the updates for a peer: {e}");
            Vec::new()
        })
    }

    /// Returns the time since the platform last answered for all topics, or `None` while it is lost.
    fn age(&self, now: clock::Millis) -> Option<clock::Millis> {
        if self.lost {
            return None;
        }
        Some(now - self.answered_at()?)
    }

    /// Records that the platform answered for a topic, here or along the path of the updates.
    fn record_answer(&mut self, topic: Topic, at: clock::Millis) {
        let last = self.answered.entry(topic).or_default();
        *last = at.max(*last);
        if topic == Topic::Rules {
            self.publishers.confirmed.send_replace(Some(*last));
        }
        let Some(answered) = self.answered_at() else {
            return;
        };
        self.publishers.progress.send_if_modified(|progress| {
            let is_later = progress.answered < answered;
            progress.answered = answered;
            is_later
        });
    }

    fn record_contact(&mut self, now: clock::Millis) {
        self.lost = false;
        if let Some(outage) = self.registry.record_recovery(now) {
            log::info!(away_ms = outage.0; "platform regained");
            self.record(timeline::Kind::Platform, "regained");
        }
    }

    fn record_loss(&mut self, now: clock::Millis, topic: Topic, reason: &str) {
        if !self.lost {
            log::warn!(topic = topic.as_str(), reason = reason; "platform lost");
            self.record(timeline::Kind::Platform, "lost");
            self.lost = true;
            // Waiting polls of peers return, so that the peers go on to other sources.
            self.publishers.progress.send_modify(|p| p.events += 1);
        }
        self.registry.record_outage(now);
    }

    fn log_changes(&self, topic: Topic, batch: &Batch, from: &str) {
        for change in &batch.changes {
            log::info!(
                topic = topic.as_str(), key = change.key, mark = change.revision, from = from,
                gone = change.item.is_none();
                "platform told"
            );
        }
    }

    /// Records that the rules or targets changed; they are published together with other changes of the next moments.
    /// The platform had answered without the change at `confirmed_after`, if that is known.
    fn record_change(
        &mut self,
        now: clock::Millis,
        why: &str,
        confirmed_after: Option<clock::Millis>,
    ) {
        self.unpublished.get_or_insert_with(|| Unpublished {
            since: now,
            why: why.to_owned(),
            confirmed_after,
        });
        // Waiting polls of peers return without that delay.
        self.publishers.progress.send_modify(|p| p.events += 1);
    }

    fn has_published(&self) -> bool {
        self.publishers.bundle.borrow().version > 0
    }

    /// Returns whether the first rules may come into force: the platform or a peer that it answers has confirmed them,
    /// and no alive daemon has later ones in force. Otherwise a caller's credential that was withdrawn long ago would
    /// be accepted again.
    ///
    /// What a restored platform says may be old, so it counts only once the version of another daemon is known. After
    /// [`CONFIRM_SPAN`], the rules come into force all the same, since the platform may answer no daemon.
    fn is_confirmed(&mut self, now: clock::Millis) -> bool {
        let held = self.registry.rules_version();
        if held == 0 {
            return true;
        }
        let since = *self.rules_since.get_or_insert(now);
        if now - since >= CONFIRM_SPAN {
            return true;
        }
        let view = self.options.members.borrow();
        let alive = view
            .members
            .values()
            .filter(|m| m.liveness == member::Liveness::Alive);
        let newest = alive.map(|m| m.version).max().unwrap_or_default();
        let may_be_copy = self.era.is_some_and(|era| era > 0);
        self.answered.contains_key(&Topic::Rules) && newest <= held && (newest > 0 || !may_be_copy)
    }

    /// Publishes the bundle if its first unpublished change is old enough, or if no bundle is in force yet and its
    /// rules are confirmed.
    pub(super) fn publish_due(&mut self, now: clock::Millis) {
        let first = !self.has_published();
        // A change before the targets are known has to be published once they are, also if there are none.
        let has_targets = self.registry.revision(Topic::Targets).is_some();
        if first && !(has_targets && self.is_confirmed(now)) {
            return;
        }
        let due = |changes: &mut Unpublished| first || now - changes.since >= PUBLISH_DELAY;
        if let Some(changes) = self.unpublished.take_if(due) {
            self.publish(now, &changes);
        }
    }

    fn publish(&mut self, now: clock::Millis, changes: &Unpublished) {
        let Some(bundle) = self.registry.bundle() else {
            return;
        };
        let before = self.publishers.bundle.borrow().version;
        if bundle.version != before {
            self.record(
                timeline::Kind::Adopted,
                &format!("version {}", bundle.version),
            );
        }
        let lag = changes.confirmed_after.map(|at| now - at);
        log::info!(
            version = bundle.version, routes = bundle.routes.len(),
            targets = bundle.services.iter().map(|s| s.targets.len()).sum::<usize>(), why = changes.why,
            lag_ms = lag.unwrap_or_default().0;
            "bundle in force"
        );
        if let Some(lag) = lag {
            self.options.metrics.record_lag(lag);
        }
        self.publishers.bundle.send_replace(bundle);
    }

    fn record(&self, kind: timeline::Kind, detail: &str) {
        let subject = timeline::Subject::default();
        self.options.recorder.record(kind, subject, detail);
    }

    /// Schedules the next tick, for the registry or for publishing, if it is due before the one that is scheduled.
    pub(super) fn schedule_tick(&mut self, myself: &ActorRef<Message>, now: clock::Millis) {
        let unpublished = self.unpublished.as_ref();
        let publish_at = unpublished.map(|changes| match self.has_published() {
            true => changes.since + PUBLISH_DELAY,
            false => now + CONFIRM_INTERVAL,
        });
        let due = self
            .registry
            .next_deadline()
            .min(publish_at.unwrap_or(clock::Millis::MAX));
        let due = due.max(now + clock::Millis(1));
        if due >= self.next_tick || due == clock::Millis::MAX {
            return;
        }
        self.next_tick = due;
        let myself = myself.clone();
        tokio::spawn(async move {
            time::sleep((due - now).span()).await;
            let _ = myself.send_message(Message::Tick);
        });
    }
}
