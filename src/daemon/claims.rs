//! Claims of the idempotency keys of requests that must not run twice: the interface that the entry uses, and the actor
//! that records claims.
//!
//! The actor runs [`coordination::claims::Claims`](claims::Claims) over the platform. A claim whose entry no longer
//! waits for it is withdrawn, since the request certainly does not run.

use std::collections::BTreeMap;
use std::sync;

use futures_util::future;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use sha2::Digest;
use tokio::sync as tokio_sync;

use crate::coordination::claims;
use crate::coordination::homes;
use crate::coordination::member;
use crate::daemon::stop;
use crate::protocol::platform;
use crate::protocol::problem;
use crate::state::clock;
use crate::state::ids;
use crate::state::timeline;

/// The time between two ticks of the state machine.
const TICK_INTERVAL: clock::Millis = clock::Millis(500);

/// The time between two sweeps of expired claims.
const SWEEP_INTERVAL: clock::Millis = clock::Millis(5_000);

/// The most rows that one sweep reads.
const SWEEP_ROWS: usize = 500;

/// How long a claim is kept: 24 hours.
const RETENTION_SPAN: clock::Millis = clock::Millis(24 * 60 * 60 * 1_000);

/// How long this daemon remembers a claim whose outcome is not known yet: one hour.
const OPEN_SPAN: clock::Millis = clock::Millis(60 * 60 * 1_000);

/// The most writes per second that the claims of the whole fleet may cause.
const FLEET_WRITES_PER_S: u64 = 300;

/// The longest time between two writes of one daemon.
const MAX_WRITE_INTERVAL: clock::Millis = clock::Millis(1_000);

/// Identifies one claim of this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token(pub String);

/// The result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The key was free and is claimed now.
    Fresh(Token),
    /// The key was claimed before, and its request ran with this outcome.
    Ran(problem::RecordedOutcome),
    /// The key was claimed before; whether its request ran is not known.
    Unknown,
    /// The key was claimed before for a request with another fingerprint.
    KeyReused,
    /// The claim cannot be recorded, since the platform is unavailable.
    Unavailable,
}

/// The outcome of a request whose key was claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request ran, with this outcome.
    Ran(problem::RecordedOutcome),
    /// The request certainly did not run.
    NotRun,
}

/// Records claims of idempotency keys, so that at most one request with a key runs.
pub trait Claims: Send + Sync {
    /// Claims `key` within `scope` (organisation and service) for the request with `fingerprint`.
    fn claim<'a>(
        &'a self,
        scope: &'a [&'a str; 2],
        key: &'a str,
        fingerprint: ids::Fingerprint,
    ) -> future::BoxFuture<'a, ClaimResult>;

    /// Records the outcome of a claimed request; does not wait for the platform.
    fn record_outcome(&self, token: Token, outcome: RequestOutcome);
}

/// Claims of a fleet whose callers use no idempotency keys: each claim is fresh.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoClaims;

impl Claims for NoClaims {
    fn claim<'a>(
        &'a self,
        _scope: &'a [&'a str; 2],
        key: &'a str,
        _fingerprint: ids::Fingerprint,
    ) -> future::BoxFuture<'a, ClaimResult> {
        Box::pin(async move { ClaimResult::Fresh(Token(key.to_owned())) })
    }

    fn record_outcome(&self, _token: Token, _outcome: RequestOutcome) {}
}

/// Options of the actor.
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// Stores one row for each claimed key.
    pub platform: sync::Arc<dyn platform::Platform>,
    /// The live daemons.
    pub members: tokio_sync::watch::Receiver<sync::Arc<member::View>>,
    /// Records events in the daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
}

/// A handle of the actor, which stops when the last handle is dropped.
#[derive(Clone)]
pub struct Handle {
    actor: sync::Arc<stop::StopOnDrop<Message>>,
}

/// A message to the actor.
enum Message {
    Claim {
        claim: claims::Claim,
        reply: tokio_sync::oneshot::Sender<ClaimResult>,
    },
    /// The entry no longer waits for the result of the claim with this token.
    Abandon(String),
    RecordOutcome(String, RequestOutcome),
    Event(claims::Event),
}

/// Starts the actor and the sweep of expired claims.
///
/// # Errors
///
/// Returns an error if the actor cannot be started.
pub async fn spawn(options: Options) -> Result<Handle, ractor::SpawnErr> {
    let sweep = Sweep {
        name: options.name.clone(),
        platform: sync::Arc::clone(&options.platform),
        members: options.members.clone(),
    };
    let (actor, _) = Actor::spawn(None, ClaimsActor, options).await?;
    let stop = sync::Arc::new(stop::StopOnDrop(actor.clone()));
    tokio::spawn(sweep.run(sync::Arc::downgrade(&stop)));
    tokio::spawn(send_ticks(actor));
    Ok(Handle { actor: stop })
}

