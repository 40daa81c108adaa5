//! The check of a bundle's text, which reports all findings at once before any of the text is used.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net;

use crate::state::bundle;
use crate::state::findings;
use crate::state::reader;

/// The maximum length of a name, in characters.
const MAX_NAME_CHARS: usize = 64;

/// The maximum number of tiers of a bundle; a rank is one byte.
const MAX_TIERS: usize = 255;

/// The highest version and the highest integer of other fields without a limit of their own; TOML integers are signed
/// 64-bit numbers.
const MAX_INTEGER: u64 = i64::MAX as u64;

/// The maximum of all durations, in milliseconds (one hour).
const MAX_TIME_MS: u64 = 3_600_000;

/// The minimum lease of an ejection, in milliseconds; a shorter lease would expire before it is granted.
const MIN_LEASE_MS: u64 = 5_000;

/// The maximum length of the queue of a cell, in requests.
const MAX_QUEUE: u64 = 100_000;

/// The maximum log-likelihood ratio of an ejection rule.
const MAX_RATIO: f64 = 1_000.0;

/// The maximum number of tries of a request.
const MAX_TRIES: u64 = 10;

/// The maximum number of cells of a service, or of each of its failure domains.
const MAX_CELLS: u64 = 10_000;

/// The maximum burst of retries, and of an organisation's requests.
const MAX_BURST: f64 = 1_000_000.0;

/// The maximum weight of a share.
const MAX_WEIGHT: u64 = 1_000_000;

/// The highest rate and burst of an organisation's quota.
const MAX_QUOTA: f64 = 1_000_000.0;
/// The length of a SHA-256 digest in hexadecimal digits.
const DIGEST_CHARS: usize = 64;

/// The tiers, services and credentials declared so far, to resolve references and find duplicates.
#[derive(Default)]
struct Declared<'a> {
    tiers: BTreeSet<&'a str>,
    services: BTreeSet<&'a str>,
    /// The organisation that declares each credential.
    credentials: BTreeMap<&'a str, &'a str>,
}

/// Parses and checks the text of a bundle; findings refer to it by the name `file`.
///
/// # Errors
///
/// Returns every finding with its line if the text is not a valid bundle.
pub fn parse(file: &str, text: &str) -> Result<bundle::Bundle, findings::Findings> {
    let reader = reader::Reader::new(file, text);
    {
        let table = reader.parse();
        check_root(reader.root(&table));
    }
    reader.finish()
}

fn check_root(root: reader::Table<'_>) {
    root.check_keys(&[
        "version",
        "tiers",
        "unknown",
        "organisations",
        "services",
        "routes",
        "callers",
        "precedence",
    ]);
    if let Some(precedence) = root.optional("precedence") {
        check_choice(precedence, &["route", "organisation"]);
    }
    root.required("version")
        .and_then(|v| v.integer(1..=MAX_INTEGER));
    let mut declared = Declared::default();
    if let Some(tiers) = root.required("tiers") {
        check_tiers(tiers, &mut declared);
    }
    if let Some(unknown) = root.optional("unknown") {
        check_unknown(unknown, &declared);
    }
    let organisations = root.optional("organisations");
    check_organisations(
        &organisations.map_or(Vec::new(), |o| o.tables()),
        &mut declared,
    );
    if let Some(services) = root.required("services") {
        check_services(services, &mut declared);
    }
    if let Some(routes) = root.required("routes") {
        check_routes(&routes.tables(), &declared);
    }
    if let Some(callers) = root.optional("callers").and_then(|c| c.table()) {
        check_callers(callers);
    }
}

fn check_callers(table: reader::Table<'_>) {
    table.check_keys(&["head_bytes", "body_bytes", "head_ms", "idle_ms"]);
    for key in ["head_bytes", "body_bytes"] {
        table.required(key).and_then(|v| v.integer(1..=MAX_INTEGER));
    }
    for key in ["head_ms", "idle_ms"] {
        table.required(key).and_then(|v| v.integer(1..=MAX_TIME_MS));
    }
}

fn check_tiers<'a>(value: reader::Value<'a>, declared: &mut Declared<'a>) {
    let tiers = value.tables();
    if tiers.is_empty() || tiers.len() > MAX_TIERS {
        value.add(&format!(
            "expected between 1 and {MAX_TIERS} tiers, found {}",
            tiers.len()
        ));
    }
    for tier in tiers {
        tier.check_keys(&["name"]);
        unique_name(tier, "tier", &mut declared.tiers);
    }
}

