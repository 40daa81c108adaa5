//! A request with a long body crashes each upstream that begins to run it, and comes again with the same path, caller
//! and body. Its bytes arrive in other pieces each time, as they do over a network.

use std::io;
use std::net::Shutdown;
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

/// The length of the body, far below `max_body_bytes`.
const BODY: usize = 200 * 1024;
const PATH: &str = "/scans/7";
/// How often the request comes, and the time between.
const ATTEMPTS: usize = 14;
const INTERVAL: Duration = Duration::from_millis(1_500);
/// The rule counts retries that are sent later than this after the third upstream has crashed.
const CONTACT: Duration = Duration::from_millis(3_000);
/// The retries that may reach an upstream after that.
const ALLOWED: usize = 3;

fn main() -> ExitCode {
    review_standin::main(run)
}

fn run(record: &Record) -> io::Result<bool> {
    let folder = Folder::create("upload")?;
    let ip = fleet::free_address();
    let store = Store::start(ip)?;
    let crashes = review_standin::has_trouble();
    let mut upstreams = Vec::new();
    for i in 0..6 {
        let (id, zone) = (format!("i-{i}"), ["zone-a", "zone-b"][i % 2]);
        let work = move |request: &Message| {
            let is_poison = request.word(1) == PATH;
            (!(crashes && is_poison)).then_some(Duration::from_millis(240))
        };
        let upstream = Upstream::start(ip, (&id, "khazana", zone), 3, record, Box::new(work))?;
        store.put("servers", &id, &upstream.entry());
        upstreams.push(upstream);
    }
    let routes = [Route {
        prefix: "/scans/",
        service: "khazana",
        kind: "unsafe",
        timeout_ms: 2_000,
        target_latency_ms: 1_000,
        priority: 1,
        max_attempts: 2,
    }];
    store.put("op", "config", &config::config(3, &routes, 67_108_864));
    let daemons = fleet::start(&folder, Site::Scriobh, &["zone-a", "zone-b", "zone-a"], &store, record)?;
    let others = Others::start(record, &daemons, 1, "/scans/fee/");
    thread::sleep(Duration::from_millis(1_000));
    let body: Vec<u8> = (0..BODY).map(|i| (i * 31 % 251) as u8).collect();
    let mut sent = Vec::new();
    for attempt in 0..ATTEMPTS {
        let daemon = &daemons[attempt % daemons.len()];
        let name = format!("poison-{attempt}");
        let began = Instant::now();
        sent.push((name.clone(), began));
        send(record, daemon, &name, &body, attempt);
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

/// Sends the request in pieces whose lengths differ from attempt to attempt.
fn send(record: &Record, daemon: &Daemon, name: &str, body: &[u8], attempt: usize) {
    record.add(&format!("client sends {name} POST {PATH}, {} bytes, to {}", body.len(), daemon.name));
    let sent = || -> io::Result<Message> {
        let mut connection = daemon.connect()?;
        connection.stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let head = format!(
            "POST {PATH} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {name}\r\nDeadline-Ms: 4000\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        connection.write(head.as_bytes())?;
        let mut rest = body;
        let mut random = attempt as u32 + 1;
        while !rest.is_empty() {
            random = random.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let (part, after) = rest.split_at(rest.len().min(1_400 + (random >> 16) as usize % 12_000));
            // The daemon may answer before it has read all; then the answer is due.
            if connection.write(part).is_err() {
                break;
            }
            rest = after;
            thread::sleep(Duration::from_millis(1));
        }
        let answer = connection.read();
        let _ = connection.stream.shutdown(Shutdown::Both);
        answer
    };
    match sent() {
        Ok(answer) => record.add(&format!("client gets {name} {}", answer.status())),
        Err(e) => record.add(&format!("client gets no answer to {name}: {e}")),
    }
}
