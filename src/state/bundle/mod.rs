//! The versioned bundle: services, routes, targets, tiers, organisations, limits and rules.
//!
//! Operators write it in TOML. `check` turns a text into a [`Bundle`] or reports every finding at once; the follower
//! in [`crate::coordination`] decides which version is in force, and the entry and the cell homes read it from there.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::state::clock;
use crate::state::hash;
use crate::state::ids;

pub(crate) mod check;
pub mod diff;
pub mod edits;

pub use check::parse;

/// A checked bundle.
///
/// Every name that it refers to exists in it, and every limit lies within its range.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The version; versions only rise.
    pub version: u64,
    /// The tiers by rank: the first is served first.
    pub tiers: Vec<Tier>,
    /// What happens to callers without a known credential.
    #[serde(default)]
    pub unknown: Unknown,
    /// The organisations, whose callers are known by their credentials.
    #[serde(default)]
    pub organisations: Vec<Organisation>,
    /// The services with their targets and rules.
    pub services: Vec<Service>,
    /// Which requests go to which service.
    pub routes: Vec<Route>,
    /// What callers may send; the daemon's own settings decide where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<Callers>,
}

/// A rank of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// The tier's name.
    pub name: String,
}

/// What happens to callers without a known credential.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action", deny_unknown_fields)]
pub enum Unknown {
    /// They are served in the last tier.
    #[default]
    LastTier,
    /// They are served in the named tier.
    Tier {
        /// The tier's name.
        tier: String,
    },
    /// They are refused with status 401.
    Refuse,
}

/// An organisation that callers belong to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The organisation's name.
    pub name: String,
    /// The name of its callers' tier.
    pub tier: String,
    /// SHA-256 digests of its bearer tokens, in hexadecimal.
    #[serde(default)]
    pub credentials: Vec<String>,
}

/// One service and the rules for its targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// The number of targets that ejection leaves at least.
    pub floor: usize,
    /// The time that a request may take where its caller names none, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: clock::Millis,
    /// The requests that may wait in the queue of one cell.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// The cells that the targets are dealt to, whatever their failure domains; one for each failure domain where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cells: Option<usize>,
    /// The cells that the targets of each failure domain are dealt to, where `cells` is absent.
    #[serde(default = "default_parts")]
    pub parts: usize,
    /// Whether targets are ranked by how their last requests went, for targets that fail briefly and often.
    #[serde(default)]
    pub soundness: bool,
    /// The share of the targets, in percent, that keep getting work while many requests fail, where `soundness` ranks them.
    #[serde(default)]
    pub breadth_pct: f64,
    /// How targets are judged.
    #[serde(default)]
    pub ejection: Ejection,
    /// How much is retried.
    #[serde(default)]
    pub retry: Retry,
    /// The targets in all failure domains.
    pub targets: Vec<Target>,
}

/// How the targets of a service are judged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Ejection {
    /// The log-likelihood ratio from which a target is avoided.
    pub avoid: f64,
    /// The log-likelihood ratio from which a target is ejected; higher means fewer false ejections, found later.
    pub eject: f64,
    /// How long a granted ejection holds unless it is renewed, in milliseconds.
    pub lease_ms: clock::Millis,
}

impl Default for Ejection {
    fn default() -> Ejection {
        Ejection {
            avoid: 2.0,
            eject: 6.0,
            lease_ms: clock::Millis(15_000),
        }
    }
}

/// How much idempotent work is retried.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retry {
    /// Retries as a share of first tries, in percent.
    pub budget_pct: f64,
    /// Tries of one request, the first included.
    pub tries: u32,
    /// The retries that may come at once in one cell, whatever the share.
    pub burst: f64,
}

impl Default for Retry {
    fn default() -> Retry {
        Retry {
            budget_pct: 10.0,
            tries: 3,
            burst: 10.0,
        }
    }
}

