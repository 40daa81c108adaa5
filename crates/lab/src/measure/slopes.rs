//! Measurement of how the costs of a bundle grow with its size: text size, parsing, comparison, memory and lookups at
//! fractions of the largest size.

use std::fmt::Write;
use std::hint;
use std::time;

use peridotspread::coordination::{homes, member};
use peridotspread::state::bundle::{self, diff, edits};
use peridotspread::state::{ids, index};
use serde::Serialize;

use super::round;
use crate::fleet::process;

/// The number of daemons at the largest size; the constants below are other quantities at that size.
const DAEMONS: usize = 2_600;
const DOMAINS: usize = 7;
const SERVICES: usize = 1_100;
const TARGETS: usize = 26_000;
const ROUTES: usize = 49_000;
const ORGANISATIONS: usize = 110_000;
/// The number of lookups that are timed.
const LOOKUPS: u32 = 20_000;
/// The number of rankings that are timed.
const RANKINGS: u32 = 200;

/// The measurements at one fraction of the largest size.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Slope {
    /// The fraction of the largest size, in percent.
    pub part_pct: u32,
    /// The number of routes in the bundle.
    pub routes: usize,
    /// The number of organisations in the bundle.
    pub organisations: usize,
    /// The number of targets in the bundle.
    pub targets: usize,
    /// The number of daemons in the fleet.
    pub daemons: usize,
    /// The size of the bundle's text, in bytes.
    pub bundle_bytes: usize,
    /// The time to parse and check the text, in milliseconds.
    pub parse_ms: f64,
    /// The time to build the lookup index, in milliseconds.
    pub index_ms: f64,
    /// The time to compute the edits for a change of one route, in milliseconds.
    pub edits_ms: f64,
    /// The size of these edits, in bytes.
    pub edits_bytes: usize,
    /// The time to apply the edits, in milliseconds.
    pub apply_ms: f64,
    /// The time to compute the readable difference of the two bundles, in milliseconds.
    pub difference_ms: f64,
    /// The resident memory of the text, the bundle and the index, in mebibytes.
    pub held_mb: f64,
    /// The peak resident memory while the bundle was parsed and indexed, in mebibytes.
    pub peak_mb: f64,
    /// The time to find the route of a request, in nanoseconds.
    pub route_ns: f64,
    /// The time to find the caller of a request, in nanoseconds.
    pub caller_ns: f64,
    /// The time to rank the daemons of the fleet for one cell, in microseconds.
    pub rank_us: f64,
}

/// Measures a bundle of `part_pct` percent of the largest size.
///
/// # Panics
///
/// Panics if the generated bundle is not valid.
pub fn measure(part_pct: u32) -> Slope {
    let scaled = |n: usize| (n * part_pct as usize).div_ceil(100);
    let before = read_memory();
    let text = bundle_text(1, &scaled);
    let start = time::Instant::now();
    let bundle = bundle::parse("bundle.toml", &text).expect("the text is a valid bundle");
    let parse_ms = elapsed_ms(start);
    let start = time::Instant::now();
    let index = index::Index::new(&bundle);
    let index_ms = elapsed_ms(start);
    let held = read_memory();
    let next = text.replacen("prefix = \"/r0/", "prefix = \"/changed/", 1);
    let start = time::Instant::now();
    let edits = edits::between(&text, &next);
    let edits_ms = elapsed_ms(start);
    let start = time::Instant::now();
    let applied = edits::apply(&text, &edits).expect("the edits apply to this text");
    let apply_ms = elapsed_ms(start);
    let changed = bundle::parse("bundle.toml", &applied).expect("the text is a valid bundle");
    let start = time::Instant::now();
    let differences = diff::between(&bundle, &changed);
    let difference_ms = elapsed_ms(start);
    assert!(!differences.is_empty(), "the bundles differ");
    Slope {
        part_pct,
        routes: bundle.routes.len(),
        organisations: bundle.organisations.len(),
        targets: bundle.services.iter().map(|s| s.targets.len()).sum(),
        daemons: scaled(DAEMONS),
        bundle_bytes: text.len(),
        parse_ms,
        index_ms,
        edits_ms,
        edits_bytes: edits::size(&edits),
        apply_ms,
        difference_ms,
        held_mb: round(held.now_mb - before.now_mb),
        peak_mb: round(held.peak_mb - before.now_mb),
        route_ns: route_ns(&index, &bundle),
        caller_ns: caller_ns(&index, &bundle),
        rank_us: rank_us(scaled(DAEMONS)),
    }
}

