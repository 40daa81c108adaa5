//! Links between daemons cut in one direction and in both.

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_in_one_direction_keeps_both_daemons_in_the_fleet() {
    let fixture = support::fixture_with_relay("cut-one", 4, 71).await;
    fixture.wait_until_served().await;
    fixture.relay().cut("d000", "d002");
    fixture.relay().cut("d001", "d003");
    fixture.wait_until_served().await;
    fixture.wait_until_served().await;
    fixture.trial.fleet.wait_until_settled().await.unwrap();
    fixture.relay().heal_links();
    fixture.wait_until_served().await;
    let counts = fixture.assert_no_violations().await;
    let seats = &counts.report.services[support::SEATS];
    assert!(seats.served * 100 >= seats.sent * 98, "{seats:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_cut_off_in_both_directions_rejoins() {
    let fixture = support::fixture_with_relay("cut-both", 4, 72).await;
    fixture.wait_until_served().await;
    for other in ["d001", "d002", "d003"] {
        fixture.relay().cut("d000", other);
        fixture.relay().cut(other, "d000");
    }
    fixture.wait_until_served().await;
    let suspected = fixture
        .trial
        .fleet
        .wait_until_seen_by("d001", "d000", "suspect")
        .await;
    suspected.unwrap();
    fixture.wait_until_served().await;
    fixture.relay().heal_links();
    fixture.trial.fleet.wait_until_settled().await.unwrap();
    fixture.wait_until_served().await;
    fixture.assert_no_violations().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_in_one_direction_while_a_daemon_is_killed() {
    let mut fixture = support::fixture_with_relay("cut-kill", 5, 73).await;
    fixture.wait_until_served().await;
    fixture.relay().cut("d000", "d001");
    fixture.trial.fleet.kill("d003").await.unwrap();
    fixture.wait_until_served().await;
    fixture.trial.fleet.start("d003").unwrap();
    fixture.relay().heal_links();
    fixture.trial.fleet.wait_until_settled().await.unwrap();
    fixture.wait_until_served().await;
    fixture.assert_no_violations().await;
}
