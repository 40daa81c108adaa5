//! Streams to other daemons: requests to homes, in memory to this daemon's own, and notes.

use std::net;
use std::sync;

use futures_util::future;
use tokio::sync as tasks;
use tokio::time;

use crate::coordination::member;
use crate::daemon::entry;
use crate::daemon::home;
use crate::protocol::{frame, peer};
use crate::state::clock;
use crate::transport::quic;

/// The bytes that wait between this daemon's entry and its own home.
const LOCAL_BUFFER_BYTES: usize = 64 * 1024;

/// How long a note and its reply may take.
const NOTE_TIMEOUT: clock::Millis = clock::Millis(3_000);

/// Opens streams to homes.
pub struct HomeLinks {
    /// This daemon's name.
    pub name: String,
    /// The way to other daemons.
    pub peers: quic::Peers,
    /// This daemon's own home.
    pub home: sync::Arc<home::Home>,
}

impl entry::Links for HomeLinks {
    fn open<'a>(
        &'a self,
        name: &'a str,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'a, Option<(home::Reader, home::Writer)>> {
        Box::pin(async move {
            if name == self.name {
                return Some(open_local(&self.home));
            }
            match self.peers.open(name, address, peer::Purpose::Request).await {
                Ok((send, recv)) => Some((
                    Box::new(recv) as home::Reader,
                    Box::new(send) as home::Writer,
                )),
                Err(e) => {
                    log::debug!("no stream to the home {name}: {e}");
                    None
                }
            }
        })
    }
}

fn open_local(home: &sync::Arc<home::Home>) -> (home::Reader, home::Writer) {
    let (near, far) = tokio::io::duplex(LOCAL_BUFFER_BYTES);
    let (far_recv, far_send) = tokio::io::split(far);
    let home = home.clone();
    tokio::spawn(async move {
        if let Err(e) = home.serve(Box::new(far_recv), Box::new(far_send)).await {
            log::debug!("a request's stream ended: {e}");
        }
    });
    let (recv, send) = tokio::io::split(near);
    (Box::new(recv), Box::new(send))
}

/// Sends notes to daemons of the view.
pub struct ControlLinks {
    /// The way to other daemons.
    pub peers: quic::Peers,
    /// The live daemons.
    pub view: tasks::watch::Receiver<sync::Arc<member::View>>,
}

impl peer::ControlSender for ControlLinks {
    fn send<'a>(
        &'a self,
        to: &'a str,
        note: peer::ControlMessage,
    ) -> future::BoxFuture<'a, Result<peer::ControlMessage, peer::NoReply>> {
        Box::pin(async move {
            let no_reply = |reason: String| peer::NoReply {
                to: to.to_owned(),
                reason,
            };
            let address = self.view.borrow().members.get(to).map(|m| m.peer);
            let address = address.ok_or_else(|| no_reply("it is not in the fleet".to_owned()))?;
            let exchange = self.exchange(to, address, &note);
            match time::timeout(NOTE_TIMEOUT.span(), exchange).await {
                Ok(reply) => reply.map_err(no_reply),
                Err(_) => Err(no_reply(format!("no reply within {NOTE_TIMEOUT}"))),
            }
        })
    }
}

impl ControlLinks {
    async fn exchange(
        &self,
        to: &str,
        address: net::SocketAddr,
        note: &peer::ControlMessage,
    ) -> Result<peer::ControlMessage, String> {
        let opened = self.peers.open(to, address, peer::Purpose::Control).await;
        let (mut send, mut recv) = opened.map_err(|e| e.to_string())?;
        frame::send(&mut send, note)
            .await
            .map_err(|e| e.to_string())?;
        frame::receive(&mut recv).await.map_err(|e| e.to_string())
    }
}
