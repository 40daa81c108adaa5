//! The HTTP server for callers and operators: HTTP/1.1 and HTTP/2, with TLS where a certificate is given.

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
use tokio::{net as tcp, sync as tasks, time};

use crate::state::settings;
use crate::transport::body;

/// Answers requests; every failure is an answer too.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request from the caller at `from`.
    fn handle(
        &self,
        from: net::SocketAddr,
        request: Request<Incoming>,
    ) -> future::BoxFuture<'static, Response<body::Body>>;
}

/// What a server needs besides its handler.
pub struct Options {
    /// The bound socket.
    pub listener: tcp::TcpListener,
    /// The limits of heads and connections; each connection takes those in force when it begins.
    pub limits: tasks::watch::Receiver<settings::Limits>,
    /// TLS towards callers; plain HTTP where absent.
    pub tls: Option<sync::Arc<rustls::ServerConfig>>,
}

/// Serves until `stop` becomes true, then finishes what is in flight, for at most `limits.drain_ms`.
pub async fn serve(
    options: Options,
    handler: sync::Arc<dyn Handler>,
    mut stop: tasks::watch::Receiver<bool>,
) {
    let places = sync::Arc::new(tasks::Semaphore::new(options.limits.borrow().connections));
    let connections = graceful::GracefulShutdown::new();
    let acceptor = options.tls.clone().map(tokio_rustls::TlsAcceptor::from);
    loop {
        let (stream, from) = tokio::select! {
            accepted = options.listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(e) => {
                    log::warn!("can't accept a connection: {e}; trying again");
                    time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
            () = wait_until_true(&mut stop) => break,
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            log::warn!(
                "the connection of {from} is closed: the limit of {} is reached",
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
            drop(place);
        });
    }
    drop(options.listener);
    let patience = options.limits.borrow().drain_ms;
    if time::timeout(patience.span(), connections.shutdown())
        .await
        .is_err()
    {
        log::warn!("requests are cut: they took longer than {patience} to finish");
    }
}

/// Resolves once the watched value is true, or nobody can change it any more.
pub async fn wait_until_true(watched: &mut tasks::watch::Receiver<bool>) {
    // A closed channel ends the wait as well.
    let _ = watched.wait_for(|value| *value).await;
}

/// The pause after a failed accept.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);
/// The streams of one HTTP/2 connection at a time.
const STREAMS_PER_CONNECTION: u32 = 256;
/// The least buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

async fn serve_connection(
    stream: tcp::TcpStream,
    from: net::SocketAddr,
    acceptor: Option<tokio_rustls::TlsAcceptor>,
    limits: settings::Limits,
    handler: sync::Arc<dyn Handler>,
    watcher: graceful::Watcher,
) {
    let answering = service::service_fn(move |request| {
        let answer = handler.handle(from, request);
        async move { Ok::<_, convert::Infallible>(answer.await) }
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
        .max_concurrent_streams(STREAMS_PER_CONNECTION)
        .max_header_list_size(u32::try_from(limits.head_bytes).unwrap_or(u32::MAX));
    let served = match acceptor {
        None => {
            let connection = builder
                .serve_connection(rt::TokioIo::new(stream), answering)
                .into_owned();
            watcher.watch(connection).await
        }
        Some(acceptor) => {
            let Ok(Ok(stream)) =
                time::timeout(limits.head_ms.span(), acceptor.accept(stream)).await
            else {
                log::debug!("the TLS handshake of {from} failed");
                return;
            };
            let connection = builder
                .serve_connection(rt::TokioIo::new(stream), answering)
                .into_owned();
            watcher.watch(connection).await
        }
    };
    if let Err(e) = served {
        log::debug!("the connection of {from} ended: {e}");
    }
}
