//! The end of an actor with its last handle.

use ractor::{ActorRef, Message};

/// Stops the actor when dropped.
pub(super) struct Stop<M: Message>(pub(super) ActorRef<M>);

impl<M: Message> Drop for Stop<M> {
    fn drop(&mut self) {
        self.0.stop(None);
    }
}
