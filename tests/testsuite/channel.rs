//! Connections to the platform that go silent for good, without a reset, while new ones are served.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use http::Method;
use peridotspread::state::clock::Millis;
use peridotspread::transport::channel::Channel;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// The time that a call takes at the service.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(50);
const TIMEOUT: Millis = Millis(400);

/// Starts a service; each connection that is open when the generation rises never answers again.
async fn start_service() -> (net::SocketAddr, sync::Arc<atomic::AtomicU64>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let generation = sync::Arc::new(atomic::AtomicU64::new(0));
    let current = generation.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let current = current.clone();
            let own = current.load(atomic::Ordering::SeqCst);
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {
                    tokio::time::sleep(SERVICE_TIME).await;
                    if current.load(atomic::Ordering::SeqCst) == own {
                        stream.write_all(RESPONSE).await.unwrap();
                    }
                }
            });
        }
    });
    (address, generation)
}

async fn is_answered(channel: &Channel) -> bool {
    let call = channel.call(Method::GET, "/", Bytes::new(), TIMEOUT);
    call.await.is_ok()
}

/// Makes `n` calls at once, after which the channel has as many idle connections.
async fn open_connections(channel: &Channel, n: usize) {
    let calls = (0..n).map(|_| is_answered(channel));
    let answered = futures_util::future::join_all(calls).await;
    assert_eq!(answered, vec![true; n]);
}

// Each of several silent connections cost a timeout, in which the daemon learned of no change.
#[tokio::test]
async fn after_an_unanswered_call_the_next_one_uses_a_new_connection() {
    let (address, generation) = start_service().await;
    let channel = Channel::new(address);
    open_connections(&channel, 3).await;
    generation.fetch_add(1, atomic::Ordering::SeqCst);
    assert!(!is_answered(&channel).await, "the connection is silent");
    assert!(is_answered(&channel).await);
}

// Closing idle connections after a lost call must not keep the channel from using those that answer.
#[tokio::test]
async fn a_connection_that_answers_after_another_went_silent_stays_in_use() {
    let (address, generation) = start_service().await;
    let channel = Channel::new(address);
    open_connections(&channel, 1).await;
    generation.fetch_add(1, atomic::Ordering::SeqCst);
    let [silent, new] = [is_answered(&channel), is_answered(&channel)];
    assert_eq!(tokio::join!(silent, new), (false, true));
    for _ in 0..3 {
        assert!(is_answered(&channel).await);
    }
}

// A daemon that had polled a peer for long fell back to a connection that had been silent for as long.
#[tokio::test]
async fn a_connection_that_was_idle_for_long_is_not_used() {
    let (address, generation) = start_service().await;
    let channel = Channel::new(address);
    open_connections(&channel, 2).await;
    generation.fetch_add(1, atomic::Ordering::SeqCst);
    tokio::time::sleep(time::Duration::from_millis(1_100)).await;
    assert!(is_answered(&channel).await);
}
