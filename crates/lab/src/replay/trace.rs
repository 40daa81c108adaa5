//! Input files of a replay: the traces in `tests/traces` and the fleets that they are replayed on in `tests/fleets`.
//!
//! `docs/TRACES.md` documents both formats.

use std::fs;
use std::path;

use peridotspread::state::bundle;
use peridotspread::state::clock;
use serde::Deserialize;
use snafu::ResultExt;

/// A recorded or generated sequence of requests and faults, with the outcomes that the fleet must reach.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// The family that measurements are grouped by.
    pub family: String,
    /// A description of the trace for its readers.
    pub about: String,
    /// The names of the fleets that the trace is replayed on.
    pub fleets: Vec<String>,
    /// The services that the trace is replayed on, one in each run; empty for all services of the fleet.
    #[serde(default)]
    pub services: Vec<String>,
    /// The time for which requests arrive, in milliseconds.
    pub span_ms: clock::Millis,
    /// The number of targets that may be ejected, instead of the number that follows from the floor of the service.
    #[serde(default)]
    pub ejectable: Option<usize>,
    /// The delay beyond a request's own service time from which a served request counts as harmed, in milliseconds.
    #[serde(default = "default_harm")]
    pub harm_ms: clock::Millis,
    /// The requests to generate at random.
    #[serde(default)]
    pub arrivals: Option<Arrivals>,
    /// The streams of requests of organisations and routes. A trace with streams is replayed under both orders of
    /// service, instead of the baseline.
    #[serde(default, rename = "stream")]
    pub streams: Vec<Stream>,
    /// The requests that the trace lists one by one.
    #[serde(default, rename = "request")]
    pub requests: Vec<ListedRequest>,
    /// The faults of targets, links, daemons and the platform's table.
    #[serde(default, rename = "condition")]
    pub conditions: Vec<Condition>,
    /// The bounds that the runs of the trace must keep.
    #[serde(default, rename = "outcome")]
    pub outcomes: Vec<Outcome>,
}

/// Requests that arrive at random, independently of each other.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrivals {
    /// The load as a share of the capacity of all slots of the service.
    #[serde(default)]
    pub load: f64,
    /// The load in requests per second; used if `load` is absent.
    #[serde(default)]
    pub rate: f64,
    /// The share of requests in each tier, first tier first.
    pub tiers: Vec<f64>,
    /// The time from arrival to the deadline of a request, in milliseconds.
    pub deadline_ms: clock::Millis,
    /// The number of times that a caller resends a request that was not served, with the same key and through another
    /// entry.
    #[serde(default)]
    pub resends: u32,
}

/// Requests of one organisation and route that arrive at random, independently of each other. Of these, 3 in 100 take
/// seven times as long.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// The name of the organisation.
    pub organisation: String,
    /// The name of the route.
    pub route: String,
    /// The length of the body, in bytes.
    #[serde(default)]
    pub length: Option<u64>,
    /// The tier; tier 0 has the highest priority.
    #[serde(default)]
    pub tier: u8,
    /// Whether the requests are idempotent.
    pub idempotent: bool,
    /// The load as a share of the capacity of all slots of the service.
    pub load: f64,
    /// The median service time on a healthy target, in milliseconds.
    pub work_ms: clock::Millis,
    /// The time from arrival to the objective of a request, in milliseconds.
    pub objective_ms: clock::Millis,
    /// The time from arrival to the deadline of a request, in milliseconds.
    pub deadline_ms: clock::Millis,
    /// A time of higher load.
    #[serde(default)]
    pub surge: Option<Surge>,
}

/// A time during which the load of a stream is higher.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// The start, in milliseconds.
    pub from_ms: clock::Millis,
    /// The end, in milliseconds.
    pub to_ms: clock::Millis,
    /// The factor by which the load is higher.
    pub factor: f64,
}

/// A request that the trace lists.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedRequest {
    /// The time of arrival, in milliseconds.
    pub at_ms: clock::Millis,
    /// The index of the entry that it arrives at, from 0; random if absent.
    #[serde(default)]
    pub entry: Option<usize>,
    /// The tier of the caller; tier 0 has the highest priority.
    #[serde(default)]
    pub tier: u8,
    /// Whether the request is idempotent, so that it may run more than once.
    pub idempotent: bool,
    /// The idempotency key; at most one of the requests with the same key may run.
    #[serde(default)]
    pub key: Option<u64>,
    /// The time from arrival to its deadline, in milliseconds.
    pub deadline_ms: clock::Millis,
    /// The service time on a healthy target, in milliseconds; random if absent.
    #[serde(default)]
    pub work_ms: Option<clock::Millis>,
    /// Whether it crashes every target that runs it.
    #[serde(default)]
    pub crash: bool,
    /// The number of times that its caller resends it while it is not served.
    #[serde(default)]
    pub resends: u32,
}

