//! The holder's side of quotas: the buckets, and the lots of tokens that homes get from them.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::member;
use crate::coordination::quota::{Limit, Ranking, ranking};
use crate::protocol::peer;
use crate::state::clock;

/// How long the tokens of a home's stock count after its last report; homes drop them earlier, so a token whose home
/// died exists no more when it accrues again.
const STOCK_EXPIRY: clock::Millis = clock::Millis(5_000);
/// How long a home's last reply is kept for repetitions of its request.
const REPLY_EXPIRY: clock::Millis = clock::Millis(10_000);
/// How long the view must not have grown by a tenth before a new daemon hands out tokens. While a fleet starts, each
/// daemon first sees only itself and would hold all quotas.
const SETTLING: clock::Millis = clock::Millis(500);
/// The tokens of each organisation that a new holder starts with, so that a change of holders refuses none of the few
/// requests of a small organisation.
const START_TOKENS: f64 = 4.0;
/// How long a new holder hands out half of the rate: others may still take tokens from the earlier holder.
const TAKEOVER: clock::Millis = clock::Millis(2_000);
/// The age up to which a daemon counts as just started: the earlier holder knows of a start before it becomes the
/// holder, so the new holder hands out the whole rate.
const JUST_STARTED: clock::Millis = clock::Millis(10_000);
/// How long a daemon counts as known after it was last alive. A cut is not told from deaths within this time.
const KNOWN: clock::Millis = clock::Millis(60_000);
/// The share of the known daemons from which on the whole rate is handed out; the rule tolerates a tenth too much.
const MOST: f64 = 0.9;
/// The part of a bucket's capacity that homes may hold as stock. The rest is available to homes that have none.
const STOCK_SHARE: f64 = 0.5;
/// The shortest time until a refused home asks again.
const MIN_WAIT: clock::Millis = clock::Millis(50);
/// The longest time until which callers are told to wait because of others who wait as well.
const MAX_ROOM: clock::Millis = clock::Millis(2_000);

/// The buckets of the organisations that a daemon holds.
///
/// The load: active organisations ask from up to some hundred homes, a few times a second each; the others have no
/// state. A bucket that is full and whose homes hold nothing is forgotten, since a new one starts full if its daemon has
/// been the holder long enough.
#[derive(Clone, Debug)]
pub struct Holder {
    name: String,
    started: clock::Millis,
    /// Since when this daemon is the holder of a group, and whether it took the group over from another one.
    since: BTreeMap<usize, (clock::Millis, bool)>,
    /// When each daemon was last alive.
    known: BTreeMap<String, clock::Millis>,
    visible: usize,
    /// The number of members at the last growth of the view, and its time.
    grown: (usize, clock::Millis),
    buckets: BTreeMap<String, Bucket>,
    replies: BTreeMap<String, Reply>,
}

/// The tokens of one organisation.
#[derive(Clone, Debug)]
struct Bucket {
    limit: Limit,
    tokens: f64,
    refilled_at: clock::Millis,
    /// The stocks of homes by their last reports.
    stocks: BTreeMap<String, Stock>,
    /// The refused requests whose callers wait for tokens that have not accrued since.
    owed: f64,
}

#[derive(Clone, Copy, Debug)]
struct Stock {
    tokens: f64,
    at: clock::Millis,
}

/// The last reply to a home.
#[derive(Clone, Debug)]
struct Reply {
    request: (u64, u64),
    lots: Vec<peer::TokenLot>,
    at: clock::Millis,
}

impl Holder {
    /// Creates the holder's side of the daemon `name`, which starts now.
    pub fn new(name: &str, now: clock::Millis) -> Holder {
        Holder {
            name: name.to_owned(),
            started: now,
            since: BTreeMap::new(),
            known: BTreeMap::new(),
            visible: 0,
            grown: (0, now),
            buckets: BTreeMap::new(),
            replies: BTreeMap::new(),
        }
    }

