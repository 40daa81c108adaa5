//! Daemons paused and resumed.

use peridotspread_lab::target;

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_daemon_rejoins_after_the_others_declared_it_dead() {
    let mut fixture = support::fixture("freeze", 4, 21).await;
    fixture.wait_until_served().await;
    fixture.trial.fleet.freeze("d000").unwrap();
    fixture
        .trial
        .fleet
        .wait_until_seen_as("d000", &[])
        .await
        .unwrap();
    fixture.wait_until_served().await;
    fixture.trial.fleet.resume("d000").unwrap();
    fixture.trial.fleet.wait_until_settled().await.unwrap();
    fixture.wait_until_served().await;
    fixture.assert_no_violations().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_holders_of_ejection_leases_do_not_breach_the_floor() {
    let mut fixture = support::fixture("freeze-holder", 4, 22).await;
    fixture.wait_until_served().await;
    for gray in ["seats-0", "seats-1"] {
        fixture
            .trial
            .set_fault(gray, &target::Fault::Stall)
            .unwrap();
    }
    let what = "the ejection of both gray targets";
    wait_until_ejected(&fixture, what, 2).await;
    let names = ["d000", "d001", "d002", "d003"];
    for name in &names[..2] {
        fixture.trial.fleet.freeze(name).unwrap();
    }
    for gray in ["seats-2", "seats-3"] {
        fixture
            .trial
            .set_fault(gray, &target::Fault::Stall)
            .unwrap();
    }
    fixture.trial.wait_served(support::FEES, 100).await.unwrap();
    for name in &names[..2] {
        fixture.trial.fleet.resume(name).unwrap();
    }
    fixture.trial.fleet.wait_until_settled().await.unwrap();
    for gray in ["seats-0", "seats-1", "seats-2", "seats-3"] {
        fixture.trial.set_fault(gray, &target::Fault::None).unwrap();
    }
    fixture.wait_until_served().await;
    fixture.assert_no_violations().await;
}

async fn wait_until_ejected(fixture: &support::Fixture, what: &str, count: usize) {
    let ejected = || fixture.trial.observed().ejected.len() >= count;
    peridotspread_lab::fleet::wait_until(what, ejected)
        .await
        .unwrap();
}
