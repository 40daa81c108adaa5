//! The platform's client over HTTP/1.1; `docs/PLATFORM.md` describes the interface.
//!
//! The client keeps a few idle connections. It tells apart what the callers of [`platform::Platform`] must tell apart:
//! a call that was surely not acted on, and one whose answer was lost.

use std::net;
use std::sync;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt;
use serde::Serialize;
use serde::de;

use crate::protocol::platform;
use crate::state::clock;
use crate::state::settings;

/// The idle connections that one client keeps.
const IDLE_CONNECTIONS: usize = 4;

/// The most bytes of one answer.
const ANSWER_BYTES: usize = 64 * 1024 * 1024;

type Body = http_body_util::Full<Bytes>;
type Sender = http1::SendRequest<Body>;

/// The platform, reached over HTTP.
#[derive(Debug)]
pub struct HttpPlatform {
    address: net::SocketAddr,
    timeout: clock::Millis,
    idle: sync::Mutex<Vec<Sender>>,
}

#[derive(Serialize)]
struct Read<'a> {
    key: &'a str,
}

#[derive(Serialize)]
struct Scan<'a> {
    prefix: &'a str,
    after: &'a str,
    limit: usize,
}

#[derive(Serialize)]
struct Commit<'a> {
    writes: &'a [platform::Write],
}

#[derive(serde::Deserialize)]
struct Conflict {
    key: String,
}

struct Answer {
    status: http::StatusCode,
    body: Bytes,
}

impl HttpPlatform {
    /// Creates a client; nothing is connected before the first call.
    pub fn new(settings: &settings::Platform) -> HttpPlatform {
        HttpPlatform {
            address: settings.address,
            timeout: settings.timeout_ms,
            idle: sync::Mutex::default(),
        }
    }

    /// Makes one call within the timeout.
    async fn call(
        &self,
        method: http::Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, platform::Error> {
        let deadline = tokio::time::Instant::now() + self.timeout.span();
        let request = self.request(method, path, body)?;
        let (mut sender, request) = match self.idle_connection() {
            Some(sender) => (sender, request),
            None => (self.connect(deadline).await?, request),
        };
        let answer = match timeout(deadline, sender.try_send_request(request)).await? {
            Ok(answer) => answer,
            Err(mut e) => {
                // The request comes back where the idle connection was closed before anything was sent on it.
                let Some(request) = e.take_message() else {
                    return lost(&e.into_error().to_string());
                };
                sender = self.connect(deadline).await?;
                match timeout(deadline, sender.send_request(request)).await? {
                    Ok(answer) => answer,
                    Err(e) => return lost(&e.to_string()),
                }
            }
        };
        let status = answer.status();
        let limited = http_body_util::Limited::new(answer.into_body(), ANSWER_BYTES);
        let body = match timeout(deadline, limited.collect()).await? {
            Ok(body) => body.to_bytes(),
            Err(e) => return lost(&e.to_string()),
        };
        self.keep(sender);
        Ok(Answer { status, body })
    }

    fn request(
        &self,
        method: http::Method,
        path: &str,
        body: Bytes,
    ) -> Result<http::Request<Body>, platform::Error> {
        http::Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.address.to_string())
            .body(Body::new(body))
            .or_else(|e| unavailable(&e.to_string()))
    }

    fn idle_connection(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        while let Some(sender) = idle.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn keep(&self, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        if idle.len() < IDLE_CONNECTIONS && !sender.is_closed() {
            idle.push(sender);
        }
    }

    async fn connect(&self, deadline: tokio::time::Instant) -> Result<Sender, platform::Error> {
        let connecting = async {
            let stream = tokio::net::TcpStream::connect(self.address)
                .await
                .or_else(|e| unavailable(&e.to_string()))?;
            stream
                .set_nodelay(true)
                .or_else(|e| unavailable(&e.to_string()))?;
            http1::handshake(rt::TokioIo::new(stream))
                .await
                .or_else(|e| unavailable(&e.to_string()))
        };
        let Ok(connected) = tokio::time::timeout_at(deadline, connecting).await else {
            return unavailable("no connection within the timeout");
        };
        let (sender, connection) = connected?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("a connection to the platform ended: {e}");
            }
        });
        Ok(sender)
    }

    async fn post<M: Serialize + Sync>(
        &self,
        path: &str,
        message: &M,
    ) -> Result<Answer, platform::Error> {
        let body = serde_json::to_vec(message).or_else(|e| unavailable(&e.to_string()))?;
        self.call(http::Method::POST, path, Bytes::from(body)).await
    }
}

