//! Two daemons are stopped in turn. Requests that come a little over 3 s after the SIGTERM of the second one, on
//! connections that clients keep open, are read and passed on, and the process ends before they are answered.

use std::io;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use review_standin::config::{self, HOST, Route};
use review_standin::fleet::{self, Daemon, Folder, Site};
use review_standin::http::{Connection, Message};
use review_standin::record::Record;
use review_standin::store::Store;
use review_standin::system;
use review_standin::upstream::Upstream;

/// The connections that clients keep open to the daemon that gets SIGTERM. Each carries one request later.
const KEPT: usize = 40;
/// When the first of these requests is sent, after SIGTERM, and the time between two of them.
const FIRST_AT: Duration = Duration::from_millis(3_050);
const STEP: Duration = Duration::from_millis(18);
/// The work of these requests, below the most that the site has for `seat-check` (3,600 ms).
const WORK: Duration = Duration::from_millis(2_800);
/// The mean work of `seat-check`.
const MEAN: Duration = Duration::from_millis(600);
/// The time-out of the route and the deadline of `seat-check`.
const TIMEOUT: Duration = Duration::from_millis(3_000);
const DEADLINE: Duration = Duration::from_millis(6_000);
const GRACE: Duration = Duration::from_millis(6_000);
/// The rule excuses requests that were sent no later than this after SIGTERM and at work in the last sixth of the grace.
const EXCUSED_UNTIL: Duration = Duration::from_millis(3_000);

fn main() -> ExitCode {
    review_standin::main(run)
}

/// How a request ended.
struct End {
    name: String,
    /// When its last byte was sent, after SIGTERM.
    sent: Duration,
    took: Duration,
    status: Option<u16>,
}

fn run(record: &Record) -> io::Result<bool> {
    let folder = Folder::create("term")?;
    let ip = fleet::free_address();
    let store = Store::start(ip)?;
    let work = |request: &Message| Some(if request.word(1).ends_with("long") { WORK } else { MEAN });
    let mut upstreams = Vec::new();
    for i in 0..24 {
        let id = format!("i-{i}");
        let upstream = Upstream::start(ip, (&id, "nashist", "zone-a"), 3, record, Box::new(work))?;
        store.put("servers", &id, &upstream.entry());
        upstreams.push(upstream);
    }
    let routes = [Route {
        prefix: "/seats/",
        service: "nashist",
        kind: "safe",
        timeout_ms: TIMEOUT.as_millis() as u64,
        target_latency_ms: 1_500,
        priority: 2,
        max_attempts: 2,
    }];
    store.put("op", "config", &config::config(3, &routes, 67_108_864));
    let mut daemons = fleet::start(&folder, Site::Sabaq, &["zone-a"; 4], &store, record)?;
    // Ordinary requests, by which the daemons come to use all slots of the upstreams.
    let mut opening = Vec::new();
    for i in 0..KEPT {
        let (mut connection, record) = (daemons[0].connect()?, record.clone());
        opening.push(thread::spawn(move || {
            for n in 0..3 {
                let end = exchange(&record, &mut connection, &format!("early-{i}-{n}"), "/seats/short", Instant::now())?;
                if end.status != Some(200) {
                    return Err(io::Error::other("an ordinary request is not served"));
                }
            }
            Ok(connection)
        }));
    }
    let mut kept = Vec::new();
    for opened in opening {
        kept.push(opened.join().map_err(|_| io::Error::other("a client failed"))??);
    }
    thread::sleep(Duration::from_secs(1));
    if review_standin::has_trouble() {
        daemons[1].signal(system::SIGTERM);
        record.add(&format!("SIGTERM to {}, which has no clients", daemons[1].name));
        let began = Instant::now();
        end_of(&mut daemons[1], record, began);
    }
    let term = Instant::now();
    if review_standin::has_trouble() {
        daemons[0].signal(system::SIGTERM);
        record.add(&format!("SIGTERM to {}", daemons[0].name));
    }
    let mut threads = Vec::new();
    for (i, mut connection) in kept.into_iter().enumerate() {
        let record = record.clone();
        threads.push(thread::spawn(move || {
            thread::sleep((FIRST_AT + STEP * i as u32).saturating_sub(term.elapsed()));
            exchange(&record, &mut connection, &format!("late-{i}"), "/seats/long", term)
        }));
    }
    if review_standin::has_trouble() {
        end_of(&mut daemons[0], record, term);
    }
    let mut lost = 0;
    for end in threads.into_iter().flat_map(|t| t.join()).flatten() {
        let passed_on = !record.runs(&end.name).is_empty();
        let is_lost = end.status.is_none() && passed_on && end.sent > EXCUSED_UNTIL && end.took < TIMEOUT;
        lost += usize::from(is_lost);
    }
    record.add(&format!(
        "{lost} requests that were sent later than 3 s after SIGTERM and passed on to an upstream ended without an answer, \
         within their deadline and the route's time-out"
    ));
    Ok(lost > 0)
}

/// Waits for the process to end within the grace, and kills it after that, as the platform does.
fn end_of(daemon: &mut Daemon, record: &Record, term: Instant) {
    daemon.wait_for_end(GRACE.saturating_sub(term.elapsed()));
    record.add(&format!("{} has ended, or was killed, {} ms after SIGTERM", daemon.name, term.elapsed().as_millis()));
}

/// Sends a request on a connection that stays open.
fn exchange(record: &Record, connection: &mut Connection, name: &str, path: &str, term: Instant) -> io::Result<End> {
    let deadline = DEADLINE.as_millis().to_string();
    let fields = [("Host", HOST), ("Request-Id", name), ("Deadline-Ms", deadline.as_str())];
    connection.stream.set_read_timeout(Some(DEADLINE + Duration::from_millis(500)))?;
    let written = connection.send(&format!("GET {path} HTTP/1.1"), &fields, b"");
    let (sent, began) = (term.elapsed(), Instant::now());
    record.add(&format!("client has sent {name} GET {path}: {written:?}"));
    let answer = written.and_then(|()| connection.read());
    let took = began.elapsed();
    match &answer {
        Ok(answer) => record.add(&format!("client gets {name} {} after {} ms", answer.status(), took.as_millis())),
        Err(e) => record.add(&format!("the connection of {name} ends without an answer after {} ms: {e}", took.as_millis())),
    }
    Ok(End {
        name: name.to_owned(),
        sent,
        took,
        status: answer.ok().map(|a| a.status()),
    })
}
