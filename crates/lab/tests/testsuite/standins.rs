//! Load sent directly to the target stand-ins, without daemons between.

use std::sync;

use peridotspread::state::clock;
use peridotspread_lab::{load, target};

const NAME: &str = "ledger-1";

fn plan() -> target::Plan {
    let listen = "127.0.0.1:0".parse().unwrap();
    target::Plan {
        median_ms: 1.0,
        queue: 100,
        ..target::Plan::new(NAME, listen)
    }
}

async fn run(fault: &target::Fault, kind: load::Kind) -> (load::Report, target::Snapshot) {
    let clock = clock::Clock::start();
    let targets = target::serve(&[plan()], clock).await.unwrap();
    targets.set_fault(NAME, fault).unwrap();
    let addresses = [(NAME.to_owned(), targets.address(NAME).unwrap())];
    let entries = sync::Arc::new(load::Entries::new(&addresses.into()));
    let plan = load::Plan {
        seed: 7,
        rate: 300.0,
        kinds: vec![kind],
        callers: vec![load::Caller {
            tier: "paying".to_owned(),
            token: "t".to_owned(),
            weight: 1.0,
        }],
        deadline: clock::Millis(2_000),
        resends: 2,
        proto: load::Proto::Http1,
        name: "direct".to_owned(),
    };
    let load = load::start(&plan, entries, clock);
    while load.read(|r| r.attempts.len()) < 60 {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    let report = load.stop().await;
    (report, targets.tally().snapshot())
}

#[tokio::test]
async fn a_healthy_target_serves_complete_responses() {
    let (report, counted) = run(
        &target::Fault::None,
        load::Kind::post("ledger", "/fees", 1.0),
    )
    .await;
    assert_eq!(report.total.served, report.total.sent);
    assert_eq!(report.verdict(&counted), load::Verdict::default());
    assert_eq!(counted.targets[NAME].runs, report.total.sent);
}

#[tokio::test]
async fn the_latency_of_a_slow_response_is_measured_in_full() {
    let slow = target::Fault::Slow { factor: 40.0 };
    let (report, _) = run(&slow, load::Kind::get("ledger", "/fees", 1.0)).await;
    let median_ms = report.latency.value_at_quantile(0.5) / 1_000;
    assert!(median_ms >= 30, "{median_ms} ms");
}

#[tokio::test]
async fn a_truncated_response_is_detected_and_its_resend_counts_as_a_second_run() {
    let fault = target::Fault::Truncate { share: 1.0 };
    let (report, counted) = run(&fault, load::Kind::post("ledger", "/fees", 1.0)).await;
    let verdict = report.verdict(&counted);
    assert_eq!(report.total.served, 0);
    assert_eq!(report.total.unknown, report.total.sent);
    assert_eq!((verdict.short, verdict.wrong), (0, 0));
    assert_eq!(
        verdict.twice, report.total.sent,
        "without a fleet nothing prevents a second run of a key"
    );
}

#[tokio::test]
async fn a_crash_breaks_connections_and_closes_the_port() {
    let fault = target::Fault::Crash {
        marker: "poison".to_owned(),
        down_ms: clock::Millis(50),
    };
    let (report, counted) = run(&fault, load::Kind::get("ledger", "/poison", 1.0)).await;
    assert_eq!(report.total.served, 0);
    assert_eq!(counted.targets[NAME].answered, 0);
    assert!(
        report
            .attempts
            .iter()
            .any(|a| a.result == load::Result::Lost)
    );
}
