//! Dialects: how requests and responses carry identifiers, deadlines and outcomes in their HTTP heads.
//!
//! The entry uses a [`Dialect`] to parse the heads of callers' requests, to write refusals, to prepare requests to
//! targets and to classify their responses. [`Native`] is the default; an adapter to a platform implements its own.

use std::borrow;

use http::response::Parts;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};

use crate::protocol::{headers, peer, problem, refusal};
use crate::state::{clock, ids};
use crate::transport::body;

/// The longest pause that a target can ask for. A target that wants a longer one says so again when it refuses the
/// next request.
const MAX_PAUSE: clock::Millis = clock::Millis(3_600_000);

/// The error when a header field of the dialect is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("a header field is malformed"))]
pub struct Malformed;

/// The identifiers of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// The identifier that the fleet assigned.
    pub id: ids::RequestId,
    /// The caller's own identifier; empty if the caller sent none.
    pub name: &'a str,
}

/// One try of a request at a target.
#[derive(Clone, Copy, Debug)]
pub struct Try<'a> {
    /// The identifiers of the request.
    pub request: RequestIdentity<'a>,
    /// The name of the target in the bundle.
    pub target: &'a str,
    /// The time until the request's deadline.
    pub left: clock::Millis,
}

impl Try<'_> {
    /// Returns the class of a response whose status is an error; absent if the status is no server error.
    ///
    /// A status 504 after the deadline means that the request ran long; it is no evidence against the target.
    pub fn classify_failure(&self, status: StatusCode) -> Option<ResponseClass> {
        if status == StatusCode::GATEWAY_TIMEOUT && self.left == clock::Millis::ZERO {
            return Some(ResponseClass::Expired);
        }
        status.is_server_error().then_some(ResponseClass::Failed)
    }
}

/// The classification of a target's response by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// A response to the request, and no failure of the target.
    Answered,
    /// A response to the request that counts as a failure of the target.
    Failed,
    /// The target aborted the run because the deadline had passed; the response may go to the caller.
    Expired,
    /// The target refused to run the request; the response may go to the caller.
    Shed,
    /// The target states that the request did not run; the response must not go to the caller.
    NotRun,
    /// The address belongs to another target, which states that the request did not run.
    Misplaced,
    /// The response must not go to the caller and proves nothing: the request may have run.
    Unusable,
    /// A response to another request, such as a second copy of an earlier one. It must not go to the caller, proves
    /// nothing, and what it states may be outdated.
    Stray,
}

impl ResponseClass {
    /// Returns the name that is used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ResponseClass::Answered => "answered",
            ResponseClass::Failed => "failed",
            ResponseClass::Expired => "expired",
            ResponseClass::Shed => "shed",
            ResponseClass::NotRun => "not-run",
            ResponseClass::Misplaced => "misplaced",
            ResponseClass::Unusable => "unusable",
            ResponseClass::Stray => "stray",
        }
    }
}

/// Maps requests and responses of one HTTP convention to those of the fleet.
pub trait Dialect: Send + Sync {
    /// Returns the caller's own identifier of the request; empty if there is none.
    fn request_name<'a>(&self, map: &'a HeaderMap) -> &'a str;

    /// Returns the caller's credential; absent if there is none, or not exactly one well-formed one.
    fn credential<'a>(&self, map: &'a HeaderMap) -> Option<&'a str> {
        bearer_token(map)
    }

    /// Removes the caller's credential and every organisation that the caller states from the fields of a request to
    /// a target, and states `organisation` instead; none if it is empty.
    fn replace_organisation(&self, map: &mut HeaderMap, organisation: &str);

    /// Returns the time limit that the caller sets for the request; absent if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is malformed.
    fn time_limit(&self, map: &HeaderMap) -> Result<Option<clock::Millis>, Malformed>;

    /// Adds the dialect's header fields to a request to a target.
    fn prepare_request(&self, map: &mut HeaderMap, attempt: &Try<'_>);

    /// Classifies the response to a try by its head.
    fn classify(&self, response: &Parts, attempt: &Try<'_>) -> ResponseClass;

    /// Returns the identifier that a target repeats in its response to a request; empty if there is none.
    fn sent_id<'a>(&self, request: &RequestIdentity<'a>) -> borrow::Cow<'a, str>;

    /// Returns the identifier by which a response states which request it answers, from the fields of either; empty if
    /// there is none.
    ///
    /// A second copy of a refusal without one would seem to refuse the next request on its connection.
    fn correlation_id<'a>(&self, map: &'a HeaderMap) -> &'a str;

    /// Returns what a target states in its response about the requests that it accepts.
    fn statement(&self, response: &Parts) -> peer::Statement;

    /// Adds the dialect's header fields to a target's response before it goes to the caller.
    fn complete_response(&self, map: &mut HeaderMap, request: &RequestIdentity<'_>, target: &str);

    /// Returns the response that reports a refusal to the caller.
    fn refusal_response(
        &self,
        refusal: &refusal::Refusal,
        request: &RequestIdentity<'_>,
    ) -> Response<body::Body>;
}

/// The default dialect, whose header fields begin with `peridotspread-`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

