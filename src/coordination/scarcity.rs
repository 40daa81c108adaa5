//! Who is served while there is too little capacity: decides of a request whether it runs now, waits or is refused, of
//! a full queue who leaves, and of waiting requests which gets a slot that becomes free.
//!
//! Tiers are strict. Within a tier, [`plan`] chooses the requests that lose least: in the order of their objectives, it
//! accepts each request whose answer is expected within the objective, and while one does not fit, it puts back the
//! accepted request with the least value for its slot time. An answer within the objective is worth 1, a late one
//! [`LATE_VALUE`], and none nothing.
//!
//! [`Ledger`] bounds this. An organisation or a kind of request that is served less than [`FLOOR`] times as often as its
//! tier goes first until it is not. Requests of an organisation beyond its usual rate count for a fraction, so that an
//! organisation that floods takes capacity from its own requests first.

use std::cmp;
use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::cost;
use crate::protocol::refusal;
use crate::state::clock;
use crate::state::ids;

/// The value of an answer after the objective and before the deadline; one within the objective is worth 1.
pub const LATE_VALUE: f64 = 1.0 / 3.0;
/// The share of the tier's served share below which a group goes first. The bound is a quarter; the rest is a margin,
/// since groups are served in whole requests and the counts fade.
pub const FLOOR: f64 = 0.35;
/// The value of a request beyond the usual rate of its organisation, relative to others.
const EXCESS_WEIGHT: f64 = 0.1;
/// The value of a request within the usual rate of an organisation that sends more than that. With the full value, a
/// flood filled a small cell with requests within the usual rate, and a small organisation was served 0.8 of the time.
const FLOOD_WEIGHT: f64 = 0.5;
/// How long after a request beyond its usual rate an organisation counts as sending more than that.
const FLOOD_SPAN: clock::Millis = clock::Millis(2_000);
/// The share of the time that a request can wait which [`plan`] leaves free, since estimates of waits vary. A request
/// that needs it waits among the late ones.
const MARGIN: f64 = 0.2;
/// The same for requests with less than the full weight, so that others find room although the estimates of waits vary.
const REDUCED_MARGIN: f64 = 0.5;
/// The time over which the counts of served requests fade.
const TALLY_SPAN: clock::Millis = clock::Millis(10_000);
/// The time over which the usual rate of an organisation is measured; several times the length of an ordinary surge.
const USUAL_SPAN: clock::Millis = clock::Millis(30_000);
/// How long an organisation must have been known before its requests can exceed its usual rate.
const USUAL_AGE: clock::Millis = clock::Millis(3_000);
/// The multiple of the usual rate that does not count as excess.
const USUAL_MULTIPLE: f64 = 1.5;
/// The rate in requests per ms that is no excess, however low the usual rate is: low rates cannot be told from chance.
const MIN_RATE: f64 = 0.002;
/// The requests that an organisation may send at once without excess, however low its usual rate is.
const MIN_CREDIT: f64 = 4.0;
/// The time whose usual requests an organisation may send at once without excess.
const CREDIT_SPAN: f64 = 1_000.0;
/// After this time without requests, an organisation or a kind is forgotten.
const RETENTION: clock::Millis = clock::Millis(60_000);
/// How often forgotten entries are removed.
const SWEEP_INTERVAL: clock::Millis = clock::Millis(10_000);

/// A check that a request passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Check {
    /// The organisation has a token of its quota. Made before the request reaches the cell.
    Quota,
    /// The daemon's memory budget has room. Made before the request reaches the cell.
    Memory,
    /// The queue has room, or holds a request that leaves first.
    Queue,
    /// The expected wait leaves time for the request to run before its deadline.
    Wait,
    /// The request has not waited until a slot would come too late.
    Expiry,
    /// The request can meet its objective, or is likely to get a slot that requests in time leave.
    Late,
    /// The cell has a normal target, or the request may probe a suspected one.
    Trial,
    /// No group that is served below the fairness bound needs the slot first. Delays a request and never refuses it.
    Floor,
}

