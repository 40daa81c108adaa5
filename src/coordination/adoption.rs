//! Adoption of bundles: decides which bundle is in force in this daemon, and distributes bundles to its fan-out peers.
//!
//! The version in force only increases, whatever the source, and a bundle is adopted only with an operator's signature
//! and after validation. A few daemons of each failure domain poll the rollout row in the platform's table each second.
//! Each daemon pushes an adopted bundle to its [`fanout`] peers, which push it on: its successors in a ring over all
//! names, so that the bundle reaches every daemon that has a live predecessor, and some shortcuts, which make it fast.
//! A daemon is missed if all daemons that push to it are dead. It then gets the bundle when the membership changes,
//! since its new peers send it their version, or when it polls its own fan-out peers in turn.

use std::cmp;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync;

use snafu::{ResultExt, ensure};

use crate::coordination::fanout;
use crate::coordination::homes;
use crate::coordination::member;
use crate::protocol::peer;
use crate::protocol::rollout;
use crate::state::bundle;
use crate::state::bundle::edits;
use crate::state::clock;
use crate::state::findings;
use crate::state::operator;

/// The number of daemons of each failure domain that poll the rollout row.
const POLLERS_PER_DOMAIN: usize = 3;

/// The interval at which a poller reads the row, and at which a daemon without a bundle polls a peer.
const POLL_INTERVAL: clock::Millis = clock::Millis(1_000);

/// The interval at which any other daemon reads the row.
const IDLE_POLL_INTERVAL: clock::Millis = clock::Millis(60_000);

/// The interval at which a daemon without a bundle reads the row.
const STARTUP_POLL_INTERVAL: clock::Millis = clock::Millis(2_000);

/// The interval at which a daemon polls one of its fan-out peers for a newer bundle.
const PEER_POLL_INTERVAL: clock::Millis = clock::Millis(5_000);

/// The time after which a call without an answer counts as failed.
const CALL_TIMEOUT: clock::Millis = clock::Millis(10_000);

/// The number of recent changes that are retained to answer peers.
const MAX_CHANGES: usize = 16;

/// The most bytes of edits that are pushed without a request; of a longer change only the version is sent.
const MAX_PUSH_BYTES: usize = 64 * 1024;

/// The most bytes of bundle text in one message; peers fetch a longer text from the platform.
const MAX_MESSAGE_BYTES: usize = 15 * 1024 * 1024;

/// Why a bundle was not adopted.
#[derive(Debug, snafu::Snafu)]
pub enum Rejected {
    /// The bundle's version is not above the one in force.
    #[snafu(display("version {version} is not above version {current}, which is in force"))]
    NotNewer {
        /// The version that was offered.
        version: u64,
        /// The version in force.
        current: u64,
    },
    /// The text does not match the digest.
    #[snafu(display("the digest of the text differs from the signed digest"))]
    Digest,
    /// The signature is not valid.
    #[snafu(display("the signature is not valid"))]
    Signature {
        /// The cause.
        source: operator::Error,
    },
    /// The text is not a valid bundle.
    #[snafu(display("the text is not a valid bundle: {source}"))]
    Invalid {
        /// The findings of the validation.
        source: findings::Findings,
    },
    /// The version in the text differs from the signed version.
    #[snafu(display("the text names version {found}, and version {version} was signed"))]
    Version {
        /// The version that was signed.
        version: u64,
        /// The version in the text.
        found: u64,
    },
    /// The change does not apply to the version in force.
    #[snafu(display("the change does not apply to the text in force"))]
    Change {
        /// The cause.
        source: edits::Error,
    },
}

/// An input of the state machine.
#[derive(Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The membership changed.
    Members(sync::Arc<member::View>),
    /// The rollout row was read; absent if the read failed or the row does not exist.
    Row(Option<rollout::Record>),
    /// An object was fetched.
    Object {
        /// The object's digest.
        digest: String,
        /// The object's content; absent if the fetch failed.
        content: Option<Vec<u8>>,
    },
    /// A call to a peer ended.
    Replied {
        /// The peer's name.
        from: String,
        /// The peer's reply; absent if the call failed.
        message: Option<peer::ControlMessage>,
    },
}

/// An output of the state machine, to be carried out by its actor.
#[derive(Debug)]
pub enum Action {
    /// Read the rollout row.
    ReadRow,
    /// Fetch the object with this digest.
    Fetch(String),
    /// Send a message to a peer.
    Send {
        /// The peer's name.
        to: String,
        /// The message.
        message: peer::ControlMessage,
    },
    /// Put the bundle into force.
    Adopt(sync::Arc<bundle::Bundle>),
    /// Record that a bundle was rejected.
    Reject {
        /// The version of the bundle.
        version: u64,
        /// The reason.
        reason: Rejected,
    },
}

