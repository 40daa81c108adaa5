//! The settings of one daemon: addresses, failure domain, access to the platform, keys and limits.

use std::collections::BTreeMap;
use std::net;
use std::path;

use serde::{Deserialize, Serialize};

use crate::state::bundle;
use crate::state::clock;
use crate::state::findings;
use crate::state::reader;

/// The settings of one daemon, read from its TOML file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the daemon, unique in the fleet.
    pub name: String,
    /// The failure domain of the host.
    pub domain: String,
    /// The address that callers connect to, for HTTP/1.1 and HTTP/2.
    pub listen: net::SocketAddr,
    /// The address that other daemons connect to, for QUIC.
    pub peer: net::SocketAddr,
    /// The address that other daemons use to reach this one, if it differs from `peer`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<net::SocketAddr>,
    /// The address of the admin interface, for HTTP.
    pub admin: net::SocketAddr,
    /// The address of the readiness check, for HTTP, if a load balancer must use another address than `admin`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready: Option<net::SocketAddr>,
    /// The access to the platform.
    pub platform: Platform,
    /// The keys and certificates.
    pub keys: Keys,
    /// The resource and time limits.
    #[serde(default)]
    pub limits: Limits,
    /// The minimum severity of log records: `error`, `warn`, `info`, `debug` or `trace`; `off` disables logging.
    #[serde(default = "default_log")]
    pub log: String,
    /// The addresses of daemons through which this one joins the fleet before the platform answers, by daemon name.
    #[serde(default)]
    pub seeds: BTreeMap<String, net::SocketAddr>,
}

/// The access to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The HTTP address as IP and port.
    pub address: net::SocketAddr,
    /// The timeout of a call, in milliseconds.
    #[serde(default = "default_call")]
    pub timeout_ms: clock::Millis,
}

/// The keys and certificates; all paths refer to PEM files.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// The certificate authority of the fleet; peers must present a certificate that it issued.
    pub authority: path::PathBuf,
    /// The certificate of this daemon, which contains its name.
    pub certificate: path::PathBuf,
    /// The private key of this daemon.
    pub key: path::PathBuf,
    /// The public keys of the operators who may sign bundles.
    pub operators: Vec<path::PathBuf>,
    /// The SHA-256 digest of the bearer token for the admin interface, in hexadecimal.
    pub admin_token: String,
    /// The certificate presented to callers; if absent, the daemon serves plain HTTP.
    #[serde(default)]
    pub public_certificate: Option<path::PathBuf>,
    /// The private key of the certificate presented to callers.
    #[serde(default)]
    pub public_key: Option<path::PathBuf>,
}

/// The resource and time limits of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum size of a request or response head, in bytes.
    pub head_bytes: usize,
    /// The maximum number of header fields in a request or response head.
    pub head_fields: usize,
    /// The maximum number of concurrent connections of callers.
    pub connections: usize,
    /// The maximum number of concurrent requests of callers.
    pub requests: usize,
    /// The maximum size of a request body that is buffered for retries, in bytes.
    pub replay_bytes: usize,
    /// How long a daemon that is shutting down accepts requests that the load balancer still sends, in milliseconds.
    pub linger_ms: clock::Millis,
    /// How long a graceful shutdown then waits for requests in flight, in milliseconds.
    pub drain_ms: clock::Millis,
    /// The time limit for receiving a request head, in milliseconds; the greater of this and `idle_ms` applies.
    pub head_ms: clock::Millis,
    /// The maximum idle time of a caller's connection between two requests, in milliseconds; a value
    /// below `head_ms` has no effect.
    pub idle_ms: clock::Millis,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// The time within which a change that a platform has confirmed must be in force, in milliseconds. The default is not
    /// written, since earlier builds refuse settings that they do not know.
    #[serde(skip_serializing_if = "is_default_apply")]
    pub apply_ms: clock::Millis,
    /// The most bytes that the daemon holds for callers, targets and other daemons; absent if there is no limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory_bytes: Option<u64>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: 64 * 1024,
            head_fields: 100,
            connections: 10_000,
            requests: 5_000,
            replay_bytes: 64 * 1024,
            linger_ms: clock::Millis(3_000),
            drain_ms: clock::Millis(60_000),
            head_ms: clock::Millis(10_000),
            idle_ms: clock::Millis(10_000),
            body_bytes: u64::MAX,
            apply_ms: DEFAULT_APPLY,
            memory_bytes: None,
        }
    }
}

