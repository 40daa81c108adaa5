//! The operations of the command-line tool, as free functions with one options struct each.

pub mod fleet;
pub mod rollout;
pub mod timeline;

pub use rollout::{RolloutOptions, rollout};
