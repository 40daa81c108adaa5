//! Polls the platform for the bundle's row and the list of hosts.

use std::collections::BTreeMap;
use std::sync;

use serde::Deserialize;
use tokio::{sync as tasks, time};

use crate::coordination::member;
use crate::protocol::platform;
use crate::state::{bundle, clock, ids, settings, timeline};

const POLL_SPAN: clock::Millis = clock::Millis(500);

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

pub(super) fn follow_hosts(
    platform: sync::Arc<dyn platform::Platform>,
    settings: &settings::Settings,
    incarnation: ids::Incarnation,
) -> tasks::watch::Receiver<sync::Arc<member::View>> {
    let own = member::Member {
        peer: settings.reachable(),
        domain: settings.domain.clone(),
        incarnation,
        liveness: member::Liveness::Alive,
        version: 0,
    };
    let alone = member::View {
        members: BTreeMap::from([(settings.name.clone(), own)]),
    };
    let (sender, receiver) = tasks::watch::channel(sync::Arc::new(alone.clone()));
    tokio::spawn(async move {
        loop {
            if let Ok(hosts) = platform.hosts().await {
                let mut view = alone.clone();
                for host in hosts.into_iter().filter(|h| !h.leaving) {
                    view.members.entry(host.name).or_insert(member::Member {
                        peer: host.peer,
                        domain: host.domain,
                        incarnation: ids::Incarnation(0),
                        liveness: member::Liveness::Alive,
                        version: 0,
                    });
                }
                sender.send_replace(sync::Arc::new(view));
            }
            time::sleep(POLL_SPAN.span()).await;
        }
    });
    receiver
}
