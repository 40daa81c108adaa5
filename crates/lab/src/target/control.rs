//! The HTTP control port of the targets' stand-in.
//!
//! `POST /_control` injects a fault and `GET /_counts` returns the counters. The port serves other processes; code in
//! the same process uses [`Targets`] directly.

use std::convert;
use std::net;
use std::sync;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use super::{Fault, Targets};

/// The body of `POST /_control`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// The target's name.
    pub target: String,
    /// The fault that replaces its current one.
    pub fault: Fault,
}

/// Starts the control port at `address`, which runs until the process ends, and returns the address it is bound to.
///
/// # Errors
///
/// Returns an error if `address` cannot be bound.
pub async fn serve(
    address: net::SocketAddr,
    targets: sync::Arc<Targets>,
) -> std::io::Result<net::SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let targets = targets.clone();
            let handler = service::service_fn(move |request| handle(targets.clone(), request));
            let served = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), handler);
            tokio::spawn(served);
        }
    });
    Ok(address)
}

async fn handle(
    targets: sync::Arc<Targets>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, convert::Infallible> {
    let path = request.uri().path().to_owned();
    let (status, text) = match (request.method(), path.as_str()) {
        (&Method::GET, "/_counts") => counts_response(&targets),
        (&Method::POST, "/_control") => set_fault(&targets, request.into_body()).await,
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    Ok(response)
}

fn counts_response(targets: &Targets) -> (StatusCode, String) {
    let snapshot = targets.tally().snapshot();
    let text = serde_json::to_string(&snapshot).unwrap_or_default();
    (StatusCode::OK, text)
}

async fn set_fault(targets: &Targets, body: Incoming) -> (StatusCode, String) {
    let Ok(body) = body.collect().await else {
        return (StatusCode::BAD_REQUEST, "the body broke off".to_owned());
    };
    let command = match serde_json::from_slice::<Command>(&body.to_bytes()) {
        Ok(command) => command,
        Err(e) => return (StatusCode::BAD_REQUEST, e.to_string()),
    };
    match targets.set_fault(&command.target, &command.fault) {
        Ok(_) => (StatusCode::NO_CONTENT, String::new()),
        Err(e) => (StatusCode::NOT_FOUND, e.to_string()),
    }
}
