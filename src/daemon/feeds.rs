//! Feeds: what runs beside the daemon's actors and passes news from one part to the next.

use std::sync;

use tokio::{sync as tasks, time};

use crate::coordination::member as membership;
use crate::daemon::{control, home, member};
use crate::protocol::{peer, platform};
use crate::state::{bundle, clock, settings};
use crate::transport::{pool, quic};

/// The time between two readings of the list of hosts.
const HOSTS_SPAN: clock::Millis = clock::Millis(30_000);
/// The time between two readings while no other daemon is known.
const ALONE_SPAN: clock::Millis = clock::Millis(500);
/// The time between two sweeps of idle connections to targets.
const SWEEP_SPAN: clock::Millis = clock::Millis(5_000);

/// Hands what comes from peers to its place.
pub(super) async fn accept_peers(
    mut incoming: tasks::mpsc::Receiver<quic::Incoming>,
    home: sync::Arc<home::Home>,
    members: member::Handle,
    router: sync::Arc<control::ControlRouter>,
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
                        log::debug!("a request's stream from {from} ended: {e}");
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
                        log::debug!("a note of {from} was not answered: {e}");
                    }
                });
            }
        }
    }
}

/// Passes each bundle that comes into force to the membership and the cells.
pub(super) async fn pass_on_bundles(
    mut bundle: tasks::watch::Receiver<sync::Arc<bundle::Bundle>>,
    home: sync::Arc<home::Home>,
    members: member::Handle,
) {
    while bundle.changed().await.is_ok() {
        let current = bundle.borrow_and_update().clone();
        members.set_version(current.version);
        home.apply_bundle(&current).await;
    }
}

/// Passes what each bundle says of callers to the server for them.
pub(super) async fn pass_on_limits(
    mut bundle: tasks::watch::Receiver<sync::Arc<bundle::Bundle>>,
    limits: tasks::watch::Sender<settings::Limits>,
) {
    let own = limits.borrow().clone();
    while bundle.changed().await.is_ok() {
        let current = bundle.borrow_and_update().clone();
        let next = own.with_caller_limits(current.callers.as_ref());
        limits.send_if_modified(|held| {
            let changed = *held != next;
            *held = next;
            changed
        });
    }
}

/// Passes each change of the live daemons to the cells.
pub(super) async fn pass_on_views(
    mut view: tasks::watch::Receiver<sync::Arc<membership::View>>,
    home: sync::Arc<home::Home>,
) {
    while view.changed().await.is_ok() {
        let current = view.borrow_and_update().clone();
        home.drain_moved_cells(&current).await;
    }
}

/// Tells the membership of the platform's hosts, often while it knows of no others and rarely after that.
pub(super) async fn follow_hosts(hosts: sync::Arc<dyn platform::Hosts>, members: member::Handle) {
    loop {
        match hosts.hosts().await {
            Ok(hosts) => members.set_hosts(&hosts),
            Err(e) => log::warn!("the list of hosts can't be read: {e}"),
        }
        // Those that the list has named need a moment to answer.
        time::sleep(ALONE_SPAN.span()).await;
        if members.view().borrow().members.len() > 1 {
            time::sleep(HOSTS_SPAN.span()).await;
        }
    }
}

/// Closes idle connections to targets from time to time.
pub(super) async fn sweep(pool: sync::Arc<pool::Pool>) {
    loop {
        time::sleep(SWEEP_SPAN.span()).await;
        pool.close_expired();
    }
}
