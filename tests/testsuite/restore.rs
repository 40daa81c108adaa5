//! A platform that is restored from a copy which is some seconds old, and the registries of three daemons: one that
//! reads the platform, one that polls that reader, and one that is cut off at times.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use futures_util::future;
use peridotspread::coordination::member;
use peridotspread::coordination::registry::Registry;
use peridotspread::daemon::metrics;
use peridotspread::daemon::registry as daemon_registry;
use peridotspread::protocol::source::{Batch, Change, Item, ServiceTarget, Topic};
use peridotspread::protocol::{peer, platform, source};
use peridotspread::state::clock::{Clock, Millis};
use peridotspread::state::{bundle, ids, timeline};
use tokio::sync::watch;

use crate::support::hosts::NoHosts;

/// The distance between the revisions of two eras.
const ERA: u64 = 1 << 44;
/// The time within which operators and targets write again what a copy lacks.
const WRITE_AGAIN: u64 = 2_000;
/// The age of the oldest copy from which the platform is restored.
const COPY_AGE: u64 = 10_000;
/// The time after which the platform removes the entry of a target that does not write.
const LAPSE: u64 = 4_500;

fn service_target(run: &str, leaving: bool) -> ServiceTarget {
    ServiceTarget {
        service: "fees".to_owned(),
        target: bundle::Target {
            name: run.to_owned(),
            address: "10.0.0.1:80".parse().unwrap(),
            domain: "lahore-1".to_owned(),
            slots: 3,
            connections: 3,
            leaving,
        },
    }
}

fn rules_item(version: u64) -> Item {
    Item::Rules(Box::new(bundle::Bundle {
        version,
        services: vec![bundle::Service::without_targets("fees")],
        ..bundle::Bundle::default()
    }))
}

fn change(topic: Topic, key: &str, revision: u64, item: Option<Item>) -> Change {
    Change {
        topic,
        key: key.to_owned(),
        revision,
        item,
        grace: Millis::ZERO,
    }
}

fn target_change(revision: u64, run: &str, leaving: bool) -> Change {
    let key = run.split_once('~').map_or(run, |(key, _)| key);
    let item = Item::Target(service_target(run, leaving));
    change(Topic::Targets, key, revision, Some(item))
}

fn whole(changes: Vec<Change>, revision: u64) -> Batch {
    Batch {
        changes,
        revision,
        whole: true,
    }
}

/// Returns the runs in force, and whether each of them is leaving.
fn targets(registry: &Registry) -> BTreeMap<String, bool> {
    let bundle = registry.bundle().expect("rules and targets are known");
    let targets = bundle.services[0].targets.iter();
    targets.map(|t| (t.name.clone(), t.leaving)).collect()
}

/// Returns a registry in the first era, with rules 7 and the runs a~1 and b~1, of which b~1 is leaving.
fn registry() -> Registry {
    let mut registry = Registry::default();
    let rules = change(Topic::Rules, "", ERA + 90, Some(rules_item(7)));
    registry.apply(Millis(1), Topic::Rules, &whole(vec![rules], ERA + 100));
    let both = vec![
        target_change(ERA + 95, "a~1", false),
        target_change(ERA + 99, "b~1", true),
    ];
    registry.apply(Millis(1), Topic::Targets, &whole(both, ERA + 100));
    registry
}

#[test]
fn targets_that_a_copy_lacks_are_kept_until_they_could_write_again() {
    let mut registry = registry();
    registry.record_restore(Millis(10_000));
    let copy = whole(Vec::new(), 2 * ERA + 50);
    registry.apply(Millis(10_010), Topic::Targets, &copy);
    assert!(targets(&registry).contains_key("a~1"));
    let written = vec![target_change(2 * ERA + 51, "a~1", false)];
    let written = Batch {
        whole: false,
        ..whole(written, 2 * ERA + 51)
    };
    registry.apply(Millis(11_900), Topic::Targets, &written);
    registry.tick(Millis(13_000));
    assert!(targets(&registry).contains_key("a~1"));
}