impl Check {
    /// The order in which a request passes the checks. Those that need no knowledge of the cell come first, then those
    /// made at the arrival, then those made while the request waits, and last those made when a slot is free.
    pub const ORDER: [Check; 8] = [
        Check::Quota,
        Check::Memory,
        Check::Queue,
        Check::Wait,
        Check::Expiry,
        Check::Late,
        Check::Trial,
        Check::Floor,
    ];

    /// Returns the name of the check in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Check::Quota => "quota",
            Check::Memory => "memory",
            Check::Queue => "queue",
            Check::Wait => "wait",
            Check::Expiry => "expiry",
            Check::Late => "late",
            Check::Trial => "trial",
            Check::Floor => "floor",
        }
    }

    /// Returns the cause of a refusal by this check.
    pub fn cause(self) -> refusal::Cause {
        match self {
            Check::Quota => refusal::Cause::OverQuota,
            Check::Memory => refusal::Cause::MemoryFull,
            Check::Queue | Check::Floor => refusal::Cause::QueueFull,
            Check::Wait | Check::Expiry | Check::Late => refusal::Cause::DeadlineTooShort,
            Check::Trial => refusal::Cause::NoTarget,
        }
    }
}

/// Makes the checks in their order and returns the first that fails, with the time at which to retry. `check` returns
/// this time for a check that fails.
pub fn first_failure(
    mut check: impl FnMut(Check) -> Option<clock::Millis>,
) -> Option<(Check, clock::Millis)> {
    let failed = |c| check(c).map(|retry_after| (c, retry_after));
    Check::ORDER.into_iter().find_map(failed)
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A slot is free for it.
    Now,
    /// It waits for a slot.
    Later,
    /// It is refused.
    No {
        /// The check that it fails.
        check: Check,
        /// The time until a retry makes sense.
        retry_after: clock::Millis,
    },
}

/// A waiting request, as far as the order of service depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    /// The request.
    pub ticket: ids::Ticket,
    /// Its tier.
    pub tier: u8,
    /// Its number in the order of arrival.
    pub sequence: u64,
    /// When it started to wait.
    pub queued_at: clock::Millis,
    /// When its answer should be complete.
    pub objective: clock::Millis,
    /// When its caller stops waiting.
    pub deadline: clock::Millis,
    /// The slot time that it is expected to need, in milliseconds.
    pub work: f64,
    /// The weight of its value, which is less than 1 if its organisation sends more than usual.
    pub weight: f64,
    /// Whether one of its groups is served below the fairness bound.
    pub owed: bool,
}

impl Waiting {
    /// Returns the value of its answer if it got a slot now, for each millisecond of slot time.
    fn density(&self, now: clock::Millis) -> f64 {
        let value = value(now + millis(self.work), self.objective, self.deadline);
        self.weight * value / rounded(self.work)
    }

    /// Returns whether its answer, `wait` from now, is expected within the objective and leaves the margin.
    fn is_timely(&self, now: clock::Millis, wait: f64) -> bool {
        let run = millis(self.work);
        // Subtraction saturates, so a request that cannot meet its objective has no slack.
        let slack = (self.objective - run) - self.queued_at;
        let margin = match self.weight < 1.0 {
            true => REDUCED_MARGIN,
            false => MARGIN,
        };
        let latest = self.objective - slack.scaled(margin);
        let can_meet = now + run <= self.objective;
        can_meet && (wait <= 0.0 || now + millis(wait) + run <= latest)
    }
}

/// The slots of a cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// The number of free slots.
    pub free: usize,
    /// The number of requests that can run at a time; positive.
    pub slots: f64,
    /// The mean time after which a slot becomes free, in milliseconds.
    pub mean: f64,
}

