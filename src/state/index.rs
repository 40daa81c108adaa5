//! Lookup tables for the bundle in force, built once when it is adopted.
//!
//! For every request, the entry looks up the route of the path and the tier of the credential.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use crate::state::bundle;

/// The lookup tables of a bundle; values are indices into the lists of the bundle.
#[derive(Debug, Default)]
pub struct Index {
    services: BTreeMap<String, usize>,
    credentials: BTreeMap<String, usize>,
    routes: BTreeMap<String, BTreeMap<String, usize>>,
}

/// The organisation and tier of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller<'a> {
    /// The name of the organisation; empty for callers without a known credential.
    pub organisation: &'a str,
    /// The rank of the caller's tier; 0 is served first.
    pub tier: u8,
}

/// The key of routes that match any host; a host name is never empty.
const ANY_HOST: &str = "";

impl Index {
    /// Builds the lookup tables of `bundle`.
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
                .insert(normalize_prefix(&route.prefix).to_owned(), at);
        }
        index
    }

    /// Returns the service `name`, if there is one.
    pub fn service<'a>(
        &self,
        bundle: &'a bundle::Bundle,
        name: &str,
    ) -> Option<&'a bundle::Service> {
        bundle.services.get(*self.services.get(name)?)
    }

    /// Returns the route of a request.
    ///
    /// Routes for the request's host take precedence over routes for any host. Within each group, the longest prefix
    /// wins.
    pub fn route<'a>(
        &self,
        bundle: &'a bundle::Bundle,
        host: &str,
        path: &str,
    ) -> Option<&'a bundle::Route> {
        let host = host_name(host).to_ascii_lowercase();
        let at = self
            .longest_match(&host, path)
            .or_else(|| self.longest_match(ANY_HOST, path))?;
        bundle.routes.get(at)
    }

    /// Returns the index of the route for `host` with the longest prefix of `path`.
    fn longest_match(&self, host: &str, path: &str) -> Option<usize> {
        let routes = self.routes.get(host)?;
        let mut prefix = normalize_prefix(path);
        loop {
            if let Some(at) = routes.get(prefix) {
                return Some(*at);
            }
            let cut = prefix.rfind('/')?;
            prefix = &prefix[..cut];
        }
    }

    /// Returns the organisation and tier of a request with the bearer token `token`, if any; `None` if the token is
    /// unknown or missing and the bundle refuses such callers.
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

/// Returns the digest by which the bundle identifies a bearer token: SHA-256 in hexadecimal.
pub fn token_digest(token: &str) -> String {
    hex::encode(Sha256::digest(token.as_bytes()))
}

/// Returns `path` without trailing slashes.
fn normalize_prefix(path: &str) -> &str {
    path.trim_end_matches('/')
}

/// Returns `host` without the port.
fn host_name(host: &str) -> &str {
    if host.starts_with('[') {
        return host
            .split_once(']')
            .map_or(host, |(address, _)| &host[..=address.len()]);
    }
    host.split_once(':').map_or(host, |(name, _)| name)
}
