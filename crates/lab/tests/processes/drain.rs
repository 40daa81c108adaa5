//! Graceful shutdowns.

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_aborts_no_request_while_the_balancer_still_sends() {
    let mut fixture = support::fixture("drain", 4, 51).await;
    for name in ["d000", "d001"] {
        fixture.wait_until_served().await;
        fixture.trial.drain(name).unwrap();
        fixture.wait_until_served().await;
        fixture.trial.entries.set_listed(name, false);
        let status = fixture.trial.fleet.wait_for_exit(name).await.unwrap();
        assert!(status.success(), "{status}");
    }
    fixture.trial.fleet.wait_until_settled().await.unwrap();
    fixture.wait_until_served().await;
    fixture.assert_no_violations().await;
}
