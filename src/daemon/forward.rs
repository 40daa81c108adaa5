//! Response forwarding: the body of a target's response, read from its connection as the caller reads it.
//!
//! When the body ends regularly, the connection returns to the pool and the home frees the slot. If the target
//! truncates the body, or the body has not ended at the deadline, it ends in an error, and the server truncates the
//! response to the caller. The server polls no body while its caller reads nothing, so a task of its own closes the
//! connection at the deadline ([`Release`]).

use std::pin;
use std::sync;
use std::task;
use std::time;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::task as tokio_task;
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
    resources: SharedResources,
    /// Releases the resources at the deadline; absent before the first of several pieces.
    release: Option<Release>,
    /// Whether the body has ended regularly.
    is_finished: bool,
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

/// The resources of a body, until they are released.
#[derive(Clone)]
struct SharedResources(sync::Arc<sync::Mutex<Option<Resources>>>);

impl SharedResources {
    /// Takes the resources; returns nothing if they were released.
    fn take(&self) -> Option<Resources> {
        self.0.lock().ok()?.take()
    }

    /// Returns whether the resources are held.
    fn is_held(&self) -> bool {
        self.0.lock().is_ok_and(|resources| resources.is_some())
    }

    /// Records at the connection that a piece of the body was taken.
    fn record_piece(&self) {
        if let Ok(Some(resources)) = self.0.lock().as_deref() {
            resources.connection.record_piece();
        }
    }
}

/// A task that releases the resources of a body at its deadline, until this is dropped.
struct Release(tokio_task::JoinHandle<()>);

impl Release {
    fn at(deadline: timers::Instant, resources: SharedResources) -> Release {
        Release(tokio::spawn(async move {
            timers::sleep_until(deadline).await;
            // Closes the connection to the target, and the stream to the home, which frees the slot.
            drop(resources.take());
        }))
    }
}

impl Drop for Release {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl ForwardedBody {
    /// Creates the body; one that is empty is finished at once.
    pub fn new(options: Options) -> ForwardedBody {
        let mut forwarded = ForwardedBody {
            body: options.body,
            deadline: options
                .deadline
                .map(|at| Box::pin(timers::sleep_until(at.into()))),
            resources: SharedResources(sync::Arc::new(sync::Mutex::new(Some(Resources {
                connection: options.connection,
                keep_alive: options.keep_alive,
                pool: options.pool,
                stream: options.stream,
            })))),
            release: None,
            is_finished: false,
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
        drop(self.resources.take());
        self.error = Some(error);
        cx.waker().wake_by_ref();
        task::Poll::Pending
    }

    /// Has the resources released at the deadline, although the server may poll the body no more.
    fn release_at_deadline(&mut self) {
        if let Some(deadline) = &self.deadline
            && self.release.is_none()
        {
            self.release = Some(Release::at(deadline.deadline(), self.resources.clone()));
        }
    }

    /// Reports the end of the response to the home, and returns the connection to the pool.
    fn finish(&mut self) {
        self.release = None;
        self.is_finished = true;
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
        if !self.is_finished && self.deadline.as_mut().is_some_and(has_passed) {
            return self.truncate(cx, Box::new(body::Truncated));
        }
        let polled = pin::Pin::new(&mut self.body).poll_frame(cx);
        let task::Poll::Ready(next) = polled else {
            return task::Poll::Pending;
        };
        match next {
            Some(Ok(frame)) => {
                self.resources.record_piece();
                match self.body.is_end_stream() {
                    true => self.finish(),
                    false => self.release_at_deadline(),
                }
                let held = self.held.clone();
                let frame =
                    frame.map_data(|bytes| Bytes::from_owner(HeldBytes { bytes, _held: held }));
                task::Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(e)) => self.truncate(cx, Box::new(e)),
            // A connection that was closed at the deadline ends its body as if it were complete.
            None if !self.is_finished && !self.resources.is_held() => {
                self.truncate(cx, Box::new(body::Truncated))
            }
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
