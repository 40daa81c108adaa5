//! What the tests share.

pub(crate) mod fleet;