fn check_unknown(value: reader::Value<'_>, declared: &Declared<'_>) {
    let Some(table) = value.table() else { return };
    table.check_keys(&["action", "tier"]);
    let Some(action) = table.required("action") else {
        return;
    };
    match action.string().map(|a| a.str) {
        Some("tier") => check_reference(table, "tier", "tier", &declared.tiers),
        Some("last-tier" | "refuse") => {
            if let Some(tier) = table.optional("tier") {
                tier.add("only the action `tier` takes a tier");
            }
        }
        Some(other) => action.add(&format!(
            "unknown action `{other}`; expected one of: last-tier, tier, refuse"
        )),
        None => {}
    }
}

fn check_organisations<'a>(organisations: &[reader::Table<'a>], declared: &mut Declared<'a>) {
    let mut seen = BTreeSet::new();
    for organisation in organisations {
        organisation.check_keys(&["name", "tier", "credentials", "rate", "burst"]);
        let name = unique_name(*organisation, "organisation", &mut seen);
        check_reference(*organisation, "tier", "tier", &declared.tiers);
        for key in ["rate", "burst"] {
            let value = organisation.optional(key);
            value.and_then(|v| v.number(0.0..=MAX_QUOTA));
        }
        let credentials = organisation.optional("credentials");
        for credential in credentials.map_or(Vec::new(), |c| c.array()) {
            check_credential(credential, name.unwrap_or_default(), declared);
        }
    }
}

fn check_credential<'a>(
    value: reader::Value<'a>,
    organisation: &'a str,
    declared: &mut Declared<'a>,
) {
    let Some(digest) = value.string() else { return };
    if !is_digest(digest.str) {
        value.add(
            "a credential is the SHA-256 digest of a token, as 64 hexadecimal digits in lower case",
        );
        return;
    }
    if let Some(other) = declared.credentials.insert(digest.str, organisation) {
        value.add(&format!(
            "the organisation `{other}` has the same credential"
        ));
    }
}

fn check_services<'a>(value: reader::Value<'a>, declared: &mut Declared<'a>) {
    let services = value.tables();
    if services.is_empty() {
        value.add("a bundle needs at least one service");
    }
    for service in services {
        service.check_keys(&[
            "name",
            "floor",
            "deadline_ms",
            "queue",
            "cells",
            "parts",
            "soundness",
            "breadth_pct",
            "ejection",
            "retry",
            "order",
            "targets",
        ]);
        if let Some(order) = service.optional("order") {
            check_choice(order, &["arrival", "value"]);
        }
        unique_name(service, "service", &mut declared.services);
        check_range(service, "deadline_ms", 1, MAX_TIME_MS);
        check_range(service, "queue", 0, MAX_QUEUE);
        check_range(service, "cells", 1, MAX_CELLS);
        check_range(service, "parts", 1, MAX_CELLS);
        service.optional("soundness").and_then(|s| s.boolean());
        if let Some(breadth) = service.optional("breadth_pct") {
            breadth.number(0.0..=100.0);
        }
        if let Some(order) = service.optional("order") {
            check_order(order);
        }
        if let Some(table) = service.optional("ejection").and_then(|e| e.table()) {
            check_ejection(table);
        }
        if let Some(table) = service.optional("retry").and_then(|r| r.table()) {
            check_retry(table);
        }
        let targets = service.required("targets").map(check_targets);
        let floor = service.required("floor");
        if let (Some(floor), Some(targets)) = (floor, targets) {
            check_floor(floor, targets);
        }
    }
}

fn check_order(order: reader::Value<'_>) {
    match order.string().map(|o| o.str) {
        Some("arrival" | "value") | None => {}
        Some(other) => order.add(&format!(
            "unknown order `{other}`; expected one of: arrival, value"
        )),
    }
}

fn check_floor(floor: reader::Value<'_>, targets: usize) {
    if let Some(n) = floor.integer(0..=MAX_INTEGER)
        && n > targets as u64
    {
        floor.add(&format!(
            "the floor of {n} exceeds the service's {targets} targets"
        ));
    }
}

