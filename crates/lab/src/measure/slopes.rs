//! How the bundle's costs grow: size, parse, difference, memory and look-ups at parts of the largest size.

use std::fmt::Write;
use std::hint;
use std::time;

use peridotspread::coordination::{homes, member};
use peridotspread::state::bundle::{self, diff, edits};
use peridotspread::state::{ids, index};
use serde::Serialize;

use super::round;
use crate::fleet::process;

/// The largest size.
const DAEMONS: usize = 2_600;
const DOMAINS: usize = 7;
const SERVICES: usize = 1_100;
const TARGETS: usize = 26_000;
const ROUTES: usize = 49_000;
const ORGANISATIONS: usize = 110_000;
/// Look-ups that are timed.
const LOOKUPS: u32 = 20_000;
/// Rankings that are timed.
const RANKINGS: u32 = 200;

/// What was measured at one part of the largest size.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Slope {
    /// The part in percent.
    pub part_pct: u32,
    /// Routes of the bundle.
    pub routes: usize,
    /// Organisations of the bundle.
    pub organisations: usize,
    /// Targets of the bundle.
    pub targets: usize,
    /// Daemons of the fleet.
    pub daemons: usize,
    /// The bundle's text in bytes.
    pub bundle_bytes: usize,
    /// Parsing and checking the text.
    pub parse_ms: f64,
    /// Preparing the look-ups.
    pub index_ms: f64,
    /// Finding the edits of a change of one route.
    pub edits_ms: f64,
    /// The edits' bytes.
    pub edits_bytes: usize,
    /// Applying the edits.
    pub apply_ms: f64,
    /// Comparing the two bundles for people.
    pub difference_ms: f64,
    /// Resident memory that text, bundle and look-ups take.
    pub held_mb: f64,
    /// The most resident memory while the bundle was parsed.
    pub peak_mb: f64,
    /// Finding a request's route.
    pub route_ns: f64,
    /// Finding a request's caller.
    pub caller_ns: f64,
    /// Ranking the fleet's daemons for one cell.
    pub rank_us: f64,
}

/// Measures one part, in percent of the largest size.
///
/// # Panics
///
/// Panics if the bundle that it writes is no valid one.
pub fn measure(part_pct: u32) -> Slope {
    let of = |n: usize| (n * part_pct as usize).div_ceil(100);
    let before = memory();
    let text = text(1, &of);
    let start = time::Instant::now();
    let bundle = bundle::parse("bundle.toml", &text).expect("the text is a valid bundle");
    let parse_ms = ms(start);
    let start = time::Instant::now();
    let index = index::Index::new(&bundle);
    let index_ms = ms(start);
    let held = memory();
    let next = text.replacen("prefix = \"/r0/", "prefix = \"/changed/", 1);
    let start = time::Instant::now();
    let edits = edits::between(&text, &next);
    let edits_ms = ms(start);
    let start = time::Instant::now();
    let applied = edits::apply(&text, &edits).expect("the edits are of this text");
    let apply_ms = ms(start);
    let changed = bundle::parse("bundle.toml", &applied).expect("the text is a valid bundle");
    let start = time::Instant::now();
    let differences = diff::between(&bundle, &changed);
    let difference_ms = ms(start);
    assert!(!differences.is_empty(), "the bundles differ");
    Slope {
        part_pct,
        routes: bundle.routes.len(),
        organisations: bundle.organisations.len(),
        targets: bundle.services.iter().map(|s| s.targets.len()).sum(),
        daemons: of(DAEMONS),
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
        rank_us: rank_us(of(DAEMONS)),
    }
}

/// Measures one part in a process of its own, so that memory is that of the part alone; returns its JSON line.
pub fn measure_isolated(part_pct: u32) -> Option<String> {
    let line = process::run_lab(&["slopes", "--only", &part_pct.to_string()])?;
    Some(line.trim().to_owned())
}

fn ms(start: time::Instant) -> f64 {
    round(start.elapsed().as_secs_f64() * 1e3)
}

/// Resident memory of this process in mebibytes.
struct Memory {
    now_mb: f64,
    peak_mb: f64,
}

fn memory() -> Memory {
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

/// Writes a bundle of the given part of the largest size.
fn text(version: u64, of: &impl Fn(usize) -> usize) -> String {
    let services = of(SERVICES);
    let mut text = format!("version = {version}\n\n");
    for tier in ["paying", "member", "guest"] {
        let _ = writeln!(text, "[[tiers]]\nname = \"{tier}\"\n");
    }
    for i in 0..of(ORGANISATIONS) {
        let digest = index::token_digest(&token(i));
        let _ = writeln!(
            text,
            "[[organisations]]\nname = \"org-{i}\"\ntier = \"member\"\ncredentials = [\"{digest}\"]\n"
        );
    }
    for i in 0..services {
        let _ = writeln!(text, "[[services]]\nname = \"s{i}\"\nfloor = 1\n");
        for t in (i..of(TARGETS)).step_by(services) {
            let address = std::net::Ipv4Addr::from(0x0a00_0000 + t as u32);
            let _ = writeln!(
                text,
                "[[services.targets]]\nname = \"t{t}\"\naddress = \"{address}:8080\"\ndomain = \"fd-{}\"\nslots = 3\n",
                t % DOMAINS
            );
        }
    }
    for i in 0..of(ROUTES) {
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

/// Times `act` and returns nanoseconds a call.
fn ns(calls: u32, mut act: impl FnMut(usize)) -> f64 {
    let start = time::Instant::now();
    for i in 0..calls as usize {
        act(i);
    }
    round(start.elapsed().as_secs_f64() * 1e9 / f64::from(calls))
}

fn route_ns(index: &index::Index, bundle: &bundle::Bundle) -> f64 {
    let routes = bundle.routes.len();
    ns(LOOKUPS, |i| {
        let route = &bundle.routes[i * 7 % routes];
        let host = route.host.as_deref().unwrap_or_default();
        hint::black_box(index.route(bundle, host, &route.prefix));
    })
}

fn caller_ns(index: &index::Index, bundle: &bundle::Bundle) -> f64 {
    let organisations = bundle.organisations.len();
    let tokens: Vec<_> = (0..organisations).map(token).collect();
    ns(LOOKUPS, |i| {
        let token = &tokens[i * 7 % organisations];
        hint::black_box(index.caller(bundle, Some(token)));
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
    let each = ns(RANKINGS, |i| {
        let cell = ids::CellId::new(&format!("s{i}"), "fd-3");
        hint::black_box(homes::rank(&cell, &view));
    });
    round(each / 1e3)
}