impl Capacity {
    /// Returns the time until a slot is free for a request, in milliseconds, with `ahead` requests before it that need
    /// `work` together.
    pub fn wait(&self, ahead: usize, work: f64) -> f64 {
        if ahead < self.free {
            return 0.0;
        }
        let taken = self.free as f64 * self.mean;
        ((work + self.mean - taken) / self.slots).max(0.0)
    }
}

/// The place of a waiting request in the order of service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// The request.
    pub waiting: Waiting,
    /// Whether it is expected to meet its objective, or goes first by the fairness bound.
    pub is_timely: bool,
    /// The expected wait for a slot, if no further requests arrive, in milliseconds.
    pub wait: f64,
}

/// Returns the value of an answer that is complete at `end`.
pub fn value(end: clock::Millis, objective: clock::Millis, deadline: clock::Millis) -> f64 {
    if end <= objective.min(deadline) {
        1.0
    } else if end <= deadline {
        LATE_VALUE
    } else {
        0.0
    }
}

/// Returns the waiting requests in the order in which they get slots. Within a tier, the requests that the fairness
/// bound puts first are followed by those that meet their objective, by objective, and then by the others, by value for
/// their slot time.
pub fn plan(now: clock::Millis, capacity: Capacity, waiting: &[Waiting]) -> Vec<Place> {
    let mut tiers = BTreeMap::<u8, Vec<Waiting>>::new();
    for request in waiting {
        tiers.entry(request.tier).or_default().push(*request);
    }
    let mut places = Vec::with_capacity(waiting.len());
    let mut work = 0.0;
    for requests in tiers.into_values() {
        let (timely, late) = split(now, capacity, places.len(), work, requests);
        let timely = timely.into_iter().map(|r| (r, true));
        for (waiting, is_timely) in timely.chain(late.into_iter().map(|r| (r, false))) {
            places.push(Place {
                waiting,
                is_timely,
                wait: capacity.wait(places.len(), work),
            });
            work += waiting.work;
        }
    }
    places
}

/// Splits the requests of one tier into those that are served in time and the others, each in the order of service.
/// `ahead` requests of higher tiers, which need `work`, are served before.
fn split(
    now: clock::Millis,
    capacity: Capacity,
    ahead: usize,
    work: f64,
    requests: Vec<Waiting>,
) -> (Vec<Waiting>, Vec<Waiting>) {
    let (mut owed, mut others): (Vec<_>, Vec<_>) = requests.into_iter().partition(|r| r.owed);
    owed.sort_by_key(|r| (r.deadline, r.sequence));
    others.sort_by_key(|r| (r.objective, r.sequence));
    let ahead = ahead + owed.len();
    let mut work = work + owed.iter().map(|r| r.work).sum::<f64>();
    let mut late = Vec::new();
    // The accepted requests: those with the least value for their slot time first, and of equal ones the newest.
    let mut accepted = BTreeSet::new();
    let mut by_sequence = BTreeMap::new();
    for request in others {
        let key = (to_key(request.density(now)), cmp::Reverse(request.sequence));
        accepted.insert(key);
        by_sequence.insert(request.sequence, request);
        work += request.work;
        // Only the last request is checked: taking out others moves the earlier ones forward.
        while by_sequence.contains_key(&request.sequence) {
            let before = ahead + accepted.len() - 1;
            let wait = capacity.wait(before, work - request.work);
            if request.is_timely(now, wait) {
                break;
            }
            let can_meet = now + millis(request.work) <= request.objective;
            let worst = accepted.first().filter(|_| can_meet).copied();
            let removed = worst.unwrap_or(key);
            accepted.remove(&removed);
            if let Some(removed) = by_sequence.remove(&removed.1.0) {
                work -= removed.work;
                late.push(removed);
            }
        }
    }
    let mut timely: Vec<_> = by_sequence.into_values().collect();
    timely.sort_by_key(|r| (r.objective, r.sequence));
    owed.extend(timely);
    late.sort_by_key(|r| (cmp::Reverse(to_key(r.density(now))), r.sequence));
    (owed, late)
}

