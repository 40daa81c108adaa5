//! Frames on a QUIC stream: a kind and a length, followed by an encoded message or a chunk of a body.
//!
//! Chunks of bodies are sent as [`Frame::Data`] without further encoding. The stream's flow control provides
//! backpressure.

use bytes::Bytes;
use serde::Serialize;
use serde::de;
use snafu::ResultExt;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::protocol::{extension, peer};

/// The maximum length of a frame's payload, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// The kind byte of [`Frame::Message`].
const KIND_MESSAGE: u8 = 0;
/// The kind byte of [`Frame::Data`].
const KIND_DATA: u8 = 1;
/// The length of a frame's header: the kind, then the payload's length in 4 bytes, little-endian.
const HEADER_BYTES: usize = 5;
/// The bytes of a payload that are read and counted at a time.
const PART_BYTES: usize = 4 * 1024;

/// A frame of either kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// An encoded message.
    Message(Bytes),
    /// A chunk of a body.
    Data(Bytes),
}

/// The error when a frame cannot be read or written.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The stream ended or broke.
    #[snafu(display("the stream to the peer broke"))]
    Io {
        /// The error of the stream.
        source: std::io::Error,
    },
    /// The payload exceeds [`MAX_FRAME_BYTES`].
    #[snafu(display("a frame of {len} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"))]
    TooLong {
        /// The length of the payload, in bytes.
        len: usize,
    },
    /// The kind of the frame is unknown.
    #[snafu(display("unknown frame kind {kind}"))]
    UnknownKind {
        /// The kind in the frame's header.
        kind: u8,
    },
    /// The message cannot be encoded or decoded.
    #[snafu(display("failed to encode or decode a message"))]
    Codec {
        /// The error of the codec.
        source: postcard::Error,
    },
    /// A frame arrived that the protocol does not allow in this state.
    #[snafu(display("unexpected frame"))]
    OutOfOrder,
}

/// Writes a control message.
///
/// # Errors
///
/// Returns an error if the message exceeds the limit or the stream breaks.
pub async fn send<M: Serialize>(
    to: &mut (dyn AsyncWrite + Send + Unpin),
    message: &M,
) -> Result<(), Error> {
    let payload = postcard::to_stdvec(message).context(CodecSnafu)?;
    write(to, KIND_MESSAGE, &payload).await
}

/// Writes a control message, followed by an extension.
///
/// # Errors
///
/// Returns an error in the cases of [`send`].
pub async fn send_extended<M: Serialize>(
    to: &mut (dyn AsyncWrite + Send + Unpin),
    message: &M,
    extension: &extension::Extension,
) -> Result<(), Error> {
    let payload = extension.encode_after(message).context(CodecSnafu)?;
    write(to, KIND_MESSAGE, &payload).await
}

/// Writes a part of a body, split into frames of at most [`MAX_FRAME_BYTES`].
///
/// # Errors
///
/// Returns an error if the stream breaks.
pub async fn send_data(to: &mut (dyn AsyncWrite + Send + Unpin), data: &[u8]) -> Result<(), Error> {
    for chunk in data.chunks(MAX_FRAME_BYTES) {
        write(to, KIND_DATA, chunk).await?;
    }
    Ok(())
}

async fn write(
    to: &mut (dyn AsyncWrite + Send + Unpin),
    kind: u8,
    payload: &[u8],
) -> Result<(), Error> {
    if payload.len() > MAX_FRAME_BYTES {
        return TooLongSnafu { len: payload.len() }.fail();
    }
    let len = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.push(kind);
    frame.extend_from_slice(&len.to_le_bytes());
    frame.extend_from_slice(payload);
    to.write_all(&frame).await.context(IoSnafu)?;
    to.flush().await.context(IoSnafu)
}

/// Reads the next frame.
///
/// # Errors
///
/// Returns an error if the stream ends or breaks, or the frame is malformed.
pub async fn read(from: &mut (dyn AsyncRead + Send + Unpin)) -> Result<Frame, Error> {
    read_counted(from, &peer::Arrived::default()).await
}

/// Reads the next frame and counts its bytes as they arrive.
async fn read_counted(
    from: &mut (dyn AsyncRead + Send + Unpin),
    arrived: &peer::Arrived,
) -> Result<Frame, Error> {
    let mut header = [0; HEADER_BYTES];
    from.read_exact(&mut header).await.context(IoSnafu)?;
    let len = u32::from_le_bytes([header[1], header[2], header[3], header[4]]) as usize;
    if len > MAX_FRAME_BYTES {
        return TooLongSnafu { len }.fail();
    }
    arrived.add(HEADER_BYTES);
    let mut payload = vec![0; len];
    for part in payload.chunks_mut(PART_BYTES) {
        from.read_exact(part).await.context(IoSnafu)?;
        arrived.add(part.len());
    }
    match header[0] {
        KIND_MESSAGE => Ok(Frame::Message(Bytes::from(payload))),
        KIND_DATA => Ok(Frame::Data(Bytes::from(payload))),
        kind => UnknownKindSnafu { kind }.fail(),
    }
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error if the frame is [`Frame::Data`], or the message cannot be decoded.
pub fn decode<M: de::DeserializeOwned>(frame: &Frame) -> Result<M, Error> {
    match frame {
        Frame::Message(payload) => postcard::from_bytes(payload).context(CodecSnafu),
        Frame::Data(_) => OutOfOrderSnafu.fail(),
    }
}

/// Reads the next frame and decodes its message.
///
/// # Errors
///
/// Returns an error in the cases of [`read`] and [`decode`].
pub async fn receive<M: de::DeserializeOwned>(
    from: &mut (dyn AsyncRead + Send + Unpin),
) -> Result<M, Error> {
    decode(&read(from).await?)
}

/// Reads the next frame, and decodes its message and the extension that follows it.
///
/// # Errors
///
/// Returns an error in the cases of [`read`], if the frame is [`Frame::Data`], or if the message or its extension cannot
/// be decoded.
pub async fn receive_extended<M: de::DeserializeOwned>(
    from: &mut (dyn AsyncRead + Send + Unpin),
) -> Result<(M, extension::Extension), Error> {
    receive_counted(from, &peer::Arrived::default()).await
}

/// Receives a message and its extension as [`receive_extended`] does, and counts the bytes as they arrive.
///
/// # Errors
///
/// Returns an error in the cases of [`receive_extended`].
pub async fn receive_counted<M: de::DeserializeOwned>(
    from: &mut (dyn AsyncRead + Send + Unpin),
    arrived: &peer::Arrived,
) -> Result<(M, extension::Extension), Error> {
    match read_counted(from, arrived).await? {
        Frame::Message(payload) => extension::Extension::decode_after(&payload).context(CodecSnafu),
        Frame::Data(_) => OutOfOrderSnafu.fail(),
    }
}