#[test]
fn a_target_that_does_not_write_again_after_a_restore_is_gone_within_three_seconds() {
    let mut registry = registry();
    registry.record_restore(Millis(10_000));
    registry.apply(
        Millis(10_010),
        Topic::Targets,
        &whole(Vec::new(), 2 * ERA + 50),
    );
    assert!(registry.next_deadline() <= Millis(13_000));
    registry.tick(registry.next_deadline());
    assert!(targets(&registry).is_empty());
}

#[test]
fn a_copy_does_not_revive_a_run_that_was_leaving_or_gone() {
    let mut registry = registry();
    let removed = change(Topic::Targets, "a", ERA + 101, None);
    let removed = Batch {
        whole: false,
        ..whole(vec![removed], ERA + 101)
    };
    registry.apply(Millis(5_000), Topic::Targets, &removed);
    registry.record_restore(Millis(10_000));
    let copied = vec![
        target_change(2 * ERA + 30, "a~1", false),
        target_change(2 * ERA + 40, "b~1", false),
    ];
    registry.apply(Millis(10_010), Topic::Targets, &whole(copied, 2 * ERA + 50));
    let both = ["a~1", "b~1"].map(|run| (run.to_owned(), true));
    assert_eq!(targets(&registry), BTreeMap::from(both));
    // What the target writes itself counts.
    let written = Batch {
        whole: false,
        ..whole(
            vec![target_change(2 * ERA + 51, "a~1", false)],
            2 * ERA + 51,
        )
    };
    registry.apply(Millis(11_000), Topic::Targets, &written);
    assert_eq!(targets(&registry).get("a~1"), Some(&false));
}

#[test]
fn a_new_run_in_a_copy_is_used_although_an_earlier_one_left() {
    let mut registry = registry();
    registry.record_restore(Millis(10_000));
    let copied = vec![target_change(2 * ERA + 40, "b~2", false)];
    registry.apply(Millis(10_010), Topic::Targets, &whole(copied, 2 * ERA + 50));
    assert_eq!(targets(&registry).get("b~2"), Some(&false));
}

#[test]
fn rules_stay_in_force_until_the_operators_latest_are_back() {
    let mut registry = registry();
    registry.record_restore(Millis(10_000));
    let apply = |registry: &mut Registry, version: u64, revision: u64| {
        let rules = change(Topic::Rules, "", revision, Some(rules_item(version)));
        registry.apply(Millis(10_010), Topic::Rules, &whole(vec![rules], revision));
        registry.bundle().unwrap().version
    };
    assert_eq!(apply(&mut registry, 5, 2 * ERA + 50), 7);
    assert_eq!(apply(&mut registry, 7, 2 * ERA + 51), 7);
    assert_eq!(apply(&mut registry, 9, 2 * ERA + 52), 9);
}

/// A linear congruential generator of random numbers.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 33) % bound
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// The rows of the platform, each with its version.
#[derive(Clone, Debug, Default)]
struct Rows {
    version: u64,
    rules: (u64, u64),
    /// By key: the version, the run and whether it is leaving.
    targets: BTreeMap<String, (u64, String, bool)>,
}

/// The platform, and what the operators and targets would have it say.
#[derive(Debug, Default)]
struct Platform {
    rows: Rows,
    era: u64,
    /// The copies, each with the time at which it was made.
    copies: Vec<(u64, Rows)>,
    /// The removals of this era: the version and the key.
    removals: Vec<(u64, String)>,
    /// The first version whose changes are known in this era.
    history: u64,
    rules: u64,
    /// By key: the run and whether it is leaving.
    targets: BTreeMap<String, (String, bool)>,
    /// What is due after a restore: when, and the key of a target; the rules without one.
    due: Vec<(u64, Option<String>)>,
    runs: u64,
}

impl Platform {
    fn revision(&self, version: u64) -> u64 {
        (self.era + 1) * ERA + version
    }

