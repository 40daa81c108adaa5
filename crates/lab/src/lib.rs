//! Development tools: stand-ins for targets and the platform, a load generator, a demonstration and measurements.
//!
//! The lab is the only part of the workspace that starts processes. Neither the daemon nor the command-line tool
//! depends on it.

pub mod demo;
pub mod echo;
pub mod fleet;
pub mod load;
pub mod measure;
pub mod members;
pub mod peers;
pub mod platform;
pub mod relay;
pub mod replay;
pub mod rng;
pub mod target;
pub mod trial;
pub mod watch;
