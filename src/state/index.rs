//! Look-ups in the bundle in force, prepared once when it is adopted.
//!
//! The entry asks the index for every request: which service a path leads to, and which tier a credential gives.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use crate::state::bundle;

/// The look-ups of one bundle.
#[derive(Debug, Default)]
pub struct Index {
    services: BTreeMap<String, usize>,
    credentials: BTreeMap<String, usize>,
    routes: BTreeMap<String, BTreeMap<String, usize>>,
}

/// Who a caller is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller<'a> {
    /// The organisation's name; empty for callers without a known credential.
    pub organisation: &'a str,
    /// The rank of the caller's tier; 0 is served first.
    pub tier: u8,
}

/// The name under which routes for any host are kept; no host has an empty name.
const ANY_HOST: &str = "";

impl Index {
    /// Prepares the look-ups of `bundle`.
    pub fn new(bundle: &bundle::Bundle) -> Index {
        let mut index = Index::default();
        for (at, service) in bundle.services.iter().enumerate() {
            index.services.insert(service.name.clone(), at);
        }
        for (at, organisation) in bundle.organisations.iter().enumerate() {
            for credential in &organisation.credentials {
                index.credentials.insert(credential.clone(), at);
            }
        }
        for (at, route) in bundle.routes.iter().enumerate() {
            let host = route.host.as_deref().unwrap_or(ANY_HOST);
            index
                .routes
                .entry(host.to_owned())
                .or_default()
                .insert(normal_prefix(&route.prefix).to_owned(), at);
        }
        index
    }

    /// Finds a service by name.
    pub fn service<'a>(
        &self,
        bundle: &'a bundle::Bundle,
        name: &str,
    ) -> Option<&'a bundle::Service> {
        bundle.services.get(*self.services.get(name)?)
    }

    /// Finds the route of a request: a named host beats none, then the longest prefix wins.
    pub fn route<'a>(
        &self,
        bundle: &'a bundle::Bundle,
        host: &str,
        path: &str,
    ) -> Option<&'a bundle::Route> {
        let host = host_name(host).to_ascii_lowercase();
        let at = self
            .longest(&host, path)
            .or_else(|| self.longest(ANY_HOST, path))?;
        bundle.routes.get(at)
    }

    fn longest(&self, host: &str, path: &str) -> Option<usize> {
        let routes = self.routes.get(host)?;
        let mut prefix = normal_prefix(path);
        loop {
            if let Some(at) = routes.get(prefix) {
                return Some(*at);
            }
            let cut = prefix.rfind('/')?;
            prefix = &prefix[..cut];
        }
    }

    /// Tells who shows the bearer token `token`, or none; absent where the bundle refuses such callers.
    pub fn caller<'a>(
        &self,
        bundle: &'a bundle::Bundle,
        token: Option<&str>,
    ) -> Option<Caller<'a>> {
        let known = token.and_then(|t| self.credentials.get(&token_digest(t)));
        if let Some(organisation) = known.and_then(|at| bundle.organisations.get(*at)) {
            let tier = bundle.tier_rank(&organisation.tier)?;
            return Some(Caller {
                organisation: &organisation.name,
                tier,
            });
        }
        let tier = match &bundle.unknown {
            bundle::Unknown::Refuse => return None,
            bundle::Unknown::Tier { tier } => bundle.tier_rank(tier)?,
            bundle::Unknown::LastTier => {
                u8::try_from(bundle.tiers.len().saturating_sub(1)).unwrap_or(u8::MAX)
            }
        };
        Some(Caller {
            organisation: "",
            tier,
        })
    }
}

/// Returns the digest under which the bundle keeps a bearer token: SHA-256 in hexadecimal.
pub fn token_digest(token: &str) -> String {
    hex::encode(Sha256::digest(token.as_bytes()))
}

/// Returns `path` without a closing slash.
fn normal_prefix(path: &str) -> &str {
    path.trim_end_matches('/')
}

/// Returns `host` without its port.
fn host_name(host: &str) -> &str {
    if host.starts_with('[') {
        return host
            .split_once(']')
            .map_or(host, |(address, _)| &host[..=address.len()]);
    }
    host.split_once(':').map_or(host, |(name, _)| name)
}
