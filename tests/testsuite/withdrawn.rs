//! Rules that withdrew a credential long ago: a daemon never serves by older ones because of the sources it starts with.

use std::collections::BTreeMap;
use std::sync::Arc;

use futures_util::future;
use peridotspread::coordination::member;
use peridotspread::daemon::metrics;
use peridotspread::daemon::registry as daemon_registry;
use peridotspread::protocol::source::{Batch, Change, Item, Topic};
use peridotspread::protocol::{peer, source, version};
use peridotspread::state::clock::{Clock, Millis};
use peridotspread::state::{bundle, ids, timeline};
use tokio::sync::watch;

use crate::support::hosts::NoHosts;

/// The time within which a withdrawn credential must stop working.
const APPLY: Millis = Millis(2_500);
/// The version that withdrew a credential.
const LATEST: u64 = 2;
/// The distance between the revisions of two eras.
const ERA: u64 = 1 << 44;
/// When the rules change in a platform that is partly away.
const CHANGED_AT: Millis = Millis(2_000);

fn rules(version: u64, revision: u64) -> Batch {
    let bundle = bundle::Bundle {
        version,
        ..bundle::Bundle::default()
    };
    let change = Change {
        topic: Topic::Rules,
        key: String::new(),
        revision,
        item: Some(Item::Rules(Box::new(bundle))),
        grace: Millis::ZERO,
    };
    batch(vec![change], revision)
}

fn batch(changes: Vec<Change>, revision: u64) -> Batch {
    Batch {
        changes,
        revision,
        whole: false,
    }
}

/// How the platform answers the daemon.
#[derive(Clone, Copy, Debug)]
enum Platform {
    /// It turns every call away.
    Refusing,
    /// It was restored from a copy with the rules before the latest ones.
    Copied,
    /// It answers until [`CHANGED_AT`], and then only calls about targets.
    PartlyAway(Clock),
}

impl Platform {
    fn answer(self, topic: Topic) -> Result<Batch, source::Error> {
        let refused = match self {
            Platform::Refusing => true,
            Platform::Copied => false,
            Platform::PartlyAway(clock) => topic == Topic::Rules && clock.now() >= CHANGED_AT,
        };
        if refused {
            let reason = "turned away".to_owned();
            return Err(source::Error::Unavailable { reason });
        }
        let revision = match self {
            Platform::Copied => ERA + 40,
            _ => 1,
        };
        Ok(Batch {
            whole: true,
            ..match topic {
                Topic::Rules => rules(LATEST - 1, revision),
                Topic::Targets => batch(Vec::new(), revision),
            }
        })
    }
}

impl source::Source for Platform {
    fn read(&self, topic: Topic) -> source::Call<'_> {
        Box::pin(async move { self.answer(topic) })
    }

    fn follow(&self, topic: Topic, revision: u64, max_wait: Millis) -> source::Call<'_> {
        Box::pin(async move {
            self.answer(topic)?;
            tokio::time::sleep(max_wait.span()).await;
            Ok(batch(Vec::new(), revision))
        })
    }

    fn era(&self, revision: u64) -> u64 {
        revision / ERA
    }
}

/// The other daemons: the version that each has in force, and how long ago the platform answered it.
#[derive(Clone)]
struct Peers(BTreeMap<String, (u64, Option<Millis>)>);

impl Peers {
    /// Returns six daemons that the platform turns away, which have rules before the latest ones.
    fn stale() -> Peers {
        let peer = |i| (format!("d{i}"), (LATEST - 1, None));
        Peers((0..6).map(peer).collect())
    }

    /// Adds a daemon that the platform answers, with the latest rules.
    fn with_fresh(mut self) -> Peers {
        let fresh = (LATEST, Some(Millis(10)));
        self.0.insert("d6".to_owned(), fresh);
        self
    }

    /// Returns the members with the versions that they state, or without any while they are not known.
    fn view(&self, knows_versions: bool) -> Arc<member::View> {
        let members = self.0.iter().map(|(name, (version, _))| {
            let member = member::Member {
                peer: "127.0.0.1:1".parse().unwrap(),
                domain: "lahore-1".to_owned(),
                incarnation: ids::Incarnation(1),
                liveness: member::Liveness::Alive,
                version: if knows_versions { *version } else { 0 },
            };
            (name.clone(), member)
        });
        Arc::new(member::View {
            members: members.collect(),
        })
    }
}

