//! One request's stream from the entry to a home, as the entry sees it.

use std::net;
use std::time;

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sha2::{Digest, Sha256};
use tokio::time as timers;

use crate::daemon::home;
use crate::protocol::refusal::{Cause, Refusal};
use crate::protocol::{frame, headers, peer};
use crate::state::{clock, ids};
use crate::transport::body;

/// How long a home may take to say that it has a request.
const HOME_PATIENCE: clock::Millis = clock::Millis(400);

/// How offering a request to a home ended.
pub enum Attempt {
    /// A target answered.
    Answer(Response<body::Body>),
    /// The home refused.
    Refused(Refusal),
    /// The home was lost.
    Lost {
        /// Whether the request may have been dispatched.
        started: bool,
    },
}

/// A request's body, read up to a limit.
pub struct Prefix {
    /// The first bytes.
    pub first: Vec<u8>,
    /// The rest, if the limit was reached.
    pub rest: Option<Incoming>,
    /// The trailers, if the body is here as a whole.
    pub trailers: HeaderMap,
}

/// Reads a body until its end, or until more than `limit` bytes are here.
///
/// # Errors
///
/// Returns an error if the caller cuts the body short.
pub async fn read_prefix(mut incoming: Incoming, limit: usize) -> Result<Prefix, hyper::Error> {
    let mut first = Vec::new();
    let mut trailers = HeaderMap::new();
    while let Some(frame) = incoming.frame().await {
        match frame?.into_data() {
            Ok(data) => first.extend_from_slice(&data),
            Err(other) => trailers = other.into_trailers().unwrap_or_default(),
        }
        if first.len() > limit {
            return Ok(Prefix {
                first,
                rest: Some(incoming),
                trailers,
            });
        }
    }
    Ok(Prefix {
        first,
        rest: None,
        trailers,
    })
}

/// Digests what a request does: its key, else its method, path and first bytes, each within its organisation.
pub fn fingerprint(
    organisation: &str,
    method: &Method,
    uri: &str,
    key: Option<&str>,
    first: &[u8],
) -> ids::Fingerprint {
    let mut digest = Sha256::new();
    let parts: [&[u8]; 4] = match key {
        Some(key) => [
            organisation.as_bytes(),
            b"key",
            uri.as_bytes(),
            key.as_bytes(),
        ],
        None => [
            organisation.as_bytes(),
            method.as_str().as_bytes(),
            uri.as_bytes(),
            first,
        ],
    };
    for part in parts {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.finalize()[..8]);
    ids::Fingerprint(u64::from_le_bytes(bytes))
}

/// Tells targets who the caller is: the fields `Via`, `X-Forwarded-For` and `X-Forwarded-Host`.
pub fn add_forwarding(fields: &mut Vec<peer::Field>, from: net::SocketAddr, host: &str) {
    let mut add = |name: &str, value: &str| {
        fields.push(peer::Field {
            name: name.to_owned(),
            value: value.as_bytes().to_vec(),
        });
    };
    add("via", "1.1 peridotspread");
    add("x-forwarded-for", &from.ip().to_string());
    if !host.is_empty() {
        add("x-forwarded-host", host);
    }
}

/// A stream to a home.
pub struct Stream {
    /// The home's half.
    pub recv: home::Reader,
    /// The entry's half; the home cancels the request when it closes.
    pub send: home::Writer,
    /// When the caller gives up.
    pub deadline: time::Instant,
}

impl Stream {
    /// Sends the request's head.
    ///
    /// # Errors
    ///
    /// Returns the attempt's end if the stream breaks.
    pub async fn send_head(&mut self, head: &peer::Head) -> Result<(), Attempt> {
        let message = peer::ToHome::Head(Box::new(head.clone()));
        frame::send(&mut self.send, &message)
            .await
            .map_err(|_| Attempt::Lost { started: false })
    }

    /// Waits until the home holds a slot for work that takes two steps.
    ///
    /// # Errors
    ///
    /// Returns the attempt's end if the home refuses or does not answer.
    pub async fn await_ready(&mut self) -> Result<(), Attempt> {
        let mut patience = self
            .deadline
            .min(time::Instant::now() + HOME_PATIENCE.span());
        loop {
            let next = timers::timeout_at(
                patience.into(),
                frame::receive::<peer::FromHome>(&mut self.recv),
            )
            .await;
            match next {
                Ok(Ok(peer::FromHome::Ready)) => return Ok(()),
                Ok(Ok(peer::FromHome::Queued)) => patience = self.deadline,
                Ok(Ok(peer::FromHome::Refused { refusal, .. })) => {
                    return Err(Attempt::Refused(refusal));
                }
                Ok(Ok(_) | Err(_)) => return Err(Attempt::Lost { started: false }),
                Err(_) if patience == self.deadline => {
                    return Err(Attempt::Refused(Refusal::not_run(
                        Cause::DeadlinePassed,
                        None,
                    )));
                }
                Err(_) => return Err(Attempt::Lost { started: false }),
            }
        }
    }