    fn write_rules(&mut self) {
        self.rows.version += 1;
        self.rows.rules = (self.rows.version, self.rules);
    }

    /// Writes the entry of a target as it is, or removes it.
    fn write_target(&mut self, key: &str) {
        self.rows.version += 1;
        match self.targets.get(key) {
            Some((run, leaving)) => {
                let row = (self.rows.version, run.clone(), *leaving);
                self.rows.targets.insert(key.to_owned(), row);
            }
            None => {
                self.rows.targets.remove(key);
                self.removals.push((self.rows.version, key.to_owned()));
            }
        }
    }

    /// Comes back from one of the last copies. What is written again, and when, is drawn.
    fn restore(&mut self, now: u64, random: &mut Random) {
        self.copies.retain(|(made, _)| now - made <= COPY_AGE);
        let Some((_, copy)) = self.copies.pop() else {
            return;
        };
        self.rows = copy;
        self.era += 1;
        self.removals.clear();
        self.history = self.rows.version;
        self.due = vec![(now + random.below(WRITE_AGAIN), None)];
        let listed = self.rows.targets.keys().cloned();
        let gone: Vec<_> = listed.filter(|k| !self.targets.contains_key(k)).collect();
        let gone = gone.into_iter().map(|key| (now + LAPSE, Some(key)));
        self.due.extend(gone);
        for key in self.targets.keys() {
            self.due
                .push((now + random.below(WRITE_AGAIN), Some(key.clone())));
        }
    }

    fn write_due(&mut self, now: u64) {
        let due: Vec<_> = self.due.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, key) in due {
            match key {
                Some(key) => self.write_target(&key),
                None => self.write_rules(),
            }
        }
    }

    fn batch(&self, topic: Topic, after: Option<u64>) -> Batch {
        let since = after.unwrap_or_default();
        let mut changes = Vec::new();
        match topic {
            Topic::Rules if self.rows.rules.0 > since => {
                let (version, rules) = self.rows.rules;
                let revision = self.revision(version);
                changes.push(change(topic, "", revision, Some(rules_item(rules))));
            }
            Topic::Rules => {}
            Topic::Targets => {
                for (version, run, leaving) in self.rows.targets.values().filter(|r| r.0 > since) {
                    changes.push(target_change(self.revision(*version), run, *leaving));
                }
                for (version, key) in self.removals.iter().filter(|r| r.0 > since) {
                    if !self.rows.targets.contains_key(key) && after.is_some() {
                        changes.push(change(topic, key, self.revision(*version), None));
                    }
                }
            }
        }
        changes.sort_by_key(|c| c.revision);
        Batch {
            changes,
            revision: self.revision(self.rows.version),
            whole: after.is_none(),
        }
    }
}

/// A daemon that reads the platform, with what the actor of its registry keeps.
#[derive(Default)]
struct Reader {
    registry: Registry,
    is_cut: bool,
}

impl Reader {
    fn poll(&mut self, now: u64, platform: &Platform) {
        if self.is_cut {
            self.registry.record_outage(Millis(now));
            return;
        }
        self.registry.record_recovery(Millis(now));
        enter_era(&mut self.registry, platform.revision(0), now);
        for topic in Topic::ALL {
            let revision = self.registry.revision(topic);
            let is_current = |r: &u64| *r >= platform.revision(platform.history);
            let after = revision.filter(is_current).map(|r| r % ERA);
            let batch = platform.batch(topic, after);
            self.registry.apply(Millis(now), topic, &batch);
        }
    }
}

/// Tells a registry of the restore if a revision shows one.
fn enter_era(registry: &mut Registry, revision: u64, now: u64) {
    let known = Topic::ALL
        .iter()
        .filter_map(|t| registry.revision(*t))
        .max();
    if known.is_some_and(|known| known / ERA < revision / ERA) {
        registry.record_restore(Millis(now));
    }
}

