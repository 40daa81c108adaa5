//! Decides which bundle is in force in this daemon, and whom it asks and tells about bundles.
//!
//! Versions only rise, whatever their source, and nothing is adopted without an operator's signature and a clean check.
//! A few daemons of each failure domain read the table's row each second. An adopted bundle is pushed to a few partners,
//! each of whom pushes on: the next daemons in a ring over all names, which reaches everyone, and some others, which
//! make it fast. A push may miss a daemon whose partners are all dead; it is told by its new partners when the membership
//! changes, or asks one of its own in turn.

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

/// The daemons of each failure domain that poll the row.
const POLLERS: usize = 3;

/// How often a poller reads the row.
const POLL_SPAN: clock::Millis = clock::Millis(1_000);

/// How often any other daemon reads the row.
const REST_SPAN: clock::Millis = clock::Millis(60_000);

/// How often a daemon without a bundle reads the row.
const START_SPAN: clock::Millis = clock::Millis(2_000);

/// How often a daemon asks one of its partners.
const ASK_SPAN: clock::Millis = clock::Millis(5_000);

/// How long a call may stay without an answer before it counts as failed.
const PATIENCE: clock::Millis = clock::Millis(10_000);

/// The latest changes that are kept for peers.
const KEPT_CHANGES: usize = 16;

/// The most bytes of edits that are pushed unasked; a longer change is announced.
const PUSH_BYTES: usize = 64 * 1024;

/// The most bytes of text in one message; peers fetch a longer text from the platform.
const NOTE_BYTES: usize = 15 * 1024 * 1024;

/// Why a bundle was not adopted.
#[derive(Debug, snafu::Snafu)]
pub enum Rejected {
    /// Its version is not above the one in force.
    #[snafu(display("version {version} is not above version {held}, which is in force"))]
    NotNewer {
        /// The version that was offered.
        version: u64,
        /// The version in force.
        held: u64,
    },
    /// The text has another digest.
    #[snafu(display("the text does not have the digest that was signed"))]
    Digest,
    /// The signature does not count.
    #[snafu(display("the signature does not count"))]
    Signature {
        /// Why.
        source: operator::Error,
    },
    /// The text is no valid bundle.
    #[snafu(display("the text is no valid bundle: {source}"))]
    Invalid {
        /// The findings.
        source: findings::Findings,
    },
    /// The text names another version than the one that was signed.
    #[snafu(display("the text names version {found}, and version {version} was signed"))]
    Version {
        /// The version that was signed.
        version: u64,
        /// The version in the text.
        found: u64,
    },
    /// The change applies to another version.
    #[snafu(display("the change does not apply to the text in force"))]
    Change {
        /// Why.
        source: edits::Error,
    },
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The membership changed.
    Members(sync::Arc<member::View>),
    /// The table's row was read; absent where that failed or there is none.
    Row(Option<rollout::Record>),
    /// An object was fetched; absent where that failed.
    Object {
        /// The object's digest.
        digest: String,
        /// Its content.
        content: Option<Vec<u8>>,
    },
    /// A peer replied to a message; absent where it did not.
    Replied {
        /// The peer.
        from: String,
        /// Its reply.
        message: Option<peer::ControlMessage>,
    },
}

/// What is to be done.
#[derive(Debug)]
pub enum Action {
    /// Read the table's row.
    ReadRow,
    /// Fetch an object.
    Fetch(String),
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: String,
        /// The message.
        message: peer::ControlMessage,
    },
    /// Put a bundle into force.
    Adopt(sync::Arc<bundle::Bundle>),
    /// Record that a bundle was not adopted.
    Reject {
        /// Its version.
        version: u64,
        /// Why.
        reason: Rejected,
    },
}

/// What the follower of one daemon knows of itself.
#[derive(Clone, Debug)]
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The daemon's failure domain.
    pub domain: String,
    /// Who may sign bundles.
    pub operators: operator::Operators,
}

/// An object that is being fetched for a record.
#[derive(Debug)]
struct Fetching {
    record: rollout::Record,
    digest: String,
    since: clock::Millis,
}

/// The state machine.
#[derive(Debug)]
pub struct Adoption {
    options: Options,
    view: sync::Arc<member::View>,
    partners: Vec<String>,
    poller: bool,
    held: peer::SignedBundle,
    changes: VecDeque<peer::BundleChange>,
    poll_due: clock::Millis,
    ask_due: clock::Millis,
    reading: Option<clock::Millis>,
    fetching: Option<Fetching>,
    asked: usize,
    refused: Option<(u64, String)>,
}

impl Adoption {
    /// Starts without a bundle, at time `now`.
    pub fn new(now: clock::Millis, options: Options) -> Adoption {
        Adoption {
            options,
            view: sync::Arc::default(),
            partners: Vec::new(),
            poller: false,
            held: peer::SignedBundle::default(),
            changes: VecDeque::new(),
            poll_due: now,
            ask_due: now,
            reading: None,
            fetching: None,
            asked: 0,
            refused: None,
        }
    }

