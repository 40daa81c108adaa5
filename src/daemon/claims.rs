//! Claims of keyed non-idempotent work, as the entry asks for them, and the actor that records them.
//!
//! The actor carries [`coordination::claims::Claims`](claims::Claims) over the platform. A claim whose entry no longer
//! waits for it is taken back, since its work is certain not to run.

use std::collections::BTreeMap;
use std::sync;

use futures_util::future;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use sha2::Digest;
use tokio::sync as tasks;

use crate::coordination::claims;
use crate::coordination::homes;
use crate::coordination::member;
use crate::daemon::stop;
use crate::protocol::platform;
use crate::protocol::problem;
use crate::state::clock;
use crate::state::ids;
use crate::state::timeline;

/// The time between two ticks.
const TICK_SPAN: clock::Millis = clock::Millis(500);

/// The time between two sweeps of old claims.
const SWEEP_SPAN: clock::Millis = clock::Millis(5_000);

/// The rows that one sweep reads.
const SWEEP_ROWS: usize = 500;

/// How long a claim is kept: 24 hours.
const KEPT_SPAN: clock::Millis = clock::Millis(24 * 60 * 60 * 1_000);

/// How long a claim of this daemon waits for its outcome.
const OPEN_SPAN: clock::Millis = clock::Millis(60 * 60 * 1_000);

/// The writes a second that the claims of the whole fleet may take.
const FLEET_WRITES_S: u64 = 300;

/// The longest time between two writes of one daemon.
const SLOWEST_PACE: clock::Millis = clock::Millis(1_000);

/// Names one claim of this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token(pub String);

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The key was free and is claimed now.
    Fresh(Token),
    /// The work ran before, with this outcome.
    Ran(problem::RecordedOutcome),
    /// The key was claimed before; whether the work ran is not known.
    Unknown,
    /// The key was claimed before for different work.
    KeyReused,
    /// The platform can't record the claim.
    Unavailable,
}

/// What became of claimed work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkOutcome {
    /// It ran, with this outcome.
    Ran(problem::RecordedOutcome),
    /// It certainly did not run.
    NotRun,
}

/// Records which keyed work may run.
pub trait Claims: Send + Sync {
    /// Claims `key` within `scope` (organisation and service) for the work with `fingerprint`.
    fn claim<'a>(
        &'a self,
        scope: &'a [&'a str; 2],
        key: &'a str,
        fingerprint: ids::Fingerprint,
    ) -> future::BoxFuture<'a, ClaimResult>;

    /// Records what became of claimed work; does not wait for the platform.
    fn record_outcome(&self, token: Token, settled: WorkOutcome);
}

/// Claims of a fleet whose callers have no keys: each arrival is a request of its own.
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

    fn record_outcome(&self, _token: Token, _settled: WorkOutcome) {}
}

/// What the actor works with.
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// The platform.
    pub platform: sync::Arc<dyn platform::Platform>,
    /// The membership.
    pub members: tasks::watch::Receiver<sync::Arc<member::View>>,
    /// The daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
}

/// The way to the running actor, which stops when the last handle is dropped.
#[derive(Clone)]
pub struct Handle {
    actor: sync::Arc<stop::Stop<Message>>,
}

/// What the actor is told.
enum Message {
    Claim {
        claim: claims::Claim,
        reply: tasks::oneshot::Sender<ClaimResult>,
    },
    /// The entry no longer waits for the claim with this token.
    Abandon(String),
    Settle(String, WorkOutcome),
    Happened(claims::Event),
}