fn ask(asking: &mut Registry, asked: &Registry, now: u64) {
    for topic in Topic::ALL {
        let since = asking.revision(topic).unwrap_or_default();
        let updates = asked.updates_since(Millis(now), topic, since);
        if updates.revision > 0 {
            enter_era(asking, updates.revision, now);
            asking.apply_peer(Millis(now), topic, &updates);
        }
    }
}

/// Draws one event of the operators, the targets or the platform.
fn draw_event(platform: &mut Platform, random: &mut Random, now: u64) {
    let keys: Vec<_> = platform.targets.keys().cloned().collect();
    let key = keys.get(random.below(keys.len().max(1) as u64) as usize);
    match random.below(10) {
        0 | 1 => {
            platform.rules += 1 + random.below(3);
            platform.write_rules();
        }
        2 | 3 => {
            platform.runs += 1;
            let key = format!("i{}", random.below(12));
            let run = format!("{key}~{}", platform.runs);
            platform.targets.insert(key.clone(), (run, false));
            platform.write_target(&key);
        }
        4 | 5 => {
            if let Some(key) = key {
                platform.targets.get_mut(key).unwrap().1 = true;
                platform.write_target(key);
            }
        }
        6 => {
            if let Some(key) = key.filter(|k| platform.targets[*k].1) {
                platform.targets.remove(key);
                platform.write_target(key);
            }
        }
        7 => platform.copies.push((now, platform.rows.clone())),
        8 => platform.restore(now, random),
        _ => {}
    }
}

#[test]
fn after_any_series_of_restores_all_daemons_hold_what_operators_and_targets_wrote() {
    for seed in 0..200 {
        let mut random = Random(seed);
        let mut platform = Platform {
            rules: 1,
            ..Platform::default()
        };
        platform.write_rules();
        let mut reader = Reader::default();
        let (mut peer, mut cut_off) = (Registry::default(), Registry::default());
        let (mut highest, mut ended) = (0, BTreeMap::new());
        let mut now = 1_000;
        reader.poll(now, &platform);
        for step in 0..300 {
            now += 20 + random.below(300);
            platform.write_due(now);
            // Nothing happens in the last steps but what is due, so that all is settled.
            let is_over = step >= 200;
            if !is_over {
                draw_event(&mut platform, &mut random, now);
                reader.is_cut ^= random.chance(8);
                if random.chance(2) {
                    peer = Registry::default();
                }
            }
            reader.is_cut &= !is_over;
            reader.poll(now, &platform);
            ask(&mut peer, &reader.registry, now);
            if is_over || random.chance(15) {
                ask(&mut cut_off, &peer, now);
            }
            for registry in [&mut reader.registry, &mut peer, &mut cut_off] {
                registry.tick(Millis(now));
            }
            let version = reader.registry.rules_version();
            assert!(version >= highest, "seed {seed}, step {step}: rules fell");
            highest = version;
            for (run, leaving) in targets(&reader.registry) {
                let was_leaving = ended.insert(run.clone(), leaving).unwrap_or_default();
                assert!(
                    leaving || !was_leaving,
                    "seed {seed}, step {step}: {run} is revived"
                );
            }
        }
        let expected: BTreeMap<_, _> = platform.targets.values().cloned().collect();
        for (name, registry) in [
            ("reader", &reader.registry),
            ("peer", &peer),
            ("cut off", &cut_off),
        ] {
            assert_eq!(targets(registry), expected, "seed {seed}: {name}");
            assert_eq!(
                registry.rules_version(),
                platform.rules,
                "seed {seed}: {name}"
            );
        }
    }
}

/// A platform whose copy has rules 5 and no targets, and where nothing is written again.
struct CopiedSource;

impl source::Source for CopiedSource {
    fn read(&self, topic: Topic) -> source::Call<'_> {
        let rules = change(Topic::Rules, "", 2 * ERA + 40, Some(rules_item(5)));
        let changes = Vec::from_iter((topic == Topic::Rules).then_some(rules));
        Box::pin(async { Ok(whole(changes, 2 * ERA + 50)) })
    }

    fn follow(&self, _topic: Topic, _revision: u64, max_wait: Millis) -> source::Call<'_> {
        Box::pin(async move {
            tokio::time::sleep(max_wait.span()).await;
            Ok(Batch {
                whole: false,
                ..whole(Vec::new(), 2 * ERA + 50)
            })
        })
    }

    fn era(&self, revision: u64) -> u64 {
        revision / ERA
    }
}

