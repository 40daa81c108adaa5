//! peridotspread: a fleet of HTTP proxies for targets that fail gradually rather than all at once.
//!
//! The crate has four layers. [`transport`] handles connections, [`protocol`] defines the messages, [`coordination`]
//! makes the decisions in state machines without I/O, and [`state`] holds the data that they work on. [`daemon`]
//! composes the layers into the server process, and [`ops`] into the operations of the command-line tool.

pub mod coordination;
pub mod daemon;
pub mod logs;
pub mod ops;
pub mod protocol;
pub mod state;
pub mod transport;
