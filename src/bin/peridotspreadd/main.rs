//! The daemon peridotspreadd.
fn main() {}