impl Claims for Handle {
    fn claim<'a>(
        &'a self,
        scope: &'a [&'a str; 2],
        key: &'a str,
        fingerprint: ids::Fingerprint,
    ) -> future::BoxFuture<'a, ClaimResult> {
        Box::pin(async move {
            let claim = claims::Claim {
                key: row_key(scope, key),
                row: claims::Row {
                    token: ids::RequestId::random().to_string(),
                    fingerprint,
                    time: clock::wall(),
                    record: None,
                },
            };
            let mut guard = Guard {
                actor: &self.actor.0,
                token: Some(claim.row.token.clone()),
            };
            let (reply, replied) = tokio_sync::oneshot::channel();
            if self
                .actor
                .0
                .send_message(Message::Claim { claim, reply })
                .is_err()
            {
                return ClaimResult::Unavailable;
            }
            let result = replied.await.unwrap_or(ClaimResult::Unavailable);
            guard.token = None;
            result
        })
    }

    fn record_outcome(&self, token: Token, outcome: RequestOutcome) {
        // If the actor has stopped, the claim stays without an outcome, and later claims of the key get `Unknown`.
        let _ = self
            .actor
            .0
            .send_message(Message::RecordOutcome(token.0, outcome));
    }
}

/// Withdraws a claim when dropped, unless its result was received.
struct Guard<'a> {
    actor: &'a ActorRef<Message>,
    token: Option<String>,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if let Some(token) = self.token.take() {
            let _ = self.actor.send_message(Message::Abandon(token));
        }
    }
}

