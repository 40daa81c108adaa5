//! Streams whose writes fail if the other end reads nothing for too long, and the size of the system's buffers.
//!
//! Load pattern: callers and targets that stop reading. What the daemon has buffered for them would be held until they
//! close their connections.

use std::io;
use std::pin;
use std::task;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net as tcp;
use tokio::time;

use crate::state::clock;

/// How long the other end of a connection may read nothing while bytes wait for it, if memory is limited. A link that is
/// squeezed to a thirtieth of 10 Mbit/s still carries 40 KB in a second.
pub(super) const STALL_TIMEOUT: clock::Millis = clock::Millis(4_000);
/// The size of each of the system's buffers of a connection, if memory is limited: what 10 Mbit/s carry in 26 ms.
pub const SOCKET_BYTES: usize = 32 * 1024;

/// The size of the system's send buffer of a caller's connection, in bytes, if memory is not limited. It would otherwise
/// grow to several MiB for each caller that does not read.
const SEND_BYTES: usize = 256 * 1024;

/// A stream whose writes fail once the other end has read nothing for a time.
#[derive(Debug)]
pub(super) struct StallGuard<S> {
    stream: S,
    /// How long writes may wait; absent if they may wait forever.
    timeout: Option<clock::Millis>,
    timer: Option<pin::Pin<Box<time::Sleep>>>,
    /// Called before a write fails.
    on_stall: fn(&S),
}

impl<S> StallGuard<S> {
    /// Wraps `stream`.
    pub(super) fn new(
        stream: S,
        timeout: Option<clock::Millis>,
        on_stall: fn(&S),
    ) -> StallGuard<S> {
        StallGuard {
            stream,
            timeout,
            timer: None,
            on_stall,
        }
    }

    /// Returns the result of a write, which is an error if writes have waited for too long.
    fn check<T>(
        &mut self,
        cx: &mut task::Context<'_>,
        polled: task::Poll<io::Result<T>>,
    ) -> task::Poll<io::Result<T>> {
        let Some(timeout) = self.timeout else {
            return polled;
        };
        if polled.is_ready() {
            self.timer = None;
            return polled;
        }
        let start = || Box::pin(time::sleep(timeout.span()));
        let timer = self.timer.get_or_insert_with(start);
        task::ready!(timer.as_mut().poll(cx));
        (self.on_stall)(&self.stream);
        let error = "the other end of the connection does not read";
        task::Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, error)))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for StallGuard<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for StallGuard<S> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        data: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write(cx, data);
        self.check(cx, polled)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write_vectored(cx, data);
        self.check(cx, polled)
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

/// Makes the system reset the connection when it is closed. After a regular close, a response that ends with its
/// connection would look complete.
pub(super) fn reset_on_close(stream: &tcp::TcpStream) {
    let reset = socket2::SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO));
    if let Err(e) = reset {
        log::warn!("failed to set a connection to be reset: {e}");
    }
}

/// Limits the system's buffers of a listener, whose connections inherit the limits: both to [`SOCKET_BYTES`] if memory is
/// limited, or else the send buffer to [`SEND_BYTES`].
pub(super) fn limit_buffers(listener: &tcp::TcpListener, is_limited: bool) {
    let socket = socket2::SockRef::from(listener);
    let limited = match is_limited {
        true => socket
            .set_recv_buffer_size(SOCKET_BYTES)
            .and_then(|()| socket.set_send_buffer_size(SOCKET_BYTES)),
        false => socket.set_send_buffer_size(SEND_BYTES),
    };
    if let Err(e) = limited {
        log::warn!("failed to limit the socket buffers of callers: {e}");
    }
}