impl Dialect for Native {
    fn request_name<'a>(&self, _map: &'a HeaderMap) -> &'a str {
        ""
    }

    fn replace_organisation(&self, map: &mut HeaderMap, organisation: &str) {
        replace_identity(map, headers::ORGANISATION, organisation);
    }

    fn time_limit(&self, map: &HeaderMap) -> Result<Option<clock::Millis>, Malformed> {
        parse_millis(map, headers::DEADLINE)
    }

    fn prepare_request(&self, map: &mut HeaderMap, attempt: &Try<'_>) {
        map.insert(headers::DEADLINE, attempt.left.0.into());
        problem::set_request_id(map, attempt.request.id);
    }

    fn classify(&self, response: &Parts, attempt: &Try<'_>) -> ResponseClass {
        // Targets need not repeat the identifier.
        let answered = response.headers.get(headers::REQUEST);
        if answered.is_some_and(|id| id.as_bytes() != attempt.request.id.to_string().as_bytes()) {
            return ResponseClass::Stray;
        }
        let sheds = response.status == StatusCode::SERVICE_UNAVAILABLE;
        if sheds && response.headers.contains_key(header::RETRY_AFTER) {
            return ResponseClass::Shed;
        }
        attempt
            .classify_failure(response.status)
            .unwrap_or(ResponseClass::Answered)
    }

    fn sent_id<'a>(&self, request: &RequestIdentity<'a>) -> borrow::Cow<'a, str> {
        request.id.to_string().into()
    }

    fn correlation_id<'a>(&self, map: &'a HeaderMap) -> &'a str {
        let id = map.get(headers::REQUEST).and_then(|id| id.to_str().ok());
        id.unwrap_or_default()
    }

    fn statement(&self, response: &Parts) -> peer::Statement {
        peer::Statement {
            limit: peer::RateLimit::None,
            leaving: is_set(&response.headers, headers::LEAVING),
            pause: stated_pause(response),
        }
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

/// The scheme of credentials in `Authorization`, which callers may write in any case.
const BEARER: &str = "bearer";

/// Returns the bearer token of the only `Authorization` field; absent if there is another number of such fields, or the
/// field is malformed or of another scheme.
pub fn bearer_token(map: &HeaderMap) -> Option<&str> {
    let mut fields = map.get_all(header::AUTHORIZATION).iter();
    let field = fields.next().filter(|_| fields.next().is_none())?;
    let (scheme, token) = field.to_str().ok()?.trim().split_once(' ')?;
    let token = token.trim_start();
    (scheme.eq_ignore_ascii_case(BEARER) && !token.is_empty()).then_some(token)
}

/// Removes `Authorization` and the field `name` from `map`, and sets the latter to `organisation` unless that is empty.
pub fn replace_identity(map: &mut HeaderMap, name: &'static str, organisation: &str) {
    map.remove(header::AUTHORIZATION);
    map.remove(name);
    if organisation.is_empty() {
        return;
    }
    match HeaderValue::from_str(organisation) {
        Ok(value) => drop(map.insert(name, value)),
        Err(_) => log::error!("the name of an organisation cannot be stated in a header field"),
    }
}

/// Returns whether the header field `name` has the value `1`. Any other value is logged, and counts as absent.
pub fn is_set(map: &HeaderMap, name: &str) -> bool {
    let Some(value) = map.get(name) else {
        return false;
    };
    let is_set = value.as_bytes().trim_ascii() == b"1";
    if !is_set {
        log::warn!(field = name, value = format!("{value:?}"); "a target sends a flag whose value is not 1");
    }
    is_set
}

/// Returns how long a target asks the sender of a refused request to pause: the `Retry-After` of a response 503, in
/// seconds, which may have a fraction.
///
/// A value longer than [`MAX_PAUSE`] counts as that. One that is no number of seconds, such as a date, is logged and
/// counts as absent: the clocks of daemons and targets may differ by more than a pause lasts.
pub fn stated_pause(response: &Parts) -> clock::Millis {
    let value = response.headers.get(header::RETRY_AFTER);
    let Some(value) = value.filter(|_| response.status == StatusCode::SERVICE_UNAVAILABLE) else {
        return clock::Millis::ZERO;
    };
    let seconds = value.to_str().ok().and_then(|v| v.trim().parse().ok());
    match seconds.filter(|s: &f64| s.is_finite() && *s >= 0.0) {
        Some(seconds) => clock::Millis((seconds * 1_000.0).ceil() as u64).min(MAX_PAUSE),
        None => {
            log::warn!(value = format!("{value:?}"); "a target sends a Retry-After that is no number of seconds");
            clock::Millis::ZERO
        }
    }
}

/// Parses the header field `name` as a whole number of milliseconds; absent if there is no such field.
///
/// # Errors
///
/// Returns an error if the field is not a whole number.
pub fn parse_millis(map: &HeaderMap, name: &str) -> Result<Option<clock::Millis>, Malformed> {
    let Some(value) = map.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|v| v.parse().ok());
    number.map(clock::Millis).map(Some).ok_or(Malformed)
}