    /// Applies a view and the ranking that results from it.
    pub fn apply(&mut self, now: clock::Millis, view: &member::View, ranking: &Ranking) {
        self.visible = 0;
        for (name, member) in &view.members {
            match member.liveness {
                member::Liveness::Alive => {
                    self.visible += 1;
                    self.known.insert(name.clone(), now);
                }
                member::Liveness::Suspect => {}
                member::Liveness::Leaving => drop(self.known.remove(name)),
            }
        }
        if self.visible as f64 > self.grown.0 as f64 * 1.1 {
            self.grown = (self.visible, now);
        }
        self.known.retain(|_, at| now < *at + KNOWN);
        let held = ranking.groups_of(&self.name);
        let taken_over = now >= self.started + JUST_STARTED;
        self.since.retain(|group, _| held.contains(group));
        for group in held {
            self.since.entry(group).or_insert((now, taken_over));
        }
        let groups: BTreeSet<_> = self.since.keys().copied().collect();
        self.buckets
            .retain(|name, _| groups.contains(&ranking::group_of(name)));
    }

    /// Returns whether this daemon holds an organisation.
    pub fn holds(&self, organisation: &str) -> bool {
        self.since.contains_key(&ranking::group_of(organisation))
    }

    /// Answers a home's request for the organisations that this daemon holds; `None` if the daemon has just started, or
    /// if a later request of the home was answered before. A repeated request gets the reply of the first one.
    ///
    /// `limit` returns the limits by this daemon's rules; an organisation without one gets the limit of the request.
    pub fn answer(
        &mut self,
        now: clock::Millis,
        request: &peer::TokenRequest,
        limit: &dyn Fn(&str) -> Option<Limit>,
    ) -> Option<Vec<peer::TokenLot>> {
        if now < self.grown.1 + SETTLING && now < self.started + JUST_STARTED {
            return None;
        }
        let id = (request.run, request.sequence);
        match self.replies.get(&request.home) {
            Some(reply) if reply.request == id => return Some(reply.lots.clone()),
            Some(reply) if reply.request > id => return None,
            _ => {}
        }
        self.take_back_lost(request);
        let mut lots = Vec::new();
        for need in &request.needs {
            if self.holds(&need.organisation) {
                let limit = limit(&need.organisation).unwrap_or_else(|| Limit::from(need));
                lots.push(self.hand_out(now, &request.home, need, limit));
            }
        }
        let reply = Reply {
            request: id,
            lots: lots.clone(),
            at: now,
        };
        self.replies.insert(request.home.clone(), reply);
        Some(lots)
    }

    /// Takes back the tokens of the last reply to a home if it was lost: the home never uses them, since it has given up
    /// the request.
    fn take_back_lost(&mut self, request: &peer::TokenRequest) {
        let Some(reply) = self.replies.remove(&request.home) else {
            return;
        };
        let (run, sequence) = reply.request;
        if run == request.run && sequence > request.received {
            for lot in &reply.lots {
                if let Some(bucket) = self.buckets.get_mut(&lot.organisation) {
                    bucket.tokens += f64::from(lot.tokens);
                }
            }
        }
    }

    /// Forgets what is no longer needed.
    pub fn expire(&mut self, now: clock::Millis) {
        self.replies.retain(|_, r| now < r.at + REPLY_EXPIRY);
        self.known.retain(|_, at| now < *at + KNOWN);
        let share = self.share();
        let since = &self.since;
        self.buckets.retain(|name, bucket| {
            let Some(since) = since.get(&ranking::group_of(name)) else {
                return false;
            };
            bucket.refill(now, *since, share);
            !(bucket.stocks.is_empty() && bucket.tokens >= bucket.limit.capacity() * share)
        });
    }

    /// Returns the number of organisations with a bucket.
    pub fn active(&self) -> usize {
        self.buckets.len()
    }