/// Returns the request that leaves a full queue: of the lowest tier, the late one with the least value for its slot
/// time, or the one with the least value if none is late. Requests of groups below the fairness bound leave last.
pub fn first_to_leave(now: clock::Millis, places: &[Place]) -> Option<ids::Ticket> {
    let lowest = places.iter().map(|p| p.waiting.tier).max()?;
    let of_tier = places.iter().filter(|p| p.waiting.tier == lowest);
    let order = |place: &&Place| {
        let request = place.waiting;
        let density = to_key(request.density(now));
        let sequence = cmp::Reverse(request.sequence);
        (request.owed, place.is_timely, density, sequence)
    };
    of_tier.min_by_key(order).map(|p| p.waiting.ticket)
}

/// Decides on each of the waiting requests, in the order of their places. `late_share` returns the share of slots that
/// requests in time leave to late ones of a tier.
pub fn decide(
    now: clock::Millis,
    capacity: Capacity,
    places: &[Place],
    late_share: impl Fn(u8) -> f64,
) -> Vec<Decision> {
    let mut late_work = 0.0;
    let mut decide_place = |(at, place): (usize, &Place)| {
        let request = place.waiting;
        let refused = |check| Decision::No {
            check,
            retry_after: millis(place.wait),
        };
        let is_servable = |wait: f64| now + millis(wait) + millis(request.work) <= request.deadline;
        if at < capacity.free {
            return Decision::Now;
        }
        if !is_servable(place.wait) {
            return refused(Check::Wait);
        }
        if place.is_timely {
            return Decision::Later;
        }
        let share = late_share(request.tier).max(f64::MIN_POSITIVE);
        if !is_servable(capacity.wait(usize::MAX, late_work) / share) {
            return refused(Check::Late);
        }
        late_work += request.work;
        Decision::Later
    };
    places.iter().enumerate().map(&mut decide_place).collect()
}

/// Returns the work rounded to a power of two. What a request is worth to its caller is not known, so a smaller
/// difference in work does not put one request before another.
fn rounded(work: f64) -> f64 {
    work.max(1.0).log2().round().exp2()
}

/// Returns a number that orders densities as they are ordered themselves; densities are not negative.
fn to_key(density: f64) -> u64 {
    density.to_bits()
}

fn millis(span: f64) -> clock::Millis {
    clock::Millis(span.ceil() as u64)
}

/// A group of requests of one tier, whose served share is bounded from below.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    All(u8),
    Organisation(u8, u64),
    Kind(u8, cost::Kind),
}

/// The requests of a group that got a slot or were refused, which fade over [`TALLY_SPAN`].
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    ended: f64,
    served: f64,
    at: clock::Millis,
}

impl Tally {
    fn add(&mut self, now: clock::Millis, served: bool) {
        let kept = fade(now - self.at, TALLY_SPAN);
        self.ended = self.ended * kept + 1.0;
        self.served = self.served * kept + f64::from(u8::from(served));
        self.at = now;
    }

    fn share(&self) -> f64 {
        self.served / self.ended.max(f64::MIN_POSITIVE)
    }
}

/// The usual rate of an organisation.
#[derive(Clone, Copy, Debug)]
struct Usual {
    since: clock::Millis,
    at: clock::Millis,
    /// The requests per ms, without those beyond the usual rate, so that a surge does not become usual.
    rate: f64,
    /// The requests that it may send without excess.
    credit: f64,
    /// When it last sent a request beyond its usual rate.
    exceeded: Option<clock::Millis>,
}

impl Usual {
    fn new(now: clock::Millis) -> Usual {
        Usual {
            since: now,
            at: now,
            rate: 0.0,
            credit: MIN_CREDIT,
            exceeded: None,
        }
    }

