//! Proofs with real daemons as processes: kills, pauses, cuts, outages of the platform, rollouts and graceful shutdowns.
//!
//! Each test puts a small fleet under load, brings faults upon it, and reads counts that come from the stand-ins and the
//! load generator. Seeds are fixed, and tests wait on conditions.

mod cut;
mod drain;
mod freeze;
mod kill;
mod platform;
mod rollout;
mod support;
mod together;
