//! Network transport: QUIC between daemons, HTTP to callers and targets, and the client of the platform.

pub mod body;
pub mod channel;
pub mod client;
pub mod http;
pub mod keys;
pub mod platform;
pub mod pool;
pub mod quic;
mod read_limit;
pub mod stall;
pub mod tls;
