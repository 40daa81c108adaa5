//! Bodies of requests and responses, streamed in chunks without being buffered as a whole.

use std::error;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::HeaderMap;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::{BodyExt, BodyStream, Full, StreamBody, combinators};
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::{runtime, time};

/// The error of a body's source.
pub type Error = Box<dyn error::Error + Send + Sync>;

/// A body from any source.
pub type Body = combinators::UnsyncBoxBody<Bytes, Error>;

/// The most chunks that wait between a body's source and its reader.
const CHANNEL_CHUNKS: usize = 4;

/// The most bytes of an unread body that are discarded.
const MAX_DISCARDED_BYTES: u64 = 1024 * 1024;
/// How long the rest of an unread body is discarded.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// A part of a streamed body.
#[derive(Debug)]
pub enum Chunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The regular end of the body, with the trailers.
    End(HeaderMap),
}

/// The source of the body closed before the regular end.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("the body is incomplete: its source closed early"))]
pub struct Truncated;

/// Returns a body of `bytes` alone.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body that starts with `first` and continues with the chunks of `rest`.
///
/// The body fails with [`Truncated`] if the channel closes before [`Chunk::End`].
pub fn from_channel(first: Bytes, rest: mpsc::Receiver<Chunk>) -> Body {
    let state = Some((Some(first).filter(|b| !b.is_empty()), rest));
    let chunks = stream::unfold(state, |state| async move {
        let (first, mut rest) = state?;
        if let Some(bytes) = first {
            return Some((Ok(Frame::data(bytes)), Some((None, rest))));
        }
        match rest.recv().await {
            Some(Chunk::Data(bytes)) => Some((Ok(Frame::data(bytes)), Some((None, rest)))),
            Some(Chunk::End(trailers)) if trailers.is_empty() => None,
            Some(Chunk::End(trailers)) => Some((Ok(Frame::trailers(trailers)), None)),
            None => Some((Err(Error::from(Truncated)), None)),
        }
    });
    StreamBody::new(chunks).boxed_unsync()
}

/// Returns a body that starts with `first` and continues with the rest of an incoming body.
pub fn prefixed(first: Bytes, rest: Upload) -> Body {
    let first = stream::iter([Ok(Frame::data(first))]);
    let rest = BodyStream::new(rest);
    StreamBody::new(first.chain(rest)).boxed_unsync()
}

/// Returns a body of `bytes` and `trailers`.
pub fn with_trailers(bytes: Bytes, trailers: HeaderMap) -> Body {
    if trailers.is_empty() {
        return full(bytes);
    }
    let frames = [Ok(Frame::data(bytes)), Ok(Frame::trailers(trailers))];
    StreamBody::new(stream::iter(frames)).boxed_unsync()
}

/// Creates the channel between a body's source and [`from_channel`].
pub fn channel() -> (mpsc::Sender<Chunk>, mpsc::Receiver<Chunk>) {
    mpsc::channel(CHANNEL_CHUNKS)
}

/// The state of a body that a caller sends.
#[derive(Clone, Debug, Default)]
pub struct Progress(sync::Arc<atomic::AtomicU8>);

impl Progress {
    const WAITING: u8 = 1;
    const FAILED: u8 = 2;

    /// Returns whether the last read of the body waits for the caller.
    pub fn is_waiting(&self) -> bool {
        self.0.load(atomic::Ordering::Relaxed) == Progress::WAITING
    }

    /// Returns whether the caller broke off the body.
    pub fn is_failed(&self) -> bool {
        self.0.load(atomic::Ordering::Relaxed) == Progress::FAILED
    }

    fn set(&self, state: u8) {
        self.0.store(state, atomic::Ordering::Relaxed);
    }
}

/// The body of a caller's request.
///
/// If it is dropped before its end, the rest is received and discarded for a short time, where that is enabled. The
/// server would otherwise close the connection with unread bytes, on which the system resets it, and the caller might
/// lose the response.
pub struct Upload {
    incoming: Option<Incoming>,
    progress: Progress,
    discards: bool,
    guard: Option<Box<dyn Send + Sync>>,
}

impl Upload {
    /// Wraps the body; `discards` states whether an unread rest is discarded.
    pub fn new(incoming: Incoming, discards: bool) -> Upload {
        Upload {
            incoming: Some(incoming),
            progress: Progress::default(),
            discards,
            guard: None,
        }
    }

    /// Returns the state of the body, which changes as it is read.
    pub fn progress(&self) -> Progress {
        self.progress.clone()
    }

    /// Keeps `guard` until the body has ended and is no longer buffered.
    pub fn hold(&mut self, guard: Box<dyn Send + Sync>) {
        self.guard = Some(guard);
    }
}

impl http_body::Body for Upload {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, Error>>> {
        let Some(incoming) = &mut self.incoming else {
            return task::Poll::Ready(None);
        };
        let polled = pin::Pin::new(incoming).poll_frame(cx);
        self.progress.set(match &polled {
            task::Poll::Pending => Progress::WAITING,
            task::Poll::Ready(Some(Err(_))) => Progress::FAILED,
            task::Poll::Ready(_) => 0,
        });
        polled.map_err(Error::from)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(|i| i.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let incoming = self.incoming.as_ref();
        incoming.map_or_else(|| SizeHint::with_exact(0), |i| i.size_hint())
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        if !self.discards || self.progress.is_failed() || incoming.is_end_stream() {
            return;
        }
        let guard = self.guard.take();
        if let Ok(runtime) = runtime::Handle::try_current() {
            runtime.spawn(async move {
                // The caller may close the connection, or take longer.
                let _ = time::timeout(DISCARD_TIMEOUT, discard(incoming)).await;
                drop(guard);
            });
        }
    }
}

async fn discard(mut incoming: Incoming) {
    let mut discarded = 0;
    while let Some(Ok(frame)) = incoming.frame().await {
        discarded += frame.data_ref().map_or(0, |data| data.len() as u64);
        if discarded > MAX_DISCARDED_BYTES {
            return;
        }
    }
}
