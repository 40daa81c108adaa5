//! The files of a replay: traces in `tests/traces`, and the fleets that they replay on in `tests/fleets`.
//!
//! `docs/TRACES.md` documents both formats.

use std::fs;
use std::path;

use peridotspread::state::bundle;
use peridotspread::state::clock;
use serde::Deserialize;
use snafu::ResultExt;

/// One recorded or generated course of events and its stated outcome.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// The family that measures are grouped by.
    pub family: String,
    /// What the trace shows, for a person.
    pub about: String,
    /// The names of the fleets that it replays on.
    pub fleets: Vec<String>,
    /// The services that it replays on, one a run; all of a fleet's where empty.
    #[serde(default)]
    pub services: Vec<String>,
    /// How long arrivals last, in milliseconds.
    pub span_ms: clock::Millis,
    /// The targets that may be ejected, in place of those that the fleet's floor leaves.
    #[serde(default)]
    pub ejectable: Option<usize>,
    /// The time beyond its own work from which an answered request counts as harmed, in milliseconds.
    #[serde(default = "default_harm")]
    pub harm_ms: clock::Millis,
    /// Generated arrivals.
    #[serde(default)]
    pub arrivals: Option<Arrivals>,
    /// Listed arrivals.
    #[serde(default, rename = "request")]
    pub requests: Vec<Listed>,
    /// What happens to targets and links.
    #[serde(default, rename = "condition")]
    pub conditions: Vec<Condition>,
    /// The stated outcome.
    #[serde(default, rename = "outcome")]
    pub outcomes: Vec<Outcome>,
}

/// Arrivals drawn at random, independent of each other.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrivals {
    /// The demand as a share of what all slots of the service carry.
    #[serde(default)]
    pub load: f64,
    /// The demand in requests a second, where `load` is absent.
    #[serde(default)]
    pub rate: f64,
    /// The shares of the tiers, first tier first.
    pub tiers: Vec<f64>,
    /// The time that callers wait, in milliseconds.
    pub deadline_ms: clock::Millis,
    /// How often a caller sends a request again that was not answered, with the same key and through another entry.
    #[serde(default)]
    pub resends: u32,
}

/// One listed arrival.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listed {
    /// When it arrives, in milliseconds.
    pub at_ms: clock::Millis,
    /// The entry that it arrives at, counted from 0; drawn where absent.
    #[serde(default)]
    pub entry: Option<usize>,
    /// The caller's tier; 0 is served first.
    #[serde(default)]
    pub tier: u8,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Its key, the same for requests that must run once together.
    #[serde(default)]
    pub key: Option<u64>,
    /// The time that its caller waits, in milliseconds.
    pub deadline_ms: clock::Millis,
    /// The time that a healthy target works on it, in milliseconds; drawn where absent.
    #[serde(default)]
    pub work_ms: Option<clock::Millis>,
    /// Whether it crashes each target that runs it.
    #[serde(default)]
    pub crash: bool,
    /// How often its caller sends it again while it is not answered.
    #[serde(default)]
    pub resends: u32,
}

/// What happens to some targets, or to the home of a target's cell, for a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Condition {
    /// When it sets in, in milliseconds.
    pub from_ms: clock::Millis,
    /// When it ends, in milliseconds.
    pub to_ms: clock::Millis,
    /// The targets, counted from 0 in the order of the service; a run rotates them by its seed.
    #[serde(default)]
    pub targets: Vec<usize>,
    /// All targets of one failure domain, counted from 0; a run rotates it by its seed.
    #[serde(default)]
    pub domain: Option<usize>,
    /// All targets: a shared cause, for which none may be ejected.
    #[serde(default)]
    pub all: bool,
    /// It holds for this long, then not for as long, and so on, in milliseconds.
    #[serde(default)]
    pub period_ms: Option<clock::Millis>,
    /// What happens.
    pub fault: Fault,
}

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", deny_unknown_fields)]
pub enum Fault {
    /// Requests make no progress.
    Stall,
    /// Work takes longer by a factor.
    Slow {
        /// The factor.
        factor: f64,
    },
    /// A share of the requests fails.
    Fail {
        /// The share, from 0 to 1.
        share: f64,
    },
    /// Every request is refused undone.
    Shed,
    /// New requests are refused undone, and those in flight end. The list of targets says so only after a time.
    Drain {
        /// How long the list lags, in milliseconds.
        lag_ms: clock::Millis,
    },
    /// The target restarts: what it runs breaks, no connection is had while the condition holds, and it is cold after.
    Restart,
    /// The home of the targets' cell hears its targets, but they do not hear it, or the reverse.
    TargetLink {
        /// Whether it is the answers that are lost, in place of the requests.
        answers: bool,
    },
    /// The home of the targets' cell hears the other daemons, but they do not hear it, or the reverse.
    PeerLink {
        /// Whether it is what the home sends that is lost, in place of what it is sent.
        sent: bool,
    },
    /// The process of the home of the targets' cell is paused.
    Pause,
    /// The platform's table does not answer.
    Table,
}

