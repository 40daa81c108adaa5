//! The daemon's own settings: addresses, failure domain, the platform's place, keys and limits.

use std::collections::BTreeMap;
use std::net;
use std::path;

use serde::{Deserialize, Serialize};

use crate::state::clock;
use crate::state::findings;

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
    /// The address for operators, HTTP.
    pub admin: net::SocketAddr,
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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
    /// How long a graceful shutdown waits for requests in flight, in milliseconds.
    pub drain_ms: clock::Millis,
    /// How long a caller may take to send a request's head, in milliseconds.
    pub head_ms: clock::Millis,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: 64 * 1024,
            head_fields: 100,
            connections: 10_000,
            requests: 5_000,
            replay_bytes: 64 * 1024,
            drain_ms: clock::Millis(60_000),
            head_ms: clock::Millis(10_000),
        }
    }
}

fn default_log() -> String {
    "info".to_owned()
}

fn default_call() -> clock::Millis {
    clock::Millis(1_000)
}

/// Parses and checks the text of a settings file; `file` is the name that findings give.
///
/// # Errors
///
/// Returns every finding with its line if the text holds no valid settings.
pub fn parse(file: &str, text: &str) -> Result<Settings, findings::Findings> {
    let mut found = findings::Findings::default();
    match toml::from_str::<Settings>(text) {
        Ok(settings) => found.into_result(settings),
        Err(e) => {
            let offset = e.span().map_or(0, |s| s.start);
            found.add_at(file, text, offset, e.message());
            Err(found)
        }
    }
}
