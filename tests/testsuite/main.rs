//! The integration tests of the library: one module per topic.

mod adoption;
mod bundle;
mod cell;
mod channel;
mod check;
mod egress;
mod findings;
mod freshness;
mod homes;
mod late_changes;
mod malformed;
mod memory;
mod path;
mod quic;
mod quota;
mod readers;
mod refusal;
mod registry;
mod relay;
mod restore;
mod service;
mod shutdown;
mod store_calls;
mod support;
mod wire_forms;
mod withdrawn;
