//! Responses that the entry generates itself: RFC 9457 problems, and recorded outcomes of earlier requests with the
//! same idempotency key.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};

use crate::protocol::headers;
use crate::protocol::refusal;
use crate::state::ids;
use crate::transport::body;

/// The prefix of every problem type; the name of the cause follows.
const TYPE_PREFIX: &str = "urn:peridotspread:refusal:";
/// The media type of problem bodies.
const MEDIA_TYPE: &str = "application/problem+json";
/// The response header that marks the recorded outcome of an earlier run.
pub const REPLAYED: &str = "peridotspread-replayed";

/// The JSON body of a refusal.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    outcome: &'a str,
    cause: &'a str,
    request: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// The recorded outcome of a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOutcome {
    /// The HTTP status of the response.
    pub status: u16,
}

/// Returns the problem response that reports a refusal to the caller.
pub fn response(refusal: &refusal::Refusal, id: ids::RequestId) -> Response<body::Body> {
    let status = refusal.cause.status();
    let problem = Problem {
        r#type: format!("{TYPE_PREFIX}{}", refusal.cause.as_str()),
        title: refusal.cause.title(),
        status: status.as_u16(),
        outcome: refusal.outcome.as_str(),
        cause: refusal.cause.as_str(),
        request: id.to_string(),
        retry_after_ms: refusal.retry_after.map(|m| m.0),
    };
    let text = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = Response::new(body::full(Bytes::from(text)));
    *response.status_mut() = status;
    let map = response.headers_mut();
    map.insert(header::CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
    map.insert(
        headers::OUTCOME,
        HeaderValue::from_static(refusal.outcome.as_str()),
    );
    if let Some(after) = refusal.retry_after {
        map.insert(
            header::RETRY_AFTER,
            HeaderValue::from(after.0.div_ceil(1_000).max(1)),
        );
    }
    set_request_id(map, id);
    response
}

/// Sets the header field that carries the request's identifier.
pub fn set_request_id(map: &mut HeaderMap, id: ids::RequestId) {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        map.insert(headers::REQUEST, value);
    }
}

/// Returns the response to a resend of a request that ran before under the same idempotency key.
pub fn replayed_response(record: &RecordedOutcome) -> Response<body::Body> {
    let mut response = Response::new(body::full(Bytes::new()));
    *response.status_mut() = StatusCode::from_u16(record.status).unwrap_or(StatusCode::OK);
    response
        .headers_mut()
        .insert(REPLAYED, HeaderValue::from_static("true"));
    response
}