/// Runs [`measure`] in a separate process, so that memory is not affected by earlier measurements, and returns its JSON
/// line; `None` if the process fails.
pub fn measure_isolated(part_pct: u32) -> Option<String> {
    let line = process::run_lab(&["slopes", "--only", &part_pct.to_string()])?;
    Some(line.trim().to_owned())
}

fn elapsed_ms(start: time::Instant) -> f64 {
    round(start.elapsed().as_secs_f64() * 1e3)
}

/// The current and the peak resident memory of this process, in mebibytes.
struct Memory {
    now_mb: f64,
    peak_mb: f64,
}

fn read_memory() -> Memory {
    const KB_PER_MB: f64 = 1024.0;
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let read = |name: &str| {
        let line = status.lines().find(|l| l.starts_with(name));
        let number = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok());
        number.unwrap_or(0.0) / KB_PER_MB
    };
    Memory {
        now_mb: read("VmRSS:"),
        peak_mb: read("VmHWM:"),
    }
}

/// Returns the text of a bundle; `scaled` scales each quantity of the largest size.
fn bundle_text(version: u64, scaled: &impl Fn(usize) -> usize) -> String {
    let services = scaled(SERVICES);
    let mut text = format!("version = {version}\n\n");
    for tier in ["paying", "member", "guest"] {
        let _ = writeln!(text, "[[tiers]]\nname = \"{tier}\"\n");
    }
    for i in 0..scaled(ORGANISATIONS) {
        let digest = index::token_digest(&token(i));
        let _ = writeln!(
            text,
            "[[organisations]]\nname = \"org-{i}\"\ntier = \"member\"\ncredentials = [\"{digest}\"]\n"
        );
    }
    for i in 0..services {
        let _ = writeln!(text, "[[services]]\nname = \"s{i}\"\nfloor = 1\n");
        for t in (i..scaled(TARGETS)).step_by(services) {
            let address = std::net::Ipv4Addr::from(0x0a00_0000 + t as u32);
            let _ = writeln!(
                text,
                "[[services.targets]]\nname = \"t{t}\"\naddress = \"{address}:8080\"\ndomain = \"fd-{}\"\nslots = 3\n",
                t % DOMAINS
            );
        }
    }
    for i in 0..scaled(ROUTES) {
        let _ = writeln!(
            text,
            "[[routes]]\nhost = \"h{}.example\"\nprefix = \"/r{i}/list\"\nservice = \"s{}\"\n",
            i % services,
            i % services
        );
    }
    text
}

fn token(i: usize) -> String {
    format!("token-{i}")
}

/// Runs `call` `calls` times and returns the average time of a call, in nanoseconds.
fn time_calls(calls: u32, mut call: impl FnMut(usize)) -> f64 {
    let start = time::Instant::now();
    for i in 0..calls as usize {
        call(i);
    }
    round(start.elapsed().as_secs_f64() * 1e9 / f64::from(calls))
}

fn route_ns(index: &index::Index, bundle: &bundle::Bundle) -> f64 {
    let routes = bundle.routes.len();
    time_calls(LOOKUPS, |i| {
        let route = &bundle.routes[i * 7 % routes];
        let host = route.host.as_deref().unwrap_or_default();
        hint::black_box(index.route(bundle, host, &route.prefix));
    })
}

fn caller_ns(index: &index::Index, bundle: &bundle::Bundle) -> f64 {
    let organisations = bundle.organisations.len();
    let tokens: Vec<_> = (0..organisations).map(token).collect();
    time_calls(LOOKUPS, |i| {
        let token = &tokens[i * 7 % organisations];
        hint::black_box(index.caller(bundle, None, Some(token)));
    })
}

fn rank_us(daemons: usize) -> f64 {
    let member = |i: usize| member::Member {
        peer: ([127, 0, 0, 1], 1).into(),
        domain: format!("fd-{}", i % DOMAINS),
        incarnation: ids::Incarnation(1),
        liveness: member::Liveness::Alive,
        version: 1,
    };
    let view = member::View {
        members: (0..daemons).map(|i| (format!("d{i}"), member(i))).collect(),
    };
    let rank_ns = time_calls(RANKINGS, |i| {
        let cell = ids::CellId::new(&format!("s{i}"), "fd-3");
        hint::black_box(homes::rank(&cell, &view));
    });
    round(rank_ns / 1e3)
}
