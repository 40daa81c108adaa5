//! Quotas of organisations over the whole fleet, as token buckets whose tokens are handed out to homes.
//!
//! The load: an organisation's requests arrive at the homes of all cells of all services that it uses, so at up to some
//! hundred daemons. Most organisations have a limit of a few requests per second, fewer than they have homes. The rule
//! is a number of runs per window over all daemons, whether or not they reach each other.
//!
//! One daemon, the [`Holder`], keeps the bucket of an organisation. A [`Home`] spends one token for each request. It
//! keeps a small stock for organisations with steady traffic, and asks for the tokens of the others when their requests
//! arrive. No request goes ahead of its token: with one such request per home, an organisation with a limit of 3
//! requests per second and 100 homes would exceed its quota by 100. [`Ranking`] selects the holder of each organisation.
//!
//! The tokens in a bucket and in the stocks of homes are at most [`Limit::capacity`] at any time, and tokens accrue at
//! the rate of the limit. So the tokens that are spent in a window are at most those of the window's start plus those
//! that accrue during it, without any agreement between homes.

use crate::protocol::peer;
use crate::state::bundle;
use crate::state::clock;

mod blocks;
mod holder;
mod home;
mod ranking;

pub use blocks::Blocks;
pub use holder::Holder;
pub use home::{Ask, HeldBack, Home, Ticket, Verdict};
pub use ranking::Ranking;

/// The tokens that a bucket holds beyond the burst of its organisation, since the requests of a small organisation arrive
/// at random times. The rule tolerates 20 and a tenth of the quota; the rest is left for changes of holders.
const MARGIN: f64 = 12.0;

/// The quota of an organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// The rate, in requests per second.
    pub rate: f64,
    /// The number of requests beyond the rate that may arrive at once.
    pub burst: f64,
}

impl Limit {
    /// Returns the limit of an organisation; `None` if it has none.
    pub fn of(organisation: &bundle::Organisation) -> Option<Limit> {
        let rate = organisation.rate.filter(|r| *r > 0.0)?;
        Some(Limit {
            rate,
            burst: organisation.burst.max(0.0),
        })
    }

    /// Returns the most tokens that exist of an organisation at a time, at its holder and all homes.
    pub fn capacity(&self) -> f64 {
        self.burst + MARGIN
    }

    /// Returns the time in which `tokens` accrue at a fraction `share` of the rate.
    fn time_for(&self, tokens: f64, share: f64) -> clock::Millis {
        let rate = (self.rate * share).max(f64::MIN_POSITIVE);
        clock::Millis((tokens.max(0.0) / rate * 1_000.0).ceil() as u64)
    }
}

impl From<&peer::TokenNeed> for Limit {
    /// Returns the limit that a home states; one that is no positive number counts as zero.
    fn from(need: &peer::TokenNeed) -> Limit {
        Limit {
            rate: need.rate.max(0.0),
            burst: need.burst.max(0.0),
        }
    }
}
