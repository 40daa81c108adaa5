//! A fleet of registries on one platform, in simulated time: daemons fail, and the platform is away for some time.
//!
//! The platform keeps the rules, and one target. One change is confirmed in each run: rules of a new version, and the
//! target's word that it leaves.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use futures_util::future;
use peridotspread::coordination::member;
use peridotspread::coordination::readers::{Source, SourceSelector};
use peridotspread::daemon::metrics;
use peridotspread::daemon::registry as daemon_registry;
use peridotspread::protocol::peer::ControlHandler;
use peridotspread::protocol::source::{Batch, Change, Item, ServiceTarget, Topic};
use peridotspread::protocol::{peer, source, version};
use peridotspread::state::clock::{Clock, Millis};
use peridotspread::state::{bundle, ids, timeline};
use tokio::sync::watch;
use tokio::time::{self, Instant};

use crate::cell::scene::Random;
use crate::support::hosts::NoHosts;

/// The time within which the daemons start, in milliseconds.
const START_SPREAD: u64 = 1_000;
/// How long a call to the platform takes to time out, in addition to the time that it may be held.
const CALL_TIMEOUT: Millis = Millis(1_000);
/// How long after the change the slowest daemon is waited for.
const GIVE_UP: Millis = Millis(12_000);
/// How long a frozen daemon stands still.
const FROZEN: Millis = Millis(1_500);
/// How long the others take to declare a daemon dead that was killed.
const DETECTION: Millis = Millis(1_500);
/// The time within which daemons that were killed start again, in milliseconds.
const RESTART_SPREAD: u64 = 1_000;
const DOMAINS: usize = 4;
/// The bytes that one transfer sends before others on the same link go on.
const CHUNK: usize = 8 * 1_024;
const SERVICE: &str = "fees";

/// How daemons fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// They answer nobody, as if they were killed, frozen or cut off.
    Silent,
    /// The platform does not answer them, which their calls show only by a timeout.
    CutOff,
    /// They are silent for 1.5 s, and then go on with what they had read before.
    Frozen,
    /// Nothing passes between them and the daemons of the first failure domain.
    Severed,
    /// Their packets are lost and sent again, so that a third of the answers to them and from them come late.
    Lossy,
    /// Packets between them and all other daemons are lost in one direction, so that no poll is answered. The platform
    /// reaches them, so changes must be in force at them, too.
    Isolated,
    /// They are killed, and start again within a second of [`Scene::restart_at`].
    Killed,
}

/// How the platform answers while it is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Absence {
    /// It refuses each call at once.
    Refuses,
    /// It answers no call, which only a timeout shows, also if the call was made just before its return.
    Silent,
}

/// A direction of a daemon's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Direction {
    Out,
    In,
}

/// A fleet in which some daemons fail, on a platform that is away at times.
#[derive(Clone, Debug)]
pub(super) struct Scene {
    pub(super) daemons: usize,
    pub(super) failure: Failure,
    pub(super) failed: BTreeSet<String>,
    /// When they fail.
    pub(super) failed_at: Millis,
    /// When daemons that were killed begin to start again.
    pub(super) restart_at: Millis,
    /// Whether the platform lists a target.
    pub(super) has_target: bool,
    /// The times in which the platform is away: begin and end.
    pub(super) outages: Vec<(Millis, Millis)>,
    pub(super) absence: Absence,
    /// How long an answer takes beyond the time for which it is held, on average.
    pub(super) latency: Millis,
    /// The number of routes before and after the change; a change without more of them changes the first one.
    pub(super) routes: (usize, usize),
    /// How many bytes the link of a daemon passes per millisecond in either direction, and from when on; absent without
    /// a limit.
    pub(super) link: Option<(Millis, u64)>,
}

impl Scene {
    fn is_over(&self, name: &str, at: Millis) -> bool {
        at > self.failed_at && self.failed.contains(name)
    }

    fn is_away(&self, at: Millis) -> bool {
        let mut outages = self.outages.iter();
        outages.any(|(begin, end)| *begin < at && at < *end)
    }

    /// Returns whether a change has to be in force in time at a daemon.
    fn is_sound(&self, name: &str) -> bool {
        self.failure == Failure::Isolated || !self.failed.contains(name)
    }
}

