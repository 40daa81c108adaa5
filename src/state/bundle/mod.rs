//! The bundle: the versioned configuration of services, routes, targets, tiers, organisations and limits.
//!
//! Operators write bundles in TOML. `check` parses a text into a [`Bundle`] or reports all findings at once.
//! [`crate::coordination::adoption`] decides which version is in force; entries and homes read that version.

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
/// All names that it refers to are defined in it, and all numbers are within their ranges.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The version; daemons never adopt a lower version than the one in force.
    pub version: u64,
    /// The tiers in descending order of priority.
    pub tiers: Vec<Tier>,
    /// How callers without a known credential are handled.
    #[serde(default)]
    pub unknown: Unknown,
    /// The organisations, whose callers are identified by their credentials.
    #[serde(default)]
    pub organisations: Vec<Organisation>,
    /// The services, each with its targets and rules.
    pub services: Vec<Service>,
    /// The routes, which map requests to services.
    pub routes: Vec<Route>,
    /// The limits for callers; if absent, those of the daemon's settings apply.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<Callers>,
    /// Whether the tier of a route or that of the organisation applies where both are given.
    #[serde(default, skip_serializing_if = "is_default")]
    pub precedence: Precedence,
}

/// Which tier applies to a request where both its route and its organisation have one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Precedence {
    /// The tier of the route.
    #[default]
    Route,
    /// The tier of the organisation.
    Organisation,
}

/// The order in which the requests of one tier get scarce slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// By arrival and objective.
    #[default]
    Arrival,
    /// By what a delay or a refusal costs callers, for the slot time that a request needs.
    Value,
}

/// A priority class of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// The name of the tier.
    pub name: String,
}

/// The handling of callers without a known credential.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action", deny_unknown_fields)]
pub enum Unknown {
    /// They are served in the last tier.
    #[default]
    LastTier,
    /// They are served in the named tier.
    Tier {
        /// The name of the tier.
        tier: String,
    },
    /// They are refused with status 401.
    Refuse,
}

/// An organisation that callers belong to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The name of the organisation.
    pub name: String,
    /// The name of the tier of its callers; empty if that of the route applies, which only adapters set.
    pub tier: String,
    /// The SHA-256 digests of its bearer tokens, in hexadecimal.
    #[serde(default)]
    pub credentials: Vec<String>,
    /// The quota of its callers over the whole fleet, in requests per second; absent if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// The requests that its callers may make at once beyond `rate`.
    #[serde(default, skip_serializing_if = "is_default")]
    pub burst: f64,
}

/// A service: its targets and the rules for distributing requests to them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name of the service.
    pub name: String,
    /// The minimum number of targets that are not ejected.
    pub floor: usize,
    /// The time limit of requests whose caller sets none, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: clock::Millis,
    /// The maximum number of requests in the queue of each cell.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// The number of cells, across all failure domains; if absent, each failure domain has cells of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cells: Option<usize>,
    /// The number of cells in each failure domain, if `cells` is absent.
    #[serde(default = "default_parts")]
    pub parts: usize,
    /// Whether targets are ranked by the outcomes of their latest requests; suited to targets that fail briefly and
    /// often.
    #[serde(default)]
    pub soundness: bool,
    /// The minimum share of targets, in percent, that keep receiving requests, if `soundness` is set.
    #[serde(default)]
    pub breadth_pct: f64,
    /// The rules for avoiding and ejecting targets.
    #[serde(default)]
    pub ejection: Ejection,
    /// The limits of retries.
    #[serde(default)]
    pub retry: Retry,
    /// The order in which the requests of one tier get scarce slots.
    #[serde(default, skip_serializing_if = "is_default")]
    pub order: Order,
    /// The targets of all failure domains.
    pub targets: Vec<Target>,
}

/// The rules for avoiding and ejecting the targets of a service (outlier detection).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Ejection {
    /// The log-likelihood ratio at which a target is avoided.
    pub avoid: f64,
    /// The log-likelihood ratio at which a target is ejected; a higher value gives fewer false ejections but slower
    /// detection.
    pub eject: f64,
    /// The duration of an ejection lease unless it is renewed, in milliseconds.
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

/// The limits of retries. Requests that are not idempotent are retried only if they provably did not run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retry {
    /// The maximum ratio of retries to first tries, in percent.
    pub budget_pct: f64,
    /// The maximum number of tries of a request, including the first.
    pub tries: u32,
    /// The most retries that a cell may save up from the ratio, to make them in a burst.
    pub burst: f64,
    /// The length of the windows in each of which the ratio and the burst hold; if absent, the burst is the capacity of
    /// a token bucket.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub window_ms: Option<clock::Millis>,
}

impl Default for Retry {
    fn default() -> Retry {
        Retry {
            budget_pct: 10.0,
            tries: 3,
            burst: 10.0,
            window_ms: None,
        }
    }
}

/// The maximum number of slots or connections of a target.
pub const MAX_SLOTS: u64 = 100_000;

/// A back end of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The name of the target, unique within its service.
    pub name: String,
    /// The address as IP and port.
    pub address: std::net::SocketAddr,
    /// The failure domain of the target.
    pub domain: String,
    /// The maximum number of concurrent requests.
    pub slots: usize,
    /// The maximum number of connections from the whole fleet.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Whether the target is being removed by operators and receives no new requests.
    #[serde(default)]
    pub leaving: bool,
}

