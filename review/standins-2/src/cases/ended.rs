//! The store comes back from a copy that still lists upstreams that have left. Machines that were added after they had left
//! take the copy's word.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::{CONTACT, DRAIN, Route, Scene, config};
use crate::Verdict;
use crate::client;
use crate::daemon::Daemon;
use crate::server::Server;
use crate::store::Store;

const SERVICES: [&str; 4] = ["magazyn", "wyplaty", "cennik", "odbiory"];
const ROUTES: [Route; 4] = [
    Route {
        prefix: "/magazyn/",
        kind: "safe",
        service: "magazyn",
    },
    Route {
        prefix: "/wyplaty/",
        kind: "unsafe",
        service: "wyplaty",
    },
    Route {
        prefix: "/cennik/",
        kind: "safe",
        service: "cennik",
    },
    Route {
        prefix: "/odbiory/",
        kind: "unsafe",
        service: "odbiory",
    },
];
const COPIED_AT: Duration = Duration::from_millis(2_000);
/// When the entries of the upstreams that leave, one of each service, are removed; they serve on for many seconds.
const REMOVED_AT: Duration = Duration::from_millis(4_000);
const ADDED_AT: Duration = Duration::from_millis(4_200);
const ADDED: u8 = 3;
const AWAY_AT: Duration = Duration::from_millis(5_500);
const BACK_AT: Duration = Duration::from_millis(6_000);
/// When the store removes the entries that came back: three heartbeat intervals of 1.5 s without a beat.
const EXPIRED_AT: Duration = Duration::from_millis(10_500);
/// The time between a request's arrival at a machine and at an upstream.
const TAKEN: Duration = Duration::from_millis(100);
const LEFT_AT: Duration = Duration::from_millis(12_000);

pub fn run(scene: &Scene) -> Verdict {
    let record = &scene.record;
    let store = Store::start();
    let work = Duration::from_millis(120);
    let start = |service: &str| -> Vec<Server> {
        let started = (0..3).map(|n| Server::start(&format!("i-{service}-{n}"), work, record));
        started.collect()
    };
    let groups: Vec<_> = SERVICES.iter().map(|s| (*s, start(s))).collect();
    let write_entries = |with_leaving: bool| {
        for (service, servers) in &groups {
            for server in &servers[usize::from(!with_leaving)..] {
                let entry = server.entry(service, "ready", 1);
                store.put("servers", "", &server.id, &entry);
            }
        }
    };
    let remove_leaving = || {
        for (_, servers) in &groups {
            store.remove("servers", "", &servers[0].id);
        }
    };
    let rules = config(1, &ROUTES, &SERVICES);
    write_entries(true);
    store.put("op", "", "config", &rules);
    let Some(mut daemons) = scene.start_daemons(2, &store) else {
        return Verdict::CouldNotRun;
    };
    scene.wait_until(COPIED_AT);
    let copy = store.copy();
    scene.wait_until(REMOVED_AT);
    remove_leaving();
    record.say("the entries of four upstreams are removed; they serve on");
    scene.wait_until(ADDED_AT);
    for n in 3..3 + ADDED {
        let mut daemon = Daemon::new(n, store.address, &scene.folder);
        daemon.end_bootstrap();
        daemon.start();
        daemons.push(daemon);
    }
    if !daemons.iter().all(Daemon::wait_until_ready) || record.now() >= AWAY_AT {
        record.say("the added machines do not become ready in time");
        return Verdict::CouldNotRun;
    }
    record.say("three machines are added and ready");
    let has_ended = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for daemon in &daemons {
        for route in &ROUTES {
            let (prefix, kind) = (route.prefix, route.kind);
            let (front, name) = (daemon.front, daemon.name.clone());
            let (record, has_ended) = (record.clone(), has_ended.clone());
            clients.push(thread::spawn(move || {
                let mut sent = 0;
                while !has_ended.load(Ordering::SeqCst) {
                    sent += 1;
                    let id = format!("{name}{prefix}{sent}");
                    let request = match kind {
                        "safe" => client::get(&id, prefix, 2_000),
                        _ => client::post(&id, prefix, 2_000),
                    };
                    client::send(&record, front, &id, &request);
                    thread::sleep(Duration::from_millis(50));
                }
            }));
        }
    }
    scene.wait_until(AWAY_AT);
    if scene.has_trouble {
        store.go_away();
        record.say("the store is away");
        scene.wait_until(BACK_AT);
        store.come_back(copy);
        record.say("the store is back from a copy that is 4 s old");
        // What the operator and the living upstreams wrote is written again.
        store.put("op", "", "config", &rules);
        write_entries(false);
    }
    scene.wait_until(EXPIRED_AT);
    if scene.has_trouble {
        remove_leaving();
        record.say("the store removes the entries of the four upstreams, which were silent");
    }
    scene.wait_until(LEFT_AT);
    has_ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    // From then on the store is stable and all machines are in touch, also while they take a request from its client.
    let calm = (BACK_AT + CONTACT).max(REMOVED_AT + DRAIN) + TAKEN;
    let leaving = groups.iter().map(|(_, servers)| &servers[0]);
    let runs = leaving.flat_map(|server| server.runs());
    let late: Vec<_> = runs.filter(|r| r.at > calm).collect();
    for run in &late {
        let after = (run.at - REMOVED_AT).as_millis();
        record.line(&format!(
            "{} reached its upstream {after} ms after the entry was removed",
            run.id
        ));
    }
    record.say(&format!(
        "{} requests reached upstreams that had left: {:?}",
        late.len(),
        late.iter().map(|r| &r.id).collect::<Vec<_>>()
    ));
    match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