    /// Returns the version in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.held.version
    }

    /// Returns whether this daemon is one of those that poll the row.
    pub fn is_poller(&self) -> bool {
        self.poller
    }

    /// Returns the peers that this daemon pushes to and asks.
    pub fn fanout_peers(&self) -> &[String] {
        &self.partners
    }

    /// Takes in an event, and returns what is to be done.
    pub fn handle(&mut self, now: clock::Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Members(view) => self.meet(now, view, &mut actions),
            Event::Row(record) => self.consider(now, record, &mut actions),
            Event::Object { digest, content } => {
                self.receive(now, &digest, content, &mut actions);
            }
            Event::Replied { from, message } => self.replied(now, &from, message, &mut actions),
        }
        actions
    }

    /// Takes in a message that arrived, and returns the reply and what is to be done.
    pub fn handle_message(
        &mut self,
        from: &str,
        message: peer::ControlMessage,
    ) -> (peer::ControlMessage, Vec<Action>) {
        let mut actions = Vec::new();
        let reply = match message {
            peer::ControlMessage::GetBundle { have } => self.best_for(have),
            peer::ControlMessage::Bundle(signed) => {
                self.offer(*signed, None, &mut actions);
                self.in_force()
            }
            peer::ControlMessage::BundleChange(change) if change.version <= self.version() => {
                self.in_force()
            }
            peer::ControlMessage::BundleChange(change) if change.from == self.version() => {
                self.offer_change(*change, &mut actions);
                self.in_force()
            }
            peer::ControlMessage::BundleChange(_) => self.ask(),
            peer::ControlMessage::InForce { version } => {
                if version > self.version() {
                    actions.push(send(from, self.ask()));
                }
                self.in_force()
            }
            _ => peer::ControlMessage::Ack,
        };
        (reply, actions)
    }

    fn tick(&mut self, now: clock::Millis, actions: &mut Vec<Action>) {
        if now >= self.poll_due {
            self.read(now, actions);
        }
        if now >= self.ask_due && !self.partners.is_empty() {
            let partner = self.partners[self.asked % self.partners.len()].clone();
            self.asked += 1;
            self.ask_due = now
                + if self.version() == 0 {
                    POLL_SPAN
                } else {
                    ASK_SPAN
                };
            actions.push(send(&partner, self.ask()));
        }
    }

    fn read(&mut self, now: clock::Millis, actions: &mut Vec<Action>) {
        self.poll_due = now + self.poll_span();
        if self.reading.is_some_and(|since| now - since < PATIENCE) {
            return;
        }
        self.reading = Some(now);
        actions.push(Action::ReadRow);
    }

    fn poll_span(&self) -> clock::Millis {
        match (self.poller, self.version()) {
            (true, _) => POLL_SPAN,
            (false, 0) => START_SPAN,
            (false, _) => REST_SPAN,
        }
    }

    fn meet(
        &mut self,
        now: clock::Millis,
        view: sync::Arc<member::View>,
        actions: &mut Vec<Action>,
    ) {
        self.view = view;
        self.poller = self.ranks_as_poller();
        self.poll_due = cmp::min(self.poll_due, now + self.poll_span());
        let partners = fanout::peers(&self.options.name, &self.view);
        let known: BTreeSet<_> = self.partners.iter().collect();
        let greeting = if self.version() == 0 {
            self.ask()
        } else {
            self.in_force()
        };
        let new = partners.iter().filter(|p| !known.contains(p));
        actions.extend(new.map(|p| send(p, greeting.clone())));
        self.partners = partners;
        let ahead = self.view.members.iter().max_by_key(|(_, m)| m.version);
        if let Some((name, member)) = ahead
            && member.version > self.version()
            && *name != self.options.name
        {
            actions.push(send(name, self.ask()));
        }
    }

    fn ranks_as_poller(&self) -> bool {
        let own = hash_poller(&self.options.name);
        let rivals = self.view.members.iter().filter(|(name, member)| {
            member.domain == self.options.domain
                && member.liveness == member::Liveness::Alive
                && hash_poller(name) > own
        });
        rivals.count() < POLLERS
    }

    fn consider(
        &mut self,
        now: clock::Millis,
        record: Option<rollout::Record>,
        actions: &mut Vec<Action>,
    ) {
        self.reading = None;
        let Some(record) = record else { return };
        let refused = self.refused.as_ref();
        if record.version <= self.version()
            || refused.is_some_and(|r| *r == (record.version, record.digest.clone()))
        {
            return;
        }
        let change = record.change.as_ref();
        let fitting = change.filter(|c| c.from == self.version());
        let digest = fitting.map_or(&record.digest, |c| &c.digest).clone();
        self.fetch(now, record, digest, actions);
    }

    fn fetch(
        &mut self,
        now: clock::Millis,
        record: rollout::Record,
        digest: String,
        actions: &mut Vec<Action>,
    ) {
        let busy = self.fetching.as_ref();
        if busy.is_some_and(|f| f.digest == digest && now - f.since < PATIENCE) {
            return;
        }
        actions.push(Action::Fetch(digest.clone()));
        self.fetching = Some(Fetching {
            record,
            digest,
            since: now,
        });
    }

    fn receive(
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
        let whole = digest == record.digest;
        let text = match content {
            Some(content) if whole => String::from_utf8(content).ok(),
            Some(content) => rollout::decode(&content)
                .ok()
                .and_then(|edits| edits::apply(&self.held.text, &edits).ok()),
            None => None,
        };
        let text = text.filter(|t| operator::digest(t) == record.digest);
        if let Some(text) = text {
            self.offer(signed(record, text), None, actions);
        } else if whole {
            self.ask_all(actions);
        } else {
            let digest = record.digest.clone();
            self.fetch(now, record, digest, actions);
        }
    }

    fn replied(
        &mut self,
        now: clock::Millis,
        from: &str,
        message: Option<peer::ControlMessage>,
        actions: &mut Vec<Action>,
    ) {
        let before = self.version();
        match message {
            Some(peer::ControlMessage::GetBundle { have }) if have < self.version() => {
                actions.push(send(from, self.best_for(have)));
            }
            Some(peer::ControlMessage::Bundle(signed)) => {
                self.offer(*signed, None, actions);
            }
            Some(peer::ControlMessage::BundleChange(change)) => self.offer_change(*change, actions),
            Some(peer::ControlMessage::InForce { version }) if version > self.version() => {
                self.read(now, actions);
            }
            _ => {}
        }
        if self.version() > before {
            // The peer may have a later version still.
            actions.push(send(from, self.ask()));
        }
    }

    /// Adopts what a change makes of the text in force, if it belongs to it.
    fn offer_change(&mut self, change: peer::BundleChange, actions: &mut Vec<Action>) {
        if change.from != self.version() || change.version <= self.version() {
            return;
        }
        match edits::apply(&self.held.text, &change.edits).context(ChangeSnafu) {
            Ok(text) => {
                let signed = peer::SignedBundle {
                    version: change.version,
                    digest: change.digest.clone(),
                    signer: change.signer.clone(),
                    signature: change.signature.clone(),
                    text,
                };
                self.offer(signed, Some(change), actions);
            }
            Err(reason) => actions.push(Action::Reject {
                version: change.version,
                reason,
            }),
        }
    }

    /// Adopts a bundle if it is newer, signed and valid, and pushes it on.
    fn offer(
        &mut self,
        signed: peer::SignedBundle,
        change: Option<peer::BundleChange>,
        actions: &mut Vec<Action>,
    ) {
        let version = signed.version;
        match self.verify(&signed) {
            Ok(bundle) => {
                let change = change.unwrap_or_else(|| self.change_to(&signed));
                self.held = signed;
                self.changes.push_back(change);
                if self.changes.len() > KEPT_CHANGES {
                    self.changes.pop_front();
                }
                actions.push(Action::Adopt(sync::Arc::new(bundle)));
                self.push(actions);
            }
            Err(Rejected::NotNewer { .. }) => {}
            Err(reason) => {
                self.refused = Some((version, signed.digest));
                actions.push(Action::Reject { version, reason });
            }
        }
    }

    fn verify(&self, signed: &peer::SignedBundle) -> Result<bundle::Bundle, Rejected> {
        let version = signed.version;
        let held = self.version();
        ensure!(version > held, NotNewerSnafu { version, held });
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

    /// Returns the change from the text in force to a new one.
    fn change_to(&self, signed: &peer::SignedBundle) -> peer::BundleChange {
        peer::BundleChange {
            from: self.version(),
            version: signed.version,
            digest: signed.digest.clone(),
            signer: signed.signer.clone(),
            signature: signed.signature.clone(),
            edits: edits::between(&self.held.text, &signed.text),
        }
    }

    /// Tells all partners of the bundle in force: its change where that is short, else only its version.
    fn push(&self, actions: &mut Vec<Action>) {
        let latest = self.changes.back();
        let short = latest.filter(|c| edits::size(&c.edits) <= PUSH_BYTES && c.from > 0);
        let message = short.map_or_else(
            || self.in_force(),
            |change| peer::ControlMessage::BundleChange(Box::new(change.clone())),
        );
        actions.extend(self.partners.iter().map(|p| send(p, message.clone())));
    }

    fn ask_all(&self, actions: &mut Vec<Action>) {
        actions.extend(self.partners.iter().map(|p| send(p, self.ask())));
    }

    /// Returns what brings a daemon at version `have` nearest to the one in force.
    fn best_for(&self, have: u64) -> peer::ControlMessage {
        if have >= self.version() {
            return self.in_force();
        }
        let change = self.changes.iter().find(|c| c.from == have && have > 0);
        if let Some(change) = change.filter(|c| edits::size(&c.edits) < self.held.text.len()) {
            return peer::ControlMessage::BundleChange(Box::new(change.clone()));
        }
        if self.held.text.len() > NOTE_BYTES {
            return self.in_force();
        }
        peer::ControlMessage::Bundle(Box::new(self.held.clone()))
    }

    fn ask(&self) -> peer::ControlMessage {
        peer::ControlMessage::GetBundle {
            have: self.version(),
        }
    }

    fn in_force(&self) -> peer::ControlMessage {
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

fn signed(record: rollout::Record, text: String) -> peer::SignedBundle {
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
