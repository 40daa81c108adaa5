//! The platform down, slow, and losing answers.

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_refuses_keyed_work_honestly_and_serves_the_rest() {
    let proof = support::proof("outage", 3, 31).await;
    proof.serves().await;
    proof.trial.fleet.platform.set(|o| o.down = true);
    proof.trial.wait_refused(support::FEES, 10).await.unwrap();
    proof.trial.wait_served(support::SEATS, 30).await.unwrap();
    proof.trial.fleet.platform.set(|o| o.down = false);
    proof.serves().await;
    let counts = proof.holds().await;
    let seats = &counts.report.services[support::SEATS];
    assert_eq!(seats.served, seats.sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_that_hangs_holds_no_browsing_up() {
    let proof = support::proof("hang", 3, 32).await;
    proof.serves().await;
    proof.trial.fleet.platform.set(|o| o.hang = true);
    proof.trial.wait_served(support::SEATS, 100).await.unwrap();
    proof.trial.fleet.platform.set(|o| o.hang = false);
    proof.serves().await;
    let counts = proof.holds().await;
    let seats = &counts.report.services[support::SEATS];
    assert_eq!(seats.served, seats.sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_platform_run_nothing_twice() {
    let proof = support::proof("lost-answers", 3, 33).await;
    proof.serves().await;
    proof.trial.fleet.platform.set(|o| o.lose_share = 0.3);
    proof.serves().await;
    proof.trial.fleet.platform.set(|o| o.drop_next = 5);
    proof.serves().await;
    proof.trial.fleet.platform.set(|o| o.slow_ms = 200);
    proof.serves().await;
    proof.trial.fleet.platform.set(|o| {
        o.lose_share = 0.0;
        o.slow_ms = 0;
    });
    proof.serves().await;
    proof.holds().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_during_an_outage_takes_the_highest_version_of_its_peers() {
    let mut proof = support::proof("start-in-outage", 4, 34).await;
    let version = proof.trial.leave("seats-0").await.unwrap();
    proof
        .trial
        .fleet
        .wait_until_in_force(version)
        .await
        .unwrap();
    proof.trial.fleet.platform.set(|o| o.down = true);
    proof.trial.fleet.kill("d003").await.unwrap();
    proof.trial.fleet.start("d003").unwrap();
    proof.trial.fleet.wait_until_settled().await.unwrap();
    proof.trial.fleet.platform.set(|o| o.down = false);
    proof.serves().await;
    proof.holds().await;
}