/// Bounds that the fleet keeps in each run of the trace.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Outcome {
    /// The fleet that it concerns; all where absent.
    pub fleet: Option<String>,
    /// The most time from onset to the last new request at a gray target, in milliseconds.
    pub detect_ms: Option<clock::Millis>,
    /// The most false ejections.
    pub false_ejections: Option<f64>,
    /// The least shares served by tier.
    pub served: Vec<f64>,
    /// The most requests harmed, as a share of those that the baseline policy harms in the same run.
    pub harm_ratio: Option<f64>,
    /// The most restarts of targets that requests cause.
    pub crashes: Option<usize>,
}

/// A user's fleet: its places, services and rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The user's name.
    pub name: String,
    /// The number of daemons, spread evenly over the failure domains.
    pub daemons: usize,
    /// The failure domains.
    pub domains: Vec<String>,
    /// The latency between failure domains, one way, in milliseconds.
    pub hop_ms: clock::Millis,
    /// The rules for ejection.
    pub ejection: bundle::Ejection,
    /// The rules for retries.
    pub retry: bundle::Retry,
    /// The services.
    #[serde(rename = "service")]
    pub services: Vec<Service>,
}

/// One service of a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// The number of targets, spread evenly over the failure domains.
    pub targets: usize,
    /// The slots of each target.
    pub slots: usize,
    /// The number of targets that ejection leaves at least.
    pub floor: usize,
    /// The share of requests that are idempotent; the others carry a key.
    pub idempotent: f64,
    /// The median time that a healthy target works on a request, in milliseconds.
    pub work_ms: clock::Millis,
    /// The spread of that time: the standard deviation of its logarithm.
    pub spread: f64,
}

/// Why a file could not be used.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// The file does not read.
    #[snafu(display("{} can't be read", path.display()))]
    Read {
        /// The file.
        path: path::PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file's text is no valid trace or fleet.
    #[snafu(display("{} is no valid trace or fleet; docs/TRACES.md has the format", path.display()))]
    Parse {
        /// The file.
        path: path::PathBuf,
        /// What is wrong, with its line.
        source: toml::de::Error,
    },
}

fn default_harm() -> clock::Millis {
    clock::Millis(250)
}

/// Reads a trace.
///
/// # Errors
///
/// Returns an error if the file does not read or holds no trace.
pub fn load(path: &path::Path) -> Result<Trace, Error> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    toml::from_str(&text).context(ParseSnafu { path })
}

/// Reads the fleets of a trace from the directory `fleets` beside the trace's own.
///
/// # Errors
///
/// Returns an error if a file does not read or holds no fleet.
pub fn load_fleets(trace: &Trace, path: &path::Path) -> Result<Vec<Fleet>, Error> {
    let root = path.parent().and_then(path::Path::parent);
    let dir = root.unwrap_or(path::Path::new("")).join("fleets");
    trace
        .fleets
        .iter()
        .map(|name| {
            let path = dir.join(format!("{name}.toml"));
            let text = fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
            toml::from_str(&text).context(ParseSnafu { path: &path })
        })
        .collect()
}

/// Reads all traces of a directory, in the order of their names.
///
/// # Errors
///
/// Returns an error if the directory or a trace does not read.
pub fn load_all(dir: &path::Path) -> Result<Vec<(Trace, Vec<Fleet>)>, Error> {
    let entries = fs::read_dir(dir).context(ReadSnafu { path: dir })?;
    let mut paths: Vec<_> = entries.flatten().map(|e| e.path()).collect();
    paths.retain(|p| p.extension().is_some_and(|e| e == "toml"));
    paths.sort();
    paths
        .iter()
        .map(|path| {
            let trace = load(path)?;
            let fleets = load_fleets(&trace, path)?;
            Ok((trace, fleets))
        })
        .collect()
}

impl Trace {
    /// Returns the services of `fleet` that the trace replays on.
    pub fn services<'a>(&self, fleet: &'a Fleet) -> Vec<&'a Service> {
        let named = |s: &&Service| self.services.is_empty() || self.services.contains(&s.name);
        fleet.services.iter().filter(named).collect()
    }
}
