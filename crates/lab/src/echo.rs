//! Header fields and bodies by which the load generator recognises wrong and truncated responses.
//!
//! The load generator sends a nonce with each request, and the targets' stand-in answers with a [`Filler`]: a body that
//! repeats the nonce. The response to another request differs from it, and so does a shifted part of the same response.

use std::pin;
use std::task;

use bytes::Bytes;
use http_body::Frame;

/// The identity of one attempt at a request; each resend has a new one.
pub const ATTEMPT: &str = "lab-attempt";
/// The identity of a request; the same for all of its attempts.
pub const NONCE: &str = "lab-nonce";
/// On requests, the size of the response body to send; on responses, its size. In bytes.
pub const BYTES: &str = "lab-bytes";
/// Requests a response without `Content-Length`.
pub const CHUNKED: &str = "lab-chunked";
/// On responses, the SHA-256 digest of the request body in hexadecimal.
pub const DIGEST: &str = "lab-digest";
/// On responses, the name of the target.
pub const TARGET: &str = "lab-target";

/// The maximum size of one data frame.
const CHUNK_BYTES: usize = 16 * 1024;

/// Returns `len` bytes of the body for `nonce`, starting at `offset`.
pub fn filler(nonce: &str, offset: u64, len: usize) -> Bytes {
    let period = nonce.len().max(1);
    let start = (offset % period as u64) as usize;
    nonce.bytes().cycle().skip(start).take(len).collect()
}

/// Returns whether `data` equals the body for `nonce` at `offset`.
pub fn matches(nonce: &str, offset: u64, data: &[u8]) -> bool {
    let period = nonce.len().max(1);
    let start = (offset % period as u64) as usize;
    nonce
        .bytes()
        .cycle()
        .skip(start)
        .zip(data)
        .all(|(a, b)| a == *b)
}

/// The error that ends a [`Filler`] which is truncated on purpose.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("the body is truncated on purpose"))]
pub struct Truncated;

/// A response body that repeats a nonce and may be truncated.
#[derive(Debug)]
pub struct Filler {
    nonce: String,
    sent: u64,
    total: u64,
    /// The number of bytes after which the body ends with an error.
    limit: Option<u64>,
    chunked: bool,
}

impl Filler {
    /// Creates a body of `total` bytes; if `chunked`, its length is not announced.
    pub fn new(nonce: &str, total: u64, chunked: bool) -> Filler {
        Filler {
            nonce: nonce.to_owned(),
            sent: 0,
            total,
            limit: None,
            chunked,
        }
    }

    /// Makes the body end with an error after `bytes`.
    pub fn truncate_after(self, bytes: u64) -> Filler {
        Filler {
            limit: Some(bytes),
            ..self
        }
    }

    /// Returns the next data frame, or none at the end.
    fn next(&mut self) -> Option<Result<Frame<Bytes>, Truncated>> {
        if self.limit.is_some_and(|limit| self.sent >= limit) {
            return Some(Err(Truncated));
        }
        let end = self.limit.unwrap_or(self.total).min(self.total);
        let len = (end - self.sent).min(CHUNK_BYTES as u64) as usize;
        if len == 0 {
            return None;
        }
        let data = filler(&self.nonce, self.sent, len);
        self.sent += len as u64;
        Some(Ok(Frame::data(data)))
    }
}

impl http_body::Body for Filler {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        _context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        task::Poll::Ready(self.next())
    }

    fn is_end_stream(&self) -> bool {
        self.limit.is_none() && self.sent == self.total
    }

    fn size_hint(&self) -> http_body::SizeHint {
        if self.chunked {
            return http_body::SizeHint::default();
        }
        http_body::SizeHint::with_exact(self.total - self.sent)
    }
}
