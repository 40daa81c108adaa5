//! The daemon: actors that carry the state machines of [`crate::coordination`] over [`crate::transport`].
