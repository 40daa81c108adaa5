//! The quotas of organisations: runs the state machines of [`coordination::quota`] over control messages.
//!
//! The [`super::home`] spends a token on each request of an organisation with a limit, and the [`super::entry`] repeats
//! the refusals of homes until there is room. Requests without an organisation or without a limit take no part: for
//! them, no state is kept and nothing is sent.
//!
//! [`coordination::quota`]: crate::coordination::quota

use std::collections::BTreeMap;
use std::sync;
use std::sync::atomic;

use futures_util::future;
use tokio::{sync as tokio_sync, time};

use crate::coordination::member;
use crate::coordination::quota::{
    Ask, Blocks, HeldBack, Holder, Home, Limit, Ranking, Ticket, Verdict,
};
use crate::daemon::metrics;
use crate::protocol::peer;
use crate::state::{bundle, clock, ids};

/// The interval of timers while there are active organisations.
const TICK_INTERVAL: clock::Millis = clock::Millis(50);
/// The least time between two log lines about one organisation.
const LOG_INTERVAL: clock::Millis = clock::Millis(1_000);
/// How long a holder may take for its reply: several round trips between failure domains. A request for tokens is sent
/// three times within the time that a caller's request waits.
const REPLY_TIMEOUT: clock::Millis = clock::Millis(200);
/// The most daemons in turn that a request for tokens is passed on to, because their builds know no tokens.
const MAX_OLD: usize = 3;

/// Why a daemon handed out no tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoTokens {
    /// The daemon's build knows no tokens.
    Old,
    /// The daemon did not reply, for the given reason.
    NoReply(String),
}

/// Sends requests for tokens to other daemons.
pub trait Links: Send + Sync {
    /// Sends a request for tokens to the daemon named `to`, and waits for the reply.
    fn get_tokens<'a>(
        &'a self,
        to: &'a str,
        request: peer::TokenRequest,
    ) -> future::BoxFuture<'a, Result<Option<Vec<peer::TokenLot>>, NoTokens>>;
}

/// Options of [`Quotas`].
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The run of the daemon.
    pub run: ids::Incarnation,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// The bundle in force.
    pub bundle: tokio_sync::watch::Receiver<sync::Arc<bundle::Bundle>>,
    /// The live daemons.
    pub view: tokio_sync::watch::Receiver<sync::Arc<member::View>>,
    /// Sends requests for tokens.
    pub links: sync::Arc<dyn Links>,
    /// The daemon's metrics.
    pub metrics: sync::Arc<metrics::Metrics>,
}

/// The daemon's part in the quotas: as an entry, as a home and as a holder.
pub struct Quotas {
    options: Options,
    limits: sync::RwLock<sync::Arc<Limits>>,
    state: sync::Mutex<State>,
    blocks: sync::Mutex<Blocks>,
    tickets: atomic::AtomicU64,
    /// Signals that an organisation is active.
    active: tokio_sync::Notify,
}

/// The limits of organisations by name; those without a limit are absent.
type Limits = BTreeMap<String, Limit>;

struct State {
    view: sync::Arc<member::View>,
    ranking: Ranking,
    holder: Holder,
    home: Home,
    waiting: BTreeMap<Ticket, Waiting>,
}

/// A request that waits for a token.
struct Waiting {
    organisation: String,
    verdict: tokio_sync::oneshot::Sender<Verdict>,
}

/// The result of a request's arrival.
pub enum Arrival {
    /// The request counts against no quota.
    Free,
    /// The decision is made.
    Decided(Verdict),
    /// The decision follows; if it does not, the daemon is stopping.
    Waiting(tokio_sync::oneshot::Receiver<Verdict>),
}

/// The token of a request. It returns to the stock when it is dropped, unless the request may have run.
pub struct Token {
    quotas: sync::Arc<Quotas>,
    organisation: String,
    is_spent: bool,
}

impl Token {
    /// Sets whether the request may have run.
    pub fn set_spent(&mut self, is_spent: bool) {
        self.is_spent = is_spent;
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        if !self.is_spent {
            self.quotas.release(&self.organisation);
        }
    }
}

impl State {
    fn apply_view(&mut self, now: clock::Millis, view: sync::Arc<member::View>) {
        self.view = view;
        self.ranking.apply(&self.view);
        self.holder.apply(now, &self.view, &self.ranking);
    }

    /// Excludes a daemon whose build knows no tokens from the holders.
    fn exclude(&mut self, now: clock::Millis, name: &str) {
        if let Some(member) = self.view.members.get(name) {
            self.ranking.exclude(name, member.incarnation);
            self.apply_view(now, self.view.clone());
        }
    }
}

