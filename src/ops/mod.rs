//! The operations of the command-line tool, as free functions that take an options struct.

pub mod fleet;
pub mod rollout;
pub mod timeline;

pub use rollout::{RolloutOptions, rollout};
