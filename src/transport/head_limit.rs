//! A limit on the bytes that are read while the head of a response is due.
//!
//! The HTTP library limits the size of one head, but it skips interim responses (status 1xx) without a limit, and
//! parses what it has read in one go. A peer that sends them without end would keep a thread busy and the connection
//! open.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The number of bytes that may be read until the head is complete; unlimited while no head is due.
#[derive(Clone, Debug)]
pub(super) struct HeadLimit {
    left: sync::Arc<atomic::AtomicUsize>,
}

impl HeadLimit {
    /// Starts to limit what is read to `bytes`.
    pub(super) fn begin(&self, bytes: usize) {
        self.left.store(bytes, atomic::Ordering::Relaxed);
    }

    /// Ends the limit, since the head is complete.
    pub(super) fn end(&self) {
        self.begin(usize::MAX);
    }

    fn left(&self) -> usize {
        self.left.load(atomic::Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) {
        let reduced = |left| (left != usize::MAX).then(|| usize::saturating_sub(left, bytes));
        let order = atomic::Ordering::Relaxed;
        // Without a limit there is nothing to reduce.
        let _ = self.left.fetch_update(order, order, reduced);
    }
}

/// A stream whose reads fail once its [`HeadLimit`] is used up. The last read may exceed the limit by the buffer that
/// it fills.
#[derive(Debug)]
pub(super) struct LimitedStream<S> {
    stream: S,
    limit: HeadLimit,
}

impl<S> LimitedStream<S> {
    /// Wraps `stream`; returns it with its limit, which has not begun.
    pub(super) fn new(stream: S) -> (LimitedStream<S>, HeadLimit) {
        let limit = HeadLimit {
            left: sync::Arc::new(atomic::AtomicUsize::new(usize::MAX)),
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
            let error = "the response head is longer than the limit";
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
