//! What moves the bytes: QUIC between daemons, HTTP to callers and targets, and the client of the platform.

pub mod platform;
