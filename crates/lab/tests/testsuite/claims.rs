//! Claims of keys against a fake platform: at most one claim of a key is fresh, despite lost answers and outages.

use crate::support;

use peridotspread::coordination;
use peridotspread::daemon::claims::{self, ClaimResult, Claims, RequestOutcome};
use peridotspread::protocol::problem;
use peridotspread::state::clock;
use peridotspread::state::ids;

const SCOPE: [&str; 2] = ["kozi", "payout"];
const REQUEST: ids::Fingerprint = ids::Fingerprint(7);

async fn claims(platform: &support::Platform, name: &str) -> claims::Handle {
    let options = claims::Options {
        name: name.to_owned(),
        clock: clock::Clock::start(),
        platform: platform.client(),
        members: support::members(&[name]),
        recorder: support::recorder(name),
    };
    claims::spawn(options).await.unwrap()
}

fn row_count(platform: &support::Platform) -> usize {
    platform.handle.rows("claims/").len()
}

#[tokio::test]
async fn a_resend_gets_the_outcome_and_another_request_with_the_key_is_detected() {
    let platform = support::platform().await;
    let (one, two) = (
        claims(&platform, "e-1").await,
        claims(&platform, "e-2").await,
    );
    let ClaimResult::Fresh(token) = one.claim(&SCOPE, "k", REQUEST).await else {
        panic!("the key is free");
    };
    assert_eq!(two.claim(&SCOPE, "k", REQUEST).await, ClaimResult::Unknown);
    assert_eq!(one.claim(&SCOPE, "k", REQUEST).await, ClaimResult::Unknown);
    let other = two.claim(&SCOPE, "k", ids::Fingerprint(8)).await;
    assert_eq!(other, ClaimResult::KeyReused);
    one.record_outcome(token, RequestOutcome::Ran(record(201)));
    support::wait_until(|| platform.handle.rows("claims/")[0].value.contains("201")).await;
    assert_eq!(
        two.claim(&SCOPE, "k", REQUEST).await,
        ClaimResult::Ran(record(201))
    );
    let other_scope = two.claim(&["kozi", "booking"], "k", REQUEST).await;
    assert!(matches!(other_scope, ClaimResult::Fresh(_)));
}

#[tokio::test]
async fn a_request_that_did_not_run_frees_its_key() {
    let platform = support::platform().await;
    let one = claims(&platform, "e-1").await;
    let ClaimResult::Fresh(token) = one.claim(&SCOPE, "k", REQUEST).await else {
        panic!("the key is free");
    };
    one.record_outcome(token, RequestOutcome::NotRun);
    support::wait_until(|| row_count(&platform) == 0).await;
    assert!(matches!(
        one.claim(&SCOPE, "k", REQUEST).await,
        ClaimResult::Fresh(_)
    ));
}

#[tokio::test]
async fn a_lost_answer_is_resolved_by_the_token() {
    let platform = support::platform().await;
    let one = claims(&platform, "e-1").await;
    platform.handle.set(|o| o.lose_next = 1);
    assert!(matches!(
        one.claim(&SCOPE, "a", REQUEST).await,
        ClaimResult::Fresh(_)
    ));
    platform.handle.set(|o| o.drop_next = 1);
    assert!(matches!(
        one.claim(&SCOPE, "b", REQUEST).await,
        ClaimResult::Fresh(_)
    ));
    let counters = platform.handle.report().counters;
    assert_eq!((counters.lost, counters.dropped), (1, 1));
    assert_eq!(row_count(&platform), 2);
}

