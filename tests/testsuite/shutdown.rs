//! The end of the server for callers: requests that had just been accepted when it stops are answered.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future;
use http::{Request, Response};
use hyper::body::Incoming;
use peridotspread::state::clock::Millis;
use peridotspread::state::settings;
use peridotspread::transport::{body, http as server};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The connections that wait to be accepted when the server stops.
const WAITING: usize = 20;

struct Answer;

impl server::Handler for Answer {
    fn handle(
        &self,
        _from: SocketAddr,
        _request: Request<Incoming>,
    ) -> future::BoxFuture<'static, Response<body::Body>> {
        async { Response::new(body::full(Bytes::from_static(b"paid"))) }.boxed()
    }
}

/// Opens a connection, and returns it with a request on its way.
async fn send(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET / HTTP/1.1\r\nhost: daemon\r\n\r\n";
    stream.write_all(request).await.unwrap();
    stream
}

#[tokio::test]
async fn requests_that_wait_to_be_accepted_when_the_server_stops_are_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let streams = future::join_all((0..WAITING).map(|_| send(address))).await;
    let (_stop, stopped) = watch::channel(true);
    let options = server::Options {
        listener,
        limits: watch::channel(settings::Limits::default()).1,
        tls: None,
        last_requests: Millis(100),
    };
    let serving = tokio::spawn(server::serve(options, Arc::new(Answer), stopped));
    for mut stream in streams {
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response}");
    }
    serving.await.unwrap();
}
