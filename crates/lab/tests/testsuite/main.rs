//! Tests of the stand-ins and the load generator themselves, without a fleet: what the proofs count must be countable.

mod membership;
mod membership_properties;
mod peers;
mod standins;
