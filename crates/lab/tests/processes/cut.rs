//! Ways between daemons cut in one direction and in both.

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_in_one_direction_costs_neither_daemon_its_place() {
    let proof = support::relayed("cut-one", 4, 71).await;
    proof.serves().await;
    proof.relay().cut("d000", "d002");
    proof.relay().cut("d001", "d003");
    proof.serves().await;
    proof.serves().await;
    proof.trial.fleet.wait_until_settled().await.unwrap();
    proof.relay().heal_links();
    proof.serves().await;
    let counts = proof.holds().await;
    let seats = &counts.report.services[support::SEATS];
    assert!(seats.served * 100 >= seats.sent * 98, "{seats:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_cut_off_in_both_directions_comes_back() {
    let proof = support::relayed("cut-both", 4, 72).await;
    proof.serves().await;
    for other in ["d001", "d002", "d003"] {
        proof.relay().cut("d000", other);
        proof.relay().cut(other, "d000");
    }
    proof.serves().await;
    let suspected = proof
        .trial
        .fleet
        .wait_until_seen_by("d001", "d000", "suspect")
        .await;
    suspected.unwrap();
    proof.serves().await;
    proof.relay().heal_links();
    proof.trial.fleet.wait_until_settled().await.unwrap();
    proof.serves().await;
    proof.holds().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_in_one_direction_while_a_daemon_is_killed() {
    let mut proof = support::relayed("cut-kill", 5, 73).await;
    proof.serves().await;
    proof.relay().cut("d000", "d001");
    proof.trial.fleet.kill("d003").await.unwrap();
    proof.serves().await;
    proof.trial.fleet.start("d003").unwrap();
    proof.relay().heal_links();
    proof.trial.fleet.wait_until_settled().await.unwrap();
    proof.serves().await;
    proof.holds().await;
}
