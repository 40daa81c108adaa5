//! Header fields: names of our own, and which fields concern one connection and are not passed on.

use http::header;
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::protocol::peer;

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
pub fn to_fields(map: &HeaderMap) -> Vec<peer::Field> {
    let named = named_by_connection(map);
    let chunked = map.contains_key(header::TRANSFER_ENCODING);
    map.iter()
        .filter(|(name, _)| !concerns_connection(name) && !named.iter().any(|n| n == name.as_str()))
        .filter(|(name, _)| !(chunked && **name == header::CONTENT_LENGTH))
        .map(|(name, value)| peer::Field {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Returns whether the sender of `map` takes trailers, as its `TE` says.
pub fn takes_trailers(map: &HeaderMap) -> bool {
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

/// Returns `fields` as a header map; fields that are not valid are left out.
pub fn from_fields(fields: &[peer::Field]) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    map
}
