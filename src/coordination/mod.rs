//! The decisions, as state machines without I/O: events with times go in, actions come out.
//!
//! Actors in [`crate::daemon`] carry the events and actions, and the replay of recorded traces drives the same code.

pub mod adoption;
pub mod breadth;
pub mod cell;
pub mod claims;
pub mod ejection;
pub mod evidence;
pub mod failure_model;
pub mod fanout;
pub mod homes;
pub mod lease;
pub mod member;
pub mod outlier;
pub mod quarantine;
mod random;
pub mod readers;
pub mod registry;
pub mod retry;
pub mod trial;
