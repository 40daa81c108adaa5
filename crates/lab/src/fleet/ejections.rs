//! Reads the ejection leases of a service from the rows of the platform's table.

use std::collections::BTreeSet;

use peridotspread::coordination::lease;
use peridotspread::state::clock;

use crate::platform;

/// Returns the targets of a service for which an ejection lease is in force.
pub(super) fn leased_targets(platform: &platform::Handle, service: &str) -> BTreeSet<String> {
    let key = lease::key(service);
    let rows = platform.rows(&key).into_iter().filter(|r| r.key == key);
    let rows = rows.filter_map(|r| serde_json::from_str::<lease::Row>(&r.value).ok());
    let now = clock::wall();
    rows.flat_map(|r| r.list)
        .filter(|e| e.expiry > now)
        .map(|e| e.target)
        .collect()
}
