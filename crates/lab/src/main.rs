//! The lab: stand-ins for targets and the platform, a load generator, the demonstration and the measurements.
//!
//! For development only; the only place that starts processes.

fn main() {}