impl Quotas {
    /// Creates the daemon's part in the quotas; [`Quotas::run`] drives it.
    pub fn new(options: Options) -> sync::Arc<Quotas> {
        let now = options.clock.now();
        let mut state = State {
            view: sync::Arc::default(),
            ranking: Ranking::default(),
            holder: Holder::new(&options.name, now),
            home: Home::new(&options.name, options.run.0),
            waiting: BTreeMap::new(),
        };
        state.apply_view(now, options.view.borrow().clone());
        let limits = limits_of(&options.bundle.borrow());
        sync::Arc::new(Quotas {
            options,
            limits: sync::RwLock::new(sync::Arc::new(limits)),
            state: sync::Mutex::new(state),
            blocks: sync::Mutex::default(),
            tickets: atomic::AtomicU64::default(),
            active: tokio_sync::Notify::new(),
        })
    }

    /// Follows the bundle and the live daemons, and runs the timers while organisations are active.
    pub async fn run(self: sync::Arc<Quotas>) {
        let (mut bundle, mut view) = (self.options.bundle.clone(), self.options.view.clone());
        let mut logged_at = clock::Millis::ZERO;
        let mut is_active = true;
        loop {
            tokio::select! {
                changed = bundle.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let current = bundle.borrow_and_update().clone();
                    self.apply_bundle(&current);
                }
                changed = view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let current = view.borrow_and_update().clone();
                    self.state().apply_view(self.options.clock.now(), current);
                }
                () = self.active.notified(), if !is_active => is_active = true,
                () = time::sleep(TICK_INTERVAL.span()), if is_active => {
                    is_active = self.tick();
                    let now = self.options.clock.now();
                    if now >= logged_at + LOG_INTERVAL {
                        logged_at = now;
                        self.log_held_back(now);
                    }
                }
            }
        }
    }

    /// Returns the limit of an organisation; `None` if it has none.
    pub fn limit(&self, organisation: &str) -> Option<Limit> {
        if organisation.is_empty() {
            return None;
        }
        self.limits().get(organisation).copied()
    }

    /// Returns how much longer this entry refuses the organisation's requests for a service.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn blocked(&self, organisation: &str, service: &str) -> Option<clock::Millis> {
        let limit = self.limit(organisation)?;
        let now = self.options.clock.now();
        let mut blocks = self.blocks.lock().expect("lock is not poisoned");
        let left = blocks.refuse(now, (organisation, service), limit)?;
        self.options.metrics.record_quota_refusal("entry");
        Some(left)
    }

    /// Records that a home refused a request of the organisation, which there is room for after `wait`.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn block(&self, organisation: &str, service: &str, wait: clock::Millis) {
        let Some(limit) = self.limit(organisation) else {
            return;
        };
        let now = self.options.clock.now();
        let mut blocks = self.blocks.lock().expect("lock is not poisoned");
        blocks.insert(now, (organisation, service), limit, wait);
        self.active.notify_one();
    }

    /// Spends a token on a request that arrives at this daemon as the home of its cell.
    pub fn spend(self: &sync::Arc<Quotas>, context: Option<&peer::RequestContext>) -> Arrival {
        let counted = context.filter(|c| !c.counted);
        let limited = counted.and_then(|c| Some((&c.organisation, self.limit(&c.organisation)?)));
        let Some((organisation, limit)) = limited else {
            return Arrival::Free;
        };
        let ticket = self.tickets.fetch_add(1, atomic::Ordering::Relaxed);
        let now = self.options.clock.now();
        let mut state = self.state();
        let verdict = state.home.arrive(now, organisation, limit, ticket);
        let arrival = match verdict {
            Some(verdict) => Arrival::Decided(verdict),
            None => {
                let (sender, receiver) = tokio_sync::oneshot::channel();
                let waiting = Waiting {
                    organisation: organisation.clone(),
                    verdict: sender,
                };
                state.waiting.insert(ticket, waiting);
                Arrival::Waiting(receiver)
            }
        };
        self.send_asks(state);
        self.active.notify_one();
        arrival
    }

    /// Returns the token of a request that was admitted, and counts the verdict.
    pub fn token(
        self: &sync::Arc<Quotas>,
        context: &peer::RequestContext,
        verdict: Verdict,
    ) -> Option<Token> {
        match verdict {
            Verdict::Go => {
                self.options.metrics.record_token("spent");
                return Some(Token {
                    quotas: self.clone(),
                    organisation: context.organisation.clone(),
                    is_spent: false,
                });
            }
            Verdict::Refuse(_) => self.options.metrics.record_quota_refusal("home"),
            Verdict::Unknown => {
                self.options.metrics.record_quota_refusal("unknown");
                log::info!(
                    organisation = context.organisation, daemon = self.options.name;
                    "no holder of the organisation's quota answered"
                );
            }
        }
        None
    }

    /// Answers another daemon's request for tokens. If this daemon is not the holder by its view, it passes the request
    /// on once. `None` if no holder answers.
    pub async fn answer(
        self: &sync::Arc<Quotas>,
        from: &str,
        mut request: peer::TokenRequest,
    ) -> Option<Vec<peer::TokenLot>> {
        if !request.forwarded && request.home != from {
            return None;
        }
        let mut lots = Vec::new();
        for _ in 0..MAX_OLD {
            let (answered, elsewhere) = self.answer_own(&mut request);
            lots.extend(answered);
            if request.forwarded || elsewhere.is_empty() {
                break;
            }
            request.needs.clear();
            for (holder, needs) in elsewhere {
                let forwarded = peer::TokenRequest {
                    forwarded: true,
                    needs: needs.clone(),
                    ..request.clone()
                };
                match self.get_tokens(&holder, forwarded).await {
                    Ok(handed_out) => lots.extend(handed_out.unwrap_or_default()),
                    Err(NoTokens::Old) => request.needs.extend(needs),
                    Err(NoTokens::NoReply(_)) => {}
                }
            }
            if request.needs.is_empty() {
                break;
            }
        }
        (!lots.is_empty()).then_some(lots)
    }

    /// Answers the part of a request that this daemon holds; returns the other needs by their holders.
    fn answer_own(
        &self,
        request: &mut peer::TokenRequest,
    ) -> (Vec<peer::TokenLot>, BTreeMap<String, Vec<peer::TokenNeed>>) {
        let limits = self.limits();
        let now = self.options.clock.now();
        let mut state = self.state();
        let mut elsewhere: BTreeMap<String, Vec<_>> = BTreeMap::new();
        let mut own = Vec::new();
        for need in std::mem::take(&mut request.needs) {
            match state.ranking.holder(&need.organisation) {
                Some(holder) if holder != self.options.name => {
                    elsewhere.entry(holder.to_owned()).or_default().push(need);
                }
                _ => own.push(need),
            }
        }
        request.needs = own;
        let mut lots = None;
        if !request.needs.is_empty() {
            let limit = |o: &str| limits.get(o).copied();
            lots = state.holder.answer(now, request, &limit);
            self.active.notify_one();
        }
        (lots.unwrap_or_default(), elsewhere)
    }

    /// Sends a request for tokens to another daemon. A daemon whose build knows none is excluded from the holders.
    async fn get_tokens(
        &self,
        to: &str,
        request: peer::TokenRequest,
    ) -> Result<Option<Vec<peer::TokenLot>>, NoTokens> {
        let reply = self.options.links.get_tokens(to, request);
        let reply = match time::timeout(REPLY_TIMEOUT.span(), reply).await {
            Ok(reply) => reply,
            Err(_) => Err(NoTokens::NoReply(format!(
                "no reply within {REPLY_TIMEOUT}"
            ))),
        };
        let result = match &reply {
            Ok(Some(_)) => "answered",
            Ok(None) => "no-holder",
            Err(NoTokens::Old) => "old",
            Err(NoTokens::NoReply(_)) => "no-reply",
        };
        self.options.metrics.record_token_request(result);
        match &reply {
            Err(NoTokens::Old) => self.state().exclude(self.options.clock.now(), to),
            Err(NoTokens::NoReply(reason)) => {
                log::debug!("no tokens from the daemon {to} ({reason})");
            }
            Ok(_) => {}
        }
        reply
    }

    /// Returns a token to the stock of its organisation.
    fn release(self: &sync::Arc<Quotas>, organisation: &str) {
        self.options.metrics.record_token("returned");
        let mut state = self.state();
        let verdicts = state.home.release(organisation);
        self.send_verdicts(&mut state, verdicts);
    }

    /// Sends the requests for tokens that are due; those to this daemon itself are answered at once.
    fn send_asks(self: &sync::Arc<Quotas>, mut state: sync::MutexGuard<'_, State>) {
        let now = self.options.clock.now();
        let limits = self.limits();
        let State { ranking, home, .. } = &mut *state;
        let mut asks = home.asks(now, ranking);
        while let Some(ask) = asks.pop() {
            if ask.to != self.options.name {
                tokio::spawn(self.clone().request_tokens(ask));
                continue;
            }
            let limit = |o: &str| limits.get(o).copied();
            match state.holder.answer(now, &ask.request, &limit) {
                Some(lots) => {
                    let sequence = ask.request.sequence;
                    let verdicts = state.home.reply(now, &ask.holder, sequence, &lots);
                    self.send_verdicts(&mut state, verdicts);
                }
                None => drop(tokio::spawn(self.clone().repeat_later(ask))),
            }
        }
    }

    /// Sends one request for tokens, and applies the reply.
    async fn request_tokens(self: sync::Arc<Quotas>, ask: Ask) {
        let began = time::Instant::now();
        let reply = self.get_tokens(&ask.to, ask.request.clone()).await;
        match reply {
            Ok(Some(lots)) => {
                let now = self.options.clock.now();
                let mut state = self.state();
                let sequence = ask.request.sequence;
                let verdicts = state.home.reply(now, &ask.holder, sequence, &lots);
                self.send_verdicts(&mut state, verdicts);
                self.send_asks(state);
            }
            Err(NoTokens::Old) => self.repeat(&ask),
            Ok(None) | Err(NoTokens::NoReply(_)) => {
                time::sleep_until(began + REPLY_TIMEOUT.span()).await;
                self.repeat(&ask);
            }
        }
    }

    /// Repeats a request that this daemon itself does not answer yet, because it has just started.
    async fn repeat_later(self: sync::Arc<Quotas>, ask: Ask) {
        time::sleep(REPLY_TIMEOUT.span()).await;
        self.repeat(&ask);
    }

    fn repeat(self: &sync::Arc<Quotas>, ask: &Ask) {
        let mut state = self.state();
        let State { ranking, home, .. } = &mut *state;
        if let Some(again) = home.no_reply(&ask.holder, ask.request.sequence, ranking) {
            tokio::spawn(self.clone().send_again(again));
        }
        self.send_asks(state);
    }

    /// Sends a repeated request, which this daemon answers itself if it is the holder.
    fn send_again(self: sync::Arc<Quotas>, ask: Ask) -> future::BoxFuture<'static, ()> {
        Box::pin(async move {
            if ask.to != self.options.name {
                return self.request_tokens(ask).await;
            }
            let lots = self.answer_own(&mut ask.request.clone()).0;
            if lots.is_empty() {
                return self.repeat_later(ask).await;
            }
            let now = self.options.clock.now();
            let mut state = self.state();
            let sequence = ask.request.sequence;
            let verdicts = state.home.reply(now, &ask.holder, sequence, &lots);
            self.send_verdicts(&mut state, verdicts);
            self.send_asks(state);
        })
    }

    /// Sends verdicts to the requests that wait for them. The token of a request that has ended meanwhile is returned.
    fn send_verdicts(&self, state: &mut State, verdicts: Vec<(Ticket, Verdict)>) {
        let mut verdicts = std::collections::VecDeque::from(verdicts);
        while let Some((ticket, verdict)) = verdicts.pop_front() {
            let Some(waiting) = state.waiting.remove(&ticket) else {
                continue;
            };
            if waiting.verdict.send(verdict) == Err(Verdict::Go) {
                verdicts.extend(state.home.release(&waiting.organisation));
            }
        }
    }

    /// Runs the timers; returns whether there are active organisations.
    fn tick(self: &sync::Arc<Quotas>) -> bool {
        let now = self.options.clock.now();
        let mut state = self.state();
        let verdicts = state.home.expire(now);
        self.send_verdicts(&mut state, verdicts);
        state.holder.expire(now);
        let is_active = state.home.active() + state.holder.active() > 0;
        self.send_asks(state);
        let blocks = self.blocks.lock().expect("lock is not poisoned");
        is_active || !blocks.is_empty()
    }

    fn apply_bundle(&self, bundle: &bundle::Bundle) {
        let limits = limits_of(bundle);
        if limits == *self.limits() {
            return;
        }
        let limits = sync::Arc::new(limits);
        *self.limits.write().expect("lock is not poisoned") = limits.clone();
        let mut state = self.state();
        let verdicts = state.home.apply_limits(&|o| limits.get(o).copied());
        self.send_verdicts(&mut state, verdicts);
    }

    /// Logs the organisations whose requests were refused since the last call.
    fn log_held_back(&self, now: clock::Millis) {
        let by_home = self.state().home.take_refused();
        let mut blocks = self.blocks.lock().expect("lock is not poisoned");
        let by_entry = blocks.take_refused(now);
        drop(blocks);
        let log = |by: &'static str, held: &HeldBack| {
            log::info!(
                organisation = held.organisation, service = held.service, refused = held.refused, by = by,
                daemon = self.options.name, rate = held.limit.rate, burst = held.limit.burst;
                "an organisation is over its quota"
            );
        };
        by_home.iter().for_each(|held| log("home", held));
        by_entry.iter().for_each(|held| log("entry", held));
    }

    fn limits(&self) -> sync::Arc<Limits> {
        self.limits.read().expect("lock is not poisoned").clone()
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("lock is not poisoned")
    }
}

/// Returns the limits of the organisations of a bundle.
fn limits_of(bundle: &bundle::Bundle) -> Limits {
    let organisations = bundle.organisations.iter();
    organisations
        .filter_map(|o| Some((o.name.clone(), Limit::of(o)?)))
        .collect()
}
