//! Helpers for tests against a fake platform.

use std::collections::BTreeMap;
use std::net;
use std::sync;

use peridotspread::coordination::member;
use peridotspread::protocol::platform;
use peridotspread::state::clock;
use peridotspread::state::ids;
use peridotspread::state::settings;
use peridotspread::state::timeline;
use peridotspread::transport::platform::HttpPlatform;
use peridotspread_lab::platform as stand_in;

/// A running fake platform.
pub(crate) struct Platform {
    pub(crate) address: net::SocketAddr,
    pub(crate) handle: stand_in::Handle,
}

/// Starts a fake platform on a free port of the loopback.
pub(crate) async fn platform() -> Platform {
    let loopback = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let (address, handle) = stand_in::serve(loopback, stand_in::Options::default()).await;
    Platform { address, handle }
}

impl Platform {
    pub(crate) fn client(&self) -> sync::Arc<dyn platform::Platform> {
        sync::Arc::new(HttpPlatform::new(&settings::Platform {
            address: self.address,
            timeout_ms: clock::Millis(500),
        }))
    }
}

/// Returns a view in which the daemons `names` are alive.
pub(crate) fn view(names: &[&str]) -> sync::Arc<member::View> {
    let member = |name: &&str| {
        let member = member::Member {
            peer: "127.0.0.1:1".parse().unwrap(),
            domain: "lahore-1".to_owned(),
            incarnation: ids::Incarnation(1),
            liveness: member::Liveness::Alive,
            version: 0,
        };
        (name.to_string(), member)
    };
    let members: BTreeMap<_, _> = names.iter().map(member).collect();
    sync::Arc::new(member::View { members })
}

/// Returns a membership that does not change; its sender is leaked, so that the channel stays open.
pub(crate) fn members(names: &[&str]) -> tokio::sync::watch::Receiver<sync::Arc<member::View>> {
    let (sender, receiver) = tokio::sync::watch::channel(view(names));
    std::mem::forget(sender);
    receiver
}

pub(crate) fn recorder(name: &str) -> sync::Arc<timeline::Recorder> {
    sync::Arc::new(timeline::Recorder::new(name, ids::Incarnation(1)))
}

/// Waits until the condition holds, for 20 s at most.
pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(clock::Millis(2).span()).await;
        }
    };
    let limit = clock::Millis(20_000).span();
    tokio::time::timeout(limit, wait)
        .await
        .expect("the condition did not hold within 20 s");
}
