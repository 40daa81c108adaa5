//! Builders and fakes shared by the tests.

pub(crate) mod bundles;
pub(crate) mod fleet;
pub(crate) mod hosts;
pub(crate) mod path;