/// One back end of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The target's name, unique within its service.
    pub name: String,
    /// Its address as IP and port.
    pub address: std::net::SocketAddr,
    /// The failure domain that it stands in.
    pub domain: String,
    /// The requests that it works on at a time.
    pub slots: usize,
    /// The connections that it takes from the whole fleet.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Whether operators have told it to leave: it gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Sends the requests under a path prefix to a service; the longest prefix wins, and a named host beats none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The host that requests name, in lower case and without a port; any where absent.
    #[serde(default)]
    pub host: Option<String>,
    /// The path's prefix, by whole segments.
    pub prefix: String,
    /// The service's name; not used where `split` names services.
    #[serde(default)]
    pub service: String,
    /// Methods that are idempotent here beyond the safe ones (GET, HEAD, OPTIONS and TRACE).
    #[serde(default)]
    pub idempotent: Vec<String>,
    /// Whether every request is idempotent, or none is, whatever its method; absent where the method decides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
    /// The time that a request may take at most, whatever its caller allows, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<clock::Millis>,
    /// The time within which an answer is worth most to its caller, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<clock::Millis>,
    /// Tries of one request, the first included; the service's own limit holds as well.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tries: Option<u32>,
    /// The tier of its requests; that of the caller where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tier: Option<String>,
    /// Services that share its requests by weight, in place of `service`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<Share>,
}

/// The part of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// The service's name.
    pub service: String,
    /// Its weight among the shares.
    pub weight: u32,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// The bytes of a request's head.
    pub head_bytes: usize,
    /// The bytes of a request's body.
    pub body_bytes: u64,
    /// The time that a head may take, in milliseconds.
    pub head_ms: clock::Millis,
    /// The time that a connection may be idle between two requests, in milliseconds.
    pub idle_ms: clock::Millis,
}

fn default_deadline() -> clock::Millis {
    clock::Millis(10_000)
}

fn default_queue() -> usize {
    100
}

fn default_parts() -> usize {
    1
}

fn default_connections() -> usize {
    400
}

impl Bundle {
    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Returns the rank of the tier called `name`; 0 is served first.
    pub fn tier_rank(&self, name: &str) -> Option<u8> {
        let at = self.tiers.iter().position(|t| t.name == name)?;
        u8::try_from(at).ok()
    }
}

impl Route {
    /// Returns the service that takes a request, where `draw` is a number drawn evenly for the request.
    pub fn service_for(&self, draw: u64) -> &str {
        let total: u64 = self.split.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return &self.service;
        }
        let mut left = draw % total;
        for share in &self.split {
            let weight = u64::from(share.weight);
            if left < weight {
                return &share.service;
            }
            left -= weight;
        }
        &self.service
    }

    /// Returns whether a request with `method` may run more than once.
    pub fn is_idempotent(&self, method: &http::Method) -> bool {
        let by_method = method.is_safe() || self.idempotent.iter().any(|m| m == method.as_str());
        self.repeatable.unwrap_or(by_method)
    }
}

impl Service {
    /// Returns a service as it is after its removal from the bundle: no targets, no waiting requests.
    pub fn without_targets(name: &str) -> Service {
        Service {
            name: name.to_owned(),
            floor: 0,
            deadline_ms: default_deadline(),
            queue: 0,
            cells: None,
            parts: default_parts(),
            soundness: false,
            breadth_pct: 0.0,
            ejection: Ejection::default(),
            retry: Retry::default(),
            targets: Vec::new(),
        }
    }

    /// Returns the cell of one of the targets.
    pub fn cell_of(&self, target: &Target) -> ids::CellId {
        let (domain, parts) = match self.cells {
            Some(cells) => ("", cells),
            None => (target.domain.as_str(), self.parts),
        };
        let dealt = hash::hash(&[&target.name]) % parts.max(1) as u64;
        ids::CellId {
            part: u32::try_from(dealt).unwrap_or_default(),
            ..ids::CellId::new(&self.name, domain)
        }
    }

    /// Groups the targets by their cells.
    pub fn cells(&self) -> BTreeMap<ids::CellId, Vec<&Target>> {
        let mut cells = BTreeMap::<ids::CellId, Vec<&Target>>::new();
        for target in &self.targets {
            cells.entry(self.cell_of(target)).or_default().push(target);
        }
        cells
    }
}
