//! Two faults together.

use peridotspread_lab::target;

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn a_kill_while_the_platform_loses_answers_and_a_target_is_gray() {
    let mut fixture = support::fixture("together-kill", 4, 61).await;
    fixture.wait_until_served().await;
    fixture
        .trial
        .set_fault("fees-2", &target::Fault::Stall)
        .unwrap();
    fixture.trial.fleet.platform.set(|o| o.lose_share = 0.3);
    fixture.trial.fleet.kill("d002").await.unwrap();
    fixture.wait_until_served().await;
    fixture.trial.fleet.platform.set(|o| o.lose_share = 0.0);
    fixture
        .trial
        .set_fault("fees-2", &target::Fault::None)
        .unwrap();
    fixture.trial.fleet.start("d002").unwrap();
    fixture.trial.fleet.wait_until_settled().await.unwrap();
    fixture.wait_until_served().await;
    fixture.assert_no_violations().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_while_another_daemon_is_paused_and_answers_break_off() {
    let mut fixture = support::fixture("together-drain", 5, 62).await;
    fixture.wait_until_served().await;
    let truncate = target::Fault::Truncate { share: 0.5 };
    fixture.trial.set_fault("seats-1", &truncate).unwrap();
    fixture.trial.fleet.freeze("d001").unwrap();
    fixture.trial.drain("d000").unwrap();
    fixture.wait_until_served().await;
    fixture.trial.entries.set_listed("d000", false);
    fixture.trial.fleet.wait_for_exit("d000").await.unwrap();
    fixture.trial.fleet.resume("d001").unwrap();
    fixture
        .trial
        .set_fault("seats-1", &target::Fault::None)
        .unwrap();
    fixture.trial.fleet.wait_until_settled().await.unwrap();
    fixture.wait_until_served().await;
    fixture.assert_no_violations().await;
}
