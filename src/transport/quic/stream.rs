//! Streams that are counted while they are open, so that their connection is not closed as idle.

use std::io;
use std::ops;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::protocol::version;

/// The sending half of a stream; the connection is not idle until it is dropped.
#[derive(Debug)]
pub struct SendStream {
    inner: quinn::SendStream,
    version: version::Version,
    _guard: Arc<()>,
}

/// The receiving half of a stream; the connection is not idle until it is dropped.
#[derive(Debug)]
pub struct RecvStream {
    inner: quinn::RecvStream,
    _guard: Arc<()>,
}

/// Counts the open halves of streams on one connection.
#[derive(Debug, Default)]
pub(super) struct StreamTracker {
    guard: Arc<()>,
}

impl StreamTracker {
    /// Counts a stream until both open_halves are dropped.
    pub(super) fn track(
        &self,
        (send, recv): (quinn::SendStream, quinn::RecvStream),
        version: version::Version,
    ) -> (SendStream, RecvStream) {
        let send = SendStream {
            inner: send,
            version,
            _guard: self.guard.clone(),
        };
        let recv = RecvStream {
            inner: recv,
            _guard: self.guard.clone(),
        };
        (send, recv)
    }

    /// Returns whether no stream is open.
    pub(super) fn is_empty(&self) -> bool {
        self.open_halves() == 0
    }

    /// Returns the number of open halves of streams.
    pub(super) fn open_halves(&self) -> usize {
        Arc::strong_count(&self.guard) - 1
    }
}

impl SendStream {
    /// Returns the version of the protocol that both ends of the connection agreed on.
    pub fn version(&self) -> version::Version {
        self.version
    }
}

impl ops::Deref for SendStream {
    type Target = quinn::SendStream;

    fn deref(&self) -> &quinn::SendStream {
        &self.inner
    }
}

impl ops::DerefMut for SendStream {
    fn deref_mut(&mut self) -> &mut quinn::SendStream {
        &mut self.inner
    }
}

impl ops::Deref for RecvStream {
    type Target = quinn::RecvStream;

    fn deref(&self) -> &quinn::RecvStream {
        &self.inner
    }
}

impl ops::DerefMut for RecvStream {
    fn deref_mut(&mut self) -> &mut quinn::RecvStream {
        &mut self.inner
    }
}

impl AsyncWrite for SendStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        AsyncWrite::poll_write(Pin::new(&mut self.inner), cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        AsyncWrite::poll_flush(Pin::new(&mut self.inner), cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        AsyncWrite::poll_shutdown(Pin::new(&mut self.inner), cx)
    }
}

impl AsyncRead for RecvStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        AsyncRead::poll_read(Pin::new(&mut self.inner), cx, bytes)
    }
}
