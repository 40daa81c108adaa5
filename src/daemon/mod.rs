//! The daemon: actors that run the state machines of [`crate::coordination`] over [`crate::transport`].
//!
//! [`run`] starts them in order: time line, peers, membership, source of bundles (follower or registry), home, entry,
//! admin interface.
//!
//! A request is served as follows: the [`entry`] receives it, selects a cell and its [`home`], and requests a slot
//! there; the home passes that to the actor of the [`cell`], which grants a slot at a target. The entry sends the
//! request to the target ([`exchange`]) and streams the response to the caller ([`forward`]). A daemon that reaches no
//! target opens its connections ([`egress`]) through other daemons ([`relay`]).

pub mod admin;
mod background;
pub mod broadcast;
pub mod cell;
pub mod claim;
pub mod claims;
pub mod control;
pub mod egress;
pub mod entry;
pub mod exchange;
pub mod follower;
pub mod forward;
pub mod freshness;
pub mod home;
pub mod lease;
pub mod links;
pub mod member;
pub mod memory;
pub mod metrics;
mod node;
pub mod quota;
pub mod registry;
pub mod relay;
pub mod shutdown;
mod stop;

pub use node::{ConfigSource, Error, Parts, run, run_with, stop_signal};
