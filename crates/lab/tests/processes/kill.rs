//! Daemons killed without a shutdown.

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn killed_daemons_cause_no_second_run_and_no_wrong_outcome() {
    let mut fixture = support::fixture("kill", 4, 11).await;
    for name in ["d001", "d002"] {
        fixture.wait_until_served().await;
        fixture.trial.fleet.kill(name).await.unwrap();
        fixture.wait_until_served().await;
        fixture.trial.fleet.start(name).unwrap();
        fixture.trial.fleet.wait_until_settled().await.unwrap();
    }
    fixture.wait_until_served().await;
    let counts = fixture.assert_no_violations().await;
    let seats = &counts.report.services[support::SEATS];
    assert!(seats.served * 100 >= seats.sent * 98, "{seats:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_domain_killed_at_once_is_taken_over_by_the_others() {
    let mut fixture = support::fixture("kill-domain", 4, 12).await;
    fixture.wait_until_served().await;
    fixture.trial.fleet.kill_domain("fd-1").await.unwrap();
    fixture.trial.fleet.wait_until_settled().await.unwrap();
    fixture.wait_until_served().await;
    fixture.assert_no_violations().await;
}
