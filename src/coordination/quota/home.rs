//! The home's side of quotas: the stocks of tokens, and the requests that wait for tokens.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::coordination::quota::{Limit, Ranking};
use crate::protocol::peer;
use crate::state::clock;

/// The interval at which stocks are refilled.
const REFILL_INTERVAL: clock::Millis = clock::Millis(250);
/// The time for which a stock covers the organisation's requests: a few intervals.
const STOCK_TIME: clock::Millis = clock::Millis(750);
/// The time constant of the estimate of an organisation's requests per second.
const DEMAND_TIME: clock::Millis = clock::Millis(1_000);
/// The requests per second from which on an organisation has a stock. One request raises the estimate to 1; a stock for
/// it would mostly lie idle and cost two more messages, and a small organisation has fewer tokens than homes.
const MIN_DEMAND: f64 = 1.2;
/// How long after the last request the stock is returned.
const IDLE: clock::Millis = clock::Millis(1_500);
/// How long tokens are kept without a reply of the holder about their organisation. The holder counts them for longer.
const STOCK_EXPIRY: clock::Millis = clock::Millis(4_000);
/// How long an organisation without requests keeps its entry.
const FORGET: clock::Millis = clock::Millis(10_000);
/// How long a request waits for a token if no holder answers. Its entry then tries another home.
const MAX_WAIT: clock::Millis = clock::Millis(700);
/// The most requests of one organisation that wait.
const MAX_WAITING: usize = 128;
/// The number of times that a request for tokens is sent: to the holder, and through the next two daemons by rank, since
/// the path between this daemon and the holder may be cut in one direction.
const MAX_TRIES: u32 = 3;

/// Identifies a waiting request.
pub type Ticket = u64;

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A token is spent on it.
    Go,
    /// Its organisation is over its quota; there is room after the given time.
    Refuse(clock::Millis),
    /// No holder answered, so it is not known whether there is a token.
    Unknown,
}

/// A request for tokens that the daemon has to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The holder whose tokens are requested.
    pub holder: String,
    /// The daemon to send it to: the holder, or another one that passes it on.
    pub to: String,
    /// The message.
    pub request: peer::TokenRequest,
}

/// How many requests of an organisation were refused.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldBack {
    /// The name of the organisation.
    pub organisation: String,
    /// The name of the service; empty for all services of a home's cells.
    pub service: String,
    /// The number of refused requests.
    pub refused: u64,
    /// The organisation's limit.
    pub limit: Limit,
}

/// The tokens that a daemon has for the requests of the cells of which it is the home.
///
/// The load: requests of a large organisation arrive at each home many times a second, and find a token in its stock.
/// Those of a small one arrive at each home every few seconds or minutes. They wait for one round trip to the holder,
/// which is one message for all organisations and requests that have come together since the last one.
#[derive(Clone, Debug)]
pub struct Home {
    name: String,
    /// Identifies the run of the daemon in its requests for tokens.
    run: u64,
    sequence: u64,
    organisations: BTreeMap<String, Stock>,
    /// The organisations whose waiting requests are in no request for tokens.
    urgent: BTreeSet<String>,
    /// The requests for tokens without a reply, by holder.
    pending: BTreeMap<String, Pending>,
    /// The number of the last request that each holder has answered.
    received: BTreeMap<String, u64>,
    refilled_at: clock::Millis,
}

#[derive(Clone, Debug)]
struct Stock {
    limit: Limit,
    tokens: u32,
    /// The estimated requests per second, at `used_at`.
    demand: f64,
    /// When the last request arrived.
    used_at: clock::Millis,
    /// When the holder last answered.
    answered_at: clock::Millis,
    /// Until when requests without a token are refused, and until when their callers are told to wait.
    blocked: (clock::Millis, clock::Millis),
    waiting: VecDeque<(Ticket, clock::Millis)>,
    /// Whether a request for tokens without a reply covers the organisation.
    asked: bool,
    refused: u64,
}

#[derive(Clone, Debug)]
struct Pending {
    request: peer::TokenRequest,
    tries: u32,
}

