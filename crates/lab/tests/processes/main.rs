//! Tests with real daemons as processes: kills, pauses, cuts, outages of the platform, rollouts and graceful shutdowns.
//!
//! Each test puts a small fleet under load, injects faults, and checks the counts of the stand-ins and the load
//! generator. Seeds are fixed, and tests wait for conditions instead of fixed times.

mod builds;
mod cut;
mod drain;
mod freeze;
mod kill;
mod platform;
mod rollout;
mod support;
mod together;
