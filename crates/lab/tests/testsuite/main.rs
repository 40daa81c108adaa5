//! What needs the stand-ins but no fleet of processes: the stand-ins and the load generator themselves, and each shared
//! part of the daemon against the platform's stand-in. One module a topic.

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