fn check_ejection(table: reader::Table<'_>) {
    table.check_keys(&["avoid", "eject", "lease_ms"]);
    check_range(table, "lease_ms", MIN_LEASE_MS, MAX_TIME_MS);
    let defaults = bundle::Ejection::default();
    let ratio = |key| {
        let value = table.optional(key)?;
        value.number(f64::MIN_POSITIVE..=MAX_RATIO)
    };
    let avoid = ratio("avoid").unwrap_or(defaults.avoid);
    let eject = ratio("eject").unwrap_or(defaults.eject);
    if avoid > eject {
        table.add(&format!(
            "`avoid` ({avoid}) must not exceed `eject` ({eject}), because a target is avoided before it is ejected"
        ));
    }
}

/// The longest window of the retry budget, in milliseconds.
const MAX_RETRY_WINDOW_MS: u64 = 600_000;

fn check_retry(table: reader::Table<'_>) {
    table.check_keys(&["budget_pct", "tries", "burst", "window_ms"]);
    check_range(table, "window_ms", 1, MAX_RETRY_WINDOW_MS);
    if let Some(burst) = table.optional("burst") {
        burst.number(0.0..=MAX_BURST);
    }
    if let Some(budget) = table.optional("budget_pct") {
        budget.number(0.0..=100.0);
    }
    check_range(table, "tries", 1, MAX_TRIES);
}

/// Checks the targets of a service and returns their number.
fn check_targets(value: reader::Value<'_>) -> usize {
    let targets = value.tables();
    if targets.is_empty() {
        value.add("a service needs at least one target");
    }
    let mut seen = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for target in &targets {
        target.check_keys(&[
            "name",
            "address",
            "domain",
            "slots",
            "connections",
            "leaving",
        ]);
        unique_name(*target, "target", &mut seen);
        if let Some(address) = target.required("address") {
            check_address(address, &mut addresses);
        }
        if let Some(domain) = target.required("domain") {
            check_name(domain);
        }
        check_slots(*target);
        target.optional("leaving").and_then(|l| l.boolean());
    }
    targets.len()
}

fn check_address(value: reader::Value<'_>, seen: &mut BTreeSet<net::SocketAddr>) {
    let Some(address) = value.parsed::<net::SocketAddr>("an address as IP and port") else {
        return;
    };
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        value.add(&format!("no target can be reached at {address}"));
    }
    if !seen.insert(address) {
        value.add(&format!(
            "another target of the service has the address {address}"
        ));
    }
}

fn check_slots(target: reader::Table<'_>) {
    let slots = target
        .required("slots")
        .and_then(|s| s.integer(1..=bundle::MAX_SLOTS));
    let Some(connections) = target.optional("connections") else {
        return;
    };
    let number = connections.integer(1..=bundle::MAX_SLOTS);
    if let (Some(slots), Some(number)) = (slots, number)
        && number < slots
    {
        connections.add(&format!(
            "{number} connections are fewer than the target's {slots} slots"
        ));
    }
}

