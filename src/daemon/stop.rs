//! Stops an actor when its last handle is dropped.

use ractor::{ActorRef, Message};

/// A reference to an actor that stops it when dropped.
pub(super) struct StopOnDrop<M: Message>(pub(super) ActorRef<M>);

impl<M: Message> Drop for StopOnDrop<M> {
    fn drop(&mut self) {
        self.0.stop(None);
    }
}
