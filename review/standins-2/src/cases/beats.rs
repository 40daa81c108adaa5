//! The store performs a write of an upstream seconds late, without having answered it. The upstream has reported since
//! that it drains, with a higher `seq`.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use super::{DRAIN, Route, Scene, config};
use crate::Verdict;
use crate::client;
use crate::server::Server;
use crate::store::Store;

const ROUTES: [Route; 1] = [Route {
    prefix: "/booking/",
    kind: "unsafe",
    service: "odbiory",
}];
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const FIRST_BEAT: Duration = Duration::from_millis(2_000);
/// The beat whose answer is lost, and which is performed late; it is due 3.5 s after the start.
const LOST_SEQ: u32 = 3;
/// When the upstream reports that it drains: longer than `contact_ms` after the store lost an answer.
const DRAINING_AT: Duration = Duration::from_millis(7_200);
/// When the lost write is performed: 5.8 s after it was sent.
const LATE_AT: Duration = Duration::from_millis(9_300);
/// When the upstream's process ends: `drain_ms` after the report and a little longer.
const LEFT_AT: Duration = Duration::from_millis(9_600);
/// The pause of each of the four clients: with the work, 4.3 requests a second in all, as the sheet has it.
const PAUSE: Duration = Duration::from_millis(740);
const END: Duration = Duration::from_millis(12_000);

/// An upstream's entry, which changes when more than `seq` changes.
struct Entry<'a> {
    store: &'a Store,
    server: &'a Server,
    state: &'static str,
}

impl Entry<'_> {
    fn apply(&mut self, state: &'static str, seq: u32) {
        if self.state != state {
            self.state = state;
            let entry = self.server.entry("odbiory", state, seq);
            self.store.put("servers", "", &self.server.id, &entry);
        }
    }
}

pub fn run(scene: &Scene) -> Verdict {
    let record = &scene.record;
    let store = Store::start();
    let work = Duration::from_millis(180);
    let servers: Vec<_> = (0..6)
        .map(|n| Server::start(&format!("i-odbiory-{n}"), work, record))
        .collect();
    let leaving = &servers[0];
    for server in &servers[1..] {
        store.put(
            "servers",
            "",
            &server.id,
            &server.entry("odbiory", "ready", 1),
        );
    }
    let mut entry = Entry {
        store: &store,
        server: leaving,
        state: "",
    };
    entry.apply("ready", 1);
    store.put("op", "", "config", &config(1, &ROUTES, &["odbiory"]));
    let Some(daemons) = scene.start_daemons(2, &store) else {
        return Verdict::CouldNotRun;
    };
    let has_ended = Arc::new(AtomicBool::new(false));
    let cut = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for daemon in &daemons {
        for n in 0..2 {
            let (front, name) = (daemon.front, daemon.name.clone());
            let (record, has_ended, cut) = (record.clone(), has_ended.clone(), cut.clone());
            clients.push(thread::spawn(move || {
                let mut sent = 0;
                while !has_ended.load(Ordering::SeqCst) {
                    sent += 1;
                    let id = format!("{name}-{n}-{sent}");
                    let request = client::post(&id, "/booking/van", 2_000);
                    let (status, _) = client::send(&record, front, &id, &request);
                    cut.fetch_add(usize::from(status == 502), Ordering::SeqCst);
                    thread::sleep(PAUSE);
                }
            }));
        }
    }
    beat(scene, &mut entry);
    leaving.leave();
    store.remove("servers", "", &leaving.id);
    record.say("the upstream's process ends, and its entry is removed");
    scene.wait_until(END);
    has_ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let runs = leaving.runs();
    let late: Vec<_> = runs.iter().filter(|r| r.at > DRAINING_AT + DRAIN).collect();
    for run in &late {
        let after = (run.at - DRAINING_AT).as_millis();
        record.line(&format!(
            "{} reached the upstream {after} ms after the store had acknowledged that it drains",
            run.id
        ));
    }
    record.say(&format!(
        "{} requests reached the draining upstream later than drain_ms after the acknowledgement; {} requests in all \
         were answered with 502",
        late.len(),
        cut.load(Ordering::SeqCst)
    ));
    match (runs.is_empty(), late.is_empty()) {
        (true, _) => Verdict::CouldNotRun,
        (false, true) => Verdict::Held,
        (false, false) => Verdict::Broken,
    }
}

/// Writes the upstream's beats until it leaves.
fn beat(scene: &Scene, entry: &mut Entry<'_>) {
    let record = &scene.record;
    let mut seq = 1;
    let mut next = FIRST_BEAT;
    while next < DRAINING_AT {
        scene.wait_until(next);
        seq += 1;
        if seq == LOST_SEQ && scene.has_trouble {
            record.say(&format!(
                "the store does not answer the beat {seq} (ready), and performs it later"
            ));
        } else {
            entry.apply("ready", seq);
            record.line(&format!("beat {seq}: ready"));
        }
        next += HEARTBEAT;
    }
    scene.wait_until(DRAINING_AT);
    seq += 1;
    entry.server.begin_leaving();
    entry.apply("draining", seq);
    record.say(&format!(
        "beat {seq}: draining; the store has acknowledged it"
    ));
    let mut is_late = scene.has_trouble;
    next = DRAINING_AT + HEARTBEAT;
    while next < LEFT_AT {
        if is_late && LATE_AT < next {
            is_late = false;
            perform_late(scene, entry);
        }
        scene.wait_until(next);
        seq += 1;
        entry.apply("draining", seq);
        record.line(&format!("beat {seq}: draining"));
        next += HEARTBEAT;
    }
    if is_late {
        perform_late(scene, entry);
    }
    scene.wait_until(LEFT_AT);
}

fn perform_late(scene: &Scene, entry: &mut Entry<'_>) {
    scene.wait_until(LATE_AT);
    entry.apply("ready", LOST_SEQ);
    scene
        .record
        .say(&format!("the store performs the beat {LOST_SEQ} (ready)"));
}
