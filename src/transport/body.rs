//! Bodies of requests and responses, streamed in chunks without being buffered as a whole.

use std::error;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::HeaderMap;
use http_body::Frame;
use http_body_util::{BodyExt, BodyStream, Full, StreamBody, combinators};
use hyper::body::Incoming;
use tokio::sync::mpsc;

/// The error of a body's source.
pub type Error = Box<dyn error::Error + Send + Sync>;

/// A body from any source.
pub type Body = combinators::UnsyncBoxBody<Bytes, Error>;

/// The most chunks that wait between a body's source and its reader.
const CHANNEL_CHUNKS: usize = 4;

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
pub fn prefixed(first: Bytes, rest: Incoming) -> Body {
    let first = stream::iter([Ok(Frame::data(first))]);
    let rest = BodyStream::new(rest.map_err(Error::from));
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