fn is_default_apply(apply: &clock::Millis) -> bool {
    *apply == DEFAULT_APPLY
}

impl Limits {
    /// Returns the limits, overridden by the limits for callers in a bundle.
    pub fn with_caller_limits(&self, callers: Option<&bundle::Callers>) -> Limits {
        let mut limits = self.clone();
        if let Some(callers) = callers {
            limits.head_bytes = callers.head_bytes;
            limits.head_ms = callers.head_ms;
            limits.idle_ms = callers.idle_ms;
            limits.body_bytes = callers.body_bytes;
        }
        limits
    }
}

impl Settings {
    /// Returns the address that other daemons use to reach this one.
    pub fn advertised_address(&self) -> net::SocketAddr {
        self.advertise.unwrap_or(self.peer)
    }
}

fn default_log() -> String {
    "info".to_owned()
}

fn default_call() -> clock::Millis {
    clock::Millis(1_000)
}

/// The names of the log levels.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// The maximum of all durations, in milliseconds (one hour).
const MAX_TIME_MS: u64 = 3_600_000;

/// The default of [`Limits::apply_ms`].
const DEFAULT_APPLY: clock::Millis = clock::Millis(2_000);

/// The shortest time within which a change can be in force everywhere, in milliseconds.
const MIN_APPLY_MS: u64 = 500;

/// The maximum of all counts, except sizes in bytes.
const MAX_COUNT: u64 = 10_000_000;

/// The smallest memory budget, in bytes: several requests with the longest heads and buffered bodies.
const MIN_MEMORY_BYTES: u64 = 1024 * 1024;
/// The maximum of the limits for a head and for the body buffered for retries, in bytes.
const MAX_BUFFER_BYTES: u64 = 64 * 1024 * 1024;

/// Parses and checks the text of a settings file; findings refer to it by the name `file`.
///
/// # Errors
///
/// Returns every finding with its line if the text is not valid settings.
pub fn parse(file: &str, text: &str) -> Result<Settings, findings::Findings> {
    let reader = reader::Reader::new(file, text);
    {
        let table = reader.parse();
        check_root(reader.root(&table));
    }
    reader.finish()
}

fn check_root(root: reader::Table<'_>) {
    root.check_keys(&[
        "name",
        "domain",
        "listen",
        "peer",
        "advertise",
        "admin",
        "ready",
        "platform",
        "keys",
        "limits",
        "log",
        "seeds",
    ]);
    for key in ["name", "domain"] {
        if let Some(value) = root.required(key) {
            check_name(value);
        }
    }
    for key in ["listen", "admin"] {
        root.required(key).and_then(parse_address);
    }
    root.optional("ready").and_then(parse_address);
    let peer = root.required("peer");
    match (peer, root.optional("advertise")) {
        (peer, Some(advertise)) => {
            peer.and_then(parse_address);
            check_reachable(advertise);
        }
        (Some(peer), None) => check_reachable(peer),
        (None, None) => {}
    }
    if let Some(platform) = root.required("platform").and_then(|p| p.table()) {
        check_platform(platform);
    }
    if let Some(keys) = root.required("keys").and_then(|k| k.table()) {
        check_keys(keys);
    }
    if let Some(limits) = root.optional("limits").and_then(|l| l.table()) {
        check_limits(limits);
    }
    if let Some(log) = root.optional("log") {
        check_log(log);
    }
    let seeds = root.optional("seeds").and_then(|s| s.table());
    for (_, seed) in seeds.iter().flat_map(reader::Table::entries) {
        check_reachable(seed);
    }
}

