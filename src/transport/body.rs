//! Bodies of requests and answers, streamed piece by piece and never held whole.

use std::error;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::HeaderMap;
use http_body::Frame;
use http_body_util::{BodyExt, BodyStream, Full, StreamBody, combinators};
use hyper::body::Incoming;
use tokio::sync::mpsc;

/// What a body's source may report.
pub type Error = Box<dyn error::Error + Send + Sync>;

/// A body of any source.
pub type Body = combinators::UnsyncBoxBody<Bytes, Error>;

/// The pieces that may wait between a body's source and its sink.
const PIECES_IN_FLIGHT: usize = 4;

/// A piece of a body.
#[derive(Debug)]
pub enum Chunk {
    /// Some bytes.
    Data(Bytes),
    /// The regular end, with the trailers.
    End(HeaderMap),
}

/// The body ended before its regular end.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("the body was cut short"))]
pub struct Truncated;

/// Returns a body that is here as a whole.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body that starts with `first` and goes on with the pieces of `rest`.
///
/// The body reports [`Truncated`] if the channel closes before [`Chunk::End`].
pub fn from_channel(first: Bytes, rest: mpsc::Receiver<Chunk>) -> Body {
    let state = Some((Some(first).filter(|b| !b.is_empty()), rest));
    let pieces = stream::unfold(state, |state| async move {
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
    StreamBody::new(pieces).boxed_unsync()
}

/// Returns a body that starts with `first` and goes on with what is left of a caller's.
pub fn prefixed(first: Bytes, rest: Incoming) -> Body {
    let first = stream::iter([Ok(Frame::data(first))]);
    let rest = BodyStream::new(rest.map_err(Error::from));
    StreamBody::new(first.chain(rest)).boxed_unsync()
}

/// Returns a body that is here as a whole and ends in `trailers`.
pub fn with_trailers(bytes: Bytes, trailers: HeaderMap) -> Body {
    if trailers.is_empty() {
        return full(bytes);
    }
    let frames = [Ok(Frame::data(bytes)), Ok(Frame::trailers(trailers))];
    StreamBody::new(stream::iter(frames)).boxed_unsync()
}

/// Creates the channel between a body's source and [`from_channel`].
pub fn channel() -> (mpsc::Sender<Chunk>, mpsc::Receiver<Chunk>) {
    mpsc::channel(PIECES_IN_FLIGHT)
}