    /// Allows the home to dispatch.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks; the home may have been told all the same.
    pub async fn send_go(&mut self) -> Result<(), frame::Error> {
        frame::send(&mut self.send, &peer::ToHome::Go).await
    }

    /// Sends the rest of the body and waits for the answer.
    pub async fn finish(mut self, rest: Option<Incoming>) -> Attempt {
        let sending = match rest {
            Some(rest) => Sending::Task(tokio::spawn(send_rest(self.send, rest))),
            None => Sending::Done(self.send),
        };
        let deadline = self.deadline;
        loop {
            let next = timers::timeout_at(
                deadline.into(),
                frame::receive::<peer::FromHome>(&mut self.recv),
            )
            .await;
            match next {
                Ok(Ok(peer::FromHome::Queued)) => {}
                Ok(Ok(peer::FromHome::Answer {
                    status,
                    fields,
                    target,
                    ..
                })) => {
                    return Attempt::Answer(answer(self.recv, sending, status, &fields, &target));
                }
                Ok(Ok(peer::FromHome::Refused { refusal, .. })) => {
                    return Attempt::Refused(refusal);
                }
                Ok(Ok(_) | Err(_)) => return Attempt::Lost { started: true },
                Err(_) => return Attempt::Refused(Refusal::unknown(Cause::TargetTimeout)),
            }
        }
    }
}

/// The entry's half of the stream while the answer is read; closing it cancels the request.
enum Sending {
    Done(#[expect(dead_code, reason = "held open until the answer has been read")] home::Writer),
    Task(tokio::task::JoinHandle<home::Writer>),
}

impl Drop for Sending {
    fn drop(&mut self) {
        if let Sending::Task(task) = self {
            task.abort();
        }
    }
}

/// Sends the rest of a body, and keeps the stream open by returning it.
async fn send_rest(mut send: home::Writer, mut rest: Incoming) -> home::Writer {
    let mut trailers = HeaderMap::new();
    while let Some(frame) = rest.frame().await {
        // A body that the caller cut short gets no end, so that the target sees the cut.
        let Ok(frame) = frame else { return send };
        match frame.into_data() {
            Ok(data) => {
                if frame::send_data(&mut send, &data).await.is_err() {
                    return send;
                }
            }
            Err(other) => trailers = other.into_trailers().unwrap_or_default(),
        }
    }
    let end = peer::ToHome::End(headers::to_fields(&trailers));
    if let Err(e) = frame::send(&mut send, &end).await {
        log::debug!("the end of a body was not sent: {e}");
    }
    send
}

fn answer(
    recv: home::Reader,
    sending: Sending,
    status: u16,
    fields: &[peer::Field],
    target: &str,
) -> Response<body::Body> {
    let (pieces, receiver) = body::channel();
    tokio::spawn(read_answer(recv, sending, pieces));
    let mut response = Response::new(body::streamed(Bytes::new(), receiver));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers::from_fields(fields);
    if let Ok(target) = target.parse() {
        response.headers_mut().insert(headers::TARGET, target);
    }
    response
}

/// Passes the answer's pieces to the caller until the end, a cut, or the caller leaves.
async fn read_answer(
    mut recv: home::Reader,
    sending: Sending,
    pieces: tokio::sync::mpsc::Sender<body::Piece>,
) {
    loop {
        let next = tokio::select! {
            next = frame::read(&mut recv) => next,
            () = pieces.closed() => break,
        };
        let piece = match next {
            Ok(frame::Frame::Data(data)) => body::Piece::Data(data),
            Ok(control) => match frame::decode::<peer::FromHome>(&control) {
                Ok(peer::FromHome::End(trailers)) => {
                    body::Piece::End(headers::from_fields(&trailers))
                }
                Ok(_) | Err(_) => break,
            },
            Err(_) => break,
        };
        let ends = matches!(piece, body::Piece::End(_));
        if pieces.send(piece).await.is_err() || ends {
            break;
        }
    }
    drop(sending);
}
