//! QUIC connections between daemons, which accept only certificates of the fleet's authority.

use bytes::Bytes;
use peridotspread::protocol::peer;
use peridotspread::protocol::version::Version;
use peridotspread::state::clock;
use peridotspread::transport::keys;
use peridotspread::transport::quic;
use tokio::sync::mpsc;

use crate::support::fleet;

/// The number of times that a condition is checked, 100 ms each.
const TRIES: usize = 100;

fn bind(files: &fleet::Files, name: &str) -> (quic::Peers, mpsc::Receiver<quic::Incoming>) {
    quic::Peers::bind(&files.settings(name)).unwrap()
}

#[tokio::test]
async fn streams_and_datagrams_carry_the_name_of_their_sender() {
    let files = fleet::files("quic-names");
    let (a, _from_b) = bind(&files, "a");
    let (b, mut from_a) = bind(&files, "b");
    let (mut send, mut recv) = a
        .open("b", b.local(), peer::Purpose::Control)
        .await
        .unwrap();
    let Some(quic::Incoming::Stream {
        from,
        purpose,
        send: mut back,
        ..
    }) = from_a.recv().await
    else {
        panic!("a stream comes first");
    };
    assert_eq!((from.as_str(), purpose), ("a", peer::Purpose::Control));
    back.write_all(b"answer").await.unwrap();
    back.finish().unwrap();
    assert_eq!(recv.read_to_end(100).await.unwrap(), b"answer");
    send.finish().unwrap();

    let sent = Bytes::from_static(b"datagram");
    a.datagram("b", b.local(), sent.clone()).await.unwrap();
    let Some(quic::Incoming::Datagram { from, bytes }) = from_a.recv().await else {
        panic!("a datagram comes next");
    };
    assert_eq!((from.as_str(), bytes), ("a", sent));
}

pub(crate) fn bind_older(
    files: &fleet::Files,
    name: &str,
) -> (quic::Peers, mpsc::Receiver<quic::Incoming>) {
    let settings = files.settings(name);
    let identity = quic::Identity::read(&settings).unwrap();
    let identity = identity.with_versions(&[Version::FIRST]);
    quic::Peers::bind_as(&identity, &settings, &quic::Timeouts::default()).unwrap()
}

/// While hosts are replaced, daemons of both builds dial each other; a build that offered only its own version would be
/// cut off from the rest of the fleet.
#[tokio::test]
async fn daemons_agree_on_the_highest_version_that_both_speak() {
    let files = fleet::files("quic-versions");
    let (a, _from_b) = bind(&files, "a");
    let (b, _from_a) = bind(&files, "b");
    let (older, mut from_a_to_older) = bind_older(&files, "c");
    let purpose = peer::Purpose::Control;
    let (between_new, _) = a.open("b", b.local(), purpose).await.unwrap();
    assert_eq!(between_new.version(), Version::CURRENT);
    let (to_older, _) = a.open("c", older.local(), purpose).await.unwrap();
    assert_eq!(to_older.version(), Version::FIRST);
    let accepted = from_a_to_older.recv().await;
    let Some(quic::Incoming::Stream { send, .. }) = accepted else {
        panic!("a stream comes first");
    };
    assert_eq!(send.version(), Version::FIRST);
    let (from_older, _) = older.open("b", b.local(), purpose).await.unwrap();
    assert_eq!(from_older.version(), Version::FIRST);
}

#[tokio::test]
async fn a_certificate_of_another_authority_is_refused_in_both_directions() {
    let files = fleet::files("quic-ours");
    let others = fleet::files("quic-theirs");
    let (a, mut at_a) = bind(&files, "a");
    let (stranger, mut at_stranger) = bind(&others, "b");
    let from_ours = a.open("b", stranger.local(), peer::Purpose::Control).await;
    assert!(
        matches!(from_ours, Err(quic::Error::Handshake { .. })),
        "{from_ours:?}"
    );

    // The other daemon trusts this fleet's authority, but presents a certificate of another authority.
    let mut forged = others.settings("c");
    forged.keys.authority = files.settings("c").keys.authority;
    let (forger, _) = quic::Peers::bind(&forged).unwrap();
    if let Ok((_, mut recv)) = forger.open("a", a.local(), peer::Purpose::Control).await {
        assert!(recv.read_to_end(100).await.is_err());
    }
    assert!(at_a.try_recv().is_err());
    assert!(at_stranger.try_recv().is_err());
}

#[tokio::test]
async fn a_wrong_daemon_behind_an_address_is_refused() {
    let files = fleet::files("quic-wrong");
    let (a, _from_b) = bind(&files, "a");
    let (b, mut from_a) = bind(&files, "b");
    let opened = a.open("c", b.local(), peer::Purpose::Control).await;
    assert!(
        matches!(opened, Err(quic::Error::Handshake { .. })),
        "{opened:?}"
    );
    assert!(from_a.try_recv().is_err());
}

