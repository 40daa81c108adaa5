//! Frames on a QUIC stream: a length and a kind, then a control message or a piece of a body.
//!
//! Bodies travel as [`Frame::Data`] without being encoded again; the stream's flow control gives the back pressure.

use bytes::Bytes;
use serde::Serialize;
use serde::de;
use snafu::ResultExt;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The most bytes of one frame's payload.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

const KIND_CONTROL: u8 = 0;
const KIND_DATA: u8 = 1;
const HEADER_BYTES: usize = 5;

/// One frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// An encoded control message.
    Control(Bytes),
    /// A piece of a body.
    Data(Bytes),
}

/// Why a frame could not be read or written.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The stream ended or broke.
    #[snafu(display("the stream to the peer broke"))]
    Io {
        /// What the stream said.
        source: std::io::Error,
    },
    /// The frame is longer than allowed.
    #[snafu(display("a frame of {len} bytes passes the limit of {MAX_FRAME_BYTES}"))]
    TooLong {
        /// The length that the frame's header names.
        len: usize,
    },
    /// The frame's kind is not known.
    #[snafu(display("a frame of unknown kind {kind}"))]
    UnknownKind {
        /// The kind that the frame's header names.
        kind: u8,
    },
    /// The message does not decode, or is not the one that must come here.
    #[snafu(display("a message that can't be understood"))]
    Codec {
        /// What the codec said.
        source: postcard::Error,
    },
    /// Another frame came than the protocol allows here.
    #[snafu(display("a frame out of order"))]
    OutOfOrder,
}

/// Writes a control message.
///
/// # Errors
///
/// Returns an error if the message passes the limit or the stream breaks.
pub async fn send<M: Serialize>(
    to: &mut (dyn AsyncWrite + Send + Unpin),
    message: &M,
) -> Result<(), Error> {
    let payload = postcard::to_stdvec(message).context(CodecSnafu)?;
    write(to, KIND_CONTROL, &payload).await
}

/// Writes a piece of a body.
///
/// # Errors
///
/// Returns an error if the stream breaks.
pub async fn send_data(to: &mut (dyn AsyncWrite + Send + Unpin), data: &[u8]) -> Result<(), Error> {
    for piece in data.chunks(MAX_FRAME_BYTES) {
        write(to, KIND_DATA, piece).await?;
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

/// Reads one frame.
///
/// # Errors
///
/// Returns an error if the stream ends or breaks, or the frame is malformed.
pub async fn read(from: &mut (dyn AsyncRead + Send + Unpin)) -> Result<Frame, Error> {
    let mut header = [0; HEADER_BYTES];
    from.read_exact(&mut header).await.context(IoSnafu)?;
    let len = u32::from_le_bytes([header[1], header[2], header[3], header[4]]) as usize;
    if len > MAX_FRAME_BYTES {
        return TooLongSnafu { len }.fail();
    }
    let mut payload = vec![0; len];
    from.read_exact(&mut payload).await.context(IoSnafu)?;
    match header[0] {
        KIND_CONTROL => Ok(Frame::Control(Bytes::from(payload))),
        KIND_DATA => Ok(Frame::Data(Bytes::from(payload))),
        kind => UnknownKindSnafu { kind }.fail(),
    }
}

/// Decodes a control message.
///
/// # Errors
///
/// Returns an error if the frame holds a piece of a body, or the message does not decode.
pub fn decode<M: de::DeserializeOwned>(frame: &Frame) -> Result<M, Error> {
    match frame {
        Frame::Control(payload) => postcard::from_bytes(payload).context(CodecSnafu),
        Frame::Data(_) => OutOfOrderSnafu.fail(),
    }
}

/// Reads one control message.
///
/// # Errors
///
/// Returns an error as [`read`] and [`decode`] do.
pub async fn receive<M: de::DeserializeOwned>(
    from: &mut (dyn AsyncRead + Send + Unpin),
) -> Result<M, Error> {
    decode(&read(from).await?)
}