/// The identity of a daemon and the operators that it trusts.
#[derive(Clone, Debug)]
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The daemon's failure domain.
    pub domain: String,
    /// The operators whose signatures are accepted.
    pub operators: operator::Operators,
}

/// A fetch in progress of an object that a rollout record names.
#[derive(Debug)]
struct Fetching {
    record: rollout::Record,
    digest: String,
    start: clock::Millis,
}

/// The state machine that decides which bundle is in force.
#[derive(Debug)]
pub struct Adoption {
    options: Options,
    view: sync::Arc<member::View>,
    fanout_peers: Vec<String>,
    is_poller: bool,
    current: peer::SignedBundle,
    recent_changes: VecDeque<peer::BundleChange>,
    next_poll: clock::Millis,
    next_peer_poll: clock::Millis,
    read_start: Option<clock::Millis>,
    fetching: Option<Fetching>,
    /// The number of polls of peers so far, which selects the next peer.
    peer_polls: usize,
    /// The version and digest of the last rejected bundle, which is not fetched again.
    rejected: Option<(u64, String)>,
}

impl Adoption {
    /// Creates a state machine without a bundle at time `now`.
    pub fn new(now: clock::Millis, options: Options) -> Adoption {
        Adoption {
            options,
            view: sync::Arc::default(),
            fanout_peers: Vec::new(),
            is_poller: false,
            current: peer::SignedBundle::default(),
            recent_changes: VecDeque::new(),
            next_poll: now,
            next_peer_poll: now,
            read_start: None,
            fetching: None,
            peer_polls: 0,
            rejected: None,
        }
    }

    /// Returns the version in force, or 0 without a bundle.
    pub fn version(&self) -> u64 {
        self.current.version
    }

    /// Returns whether this daemon is one of its failure domain's pollers.
    pub fn is_poller(&self) -> bool {
        self.is_poller
    }

    /// Returns the peers to which this daemon pushes bundles, and which it polls in turn.
    pub fn fanout_peers(&self) -> &[String] {
        &self.fanout_peers
    }

