//! The operations of the command-line tool, as free functions with one options struct each.

pub mod rollout;

pub use rollout::{RolloutOptions, rollout};
