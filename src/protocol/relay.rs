//! Relaying: a daemon that does not reach targets sends its requests through another daemon.
//!
//! The daemon opens a stream with the purpose [`super::peer::Purpose::Relay`] and sends a [`RelayRequest`]. The relay
//! connects to the target and replies; after [`RelayReply::Ready`] the stream carries one HTTP/1.1 request and its
//! response. Nothing of the request is sent before, so a daemon may give up a relay at that point and try another path.
//!
//! The relay marks each response with the field [`RESULT`]. Without it, and after any error of the stream, the request
//! may have run.

use http::{HeaderMap, HeaderValue};
use serde::{Deserialize, Serialize};

use crate::state::clock;

/// The field of a relay's response that holds a [`RelayResult`].
const RESULT: &str = "peridotspread-relay-result";

/// A daemon's request to connect to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The name of the target in the bundle; the relay uses the address in its own bundle.
    pub target: String,
    /// Whether the request may be sent on a connection that was idle for long.
    pub idempotent: bool,
    /// How long the relay may take to connect.
    pub timeout: clock::Millis,
}

/// A relay's reply to a [`RelayRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayReply {
    /// The relay is connected to the target and awaits the request.
    Ready,
    /// The relay failed to connect to the target.
    ConnectFailed,
    /// The relay does not send requests to the target: its bundle does not list it, or lists it as leaving, or the
    /// target stated that it accepts no requests from the relay.
    Unlisted,
    /// The relay reaches no targets either.
    CutOff,
    /// The relay is shutting down, or relays as many requests as it may.
    Busy,
}

/// What became of a relayed request at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayResult {
    /// The response is the target's.
    Answered,
    /// No part of the request was sent to the target.
    NotSent,
    /// The connection to the target broke after the request, or a part of it, was sent.
    Broken,
}

impl RelayResult {
    const ALL: [RelayResult; 3] = [
        RelayResult::Answered,
        RelayResult::NotSent,
        RelayResult::Broken,
    ];

    fn as_str(self) -> &'static str {
        match self {
            RelayResult::Answered => "answered",
            RelayResult::NotSent => "not-sent",
            RelayResult::Broken => "broken",
        }
    }

    /// Writes the result into the head of a relay's response, in place of any that the target set.
    pub fn write(self, map: &mut HeaderMap) {
        map.insert(RESULT, HeaderValue::from_static(self.as_str()));
    }

    /// Takes the result from the head of a relay's response; a missing or unknown one proves nothing.
    pub fn take(map: &mut HeaderMap) -> RelayResult {
        let value = map.remove(RESULT);
        let matches = |r: &RelayResult| value.as_ref().is_some_and(|v| v == r.as_str());
        let known = RelayResult::ALL.into_iter().find(matches);
        known.unwrap_or(RelayResult::Broken)
    }
}
