//! Rollouts of bundles under load, among them bundles that mark a target as leaving.

use peridotspread::ops::rollout::Outcome;
use peridotspread::state::clock;
use peridotspread_lab::{fleet, trial};

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_no_new_requests() {
    let mut fixture = support::fixture("leave", 3, 41).await;
    fixture.wait_until_served().await;
    let version = fixture.trial.leave("fees-1").await.unwrap();
    fixture
        .trial
        .fleet
        .wait_until_in_force(version)
        .await
        .unwrap();
    let clock = fixture.trial.fleet.clock;
    let end = clock.now() + trial::LEAVE_GRACE + clock::Millis(1_000);
    let what = "the end of the grace period of the leaving target";
    fleet::wait_until(what, || clock.now() > end).await.unwrap();
    fixture.wait_until_served().await;
    fixture.assert_no_violations().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_at_the_same_moment_one_wins_and_the_other_is_told() {
    let mut fixture = support::fixture("operators", 3, 42).await;
    fixture.wait_until_served().await;
    for round in 2..6 {
        let mut next = fixture.trial.fleet.bundle.clone();
        next.version = round;
        let mut other = next.clone();
        other.services[0].queue += 1;
        let fleet = &fixture.trial.fleet;
        fleet.platform.set(|o| o.lose_next = 1);
        let (first, second) =
            tokio::join!(fleet.try_roll_out(0, &next), fleet.try_roll_out(1, &other));
        let outcomes = [first.unwrap(), second.unwrap()];
        let accepted = |o: &&Outcome| matches!(o, Outcome::Accepted { .. });
        assert_eq!(outcomes.iter().filter(accepted).count(), 1, "{outcomes:?}");
        let signer = match accepted(&&outcomes[0]) {
            true => "operator-1",
            false => "operator-2",
        };
        let refused = outcomes.iter().find(|o| !accepted(o)).unwrap();
        match refused {
            Outcome::Beaten { winner: held } | Outcome::NotNewer { held } => {
                assert_eq!((held.version, held.signer.as_str()), (round, signer));
            }
            other => panic!("{other:?}"),
        }
        fixture
            .trial
            .fleet
            .wait_until_in_force(round)
            .await
            .unwrap();
        fixture.trial.fleet.bundle = if signer == "operator-1" { next } else { other };
    }
    fixture.wait_until_served().await;
    fixture.assert_no_violations().await;
}
