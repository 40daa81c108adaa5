//! Answers notes from other daemons, each by the part of the daemon that it concerns.

use std::sync;

use crate::daemon::{broadcast, home};
use crate::protocol::{frame, peer};
use crate::transport::quic;

/// The parts of the daemon that notes concern.
pub struct ControlRouter {
    /// The quarantine.
    pub broadcaster: sync::Arc<broadcast::Broadcaster>,
    /// The cells here.
    pub home: sync::Arc<home::Home>,
    /// What takes the notes about bundles and targets.
    pub taker: sync::Arc<dyn peer::ControlHandler>,
}

impl ControlRouter {
    /// Serves one note that the daemon called `from` sent on a stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks.
    pub async fn serve(
        &self,
        from: &str,
        mut recv: quic::RecvStream,
        mut send: quic::SendStream,
    ) -> Result<(), frame::Error> {
        let note = frame::receive(&mut recv).await?;
        let reply = self.answer(from, note).await;
        frame::send(&mut send, &reply).await
    }

    async fn answer(&self, from: &str, note: peer::ControlMessage) -> peer::ControlMessage {
        match note {
            peer::ControlMessage::Quarantine { fingerprint, left } => {
                self.broadcaster.learn(fingerprint, left);
                peer::ControlMessage::Ack
            }
            peer::ControlMessage::GetTargets => {
                peer::ControlMessage::Targets(self.home.targets().await)
            }
            other => self.taker.handle(from, other).await,
        }
    }
}
