//! The daemon: actors that carry the state machines of [`crate::coordination`] over [`crate::transport`].
//!
//! [`run`] starts them in order: time line, peers, membership, what brings bundles (follower or registry), cells, entry,
//! admin. An [`entry`] takes a caller's request and picks a cell and its [`home`]; the home asks its [`cell`] actor for a
//! slot; the entry sends the request to the target ([`exchange`]) and streams the answer back ([`forward`]).

pub mod admin;
pub mod broadcast;
pub mod cell;
pub mod claim;
pub mod claims;
pub mod control;
pub mod entry;
pub mod exchange;
mod feeds;
pub mod follower;
pub mod forward;
pub mod home;
pub mod lease;
pub mod links;
pub mod member;
pub mod metrics;
mod node;
pub mod registry;
mod stop;

pub use node::{ConfigSource, Error, Parts, run, run_with, stop_signal};
