//! The decisions of a daemon, as state machines without I/O that turn timed events into actions.
//!
//! The actors in [`crate::daemon`] deliver the events and carry out the actions. The replay of recorded traces drives
//! the same code.

pub mod adoption;
pub mod breadth;
pub mod cell;
pub mod claims;
pub mod cost;
pub mod egress;
pub mod ejection;
pub mod escalation;
pub mod evidence;
pub mod failure_model;
pub mod fanout;
pub mod homes;
pub mod lease;
pub mod log_limit;
pub mod member;
pub mod memory;
pub mod outlier;
pub mod quarantine;
pub mod quota;
mod random;
pub mod rate_limit;
pub mod readers;
pub mod registry;
pub mod reply_time;
pub mod retry;
pub mod route_changes;
pub mod scarcity;
pub mod shutdown;
pub mod statements;
pub mod trial;
