//! The client of the platform over HTTP/1.1; `docs/PLATFORM.md` describes the interface.
//!
//! All calls go through one [`channel::Channel`].

use bytes::Bytes;
use serde::Serialize;

use crate::protocol::platform;
use crate::state::clock;
use crate::state::settings;
use crate::transport::channel::{self, Response};

/// The client of the platform over HTTP.
#[derive(Debug)]
pub struct HttpPlatform {
    channel: channel::Channel,
    timeout: clock::Millis,
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

impl HttpPlatform {
    /// Creates a client; nothing is connected before the first call.
    pub fn new(settings: &settings::Platform) -> HttpPlatform {
        HttpPlatform {
            channel: channel::Channel::new(settings.address),
            timeout: settings.timeout_ms,
        }
    }

    async fn call(
        &self,
        method: http::Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response, platform::Error> {
        self.channel.call(method, path, body, self.timeout).await
    }

    async fn post<M: Serialize + Sync>(
        &self,
        path: &str,
        message: &M,
    ) -> Result<Response, platform::Error> {
        self.channel.post(path, message, self.timeout).await
    }
}

impl platform::Hosts for HttpPlatform {
    fn hosts(&self) -> platform::Call<'_, Vec<platform::Host>> {
        Box::pin(async move {
            let response = self.call(http::Method::GET, "/hosts", Bytes::new()).await?;
            response.error_for_status()?.decode()
        })
    }
}

impl platform::Platform for HttpPlatform {
    fn read<'a>(&'a self, key: &'a str) -> platform::Call<'a, Option<platform::Row>> {
        Box::pin(async move {
            self.post("/table/read", &Read { key })
                .await?
                .error_for_status()?
                .decode()
        })
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
            self.post("/table/scan", &scan)
                .await?
                .error_for_status()?
                .decode()
        })
    }

    fn commit<'a>(&'a self, writes: &'a [platform::Write]) -> platform::Call<'a, Vec<u64>> {
        Box::pin(async move {
            let response = self.post("/table/commit", &Commit { writes }).await?;
            if response.status == http::StatusCode::CONFLICT {
                let key = serde_json::from_slice::<Conflict>(&response.body).map(|c| c.key);
                return platform::ConflictSnafu {
                    key: key.unwrap_or_default(),
                }
                .fail();
            }
            response.error_for_status()?.decode()
        })
    }

    fn object<'a>(&'a self, digest: &'a str) -> platform::Call<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let path = format!("/objects/{digest}");
            let response = self.call(http::Method::GET, &path, Bytes::new()).await?;
            if response.status == http::StatusCode::NOT_FOUND {
                return Ok(None);
            }
            Ok(Some(response.error_for_status()?.body.to_vec()))
        })
    }

    fn store<'a>(&'a self, digest: &'a str, content: &'a [u8]) -> platform::Call<'a, ()> {
        Box::pin(async move {
            let path = format!("/objects/{digest}");
            let content = Bytes::copy_from_slice(content);
            self.call(http::Method::PUT, &path, content)
                .await?
                .error_for_status()?;
            Ok(())
        })
    }
}
