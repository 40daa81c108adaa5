//! The lab: stand-ins for targets and the platform, a load generator, the demonstration and the measurements.
//!
//! For development only; the only place that starts processes. Nothing that the daemon or the command-line tool ship
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
