//! Header fields: names of our own, and which fields concern one connection and are not passed on.

use http::header;
use http::{HeaderMap, HeaderName};

/// The time that the caller gives the request, in milliseconds; passed on to targets less what has been used.
pub const DEADLINE: &str = "peridotspread-deadline-ms";
/// The outcome of a refused request: `not-run` or `unknown`.
pub const OUTCOME: &str = "peridotspread-outcome";
/// The request's identity, on every answer and on the request to the target.
pub const REQUEST: &str = "peridotspread-request";
/// The key by which a caller names non-idempotent work across resends.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The target that answered.
pub const TARGET: &str = "peridotspread-target";

/// Returns whether the field concerns one connection only, whatever `Connection` names.
fn concerns_connection(name: &HeaderName) -> bool {
    const NAMES: [HeaderName; 7] = [
        header::CONNECTION,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::EXPECT,
    ];
    NAMES.contains(name) || name == "keep-alive" || name == "proxy-connection"
}

/// Returns the fields of `map` that are passed on: all but those that concern one connection.
///
/// `Content-Length` is passed on, so that an answer cut short is seen to be short, but never beside
/// `Transfer-Encoding`, which goes before it.
pub fn forwarded_fields(map: &HeaderMap) -> HeaderMap {
    let named = named_by_connection(map);
    let chunked = map.contains_key(header::TRANSFER_ENCODING);
    let fields = map.iter().filter(|(name, _)| {
        let framing = chunked && **name == header::CONTENT_LENGTH;
        !concerns_connection(name) && !framing && !named.iter().any(|n| n == name.as_str())
    });
    fields.map(|(n, v)| (n.clone(), v.clone())).collect()
}

/// Returns whether the sender of `map` takes trailers, as its `TE` says.
pub fn accepts_trailers(map: &HeaderMap) -> bool {
    let values = map
        .get_all(header::TE)
        .iter()
        .filter_map(|v| v.to_str().ok());
    values
        .flat_map(|v| v.split(','))
        .any(|v| v.trim().eq_ignore_ascii_case("trailers"))
}

/// Returns the names that `Connection` lists, in lower case.
fn named_by_connection(map: &HeaderMap) -> Vec<String> {
    map.get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|n| n.trim().to_ascii_lowercase())
        .collect()
}