/// What all daemons of a fleet share: the platform, the failures, and the registries.
pub(super) struct World {
    clock: Clock,
    scene: Scene,
    /// When the change is confirmed.
    changed_at: Millis,
    random: Mutex<Random>,
    /// The rules before and after the change.
    rules: [bundle::Bundle; 2],
    /// Until when the outgoing and the incoming link of each daemon are in use.
    links: Mutex<BTreeMap<(String, Direction), Instant>>,
    /// The daemons that called the platform after [`Scene::failed_at`].
    callers: Mutex<BTreeSet<String>>,
    /// The calls to the platform while it was away.
    lost_calls: Mutex<usize>,
    handles: Mutex<BTreeMap<String, daemon_registry::Handle>>,
    members: watch::Sender<Arc<member::View>>,
}

impl World {
    pub(super) fn new(scene: &Scene, changed_at: Millis, seed: u64) -> Arc<World> {
        Arc::new(World {
            clock: Clock::start(),
            scene: scene.clone(),
            changed_at,
            random: Mutex::new(Random(!seed)),
            rules: [rules(1, scene.routes.0), rules(2, scene.routes.1)],
            links: Mutex::default(),
            callers: Mutex::default(),
            lost_calls: Mutex::default(),
            handles: Mutex::default(),
            members: watch::Sender::new(Arc::new(view(scene.daemons))),
        })
    }

    fn is_silent(&self, name: &str) -> bool {
        let now = self.clock.now();
        self.scene.is_over(name, now)
            && match self.scene.failure {
                Failure::Silent => true,
                Failure::CutOff | Failure::Severed | Failure::Lossy | Failure::Isolated => false,
                Failure::Frozen => now - self.scene.failed_at < FROZEN,
                Failure::Killed => now < self.scene.restart_at,
            }
    }

    fn is_cut_off(&self, name: &str) -> bool {
        let is_cut_off = matches!(self.scene.failure, Failure::Silent | Failure::CutOff);
        is_cut_off && self.scene.is_over(name, self.clock.now())
    }

    /// Returns whether nothing passes between two daemons.
    fn is_severed(&self, a: &str, b: &str) -> bool {
        let now = self.clock.now();
        let is_over = |name: &str| self.scene.is_over(name, now);
        match self.scene.failure {
            Failure::Severed => {
                (is_over(a) && domain_of(b) == 0) || (is_over(b) && domain_of(a) == 0)
            }
            Failure::Isolated => is_over(a) || is_over(b),
            _ => false,
        }
    }

    /// Returns how long an answer to `to` takes, which `from` sends unless the platform does.
    fn latency(&self, to: &str, from: Option<&str>) -> Millis {
        let now = self.clock.now();
        let is_lossy = self.scene.failure == Failure::Lossy
            && (self.scene.is_over(to, now) || from.is_some_and(|f| self.scene.is_over(f, now)));
        let mut random = self.random.lock().unwrap();
        let mean = self.scene.latency.0;
        let latency = mean / 2 + below(&mut random, mean + 1);
        match below(&mut random, 6) {
            0 if is_lossy => Millis(latency + 300),
            1 if is_lossy => Millis(latency + 700),
            _ => Millis(latency),
        }
    }

    fn batch(&self, topic: Topic, since: u64, whole: bool) -> Batch {
        let version = 1 + u64::from(self.clock.now() >= self.changed_at);
        let item = match topic {
            Topic::Rules => Item::Rules(Box::new(self.rules[version as usize - 1].clone())),
            Topic::Targets => Item::Target(ServiceTarget {
                service: SERVICE.to_owned(),
                target: bundle::Target {
                    name: "t1".to_owned(),
                    address: "10.0.0.1:80".parse().unwrap(),
                    domain: "lahore-1".to_owned(),
                    slots: 3,
                    connections: 3,
                    leaving: version == 2,
                },
            }),
        };
        let change = Change {
            topic,
            key: "t1".to_owned(),
            revision: version,
            item: Some(item),
            grace: Millis::ZERO,
        };
        let is_kept = topic == Topic::Rules || self.scene.has_target;
        let is_news = is_kept && version > since;
        Batch {
            changes: Vec::from_iter(is_news.then_some(change)),
            revision: version,
            whole,
        }
    }

