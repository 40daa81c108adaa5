//! The daemon's own settings: addresses, failure domain, the platform's place, keys and limits.

use std::collections::BTreeMap;
use std::net;
use std::path;

use serde::{Deserialize, Serialize};

use crate::state::bundle;
use crate::state::clock;
use crate::state::findings;
use crate::state::reader;

/// The settings of one daemon, as its TOML file gives them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The daemon's name, unique in the fleet.
    pub name: String,
    /// The failure domain that its host stands in.
    pub domain: String,
    /// The address for callers, HTTP/1.1 and HTTP/2.
    pub listen: net::SocketAddr,
    /// The address for other daemons, QUIC.
    pub peer: net::SocketAddr,
    /// The address at which other daemons reach this one, where it is not `peer`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<net::SocketAddr>,
    /// The address for operators, HTTP.
    pub admin: net::SocketAddr,
    /// An address that tells whether the daemon is ready, HTTP, for a balancer that asks elsewhere than at `admin`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready: Option<net::SocketAddr>,
    /// Where the platform answers.
    pub platform: Platform,
    /// Keys and certificates.
    pub keys: Keys,
    /// Limits of this daemon.
    #[serde(default)]
    pub limits: Limits,
    /// The least level of log records: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log")]
    pub log: String,
    /// Addresses for other daemons to join at before the platform answers, by daemon name.
    #[serde(default)]
    pub seeds: BTreeMap<String, net::SocketAddr>,
}

/// Where the platform answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Its HTTP address as IP and port.
    pub address: net::SocketAddr,
    /// How long one call may take, in milliseconds.
    #[serde(default = "default_call")]
    pub timeout_ms: clock::Millis,
}

/// Keys and certificates, each a path to a PEM file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// The fleet's certificate authority; only its certificates get in as peers.
    pub authority: path::PathBuf,
    /// This daemon's certificate, which names it.
    pub certificate: path::PathBuf,
    /// This daemon's private key.
    pub key: path::PathBuf,
    /// Public keys of the operators who may sign bundles.
    pub operators: Vec<path::PathBuf>,
    /// The SHA-256 digest of the token that operators show at the admin address, in hexadecimal.
    pub admin_token: String,
    /// The certificate shown to callers; plain HTTP where absent.
    #[serde(default)]
    pub public_certificate: Option<path::PathBuf>,
    /// The private key of the certificate shown to callers.
    #[serde(default)]
    pub public_key: Option<path::PathBuf>,
}

/// Limits of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The bytes of a request's or an answer's head.
    pub head_bytes: usize,
    /// The header fields of a request's or an answer's head.
    pub head_fields: usize,
    /// The callers' connections at a time.
    pub connections: usize,
    /// The requests of callers at a time.
    pub requests: usize,
    /// The bytes of a request's body that are kept for a retry.
    pub replay_bytes: usize,
    /// How long a leaving daemon goes on to take callers that the balancer still sends, in milliseconds.
    pub linger_ms: clock::Millis,
    /// How long a graceful shutdown waits for requests in flight after that, in milliseconds.
    pub drain_ms: clock::Millis,
    /// How long a caller may take to send a request's head, in milliseconds.
    pub head_ms: clock::Millis,
    /// How long a caller's connection may be idle between two requests, in milliseconds; `head_ms` at least.
    pub idle_ms: clock::Millis,
    /// The bytes of a request's body.
    pub body_bytes: u64,
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
        }
    }
}

impl Limits {
    /// Returns the limits with what a bundle says of callers in place of the settings' own.
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
    /// Returns the address at which other daemons reach this one.
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

/// The log levels by name.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// The longest time that settings may name, in milliseconds: an hour.
const LONGEST_MS: u64 = 3_600_000;

/// The most of anything that settings may count, but for bytes.
const MOST: u64 = 10_000_000;

/// The most bytes that settings may allow for a head or for the body kept for a retry.
const MOST_BYTES: u64 = 64 * 1024 * 1024;

/// Parses and checks the text of a settings file; `file` is the name that findings give.
///
/// # Errors
///
/// Returns every finding with its line if the text holds no valid settings.
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
        root.required(key).and_then(address);
    }
    root.optional("ready").and_then(address);
    let peer = root.required("peer");
    match (peer, root.optional("advertise")) {
        (peer, Some(advertise)) => {
            peer.and_then(address);
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
            "`{}` is no name: 1 to 64 of the characters a-z, A-Z, 0-9, `-`, `_` and `.`",
            name.str
        ));
    }
}

fn address(value: reader::Value<'_>) -> Option<net::SocketAddr> {
    value.parsed("an address as IP and port")
}

/// Checks an address that other processes must reach; port 0 stands for one that the system chooses.
fn check_reachable(value: reader::Value<'_>) {
    if address(value).is_some_and(|a| a.ip().is_unspecified()) {
        value.add("other hosts must reach this address; name the host's own IP");
    }
}

fn check_platform(table: reader::Table<'_>) {
    table.check_keys(&["address", "timeout_ms"]);
    if let Some(address) = table.required("address") {
        check_reachable(address);
    }
    within(table, "timeout_ms", 1, LONGEST_MS);
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
        operators.add("without an operator's public key no bundle is ever adopted");
    }
    if let Some(token) = table.required("admin_token")
        && token
            .string()
            .is_some_and(|t| !bundle::check::is_digest(t.str))
    {
        token.add("the SHA-256 digest of a token expected, as 64 hexadecimal digits in lower case");
    }
    let certificate = table.optional("public_certificate");
    let key = table.optional("public_key");
    for value in [certificate, key].into_iter().flatten() {
        value.string();
    }
    if certificate.is_some() != key.is_some() {
        table.add("`public_certificate` and `public_key` come together or not at all");
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
    ]);
    within(table, "head_bytes", 1024, MOST_BYTES);
    within(table, "head_fields", 1, MOST);
    within(table, "connections", 1, MOST);
    within(table, "requests", 1, MOST);
    within(table, "replay_bytes", 0, MOST_BYTES);
    within(table, "linger_ms", 0, LONGEST_MS);
    within(table, "drain_ms", 0, LONGEST_MS);
    within(table, "head_ms", 1, LONGEST_MS);
    within(table, "idle_ms", 1, LONGEST_MS);
    within(table, "body_bytes", 1, u64::MAX);
}

fn check_log(value: reader::Value<'_>) {
    let Some(level) = value.string() else { return };
    if !LOG_LEVELS.contains(&level.str) {
        value.add(&format!(
            "unknown log level `{}`; known: {}",
            level.str,
            LOG_LEVELS.join(", ")
        ));
    }
}

fn within(table: reader::Table<'_>, key: &str, least: u64, most: u64) {
    if let Some(value) = table.optional(key) {
        value.integer(least..=most);
    }
}
