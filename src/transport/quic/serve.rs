//! Serves connections: accepts what peers send, and closes idle connections and those of unresponsive peers.
//!
//! Both ends agree to close an idle connection: each one opens an empty unidirectional stream as the signal that it
//! opens no more streams, and serves those that were opened meanwhile.

use std::sync::Arc;

use bytes::Bytes;
use rustls_pki_types::CertificateDer;
use tokio::time;

use crate::protocol::frame;
use crate::state::clock;
use crate::transport::keys;
use crate::transport::quic::monitor::{Activity, Monitor};
use crate::transport::quic::pool::Link;
use crate::transport::quic::stream::{RecvStream, SendStream};
use crate::transport::quic::{Incoming, Inner};

/// The timeout of an accepted connection's handshake.
const ACCEPT_TIMEOUT: clock::Millis = clock::Millis(2_000);
/// How long a peer may take to send the purpose of a new stream.
const PURPOSE_TIMEOUT: clock::Millis = clock::Millis(2_000);
/// The close code of a connection whose peer is unresponsive.
const UNRESPONSIVE_CODE: u32 = 2;
/// How often a connection is checked for open streams once both ends have retired it; the first check is one interval
/// later, so that streams opened meanwhile still arrive.
const LINGER_INTERVAL: clock::Millis = clock::Millis(3_000);

/// Accepts connections until the endpoint closes.
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
    let Some(name) = peer_name(&connection) else {
        connection.close(quinn::VarInt::from_u32(1), b"no name");
        return;
    };
    let link = Link::new(&name, connection, None);
    inner.pool.peer_state(&name).set_link_if_none(&link);
    serve(inner, link).await;
}

/// Returns the daemon's name in the peer's certificate.
fn peer_name(connection: &quinn::Connection) -> Option<String> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    keys::daemon_name(chain.first()?).ok()
}

/// Delivers what the peer sends on one connection until it closes, the peer is unresponsive, or the connection is idle.
pub(super) async fn serve(inner: Arc<Inner>, link: Arc<Link>) {
    let mut monitor = Monitor::new(&inner.timeouts);
    let mut checks = time::interval(monitor.interval.span());
    checks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            open = accept_next(&inner, &link) => if !open { break },
            retired = link.connection.accept_uni() => {
                if retired.is_ok() {
                    inner.pool.remove(&link);
                    let _ = retire(&link).await;
                    drain_streams(&inner, &link).await;
                }
                break;
            },
            _ = checks.tick() => match monitor.check(&link) {
                Activity::Active => {}
                // The peer acknowledges the empty datagram and otherwise ignores it.
                Activity::ProbeDue => drop(link.connection.send_datagram(Bytes::new())),
                Activity::Unresponsive => {
                    link.connection.close(UNRESPONSIVE_CODE.into(), b"silent");
                    break;
                }
                Activity::Idle => {
                    inner.pool.remove(&link);
                    if retire(&link).await.is_ok() {
                        await_retirement(&inner, &link).await;
                        drain_streams(&inner, &link).await;
                    }
                    break;
                }
            },
        }
    }
    inner.pool.remove(&link);
}

/// Accepts one stream or datagram; returns whether the connection is still open.
async fn accept_next(inner: &Arc<Inner>, link: &Arc<Link>) -> bool {
    let from = link.peer.clone();
    tokio::select! {
        stream = link.connection.accept_bi() => match stream {
            Ok(stream) => {
                let (send, recv) = link.streams.track(stream, link.version);
                link.raise_stream_limit();
                tokio::spawn(accept_stream(inner.clone(), from, send, recv));
                true
            }
            Err(_) => false,
        },
        datagram = link.connection.read_datagram() => match datagram {
            Ok(bytes) if bytes.is_empty() => true,
            Ok(bytes) => {
                // Datagrams are unreliable: one that finds the queue full is dropped, so that streams are not blocked.
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
        log::debug!("received no purpose on a stream of {from}");
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

/// Signals to the peer that this end opens no more streams on the connection.
async fn retire(link: &Link) -> Result<(), quinn::ConnectionError> {
    let mut signal = link.connection.open_uni().await?;
    let _ = signal.finish();
    Ok(())
}

/// Serves the connection until the peer signals that it opens no more streams either, or closes the connection.
async fn await_retirement(inner: &Arc<Inner>, link: &Arc<Link>) {
    loop {
        tokio::select! {
            open = accept_next(inner, link) => if !open { return },
            _ = link.connection.accept_uni() => return,
        }
    }
}

/// Serves the connection until all streams that were opened before both ends retired it have ended.
async fn drain_streams(inner: &Arc<Inner>, link: &Arc<Link>) {
    let mut checks = time::interval(LINGER_INTERVAL.span());
    checks.tick().await;
    loop {
        tokio::select! {
            open = accept_next(inner, link) => if !open { return },
            _ = checks.tick() => if link.streams.is_empty() { return },
        }
    }
}