    /// Sleeps until `end` or until daemons or the platform fail or recover or the rules change, whichever is first.
    /// Shorter sleeps would make the tests slow, since they run thousands of daemons.
    async fn sleep(&self, end: Millis) {
        let now = self.clock.now();
        let failed_at = self.scene.failed_at;
        let changes = [
            end,
            self.changed_at,
            failed_at + Millis(1),
            failed_at + FROZEN,
            self.scene.restart_at,
        ];
        let outages = self.scene.outages.iter();
        let outages = outages.flat_map(|(begin, end)| [*begin + Millis(1), *end]);
        let next = changes.into_iter().chain(outages);
        match next.filter(|at| *at > now && *at < Millis::MAX).min() {
            Some(next) => time::sleep((next - now).span()).await,
            None => future::pending().await,
        }
    }

    /// Passes bytes from a daemon, or from the platform, to a daemon, chunk by chunk so that transfers share a link.
    async fn transmit(&self, from: Option<&str>, to: &str, bytes: usize, arrived: &peer::Arrived) {
        let limit = self.scene.link.filter(|(at, _)| self.clock.now() >= *at);
        let Some((_, rate)) = limit else { return };
        let mut left = bytes;
        let mut arrival = Instant::now();
        while left > 0 {
            let chunk = left.min(CHUNK);
            left -= chunk;
            let span = time::Duration::from_micros(chunk as u64 * 1_000 / rate);
            if let Some(from) = from {
                time::sleep_until(self.reserve(from, Direction::Out, span)).await;
            }
            arrival = self.reserve(to, Direction::In, span);
            time::sleep_until(arrival - span.min(arrival - Instant::now())).await;
            arrived.add(chunk);
        }
        time::sleep_until(arrival).await;
    }

    /// Returns when a link has passed what was sent before, and then `span` more.
    fn reserve(&self, name: &str, direction: Direction, span: time::Duration) -> Instant {
        let now = Instant::now();
        let mut links = self.links.lock().unwrap();
        let free = links.entry((name.to_owned(), direction)).or_insert(now);
        *free = now.max(*free) + span;
        *free
    }

    /// Waits until messages pass between two daemons, or between a daemon and the platform.
    async fn reached(&self, name: &str, from: Option<&str>) {
        let is_lost = || match from {
            Some(from) => self.is_severed(from, name) || self.is_silent(from),
            None => self.is_silent(name),
        };
        while is_lost() {
            self.sleep(Millis::ZERO).await;
        }
    }

    fn handle(&self, name: &str) -> Option<daemon_registry::Handle> {
        self.handles.lock().unwrap().get(name).cloned()
    }

    /// Starts the registry of one daemon, in place of the one that it had before.
    pub(super) async fn start(self: &Arc<World>, name: &str) -> daemon_registry::Handle {
        let daemon = Arc::new(Daemon {
            name: name.to_owned(),
            world: self.clone(),
        });
        let handle = daemon_registry::spawn(daemon_registry::Options {
            recorder: Arc::new(timeline::Recorder::new(name, ids::Incarnation(1))),
            name: name.to_owned(),
            domain: domain_name(domain_of(name)),
            clock: Clock::start(),
            source: daemon.clone(),
            members: self.members.subscribe(),
            sender: daemon,
            hosts: Arc::new(NoHosts),
            metrics: Arc::new(metrics::Metrics::new().unwrap()),
        });
        let handle = handle.await.unwrap();
        let mut handles = self.handles.lock().unwrap();
        handles.insert(name.to_owned(), handle.clone());
        handle
    }

    fn edit_view(&self, edit: impl FnOnce(&mut BTreeMap<String, member::Member>)) {
        self.members
            .send_modify(|view| edit(&mut Arc::make_mut(view).members));
    }

    /// Kills the daemons of the scene and starts them again, if it has any to kill.
    async fn kill_and_restart(self: Arc<World>, seed: u64) {
        let Scene {
            failure, failed, ..
        } = &self.scene;
        if *failure != Failure::Killed {
            return;
        }
        time::sleep((self.scene.failed_at + DETECTION - self.clock.now()).span()).await;
        self.handles
            .lock()
            .unwrap()
            .retain(|name, _| !failed.contains(name));
        self.edit_view(|members| members.retain(|name, _| !failed.contains(name)));
        time::sleep((self.scene.restart_at - self.clock.now()).span()).await;
        let mut random = Random(seed);
        let starts = failed.iter().map(|name| {
            let pause = Millis(below(&mut random, RESTART_SPREAD));
            let world = &self;
            async move {
                time::sleep(pause.span()).await;
                world.start(name).await;
                world.edit_view(|members| {
                    members.insert(name.clone(), member(domain_of(name)));
                });
            }
        });
        future::join_all(starts).await;
    }
}

