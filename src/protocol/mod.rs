//! Protocols and data formats: messages between daemons, refusals to callers, header fields, and the interface to the
//! platform.

pub mod admin;
pub mod dialect;
pub mod extension;
pub mod frame;
pub mod gossip;
pub mod headers;
pub mod peer;
pub mod platform;
pub mod problem;
pub mod refusal;
pub mod relay;
pub mod rollout;
pub mod source;
pub mod version;