impl Target {
    /// Returns why the target cannot get requests, whoever listed it; absent if it can.
    pub fn problem(&self) -> Option<&'static str> {
        if !(1..=MAX_SLOTS).contains(&(self.slots as u64)) {
            return Some("the number of its slots is out of range");
        }
        let is_address = self.address.port() > 0 && !self.address.ip().is_unspecified();
        (!is_address).then_some("its address is not one of a host")
    }
}

/// A route, which sends the requests under a path prefix to a service.
///
/// Routes for a host take precedence over those for any host. Within each group, the longest prefix wins.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The host of the requests, in lower case and without a port; if absent, the route matches any host.
    #[serde(default)]
    pub host: Option<String>,
    /// The prefix of the path, compared byte by byte. One that ends with a slash matches the paths that begin with it;
    /// any other matches the path that equals it, and those that continue after it with a slash.
    pub prefix: String,
    /// The name of the service; unused if `split` is given.
    #[serde(default)]
    pub service: String,
    /// The methods that are idempotent on this route besides the safe ones (GET, HEAD, OPTIONS and TRACE).
    #[serde(default)]
    pub idempotent: Vec<String>,
    /// Whether all requests are idempotent or none is; if absent, this depends on the method.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
    /// The maximum time limit of a request, even if the caller allows more, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<clock::Millis>,
    /// The latency objective in milliseconds; later responses are worth less to the caller.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<clock::Millis>,
    /// The maximum number of tries of a request, including the first; the limit of the service applies as well.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tries: Option<u32>,
    /// The name of the tier of its requests; if absent, the tier of the caller applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tier: Option<String>,
    /// The services among which requests are split by weight, instead of `service`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<Share>,
    /// Whether callers need no credential, even if the bundle refuses those without one.
    #[serde(default, skip_serializing_if = "is_default")]
    pub open: bool,
}

/// The share of a route's requests that one service receives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// The name of the service.
    pub service: String,
    /// The weight relative to the other shares of the route.
    pub weight: u32,
}

/// The limits for connections and requests of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// The maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// The time limit for receiving a request head, in milliseconds; the greater of this and `idle_ms` applies.
    pub head_ms: clock::Millis,
    /// The maximum idle time of a connection between two requests, in milliseconds; a value below `head_ms` has no
    /// effect.
    pub idle_ms: clock::Millis,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
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
    /// Returns the service `name`, if there is one.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Returns the bundle as daemons of version 1 of the protocol read it, without the fields that they refuse. They
    /// serve organisations without quotas, and routes that need no credential by the rule for unknown callers.
    #[must_use]
    pub fn for_version_1(&self) -> Bundle {
        let mut bundle = self.clone();
        bundle.precedence = Precedence::default();
        let last_tier = self.tiers.last().map(|t| t.name.as_str());
        for organisation in &mut bundle.organisations {
            (organisation.rate, organisation.burst) = (None, 0.0);
            if organisation.tier.is_empty() {
                // Version 1 refuses the callers of an organisation whose tier it does not know.
                organisation.tier = last_tier.unwrap_or_default().to_owned();
            }
        }
        for service in &mut bundle.services {
            service.order = Order::default();
            // A bucket and the window around it allow up to twice the burst.
            if service.retry.window_ms.take().is_some() {
                service.retry.burst /= 2.0;
            }
        }
        for route in &mut bundle.routes {
            route.open = false;
        }
        bundle
    }

    /// Returns the rank of the last tier, the one with the lowest priority.
    pub fn last_tier(&self) -> u8 {
        u8::try_from(self.tiers.len().saturating_sub(1)).unwrap_or(u8::MAX)
    }

    /// Returns the rank of the tier `name`; 0 is the highest priority.
    pub fn tier_rank(&self, name: &str) -> Option<u8> {
        let at = self.tiers.iter().position(|t| t.name == name)?;
        u8::try_from(at).ok()
    }
}

impl Route {
    /// Returns the name of the service for a request; `draw` is a uniformly distributed random number for the split.
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

    /// Returns a hash that identifies the route by its host and prefix.
    pub fn hash(&self) -> u64 {
        hash::hash(&[self.host.as_deref().unwrap_or_default(), &self.prefix])
    }

    /// Returns whether a request with `method` may run more than once.
    pub fn is_idempotent(&self, method: &http::Method) -> bool {
        let by_method = method.is_safe() || self.idempotent.iter().any(|m| m == method.as_str());
        self.repeatable.unwrap_or(by_method)
    }
}

impl Service {
    /// Returns an empty service, which stands for one that the bundle no longer contains: no targets and no queue.
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
            order: Order::default(),
            targets: Vec::new(),
        }
    }

    /// Returns the cell to which a target is assigned.
    pub fn cell_of(&self, target: &Target) -> ids::CellId {
        let (domain, parts) = match self.cells {
            Some(cells) => ("", cells),
            None => (target.domain.as_str(), self.parts),
        };
        let index = hash::hash(&[&target.name]) % parts.max(1) as u64;
        ids::CellId {
            part: u32::try_from(index).unwrap_or_default(),
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
