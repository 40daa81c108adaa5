//! Lookup tables for the bundle in force, built once when it is adopted.
//!
//! For every request, the entry looks up the route of the path, and the organisation and tier of the credential.

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
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller<'a> {
    /// The name of the organisation; empty for callers without a known credential.
    pub organisation: &'a str,
    /// The rank of the tier of the caller's request; 0 is served first.
    pub tier: u8,
    /// The digest of the credential on which the admission of the caller depends; absent if the request would be
    /// served without one.
    pub digest: Option<String>,
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
                .insert(route.prefix.clone(), at);
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

    /// Returns the index of the route for `host` with the longest prefix that matches `path`.
    fn longest_match(&self, host: &str, path: &str) -> Option<usize> {
        let routes = self.routes.get(host)?;
        matching_prefixes(path).find_map(|prefix| routes.get(prefix).copied())
    }

    /// Returns the organisation and tier of a request on `route` with the credential `token`, if any.
    ///
    /// Returns `None` if the token is unknown or missing, the bundle refuses such callers, and the route is not open.
    pub fn caller<'a>(
        &self,
        bundle: &'a bundle::Bundle,
        route: Option<&bundle::Route>,
        token: Option<&str>,
    ) -> Option<Caller<'a>> {
        let is_open = route.is_some_and(|r| r.open);
        let of_route = route
            .and_then(|r| r.tier.as_deref())
            .and_then(|t| bundle.tier_rank(t));
        let digest = token.map(token_digest);
        let known = digest.as_ref().and_then(|d| self.credentials.get(d));
        if let Some(organisation) = known.and_then(|at| bundle.organisations.get(*at)) {
            let own = bundle.tier_rank(&organisation.tier);
            let tier = match bundle.precedence {
                bundle::Precedence::Route => of_route.or(own),
                bundle::Precedence::Organisation => own.or(of_route),
            };
            let needs_credential = bundle.unknown == bundle::Unknown::Refuse && !is_open;
            return Some(Caller {
                organisation: &organisation.name,
                tier: tier.unwrap_or(bundle.last_tier()),
                digest: digest.filter(|_| needs_credential),
            });
        }
        let of_unknown = match &bundle.unknown {
            bundle::Unknown::Refuse if !is_open => return None,
            bundle::Unknown::Refuse | bundle::Unknown::LastTier => None,
            bundle::Unknown::Tier { tier } => bundle.tier_rank(tier),
        };
        Some(Caller {
            organisation: "",
            tier: of_route.or(of_unknown).unwrap_or(bundle.last_tier()),
            digest: None,
        })
    }

    /// Returns whether the credential with this digest is one of the named organisation.
    pub fn is_credential_of(
        &self,
        bundle: &bundle::Bundle,
        digest: &str,
        organisation: &str,
    ) -> bool {
        let at = self.credentials.get(digest);
        let found = at.and_then(|at| bundle.organisations.get(*at));
        found.is_some_and(|o| o.name == organisation)
    }
}

/// Returns the digest by which the bundle identifies a bearer token: SHA-256 in hexadecimal.
pub fn token_digest(token: &str) -> String {
    hex::encode(Sha256::digest(token.as_bytes()))
}

/// Returns the prefixes that match `path`, the longest first: `path` itself, and its start up to each slash, with and
/// without that slash.
///
/// `/fees/` does not match `/fees`, since the path does not begin with it, whereas `/fees` matches both.
fn matching_prefixes(path: &str) -> impl Iterator<Item = &str> {
    let slashes = path.rmatch_indices('/').map(|(at, _)| at);
    let starts = slashes.flat_map(|at| [&path[..=at], &path[..at]]);
    std::iter::once(path).chain(starts)
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
