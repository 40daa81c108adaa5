//! Dialects: how callers and targets name what the fleet must know of requests and answers.
//!
//! The entry reads callers' heads and writes refusals through a [`Dialect`]; it completes heads for targets and reads
//! their answers through it too. [`Native`] is the product's own; an adapter to a platform brings another.

use http::response::Parts;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};

use crate::protocol::{headers, problem, refusal};
use crate::state::{clock, ids};
use crate::transport::body;

/// A head that breaks the dialect's rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("a field of the head is malformed"))]
pub struct Malformed;

/// The identities of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// The fleet's identity for it.
    pub id: ids::RequestId,
    /// The caller's own name for it; empty where it gave none.
    pub name: &'a str,
}

/// One try of a request at a target.
#[derive(Clone, Copy, Debug)]
pub struct Try<'a> {
    /// The request.
    pub request: RequestIdentity<'a>,
    /// The target's name in the bundle.
    pub target: &'a str,
    /// The time that is left until the deadline.
    pub left: clock::Millis,
}

impl Try<'_> {
    /// Reads a status as the target's failure; absent where it is none.
    ///
    /// A time-out once the deadline has passed says that the work was long, and nothing of the target.
    pub fn classify_failure(&self, status: StatusCode) -> Option<ResponseClass> {
        if status == StatusCode::GATEWAY_TIMEOUT && self.left == clock::Millis::ZERO {
            return Some(ResponseClass::Expired);
        }
        status.is_server_error().then_some(ResponseClass::Failed)
    }
}

/// What the head of a target's answer tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The answer to the request, no failure of the target.
    Answered,
    /// The answer to the request, and a failure of the target.
    Failed,
    /// The target ended the run because the deadline had passed; its answer is fit for the caller.
    Expired,
    /// The target refused the request undone; its answer is fit for the caller.
    Shed,
    /// The target states that the request did not run; its answer is not fit for the caller.
    NotRun,
    /// Another target stands at the address, and states that the request did not run.
    Misplaced,
    /// The answer is not fit for the caller and proves nothing: it belongs to another request, or may follow a run.
    Unusable,
}

/// Names what the fleet must know of requests and answers.
pub trait Dialect: Send + Sync {
    /// Returns the caller's own name for the request; empty where it gives none.
    fn request_name<'a>(&self, map: &'a HeaderMap) -> &'a str;

    /// Returns the time that the caller gives the request; absent where it names none.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is malformed.
    fn deadline(&self, map: &HeaderMap) -> Result<Option<clock::Millis>, Malformed>;

    /// Completes the head of a request to a target.
    fn prepare_request(&self, map: &mut HeaderMap, attempt: &Try<'_>);

    /// Reads the head of the answer to a try.
    fn classify(&self, answer: &Parts, attempt: &Try<'_>) -> ResponseClass;

    /// Completes the head of a target's answer to the caller.
    fn complete_response(&self, map: &mut HeaderMap, request: &RequestIdentity<'_>, target: &str);

    /// Returns the answer that tells a caller of a refusal.
    fn refusal_response(
        &self,
        refusal: &refusal::Refusal,
        request: &RequestIdentity<'_>,
    ) -> Response<body::Body>;
}

/// The product's own dialect: fields whose names begin with `peridotspread-`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

impl Dialect for Native {
    fn request_name<'a>(&self, _map: &'a HeaderMap) -> &'a str {
        ""
    }

    fn deadline(&self, map: &HeaderMap) -> Result<Option<clock::Millis>, Malformed> {
        parse_millis(map, headers::DEADLINE)
    }

    fn prepare_request(&self, map: &mut HeaderMap, attempt: &Try<'_>) {
        map.insert(headers::DEADLINE, attempt.left.0.into());
        problem::set_request_id(map, attempt.request.id);
    }

    fn classify(&self, answer: &Parts, attempt: &Try<'_>) -> ResponseClass {
        let sheds = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        if sheds && answer.headers.contains_key(header::RETRY_AFTER) {
            return ResponseClass::Shed;
        }
        attempt
            .classify_failure(answer.status)
            .unwrap_or(ResponseClass::Answered)
    }

    fn complete_response(&self, map: &mut HeaderMap, request: &RequestIdentity<'_>, target: &str) {
        problem::set_request_id(map, request.id);
        if let Ok(target) = HeaderValue::from_str(target) {
            map.insert(headers::TARGET, target);
        }
    }

    fn refusal_response(
        &self,
        refusal: &refusal::Refusal,
        request: &RequestIdentity<'_>,
    ) -> Response<body::Body> {
        problem::response(refusal, request.id)
    }
}

/// Returns the whole number of milliseconds in the field called `name`; absent where there is no such field.
///
/// # Errors
///
/// Returns an error if the field holds anything else.
pub fn parse_millis(map: &HeaderMap, name: &str) -> Result<Option<clock::Millis>, Malformed> {
    let Some(value) = map.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|v| v.parse().ok());
    number.map(clock::Millis).map(Some).ok_or(Malformed)
}
