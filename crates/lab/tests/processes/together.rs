//! Two faults together.

use peridotspread_lab::target;

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn a_kill_while_the_platform_loses_answers_and_a_target_is_gray() {
    let mut proof = support::proof("together-kill", 4, 61).await;
    proof.serves().await;
    proof
        .trial
        .set_fault("fees-2", &target::Fault::Stall)
        .unwrap();
    proof.trial.fleet.platform.set(|o| o.lose_share = 0.3);
    proof.trial.fleet.kill("d002").await.unwrap();
    proof.serves().await;
    proof.trial.fleet.platform.set(|o| o.lose_share = 0.0);
    proof
        .trial
        .set_fault("fees-2", &target::Fault::None)
        .unwrap();
    proof.trial.fleet.start("d002").unwrap();
    proof.trial.fleet.wait_until_settled().await.unwrap();
    proof.serves().await;
    proof.holds().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_while_another_daemon_is_paused_and_answers_break_off() {
    let mut proof = support::proof("together-drain", 5, 62).await;
    proof.serves().await;
    let truncate = target::Fault::Truncate { share: 0.5 };
    proof.trial.set_fault("seats-1", &truncate).unwrap();
    proof.trial.fleet.freeze("d001").unwrap();
    proof.trial.drain("d000").unwrap();
    proof.serves().await;
    proof.trial.entries.set_listed("d000", false);
    proof.trial.fleet.wait_for_exit("d000").await.unwrap();
    proof.trial.fleet.resume("d001").unwrap();
    proof
        .trial
        .set_fault("seats-1", &target::Fault::None)
        .unwrap();
    proof.trial.fleet.wait_until_settled().await.unwrap();
    proof.serves().await;
    proof.holds().await;
}