fn check_routes(routes: &[reader::Table<'_>], declared: &Declared<'_>) {
    let mut seen = BTreeSet::new();
    for route in routes {
        route.check_keys(&[
            "host",
            "prefix",
            "service",
            "idempotent",
            "repeatable",
            "timeout_ms",
            "objective_ms",
            "tries",
            "tier",
            "split",
            "open",
        ]);
        route.optional("open").and_then(|o| o.boolean());
        check_destination(*route, declared);
        check_request_rules(*route, declared);
        let host = route.optional("host").and_then(check_host);
        let methods = route.optional("idempotent");
        for method in methods.map_or(Vec::new(), |m| m.array()) {
            check_method(method);
        }
        let Some(value) = route.required("prefix") else {
            continue;
        };
        let Some(prefix) = check_prefix(value) else {
            continue;
        };
        if !seen.insert((host, prefix)) {
            value.add(&format!(
                "another route has the prefix `{prefix}` for the same host"
            ));
        }
    }
}

/// Checks the destination of a route: one service, or several by weight.
fn check_destination(route: reader::Table<'_>, declared: &Declared<'_>) {
    let Some(split) = route.optional("split") else {
        check_reference(route, "service", "service", &declared.services);
        return;
    };
    if let Some(service) = route.optional("service") {
        service.add("a route has either `service` or `split`, not both");
    }
    let mut total = 0;
    for share in split.tables() {
        share.check_keys(&["service", "weight"]);
        check_reference(share, "service", "service", &declared.services);
        let weight = share.required("weight");
        total += weight
            .and_then(|w| w.integer(0..=MAX_WEIGHT))
            .unwrap_or_default();
    }
    if total == 0 {
        split.add("the weights of a split add up to 0; give at least one service a weight above 0");
    }
}

/// Checks the rules of a route for its requests.
fn check_request_rules(route: reader::Table<'_>, declared: &Declared<'_>) {
    route.optional("repeatable").and_then(|r| r.boolean());
    check_range(route, "timeout_ms", 1, MAX_TIME_MS);
    check_range(route, "objective_ms", 1, MAX_TIME_MS);
    check_range(route, "tries", 1, MAX_TRIES);
    if route.optional("tier").is_some() {
        check_reference(route, "tier", "tier", &declared.tiers);
    }
}

fn check_host(value: reader::Value<'_>) -> Option<&str> {
    let host = value.string()?.str;
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || ".-_[]:".contains(c);
    let bracketed = host.starts_with('[') && host.ends_with(']');
    let port = host.contains(':') && !bracketed;
    if host.is_empty() || !host.chars().all(is_allowed) || port {
        value.add(&format!(
            "`{host}` is not a valid host; write it in lower case and without a port"
        ));
    }
    Some(host)
}

fn check_prefix(value: reader::Value<'_>) -> Option<&str> {
    let prefix = value.string()?.str;
    if prefix == "/" {
        return Some(prefix);
    }
    let segment = |s: &str| {
        let printable = s.bytes().all(|b| b.is_ascii_graphic());
        !s.is_empty() && s != "." && s != ".." && printable && !s.contains(['?', '#', '\\'])
    };
    let segments = prefix.strip_prefix('/');
    if !segments.is_some_and(|s| s.split('/').all(segment)) {
        value.add(&format!(
            "`{prefix}` is not a valid prefix; write `/` or segments like `/fees/2026`, without a trailing slash, a query, \
             `.` or `..`"
        ));
    }
    Some(prefix)
}

fn check_method(value: reader::Value<'_>) {
    let Some(method) = value.string() else { return };
    let upper = method.str.bytes().all(|b| b.is_ascii_uppercase());
    if method.str.is_empty() || !upper {
        value.add(&format!(
            "`{}` is not a valid method; write it in upper case",
            method.str
        ));
    }
}

/// Checks the field `name` of `table`, which must be unique among the tables of its kind.
fn unique_name<'a>(
    table: reader::Table<'a>,
    kind: &str,
    seen: &mut BTreeSet<&'a str>,
) -> Option<&'a str> {
    let value = table.required("name")?;
    let name = check_name(value)?;
    if !seen.insert(name) {
        value.add(&format!("duplicate {kind} name `{name}`"));
    }
    Some(name)
}

fn check_name(value: reader::Value<'_>) -> Option<&str> {
    let name = value.string()?.str;
    if !is_name(name) {
        value.add(&format!(
            "`{name}` is not a valid name; use 1 to {MAX_NAME_CHARS} of the characters \
             a-z, A-Z, 0-9, `-`, `_` and `.`"
        ));
    }
    Some(name)
}

/// Checks that the field `key` of `table` refers to one of `names`.
fn check_reference(table: reader::Table<'_>, key: &str, kind: &str, names: &BTreeSet<&str>) {
    let Some(value) = table.required(key) else {
        return;
    };
    let Some(name) = value.string() else { return };
    if !names.contains(name.str) {
        value.add(&format!("undefined {kind} `{}`", name.str));
    }
}

/// Checks that a value is one of `choices`.
fn check_choice(value: reader::Value<'_>, choices: &[&str]) {
    let Some(chosen) = value.string() else { return };
    if !choices.contains(&chosen.str) {
        value.add(&format!(
            "unknown value `{}`; expected one of: {}",
            chosen.str,
            choices.join(", ")
        ));
    }
}

fn check_range(table: reader::Table<'_>, key: &str, least: u64, most: u64) {
    if let Some(value) = table.optional(key) {
        value.integer(least..=most);
    }
}

/// Returns whether `name` is a valid name of a tier, an organisation, a service, a target or a failure domain.
pub(crate) fn is_name(name: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    (1..=MAX_NAME_CHARS).contains(&name.len()) && name.bytes().all(is_allowed)
}

/// Returns whether `text` is a SHA-256 digest in lower-case hexadecimal.
pub(crate) fn is_digest(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    text.len() == DIGEST_CHARS && text.bytes().all(is_allowed)
}
