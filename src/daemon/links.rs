//! Links to other daemons: streams of requests to homes, and streams of control messages.
//!
//! A stream to this daemon's own home is a pipe in memory.

use std::net;
use std::sync;

use futures_util::future;
use tokio::sync as tokio_sync;
use tokio::time;

use crate::coordination::member;
use crate::daemon::entry;
use crate::daemon::home;
use crate::daemon::quota;
use crate::protocol::{frame, peer, version};
use crate::state::clock;
use crate::transport::quic;

/// The buffer of a stream between this daemon's entry and its own home, in bytes.
const LOCAL_BUFFER_BYTES: usize = 64 * 1024;

/// How long a control message and its reply may take.
const CONTROL_TIMEOUT: clock::Millis = clock::Millis(3_000);

/// Opens streams to homes.
pub struct HomeLinks {
    /// This daemon's name.
    pub name: String,
    /// The connections to other daemons.
    pub peers: quic::Peers,
    /// This daemon's own home.
    pub home: sync::Arc<home::Home>,
}

impl entry::Links for HomeLinks {
    fn open<'a>(
        &'a self,
        name: &'a str,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'a, Option<(home::RecvHalf, home::SendHalf)>> {
        Box::pin(async move {
            if name == self.name {
                return Some(open_local(&self.home));
            }
            match self.peers.open(name, address, peer::Purpose::Request).await {
                Ok((send, recv)) => Some((
                    Box::new(recv) as home::RecvHalf,
                    Box::new(send) as home::SendHalf,
                )),
                Err(e) => {
                    log::debug!("failed to open a stream to the home {name}: {e}");
                    None
                }
            }
        })
    }
}

fn open_local(home: &sync::Arc<home::Home>) -> (home::RecvHalf, home::SendHalf) {
    let (entry_side, home_side) = tokio::io::duplex(LOCAL_BUFFER_BYTES);
    let (home_recv, home_send) = tokio::io::split(home_side);
    let home = home.clone();
    tokio::spawn(async move {
        if let Err(e) = home.serve(Box::new(home_recv), Box::new(home_send)).await {
            log::debug!("the stream of a request failed: {e}");
        }
    });
    let (recv, send) = tokio::io::split(entry_side);
    (Box::new(recv), Box::new(send))
}

/// Sends control messages to live daemons.
pub struct ControlLinks {
    /// The connections to other daemons.
    pub peers: quic::Peers,
    /// The live daemons and their addresses.
    pub view: tokio_sync::watch::Receiver<sync::Arc<member::View>>,
}

impl peer::ControlSender for ControlLinks {
    fn send_counted<'a>(
        &'a self,
        to: &'a str,
        message: peer::ControlMessage,
        arrived: &'a peer::Arrived,
    ) -> future::BoxFuture<'a, Result<peer::ControlMessage, peer::NoReply>> {
        Box::pin(async move {
            let no_reply = |reason: String| peer::NoReply {
                to: to.to_owned(),
                reason,
            };
            let address = self.view.borrow().members.get(to).map(|m| m.peer);
            let address = address.ok_or_else(|| no_reply("it is not a live daemon".to_owned()))?;
            let replied = self.request_reply(to, address, &message, arrived);
            replied.await.map_err(no_reply)
        })
    }

    fn send<'a>(
        &'a self,
        to: &'a str,
        message: peer::ControlMessage,
    ) -> future::BoxFuture<'a, Result<peer::ControlMessage, peer::NoReply>> {
        Box::pin(async move {
            let arrived = peer::Arrived::default();
            let replied = self.send_counted(to, message, &arrived);
            match time::timeout(CONTROL_TIMEOUT.span(), replied).await {
                Ok(reply) => reply,
                Err(_) => {
                    let reason = format!("no reply within {CONTROL_TIMEOUT}");
                    peer::NoReplySnafu { to, reason }.fail()
                }
            }
        })
    }
}

impl quota::Links for ControlLinks {
    fn get_tokens<'a>(
        &'a self,
        to: &'a str,
        request: peer::TokenRequest,
    ) -> future::BoxFuture<'a, Result<Option<Vec<peer::TokenLot>>, quota::NoTokens>> {
        let no_reply = quota::NoTokens::NoReply;
        Box::pin(async move {
            let address = self.view.borrow().members.get(to).map(|m| m.peer);
            let address = address.ok_or_else(|| no_reply("it is not a live daemon".to_owned()))?;
            let opened = self.peers.open(to, address, peer::Purpose::Control).await;
            let (mut send, mut recv) = opened.map_err(|e| no_reply(e.to_string()))?;
            if send.version() < version::Version::TOKENS {
                return Err(quota::NoTokens::Old);
            }
            let message = peer::ControlMessage::GetTokens(Box::new(request));
            let sent = frame::send(&mut send, &message).await;
            sent.map_err(|e| no_reply(e.to_string()))?;
            match frame::receive(&mut recv).await {
                Ok(peer::ControlMessage::Tokens(lots)) => Ok(lots),
                Ok(_) => Err(no_reply("the reply is of another kind".to_owned())),
                Err(e) => Err(no_reply(e.to_string())),
            }
        })
    }
}

impl ControlLinks {
    async fn request_reply(
        &self,
        to: &str,
        address: net::SocketAddr,
        message: &peer::ControlMessage,
        arrived: &peer::Arrived,
    ) -> Result<peer::ControlMessage, String> {
        let opened = self.peers.open(to, address, peer::Purpose::Control).await;
        let (mut send, mut recv) = opened.map_err(|e| e.to_string())?;
        let extension = message.extension().map_err(|e| e.to_string())?;
        frame::send_extended(&mut send, message, &extension)
            .await
            .map_err(|e| e.to_string())?;
        let received = frame::receive_counted(&mut recv, arrived).await;
        let (mut reply, extension): (peer::ControlMessage, _) =
            received.map_err(|e| e.to_string())?;
        reply.extend(&extension).map_err(|e| e.to_string())?;
        Ok(reply)
    }
}
