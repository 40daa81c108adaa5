//! What peers send on their connections, and the end of connections that nobody uses.
//!
//! An idle connection ends in agreement: each end says by an empty stream in one direction that it opens no more
//! streams, and stays for those that were opened meanwhile.

use std::sync::Arc;

use bytes::Bytes;
use rustls_pki_types::CertificateDer;
use tokio::time;

use crate::protocol::frame;
use crate::state::clock;
use crate::transport::keys;
use crate::transport::quic::pool::Link;
use crate::transport::quic::stream::{RecvStream, SendStream};
use crate::transport::quic::watch::{Look, Watch};
use crate::transport::quic::{Incoming, Inner};

/// How long an accepted connection may take for its handshake.
const ACCEPT_TIMEOUT: clock::Millis = clock::Millis(2_000);
/// How long a new stream may take to say what it is for.
const PURPOSE_TIMEOUT: clock::Millis = clock::Millis(2_000);
/// The code of a connection that closes because the peer is silent.
const SILENT: u32 = 2;
/// How long an end stays for streams, after both have said that they open no more.
const LINGER: clock::Millis = clock::Millis(3_000);

/// Takes in connections until the endpoint closes.
pub(super) async fn accept_connections(inner: Arc<Inner>) {
    while let Some(incoming) = inner.endpoint.accept().await {
        tokio::spawn(accept_connection(inner.clone(), incoming));
    }
}

async fn accept_connection(inner: Arc<Inner>, incoming: quinn::Incoming) {
    let remote = incoming.remote_address();
    let Ok(Ok(connection)) = time::timeout(ACCEPT_TIMEOUT.span(), incoming).await else {
        log::debug!("the handshake with {remote} failed");
        return;
    };
    let Some(name) = name_of_peer(&connection) else {
        connection.close(quinn::VarInt::from_u32(1), b"no name");
        return;
    };
    let link = Link::new(&name, connection, None);
    inner.pool.slot(&name).offer(&link);
    serve(inner, link).await;
}

fn name_of_peer(connection: &quinn::Connection) -> Option<String> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    keys::daemon_name(chain.first()?).ok()
}

/// Hands over what the peer sends on one connection, until it closes, falls silent or is idle.
pub(super) async fn serve(inner: Arc<Inner>, link: Arc<Link>) {
    let mut watch = Watch::new(&inner.timing);
    let mut looks = time::interval(watch.look.span());
    looks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            going = take_up(&inner, &link) => if !going { break },
            retired = link.connection.accept_uni() => {
                if retired.is_ok() {
                    inner.pool.remove(&link);
                    let _ = retire(&link).await;
                    linger(&inner, &link).await;
                }
                break;
            },
            _ = looks.tick() => match watch.look(&link) {
                Look::Used => {}
                // The peer acknowledges it, and takes no notice otherwise.
                Look::Quiet => drop(link.connection.send_datagram(Bytes::new())),
                Look::Silent => {
                    link.connection.close(SILENT.into(), b"silent");
                    break;
                }
                Look::Idle => {
                    inner.pool.remove(&link);
                    if retire(&link).await.is_ok() {
                        await_retirement(&inner, &link).await;
                        linger(&inner, &link).await;
                    }
                    break;
                }
            },
        }
    }
    inner.pool.remove(&link);
}

/// Takes up one stream or datagram; returns whether the connection lives.
async fn take_up(inner: &Arc<Inner>, link: &Arc<Link>) -> bool {
    let from = link.peer.clone();
    tokio::select! {
        stream = link.connection.accept_bi() => match stream {
            Ok(stream) => {
                let (send, recv) = link.streams.count(stream);
                link.allow_more();
                tokio::spawn(accept_stream(inner.clone(), from, send, recv));
                true
            }
            Err(_) => false,
        },
        datagram = link.connection.read_datagram() => match datagram {
            Ok(bytes) if bytes.is_empty() => true,
            Ok(bytes) => {
                // A datagram may be lost anyway, and must not hold up the streams.
                let _ = inner.incoming.try_send(Incoming::Datagram { from, bytes });
                true
            }
            Err(_) => false,
        },
    }
}

async fn accept_stream(inner: Arc<Inner>, from: String, send: SendStream, mut recv: RecvStream) {
    let purpose = time::timeout(PURPOSE_TIMEOUT.span(), frame::receive(&mut recv)).await;
    let Ok(Ok(purpose)) = purpose else {
        log::debug!("a stream of {from} does not say what it is for");
        return;
    };
    let stream = Incoming::Stream {
        from,
        purpose,
        send,
        recv,
    };
    let _ = inner.incoming.send(stream).await;
}

/// Says that this end opens no more streams on the connection.
async fn retire(link: &Link) -> Result<(), quinn::ConnectionError> {
    let mut signal = link.connection.open_uni().await?;
    let _ = signal.finish();
    Ok(())
}

/// Serves the connection until the peer too says that it opens no more streams, or closes.
async fn await_retirement(inner: &Arc<Inner>, link: &Arc<Link>) {
    loop {
        tokio::select! {
            going = take_up(inner, link) => if !going { return },
            _ = link.connection.accept_uni() => return,
        }
    }
}

/// Serves the connection until all streams have ended that were opened before both ends retired.
async fn linger(inner: &Arc<Inner>, link: &Arc<Link>) {
    let mut looks = time::interval(LINGER.span());
    looks.tick().await;
    loop {
        tokio::select! {
            going = take_up(inner, link) => if !going { return },
            _ = looks.tick() => if link.streams.is_empty() { return },
        }
    }
}
