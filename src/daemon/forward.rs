//! An answer on its way to the caller: read from the target's connection as the caller takes it.
//!
//! At the regular end the connection goes back to the pool and the home is told that the slot is free. An answer that the
//! target cuts, or that takes longer than the caller waits, ends in an error, which the server makes visible as a cut.

use std::pin;
use std::sync;
use std::task;
use std::time;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time as timers;

use crate::daemon::exchange::HomeStream;
use crate::protocol::peer::ToHome;
use crate::state::clock;
use crate::transport::{body, pool};

/// What an answer is passed on with.
pub struct Options {
    /// The answer's body.
    pub body: Incoming,
    /// The connection that it comes on.
    pub connection: pool::Connection,
    /// How long the target keeps the connection idle.
    pub keep: clock::Millis,
    /// Where the connection goes in the end.
    pub pool: sync::Arc<pool::Pool>,
    /// The request's stream to its home.
    pub stream: HomeStream,
    /// When the caller gives up.
    pub until: time::Instant,
}

/// An answer's body; dropping it before its end closes the connection and cancels the request at its home.
pub struct ForwardedBody {
    body: Incoming,
    until: pin::Pin<Box<timers::Sleep>>,
    rest: Option<Rest>,
    /// What cut the answer, until what came before it has been passed on.
    cut: Option<body::Error>,
}

/// What is done with at the end.
struct Rest {
    connection: pool::Connection,
    keep: clock::Millis,
    pool: sync::Arc<pool::Pool>,
    stream: HomeStream,
}

impl ForwardedBody {
    /// Begins to pass an answer on.
    pub fn new(options: Options) -> ForwardedBody {
        let mut forwarded = ForwardedBody {
            body: options.body,
            until: Box::pin(timers::sleep_until(options.until.into())),
            rest: Some(Rest {
                connection: options.connection,
                keep: options.keep,
                pool: options.pool,
                stream: options.stream,
            }),
            cut: None,
        };
        if forwarded.body.is_end_stream() {
            forwarded.finish();
        }
        forwarded
    }

    /// Cuts the answer, and lets the server write what came before: it drops that with the error.
    fn cut<T>(&mut self, cx: &task::Context<'_>, error: body::Error) -> task::Poll<T> {
        self.rest = None;
        self.cut = Some(error);
        cx.waker().wake_by_ref();
        task::Poll::Pending
    }

    /// Gives back what the answer held.
    fn finish(&mut self) {
        let Some(mut rest) = self.rest.take() else {
            return;
        };
        tokio::spawn(async move {
            // A home that is lost by now frees the slot by itself.
            let _ = rest.stream.send(&ToHome::Ended).await;
            rest.pool.release(rest.connection, rest.keep).await;
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
        if let Some(error) = self.cut.take() {
            return task::Poll::Ready(Some(Err(error)));
        }
        let polled = pin::Pin::new(&mut self.body).poll_frame(cx);
        let task::Poll::Ready(next) = polled else {
            if self.until.as_mut().poll(cx).is_ready() {
                return self.cut(cx, Box::new(body::Truncated));
            }
            return task::Poll::Pending;
        };
        match next {
            Some(Ok(frame)) => {
                if self.body.is_end_stream() {
                    self.finish();
                }
                task::Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(e)) => self.cut(cx, Box::new(e)),
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