/// A peer that has had rules 7 in force since before the restore.
struct PeerAhead;

impl peer::ControlSender for PeerAhead {
    fn send<'a>(
        &'a self,
        _to: &'a str,
        _message: peer::ControlMessage,
    ) -> future::BoxFuture<'a, Result<peer::ControlMessage, peer::NoReply>> {
        let rules = change(Topic::Rules, "", 2 * ERA + 41, Some(rules_item(7)));
        let rules = whole(vec![rules], 2 * ERA + 50);
        let updates =
            serde_json::json!({"rules": rules, "targets": Batch::default(), "version": 2});
        let reply = peer::ControlMessage::Updates {
            age: Some(Millis::ZERO),
            changes: updates.to_string().into_bytes(),
            held: None,
            compressed: false,
        };
        Box::pin(async { Ok(reply) })
    }
}

#[tokio::test]
async fn a_daemon_that_starts_from_a_copy_takes_the_later_rules_that_others_have_in_force() {
    let ahead = member::Member {
        peer: "127.0.0.1:1".parse().unwrap(),
        domain: "lahore-2".to_owned(),
        incarnation: ids::Incarnation(1),
        liveness: member::Liveness::Alive,
        version: 7,
    };
    let view = member::View {
        members: BTreeMap::from([("d2".to_owned(), ahead)]),
    };
    let (_members, members) = watch::channel(Arc::new(view));
    let handle = daemon_registry::spawn(daemon_registry::Options {
        name: "d1".to_owned(),
        domain: "lahore-1".to_owned(),
        clock: Clock::start(),
        source: Arc::new(CopiedSource),
        members,
        sender: Arc::new(PeerAhead),
        hosts: Arc::new(NoHosts),
        metrics: Arc::new(metrics::Metrics::new().unwrap()),
        recorder: Arc::new(timeline::Recorder::new("d1", ids::Incarnation(1))),
    });
    let handle = handle.await.unwrap();
    let mut bundle = handle.bundle();
    let taken = bundle.wait_for(|b| b.version == 7);
    let taken = tokio::time::timeout(Millis(4_000).span(), taken).await;
    assert!(
        matches!(taken, Ok(Ok(_))),
        "the daemon stays at the rules of the copy"
    );
}

/// The platform's limit on writes per second where a fleet has 93 daemons.
const WRITES_PER_S: usize = 1_200;
/// The time within which the rows of daemons are back after a restore.
const ROWS_BACK: Millis = Millis(2_000);
/// When the platform comes back from a copy, since the start of the fleet.
const RESTORED_AT: Millis = Millis(1_500);

/// A platform that comes back from a copy at [`RESTORED_AT`], and a peer that passes on what it says.
#[derive(Clone, Copy)]
struct RestoredPlatform {
    clock: Clock,
}

impl RestoredPlatform {
    fn batch(self) -> Batch {
        let era = 1 + u64::from(self.clock.now() >= RESTORED_AT);
        let rules = change(Topic::Rules, "", era * ERA + 40, Some(rules_item(5)));
        whole(vec![rules], era * ERA + 50)
    }

    /// Waits for `span`, or until the restore, which ends the calls that wait.
    async fn wait(self, span: Millis) {
        let until_restore = RESTORED_AT - self.clock.now();
        let span = match until_restore > Millis::ZERO {
            true => span.min(until_restore + Millis(5)),
            false => span,
        };
        tokio::time::sleep(span.span()).await;
    }
}

