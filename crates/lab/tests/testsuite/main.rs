//! Tests with the stand-ins but without a fleet of processes: the stand-ins and the load generator themselves, and each
//! shared part of the daemon against the fake platform. One module per topic.

mod claims;
mod follower;
mod lease;
mod membership;
mod membership_properties;
mod peers;
mod platform;
mod rollout;
mod standins;
mod support;
mod tool;