/// One daemon's view of the world.
#[derive(Clone)]
struct Daemon {
    name: String,
    world: Arc<World>,
}

impl Daemon {
    async fn call(
        &self,
        topic: Topic,
        revision: u64,
        whole: bool,
        wait: Millis,
    ) -> Result<Batch, source::Error> {
        let world = &self.world;
        let scene = &world.scene;
        let begin = world.clock.now();
        if begin > scene.failed_at && !scene.failed.contains(&self.name) {
            world.callers.lock().unwrap().insert(self.name.clone());
        }
        if scene.is_away(begin) {
            *world.lost_calls.lock().unwrap() += 1;
        }
        loop {
            let is_away = scene.is_away(world.clock.now());
            if world.is_cut_off(&self.name) || is_away && scene.absence == Absence::Silent {
                let timeout = begin + wait + CALL_TIMEOUT - world.clock.now();
                time::sleep(timeout.span()).await;
                return source::UnavailableSnafu { reason: "cut off" }.fail();
            }
            if is_away {
                time::sleep(world.latency(&self.name, None).span()).await;
                return source::UnavailableSnafu { reason: "away" }.fail();
            }
            let batch = world.batch(topic, revision, whole);
            let is_due = world.clock.now() >= begin + wait;
            if whole || is_due || !batch.changes.is_empty() {
                time::sleep(world.latency(&self.name, None).span()).await;
                // The store keeps values in base64.
                let bytes = serde_json::to_vec(&batch).unwrap().len() * 4 / 3;
                let arrived = peer::Arrived::default();
                world.transmit(None, &self.name, bytes, &arrived).await;
                // A frozen daemon reads the answer once it goes on.
                world.reached(&self.name, None).await;
                return Ok(batch);
            }
            world.sleep(begin + wait).await;
        }
    }
}

impl source::Source for Daemon {
    fn read(&self, topic: Topic) -> source::Call<'_> {
        Box::pin(self.call(topic, 0, true, Millis::ZERO))
    }

    fn follow(&self, topic: Topic, revision: u64, max_wait: Millis) -> source::Call<'_> {
        Box::pin(self.call(topic, revision, false, max_wait))
    }
}

impl peer::ControlSender for Daemon {
    fn send<'a>(
        &'a self,
        to: &'a str,
        message: peer::ControlMessage,
    ) -> future::BoxFuture<'a, Result<peer::ControlMessage, peer::NoReply>> {
        Box::pin(async move {
            let arrived = peer::Arrived::default();
            self.send_counted(to, message, &arrived).await
        })
    }

    fn send_counted<'a>(
        &'a self,
        to: &'a str,
        message: peer::ControlMessage,
        arrived: &'a peer::Arrived,
    ) -> future::BoxFuture<'a, Result<peer::ControlMessage, peer::NoReply>> {
        Box::pin(async move {
            let Some(handle) = self.world.handle(to) else {
                let reason = "it has not started";
                return peer::NoReplySnafu { to, reason }.fail();
            };
            self.world.reached(&self.name, Some(to)).await;
            let reply = handle.handle("", version::Version::CURRENT, message).await;
            let latency = self.world.latency(&self.name, Some(to));
            time::sleep(latency.span()).await;
            if let peer::ControlMessage::Updates { changes, .. } = &reply {
                let bytes = changes.len();
                let world = &self.world;
                world.transmit(Some(to), &self.name, bytes, arrived).await;
            }
            self.world.reached(&self.name, Some(to)).await;
            Ok(reply)
        })
    }
}

