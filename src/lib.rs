//! peridotspread: a proxy fleet for targets that fail by degrees.
//!
//! The crate is laid out in four layers. [`transport`] moves bytes, [`protocol`] gives them meaning, [`coordination`]
//! takes the decisions as state machines without I/O, and [`state`] holds what they decide on. [`daemon`] composes the
//! layers into the process that serves, and [`ops`] into the operations of the command-line tool.

pub mod coordination;
pub mod daemon;
pub mod logs;
pub mod ops;
pub mod protocol;
pub mod state;
pub mod transport;
