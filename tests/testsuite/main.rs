//! The test binary of the library: one module a topic.

mod bundle;
mod check;
mod findings;
mod homes;
mod quic;
mod support;