impl peer::ControlSender for Peers {
    fn send<'a>(
        &'a self,
        to: &'a str,
        message: peer::ControlMessage,
    ) -> future::BoxFuture<'a, Result<peer::ControlMessage, peer::NoReply>> {
        Box::pin(async move {
            let peer::ControlMessage::GetUpdates {
                rules: since, wait, ..
            } = message
            else {
                return Ok(peer::ControlMessage::Ack);
            };
            let (held, age) = self.0[to];
            let has_news = since < held;
            if age.is_some() && !has_news {
                tokio::time::sleep(wait.span()).await;
            }
            let updates = serde_json::json!({
                "rules": rules(held, held), "targets": batch(Vec::new(), held),
                "version": version::Version::CURRENT,
            });
            let changes = Vec::from_iter(has_news.then(|| updates.to_string()));
            Ok(peer::ControlMessage::Updates {
                age,
                changes: changes.concat().into_bytes(),
                held: None,
                compressed: false,
            })
        })
    }
}

/// Starts a registry, and returns its bundles.
async fn start(
    name: &str,
    clock: Clock,
    platform: Platform,
    peers: Peers,
    members: watch::Receiver<Arc<member::View>>,
) -> daemon_registry::Handle {
    let handle = daemon_registry::spawn(daemon_registry::Options {
        recorder: Arc::new(timeline::Recorder::new(name, ids::Incarnation(1))),
        name: name.to_owned(),
        domain: "lahore-1".to_owned(),
        clock,
        source: Arc::new(platform),
        members,
        sender: Arc::new(peers),
        hosts: Arc::new(NoHosts),
        metrics: Arc::new(metrics::Metrics::new().unwrap()),
    });
    handle.await.unwrap()
}

/// Returns the first version in force at a daemon that starts, and when it came into force. The versions of the others
/// become known `known_after` the start.
async fn first_version(
    name: &str,
    platform: Platform,
    peers: Peers,
    known_after: Millis,
) -> (u64, Millis) {
    let clock = Clock::start();
    let (view, members) = watch::channel(peers.view(false));
    let handle = start(name, clock, platform, peers.clone(), members).await;
    let learn = async {
        tokio::time::sleep(known_after.span()).await;
        view.send_replace(peers.view(true));
        future::pending::<()>().await;
    };
    let mut bundle = handle.bundle();
    let in_force = bundle.wait_for(|b| b.version > 0);
    tokio::select! {
        found = in_force => (found.expect("the registry runs").version, clock.now()),
        () = learn => unreachable!(),
    }
}

/// A starting daemon that the platform turns away asks others, most of which may be turned away as well.
#[tokio::test]
async fn a_daemon_does_not_start_with_the_older_rules_of_a_peer() {
    let names: Vec<_> = (0..16).map(|i| format!("n{i}")).collect();
    let peers = Peers::stale().with_fresh();
    for known_after in [Millis::ZERO, Millis(5_000)] {
        let starts = names
            .iter()
            .map(|n| first_version(n, Platform::Refusing, peers.clone(), known_after));
        for (version, at) in future::join_all(starts).await {
            assert_eq!(
                version, LATEST,
                "versions known after {known_after}, in force at {at}"
            );
        }
    }
}

#[tokio::test]
async fn a_daemon_does_not_start_with_the_rules_of_a_copy() {
    for known_after in [Millis::ZERO, Millis(300)] {
        let peers = Peers::stale().with_fresh();
        let (version, at) = first_version("n0", Platform::Copied, peers, known_after).await;
        assert_eq!(
            version, LATEST,
            "versions known after {known_after}, in force at {at}"
        );
    }
}

/// While the platform answers nobody, no credential is withdrawn, and a daemon that starts has to serve.
#[tokio::test]
async fn a_daemon_starts_with_the_rules_of_its_peers_if_the_platform_answers_none() {
    let peers = Peers::stale();
    let (version, at) = first_version("n0", Platform::Refusing, peers, Millis::ZERO).await;
    assert_eq!(version, LATEST - 1);
    assert!(at < Millis(2_000), "in force after {at}");
}

/// The answers about targets say nothing about the rules.
#[tokio::test]
async fn new_rules_are_in_force_in_time_where_the_platform_answers_only_about_targets() {
    let clock = Clock::start();
    let peers = Peers::stale().with_fresh();
    let (view, members) = watch::channel(Peers::stale().view(true));
    let platform = Platform::PartlyAway(clock);
    let handle = start("n0", clock, platform, peers.clone(), members).await;
    let mut bundle = handle.bundle();
    assert_eq!(
        bundle.wait_for(|b| b.version > 0).await.unwrap().version,
        LATEST - 1
    );
    tokio::time::sleep((CHANGED_AT - clock.now()).span()).await;
    view.send_replace(peers.view(true));
    let changed = bundle.wait_for(|b| b.version == LATEST);
    let changed = tokio::time::timeout(APPLY.span(), changed).await;
    assert!(
        changed.is_ok(),
        "the withdrawn credential still works after {APPLY}"
    );
}
