//! One request's stream from the entry to a home, as the entry sees it.

use std::net;
use std::time;

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sha2::{Digest, Sha256};
use tokio::time as timers;

use crate::coordination::homes;
use crate::daemon::home;
use crate::protocol::refusal::{Cause, Refusal};
use crate::protocol::{frame, headers, peer};
use crate::state::{clock, ids};
use crate::transport::body;

/// How long a home may be silent about a request that it has not finished.
const HOME_PATIENCE: clock::Millis = clock::Millis(800);

/// How offering a request to a home ended.
pub enum Attempt {
    /// A target answered.
    Answer {
        /// The answer.
        response: Response<body::Body>,
        /// The cell's state, if the answer came from it.
        summary: Option<peer::Summary>,
    },
    /// The home refused.
    Refused {
        /// The refusal.
        refusal: Refusal,
        /// The cell's state, if the refusal came from it.
        summary: Option<peer::Summary>,
    },
    /// The home was lost.
    Lost {
        /// Whether the request may have been dispatched.
        started: bool,
        /// What that says about the home.
        observation: homes::Observation,
    },
}

impl Attempt {
    /// The entry itself refuses.
    pub fn refused(refusal: Refusal) -> Attempt {
        Attempt::Refused {
            refusal,
            summary: None,
        }
    }

    /// The home could not be reached at all.
    pub fn unreached() -> Attempt {
        Attempt::lost(false)
    }

    /// The stream to the home broke.
    pub fn lost(started: bool) -> Attempt {
        Attempt::Lost {
            started,
            observation: homes::Observation::Lost,
        }
    }

    /// The home gave no sign although one was due.
    fn stalled(started: bool) -> Attempt {
        Attempt::Lost {
            started,
            observation: homes::Observation::Stalled,
        }
    }
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
    add_field(fields, "via", "1.1 peridotspread");
    add_field(fields, "x-forwarded-for", &from.ip().to_string());
    if !host.is_empty() {
        add_field(fields, "x-forwarded-host", host);
    }
}

/// Adds a field to those of a request.
pub fn add_field(fields: &mut Vec<peer::Field>, name: &str, value: &str) {
    fields.push(peer::Field {
        name: name.to_owned(),
        value: value.as_bytes().to_vec(),
    });
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
            .map_err(|_| Attempt::lost(false))
    }

    /// Waits until the home holds a slot for work that takes two steps.
    ///
    /// # Errors
    ///
    /// Returns the attempt's end if the home refuses or falls silent.
    pub async fn await_ready(&mut self) -> Result<(), Attempt> {
        loop {
            match self.next(Some(HOME_PATIENCE)).await {
                Next::Message(peer::FromHome::Ready) => return Ok(()),
                Next::Message(peer::FromHome::Queued) => {}
                Next::Message(peer::FromHome::Refused { refusal, summary }) => {
                    return Err(Attempt::Refused { refusal, summary });
                }
                Next::Message(_) | Next::Broken => return Err(Attempt::lost(false)),
                Next::Silent => return Err(Attempt::stalled(false)),
                Next::Deadline => {
                    let refusal = Refusal::not_run(Cause::DeadlinePassed, None);
                    return Err(Attempt::refused(refusal));
                }
            }
        }
    }

    /// Waits for the next message, until the deadline or until the home was silent for longer than `patience`.
    async fn next(&mut self, patience: Option<clock::Millis>) -> Next {
        let silent = patience.map(|p| time::Instant::now() + p.span());
        let until = silent.map_or(self.deadline, |s| s.min(self.deadline));
        match timers::timeout_at(until.into(), frame::receive(&mut self.recv)).await {
            Ok(Ok(message)) => Next::Message(message),
            Ok(Err(_)) => Next::Broken,
            Err(_) if until == self.deadline => Next::Deadline,
            Err(_) => Next::Silent,
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

    /// Sends the rest of the body and waits for the answer to work that the home was allowed to dispatch.
    pub async fn finish(self, rest: Option<Incoming>) -> Attempt {
        self.await_answer(rest, None).await
    }

    /// Waits for the answer to work that may run again elsewhere if the home falls silent.
    pub async fn finish_one_step(self) -> Attempt {
        self.await_answer(None, Some(HOME_PATIENCE)).await
    }

    async fn await_answer(
        mut self,
        rest: Option<Incoming>,
        patience: Option<clock::Millis>,
    ) -> Attempt {
        let mut sending = Sending::default();
        if let Some(rest) = rest {
            let send = std::mem::replace(&mut self.send, Box::new(tokio::io::sink()));
            sending = Sending(Some(tokio::spawn(send_rest(send, rest))));
        }
        loop {
            match self.next(patience).await {
                Next::Message(peer::FromHome::Queued) => {}
                Next::Message(peer::FromHome::Answer {
                    status,
                    fields,
                    target,
                    summary,
                }) => {
                    let response = answer(self, sending, status, &fields, &target);
                    return Attempt::Answer {
                        response,
                        summary: Some(summary),
                    };
                }
                Next::Message(peer::FromHome::Refused { refusal, summary }) => {
                    return Attempt::Refused { refusal, summary };
                }
                Next::Message(_) | Next::Broken => return Attempt::lost(true),
                Next::Silent => return Attempt::stalled(true),
                Next::Deadline => return Attempt::refused(Refusal::unknown(Cause::TargetTimeout)),
            }
        }
    }
}

/// What came next on a stream.
enum Next {
    Message(peer::FromHome),
    /// The stream broke, or brought what the protocol does not allow.
    Broken,
    /// The home was silent for too long.
    Silent,
    /// The caller gave up.
    Deadline,
}

/// The task that sends the rest of a body, if there is one; it holds the entry's half of the stream, whose closing
/// cancels the request.
#[derive(Default)]
struct Sending(Option<tokio::task::JoinHandle<home::Writer>>);

impl Drop for Sending {
    fn drop(&mut self) {
        if let Some(task) = &self.0 {
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
    stream: Stream,
    sending: Sending,
    status: u16,
    fields: &[peer::Field],
    target: &str,
) -> Response<body::Body> {
    let (pieces, receiver) = body::channel();
    tokio::spawn(read_answer(stream, sending, pieces));
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
    mut stream: Stream,
    sending: Sending,
    pieces: tokio::sync::mpsc::Sender<body::Piece>,
) {
    loop {
        let next = tokio::select! {
            next = frame::read(&mut stream.recv) => next,
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