#[tokio::test]
async fn of_many_claims_of_one_key_through_two_entries_one_is_fresh_though_answers_are_lost() {
    let platform = support::platform().await;
    platform.handle.set(|o| o.lose_share = 0.3);
    let entries = [
        claims(&platform, "e-1").await,
        claims(&platform, "e-2").await,
    ];
    for round in 0..20 {
        let key = format!("k-{round}");
        let claims = (0..10).map(|n| entries[n % 2].claim(&SCOPE, &key, REQUEST));
        let answers = futures_util::future::join_all(claims).await;
        let fresh = answers
            .iter()
            .filter(|a| matches!(a, ClaimResult::Fresh(_)));
        assert_eq!(fresh.count(), 1, "{answers:?}");
        let unknown = answers.iter().filter(|a| **a == ClaimResult::Unknown);
        assert_eq!(unknown.count(), 9, "{answers:?}");
    }
}

#[tokio::test]
async fn waiting_claims_share_one_write() {
    let platform = support::platform().await;
    let one = claims(&platform, "e-1").await;
    platform.handle.set(|o| o.slow_ms = 20);
    let keys: Vec<_> = (0..100).map(|n| format!("k-{n}")).collect();
    let claims = keys.iter().map(|k| one.claim(&SCOPE, k, REQUEST));
    let answers = futures_util::future::join_all(claims).await;
    assert!(answers.iter().all(|a| matches!(a, ClaimResult::Fresh(_))));
    let commits = platform.handle.report().counters.commits;
    assert!(commits <= 4, "{commits} writes for 100 claims");
}

#[tokio::test]
async fn an_outage_is_told_at_once_and_its_end_is_noticed() {
    let platform = support::platform().await;
    let one = claims(&platform, "e-1").await;
    platform.handle.set(|o| o.down = true);
    assert_eq!(
        one.claim(&SCOPE, "a", REQUEST).await,
        ClaimResult::Unavailable
    );
    let before = platform.handle.report().counters.refused;
    for _ in 0..100 {
        assert_eq!(
            one.claim(&SCOPE, "a", REQUEST).await,
            ClaimResult::Unavailable
        );
    }
    let calls = platform.handle.report().counters.refused - before;
    assert!(calls <= 3, "{calls} calls for 100 claims while down");
    platform.handle.set(|o| o.down = false);
    while !matches!(one.claim(&SCOPE, "a", REQUEST).await, ClaimResult::Fresh(_)) {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_claim_that_nobody_waits_for_is_taken_back() {
    let platform = support::platform().await;
    let one = claims(&platform, "e-1").await;
    platform.handle.set(|o| o.slow_ms = 50);
    let claiming = one.claim(&SCOPE, "a", REQUEST);
    let abandoned = tokio::time::timeout(clock::Millis(10).span(), claiming).await;
    assert!(abandoned.is_err());
    support::wait_until(|| platform.handle.report().counters.commits == 2).await;
    support::wait_until(|| row_count(&platform) == 0).await;
}

#[tokio::test]
async fn a_write_that_landed_though_the_claim_was_refused_is_removed() {
    let platform = support::platform().await;
    let one = claims(&platform, "e-1").await;
    platform.handle.set(|o| (o.lose_next, o.reads_s) = (1, 1));
    platform.client().read("x").await.unwrap();
    assert_eq!(
        one.claim(&SCOPE, "a", REQUEST).await,
        ClaimResult::Unavailable
    );
    platform.handle.set(|o| o.reads_s = 0);
    support::wait_until(|| row_count(&platform) == 0).await;
}

fn record(status: u16) -> problem::RecordedOutcome {
    problem::RecordedOutcome { status }
}

#[tokio::test]
async fn only_claims_older_than_the_retention_time_are_removed() {
    let platform = support::platform().await;
    let one = claims(&platform, "e-1").await;
    assert!(matches!(
        one.claim(&SCOPE, "a", REQUEST).await,
        ClaimResult::Fresh(_)
    ));
    let rows = platform.handle.rows("claims/");
    let retention = clock::Millis(1_000);
    let wall = clock::wall();
    assert_eq!(
        coordination::claims::expiry_writes(&rows, wall, retention),
        []
    );
    let removals =
        coordination::claims::expiry_writes(&rows, wall + clock::Millis(60_000), retention);
    platform.client().commit(&removals).await.unwrap();
    assert_eq!(row_count(&platform), 0);
}
