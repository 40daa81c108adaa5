//! Streams to homes: over QUIC to other daemons, in memory to this daemon's own home.

use std::net;
use std::sync;

use futures_util::future;

use crate::daemon::entry;
use crate::daemon::home;
use crate::protocol::peer;
use crate::transport::quic;

/// The bytes that wait between this daemon's entry and its own home.
const LOCAL_BUFFER_BYTES: usize = 64 * 1024;

/// Opens streams to homes.
pub struct PeerLinks {
    /// This daemon's name.
    pub name: String,
    /// The way to other daemons.
    pub peers: quic::Peers,
    /// This daemon's own home.
    pub home: sync::Arc<home::Home>,
}

impl entry::Links for PeerLinks {
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
