//! Response forwarding: the body of a target's response, read from its connection as the caller reads it.
//!
//! When the body ends regularly, the connection returns to the pool and the home frees the slot. If the target
//! truncates the body, or the body has not ended at the deadline, it ends in an error, and the server truncates the
//! response to the caller.

use std::pin;
use std::sync;
use std::task;
use std::time;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time as timers;

use crate::daemon::exchange::HomeStream;
use crate::daemon::memory;
use crate::protocol::peer::ToHome;
use crate::state::clock;
use crate::transport::{body, pool};

/// Options of a [`ForwardedBody`].
pub struct Options {
    /// The response's body.
    pub body: Incoming,
    /// The connection that the body is read from.
    pub connection: pool::Connection,
    /// How long the target keeps an idle connection open.
    pub keep_alive: clock::Millis,
    /// Takes the connection back when the body has ended.
    pub pool: sync::Arc<pool::Pool>,
    /// The request's stream to its home; absent for a relayed request.
    pub stream: Option<HomeStream>,
    /// When the body is truncated, if it has not ended by then; absent for a relayed request, whose other end does that.
    pub deadline: Option<time::Instant>,
    /// The memory of the response, which is held until the last byte is written to the caller.
    pub held: memory::Part,
}

/// The body of a response; dropping it before its end closes the connection and cancels the request at its home.
pub struct ForwardedBody {
    body: Incoming,
    deadline: Option<pin::Pin<Box<timers::Sleep>>>,
    resources: Option<Resources>,
    /// The error to return with the next poll, after which the body is truncated.
    error: Option<body::Error>,
    held: sync::Arc<memory::Part>,
}

/// Bytes of a response that the server buffers.
struct HeldBytes {
    bytes: Bytes,
    _held: sync::Arc<memory::Part>,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// What is released when the body ends.
struct Resources {
    connection: pool::Connection,
    keep_alive: clock::Millis,
    pool: sync::Arc<pool::Pool>,
    stream: Option<HomeStream>,
}

impl ForwardedBody {
    /// Creates the body; one that is empty is finished at once.
    pub fn new(options: Options) -> ForwardedBody {
        let mut forwarded = ForwardedBody {
            body: options.body,
            deadline: options
                .deadline
                .map(|at| Box::pin(timers::sleep_until(at.into()))),
            resources: Some(Resources {
                connection: options.connection,
                keep_alive: options.keep_alive,
                pool: options.pool,
                stream: options.stream,
            }),
            error: None,
            held: sync::Arc::new(options.held),
        };
        if forwarded.body.is_end_stream() {
            forwarded.finish();
        }
        forwarded
    }

    /// Truncates the body. The server drops its buffered data when it receives an error, so the error is returned only
    /// by the next poll: the server can write that data before.
    fn truncate<T>(&mut self, cx: &task::Context<'_>, error: body::Error) -> task::Poll<T> {
        self.resources = None;
        self.error = Some(error);
        cx.waker().wake_by_ref();
        task::Poll::Pending
    }

    /// Reports the end of the response to the home, and returns the connection to the pool.
    fn finish(&mut self) {
        let Some(mut resources) = self.resources.take() else {
            return;
        };
        tokio::spawn(async move {
            if let Some(stream) = &mut resources.stream {
                // If the stream is broken, the home frees the slot by itself.
                let _ = stream.send(&ToHome::Ended).await;
            }
            resources
                .pool
                .release(resources.connection, resources.keep_alive)
                .await;
        });
    }
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        if let Some(error) = self.error.take() {
            return task::Poll::Ready(Some(Err(error)));
        }
        // A body without end may be ready at each poll.
        let has_passed = |at: &mut pin::Pin<Box<timers::Sleep>>| at.as_mut().poll(cx).is_ready();
        if self.resources.is_some() && self.deadline.as_mut().is_some_and(has_passed) {
            return self.truncate(cx, Box::new(body::Truncated));
        }
        let polled = pin::Pin::new(&mut self.body).poll_frame(cx);
        let task::Poll::Ready(next) = polled else {
            return task::Poll::Pending;
        };
        match next {
            Some(Ok(frame)) => {
                if let Some(resources) = &self.resources {
                    resources.connection.record_piece();
                }
                if self.body.is_end_stream() {
                    self.finish();
                }
                let held = self.held.clone();
                let frame =
                    frame.map_data(|bytes| Bytes::from_owner(HeldBytes { bytes, _held: held }));
                task::Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(e)) => self.truncate(cx, Box::new(e)),
            None => {
                self.finish();
                task::Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
