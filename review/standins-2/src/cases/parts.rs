//! Another writer leaves a row in the table `servers` under a part of its own. Only rows with an empty part are entries of
//! upstreams.

use std::thread;
use std::time::Duration;

use super::{Route, Scene, config};
use crate::Verdict;
use crate::client;
use crate::server::Server;
use crate::store::Store;

const ROUTES: [Route; 2] = [
    Route {
        prefix: "/stock/",
        kind: "safe",
        service: "stock",
    },
    Route {
        prefix: "/payout/",
        kind: "unsafe",
        service: "payout",
    },
];
/// When the other writer writes its row.
const WRITTEN_AT: Duration = Duration::from_millis(4_000);
const END: Duration = Duration::from_millis(10_000);

pub fn run(scene: &Scene) -> Verdict {
    let record = &scene.record;
    let store = Store::start();
    let work = Duration::from_millis(30);
    let stock = Server::start("i-stock-0", work, record);
    let payouts = [
        Server::start("i-payout-0", work, record),
        Server::start("i-payout-1", work, record),
    ];
    store.put("servers", "", &stock.id, &stock.entry("stock", "ready", 1));
    for server in &payouts {
        store.put(
            "servers",
            "",
            &server.id,
            &server.entry("payout", "ready", 1),
        );
    }
    store.put(
        "op",
        "",
        "config",
        &config(1, &ROUTES, &["stock", "payout"]),
    );
    let Some(daemons) = scene.start_daemons(2, &store) else {
        return Verdict::CouldNotRun;
    };
    let mut sent = 0;
    let mut answered = 0;
    let mut is_written = false;
    scene.wait_until(Duration::from_secs(2));
    while record.now() < END {
        if !is_written && record.now() >= WRITTEN_AT {
            is_written = true;
            if scene.has_trouble {
                // The rehearsal of another deployment, in which the server would belong to the other service.
                let row = stock.entry("payout", "ready", 1);
                store.put("servers", "rehearsal", &stock.id, &row);
                record.say(
                    "another writer writes the row servers/i-stock-0 in the part \"rehearsal\"",
                );
            }
        }
        for daemon in &daemons {
            sent += 1;
            let id = format!("payout-{sent}");
            let request = client::post(&id, "/payout/order", 2_000);
            let (status, _) = client::send(record, daemon.front, &id, &request);
            answered += usize::from(status == 200);
            let id = format!("stock-{sent}");
            client::send(
                record,
                daemon.front,
                &id,
                &client::get(&id, "/stock/wheels", 2_000),
            );
        }
        thread::sleep(Duration::from_millis(100));
    }
    let mut strayed = Vec::new();
    for run in stock.runs() {
        if run.path.starts_with("/payout/") {
            strayed.push(run.id);
        }
    }
    for run in payouts.iter().flat_map(Server::runs) {
        if run.path.starts_with("/stock/") {
            strayed.push(run.id);
        }
    }
    record.say(&format!(
        "{sent} payout orders were sent and {answered} answered with 200; {} requests were run by a service to which no \
         configuration sends them: {strayed:?}",
        strayed.len()
    ));
    match strayed.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