impl Stock {
    fn new(now: clock::Millis, limit: Limit) -> Stock {
        Stock {
            limit,
            tokens: 0,
            demand: 0.0,
            used_at: now,
            answered_at: now,
            blocked: (clock::Millis::ZERO, clock::Millis::ZERO),
            waiting: VecDeque::new(),
            asked: false,
            refused: 0,
        }
    }

    fn demand(&self, now: clock::Millis) -> f64 {
        let span = (now - self.used_at).0 as f64 / DEMAND_TIME.0 as f64;
        self.demand * (-span).exp()
    }

    fn count(&mut self, now: clock::Millis) {
        self.demand = self.demand(now) + 1_000.0 / DEMAND_TIME.0 as f64;
        self.used_at = now;
    }

    /// Returns the tokens that the stock should hold: none while the organisation sends less than one request now and
    /// then, and never for more than its own rate.
    fn target(&self, now: clock::Millis) -> u32 {
        let demand = self.demand(now).min(self.limit.rate);
        match demand >= MIN_DEMAND && now < self.used_at + IDLE {
            true => (demand * STOCK_TIME.0 as f64 / 1_000.0).ceil() as u32,
            false => 0,
        }
    }

    /// Applies a changed limit: the tokens are cut to the share that the capacity has left, and a block ends.
    fn apply(&mut self, limit: Limit) {
        if limit == self.limit {
            return;
        }
        let left = limit.capacity() / self.limit.capacity();
        self.tokens = (f64::from(self.tokens) * left.min(1.0)) as u32;
        self.blocked = (clock::Millis::ZERO, clock::Millis::ZERO);
        self.limit = limit;
    }

    /// Spends tokens on waiting requests.
    fn admit(&mut self, verdicts: &mut Vec<(Ticket, Verdict)>) {
        while self.tokens > 0
            && let Some((ticket, _)) = self.waiting.pop_front()
        {
            self.tokens -= 1;
            verdicts.push((ticket, Verdict::Go));
        }
    }

    fn refuse_all(&mut self, room: clock::Millis, verdicts: &mut Vec<(Ticket, Verdict)>) {
        self.refused += self.waiting.len() as u64;
        let waiting = self.waiting.drain(..);
        verdicts.extend(waiting.map(|(ticket, _)| (ticket, Verdict::Refuse(room))));
    }

    /// Returns what to ask for; `returned` is taken from the stock.
    fn need(&mut self, now: clock::Millis, organisation: &str) -> peer::TokenNeed {
        let target = self.target(now);
        let returned = self.tokens.saturating_sub(target.saturating_mul(2));
        self.tokens -= returned;
        peer::TokenNeed {
            organisation: organisation.to_owned(),
            rate: self.limit.rate,
            burst: self.limit.burst,
            held: self.tokens,
            returned,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            spare: target.saturating_sub(self.tokens),
        }
    }

    /// Returns whether the stock is to be refilled or returned.
    fn is_due(&self, now: clock::Millis) -> bool {
        let target = self.target(now);
        let is_low = self.tokens < target.div_ceil(2) && now >= self.blocked.0;
        let is_high = self.tokens > target.saturating_mul(2);
        !self.asked && (is_low || is_high)
    }
}

impl Home {
    /// Creates the home's side of the daemon `name`. Each run of the daemon has a higher `run`.
    pub fn new(name: &str, run: u64) -> Home {
        Home {
            name: name.to_owned(),
            run,
            sequence: 0,
            organisations: BTreeMap::new(),
            urgent: BTreeSet::new(),
            pending: BTreeMap::new(),
            received: BTreeMap::new(),
            refilled_at: clock::Millis::ZERO,
        }
    }