/// A fault of some targets, or of the homes of their cells, for a period of time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Condition {
    /// The start of the fault, in milliseconds.
    pub from_ms: clock::Millis,
    /// The end of the fault, in milliseconds.
    pub to_ms: clock::Millis,
    /// The indices of the affected targets, from 0 in the order of the service; each run rotates them by its seed.
    #[serde(default)]
    pub targets: Vec<usize>,
    /// The index of the failure domain whose targets are all affected, from 0; each run rotates it by its seed.
    #[serde(default)]
    pub domain: Option<usize>,
    /// Whether all targets are affected; such a fault has a shared cause, so that no target may be ejected for it.
    #[serde(default)]
    pub all: bool,
    /// The half-period of a fault that comes and goes: it is active for this time, then inactive for the same time, and
    /// so on, in milliseconds.
    #[serde(default)]
    pub period_ms: Option<clock::Millis>,
    /// The kind of the fault.
    pub fault: Fault,
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", deny_unknown_fields)]
pub enum Fault {
    /// The targets stall: requests make no progress.
    Stall,
    /// Requests take longer than on a healthy target.
    Slow {
        /// The factor by which service times are multiplied.
        factor: f64,
    },
    /// Some of the requests fail.
    Fail {
        /// The share of requests that fail, from 0 to 1.
        share: f64,
    },
    /// The targets shed every request: they refuse it without running it.
    Shed,
    /// The targets drain: they refuse new requests without running them and finish those in flight. The list of targets
    /// marks them as leaving only after a delay.
    Drain {
        /// The delay until the list of targets marks them as leaving, in milliseconds.
        lag_ms: clock::Millis,
    },
    /// The targets restart: running requests break, connections fail while the fault lasts, and the targets are cold
    /// afterwards.
    Restart,
    /// One direction of the link between the targets and the home of their cell is lost.
    TargetLink {
        /// Whether responses are lost, instead of requests.
        answers: bool,
    },
    /// One direction of the link between the home of the targets' cell and all other daemons is lost.
    PeerLink {
        /// Whether messages from the home are lost, instead of messages to it.
        sent: bool,
    },
    /// The process of the home of the targets' cell is paused.
    Pause,
    /// The platform's table does not respond.
    Table,
}

/// Bounds that the policy of the fleet must keep when the trace is replayed.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Outcome {
    /// The fleet that the bounds apply to; all fleets if absent.
    pub fleet: Option<String>,
    /// The maximum time from the onset of a fault to the last new request at the gray target, in milliseconds.
    pub detect_ms: Option<clock::Millis>,
    /// The maximum number of false ejections.
    pub false_ejections: Option<f64>,
    /// The minimum share of requests served in each tier, first tier first.
    pub served: Vec<f64>,
    /// The maximum number of harmed requests, as a share of those that the baseline policy harms in the same runs.
    pub harm_ratio: Option<f64>,
    /// The maximum number of target restarts that requests cause in one run.
    pub crashes: Option<usize>,
    /// The minimum worth of the answers, as a multiple of that under the order of arrival in the same runs.
    pub worth_ratio: Option<f64>,
    /// The minimum served share of each stream, as a share of that of all requests.
    pub least_ratio: Option<f64>,
}

/// The fleet of a user: its daemons, failure domains, services and rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The name of the user.
    pub name: String,
    /// The number of daemons, distributed evenly over the failure domains.
    pub daemons: usize,
    /// The names of the failure domains.
    pub domains: Vec<String>,
    /// The one-way latency between failure domains, in milliseconds.
    pub hop_ms: clock::Millis,
    /// The ejection rules of each service.
    pub ejection: bundle::Ejection,
    /// The retry rules of each service.
    pub retry: bundle::Retry,
    /// The services of the fleet.
    #[serde(rename = "service")]
    pub services: Vec<Service>,
}

/// A service of a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name of the service.
    pub name: String,
    /// The number of targets, distributed evenly over the failure domains.
    pub targets: usize,
    /// The number of requests that each target runs at a time.
    pub slots: usize,
    /// The minimum number of targets that ejections must leave in use.
    pub floor: usize,
    /// The share of idempotent requests, from 0 to 1; the others have a key.
    pub idempotent: f64,
    /// The median service time of a request on a healthy target, in milliseconds.
    pub work_ms: clock::Millis,
    /// The standard deviation of the logarithm of the service time, which has a log-normal distribution.
    pub spread: f64,
}

/// An error of reading a trace or a fleet.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// The file or directory cannot be read.
    #[snafu(display("failed to read {}", path.display()))]
    Read {
        /// The path of the file.
        path: path::PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not a valid trace or fleet.
    #[snafu(display("{} is not a valid trace or fleet; docs/TRACES.md documents the format", path.display()))]
    Parse {
        /// The path of the file.
        path: path::PathBuf,
        /// The parse error, with its line.
        source: toml::de::Error,
    },
}

fn default_harm() -> clock::Millis {
    clock::Millis(250)
}

/// Reads the trace at `path`.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is not a valid trace.
pub fn load(path: &path::Path) -> Result<Trace, Error> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    toml::from_str(&text).context(ParseSnafu { path })
}

/// Reads the fleets of the trace at `path` from the directory `fleets` next to the directory of the trace.
///
/// # Errors
///
/// Returns an error if a file cannot be read or is not a valid fleet.
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

/// Reads all traces in the directory `dir` with their fleets, in the order of their file names.
///
/// # Errors
///
/// Returns an error if the directory, a trace or a fleet cannot be read or parsed.
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
    /// Returns the services of `fleet` that the trace is replayed on.
    pub fn services<'a>(&self, fleet: &'a Fleet) -> Vec<&'a Service> {
        let named = |s: &&Service| self.services.is_empty() || self.services.contains(&s.name);
        fleet.services.iter().filter(named).collect()
    }
}
