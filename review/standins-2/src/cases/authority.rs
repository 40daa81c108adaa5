//! Machines are added while the store is away for a drill, soon after the system was started for the first time. The
//! store comes back from a copy of before that start.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{CONTACT, Route, Scene, config};
use crate::Verdict;
use crate::client;
use crate::daemon::Daemon;
use crate::server::Server;
use crate::store::Store;

const ROUTES: [Route; 1] = [Route {
    prefix: "/stock/",
    kind: "safe",
    service: "stock",
}];
const AWAY_AT: Duration = Duration::from_millis(1_500);
/// When each machine is added.
const ADDED_AT: [Duration; 2] = [Duration::from_millis(1_700), Duration::from_millis(1_850)];
const BACK_AT: Duration = Duration::from_millis(6_500);
/// When the server first names its limit: long after the last disturbance.
const LIMITED_AT: Duration = Duration::from_millis(14_000);
const END: Duration = Duration::from_millis(26_000);
/// The requests a second that the server takes.
const LIMIT: u32 = 10;
/// The window and the allowance of the rule.
const WINDOW: Duration = Duration::from_secs(4);
const FACTOR: f64 = 1.5;
const SLACK: usize = 5;
/// How long before a request a machine must have passed on an answer with the limit.
const PASSED_ON: Duration = Duration::from_millis(500);

pub fn run(scene: &Scene) -> Verdict {
    let record = &scene.record;
    let store = Store::start();
    let server = Server::start("i-stock-0", Duration::from_millis(20), record);
    store.put(
        "servers",
        "",
        &server.id,
        &server.entry("stock", "ready", 1),
    );
    store.put("op", "", "config", &config(1, &ROUTES, &["stock"]));
    let copy = store.copy();
    let Some(mut daemons) = scene.start_daemons(2, &store) else {
        return Verdict::CouldNotRun;
    };
    scene.wait_until(AWAY_AT);
    if scene.has_trouble {
        store.go_away();
        record.say("the store is away");
    }
    let mut added = Vec::new();
    for (n, at) in (3..).zip(ADDED_AT) {
        scene.wait_until(at);
        let mut daemon = Daemon::new(n, store.address, &scene.folder);
        daemon.end_bootstrap();
        daemon.start();
        record.say(&format!("the machine {} is added", daemon.name));
        added.push(daemon);
    }
    scene.wait_until(BACK_AT);
    if scene.has_trouble {
        store.come_back(copy);
        record.say("the store is back from a copy that is 6.5 s old");
    }
    for daemon in added {
        if !daemon.wait_until_ready() {
            record.say(&format!("{} does not become ready", daemon.name));
            return Verdict::CouldNotRun;
        }
        record.line(&format!("{} is ready", daemon.name));
        daemons.push(daemon);
    }
    scene.wait_until(LIMITED_AT);
    server.name_limit(LIMIT);
    record.say(&format!(
        "the server names Server-Limit: {LIMIT} from now on"
    ));
    let passed_on = load(scene, &daemons);
    let counted: Vec<_> = server
        .runs()
        .into_iter()
        .filter(|run| run.at >= LIMITED_AT + CONTACT)
        .filter(|run| {
            let of = |(name, at): &(String, Duration)| {
                run.id.starts_with(&format!("{name}/")) && *at + PASSED_ON <= run.at
            };
            passed_on.iter().any(of)
        })
        .map(|run| run.at)
        .collect();
    let in_window = |from: &Duration| {
        let inside = counted
            .iter()
            .filter(|at| (*from..*from + WINDOW).contains(at));
        inside.count()
    };
    let most = counted.iter().map(in_window).max().unwrap_or(0);
    let allowed = (FACTOR * f64::from(LIMIT) * WINDOW.as_secs_f64()) as usize + SLACK;
    for daemon in &daemons {
        for line in daemon.log_lines("another authority") {
            record.say(&format!("log of {}: {line}", daemon.name));
        }
    }
    record.say(&format!(
        "within 4 s the server got {most} requests from machines that had passed on its limit; {allowed} are allowed"
    ));
    match (counted.is_empty(), most > allowed) {
        (true, _) => Verdict::CouldNotRun,
        (false, true) => Verdict::Broken,
        (false, false) => Verdict::Held,
    }
}

/// Sends requests to all daemons until the end; returns when each first passed on an answer of the server.
fn load(scene: &Scene, daemons: &[Daemon]) -> Vec<(String, Duration)> {
    const CLIENTS: usize = 3;
    let passed_on = Arc::new(Mutex::new(Vec::<(String, Duration)>::new()));
    let mut clients = Vec::new();
    for daemon in daemons {
        for n in 0..CLIENTS {
            let (name, front) = (daemon.name.clone(), daemon.front);
            let (record, passed_on) = (scene.record.clone(), passed_on.clone());
            clients.push(thread::spawn(move || {
                let mut sent = 0;
                while record.now() < END {
                    sent += 1;
                    let id = format!("{name}/{n}-{sent}");
                    let request = client::get(&id, "/stock/wheels", 1_000);
                    let (status, _) = client::send(&record, front, &id, &request);
                    if status == 200 {
                        let mut passed_on = passed_on.lock().unwrap();
                        if !passed_on.iter().any(|(of, _)| *of == name) {
                            passed_on.push((name.clone(), record.now()));
                        }
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            }));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    Arc::try_unwrap(passed_on).map_or(Vec::new(), |p| p.into_inner().unwrap())
}
