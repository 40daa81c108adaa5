//! The control port of the targets' stand-in, for other processes: `POST /_control` sets faults, `GET /_counts` counts.

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
    /// What is wrong with it from now on.
    pub fault: Fault,
}

/// Opens the control port at `address` and serves it until the process ends; returns the address that it got.
///
/// # Errors
///
/// Returns an error if the address can't be listened at.
pub async fn open(
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
        (&Method::GET, "/_counts") => counts(&targets),
        (&Method::POST, "/_control") => control(&targets, request.into_body()).await,
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = status;
    Ok(answer)
}

fn counts(targets: &Targets) -> (StatusCode, String) {
    let snapshot = targets.tally().snapshot();
    let text = serde_json::to_string(&snapshot).unwrap_or_default();
    (StatusCode::OK, text)
}

async fn control(targets: &Targets, body: Incoming) -> (StatusCode, String) {
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
