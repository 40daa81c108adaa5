//! The memory budget of one daemon: counts the bytes that it may hold, and decides which request is refused when they
//! are used up.
//!
//! Load pattern: many uploads at a time, callers that stop reading, and targets that read slowly. A process that exceeds
//! its memory is killed with all requests in flight, so bytes are reserved before they are received. A request reserves
//! the most that it can hold at one time, by kind, and each kind is released as soon as it is no longer held. So the sum
//! of what is held stays within the limit by construction.
//!
//! If a request does not fit, the cheapest one to refuse is refused: one of the lowest tier, and the largest of them. A
//! request that may have run is never refused, nor is a stream of another daemon that has been accepted.

use std::collections::{BTreeMap, BTreeSet};

/// The share of the limit, in percent, that requests with bodies to buffer may fill. The rest is left for short
/// requests, which are served on while large bodies pass through slow links.
const BODY_SHARE_PCT: u64 = 75;
/// How many times as large a request must be to be displaced by one of the same tier. Requests of similar size would
/// otherwise displace each other without a gain.
const SIZE_RATIO: u64 = 2;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The state of a request, its head and its stream to a home.
    Queued,
    /// The buffered start of a request body, which a resend sends again.
    Replay,
    /// The buffers between a caller that sends a body and its target.
    Upload,
    /// The buffers between a target that sends a response and its caller.
    Response,
    /// The streams of other daemons: slot requests and relayed requests.
    Peer,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 5] = [
        Kind::Queued,
        Kind::Replay,
        Kind::Upload,
        Kind::Response,
        Kind::Peer,
    ];

    /// Returns the name that is used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Queued => "queued",
            Kind::Replay => "replay",
            Kind::Upload => "upload",
            Kind::Response => "response",
            Kind::Peer => "peer",
        }
    }
}

/// Numbers of bytes by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Amounts([u64; Kind::ALL.len()]);

impl Amounts {
    /// Returns these amounts with that of `kind` replaced.
    #[must_use]
    pub fn with(mut self, kind: Kind, bytes: u64) -> Amounts {
        self.0[kind as usize] = bytes;
        self
    }

    /// Returns the bytes of one kind.
    pub fn of(&self, kind: Kind) -> u64 {
        self.0[kind as usize]
    }

    /// Returns the sum over all kinds.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    fn has_body(&self) -> bool {
        self.of(Kind::Replay) + self.of(Kind::Upload) > 0
    }

    fn add(&mut self, other: &Amounts) {
        for (sum, bytes) in self.0.iter_mut().zip(other.0) {
            *sum += bytes;
        }
    }

    /// Sets the amount of one kind to zero, and returns what it was.
    fn take(&mut self, kind: Kind) -> u64 {
        std::mem::take(&mut self.0[kind as usize])
    }
}

/// The identifier of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Reservation(u64);

/// The decision about a request that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The bytes are reserved. The displaced requests have lost their reservations and are to be refused.
    Admitted {
        /// The reservation.
        reservation: Reservation,
        /// The requests that were displaced.
        displaced: Vec<Reservation>,
    },
    /// The request does not fit, and no cheaper requests make room for it.
    Refused,
}

#[derive(Debug)]
struct Holder {
    tier: u8,
    amounts: Amounts,
    /// The total at the admission, by which the holder is ordered.
    size: u64,
}

/// The reservations of one daemon.
#[derive(Debug)]
pub struct Budget {
    limit: u64,
    held: Amounts,
    holders: BTreeMap<Reservation, Holder>,
    /// The holders that may be displaced, by tier and size; the last one is the cheapest to refuse.
    displaceable: BTreeSet<(u8, u64, Reservation)>,
    next: u64,
}

impl Budget {
    /// Creates a budget of `limit` bytes, none of which are held.
    pub fn new(limit: u64) -> Budget {
        Budget {
            limit,
            held: Amounts::default(),
            holders: BTreeMap::new(),
            displaceable: BTreeSet::new(),
            next: 0,
        }
    }

    /// Returns the bytes that are held by kind.
    pub fn held(&self) -> Amounts {
        self.held
    }

    /// Reserves `amounts` for a request of `tier`, and displaces requests that are cheaper to refuse if it needs their
    /// room. Nothing is displaced for a request that is refused.
    pub fn admit(&mut self, tier: u8, amounts: Amounts) -> Admission {
        let Some(displaced) = self.make_room(tier, &amounts) else {
            return Admission::Refused;
        };
        for reservation in &displaced {
            self.end(*reservation);
        }
        Admission::Admitted {
            reservation: self.insert(tier, amounts, false),
            displaced,
        }
    }

    /// Reserves `amounts` for a stream of another daemon, which displaces no request and is never displaced.
    pub fn admit_stream(&mut self, amounts: Amounts) -> Option<Reservation> {
        let fits = self.missing(&amounts) == 0;
        fits.then(|| self.insert(u8::MAX, amounts, true))
    }

    /// Protects a request from being displaced, before anything of it is sent to a target. Returns whether the request
    /// still has its reservation; if not, it must not be sent.
    pub fn pin(&mut self, reservation: Reservation) -> bool {
        let Some(holder) = self.holders.get(&reservation) else {
            return false;
        };
        self.displaceable
            .remove(&(holder.tier, holder.size, reservation));
        true
    }

    /// Releases the bytes of one kind.
    pub fn release(&mut self, reservation: Reservation, kind: Kind) {
        let Some(holder) = self.holders.get_mut(&reservation) else {
            return;
        };
        let bytes = holder.amounts.take(kind);
        let is_empty = holder.amounts.total() == 0;
        self.held.0[kind as usize] -= bytes;
        if is_empty {
            self.end(reservation);
        }
    }

    /// Releases all bytes of a reservation.
    pub fn end(&mut self, reservation: Reservation) {
        let Some(holder) = self.holders.remove(&reservation) else {
            return;
        };
        self.displaceable
            .remove(&(holder.tier, holder.size, reservation));
        for kind in Kind::ALL {
            self.held.0[kind as usize] -= holder.amounts.of(kind);
        }
    }

    /// Returns how many bytes exceed the limit once `amounts` are held too.
    fn missing(&self, amounts: &Amounts) -> u64 {
        let limit = match amounts.has_body() {
            true => self.limit / 100 * BODY_SHARE_PCT,
            false => self.limit,
        };
        (self.held.total() + amounts.total()).saturating_sub(limit)
    }

    /// Returns the requests to displace so that `amounts` fit; absent if the new request is the cheapest to refuse.
    fn make_room(&self, tier: u8, amounts: &Amounts) -> Option<Vec<Reservation>> {
        let size = amounts.total();
        let mut missing = self.missing(amounts);
        let mut displaced = Vec::new();
        for (other, other_size, reservation) in self.displaceable.iter().rev() {
            let is_cheaper =
                *other > tier || (*other == tier && *other_size >= size.saturating_mul(SIZE_RATIO));
            if missing == 0 || !is_cheaper {
                break;
            }
            let freed = self.holders.get(reservation);
            missing = missing.saturating_sub(freed.map_or(0, |h| h.amounts.total()));
            displaced.push(*reservation);
        }
        (missing == 0).then_some(displaced)
    }

    fn insert(&mut self, tier: u8, amounts: Amounts, pinned: bool) -> Reservation {
        let reservation = Reservation(self.next);
        self.next += 1;
        let size = amounts.total();
        self.held.add(&amounts);
        if !pinned {
            self.displaceable.insert((tier, size, reservation));
        }
        let holder = Holder {
            tier,
            amounts,
            size,
        };
        self.holders.insert(reservation, holder);
        reservation
    }
}
