//! The test binary of the library: one module a topic.

mod adoption;
mod bundle;
mod cell;
mod check;
mod findings;
mod homes;
mod path;
mod quic;
mod readers;
mod refusal;
mod registry;
mod support;
