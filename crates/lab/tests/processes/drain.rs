//! Graceful shutdowns.

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_cuts_nothing_while_the_balancer_still_sends() {
    let mut proof = support::proof("drain", 4, 51).await;
    for name in ["d000", "d001"] {
        proof.serves().await;
        proof.trial.drain(name).unwrap();
        proof.serves().await;
        proof.trial.entries.set_listed(name, false);
        let status = proof.trial.fleet.wait_for_exit(name).await.unwrap();
        assert!(status.success(), "{status}");
    }
    proof.trial.fleet.wait_until_settled().await.unwrap();
    proof.serves().await;
    proof.holds().await;
}
