//! Measurements of single parts, as slopes over the fleet's size.

pub mod connections;
pub mod membership;
mod usage;
