//! Polls the platform for the bundle's row and the list of hosts.

use std::sync;

use serde::Deserialize;
use tokio::{sync as tasks, time};

use crate::daemon::member;
use crate::protocol::platform;
use crate::state::{bundle, clock, timeline};

const POLL_SPAN: clock::Millis = clock::Millis(500);
/// The time between two readings of the list of hosts.
const HOSTS_SPAN: clock::Millis = clock::Millis(30_000);
/// The time between two readings while no other daemon is known.
const ALONE_SPAN: clock::Millis = clock::Millis(500);

#[derive(Deserialize)]
struct Row {
    version: u64,
    digest: String,
}

pub(super) fn follow_bundle(
    platform: sync::Arc<dyn platform::Platform>,
    recorder: sync::Arc<timeline::Recorder>,
) -> tasks::watch::Receiver<sync::Arc<bundle::Bundle>> {
    let (sender, receiver) = tasks::watch::channel(sync::Arc::<bundle::Bundle>::default());
    tokio::spawn(async move {
        loop {
            let have = sender.borrow().version;
            if let Some(newer) = read_newer(platform.as_ref(), have).await {
                recorder.record(
                    timeline::Kind::Adopted,
                    timeline::Subject::default(),
                    &newer.version.to_string(),
                );
                sender.send_replace(sync::Arc::new(newer));
            }
            time::sleep(POLL_SPAN.span()).await;
        }
    });
    receiver
}

async fn read_newer(platform: &dyn platform::Platform, have: u64) -> Option<bundle::Bundle> {
    let row = platform.read("bundle").await.ok()??;
    let row = serde_json::from_str::<Row>(&row.value)
        .ok()
        .filter(|r| r.version > have)?;
    let content = platform.object(&row.digest).await.ok()??;
    let text = String::from_utf8(content).ok()?;
    bundle::parse("bundle", &text).ok()
}

/// Tells the membership of the platform's hosts, often while it knows of no others and rarely after that.
pub(super) async fn follow_hosts(
    platform: sync::Arc<dyn platform::Platform>,
    members: member::Handle,
) {
    loop {
        match platform.hosts().await {
            Ok(hosts) => members.add_seeds(&hosts),
            Err(e) => log::warn!("the list of hosts can't be read: {e}"),
        }
        let alone = members.view().borrow().members.len() <= 1;
        let pause = if alone { ALONE_SPAN } else { HOSTS_SPAN };
        time::sleep(pause.span()).await;
    }
}
