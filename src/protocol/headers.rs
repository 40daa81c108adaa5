//! Names of header fields, and the selection of the fields that a proxy forwards.

use http::header;
use http::{HeaderMap, HeaderName};

/// The time limit of the request in milliseconds; targets receive the remaining time.
pub const DEADLINE: &str = "peridotspread-deadline-ms";
/// The outcome of a refused request: `not-run` or `unknown`.
pub const OUTCOME: &str = "peridotspread-outcome";
/// The identifier of the request, set on every response and on the request to the target.
pub const REQUEST: &str = "peridotspread-request";
/// The idempotency key, by which a caller identifies resends of a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Set to `1` by a target that is leaving and accepts no new requests.
pub const LEAVING: &str = "peridotspread-leaving";
/// The name of the caller's organisation, set on requests to targets where the bundle has organisations.
pub const ORGANISATION: &str = "peridotspread-organisation";
/// The name of the target that answered.
pub const TARGET: &str = "peridotspread-target";

/// Returns whether the field is always hop-by-hop, even if `Connection` does not list it.
fn is_hop_by_hop(name: &HeaderName) -> bool {
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

/// Returns the fields of `map` that a proxy forwards: all but the hop-by-hop fields.
///
/// `Content-Length` is forwarded, so that the receiver detects a truncated response. It is dropped beside
/// `Transfer-Encoding`, which takes precedence over it.
pub fn forwarded_fields(map: &HeaderMap) -> HeaderMap {
    let options = connection_options(map);
    let chunked = map.contains_key(header::TRANSFER_ENCODING);
    let fields = map.iter().filter(|(name, _)| {
        let framing = chunked && **name == header::CONTENT_LENGTH;
        !is_hop_by_hop(name) && !framing && !options.iter().any(|n| n == name.as_str())
    });
    fields.map(|(n, v)| (n.clone(), v.clone())).collect()
}

/// Returns whether the sender of `map` accepts trailers, according to its `TE` field.
pub fn accepts_trailers(map: &HeaderMap) -> bool {
    let values = map
        .get_all(header::TE)
        .iter()
        .filter_map(|v| v.to_str().ok());
    values
        .flat_map(|v| v.split(','))
        .any(|v| v.trim().eq_ignore_ascii_case("trailers"))
}

/// Returns the field names that `Connection` lists, in lower case.
fn connection_options(map: &HeaderMap) -> Vec<String> {
    map.get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|n| n.trim().to_ascii_lowercase())
        .collect()
}