    /// Returns the share of the rate that this daemon may hand out: the whole if it sees most of the daemons that it
    /// knew, and otherwise the share that it sees, since the others may have a holder of their own.
    fn share(&self) -> f64 {
        let share = self.visible as f64 / self.known.len().max(1) as f64;
        if share >= MOST { 1.0 } else { share }
    }

    fn hand_out(
        &mut self,
        now: clock::Millis,
        home: &str,
        need: &peer::TokenNeed,
        limit: Limit,
    ) -> peer::TokenLot {
        let share = self.share();
        let group = ranking::group_of(&need.organisation);
        let since = self.since.get(&group).copied().unwrap_or((now, true));
        let bucket = self.buckets.entry(need.organisation.clone());
        let bucket = bucket.or_insert_with(|| Bucket {
            limit,
            tokens: START_TOKENS,
            refilled_at: since.0,
            stocks: BTreeMap::new(),
            owed: 0.0,
        });
        bucket.refill(now, since, share);
        bucket.limit = limit;
        bucket.tokens += f64::from(need.returned);
        let stock = Stock {
            tokens: f64::from(need.held),
            at: now,
        };
        bucket.stocks.insert(home.to_owned(), stock);
        bucket.cut(share);
        bucket.lot(home, need, share)
    }
}

impl Bucket {
    /// Adds the tokens that have accrued, up to the capacity that the stocks of homes leave.
    fn refill(
        &mut self,
        now: clock::Millis,
        (since, taken_over): (clock::Millis, bool),
        share: f64,
    ) {
        let counted = |at: clock::Millis| {
            let span = (at - since).0 as f64;
            match taken_over {
                true => span - span.min(TAKEOVER.0 as f64) / 2.0,
                false => span,
            }
        };
        let span = (counted(now) - counted(self.refilled_at)).max(0.0);
        let accrued = span / 1_000.0 * self.limit.rate * share;
        self.refilled_at = now.max(self.refilled_at);
        self.stocks
            .retain(|_, s| now < s.at + STOCK_EXPIRY && s.tokens > 0.0);
        self.tokens += accrued;
        self.owed = (self.owed - accrued).max(0.0);
        self.cut(share);
    }

    fn cut(&mut self, share: f64) {
        let room = self.limit.capacity() * share - self.in_stock();
        self.tokens = self.tokens.min(room.max(0.0));
    }

    fn in_stock(&self) -> f64 {
        self.stocks.values().map(|s| s.tokens).sum()
    }

    /// Hands out tokens for waiting requests, and for the home's stock as far as half of the remaining tokens suffice.
    fn lot(&mut self, home: &str, need: &peer::TokenNeed, share: f64) -> peer::TokenLot {
        let waiting = f64::from(need.waiting);
        let now = self.tokens.floor().min(waiting);
        self.tokens -= now;
        let for_stocks = self.limit.capacity() * share * STOCK_SHARE - self.in_stock();
        let spare = f64::from(need.spare)
            .min(self.tokens / 2.0)
            .min(for_stocks.max(0.0))
            .floor();
        self.tokens -= spare;
        if let Some(stock) = self.stocks.get_mut(home) {
            stock.tokens += spare;
        }
        let refused = waiting - now;
        let wait = self.limit.time_for(1.0 - self.tokens, share);
        let room = self.limit.time_for(1.0 - self.tokens + self.owed, share);
        // Entries refuse until there is room. A bucket that fills up in the meantime loses tokens of its organisation.
        let longest = self
            .limit
            .time_for(self.limit.capacity() / 2.0, 1.0)
            .min(MAX_ROOM);
        self.owed = (self.owed + refused).min(self.limit.rate * 2.0 + self.limit.capacity());
        peer::TokenLot {
            organisation: need.organisation.clone(),
            tokens: (now + spare) as u32,
            wait: wait.max(MIN_WAIT),
            room: room.min(longest).max(wait).max(MIN_WAIT),
        }
    }
}