#[tokio::test]
async fn a_restarted_peer_is_dialled_again() {
    let files = fleet::files("quic-again");
    let (a, _from_b) = bind(&files, "a");
    let (first, mut from_a) = bind(&files, "b");
    a.open("b", first.local(), peer::Purpose::Control)
        .await
        .unwrap();
    from_a.recv().await.unwrap();
    first.close().await;
    let (second, mut from_a) = bind(&files, "b");
    a.open("b", second.local(), peer::Purpose::Control)
        .await
        .unwrap();
    from_a.recv().await.unwrap();
}

/// Guards against requests on the connection to a killed run of the peer. The timeouts are too long to end it, so the
/// restarted peer must reset it.
#[test]
fn a_peer_restarted_after_a_kill_is_dialled_again_at_once() {
    let files = fleet::files("quic-killed");
    let hour = clock::Millis(3_600_000);
    let long_timeouts = quic::Timeouts {
        receive: hour,
        idle: hour,
        ..quic::Timeouts::default()
    };
    let runtime = || tokio::runtime::Runtime::new().unwrap();
    let (here, there) = (runtime(), runtime());
    let mut settings = files.settings("b");
    let (b, mut at_b) =
        there.block_on(async { quic::Peers::bind_with(&settings, &long_timeouts).unwrap() });
    settings.peer = b.local();
    let (a, _at_a) = here
        .block_on(async { quic::Peers::bind_with(&files.settings("a"), &long_timeouts).unwrap() });
    here.block_on(a.open("b", settings.peer, peer::Purpose::Control))
        .unwrap();
    at_b.blocking_recv().unwrap();
    there.shutdown_timeout(clock::Millis(5_000).span());
    drop((b, at_b));
    here.block_on(async {
        let (_again, mut at_b) = quic::Peers::bind_with(&settings, &long_timeouts).unwrap();
        for _ in 0..TRIES {
            let received = async {
                let _held = a.open("b", settings.peer, peer::Purpose::Control).await;
                at_b.recv().await
            };
            let received = tokio::time::timeout(clock::Millis(100).span(), received);
            if received.await.is_ok_and(|received| received.is_some()) {
                return;
            }
        }
        panic!("the old connection is still in use");
    });
}

#[tokio::test]
async fn the_stream_limit_grows_with_use() {
    let files = fleet::files("quic-many");
    let (a, _at_a) = bind(&files, "a");
    let (b, mut at_b) = bind(&files, "b");
    let mut held = Vec::new();
    for _ in 0..1_000 {
        let opened = a
            .open("b", b.local(), peer::Purpose::Request)
            .await
            .unwrap();
        held.push((opened, at_b.recv().await.unwrap()));
    }
    assert_eq!((a.connections(), held.len()), (1, 1_000));
}

#[tokio::test]
async fn an_idle_connection_is_closed_but_not_one_with_an_open_stream() {
    let files = fleet::files("quic-idle");
    let short_idle = quic::Timeouts {
        idle: clock::Millis(200),
        ..quic::Timeouts::default()
    };
    let (a, _at_a) = quic::Peers::bind_with(&files.settings("a"), &short_idle).unwrap();
    let (b, mut at_b) = quic::Peers::bind_with(&files.settings("b"), &short_idle).unwrap();
    let (c, mut at_c) = quic::Peers::bind_with(&files.settings("c"), &short_idle).unwrap();
    let held = a
        .open("b", b.local(), peer::Purpose::Control)
        .await
        .unwrap();
    let brief = a
        .open("c", c.local(), peer::Purpose::Control)
        .await
        .unwrap();
    let at_b = at_b.recv().await.unwrap();
    drop((brief, at_c.recv().await));
    while a.connections() > 1 || c.connections() > 0 {
        tokio::time::sleep(clock::Millis(10).span()).await;
    }
    let quic::Incoming::Stream { mut send, .. } = at_b else {
        panic!("a stream was opened");
    };
    send.write_all(b"late").await.unwrap();
    send.finish().unwrap();
    let (_, mut recv) = held;
    assert_eq!(recv.read_to_end(100).await.unwrap(), b"late");
    let (_, mut again) = a
        .open("c", c.local(), peer::Purpose::Control)
        .await
        .unwrap();
    drop(at_c.recv().await.unwrap());
    assert_eq!(again.read_to_end(100).await.unwrap(), b"");
}

#[tokio::test]
async fn a_certificate_of_another_name_is_refused_at_bind() {
    let files = fleet::files("quic-other-name");
    let mut settings = files.settings("a");
    settings.name = "b".to_owned();
    let bound = quic::Peers::bind(&settings);
    assert!(matches!(bound, Err(quic::Error::Name { .. })), "{bound:?}");
}

#[test]
fn an_authority_can_be_loaded_again() {
    let first = keys::create_authority().unwrap();
    let again = keys::Authority::load(first.certificate(), &first.key()).unwrap();
    assert!(again.issue("lahore-1-a").is_ok());
    let other = keys::create_authority().unwrap();
    let mixed = keys::Authority::load(first.certificate(), &other.key());
    assert!(matches!(mixed, Err(keys::Error::Mismatch)), "{mixed:?}");
    for name in ["", "A", "a b", "10.0.0.1"] {
        assert!(first.issue(name).is_err(), "{name}");
    }
}
