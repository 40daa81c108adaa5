//! Daemons killed at once.

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn killed_daemons_leave_nothing_run_twice_or_untold() {
    let mut proof = support::proof("kill", 4, 11).await;
    for name in ["d001", "d002"] {
        proof.serves().await;
        proof.trial.fleet.kill(name).await.unwrap();
        proof.serves().await;
        proof.trial.fleet.start(name).unwrap();
        proof.trial.fleet.wait_until_settled().await.unwrap();
    }
    proof.serves().await;
    let counts = proof.holds().await;
    let seats = &counts.report.services[support::SEATS];
    assert!(seats.served * 100 >= seats.sent * 98, "{seats:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_domain_killed_at_once_is_taken_over_by_the_others() {
    let mut proof = support::proof("kill-domain", 4, 12).await;
    proof.serves().await;
    proof.trial.fleet.kill_domain("fd-1").await.unwrap();
    proof.trial.fleet.wait_until_settled().await.unwrap();
    proof.serves().await;
    proof.holds().await;
}
