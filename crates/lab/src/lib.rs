//! The lab's library: what its commands and tests share.

pub mod platform;
pub mod replay;