/// Returns the key of the table row for the idempotency key `key` within `scope`.
fn row_key(scope: &[&str; 2], key: &str) -> String {
    let mut digest = sha2::Sha256::new();
    for part in [scope[0], scope[1], key] {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    format!("{}{}", claims::PREFIX, hex::encode(digest.finalize()))
}

async fn send_ticks(actor: ActorRef<Message>) {
    let tick = || Message::Event(claims::Event::Tick);
    while actor.send_message(tick()).is_ok() {
        tokio::time::sleep(TICK_INTERVAL.span()).await;
    }
}

struct ClaimsActor;

/// A claim whose result is awaited.
struct Pending {
    claim: claims::Claim,
    reply: tokio_sync::oneshot::Sender<ClaimResult>,
}

/// A fresh claim of this daemon whose request has not ended.
struct Open {
    claim: claims::Claim,
    version: u64,
    since: clock::Millis,
}

struct State {
    claims: claims::Claims,
    options: Options,
    pending: BTreeMap<String, Pending>,
    /// The claims whose entry stopped waiting before the result came.
    abandoned: BTreeMap<String, claims::Claim>,
    open: BTreeMap<String, Open>,
    /// When the timer for the next write fires.
    timer: Option<clock::Millis>,
}

impl Actor for ClaimsActor {
    type Msg = Message;
    type State = State;
    type Arguments = Options;

    async fn pre_start(
        &self,
        _myself: ActorRef<Message>,
        options: Options,
    ) -> Result<State, ActorProcessingErr> {
        Ok(State {
            claims: claims::Claims::default(),
            options,
            pending: BTreeMap::new(),
            abandoned: BTreeMap::new(),
            open: BTreeMap::new(),
            timer: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.options.clock.now();
        if let Some(event) = state.next_event(now, message) {
            let actions = state.claims.handle(now, event);
            for action in actions {
                state.execute(&myself, now, action);
            }
        }
        state.schedule_write(&myself, now);
        Ok(())
    }
}

impl State {
    /// Updates the claims that are pending or open, and returns the event for the state machine, if there is one.
    fn next_event(&mut self, now: clock::Millis, message: Message) -> Option<claims::Event> {
        match message {
            Message::Claim { claim, reply } => {
                let token = claim.row.token.clone();
                let pending = Pending {
                    claim: claim.clone(),
                    reply,
                };
                self.pending.insert(token, pending);
                Some(claims::Event::Claim(claim))
            }
            Message::Abandon(token) => {
                if let Some(open) = self.open.remove(&token) {
                    return Some(complete(open, None));
                }
                let pending = self.pending.remove(&token)?;
                self.abandoned.insert(token, pending.claim);
                None
            }
            Message::RecordOutcome(token, outcome) => {
                let open = self.open.remove(&token)?;
                let record = match outcome {
                    RequestOutcome::Ran(record) => Some(record),
                    RequestOutcome::NotRun => None,
                };
                Some(complete(open, record))
            }
            Message::Event(event) => {
                if matches!(event, claims::Event::Tick) {
                    self.open.retain(|_, open| now - open.since < OPEN_SPAN);
                    self.claims
                        .set_write_interval(write_interval(&self.options.members.borrow()));
                    self.timer = self.timer.filter(|at| *at > now);
                }
                Some(event)
            }
        }
    }

    fn execute(&mut self, myself: &ActorRef<Message>, now: clock::Millis, action: claims::Action) {
        match action {
            claims::Action::Write(writes) => self.write_rows(myself, writes),
            claims::Action::Read(key) => self.read_row(myself, key),
            claims::Action::Answer { token, answer } => self.respond(myself, now, token, answer),
            claims::Action::Reachable(reachable) => {
                let detail = if reachable {
                    "claims are recorded again"
                } else {
                    "claims are not recorded"
                };
                let subject = timeline::Subject::default();
                let recorder = &self.options.recorder;
                recorder.record(timeline::Kind::Platform, subject, detail);
            }
        }
    }

    fn write_rows(&self, myself: &ActorRef<Message>, writes: Vec<platform::Write>) {
        let platform = sync::Arc::clone(&self.options.platform);
        let myself = myself.clone();
        tokio::spawn(async move {
            let written = platform.commit(&writes).await;
            let _ = myself.send_message(Message::Event(claims::Event::Written(written)));
        });
    }

    fn read_row(&self, myself: &ActorRef<Message>, key: String) {
        let platform = sync::Arc::clone(&self.options.platform);
        let myself = myself.clone();
        tokio::spawn(async move {
            let read = platform.read(&key).await;
            let _ = myself.send_message(Message::Event(claims::Event::Read(read)));
        });
    }

    /// Sends the result of a claim to its entry; withdraws the claim if the entry no longer waits.
    fn respond(
        &mut self,
        myself: &ActorRef<Message>,
        now: clock::Millis,
        token: String,
        answer: claims::Answer,
    ) {
        let pending = self.pending.remove(&token);
        let abandoned = self.abandoned.remove(&token);
        if let claims::Answer::Fresh { version } = answer
            && let Some(claim) = pending.as_ref().map(|p| p.claim.clone()).or(abandoned)
        {
            let open = Open {
                claim,
                version,
                since: now,
            };
            self.open.insert(token.clone(), open);
        }
        let Some(pending) = pending else {
            let _ = myself.send_message(Message::Abandon(token));
            return;
        };
        let result = claim_result(&pending.claim, answer);
        // An entry that stopped waiting in the meantime has already sent `Message::Abandon`.
        let _ = pending.reply.send(result);
    }

    /// Starts a timer for the next delayed write.
    fn schedule_write(&mut self, myself: &ActorRef<Message>, now: clock::Millis) {
        let Some(due) = self.claims.next_write() else {
            return;
        };
        if self.timer.is_some_and(|at| at <= due && at > now) {
            return;
        }
        self.timer = Some(due);
        let myself = myself.clone();
        tokio::spawn(async move {
            tokio::time::sleep((due - now).span()).await;
            let _ = myself.send_message(Message::Event(claims::Event::Tick));
        });
    }
}

/// Returns the event that completes a claim with the outcome of its request, or withdraws it where there is none.
fn complete(open: Open, record: Option<problem::RecordedOutcome>) -> claims::Event {
    claims::Event::Complete {
        claim: open.claim,
        version: Some(open.version),
        record,
    }
}

fn claim_result(claim: &claims::Claim, answer: claims::Answer) -> ClaimResult {
    match answer {
        claims::Answer::Fresh { .. } => ClaimResult::Fresh(Token(claim.row.token.clone())),
        claims::Answer::Unavailable => ClaimResult::Unavailable,
        claims::Answer::Taken(row) if row.fingerprint != claim.row.fingerprint => {
            ClaimResult::KeyReused
        }
        claims::Answer::Taken(row) => row.record.map_or(ClaimResult::Unknown, ClaimResult::Ran),
    }
}

/// Returns the shortest time between two writes of one daemon with which the whole fleet makes at most
/// [`FLEET_WRITES_PER_S`] writes per second, but no more than [`MAX_WRITE_INTERVAL`].
fn write_interval(view: &member::View) -> clock::Millis {
    let daemons = view.members.len() as u64;
    clock::Millis(daemons * 1_000 / FLEET_WRITES_PER_S).min(MAX_WRITE_INTERVAL)
}

/// Removes expired claims, in the one daemon of the fleet that ranks first for this task.
struct Sweep {
    name: String,
    platform: sync::Arc<dyn platform::Platform>,
    members: tokio_sync::watch::Receiver<sync::Arc<member::View>>,
}

impl Sweep {
    async fn run(self, running: sync::Weak<stop::StopOnDrop<Message>>) {
        let mut after = String::new();
        while running.strong_count() > 0 {
            tokio::time::sleep(SWEEP_INTERVAL.span()).await;
            if self.ranks_first() {
                after = self.sweep(&after).await;
            }
        }
    }

    fn ranks_first(&self) -> bool {
        let view = self.members.borrow();
        let alive = view.members.iter();
        let alive = alive.filter(|(_, m)| m.liveness == member::Liveness::Alive);
        let first = alive.max_by_key(|(name, _)| homes::hash(&["claims-sweep", name]));
        first.is_none_or(|(name, _)| *name == self.name)
    }

    /// Removes expired claims from the rows after the key `after`; returns where the next sweep continues.
    async fn sweep(&self, after: &str) -> String {
        let scan = self.platform.scan(claims::PREFIX, after, SWEEP_ROWS);
        let Ok(rows) = scan.await else {
            return after.to_owned();
        };
        let removals = claims::expiry_writes(&rows, clock::wall(), RETENTION_SPAN);
        if !removals.is_empty()
            && let Err(e) = self.platform.commit(&removals).await
        {
            log::debug!("failed to remove expired claims: {e}");
        }
        match rows.last() {
            Some(last) if rows.len() == SWEEP_ROWS => last.key.clone(),
            _ => String::new(),
        }
    }
}
