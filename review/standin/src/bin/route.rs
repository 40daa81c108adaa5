//! A change of the configuration adds a route below another one. Requests whose path lacks the last slash of the new
//! prefix still belong to the old route.

use std::io;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use review_standin::config::{self, HOST, Route};
use review_standin::fleet::{self, Daemon, Folder, Site};
use review_standin::record::Record;
use review_standin::store::Store;
use review_standin::upstream::Upstream;

/// The bound of the configuration and some more, so that each request is sent under the new version for certain.
const AFTER_CHANGE: Duration = Duration::from_millis(2_000 + 1_000);

fn main() -> ExitCode {
    review_standin::main(run)
}

fn route(prefix: &'static str, service: &'static str) -> Route {
    Route {
        prefix,
        service,
        kind: "safe",
        timeout_ms: 1_500,
        target_latency_ms: 1_000,
        priority: 2,
        max_attempts: 2,
    }
}

fn run(record: &Record) -> io::Result<bool> {
    let folder = Folder::create("route")?;
    let ip = fleet::free_address();
    let store = Store::start(ip)?;
    let mut upstreams = Vec::new();
    for (id, service, zone) in [
        ("i-11", "jadwal", "zone-a"),
        ("i-12", "jadwal", "zone-b"),
        ("i-21", "khazana", "zone-a"),
        ("i-22", "khazana", "zone-b"),
    ] {
        let work = Box::new(|_: &_| Some(Duration::from_millis(30)));
        let upstream = Upstream::start(ip, (id, service, zone), 3, record, work)?;
        store.put("servers", id, &upstream.entry());
        upstreams.push(upstream);
    }
    let first = [route("/clubs/", "jadwal"), route("/ledger/", "khazana")];
    store.put("op", "config", &config::config(3, &first, 67_108_864));
    let daemons = fleet::start(&folder, Site::Sabaq, &["zone-a", "zone-a", "zone-b"], &store, record)?;
    send_all(record, &daemons, "before", "/clubs/fees");
    if review_standin::has_trouble() {
        let second = [first, [route("/clubs/fees/", "khazana"), route("/clubs/seats/", "khazana")]];
        let second: Vec<_> = second.into_iter().flatten().collect();
        store.put("op", "config", &config::config(7, &second, 67_108_864));
        record.add("the store has acknowledged r7, which adds /clubs/fees/ and /clubs/seats/ to khazana");
    }
    thread::sleep(AFTER_CHANGE);
    let mut wrong = 0;
    for round in 0..5 {
        for path in ["/clubs/fees", "/clubs/seats", "/clubs/fees?club=7"] {
            let names = send_all(record, &daemons, &format!("after-{round}"), path);
            wrong += names.iter().filter(|n| record.runs(n).iter().any(|s| s == "khazana")).count();
        }
    }
    record.add(&format!(
        "{wrong} of 45 requests were run by khazana, to which only paths that begin with /ledger/, /clubs/fees/ or /clubs/seats/ may go"
    ));
    Ok(wrong > 0)
}

/// Sends a request to each daemon, and returns the ids.
fn send_all(record: &Record, daemons: &[Daemon], round: &str, path: &str) -> Vec<String> {
    let send = |daemon: &Daemon| {
        let name = format!("{round}-{}{}", daemon.name, path.replace(['/', '?', '='], "-"));
        let fields = [("Host", HOST), ("Request-Id", name.as_str()), ("Deadline-Ms", "3000")];
        record.add(&format!("client sends {name} GET {path} to {}", daemon.name));
        match fleet::request(daemon.front, &format!("GET {path} HTTP/1.1"), &fields, b"") {
            Ok(answer) => record.add(&format!(
                "client gets {name} {} signature {:?} body {:?}",
                answer.status(),
                answer.field("response-signature").unwrap_or("none"),
                String::from_utf8_lossy(&answer.body)
            )),
            Err(e) => record.add(&format!("client gets no answer to {name}: {e}")),
        }
        name
    };
    daemons.iter().map(send).collect()
}
