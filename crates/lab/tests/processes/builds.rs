//! Fleets of two builds: hosts are replaced one after the other, from the build of an earlier commit to this one and
//! back, under load, with a kill and a rollout in between.
//!
//! A message that one build misreads would show as a request that ran twice, a wrong response, a daemon that leaves the
//! others' view or a rollout that does not arrive.

use std::path;

use peridotspread_lab::fleet::{self, builds};

use crate::support;

/// The last commit whose daemons speak only version 1 of the protocol.
const EARLIER_COMMIT: &str = "2b71952";

fn earlier() -> path::PathBuf {
    builds::daemon_of(EARLIER_COMMIT).unwrap()
}

/// Replaces the daemons in turn by ones that run `program`, and asserts that nothing was violated.
async fn replace_all(name: &str, first: Option<path::PathBuf>, program: Option<path::PathBuf>) {
    let builder = fleet::builder(name).daemons(4);
    let builder = match first {
        Some(first) => builder.program(first),
        None => builder,
    };
    let mut fixture = support::start(builder, name, 91).await;
    fixture.wait_until_served().await;
    for (at, daemon) in ["d000", "d001", "d002", "d003"].into_iter().enumerate() {
        let trial = &mut fixture.trial;
        // One host is lost without notice; the others are shut down.
        match at {
            1 => trial.fleet.kill(daemon).await.unwrap(),
            _ => trial.drain(daemon).unwrap(),
        }
        trial.entries.set_listed(daemon, false);
        if at != 1 {
            let status = trial.fleet.wait_for_exit(daemon).await.unwrap();
            assert!(status.success(), "{status}");
        }
        trial.fleet.set_program(daemon, program.clone()).unwrap();
        trial.fleet.start(daemon).unwrap();
        trial.fleet.wait_until_settled().await.unwrap();
        trial.entries.set_listed(daemon, true);
        fixture.wait_until_served().await;
        if at == 1 {
            let mut next = fixture.trial.fleet.bundle.clone();
            next.version += 1;
            next.services[0].queue += 1;
            fixture.trial.fleet.roll_out(&next).await.unwrap();
            let version = next.version;
            let fleet = &fixture.trial.fleet;
            fleet.wait_until_in_force(version).await.unwrap();
        }
    }
    fixture.wait_until_served().await;
    fixture.assert_no_violations().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_of_the_earlier_build_are_replaced_by_this_one() {
    replace_all("upgrade", Some(earlier()), None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_of_this_build_are_replaced_by_the_earlier_one() {
    replace_all("downgrade", None, Some(earlier())).await;
}
