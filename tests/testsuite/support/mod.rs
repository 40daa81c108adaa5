//! What the tests share.

pub(crate) mod bundles;
pub(crate) mod fleet;
pub(crate) mod path;
