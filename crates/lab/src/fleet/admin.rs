//! A client of the daemons' admin interface.

use std::net;
use std::time;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt;
use serde::Deserialize;
use tokio::net::TcpStream;

/// How long one call may take.
const TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// What the lab reads of a daemon's status.
#[derive(Clone, Debug, Deserialize)]
pub struct Status {
    /// The version of the bundle in force.
    pub version: u64,
    /// The daemons that this one knows of.
    pub members: Vec<Member>,
    /// The cells that the daemon is home of.
    #[serde(default)]
    pub cells: Vec<serde_json::Value>,
}

/// One daemon as another sees it.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// The daemon's name.
    pub name: String,
    /// `alive`, `suspect` or `leaving`.
    pub liveness: String,
}

/// Calls one page; none where the daemon does not answer in time.
pub async fn call(
    address: net::SocketAddr,
    token: &str,
    method: Method,
    path: &str,
) -> Option<(StatusCode, Bytes)> {
    let exchange = exchange(address, token, method, path);
    tokio::time::timeout(TIMEOUT, exchange).await.ok()?
}

async fn exchange(
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
    let answer = sender.send_request(request).await.ok()?;
    let status = answer.status();
    let body = answer.into_body().collect().await.ok()?;
    Some((status, body.to_bytes()))
}

/// Reads a daemon's status; none where it does not answer.
pub async fn status(address: net::SocketAddr, token: &str) -> Option<Status> {
    let (status, body) = call(address, token, Method::GET, "/v1/status").await?;
    if !status.is_success() {
        return None;
    }
    serde_json::from_slice(&body).ok()
}

/// Sums the samples of one metric at a daemon; none where it does not answer.
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
