//! The human-readable difference between two bundles, entry by entry.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::state::bundle;

/// The kind of change of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Only the new bundle contains the entry.
    Added,
    /// Only the old bundle contains the entry.
    Removed,
    /// Both bundles contain the entry, with different contents.
    Changed,
}

/// An entry in which two bundles differ.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Difference {
    /// The name of the entry, such as `service fees, target fees-1`.
    pub entry: String,
    /// The kind of the change.
    pub kind: Kind,
    /// The old contents as JSON; empty if the entry was added.
    pub old: String,
    /// The new contents as JSON; empty if the entry was removed.
    pub new: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            Kind::Added => write!(f, "+ {}: {}", self.entry, self.new),
            Kind::Removed => write!(f, "- {}: {}", self.entry, self.old),
            Kind::Changed => write!(f, "~ {}: {} -> {}", self.entry, self.old, self.new),
        }
    }
}

/// Returns the entries in which `new` differs from `old`, sorted by name.
pub fn between(old: &bundle::Bundle, new: &bundle::Bundle) -> Vec<Difference> {
    let old = entries(old);
    let new = entries(new);
    let mut differences: Vec<_> = old
        .iter()
        .filter_map(|(entry, before)| compare(entry, Some(before), new.get(entry)))
        .collect();
    let added = new.iter().filter(|(entry, _)| !old.contains_key(*entry));
    differences.extend(added.filter_map(|(entry, after)| compare(entry, None, Some(after))));
    differences.sort();
    differences
}

fn compare(entry: &str, old: Option<&String>, new: Option<&String>) -> Option<Difference> {
    let kind = match (old, new) {
        (Some(old), Some(new)) if old == new => return None,
        (Some(_), Some(_)) => Kind::Changed,
        (Some(_), None) => Kind::Removed,
        (None, _) => Kind::Added,
    };
    Some(Difference {
        entry: entry.to_owned(),
        kind,
        old: old.cloned().unwrap_or_default(),
        new: new.cloned().unwrap_or_default(),
    })
}

/// Returns the contents of each entry of a bundle as JSON, by the name of the entry.
fn entries(bundle: &bundle::Bundle) -> BTreeMap<String, String> {
    let mut entries = BTreeMap::new();
    entries.insert("version".to_owned(), bundle.version.to_string());
    entries.insert(
        "callers without a credential".to_owned(),
        json(&bundle.unknown),
    );
    entries.insert("precedence of tiers".to_owned(), json(&bundle.precedence));
    if let Some(callers) = &bundle.callers {
        entries.insert("limits of callers".to_owned(), json(callers));
    }
    for (rank, tier) in bundle.tiers.iter().enumerate() {
        entries.insert(format!("tier {}", tier.name), format!("rank {rank}"));
    }
    for organisation in &bundle.organisations {
        entries.insert(
            format!("organisation {}", organisation.name),
            json(organisation),
        );
    }
    for route in &bundle.routes {
        let host = route.host.as_deref().unwrap_or("any host");
        entries.insert(format!("route {host} {}", route.prefix), json(route));
    }
    for service in &bundle.services {
        for target in &service.targets {
            let entry = format!("service {}, target {}", service.name, target.name);
            entries.insert(entry, json(target));
        }
        let rules = bundle::Service {
            targets: Vec::new(),
            ..service.clone()
        };
        entries.insert(format!("service {}", service.name), rules_json(&rules));
    }
    entries
}

/// Returns the rules of a service as JSON, without its targets.
fn rules_json(rules: &bundle::Service) -> String {
    let mut value = serde_json::to_value(rules).unwrap_or_default();
    if let Some(fields) = value.as_object_mut() {
        fields.remove("targets");
    }
    value.to_string()
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
