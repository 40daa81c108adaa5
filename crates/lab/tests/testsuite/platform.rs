//! The fake platform and the daemon's client for it.

use std::net;

use peridotspread::protocol::platform::{self, Platform};
use peridotspread::state::clock;
use peridotspread::state::settings;
use peridotspread::transport;
use peridotspread_lab::platform as stand_in;

const LOOPBACK: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

async fn start() -> (stand_in::Handle, transport::platform::HttpPlatform) {
    let (address, handle) = stand_in::serve(LOOPBACK, stand_in::Options::default()).await;
    let client = transport::platform::HttpPlatform::new(&settings::Platform {
        address,
        timeout_ms: clock::Millis(500),
    });
    (handle, client)
}

fn write(key: &str, expect: platform::Expect, value: Option<&str>) -> platform::Write {
    platform::Write {
        key: key.to_owned(),
        expect,
        value: value.map(str::to_owned),
    }
}

#[tokio::test]
async fn a_transaction_writes_all_rows_or_none() {
    let (_handle, client) = start().await;
    let absent = platform::Expect::Absent;
    let first = [
        write("a/1", absent, Some("1")),
        write("a/2", absent, Some("2")),
    ];
    let versions = client.commit(&first).await.unwrap();
    assert_eq!(versions.len(), 2);
    let second = [
        write("a/3", absent, Some("3")),
        write("a/2", absent, Some("4")),
    ];
    let failed = client.commit(&second).await;
    assert!(matches!(failed, Err(platform::Error::Conflict { key }) if key == "a/2"));
    assert_eq!(client.read("a/3").await.unwrap(), None);
    let rows = client.scan("a/", "a/1", 10).await.unwrap();
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].version, versions[1]);
}

#[tokio::test]
async fn a_row_written_again_after_its_removal_gets_a_higher_version() {
    let (_handle, client) = start().await;
    let any = platform::Expect::Any;
    let first = client.commit(&[write("a", any, Some("1"))]).await.unwrap();
    client.commit(&[write("a", any, None)]).await.unwrap();
    let again = client.commit(&[write("a", any, Some("1"))]).await.unwrap();
    assert!(again > first);
}

#[tokio::test]
async fn objects_are_stored_under_their_digest() {
    let (_handle, client) = start().await;
    let digest = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824";
    assert_eq!(client.object(digest).await.unwrap(), None);
    client.store(digest, b"hello").await.unwrap();
    assert_eq!(client.object(digest).await.unwrap().unwrap(), b"hello");
    assert!(client.store(digest, b"other").await.is_err());
}

#[tokio::test]
async fn a_lost_response_is_distinguished_from_a_refusal() {
    let (handle, client) = start().await;
    let any = platform::Expect::Any;
    handle.set(|o| o.lose_next = 1);
    let lost = client.commit(&[write("a", any, Some("1"))]).await;
    assert!(
        matches!(lost, Err(platform::Error::Lost { .. })),
        "{lost:?}"
    );
    assert_eq!(handle.rows("a").len(), 1);
    handle.set(|o| o.drop_next = 1);
    let lost = client.commit(&[write("b", any, Some("1"))]).await;
    assert!(
        matches!(lost, Err(platform::Error::Lost { .. })),
        "{lost:?}"
    );
    assert_eq!(handle.rows("b").len(), 0);
    handle.set(|o| o.down = true);
    let refused = client.commit(&[write("c", any, Some("1"))]).await;
    assert!(matches!(refused, Err(platform::Error::Unavailable { .. })));
    handle.set(|o| (o.down, o.hang) = (false, true));
    let hung = client.read("a").await;
    assert!(
        matches!(hung, Err(platform::Error::Lost { .. })),
        "{hung:?}"
    );
    drop(handle);
    let gone = client.read("a").await;
    assert!(gone.is_err(), "{gone:?}");
}

#[tokio::test]
async fn reads_above_the_rate_limit_are_refused() {
    let (handle, client) = start().await;
    handle.set(|o| o.reads_s = 3);
    let mut refused = 0;
    for _ in 0..20 {
        refused += u32::from(client.read("a").await.is_err());
    }
    assert!(refused >= 5, "{refused} of 20 refused at 3 a second");
    assert_eq!(handle.report().counters.limited, u64::from(refused));
}
