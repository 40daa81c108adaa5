//! Data that the other layers work on: time, identifiers, settings, the bundle and the time line of events.

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