impl source::Source for RestoredPlatform {
    fn read(&self, _topic: Topic) -> source::Call<'_> {
        Box::pin(async { Ok(self.batch()) })
    }

    fn follow(&self, _topic: Topic, _revision: u64, max_wait: Millis) -> source::Call<'_> {
        Box::pin(async move {
            self.wait(max_wait).await;
            Ok(Batch {
                changes: Vec::new(),
                whole: false,
                ..self.batch()
            })
        })
    }

    fn era(&self, revision: u64) -> u64 {
        revision / ERA
    }
}

impl peer::ControlSender for RestoredPlatform {
    fn send<'a>(
        &'a self,
        _to: &'a str,
        message: peer::ControlMessage,
    ) -> future::BoxFuture<'a, Result<peer::ControlMessage, peer::NoReply>> {
        Box::pin(async move {
            let peer::ControlMessage::GetUpdates { targets, wait, .. } = message else {
                return Ok(peer::ControlMessage::Ack);
            };
            if targets >= self.batch().revision {
                self.wait(wait).await;
            }
            let batch = self.batch();
            let updates = serde_json::json!({"rules": batch, "targets": batch, "version": 2});
            let is_news = targets < batch.revision;
            Ok(peer::ControlMessage::Updates {
                age: Some(Millis::ZERO),
                changes: Vec::from_iter(is_news.then(|| updates.to_string()))
                    .concat()
                    .into_bytes(),
                held: None,
                compressed: false,
            })
        })
    }
}

/// A list of hosts that records when a daemon rewrites its row.
struct RecordedHosts {
    clock: Clock,
    writes: Arc<Mutex<Vec<Millis>>>,
}

impl platform::Hosts for RecordedHosts {
    fn hosts(&self) -> platform::Call<'_, Vec<platform::Host>> {
        Box::pin(async { Ok(Vec::new()) })
    }

    fn restore_rows(&self) -> platform::Call<'_, usize> {
        self.writes.lock().unwrap().push(self.clock.now());
        Box::pin(async { Ok(1) })
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn ninety_three_daemons_rewrite_their_rows_in_two_seconds_below_the_rate_of_writes() {
    let member = |i: usize| member::Member {
        peer: "127.0.0.1:1".parse().unwrap(),
        domain: format!("d{}", i % 4),
        incarnation: ids::Incarnation(1),
        liveness: member::Liveness::Alive,
        version: 5,
    };
    let members: BTreeMap<_, _> = (0..93).map(|i| (format!("n{i}"), member(i))).collect();
    let (_view, view) = watch::channel(Arc::new(member::View {
        members: members.clone(),
    }));
    let clock = Clock::start();
    let writes = Arc::<Mutex<Vec<Millis>>>::default();
    let mut handles = Vec::new();
    for (name, member) in &members {
        let options = daemon_registry::Options {
            name: name.clone(),
            domain: member.domain.clone(),
            clock,
            source: Arc::new(RestoredPlatform { clock }),
            members: view.clone(),
            sender: Arc::new(RestoredPlatform { clock }),
            hosts: Arc::new(RecordedHosts {
                clock,
                writes: writes.clone(),
            }),
            metrics: Arc::new(metrics::Metrics::new().unwrap()),
            recorder: Arc::new(timeline::Recorder::new(name, ids::Incarnation(1))),
        };
        handles.push(daemon_registry::spawn(options).await.unwrap());
    }
    let margin = Millis(1_000);
    tokio::time::sleep((RESTORED_AT + ROWS_BACK + margin - clock.now()).span()).await;
    let mut writes = writes.lock().unwrap().clone();
    writes.sort_unstable();
    let in_second = |from: &Millis| {
        writes
            .iter()
            .filter(|at| (*from..*from + Millis(1_000)).contains(at))
            .count()
    };
    let most = writes.iter().map(in_second).max().unwrap_or_default();
    let last = writes.last().copied().unwrap_or_default() - RESTORED_AT;
    println!("{most} writes in one second at most, the last {last} after the restore");
    assert_eq!(writes.len(), members.len());
    assert!(last < ROWS_BACK, "the last row is back after {last}");
    assert!(most <= WRITES_PER_S, "{most} writes in one second");
}
