//! The test binary of the library: one module a topic.

mod findings;
mod quic;
mod support;
