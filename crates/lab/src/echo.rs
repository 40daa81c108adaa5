//! What the load generator sends along and the targets' stand-in echoes, so that a wrong or short answer is seen.
//!
//! Each answer's body is a [`Filler`]: the request's nonce repeated. An answer to another request, and a piece of one,
//! differs from it in every position.

use std::pin;
use std::task;

use bytes::Bytes;
use http_body::Frame;

/// Names one send of a request; new with each resend.
pub const ATTEMPT: &str = "lab-attempt";
/// Names the request; the same over all its resends.
pub const NONCE: &str = "lab-nonce";
/// The bytes that the answer's body shall have, on requests; that it has, on answers.
pub const BYTES: &str = "lab-bytes";
/// Asks for an answer without `Content-Length`.
pub const CHUNKED: &str = "lab-chunked";
/// The SHA-256 digest of the request's body in hexadecimal, on answers.
pub const DIGEST: &str = "lab-digest";
/// The target that answered.
pub const TARGET: &str = "lab-target";

/// The bytes of one piece of a body.
const PIECE_BYTES: usize = 16 * 1024;

/// Returns the bytes of a body of `nonce` from `offset` on, `len` of them.
pub fn piece(nonce: &str, offset: u64, len: usize) -> Bytes {
    let period = nonce.len().max(1);
    let start = (offset % period as u64) as usize;
    nonce.bytes().cycle().skip(start).take(len).collect()
}

/// Returns whether `data` is the piece at `offset` of the body of `nonce`.
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

/// Why a [`Filler`] broke off.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("the body is cut short on purpose"))]
pub struct Cut;

/// A body that repeats a nonce, and may be cut short.
#[derive(Debug)]
pub struct Filler {
    nonce: String,
    sent: u64,
    total: u64,
    cut: Option<u64>,
    chunked: bool,
}

impl Filler {
    /// Creates a body of `total` bytes; without a known length where `chunked`.
    pub fn new(nonce: &str, total: u64, chunked: bool) -> Filler {
        Filler {
            nonce: nonce.to_owned(),
            sent: 0,
            total,
            cut: None,
            chunked,
        }
    }

    /// Breaks the body off after `bytes`.
    pub fn cut_after(self, bytes: u64) -> Filler {
        Filler {
            cut: Some(bytes),
            ..self
        }
    }

    fn next(&mut self) -> Option<Result<Frame<Bytes>, Cut>> {
        if self.cut.is_some_and(|cut| self.sent >= cut) {
            return Some(Err(Cut));
        }
        let end = self.cut.unwrap_or(self.total).min(self.total);
        let len = (end - self.sent).min(PIECE_BYTES as u64) as usize;
        if len == 0 {
            return None;
        }
        let data = piece(&self.nonce, self.sent, len);
        self.sent += len as u64;
        Some(Ok(Frame::data(data)))
    }
}

impl http_body::Body for Filler {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        _context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, Cut>>> {
        task::Poll::Ready(self.next())
    }

    fn is_end_stream(&self) -> bool {
        self.cut.is_none() && self.sent == self.total
    }

    fn size_hint(&self) -> http_body::SizeHint {
        if self.chunked {
            return http_body::SizeHint::default();
        }
        http_body::SizeHint::with_exact(self.total - self.sent)
    }
}
