//! A limit on the bytes that are read until the next part of a response is complete: its head, or a piece of its body.
//!
//! The HTTP library limits the size of one head, but it skips interim responses (status 1xx) and the digits of a chunk's
//! size without a limit, and parses what it has read in one go. A peer that sends them without end would keep a thread
//! busy and the connection open.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The most buffers of the library that are read until the next piece of a body: several, since the library reads ahead
/// of whoever takes the pieces.
const PIECE_BUFFERS: usize = 4;

/// The number of bytes that may be read until the next part of a response is complete.
#[derive(Clone, Debug)]
pub(super) struct ReadLimit {
    left: sync::Arc<atomic::AtomicUsize>,
    piece_bytes: usize,
}

impl ReadLimit {
    /// Limits what is read until the head is complete to `bytes`.
    pub(super) fn begin_head(&self, bytes: usize) {
        self.left.store(bytes, atomic::Ordering::Relaxed);
    }

    /// Limits what is read until the next piece of the body is complete, since the head or a piece is.
    pub(super) fn begin_piece(&self) {
        self.left.store(self.piece_bytes, atomic::Ordering::Relaxed);
    }

    fn left(&self) -> usize {
        self.left.load(atomic::Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) {
        let reduced = |left| Some(usize::saturating_sub(left, bytes));
        let order = atomic::Ordering::Relaxed;
        // An update that always has a value cannot fail.
        let _ = self.left.fetch_update(order, order, reduced);
    }
}

/// A stream whose reads fail once its [`ReadLimit`] is used up. The last read may exceed the limit by the buffer that
/// it fills.
#[derive(Debug)]
pub(super) struct LimitedStream<S> {
    stream: S,
    limit: ReadLimit,
}

impl<S> LimitedStream<S> {
    /// Wraps `stream`, which the library reads into a buffer of at most `buffer_bytes`; returns it with its limit, which
    /// is that of a piece.
    pub(super) fn new(stream: S, buffer_bytes: usize) -> (LimitedStream<S>, ReadLimit) {
        let piece_bytes = buffer_bytes.saturating_mul(PIECE_BUFFERS);
        let limit = ReadLimit {
            left: sync::Arc::new(atomic::AtomicUsize::new(piece_bytes)),
            piece_bytes,
        };
        let limited = LimitedStream {
            stream,
            limit: limit.clone(),
        };
        (limited, limit)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.limit.left() == 0 {
            let error = "a part of the response is longer than the limit";
            return task::Poll::Ready(Err(io::Error::other(error)));
        }
        let before = buf.filled().len();
        let read = pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        self.limit.take(buf.filled().len() - before);
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        data: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(cx, data)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(cx, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
