//! What the daemon knows: time, identities, settings, the bundle and the record of events.

pub mod bundle;
pub mod clock;
pub mod findings;
pub mod hash;
pub mod ids;
pub mod index;
pub mod operator;
pub mod reader;
pub mod settings;
pub mod timeline;
