//! Clients leave before their deadline; some of them had sent a further request on the connection.

use std::io::Write;
use std::thread;
use std::time::Duration;

use super::{Route, Scene, config};
use crate::Verdict;
use crate::client;
use crate::http;
use crate::server::Server;
use crate::store::Store;

const ROUTES: [Route; 2] = [
    Route {
        prefix: "/seats/",
        kind: "safe",
        service: "seats",
    },
    Route {
        prefix: "/clubs/",
        kind: "safe",
        service: "clubs",
    },
];
/// The clients that stay until they have their answers.
const STAYING: usize = 56;
/// The clients that leave: three tenths of all.
const CLIENTS: usize = 24;
/// The requests that a client sends at once, if it sends more than one.
const PIPELINED: usize = 4;
const DEADLINE_MS: u32 = 4_500;
/// How long an upstream works on a request.
const WORK: Duration = Duration::from_millis(1_500);
/// The few requests that may still reach upstreams.
const A_FEW: usize = 5;
/// How long after it has sent its requests a client leaves.
const PATIENCE: Duration = Duration::from_millis(600);
/// How long an upstream may still be at work after the client has left.
const ALLOWED: Duration = Duration::from_millis(500);

pub fn run(scene: &Scene) -> Verdict {
    let record = &scene.record;
    let store = Store::start();
    let servers: Vec<_> = (0..8)
        .map(|n| Server::start(&format!("i-seats-{n}"), WORK, record))
        .collect();
    for server in &servers {
        store.put(
            "servers",
            "",
            &server.id,
            &server.entry("seats", "ready", 1),
        );
    }
    let clubs = Server::start("i-clubs-0", Duration::from_millis(30), record);
    store.put("servers", "", &clubs.id, &clubs.entry("clubs", "ready", 1));
    let rules = config(1, &ROUTES, &["seats", "clubs"]);
    store.put("op", "", "config", &rules);
    let Some(daemons) = scene.start_daemons(2, &store) else {
        return Verdict::CouldNotRun;
    };
    scene.wait_until(Duration::from_secs(4));
    let staying: Vec<_> = (0..STAYING)
        .map(|n| {
            let (record, front) = (record.clone(), daemons[n % 2].front);
            thread::spawn(move || {
                let id = format!("s{n}");
                thread::sleep(Duration::from_millis(20 * n as u64));
                client::send(
                    &record,
                    front,
                    &id,
                    &client::get(&id, "/clubs/3", DEADLINE_MS),
                )
            })
        })
        .collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let front = daemons[n % 2].front;
            let (record, leaves) = (record.clone(), scene.has_trouble);
            thread::spawn(move || {
                // Half of the clients send further requests before the first one is answered.
                let sent = match n / 2 % 2 {
                    0 => PIPELINED,
                    _ => 1,
                };
                let requests: String = (1..=sent)
                    .map(|r| client::get(&format!("c{n}-{r}"), "/seats/7", DEADLINE_MS))
                    .collect();
                let Ok(mut stream) = http::connect(front) else {
                    return None;
                };
                let _ = stream.write_all(requests.as_bytes());
                record.line(&format!("client {n} sends {sent} request(s)"));
                thread::sleep(match leaves {
                    true => PATIENCE,
                    false => Duration::from_secs(6),
                });
                drop(stream);
                let left = record.now();
                record.line(&format!("client {n} closes its connection"));
                Some(left)
            })
        })
        .collect();
    let left: Vec<_> = clients
        .into_iter()
        .map(|c| c.join().ok().flatten())
        .collect();
    for client in staying {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(4));
    let (mut counted, mut at_work, mut arrived) = (0, 0, 0);
    for run in servers.iter().flat_map(Server::runs) {
        let client = run.id[1..]
            .split('-')
            .next()
            .and_then(|n| n.parse::<usize>().ok());
        let Some(left) = client.and_then(|n| left.get(n).copied().flatten()) else {
            continue;
        };
        if run.at > left + ALLOWED {
            arrived += 1;
            let after = (run.at - left).as_millis();
            record.line(&format!(
                "{} reached an upstream {after} ms after its client had left",
                run.id
            ));
        }
        let would_end = run.at + WORK;
        if run.at > left || would_end <= left + ALLOWED {
            continue;
        }
        counted += 1;
        let ended = run.ended.unwrap_or(would_end);
        if ended > left + ALLOWED {
            at_work += 1;
            let after = (ended - left).as_millis();
            record.line(&format!(
                "{} was at work until {after} ms after its client had left",
                run.id
            ));
        }
    }
    record.say(&format!(
        "{arrived} requests reached upstreams later than half a second after their clients had left"
    ));
    record.say(&format!(
        "of {counted} requests that would have lasted longer, upstreams were still at work on {at_work} half a second after \
         their clients had left"
    ));
    match arrived > A_FEW || at_work * 4 > counted {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
