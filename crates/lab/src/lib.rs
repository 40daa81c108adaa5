//! Stand-ins, load generator, demonstration and measurements for peridotspread; for development only.

pub mod platform;
