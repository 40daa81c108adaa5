//! Two of fifteen upstreams crash once while many clients read the same page, which a version of the configuration has
//! added. The page isn't served any more long after the upstreams are back.

use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use review_standin::config::{self, HOST, Route};
use review_standin::fleet::{self, Daemon, Folder, Site};
use review_standin::http::Message;
use review_standin::record::Record;
use review_standin::store::Store;
use review_standin::upstream::Upstream;

const ZONES: [&str; 3] = ["lhr-a", "lhr-b", "rwp-a"];
/// The upstreams of a zone, and those that crash: a share of 0.133.
const UPSTREAMS: usize = 5;
const CRASHED: usize = 2;
/// The clients of the added route, which all read one page, and those of the first route, each of which reads its own.
const ADDED: usize = 39;
const FIRST: usize = 6;
/// The mean work of `timetable-browse`.
const WORK: Duration = Duration::from_millis(320);
/// How long the upstreams are down.
const DOWN: Duration = Duration::from_millis(4_500);
const CONTACT: Duration = Duration::from_millis(3_000);
/// How long the served shares are compared.
const STEADY: Duration = Duration::from_secs(20);

fn main() -> ExitCode {
    review_standin::main(run)
}

/// The requests of a route, and those that were served.
#[derive(Default)]
struct Count {
    sent: AtomicUsize,
    served: AtomicUsize,
}

impl Count {
    fn get(&self) -> (usize, usize) {
        (self.sent.load(Ordering::SeqCst), self.served.load(Ordering::SeqCst))
    }
}

fn route(prefix: &'static str) -> Route {
    Route {
        prefix,
        service: "jadwal",
        kind: "safe",
        timeout_ms: 1_500,
        target_latency_ms: 1_000,
        priority: 2,
        max_attempts: 2,
    }
}

fn run(record: &Record) -> io::Result<bool> {
    let folder = Folder::create("popular")?;
    let ip = fleet::free_address();
    let store = Store::start(ip)?;
    let mut upstreams = Vec::new();
    for i in 0..UPSTREAMS * ZONES.len() {
        let (id, zone) = (format!("i-{i}"), ZONES[i % ZONES.len()]);
        let work = |_: &Message| Some(WORK);
        let upstream = Upstream::start(ip, (&id, "jadwal", zone), 3, record, Box::new(work))?;
        store.put("servers", &id, &upstream.entry());
        upstreams.push(upstream);
    }
    store.put("op", "config", &config::config(3, &[route("/clubs/")], 67_108_864));
    let daemons = fleet::start(&folder, Site::Sabaq, &ZONES, &store, record)?;
    store.put("op", "config", &config::config(5, &[route("/clubs/"), route("/trips/")], 67_108_864));
    record.add("the store has acknowledged r5, which adds /trips/");
    thread::sleep(Duration::from_millis(2_500));
    let (first, added) = (Arc::new(Count::default()), Arc::new(Count::default()));
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..ADDED + FIRST {
        let (path, count) = match client < ADDED {
            true => ("/trips/list".to_owned(), added.clone()),
            false => (format!("/clubs/{client}"), first.clone()),
        };
        clients.push(spawn(record, &daemons[client % daemons.len()], client, path, count, stop.clone()));
    }
    thread::sleep(Duration::from_secs(5));
    record.add(&format!("served so far, of those sent: first route {:?}, added route {:?}", first.get(), added.get()));
    if review_standin::has_trouble() {
        record.add(&format!("{CRASHED} of {} upstreams crash", upstreams.len()));
        upstreams.iter().take(CRASHED).for_each(|u| u.crash(DOWN));
    }
    thread::sleep(DOWN + CONTACT);
    record.add("the upstreams are back for contact_ms");
    let before = (first.get(), added.get());
    let began = Instant::now();
    while began.elapsed() < STEADY {
        thread::sleep(Duration::from_millis(200));
    }
    let after = (first.get(), added.get());
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let share = |from: (usize, usize), to: (usize, usize)| (to.1 - from.1) as f64 / (to.0 - from.0).max(1) as f64;
    let (of_first, of_added) = (share(before.0, after.0), share(before.1, after.1));
    let count = after.1.0 - before.1.0;
    record.add(&format!(
        "in {} s of steady state: the first route is served {of_first:.3} of the time, the added route {of_added:.3}, of {count} requests",
        STEADY.as_secs()
    ));
    Ok(count >= 20 && of_added < of_first / 4.0)
}

fn spawn(record: &Record, daemon: &Daemon, client: usize, path: String, count: Arc<Count>, stop: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let (record, front) = (record.clone(), daemon.front);
    thread::spawn(move || {
        for n in 0.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let name = format!("read-{client}-{n}");
            let fields = [("Host", HOST), ("Request-Id", name.as_str()), ("Deadline-Ms", "3000")];
            count.sent.fetch_add(1, Ordering::SeqCst);
            let answer = fleet::request(front, &format!("GET {path} HTTP/1.1"), &fields, b"");
            let status = answer.as_ref().map(Message::status).unwrap_or_default();
            count.served.fetch_add(usize::from(status == 200), Ordering::SeqCst);
            if status != 200 {
                let after = answer.ok().and_then(|a| a.field("retry-after").map(str::to_owned));
                record.add(&format!("client gets {name} {path} {status}, Retry-After {after:?}"));
                // A client that honours Retry-After waits for a third of the time that it has left at most.
                thread::sleep(Duration::from_millis(1_000));
            }
        }
    })
}
