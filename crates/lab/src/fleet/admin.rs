//! A client for the admin interface of the daemons.

use std::net;
use std::time;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt;
use serde::Deserialize;
use tokio::net::TcpStream;

/// The timeout of one call.
const TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// The part of a daemon's status that the lab uses.
#[derive(Clone, Debug, Deserialize)]
pub struct Status {
    /// The version of the bundle in force.
    pub version: u64,
    /// The daemons that this daemon lists as members.
    pub members: Vec<Member>,
    /// The cells whose home is this daemon.
    #[serde(default)]
    pub cells: Vec<serde_json::Value>,
}

/// The state of a daemon, as seen by another daemon.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// The name of the daemon.
    pub name: String,
    /// The liveness: `alive`, `suspect` or `leaving`.
    pub liveness: String,
}

/// Sends a request to the admin interface; `None` if the daemon does not respond in time.
pub async fn call(
    address: net::SocketAddr,
    token: &str,
    method: Method,
    path: &str,
) -> Option<(StatusCode, Bytes)> {
    let response = send_request(address, token, method, path);
    tokio::time::timeout(TIMEOUT, response).await.ok()?
}

async fn send_request(
    address: net::SocketAddr,
    token: &str,
    method: Method,
    path: &str,
) -> Option<(StatusCode, Bytes)> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, driver) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
    tokio::spawn(driver);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::AUTHORIZATION, format!("Bearer {token}"))
        .body(Full::<Bytes>::default())
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?;
    Some((status, body.to_bytes()))
}

/// Reads the status of a daemon; `None` if it does not respond or refuses.
pub async fn status(address: net::SocketAddr, token: &str) -> Option<Status> {
    let (status, body) = call(address, token, Method::GET, "/v1/status").await?;
    if !status.is_success() {
        return None;
    }
    serde_json::from_slice(&body).ok()
}

/// Returns the sum of all samples of the metric `name` at a daemon; `None` if it does not respond.
pub async fn metric(address: net::SocketAddr, name: &str) -> Option<f64> {
    let (_, body) = call(address, "", Method::GET, "/metrics").await?;
    let text = String::from_utf8(body.into()).ok()?;
    let samples = text
        .lines()
        .filter(|l| {
            l.strip_prefix(name)
                .is_some_and(|r| r.starts_with(['{', ' ']))
        })
        .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok());
    Some(samples.sum())
}
