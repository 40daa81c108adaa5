//! A change of the rules is in force at every daemon in time, also at those whose reader has lost the platform.

use std::collections::BTreeMap;
use std::sync::Arc;

use futures_util::future;
use peridotspread::coordination::member;
use peridotspread::coordination::readers::{Source, SourceSelector};
use peridotspread::daemon::metrics;
use peridotspread::daemon::registry as daemon_registry;
use peridotspread::protocol::source::{Batch, Change, Item, Topic};
use peridotspread::protocol::{peer, source};
use peridotspread::state::clock::{Clock, Millis};
use peridotspread::state::{bundle, ids, timeline};

use crate::support::hosts::NoHosts;

/// The platform's `config_apply_ms`, in milliseconds: the time within which a change is in force.
const APPLY: u64 = 2_000;
/// When the change is written and the reader loses the platform, in milliseconds since the start.
const CHANGED_AT: u64 = 3_000;

/// A platform with rules 1, and rules 2 from [`CHANGED_AT`] on; it has no targets.
#[derive(Clone, Copy)]
struct ChangingPlatform {
    clock: Clock,
}

impl ChangingPlatform {
    fn version(self) -> u64 {
        1 + u64::from(self.clock.now() >= Millis(CHANGED_AT))
    }

    fn batch(self, topic: Topic, whole: bool) -> Batch {
        let version = self.version();
        let rules = bundle::Bundle {
            version,
            ..bundle::Bundle::default()
        };
        let change = Change {
            topic,
            key: String::new(),
            revision: version,
            item: Some(Item::Rules(Box::new(rules))),
            grace: Millis::ZERO,
        };
        Batch {
            changes: Vec::from_iter((topic == Topic::Rules).then_some(change)),
            revision: version,
            whole,
        }
    }
}

impl source::Source for ChangingPlatform {
    fn read(&self, topic: Topic) -> source::Call<'_> {
        Box::pin(async move { Ok(self.batch(topic, true)) })
    }

    fn follow(&self, topic: Topic, revision: u64, max_wait: Millis) -> source::Call<'_> {
        Box::pin(async move {
            let end = self.clock.now() + max_wait;
            loop {
                // A batch without the change must not state its revision.
                let mut batch = self.batch(topic, false);
                if batch.revision <= revision {
                    batch.changes.clear();
                }
                if !batch.changes.is_empty() || self.clock.now() >= end {
                    return Ok(batch);
                }
                tokio::time::sleep(Millis(5).span()).await;
            }
        })
    }

    fn era(&self, _revision: u64) -> u64 {
        1
    }
}

/// What happens to the reader at [`CHANGED_AT`].
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// It is cut off from the platform, and finds out when its poll times out.
    Platform,
    /// It no longer answers its peers.
    Silent,
}

/// The reader of the failure domain, which the platform answers until [`CHANGED_AT`].
struct Reader {
    clock: Clock,
    loss: Loss,
}

impl Reader {
    /// Returns the time since the platform last answered it.
    fn age(&self) -> Option<Millis> {
        /// How long a poll of the platform takes to time out.
        const TIMEOUT: u64 = 1_700;
        let now = self.clock.now();
        let since_loss = now - Millis(CHANGED_AT);
        (since_loss < Millis(TIMEOUT)).then_some(since_loss)
    }
}

impl peer::ControlSender for Reader {
    fn send<'a>(
        &'a self,
        _to: &'a str,
        message: peer::ControlMessage,
    ) -> future::BoxFuture<'a, Result<peer::ControlMessage, peer::NoReply>> {
        Box::pin(async move {
            let peer::ControlMessage::GetUpdates { wait, .. } = message else {
                return Ok(peer::ControlMessage::Ack);
            };
            let end = self.clock.now() + wait;
            while self.clock.now() < end && self.age().is_some() {
                tokio::time::sleep(Millis(5).span()).await;
            }
            let is_lost = self.clock.now() >= Millis(CHANGED_AT);
            if is_lost && matches!(self.loss, Loss::Silent) {
                std::future::pending::<()>().await;
            }
            Ok(peer::ControlMessage::Updates {
                age: self.age(),
                changes: Vec::new(),
                held: None,
                compressed: false,
            })
        })
    }
}

fn view() -> member::View {
    let members = (0..8).map(|i| {
        let member = member::Member {
            peer: "127.0.0.1:1".parse().unwrap(),
            domain: "lahore-1".to_owned(),
            incarnation: ids::Incarnation(1),
            liveness: member::Liveness::Alive,
            version: 1,
        };
        (format!("d{i}"), member)
    });
    member::View {
        members: members.collect::<BTreeMap<_, _>>(),
    }
}

/// Returns the name of a daemon that polls the reader.
fn poller() -> String {
    let view = view();
    let polls_reader = |name: &String| {
        let mut selector = SourceSelector::new(Millis::ZERO, name, "lahore-1");
        matches!(selector.next_source(Millis(10_000), &view), Source::Peer(_))
    };
    let found = view.members.keys().find(|name| polls_reader(name));
    found.expect("most daemons poll the reader").clone()
}

/// Returns how long after the change the rules are in force at a daemon that started `phase` after the others.
async fn delay(loss: Loss, phase: u64) -> Millis {
    let clock = Clock::start();
    tokio::time::sleep(Millis(phase).span()).await;
    let name = poller();
    let (_members, members) = tokio::sync::watch::channel(Arc::new(view()));
    let handle = daemon_registry::spawn(daemon_registry::Options {
        recorder: Arc::new(timeline::Recorder::new(&name, ids::Incarnation(1))),
        name,
        domain: "lahore-1".to_owned(),
        clock,
        source: Arc::new(ChangingPlatform { clock }),
        members,
        sender: Arc::new(Reader { clock, loss }),
        hosts: Arc::new(NoHosts),
        metrics: Arc::new(metrics::Metrics::new().unwrap()),
    });
    let handle = handle.await.unwrap();
    let mut bundle = handle.bundle();
    let changed = bundle.wait_for(|b| b.version == 2).await;
    changed.expect("the registry runs");
    clock.now() - Millis(CHANGED_AT)
}

async fn assert_in_time(loss: Loss) {
    let phases = (0..24).map(|i| delay(loss, 60 * i));
    let slowest = future::join_all(phases).await.into_iter().max();
    let slowest = slowest.expect("there are phases");
    assert!(
        slowest < Millis(APPLY),
        "in force after {slowest}, at most {APPLY} ms allowed"
    );
}

#[tokio::test]
async fn a_change_is_in_force_in_time_where_the_reader_is_cut_off_from_the_platform() {
    assert_in_time(Loss::Platform).await;
}

#[tokio::test]
async fn a_change_is_in_force_in_time_where_the_reader_falls_silent() {
    assert_in_time(Loss::Silent).await;
}
