//! Control messages from other daemons: each is routed to the part of this daemon that replies to it.

use std::sync;

use snafu::ResultExt;

use crate::daemon::{broadcast, home, quota};
use crate::protocol::{frame, peer, version};
use crate::transport::quic;

/// Routes control messages.
pub struct ControlRouter {
    /// Receives quarantined fingerprints.
    pub broadcaster: sync::Arc<broadcast::Broadcaster>,
    /// Reports the targets of the cells of which this daemon is the home.
    pub home: sync::Arc<home::Home>,
    /// Hands out tokens of quotas.
    pub quotas: sync::Arc<quota::Quotas>,
    /// Handles the messages about bundles, rules and targets.
    pub handler: sync::Arc<dyn peer::ControlHandler>,
}

impl ControlRouter {
    /// Receives one message of the daemon `from` on a stream, and sends the reply.
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
        let (mut message, extension): (peer::ControlMessage, _) =
            frame::receive_extended(&mut recv).await?;
        message.extend(&extension).context(frame::CodecSnafu)?;
        let reply = self.handle(from, send.version(), message).await;
        let extension = reply.extension().context(frame::CodecSnafu)?;
        frame::send_extended(&mut send, &reply, &extension).await
    }

    async fn handle(
        &self,
        from: &str,
        version: version::Version,
        message: peer::ControlMessage,
    ) -> peer::ControlMessage {
        match message {
            peer::ControlMessage::Quarantine { fingerprint, left } => {
                self.broadcaster.add(fingerprint, left);
                peer::ControlMessage::Ack
            }
            peer::ControlMessage::GetTargets => {
                peer::ControlMessage::Targets(self.home.target_reports().await)
            }
            peer::ControlMessage::GetTokens(request) => {
                peer::ControlMessage::Tokens(self.quotas.answer(from, *request).await)
            }
            other => self.handler.handle(from, version, other).await,
        }
    }
}