/// Returns rules with a number of routes.
fn rules(version: u64, routes: usize) -> bundle::Bundle {
    let mut random = Random(7);
    let mut word = || format!("{:08x}", (random.unit() * f64::from(u32::MAX)) as u32);
    let routes = (0..routes).map(|i| bundle::Route {
        host: Some(format!("host{}.example", i % 8)),
        prefix: format!("/{}/", word()),
        service: SERVICE.to_owned(),
        timeout_ms: Some(Millis(match i {
            0 => 4_000 + version,
            _ => 4_000,
        })),
        objective_ms: Some(Millis(1_000)),
        tries: Some(2),
        tier: Some("rank-1".to_owned()),
        repeatable: Some(false),
        ..bundle::Route::default()
    });
    bundle::Bundle {
        version,
        services: vec![bundle::Service::without_targets(SERVICE)],
        routes: routes.collect(),
        ..bundle::Bundle::default()
    }
}

/// Returns a uniform number below `bound`.
fn below(random: &mut Random, bound: u64) -> u64 {
    (random.unit() * bound as f64) as u64
}

/// Returns the number of a daemon's failure domain.
fn domain_of(name: &str) -> usize {
    let number: usize = name[1..].parse().unwrap();
    number % DOMAINS
}

fn domain_name(domain: usize) -> String {
    format!("lahore-{domain}")
}

fn member(domain: usize) -> member::Member {
    member::Member {
        peer: "127.0.0.1:1".parse().unwrap(),
        domain: domain_name(domain),
        incarnation: ids::Incarnation(1),
        liveness: member::Liveness::Alive,
        version: 1,
    }
}

pub(super) fn view(daemons: usize) -> member::View {
    let members = (0..daemons).map(|i| (format!("d{i}"), member(i % DOMAINS)));
    member::View {
        members: members.collect(),
    }
}

/// Returns the daemons that others poll, those that poll the platform first.
pub(super) fn readers(view: &member::View) -> Vec<String> {
    let settled = Millis(10_000);
    let rank = |name: &String| {
        let mut selector = SourceSelector::new(Millis::ZERO, name, &view.members[name].domain);
        let polls_platform = selector.next_source(settled, view) == Source::Platform;
        (!polls_platform, selector.is_reader(view))
    };
    let mut readers: Vec<_> = view.members.keys().map(|n| (rank(n), n.clone())).collect();
    readers.retain(|((_, is_reader), _)| *is_reader);
    readers.sort();
    readers.into_iter().map(|(_, name)| name).collect()
}

/// How a change came into force.
pub(super) struct Delay {
    /// The time from its confirmation until it was in force at the daemon that was last, of those that did not fail.
    pub(super) slowest: Millis,
    pub(super) name: String,
    pub(super) seed: u64,
    /// The daemons that called the platform after the failure.
    pub(super) callers: BTreeSet<String>,
    /// The calls to the platform while it was away.
    pub(super) lost_calls: usize,
}

/// Returns how a change came into force that was confirmed at `changed_at`. The seed decides when the daemons start and
/// how long answers take.
pub(super) async fn delay(scene: &Scene, changed_at: Millis, seed: u64) -> Delay {
    let mut random = Random(seed);
    let world = World::new(scene, changed_at, seed);
    let mut waits = Vec::new();
    for name in view(scene.daemons).members.keys() {
        // The phases of the daemons differ.
        let pause = below(&mut random, 2 * START_SPREAD / scene.daemons as u64);
        time::sleep(Millis(pause).span()).await;
        let handle = world.start(name).await;
        if scene.is_sound(name) {
            let (world, name) = (world.clone(), name.clone());
            waits.push(async move {
                let mut bundle = handle.bundle();
                let changed = bundle.wait_for(|b| is_changed(b));
                let end = time::sleep((world.changed_at + GIVE_UP - world.clock.now()).span());
                tokio::select! {
                    changed = changed => drop(changed.expect("the registry runs")),
                    () = end => {}
                }
                (world.clock.now() - world.changed_at, name)
            });
        }
    }
    let killed = tokio::spawn(world.clone().kill_and_restart(seed));
    let slowest = future::join_all(waits).await.into_iter().max();
    let (slowest, name) = slowest.expect("some daemons did not fail");
    killed.abort();
    let callers = world.callers.lock().unwrap().clone();
    let lost_calls = *world.lost_calls.lock().unwrap();
    Delay {
        slowest,
        name,
        seed,
        callers,
        lost_calls,
    }
}

/// Returns whether both parts of the change are in force.
fn is_changed(bundle: &bundle::Bundle) -> bool {
    let mut targets = bundle.services.iter().flat_map(|s| &s.targets);
    bundle.version == 2 && targets.any(|t| t.leaving)
}