    /// Counts a request and returns the weight of its value.
    fn add(&mut self, now: clock::Millis) -> f64 {
        let passed = now - self.at;
        self.at = now;
        if now - self.since < USUAL_AGE {
            self.rate += 1.0 / USUAL_AGE.0 as f64;
            return 1.0;
        }
        self.rate *= fade(passed, USUAL_SPAN);
        let allowed = (self.rate * USUAL_MULTIPLE).max(MIN_RATE);
        let most = (allowed * CREDIT_SPAN).max(MIN_CREDIT);
        self.credit = (self.credit + allowed * passed.0 as f64).min(most);
        if self.credit < 1.0 {
            self.exceeded = Some(now);
            return EXCESS_WEIGHT;
        }
        self.credit -= 1.0;
        self.rate += 1.0 / USUAL_SPAN.0 as f64;
        let floods = self.exceeded.is_some_and(|at| now - at < FLOOD_SPAN);
        if floods { FLOOD_WEIGHT } else { 1.0 }
    }
}

fn fade(passed: clock::Millis, span: clock::Millis) -> f64 {
    (-(passed.0 as f64) / span.0 as f64).exp()
}

/// How often the organisations and kinds of a cell are served, and the usual rates of the organisations.
///
/// Organisation 0 and route 0 stand for unknown ones, which form no group.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    groups: BTreeMap<Group, Tally>,
    usual: BTreeMap<u64, Usual>,
    swept: clock::Millis,
}

impl Ledger {
    /// Counts the arrival of a request and returns the weight of its value.
    pub fn arrive(&mut self, now: clock::Millis, organisation: u64) -> f64 {
        self.sweep(now);
        if organisation == 0 {
            return 1.0;
        }
        let usual = self.usual.entry(organisation);
        usual.or_insert_with(|| Usual::new(now)).add(now)
    }

    /// Counts a request that got its first slot (`served`) or was refused without one.
    pub fn end(
        &mut self,
        now: clock::Millis,
        tier: u8,
        organisation: u64,
        kind: cost::Kind,
        served: bool,
    ) {
        let all = [Group::All(tier)].into_iter();
        for group in all.chain(groups(tier, organisation, kind)) {
            self.groups.entry(group).or_default().add(now, served);
        }
    }

    /// Returns whether the request's organisation or kind is served below the fairness bound.
    pub fn is_owed(&self, tier: u8, organisation: u64, kind: cost::Kind) -> bool {
        let Some(all) = self.groups.get(&Group::All(tier)) else {
            return false;
        };
        let bound = FLOOR * all.share();
        let mut tallies = groups(tier, organisation, kind).filter_map(|g| self.groups.get(&g));
        tallies.any(|tally| tally.share() < bound)
    }

    fn sweep(&mut self, now: clock::Millis) {
        if now - self.swept < SWEEP_INTERVAL {
            return;
        }
        self.swept = now;
        self.groups.retain(|_, t| now - t.at < RETENTION);
        self.usual.retain(|_, u| now - u.at < RETENTION);
    }
}

fn groups(tier: u8, organisation: u64, kind: cost::Kind) -> impl Iterator<Item = Group> {
    let organisation = (organisation != 0).then_some(Group::Organisation(tier, organisation));
    let kind = (kind.route != 0).then_some(Group::Kind(tier, kind));
    organisation.into_iter().chain(kind)
}

/// Why a request was refused or delayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Event {
    /// The tier of the request.
    pub tier: u8,
    /// The check that refused or delayed it.
    pub check: Check,
    /// Whether it was refused; otherwise it was delayed.
    pub refused: bool,
}

/// The numbers of refused and delayed requests since they were last taken.
#[derive(Clone, Debug, Default)]
pub struct Counts(BTreeMap<Event, u64>);

impl Counts {
    /// Counts one request.
    pub fn add(&mut self, event: Event) {
        *self.0.entry(event).or_default() += 1;
    }

    /// Returns the numbers and starts again from zero.
    pub fn take(&mut self) -> BTreeMap<Event, u64> {
        std::mem::take(&mut self.0)
    }
}
