//! A request crashes each upstream that begins to run it, and comes again at machines of all zones.

use std::io;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use review_standin::config::{self, HOST, Route};
use review_standin::fleet::{self, Daemon, Folder, Site};
use review_standin::http::Message;
use review_standin::others::Others;
use review_standin::record::Record;
use review_standin::store::Store;
use review_standin::upstream::Upstream;

const ZONES: [&str; 6] = ["lhr-a", "lhr-b", "rwp-a", "rwp-b", "fsd-a", "fsd-b"];
/// The upstreams of a zone.
const UPSTREAMS: usize = 9;
const PATH: &str = "/fees/7";
/// How often the request comes, and the time between.
const ATTEMPTS: usize = 15;
const INTERVAL: Duration = Duration::from_millis(4_100);
/// The rule counts retries that are sent later than this after the third upstream has crashed.
const CONTACT: Duration = Duration::from_millis(4_000);
/// The retries that may reach an upstream after that.
const ALLOWED: usize = 3;

fn main() -> ExitCode {
    review_standin::main(run)
}

fn run(record: &Record) -> io::Result<bool> {
    let folder = Folder::create("zones")?;
    let ip = fleet::free_address();
    let store = Store::start(ip)?;
    let crashes = review_standin::has_trouble();
    let mut upstreams = Vec::new();
    for i in 0..UPSTREAMS * ZONES.len() {
        let (id, zone) = (format!("i-{i}"), ZONES[i % ZONES.len()]);
        let work = move |request: &Message| {
            let is_poison = request.word(1) == PATH;
            (!(crashes && is_poison)).then_some(Duration::from_millis(310))
        };
        let upstream = Upstream::start(ip, (&id, "khazana", zone), 3, record, Box::new(work))?;
        store.put("servers", &id, &upstream.entry());
        upstreams.push(upstream);
    }
    let routes = [Route {
        prefix: "/fees/",
        service: "khazana",
        kind: "unsafe",
        timeout_ms: 2_500,
        target_latency_ms: 1_200,
        priority: 1,
        max_attempts: 2,
    }];
    store.put("op", "config", &config::config(3, &routes, 67_108_864));
    let daemons = fleet::start(&folder, Site::SabaqLarge, &ZONES, &store, record)?;
    let others = Others::start(record, &daemons, 10, "/fees/other/");
    thread::sleep(Duration::from_millis(3_000));
    let mut sent = Vec::new();
    for attempt in 0..ATTEMPTS {
        let daemon = &daemons[attempt % daemons.len()];
        let name = format!("poison-{attempt}");
        let began = Instant::now();
        sent.push((name.clone(), began));
        send(record, daemon, &name);
        thread::sleep(INTERVAL.saturating_sub(began.elapsed()));
    }
    let broken = others.stop();
    let crashed = Upstream::first_crashes(&upstreams);
    let late = sent.iter().filter(|(name, at)| {
        let is_late = crashed.get(2).is_some_and(|third| *at > *third + CONTACT);
        is_late && !record.runs(name).is_empty()
    });
    let late = late.count();
    record.add(&format!(
        "{} crashes of {} upstreams; {late} retries that were sent later than contact_ms after the third upstream crashed reached an upstream; {ALLOWED} may",
        Upstream::crash_count(&upstreams),
        crashed.len()
    ));
    record.add(&format!("{broken} requests of other clients that an upstream had begun ended without a success"));
    Ok(late > ALLOWED)
}

fn send(record: &Record, daemon: &Daemon, name: &str) {
    record.add(&format!("client sends {name} POST {PATH} to {}", daemon.name));
    let fields = [("Host", HOST), ("Request-Id", name), ("Deadline-Ms", "5000")];
    match fleet::request(daemon.front, &format!("POST {PATH} HTTP/1.1"), &fields, b"fee=1200") {
        Ok(answer) => record.add(&format!("client gets {name} {}", answer.status())),
        Err(e) => record.add(&format!("client gets no answer to {name}: {e}")),
    }
}
