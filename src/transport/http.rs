//! The HTTP server for callers and operators: HTTP/1.1 and HTTP/2, with TLS if a certificate is configured.

use std::convert;
use std::net;
use std::sync;

use futures_util::future;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful;
use tokio::{net as tcp, sync as tokio_sync, time};

use crate::state::{clock, settings};
use crate::transport::{body, stall};

/// Handles requests; a failure is reported in the response.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to one request from the caller at `from`.
    fn handle(
        &self,
        from: net::SocketAddr,
        request: Request<Incoming>,
    ) -> future::BoxFuture<'static, Response<body::Body>>;
}

/// The options of [`serve`].
pub struct Options {
    /// The bound listener.
    pub listener: tcp::TcpListener,
    /// The limits of request heads and connections; each connection uses those in force when it is accepted.
    pub limits: tokio_sync::watch::Receiver<settings::Limits>,
    /// The TLS configuration; plain HTTP if absent.
    pub tls: Option<sync::Arc<rustls::ServerConfig>>,
    /// How long requests may still arrive on open connections after the server stops to accept others.
    pub last_requests: clock::Millis,
}

/// Serves until `stop` becomes true, then finishes the requests in flight, for at most `limits.drain_ms`.
///
/// Connections that wait to be accepted at that time are accepted, since their requests may be on their way.
pub async fn serve(
    options: Options,
    handler: sync::Arc<dyn Handler>,
    mut stop: tokio_sync::watch::Receiver<bool>,
) {
    let is_limited = options.limits.borrow().memory_bytes.is_some();
    stall::limit_buffers(&options.listener, is_limited);
    let permits = sync::Arc::new(tokio_sync::Semaphore::new(
        options.limits.borrow().connections,
    ));
    let connections = graceful::GracefulShutdown::new();
    let acceptor = options.tls.clone().map(tokio_rustls::TlsAcceptor::from);
    let mut is_stopping = false;
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = options.listener.accept() => accepted,
            () = std::future::ready(()), if is_stopping => break,
            () = wait_until_true(&mut stop), if !is_stopping => {
                is_stopping = true;
                continue;
            }
        };
        let (stream, from) = match accepted {
            Ok(accepted) => accepted,
            Err(e) if is_stopping => {
                log::warn!("failed to accept the last connections: {e}");
                break;
            }
            Err(e) => {
                log::warn!("failed to accept a connection: {e}; trying again");
                time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            log::warn!(
                "closed the connection of {from}: the limit of {} connections is reached",
                options.limits.borrow().connections
            );
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let watcher = connections.watcher();
        let serving = serve_connection(
            stream,
            from,
            acceptor.clone(),
            options.limits.borrow().clone(),
            handler.clone(),
            watcher,
        );
        tokio::spawn(async move {
            serving.await;
            drop(permit);
        });
    }
    drop(options.listener);
    time::sleep(options.last_requests.span()).await;
    let timeout = options.limits.borrow().drain_ms;
    if time::timeout(timeout.span(), connections.shutdown())
        .await
        .is_err()
    {
        log::warn!("aborted the requests in flight: the drain took longer than {timeout}");
    }
}

/// Resolves once the watched value is true or its sender is dropped.
pub async fn wait_until_true(watched: &mut tokio_sync::watch::Receiver<bool>) {
    // A closed channel also ends the wait.
    let _ = watched.wait_for(|value| *value).await;
}

/// The pause after a failed accept.
const ACCEPT_BACKOFF: std::time::Duration = std::time::Duration::from_millis(50);
/// The most concurrent streams of one HTTP/2 connection.
const MAX_STREAMS: u32 = 256;
/// The receive window of one HTTP/2 stream, and that of a connection, if memory is limited, in bytes.
const STREAM_WINDOW_BYTES: u32 = 32 * 1024;
const CONNECTION_WINDOW_BYTES: u32 = 128 * 1024;
/// The smallest read buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

async fn serve_connection(
    stream: tcp::TcpStream,
    from: net::SocketAddr,
    acceptor: Option<tokio_rustls::TlsAcceptor>,
    limits: settings::Limits,
    handler: sync::Arc<dyn Handler>,
    watcher: graceful::Watcher,
) {
    let service = service::service_fn(move |request| {
        let response = handler.handle(from, request);
        async move { Ok::<_, convert::Infallible>(response.await) }
    });
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(limits.head_ms.max(limits.idle_ms).span())
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(limits.head_fields);
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(u32::try_from(limits.head_bytes).unwrap_or(u32::MAX));
    let timeout = limits.memory_bytes.map(|_| stall::STALL_TIMEOUT);
    if limits.memory_bytes.is_some() {
        builder
            .http2()
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_send_buf_size(STREAM_WINDOW_BYTES as usize);
    }
    let stream = stall::StallGuard::new(stream, timeout, stall::reset_on_close);
    let served = match acceptor {
        None => {
            let connection = builder
                .serve_connection(rt::TokioIo::new(stream), service)
                .into_owned();
            watcher.watch(connection).await
        }
        Some(acceptor) => {
            let Ok(Ok(stream)) =
                time::timeout(limits.head_ms.span(), acceptor.accept(stream)).await
            else {
                log::debug!("the TLS handshake with {from} failed");
                return;
            };
            let connection = builder
                .serve_connection(rt::TokioIo::new(stream), service)
                .into_owned();
            watcher.watch(connection).await
        }
    };
    if let Err(e) = served {
        log::debug!("the connection of {from} failed: {e}");
    }
}
