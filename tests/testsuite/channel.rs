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

/// Starts a service whose response has `parts` parts of one byte, 150 ms apart, of which it sends only `sent`.
async fn start_slow_service(parts: usize, sent: usize) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4096];
            let _ = stream.read(&mut buffer).await;
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {parts}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.unwrap();
            for _ in 0..sent {
                tokio::time::sleep(time::Duration::from_millis(150)).await;
                stream.write_all(b"x").await.unwrap();
            }
            tokio::time::sleep(time::Duration::from_secs(30)).await;
        }
    });
    address
}

// On a slow link, large rules were given up while they arrived, and read again from their beginning.
#[tokio::test]
async fn a_response_that_arrives_slowly_is_read_to_its_end() {
    let channel = Channel::new(start_slow_service(8, 8).await);
    assert!(is_answered(&channel).await);
}

// A response that stops in its middle must not keep the daemon from calling again.
#[tokio::test]
async fn a_response_that_stops_in_its_middle_is_given_up() {
    let channel = Channel::new(start_slow_service(8, 2).await);
    let begin = time::Instant::now();
    assert!(!is_answered(&channel).await);
    assert!(begin.elapsed() < time::Duration::from_millis(2_500));
}