fn check_name(value: reader::Value<'_>) {
    let Some(name) = value.string() else { return };
    if !bundle::check::is_name(name.str) {
        value.add(&format!(
            "`{}` is not a valid name; use 1 to 64 of the characters a-z, A-Z, 0-9, `-`, `_` and `.`",
            name.str
        ));
    }
}

fn parse_address(value: reader::Value<'_>) -> Option<net::SocketAddr> {
    value.parsed("an address as IP and port")
}

/// Checks an address that hosts connect to, which must not be unspecified; any port passes.
fn check_reachable(value: reader::Value<'_>) {
    if parse_address(value).is_some_and(|a| a.ip().is_unspecified()) {
        value.add("other hosts must be able to reach this address; use the IP address of the host");
    }
}

fn check_platform(table: reader::Table<'_>) {
    table.check_keys(&["address", "timeout_ms"]);
    if let Some(address) = table.required("address") {
        check_reachable(address);
    }
    check_range(table, "timeout_ms", 1, MAX_TIME_MS);
}

fn check_keys(table: reader::Table<'_>) {
    table.check_keys(&[
        "authority",
        "certificate",
        "key",
        "operators",
        "admin_token",
        "public_certificate",
        "public_key",
    ]);
    for key in ["authority", "certificate", "key"] {
        table.required(key).and_then(|v| v.string());
    }
    if let Some(operators) = table.required("operators")
        && operators.strings().is_empty()
    {
        operators.add("no public key of an operator is listed, so no bundle would ever be adopted");
    }
    if let Some(token) = table.required("admin_token")
        && token
            .string()
            .is_some_and(|t| !bundle::check::is_digest(t.str))
    {
        token.add("expected the SHA-256 digest of a token, as 64 hexadecimal digits in lower case");
    }
    let certificate = table.optional("public_certificate");
    let key = table.optional("public_key");
    for value in [certificate, key].into_iter().flatten() {
        value.string();
    }
    if certificate.is_some() != key.is_some() {
        table.add("`public_certificate` and `public_key` must be given together");
    }
}

fn check_limits(table: reader::Table<'_>) {
    table.check_keys(&[
        "head_bytes",
        "head_fields",
        "connections",
        "requests",
        "replay_bytes",
        "linger_ms",
        "drain_ms",
        "head_ms",
        "idle_ms",
        "body_bytes",
        "apply_ms",
        "memory_bytes",
    ]);
    check_range(table, "head_bytes", 1024, MAX_BUFFER_BYTES);
    check_range(table, "head_fields", 1, MAX_COUNT);
    check_range(table, "connections", 1, MAX_COUNT);
    check_range(table, "requests", 1, MAX_COUNT);
    check_range(table, "replay_bytes", 0, MAX_BUFFER_BYTES);
    check_range(table, "linger_ms", 0, MAX_TIME_MS);
    check_range(table, "drain_ms", 0, MAX_TIME_MS);
    check_range(table, "head_ms", 1, MAX_TIME_MS);
    check_range(table, "idle_ms", 1, MAX_TIME_MS);
    check_range(table, "body_bytes", 1, u64::MAX);
    check_range(table, "apply_ms", MIN_APPLY_MS, MAX_TIME_MS);
    check_range(table, "memory_bytes", MIN_MEMORY_BYTES, u64::MAX);
}

fn check_log(value: reader::Value<'_>) {
    let Some(level) = value.string() else { return };
    if !LOG_LEVELS.contains(&level.str) {
        value.add(&format!(
            "unknown log level `{}`; expected one of: {}",
            level.str,
            LOG_LEVELS.join(", ")
        ));
    }
}

fn check_range(table: reader::Table<'_>, key: &str, least: u64, most: u64) {
    if let Some(value) = table.optional(key) {
        value.integer(least..=most);
    }
}