/// Starts the actor and the sweep of old claims.
///
/// # Errors
///
/// Returns an error if the actor can't be started.
pub async fn spawn(options: Options) -> Result<Handle, ractor::SpawnErr> {
    let sweep = Sweep {
        name: options.name.clone(),
        platform: sync::Arc::clone(&options.platform),
        members: options.members.clone(),
    };
    let (actor, _) = Actor::spawn(None, Carrier, options).await?;
    let stop = sync::Arc::new(stop::Stop(actor.clone()));
    tokio::spawn(sweep.run(sync::Arc::downgrade(&stop)));
    tokio::spawn(pass_on_time(actor));
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
            let (reply, replied) = tasks::oneshot::channel();
            if self
                .actor
                .0
                .send_message(Message::Claim { claim, reply })
                .is_err()
            {
                return ClaimResult::Unavailable;
            }
            let claimed = replied.await.unwrap_or(ClaimResult::Unavailable);
            guard.token = None;
            claimed
        })
    }

    fn record_outcome(&self, token: Token, settled: WorkOutcome) {
        // An actor that has stopped leaves the claim as it is: unknown.
        let _ = self.actor.0.send_message(Message::Settle(token.0, settled));
    }
}

/// Takes a claim back unless it was answered.
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

/// Returns the key of the row for `key` within `scope`.
fn row_key(scope: &[&str; 2], key: &str) -> String {
    let mut digest = sha2::Sha256::new();
    for part in [scope[0], scope[1], key] {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    format!("{}{}", claims::PREFIX, hex::encode(digest.finalize()))
}

async fn pass_on_time(actor: ActorRef<Message>) {
    let tick = || Message::Happened(claims::Event::Tick);
    while actor.send_message(tick()).is_ok() {
        tokio::time::sleep(TICK_SPAN.span()).await;
    }
}

struct Carrier;

/// A claim whose verdict is awaited.
struct Pending {
    claim: claims::Claim,
    reply: tasks::oneshot::Sender<ClaimResult>,
}

/// A claim of this daemon whose outcome is awaited.
struct Open {
    claim: claims::Claim,
    version: u64,
    since: clock::Millis,
}

struct State {
    claims: claims::Claims,
    options: Options,
    pending: BTreeMap<String, Pending>,
    abandoned: BTreeMap<String, claims::Claim>,
    open: BTreeMap<String, Open>,
    armed: Option<clock::Millis>,
}

impl Actor for Carrier {
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
            armed: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.options.clock.now();
        if let Some(event) = state.event(now, message) {
            let actions = state.claims.handle(now, event);
            for action in actions {
                state.carry_out(&myself, now, action);
            }
        }
        state.arm(&myself, now);
        Ok(())
    }
}

