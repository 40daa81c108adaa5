//! Followers against a fake platform, with control messages between them delivered in memory.

use crate::support;

use std::collections::BTreeMap;
use std::sync;

use futures_util::future;
use peridotspread::daemon::follower;
use peridotspread::ops;
use peridotspread::protocol::peer;
use peridotspread::state::bundle;
use peridotspread::state::clock;
use peridotspread::state::operator;

type Handles = BTreeMap<String, follower::Handle>;

/// Delivers control messages between the followers of one test; a follower that is cut off sends and receives none.
#[derive(Default)]
struct Network {
    handles: sync::Mutex<Handles>,
    cut: sync::Mutex<Vec<String>>,
}

struct Link {
    from: String,
    network: sync::Arc<Network>,
}

impl peer::ControlSender for Link {
    fn send<'a>(
        &'a self,
        to: &'a str,
        message: peer::ControlMessage,
    ) -> future::BoxFuture<'a, Result<peer::ControlMessage, peer::NoReply>> {
        Box::pin(async move {
            let cut = self.network.cut.lock().unwrap().clone();
            let handle = self.network.handles.lock().unwrap().get(to).cloned();
            match handle {
                Some(handle) if !cut.iter().any(|c| c == to || *c == self.from) => {
                    Ok(handle.handle_control(&self.from, message).await)
                }
                _ => peer::NoReplySnafu { to, reason: "cut" }.fail(),
            }
        })
    }
}

struct Fleet {
    platform: support::Platform,
    network: sync::Arc<Network>,
    key: operator::Key,
    operators: operator::Operators,
    names: Vec<String>,
}

impl Fleet {
    async fn new(size: usize) -> Fleet {
        let pair = operator::generate().unwrap();
        let mut operators = operator::Operators::default();
        operators.add_pem("operator-1", &pair.public).unwrap();
        Fleet {
            platform: support::platform().await,
            network: sync::Arc::default(),
            key: operator::Key::from_pem("operator-1", &pair.private).unwrap(),
            operators,
            names: (0..size).map(|n| format!("entry-{n}")).collect(),
        }
    }

    async fn start(&self, name: &str) -> follower::Handle {
        let names: Vec<_> = self.names.iter().map(String::as_str).collect();
        let options = follower::Options {
            name: name.to_owned(),
            domain: "lahore-1".to_owned(),
            clock: clock::Clock::start(),
            platform: self.platform.client(),
            members: support::members(&names),
            operators: self.operators.clone(),
            recorder: support::recorder(name),
            sender: sync::Arc::new(Link {
                from: name.to_owned(),
                network: sync::Arc::clone(&self.network),
            }),
        };
        let handle = follower::spawn(options).await.unwrap();
        let mut handles = self.network.handles.lock().unwrap();
        handles.insert(name.to_owned(), handle.clone());
        handle
    }

    async fn rollout(&self, version: u64) {
        let text = text(version);
        let digest = operator::digest(&text);
        let signed = peer::SignedBundle {
            version,
            signature: self.key.sign(version, &digest),
            signer: "operator-1".to_owned(),
            digest,
            text,
        };
        let client = self.platform.client();
        let options = ops::RolloutOptions {
            platform: client.as_ref(),
            signed: &signed,
            timeout: clock::Millis(5_000),
        };
        let outcome = ops::rollout(&options).await.unwrap();
        assert!(matches!(outcome, ops::rollout::Outcome::Accepted { .. }));
    }
}

fn text(version: u64) -> String {
    let targets = (0..50).map(|n| {
        format!("[[services.targets]]\nname = \"t-{n}\"\naddress = \"127.0.0.1:{}\"\ndomain = \"d\"\nslots = 3\n", 9000 + n)
    });
    let targets: String = targets.collect();
    format!(
        "version = {version}\ntiers = [{{ name = \"a\" }}]\nroutes = [{{ prefix = \"/\", service = \"s\" }}]\n\
         [[services]]\nname = \"s\"\nfloor = 1\n{targets}"
    )
}

fn version(handle: &follower::Handle) -> u64 {
    let bundle: sync::Arc<bundle::Bundle> = handle.bundle().borrow().clone();
    bundle.version
}

#[tokio::test]
async fn a_rollout_reaches_everyone_and_one_that_starts_during_an_outage() {
    let fleet = Fleet::new(12).await;
    let mut handles = Vec::new();
    for name in &fleet.names[1..] {
        handles.push(fleet.start(name).await);
    }
    fleet.rollout(1).await;
    support::wait_until(|| handles.iter().all(|h| version(h) == 1)).await;
    fleet.rollout(2).await;
    support::wait_until(|| handles.iter().all(|h| version(h) == 2)).await;
    // Reads of version 1 do not count: one of them may end only after every follower has that version from a peer.
    let full = text(1).len() as u64;
    let read = fleet.platform.handle.report().counters.object_bytes;
    let first = full
        * fleet
            .platform
            .handle
            .object_reads(&operator::digest(&text(1)));
    let second = read - first;
    assert!(
        second < full,
        "{second} bytes read for a change of one line in {full} bytes"
    );
    fleet.platform.handle.set(|o| o.down = true);
    let late = fleet.start("entry-0").await;
    support::wait_until(|| version(&late) == 2).await;
}

#[tokio::test]
async fn a_follower_cut_off_from_its_peers_polls_the_row() {
    let fleet = Fleet::new(12).await;
    let mut handles = Vec::new();
    for name in &fleet.names {
        handles.push(fleet.start(name).await);
    }
    fleet.network.cut.lock().unwrap().push("entry-3".to_owned());
    fleet.rollout(1).await;
    support::wait_until(|| handles.iter().all(|h| version(h) == 1)).await;
}