    /// Decides on a request that arrives; `None` if it waits for a token, and its verdict follows.
    pub fn arrive(
        &mut self,
        now: clock::Millis,
        organisation: &str,
        limit: Limit,
        ticket: Ticket,
    ) -> Option<Verdict> {
        if !self.organisations.contains_key(organisation) {
            let stock = Stock::new(now, limit);
            self.organisations.insert(organisation.to_owned(), stock);
        }
        let stock = self.organisations.get_mut(organisation)?;
        stock.apply(limit);
        stock.count(now);
        if now >= stock.answered_at + STOCK_EXPIRY {
            stock.tokens = 0;
        }
        if stock.tokens > 0 && stock.waiting.is_empty() {
            stock.tokens -= 1;
            return Some(Verdict::Go);
        }
        if now < stock.blocked.0 {
            stock.refused += 1;
            return Some(Verdict::Refuse(stock.blocked.1 - now));
        }
        if stock.waiting.len() >= MAX_WAITING {
            return Some(Verdict::Unknown);
        }
        stock.waiting.push_back((ticket, now));
        if !stock.asked {
            self.urgent.insert(organisation.to_owned());
        }
        None
    }

    /// Takes back the token of a request that ended without having run; returns the requests that it admits.
    pub fn release(&mut self, organisation: &str) -> Vec<(Ticket, Verdict)> {
        let mut verdicts = Vec::new();
        if let Some(stock) = self.organisations.get_mut(organisation) {
            stock.tokens += 1;
            stock.admit(&mut verdicts);
        }
        verdicts
    }

    /// Returns the requests for tokens that are due. At most one per holder is without a reply at any time.
    pub fn asks(&mut self, now: clock::Millis, ranking: &Ranking) -> Vec<Ask> {
        let mut due: BTreeMap<String, Vec<String>> = BTreeMap::new();
        let mut insert = |organisation: &str, pending: &BTreeMap<String, Pending>| {
            let Some(holder) = ranking.holder(organisation) else {
                return false;
            };
            if pending.contains_key(holder) {
                return false;
            }
            let organisations = due.entry(holder.to_owned()).or_default();
            organisations.push(organisation.to_owned());
            true
        };
        let pending = &self.pending;
        self.urgent.retain(|o| !insert(o, pending));
        if now >= self.refilled_at + REFILL_INTERVAL {
            self.refilled_at = now;
            for (organisation, stock) in &self.organisations {
                let is_covered = stock.asked || !stock.waiting.is_empty();
                if !is_covered && stock.is_due(now) {
                    insert(organisation, pending);
                }
            }
        }
        let due = due.into_iter();
        due.map(|(holder, organisations)| self.ask(now, holder, &organisations))
            .collect()
    }

    fn ask(&mut self, now: clock::Millis, holder: String, organisations: &[String]) -> Ask {
        let mut needs = Vec::new();
        for organisation in organisations {
            if let Some(stock) = self.organisations.get_mut(organisation) {
                stock.asked = true;
                needs.push(stock.need(now, organisation));
            }
        }
        self.sequence += 1;
        let request = peer::TokenRequest {
            home: self.name.clone(),
            run: self.run,
            sequence: self.sequence,
            received: self.received.get(&holder).copied().unwrap_or_default(),
            forwarded: false,
            needs,
        };
        let pending = Pending {
            request: request.clone(),
            tries: 1,
        };
        self.pending.insert(holder.clone(), pending);
        Ask {
            to: holder.clone(),
            holder,
            request,
        }
    }

    /// Applies a holder's reply to the request of the given sequence number; returns the verdicts on waiting requests.
    pub fn reply(
        &mut self,
        now: clock::Millis,
        holder: &str,
        sequence: u64,
        lots: &[peer::TokenLot],
    ) -> Vec<(Ticket, Verdict)> {
        let Some(pending) = self.take_pending(holder, sequence) else {
            return Vec::new();
        };
        self.received.insert(holder.to_owned(), sequence);
        let mut verdicts = Vec::new();
        for lot in lots {
            if let Some(stock) = self.organisations.get_mut(&lot.organisation) {
                stock.tokens = stock.tokens.saturating_add(lot.tokens);
                stock.answered_at = now;
                stock.admit(&mut verdicts);
                let asked = pending.request.needs.iter();
                let mut asked = asked.filter(|n| n.organisation == lot.organisation);
                let waiting = asked.next().map_or(0, |n| n.waiting);
                if lot.tokens < waiting {
                    stock.blocked = (now + lot.wait, now + lot.room);
                    stock.refuse_all(lot.room, &mut verdicts);
                }
            }
        }
        self.mark_urgent(&pending);
        verdicts
    }

