//! A platform that is down, slow or hanging, or that loses responses.

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn during_an_outage_keyed_requests_are_refused_as_not_run_and_others_are_served() {
    let fixture = support::fixture("outage", 3, 31).await;
    fixture.wait_until_served().await;
    fixture.trial.fleet.platform.set(|o| o.down = true);
    fixture.trial.wait_refused(support::FEES, 10).await.unwrap();
    fixture.trial.wait_served(support::SEATS, 30).await.unwrap();
    fixture.trial.fleet.platform.set(|o| o.down = false);
    fixture.wait_until_served().await;
    let counts = fixture.assert_no_violations().await;
    let seats = &counts.report.services[support::SEATS];
    assert_eq!(seats.served, seats.sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hanging_platform_does_not_delay_idempotent_requests() {
    let fixture = support::fixture("hang", 3, 32).await;
    fixture.wait_until_served().await;
    fixture.trial.fleet.platform.set(|o| o.hang = true);
    fixture
        .trial
        .wait_served(support::SEATS, 100)
        .await
        .unwrap();
    fixture.trial.fleet.platform.set(|o| o.hang = false);
    fixture.wait_until_served().await;
    let counts = fixture.assert_no_violations().await;
    let seats = &counts.report.services[support::SEATS];
    assert_eq!(seats.served, seats.sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_responses_of_the_platform_cause_no_second_run() {
    let fixture = support::fixture("lost-answers", 3, 33).await;
    fixture.wait_until_served().await;
    fixture.trial.fleet.platform.set(|o| o.lose_share = 0.3);
    fixture.wait_until_served().await;
    fixture.trial.fleet.platform.set(|o| o.drop_next = 5);
    fixture.wait_until_served().await;
    fixture.trial.fleet.platform.set(|o| o.slow_ms = 200);
    fixture.wait_until_served().await;
    fixture.trial.fleet.platform.set(|o| {
        o.lose_share = 0.0;
        o.slow_ms = 0;
    });
    fixture.wait_until_served().await;
    fixture.assert_no_violations().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_during_an_outage_adopts_the_highest_version_of_its_peers() {
    let mut fixture = support::fixture("start-in-outage", 4, 34).await;
    let version = fixture.trial.leave("seats-0").await.unwrap();
    fixture
        .trial
        .fleet
        .wait_until_in_force(version)
        .await
        .unwrap();
    fixture.trial.fleet.platform.set(|o| o.down = true);
    fixture.trial.fleet.kill("d003").await.unwrap();
    fixture.trial.fleet.start("d003").unwrap();
    fixture.trial.fleet.wait_until_settled().await.unwrap();
    fixture.trial.fleet.platform.set(|o| o.down = false);
    fixture.wait_until_served().await;
    fixture.assert_no_violations().await;
}
