//! Bundles rolled out under load, and targets that leave by them.

use peridotspread::state::clock;
use peridotspread_lab::{fleet, trial};

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_no_new_work() {
    let mut proof = support::proof("leave", 3, 41).await;
    proof.serves().await;
    let version = proof.trial.leave("fees-1").await.unwrap();
    proof.trial.fleet.in_force(version).await.unwrap();
    let clock = proof.trial.fleet.clock;
    let late = clock.now() + trial::LEAVE + clock::Millis(1_000);
    let what = "the end of the time for leaving";
    fleet::until(what, || clock.now() > late).await.unwrap();
    proof.serves().await;
    proof.holds().await;
}