impl platform::Platform for HttpPlatform {
    fn read<'a>(&'a self, key: &'a str) -> platform::Call<'a, Option<platform::Row>> {
        Box::pin(async move { decode(accept(self.post("/table/read", &Read { key }).await?)?) })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> platform::Call<'a, Vec<platform::Row>> {
        Box::pin(async move {
            let scan = Scan {
                prefix,
                after,
                limit,
            };
            decode(accept(self.post("/table/scan", &scan).await?)?)
        })
    }

    fn commit<'a>(&'a self, writes: &'a [platform::Write]) -> platform::Call<'a, Vec<u64>> {
        Box::pin(async move {
            let answer = self.post("/table/commit", &Commit { writes }).await?;
            if answer.status == http::StatusCode::CONFLICT {
                let key = serde_json::from_slice::<Conflict>(&answer.body).map(|c| c.key);
                return platform::ConflictSnafu {
                    key: key.unwrap_or_default(),
                }
                .fail();
            }
            decode(accept(answer)?)
        })
    }

    fn object<'a>(&'a self, digest: &'a str) -> platform::Call<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let path = format!("/objects/{digest}");
            let answer = self.call(http::Method::GET, &path, Bytes::new()).await?;
            if answer.status == http::StatusCode::NOT_FOUND {
                return Ok(None);
            }
            Ok(Some(accept(answer)?.body.to_vec()))
        })
    }

    fn store<'a>(&'a self, digest: &'a str, content: &'a [u8]) -> platform::Call<'a, ()> {
        Box::pin(async move {
            let path = format!("/objects/{digest}");
            let content = Bytes::copy_from_slice(content);
            accept(self.call(http::Method::PUT, &path, content).await?)?;
            Ok(())
        })
    }

    fn hosts(&self) -> platform::Call<'_, Vec<platform::Host>> {
        Box::pin(async move {
            let answer = self.call(http::Method::GET, "/hosts", Bytes::new()).await?;
            decode(accept(answer)?)
        })
    }
}

/// Waits for an answer until `deadline`; past it the answer counts as lost.
async fn timeout<F: Future>(
    deadline: tokio::time::Instant,
    f: F,
) -> Result<F::Output, platform::Error> {
    match tokio::time::timeout_at(deadline, f).await {
        Ok(output) => Ok(output),
        Err(_) => lost("no answer within the timeout"),
    }
}

/// Passes on an answer of success; a 4xx or 503 says that the call was not acted on, any other leaves it open.
fn accept(answer: Answer) -> Result<Answer, platform::Error> {
    if answer.status.is_success() {
        return Ok(answer);
    }
    let reason = format!("status {}", answer.status.as_u16());
    if answer.status.is_client_error() || answer.status == http::StatusCode::SERVICE_UNAVAILABLE {
        return unavailable(&reason);
    }
    lost(&reason)
}

fn decode<M: de::DeserializeOwned>(answer: Answer) -> Result<M, platform::Error> {
    serde_json::from_slice(&answer.body).or_else(|e| lost(&e.to_string()))
}

fn lost<T>(reason: &str) -> Result<T, platform::Error> {
    platform::LostSnafu { reason }.fail()
}

fn unavailable<T>(reason: &str) -> Result<T, platform::Error> {
    platform::UnavailableSnafu { reason }.fail()
}
