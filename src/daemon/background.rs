//! Background tasks that connect the parts of the daemon.
//!
//! They pass on the streams and datagrams of peers, and each change of the bundle, the live daemons and the list of
//! hosts.

use std::sync;

use tokio::{sync as tokio_sync, time};

use crate::coordination::{member as membership, readers};
use crate::daemon::{control, entry, home, member, relay};
use crate::protocol::{peer, platform};
use crate::state::{bundle, clock, settings};
use crate::transport::{pool, quic};

/// The time between two reads of the list of hosts while no other daemon is alive.
const ALONE_INTERVAL: clock::Millis = clock::Millis(500);
/// The interval at which idle connections to targets are closed if their keep-alive time has passed.
const EXPIRY_INTERVAL: clock::Millis = clock::Millis(5_000);

/// Passes the streams and datagrams of peers to the parts of the daemon that serve them.
pub(super) async fn accept_peers(
    mut incoming: tokio_sync::mpsc::Receiver<quic::Incoming>,
    home: sync::Arc<home::Home>,
    members: member::Handle,
    router: sync::Arc<control::ControlRouter>,
    relay: sync::Arc<relay::Relay>,
) {
    while let Some(item) = incoming.recv().await {
        match item {
            quic::Incoming::Stream {
                from,
                purpose: peer::Purpose::Request,
                send,
                recv,
            } => {
                let home = home.clone();
                tokio::spawn(async move {
                    if let Err(e) = home.serve(Box::new(recv), Box::new(send)).await {
                        log::debug!("the stream of a request from {from} failed: {e}");
                    }
                });
            }
            quic::Incoming::Stream {
                from,
                purpose: peer::Purpose::Relay,
                send,
                recv,
            } => {
                let relay = relay.clone();
                tokio::spawn(async move {
                    let stream = Box::new(tokio::io::join(recv, send));
                    if let Err(e) = relay.serve(stream).await {
                        log::debug!("the stream of a relayed request from {from} failed: {e}");
                    }
                });
            }
            quic::Incoming::Datagram { from, bytes } => members.deliver(from, bytes),
            quic::Incoming::Stream {
                from,
                purpose: peer::Purpose::Control,
                send,
                recv,
            } => {
                let router = router.clone();
                tokio::spawn(async move {
                    if let Err(e) = router.serve(&from, recv, send).await {
                        log::debug!("failed to reply to a control message from {from}: {e}");
                    }
                });
            }
        }
    }
}

/// Sends each new bundle to the cells, and its version to the membership.
pub(super) async fn forward_bundles(
    mut bundle: tokio_sync::watch::Receiver<sync::Arc<bundle::Bundle>>,
    home: sync::Arc<home::Home>,
    members: member::Handle,
) {
    while bundle.changed().await.is_ok() {
        let current = bundle.borrow_and_update().clone();
        members.set_version(current.version);
        home.apply_bundle(&current).await;
    }
}

/// Sends the limits for callers of each new bundle to the server for callers.
pub(super) async fn forward_limits(
    mut bundle: tokio_sync::watch::Receiver<sync::Arc<bundle::Bundle>>,
    limits: tokio_sync::watch::Sender<settings::Limits>,
) {
    let own = limits.borrow().clone();
    while bundle.changed().await.is_ok() {
        let current = bundle.borrow_and_update().clone();
        let mut next = own.with_caller_limits(current.callers.as_ref());
        if current.unknown == bundle::Unknown::Refuse {
            next.head_bytes += entry::LONG_CREDENTIAL_BYTES;
        }
        limits.send_if_modified(|sent| {
            let changed = *sent != next;
            *sent = next;
            changed
        });
    }
}

/// Sends each change of the live daemons to the home, which drains the cells that have moved.
pub(super) async fn forward_views(
    mut view: tokio_sync::watch::Receiver<sync::Arc<membership::View>>,
    home: sync::Arc<home::Home>,
) {
    while view.changed().await.is_ok() {
        let current = view.borrow_and_update().clone();
        home.drain_moved_cells(&current).await;
    }
}

/// Sends the platform's list of hosts to the membership, at short intervals while no other daemon is alive and at long
/// ones otherwise.
pub(super) async fn follow_hosts(hosts: sync::Arc<dyn platform::Hosts>, members: member::Handle) {
    loop {
        match hosts.hosts().await {
            Ok(hosts) => members.set_hosts(&hosts),
            Err(e) => log::warn!("failed to read the list of hosts: {e}"),
        }
        // The listed daemons need a moment to answer.
        time::sleep(ALONE_INTERVAL.span()).await;
        let daemons = members.view().borrow().members.len();
        if daemons > 1 {
            time::sleep(readers::hosts_interval(daemons).span()).await;
        }
    }
}

/// Closes idle connections to targets whose keep-alive time has passed.
pub(super) async fn close_idle_connections(pool: sync::Arc<pool::Pool>) {
    loop {
        time::sleep(EXPIRY_INTERVAL.span()).await;
        pool.close_expired();
    }
}