    /// Handles an event, and returns the actions in order.
    pub fn handle(&mut self, now: clock::Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Members(view) => self.on_members(now, view, &mut actions),
            Event::Row(record) => self.on_row(now, record, &mut actions),
            Event::Object { digest, content } => {
                self.on_object(now, &digest, content, &mut actions);
            }
            Event::Replied { from, message } => self.on_reply(now, &from, message, &mut actions),
        }
        actions
    }

    /// Handles a message from the peer `from`, and returns the reply and the actions.
    pub fn handle_message(
        &mut self,
        from: &str,
        message: peer::ControlMessage,
    ) -> (peer::ControlMessage, Vec<Action>) {
        let mut actions = Vec::new();
        let reply = match message {
            peer::ControlMessage::GetBundle { have } => self.reply_for(have),
            peer::ControlMessage::Bundle(signed) => {
                self.adopt(*signed, None, &mut actions);
                self.version_message()
            }
            peer::ControlMessage::BundleChange(change) if change.version <= self.version() => {
                self.version_message()
            }
            peer::ControlMessage::BundleChange(change) if change.from == self.version() => {
                self.adopt_change(*change, &mut actions);
                self.version_message()
            }
            peer::ControlMessage::BundleChange(_) => self.bundle_request(),
            peer::ControlMessage::InForce { version } => {
                if version > self.version() {
                    actions.push(send(from, self.bundle_request()));
                }
                self.version_message()
            }
            _ => peer::ControlMessage::Ack,
        };
        (reply, actions)
    }

    fn tick(&mut self, now: clock::Millis, actions: &mut Vec<Action>) {
        if now >= self.next_poll {
            self.start_read(now, actions);
        }
        if now >= self.next_peer_poll && !self.fanout_peers.is_empty() {
            let peer = self.fanout_peers[self.peer_polls % self.fanout_peers.len()].clone();
            self.peer_polls += 1;
            self.next_peer_poll = now
                + if self.version() == 0 {
                    POLL_INTERVAL
                } else {
                    PEER_POLL_INTERVAL
                };
            actions.push(send(&peer, self.bundle_request()));
        }
    }

    fn start_read(&mut self, now: clock::Millis, actions: &mut Vec<Action>) {
        self.next_poll = now + self.poll_interval();
        if self
            .read_start
            .is_some_and(|start| now - start < CALL_TIMEOUT)
        {
            return;
        }
        self.read_start = Some(now);
        actions.push(Action::ReadRow);
    }

    fn poll_interval(&self) -> clock::Millis {
        match (self.is_poller, self.version()) {
            (true, _) => POLL_INTERVAL,
            (false, 0) => STARTUP_POLL_INTERVAL,
            (false, _) => IDLE_POLL_INTERVAL,
        }
    }

    /// Updates the poller role and the fan-out peers, exchanges versions with new peers, and requests the newest
    /// version that a member reports.
    fn on_members(
        &mut self,
        now: clock::Millis,
        view: sync::Arc<member::View>,
        actions: &mut Vec<Action>,
    ) {
        self.view = view;
        self.is_poller = self.ranks_as_poller();
        self.next_poll = cmp::min(self.next_poll, now + self.poll_interval());
        let fanout_peers = fanout::peers(&self.options.name, &self.view);
        let previous: BTreeSet<_> = self.fanout_peers.iter().collect();
        let first_message = if self.version() == 0 {
            self.bundle_request()
        } else {
            self.version_message()
        };
        let new = fanout_peers.iter().filter(|p| !previous.contains(p));
        actions.extend(new.map(|p| send(p, first_message.clone())));
        self.fanout_peers = fanout_peers;
        let newest = self.view.members.iter().max_by_key(|(_, m)| m.version);
        if let Some((name, member)) = newest
            && member.version > self.version()
            && *name != self.options.name
        {
            actions.push(send(name, self.bundle_request()));
        }
    }

    fn ranks_as_poller(&self) -> bool {
        let own = hash_poller(&self.options.name);
        let better_ranked = self.view.members.iter().filter(|(name, member)| {
            member.domain == self.options.domain
                && member.liveness == member::Liveness::Alive
                && hash_poller(name) > own
        });
        better_ranked.count() < POLLERS_PER_DOMAIN
    }

    /// Fetches the bundle that the rollout row names if it is new: its change if that applies to the text in force,
    /// else the full text.
    fn on_row(
        &mut self,
        now: clock::Millis,
        record: Option<rollout::Record>,
        actions: &mut Vec<Action>,
    ) {
        self.read_start = None;
        let Some(record) = record else { return };
        let rejected = self.rejected.as_ref();
        if record.version <= self.version()
            || rejected.is_some_and(|r| *r == (record.version, record.digest.clone()))
        {
            return;
        }
        let change = record.change.as_ref();
        let applicable = change.filter(|c| c.from == self.version());
        let digest = applicable.map_or(&record.digest, |c| &c.digest).clone();
        self.start_fetch(now, record, digest, actions);
    }

    fn start_fetch(
        &mut self,
        now: clock::Millis,
        record: rollout::Record,
        digest: String,
        actions: &mut Vec<Action>,
    ) {
        let ongoing = self.fetching.as_ref();
        if ongoing.is_some_and(|f| f.digest == digest && now - f.start < CALL_TIMEOUT) {
            return;
        }
        actions.push(Action::Fetch(digest.clone()));
        self.fetching = Some(Fetching {
            record,
            digest,
            start: now,
        });
    }

    /// Adopts the text that a fetched object yields. Falls back from a change to the full text, and from the full text
    /// to the fan-out peers.
    fn on_object(
        &mut self,
        now: clock::Millis,
        digest: &str,
        content: Option<Vec<u8>>,
        actions: &mut Vec<Action>,
    ) {
        let Some(fetching) = self.fetching.take_if(|f| f.digest == digest) else {
            return;
        };
        let record = fetching.record;
        if record.version <= self.version() {
            // A peer's push was faster than the fetch.
            return;
        }
        let is_full_text = digest == record.digest;
        let text = match content {
            Some(content) if is_full_text => String::from_utf8(content).ok(),
            Some(content) => rollout::decode(&content)
                .ok()
                .and_then(|edits| edits::apply(&self.current.text, &edits).ok()),
            None => None,
        };
        let text = text.filter(|t| operator::digest(t) == record.digest);
        if let Some(text) = text {
            self.adopt(signed_bundle(record, text), None, actions);
        } else if is_full_text {
            self.request_from_all(actions);
        } else {
            let digest = record.digest.clone();
            self.start_fetch(now, record, digest, actions);
        }
    }

    fn on_reply(
        &mut self,
        now: clock::Millis,
        from: &str,
        message: Option<peer::ControlMessage>,
        actions: &mut Vec<Action>,
    ) {
        let before = self.version();
        match message {
            Some(peer::ControlMessage::GetBundle { have }) if have < self.version() => {
                actions.push(send(from, self.reply_for(have)));
            }
            Some(peer::ControlMessage::Bundle(signed)) => {
                self.adopt(*signed, None, actions);
            }
            Some(peer::ControlMessage::BundleChange(change)) => self.adopt_change(*change, actions),
            Some(peer::ControlMessage::InForce { version }) if version > self.version() => {
                self.start_read(now, actions);
            }
            _ => {}
        }
        if self.version() > before {
            // The peer may have an even later version.
            actions.push(send(from, self.bundle_request()));
        }
    }

    /// Applies a change to the text in force and adopts the result, if the change starts from the version in force.
    fn adopt_change(&mut self, change: peer::BundleChange, actions: &mut Vec<Action>) {
        if change.from != self.version() || change.version <= self.version() {
            return;
        }
        match edits::apply(&self.current.text, &change.edits).context(ChangeSnafu) {
            Ok(text) => {
                let signed = peer::SignedBundle {
                    version: change.version,
                    digest: change.digest.clone(),
                    signer: change.signer.clone(),
                    signature: change.signature.clone(),
                    text,
                };
                self.adopt(signed, Some(change), actions);
            }
            Err(reason) => actions.push(Action::Reject {
                version: change.version,
                reason,
            }),
        }
    }

    /// Adopts a bundle if it is newer, signed and valid, and pushes it to the fan-out peers.
    fn adopt(
        &mut self,
        signed: peer::SignedBundle,
        change: Option<peer::BundleChange>,
        actions: &mut Vec<Action>,
    ) {
        let version = signed.version;
        match self.verify(&signed) {
            Ok(bundle) => {
                let change = change.unwrap_or_else(|| self.change_to(&signed));
                self.current = signed;
                self.recent_changes.push_back(change);
                if self.recent_changes.len() > MAX_CHANGES {
                    self.recent_changes.pop_front();
                }
                actions.push(Action::Adopt(sync::Arc::new(bundle)));
                self.push_to_peers(actions);
            }
            Err(Rejected::NotNewer { .. }) => {}
            Err(reason) => {
                self.rejected = Some((version, signed.digest));
                actions.push(Action::Reject { version, reason });
            }
        }
    }

    fn verify(&self, signed: &peer::SignedBundle) -> Result<bundle::Bundle, Rejected> {
        let version = signed.version;
        let current = self.version();
        ensure!(version > current, NotNewerSnafu { version, current });
        ensure!(operator::digest(&signed.text) == signed.digest, DigestSnafu);
        self.options
            .operators
            .verify(&signed.signer, version, &signed.digest, &signed.signature)
            .context(SignatureSnafu)?;
        let bundle = bundle::parse("bundle", &signed.text).context(InvalidSnafu)?;
        let found = bundle.version;
        ensure!(found == version, VersionSnafu { version, found });
        Ok(bundle)
    }

    /// Returns the change from the text in force to a new text.
    fn change_to(&self, signed: &peer::SignedBundle) -> peer::BundleChange {
        peer::BundleChange {
            from: self.version(),
            version: signed.version,
            digest: signed.digest.clone(),
            signer: signed.signer.clone(),
            signature: signed.signature.clone(),
            edits: edits::between(&self.current.text, &signed.text),
        }
    }

    /// Pushes the bundle in force to all fan-out peers: its change if that is short, else only its version.
    fn push_to_peers(&self, actions: &mut Vec<Action>) {
        let latest = self.recent_changes.back();
        let short = latest.filter(|c| edits::size(&c.edits) <= MAX_PUSH_BYTES && c.from > 0);
        let message = short.map_or_else(
            || self.version_message(),
            |change| peer::ControlMessage::BundleChange(Box::new(change.clone())),
        );
        actions.extend(self.fanout_peers.iter().map(|p| send(p, message.clone())));
    }

    /// Requests a newer bundle from all fan-out peers.
    fn request_from_all(&self, actions: &mut Vec<Action>) {
        actions.extend(
            self.fanout_peers
                .iter()
                .map(|p| send(p, self.bundle_request())),
        );
    }

    /// Returns the message that brings a daemon at version `have` closest to the version in force.
    fn reply_for(&self, have: u64) -> peer::ControlMessage {
        if have >= self.version() {
            return self.version_message();
        }
        let change = self
            .recent_changes
            .iter()
            .find(|c| c.from == have && have > 0);
        if let Some(change) = change.filter(|c| edits::size(&c.edits) < self.current.text.len()) {
            return peer::ControlMessage::BundleChange(Box::new(change.clone()));
        }
        if self.current.text.len() > MAX_MESSAGE_BYTES {
            return self.version_message();
        }
        peer::ControlMessage::Bundle(Box::new(self.current.clone()))
    }

    fn bundle_request(&self) -> peer::ControlMessage {
        peer::ControlMessage::GetBundle {
            have: self.version(),
        }
    }

    fn version_message(&self) -> peer::ControlMessage {
        peer::ControlMessage::InForce {
            version: self.version(),
        }
    }
}

fn send(to: &str, message: peer::ControlMessage) -> Action {
    Action::Send {
        to: to.to_owned(),
        message,
    }
}

fn signed_bundle(record: rollout::Record, text: String) -> peer::SignedBundle {
    peer::SignedBundle {
        version: record.version,
        digest: record.digest,
        signer: record.signer,
        signature: record.signature,
        text,
    }
}

fn hash_poller(name: &str) -> u64 {
    homes::hash(&["bundle-poller", name])
}
