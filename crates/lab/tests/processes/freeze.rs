//! Daemons paused and woken.

use peridotspread_lab::target;

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_daemon_wakes_to_a_fleet_that_went_on() {
    let mut proof = support::proof("freeze", 4, 21).await;
    proof.serves().await;
    proof.trial.fleet.freeze("d000").unwrap();
    proof
        .trial
        .fleet
        .wait_until_seen_as("d000", &[])
        .await
        .unwrap();
    proof.serves().await;
    proof.trial.fleet.resume("d000").unwrap();
    proof.trial.fleet.wait_until_settled().await.unwrap();
    proof.serves().await;
    proof.holds().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_of_ejections_that_was_paused_keeps_the_floor() {
    let mut proof = support::proof("freeze-holder", 4, 22).await;
    proof.serves().await;
    for gray in ["seats-0", "seats-1"] {
        proof.trial.set_fault(gray, &target::Fault::Stall).unwrap();
    }
    let what = "the ejection of both gray targets";
    until_ejected(&proof, what, 2).await;
    let names = ["d000", "d001", "d002", "d003"];
    for name in &names[..2] {
        proof.trial.fleet.freeze(name).unwrap();
    }
    for gray in ["seats-2", "seats-3"] {
        proof.trial.set_fault(gray, &target::Fault::Stall).unwrap();
    }
    proof.trial.wait_served(support::FEES, 100).await.unwrap();
    for name in &names[..2] {
        proof.trial.fleet.resume(name).unwrap();
    }
    proof.trial.fleet.wait_until_settled().await.unwrap();
    for gray in ["seats-0", "seats-1", "seats-2", "seats-3"] {
        proof.trial.set_fault(gray, &target::Fault::None).unwrap();
    }
    proof.serves().await;
    proof.holds().await;
}

async fn until_ejected(proof: &support::Proof, what: &str, count: usize) {
    let ejected = || proof.trial.seen().ejected.len() >= count;
    peridotspread_lab::fleet::wait_until(what, ejected)
        .await
        .unwrap();
}
