//! Reads from the platform's rows which targets hold a share of the ejection budget.

use std::collections::BTreeSet;

use peridotspread::coordination::lease;
use peridotspread::state::clock;

use crate::platform;

/// Returns the targets of a service that are ejected now.
pub(super) fn held(platform: &platform::Handle, service: &str) -> BTreeSet<String> {
    let key = lease::key(service);
    let rows = platform.rows(&key).into_iter().filter(|r| r.key == key);
    let rows = rows.filter_map(|r| serde_json::from_str::<lease::Row>(&r.value).ok());
    let now = clock::wall();
    rows.flat_map(|r| r.list)
        .filter(|e| e.expiry > now)
        .map(|e| e.target)
        .collect()
}
