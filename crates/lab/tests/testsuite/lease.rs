//! Leases of the ejection budget against a fake platform.

use crate::support;

use peridotspread::coordination::lease;
use peridotspread::daemon::lease::{Leases, Options};
use peridotspread::state::bundle;
use peridotspread::state::clock;

fn leases(platform: &support::Platform, name: &str) -> Leases {
    Leases::new(Options {
        name: name.to_owned(),
        clock: clock::Clock::start(),
        platform: platform.client(),
    })
}

fn service(targets: usize, floor: usize) -> bundle::Service {
    let target = |n| bundle::Target {
        name: format!("t-{n}"),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: "lahore-1".to_owned(),
        slots: 3,
        connections: 400,
        leaving: false,
    };
    bundle::Service {
        targets: (0..targets).map(target).collect(),
        floor,
        ..bundle::Service::without_targets("fees")
    }
}

#[tokio::test]
async fn two_homes_never_take_more_than_the_budget() {
    let platform = support::platform().await;
    let service = service(8, 5);
    let homes = [leases(&platform, "h-1"), leases(&platform, "h-2")];
    platform.handle.set(|o| o.lose_share = 0.2);
    let names: Vec<_> = service.targets.iter().map(|t| t.name.as_str()).collect();
    let acquire = |n: usize| homes[n % 2].acquire(&service, names[n]);
    let granted = futures_util::future::join_all((0..8).map(acquire)).await;
    let granted = granted.iter().flatten().count();
    assert!(
        granted <= lease::budget(&service),
        "{granted} of a budget of 3"
    );
    platform.handle.set(|o| o.lose_share = 0.0);
    let granted = futures_util::future::join_all((0..8).map(acquire)).await;
    let granted = granted.iter().flatten().count();
    assert_eq!(granted, lease::budget(&service), "of a budget of 3");
}

#[tokio::test]
async fn a_released_ejection_frees_its_share() {
    let platform = support::platform().await;
    let service = service(3, 2);
    let home = leases(&platform, "h-1");
    assert!(home.acquire(&service, "t-0").await.is_some());
    assert!(home.acquire(&service, "t-1").await.is_none());
    assert!(
        home.acquire(&service, "t-0").await.is_some(),
        "a renewal takes no further share"
    );
    home.release(&service, "t-0").await;
    assert!(home.acquire(&service, "t-1").await.is_some());
}

#[tokio::test]
async fn a_lost_answer_is_resolved_and_no_lease_is_granted_during_an_outage() {
    let platform = support::platform().await;
    let service = service(6, 2);
    let home = leases(&platform, "h-1");
    platform.handle.set(|o| o.lose_next = 1);
    assert!(home.acquire(&service, "t-0").await.is_some());
    platform.handle.set(|o| o.drop_next = 1);
    assert!(home.acquire(&service, "t-1").await.is_some());
    platform.handle.set(|o| o.down = true);
    assert!(home.acquire(&service, "t-2").await.is_none());
}

#[tokio::test]
async fn a_grant_that_came_later_than_its_lease_is_none() {
    let platform = support::platform().await;
    let mut service = service(6, 2);
    service.ejection.lease_ms = lease::SKEW_MARGIN + clock::Millis(50);
    let home = leases(&platform, "h-1");
    platform.handle.set(|o| o.slow_ms = 100);
    assert_eq!(home.acquire(&service, "t-0").await, None);
    assert_eq!(
        platform.handle.rows("ejections/").len(),
        1,
        "the row was written nevertheless"
    );
}

#[test]
fn others_count_a_lease_for_longer_than_its_holder() {
    let service = service(3, 2);
    let request = |target, holder, wall| lease::AcquireRequest {
        service: &service,
        target,
        holder,
        token: holder,
        wall,
    };
    let start = clock::Millis(1_000_000);
    let row = lease::Row::default()
        .grant(&request("t-0", "paused", start))
        .unwrap();
    let holder_until = lease::holder_expiry(start, &service);
    // A host whose wall clock is ahead by the margin sees the share as free only after the paused holder's lease
    // expired.
    let fast_clock = holder_until + lease::SKEW_MARGIN;
    assert!(row.grant(&request("t-1", "other", fast_clock)).is_none());
    let late = start + service.ejection.lease_ms + lease::SKEW_MARGIN + clock::Millis(1);
    assert!(row.grant(&request("t-1", "other", late)).is_some());
    let mut leaving = service.clone();
    leaving.targets[2].leaving = true;
    assert_eq!(lease::budget(&leaving), 0);
}
