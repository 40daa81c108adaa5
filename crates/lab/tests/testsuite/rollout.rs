//! Rollouts against a fake platform: two operators at the same moment, and lost responses.

use std::net;

use peridotspread::ops;
use peridotspread::ops::rollout::Outcome;
use peridotspread::protocol::peer;
use peridotspread::protocol::rollout;
use peridotspread::state::clock;
use peridotspread::state::operator;
use peridotspread::state::settings;
use peridotspread::transport::platform::HttpPlatform;
use peridotspread_lab::platform as stand_in;

const LOOPBACK: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

async fn start() -> (stand_in::Handle, HttpPlatform) {
    let (address, handle) = stand_in::serve(LOOPBACK, stand_in::Options::default()).await;
    let client = HttpPlatform::new(&settings::Platform {
        address,
        timeout_ms: clock::Millis(500),
    });
    (handle, client)
}

fn signed(version: u64, signer: &str) -> peer::SignedBundle {
    let line = "# a line that stays as it is\n".repeat(100);
    let text = format!("version = {version}\n# by {signer}\n{line}");
    peer::SignedBundle {
        version,
        digest: operator::digest(&text),
        signer: signer.to_owned(),
        signature: String::new(),
        text,
    }
}

async fn roll_out(platform: &HttpPlatform, signed: &peer::SignedBundle) -> Outcome {
    let options = ops::RolloutOptions {
        platform,
        signed,
        timeout: clock::Millis(2_000),
    };
    ops::rollout(&options).await.unwrap()
}

fn in_force(handle: &stand_in::Handle) -> rollout::Record {
    let rows = handle.rows(rollout::KEY);
    let row = rows.iter().find(|r| r.key == rollout::KEY).unwrap();
    serde_json::from_str(&row.value).unwrap()
}

#[tokio::test]
async fn of_two_operators_at_the_same_moment_one_wins_and_the_other_is_told() {
    let (handle, client) = start().await;
    roll_out(&client, &signed(1, "operator-1")).await;
    handle.set(|o| o.slow_ms = 30);
    let (ours, theirs) = (signed(2, "operator-1"), signed(3, "operator-2"));
    let (a, b) = tokio::join!(roll_out(&client, &ours), roll_out(&client, &theirs));
    let winner = in_force(&handle);
    let (won, beaten) = match (&a, &b) {
        (Outcome::Accepted { version, .. }, other) | (other, Outcome::Accepted { version, .. }) => {
            (*version, other)
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(won, winner.version);
    assert_eq!(*beaten, Outcome::Beaten { winner });
}

#[tokio::test]
async fn a_lost_answer_is_resolved_whichever_way_the_write_went() {
    let (handle, client) = start().await;
    handle.set(|o| o.lose_next = 1);
    // Without an earlier bundle, the transaction is the first write that `lose_next` applies to: responses to stored
    // objects are not lost.
    let first = roll_out(&client, &signed(1, "operator-1")).await;
    assert_eq!(
        first,
        Outcome::Accepted {
            version: 1,
            previous: 0
        }
    );
    assert_eq!(handle.report().counters.lost, 1);
    handle.set(|o| o.drop_next = 1);
    let second = roll_out(&client, &signed(2, "operator-1")).await;
    assert_eq!(
        second,
        Outcome::Accepted {
            version: 2,
            previous: 1
        }
    );
    assert_eq!(handle.report().counters.dropped, 1);
    let change = in_force(&handle).change.unwrap();
    assert_eq!(change.from, 1);
}

#[tokio::test]
async fn a_version_neither_decreases_nor_is_used_twice() {
    let (handle, client) = start().await;
    roll_out(&client, &signed(5, "operator-1")).await;
    let same = roll_out(&client, &signed(5, "operator-1")).await;
    assert_eq!(same, Outcome::InForce { version: 5 });
    let held = in_force(&handle);
    for version in [4, 5] {
        let refused = roll_out(&client, &signed(version, "operator-2")).await;
        assert_eq!(refused, Outcome::NotNewer { held: held.clone() });
    }
    assert_eq!(in_force(&handle), held);
}

#[tokio::test]
async fn an_outage_is_an_error_before_the_write_and_unknown_after_it() {
    let (handle, client) = start().await;
    handle.set(|o| o.down = true);
    let one = signed(1, "operator-1");
    let options = ops::RolloutOptions {
        platform: &client,
        signed: &one,
        timeout: clock::Millis(300),
    };
    assert!(ops::rollout(&options).await.is_err());
    handle.set(|o| (o.down, o.lose_share) = (false, 1.0));
    let lossy = async {
        while handle.report().counters.lost == 0 {
            tokio::task::yield_now().await;
        }
        handle.set(|o| o.down = true);
    };
    let (outcome, ()) = tokio::join!(ops::rollout(&options), lossy);
    let outcome = outcome.unwrap();
    let resolved = matches!(
        outcome,
        Outcome::Unknown { version: 1 } | Outcome::Accepted { version: 1, .. }
    );
    assert!(resolved, "{outcome:?}");
}