    /// Records that a request for tokens got no reply; returns the repetition to send. It has the same sequence number,
    /// so the holder hands out nothing twice.
    pub fn no_reply(&mut self, holder: &str, sequence: u64, ranking: &Ranking) -> Option<Ask> {
        let pending = self.pending.get_mut(holder)?;
        if pending.request.sequence != sequence {
            return None;
        }
        pending.tries += 1;
        let organisation = pending.request.needs.first().map(|n| &n.organisation);
        let is_holder = organisation.is_some_and(|o| ranking.holder(o) == Some(holder));
        if pending.tries > MAX_TRIES || !is_holder {
            let pending = self.take_pending(holder, sequence)?;
            self.mark_urgent(&pending);
            return None;
        }
        let position = pending.tries as usize - 1;
        let to = organisation.and_then(|o| ranking.nth(o, position));
        let to = to.filter(|name| *name != self.name);
        Some(Ask {
            to: to.unwrap_or_else(|| holder.to_owned()),
            holder: holder.to_owned(),
            request: pending.request.clone(),
        })
    }

    /// Ends the wait of requests that no holder answered for, and forgets inactive organisations.
    pub fn expire(&mut self, now: clock::Millis) -> Vec<(Ticket, Verdict)> {
        let mut verdicts = Vec::new();
        for stock in self.organisations.values_mut() {
            while stock
                .waiting
                .front()
                .is_some_and(|(_, at)| now >= *at + MAX_WAIT)
                && let Some((ticket, _)) = stock.waiting.pop_front()
            {
                verdicts.push((ticket, Verdict::Unknown));
            }
            if now >= stock.answered_at + STOCK_EXPIRY {
                stock.tokens = 0;
            }
        }
        self.organisations.retain(|_, s| {
            let is_used = s.asked || s.tokens > 0 || s.refused > 0 || !s.waiting.is_empty();
            is_used || now < s.used_at + FORGET
        });
        let organisations = &self.organisations;
        self.urgent.retain(|o| organisations.contains_key(o));
        verdicts
    }

    /// Returns the refusals since the last call.
    pub fn take_refused(&mut self) -> Vec<HeldBack> {
        let stocks = self.organisations.iter_mut();
        stocks
            .filter(|(_, s)| s.refused > 0)
            .map(|(organisation, s)| HeldBack {
                organisation: organisation.clone(),
                service: String::new(),
                refused: std::mem::take(&mut s.refused),
                limit: s.limit,
            })
            .collect()
    }

    /// Applies changed limits to the stocks; `limit` returns the limit of an organisation, and an organisation without
    /// one has no stock.
    pub fn apply_limits(
        &mut self,
        limit: &dyn Fn(&str) -> Option<Limit>,
    ) -> Vec<(Ticket, Verdict)> {
        let mut verdicts = Vec::new();
        for (organisation, stock) in &mut self.organisations {
            match limit(organisation) {
                Some(limit) => stock.apply(limit),
                None => {
                    stock.tokens = 0;
                    let waiting = stock.waiting.drain(..);
                    verdicts.extend(waiting.map(|(ticket, _)| (ticket, Verdict::Go)));
                }
            }
        }
        verdicts
    }

    /// Returns the number of organisations with an entry.
    pub fn active(&self) -> usize {
        self.organisations.len()
    }

    fn take_pending(&mut self, holder: &str, sequence: u64) -> Option<Pending> {
        if self.pending.get(holder)?.request.sequence != sequence {
            return None;
        }
        let pending = self.pending.remove(holder)?;
        for need in &pending.request.needs {
            if let Some(stock) = self.organisations.get_mut(&need.organisation) {
                stock.asked = false;
            }
        }
        Some(pending)
    }

    /// Marks the organisations of an ended request whose requests still wait.
    fn mark_urgent(&mut self, pending: &Pending) {
        for need in &pending.request.needs {
            let stock = self.organisations.get(&need.organisation);
            if stock.is_some_and(|s| !s.waiting.is_empty()) {
                self.urgent.insert(need.organisation.clone());
            }
        }
    }
}