impl State {
    fn event(&mut self, now: clock::Millis, message: Message) -> Option<claims::Event> {
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
                    return Some(settle(open, None));
                }
                let pending = self.pending.remove(&token)?;
                self.abandoned.insert(token, pending.claim);
                None
            }
            Message::Settle(token, settled) => {
                let open = self.open.remove(&token)?;
                let record = match settled {
                    WorkOutcome::Ran(record) => Some(record),
                    WorkOutcome::NotRun => None,
                };
                Some(settle(open, record))
            }
            Message::Happened(event) => {
                if matches!(event, claims::Event::Tick) {
                    self.open.retain(|_, open| now - open.since < OPEN_SPAN);
                    self.claims
                        .set_write_interval(pace(&self.options.members.borrow()));
                    self.armed = self.armed.filter(|at| *at > now);
                }
                Some(event)
            }
        }
    }

    fn carry_out(
        &mut self,
        myself: &ActorRef<Message>,
        now: clock::Millis,
        action: claims::Action,
    ) {
        match action {
            claims::Action::Write(writes) => self.write(myself, writes),
            claims::Action::Read(key) => self.read(myself, key),
            claims::Action::Answer { token, answer } => self.tell(myself, now, token, answer),
            claims::Action::Reachable(reachable) => {
                let detail = if reachable {
                    "claims are recorded again"
                } else {
                    "claims can't be recorded"
                };
                let subject = timeline::Subject::default();
                let recorder = &self.options.recorder;
                recorder.record(timeline::Kind::Platform, subject, detail);
            }
        }
    }

    fn write(&self, myself: &ActorRef<Message>, writes: Vec<platform::Write>) {
        let platform = sync::Arc::clone(&self.options.platform);
        let myself = myself.clone();
        tokio::spawn(async move {
            let written = platform.commit(&writes).await;
            let _ = myself.send_message(Message::Happened(claims::Event::Written(written)));
        });
    }

    fn read(&self, myself: &ActorRef<Message>, key: String) {
        let platform = sync::Arc::clone(&self.options.platform);
        let myself = myself.clone();
        tokio::spawn(async move {
            let read = platform.read(&key).await;
            let _ = myself.send_message(Message::Happened(claims::Event::Read(read)));
        });
    }

    fn tell(
        &mut self,
        myself: &ActorRef<Message>,
        now: clock::Millis,
        token: String,
        verdict: claims::Answer,
    ) {
        let pending = self.pending.remove(&token);
        let abandoned = self.abandoned.remove(&token);
        if let claims::Answer::Fresh { version } = verdict
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
        let claimed = claimed(&pending.claim, verdict);
        // An entry that went away in the meantime has sent its abandonment already.
        let _ = pending.reply.send(claimed);
    }

    /// Arms a timer for the next write that waits for its time.
    fn arm(&mut self, myself: &ActorRef<Message>, now: clock::Millis) {
        let Some(due) = self.claims.next_write() else {
            return;
        };
        if self.armed.is_some_and(|at| at <= due && at > now) {
            return;
        }
        self.armed = Some(due);
        let myself = myself.clone();
        tokio::spawn(async move {
            tokio::time::sleep((due - now).span()).await;
            let _ = myself.send_message(Message::Happened(claims::Event::Tick));
        });
    }
}

fn settle(open: Open, record: Option<problem::RecordedOutcome>) -> claims::Event {
    claims::Event::Complete {
        claim: open.claim,
        version: Some(open.version),
        record,
    }
}

fn claimed(claim: &claims::Claim, verdict: claims::Answer) -> ClaimResult {
    match verdict {
        claims::Answer::Fresh { .. } => ClaimResult::Fresh(Token(claim.row.token.clone())),
        claims::Answer::Unavailable => ClaimResult::Unavailable,
        claims::Answer::Taken(row) if row.fingerprint != claim.row.fingerprint => {
            ClaimResult::KeyReused
        }
        claims::Answer::Taken(row) => row.record.map_or(ClaimResult::Unknown, ClaimResult::Ran),
    }
}

/// Returns the time between two writes of one daemon that keeps the fleet within its share of the table.
fn pace(view: &member::View) -> clock::Millis {
    let daemons = view.members.len() as u64;
    clock::Millis(daemons * 1_000 / FLEET_WRITES_S).min(SLOWEST_PACE)
}

/// Removes old claims, in the one daemon of the fleet that ranks first for it.
struct Sweep {
    name: String,
    platform: sync::Arc<dyn platform::Platform>,
    members: tasks::watch::Receiver<sync::Arc<member::View>>,
}

impl Sweep {
    async fn run(self, running: sync::Weak<stop::Stop<Message>>) {
        let mut after = String::new();
        while running.strong_count() > 0 {
            tokio::time::sleep(SWEEP_SPAN.span()).await;
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

    /// Sweeps the rows after `after`, and returns where the next sweep goes on.
    async fn sweep(&self, after: &str) -> String {
        let scan = self.platform.scan(claims::PREFIX, after, SWEEP_ROWS);
        let Ok(rows) = scan.await else {
            return after.to_owned();
        };
        let removals = claims::expiry_writes(&rows, clock::wall(), KEPT_SPAN);
        if !removals.is_empty()
            && let Err(e) = self.platform.commit(&removals).await
        {
            log::debug!("old claims stay for the next sweep: {e}");
        }
        match rows.last() {
            Some(last) if rows.len() == SWEEP_ROWS => last.key.clone(),
            _ => String::new(),
        }
    }
}
