//! The cost and the speed of the membership by the fleet's size, with all tables in one process.

use std::time;

use peridotspread::coordination::member::Liveness;
use peridotspread::state::clock::Millis;
use serde::Serialize;

use crate::members;
use crate::members::Members;

/// The daemons that others join at.
const SEEDS: usize = 3;
/// The time between the starts of two daemons.
const START: Millis = Millis(10);
/// How long a fleet may take to find itself, or to agree on a death.
const PATIENCE: Millis = Millis(180_000);
/// The time after joining until the fleet is at rest.
const SETTLING: Millis = Millis(30_000);

/// What to measure.
#[derive(Clone, Debug)]
pub struct Options {
    /// The numbers of daemons.
    pub sizes: Vec<usize>,
    /// How long the fleet is watched at rest.
    pub rest: Millis,
    /// Daemons killed one after the other.
    pub kills: usize,
    /// Where the random numbers begin.
    pub seed: u64,
}

/// The membership at one size; rates are of one daemon and without what QUIC, UDP and IP add.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The daemons.
    pub daemons: usize,
    /// From the start of the last daemon until all see all; absent if that took too long.
    pub join_ms: Option<u64>,
    /// The messages sent in a second at rest.
    pub messages_s: f64,
    /// The bytes sent in a second at rest.
    pub bytes_s: f64,
    /// The other daemons that one sends to while at rest.
    pub peers: f64,
    /// The processor time of the decisions, in microseconds a second at rest.
    pub decide_us_s: f64,
    /// The longest message, in bytes.
    pub longest: usize,
    /// From a kill until no other daemon sees the killed one alive, for each kill.
    pub suspect_ms: Vec<u64>,
    /// From a kill until every other daemon takes the killed one for dead, for each kill.
    pub dead_ms: Vec<u64>,
    /// The messages sent in a second while daemons die.
    pub kill_messages_s: f64,
    /// The bytes sent in a second while daemons die.
    pub kill_bytes_s: f64,
}

/// Measures each size in turn.
pub fn run(options: &Options, tell: &dyn Fn(&Row)) -> Vec<Row> {
    let sizes = options.sizes.iter();
    let measure = |size: &usize| {
        let row = measure(*size, options);
        tell(&row);
        row
    };
    sizes.map(measure).collect()
}

fn measure(daemons: usize, options: &Options) -> Row {
    let names: Vec<_> = (0..daemons)
        .map(|n| format!("domain-{}-{n:04}", n % 7))
        .collect();
    let seeds: Vec<_> = names.iter().take(SEEDS).map(String::as_str).collect();
    let mut fleet = Members::new(&seeds, options.seed);
    for name in &names {
        fleet.start(name);
        fleet.run(START);
    }
    let join = fleet.run_until(PATIENCE, &Members::counts_match);
    fleet.run(SETTLING);
    let rest = rest(&mut fleet, daemons, options.rest);
    let (mut suspect_ms, mut dead_ms) = (Vec::new(), Vec::new());
    fleet.take_sent();
    let start = fleet.now();
    for victim in names.iter().rev().take(options.kills) {
        fleet.kill(victim);
        let killed = fleet.now();
        let unseen = |f: &Members| !f.any_sees(victim, Liveness::Alive);
        let gone = |f: &Members| f.all_see(victim, None);
        fleet.run_until(PATIENCE, &unseen);
        suspect_ms.push((fleet.now() - killed).0);
        fleet.run_until(PATIENCE, &gone);
        dead_ms.push((fleet.now() - killed).0);
    }
    let killing = rate(fleet.take_sent(), fleet.now() - start, daemons);
    Row {
        daemons,
        join_ms: join.map(|span| span.0),
        suspect_ms,
        dead_ms,
        kill_messages_s: killing.messages,
        kill_bytes_s: killing.bytes,
        ..rest
    }
}

fn rest(fleet: &mut Members, daemons: usize, span: Millis) -> Row {
    fleet.take_sent();
    fleet.take_links();
    let began = time::Instant::now();
    fleet.run(span);
    let decide = began.elapsed().as_micros() as f64;
    let sent = fleet.take_sent();
    let rate = rate(sent, span, daemons);
    Row {
        daemons,
        join_ms: None,
        messages_s: rate.messages,
        bytes_s: rate.bytes,
        peers: fleet.take_links().len() as f64 / daemons as f64,
        decide_us_s: decide / daemons as f64 / span.span().as_secs_f64(),
        longest: sent.longest,
        suspect_ms: Vec::new(),
        dead_ms: Vec::new(),
        kill_messages_s: 0.0,
        kill_bytes_s: 0.0,
    }
}

/// What one daemon sends in a second.
struct Rate {
    messages: f64,
    bytes: f64,
}

fn rate(sent: members::Sent, span: Millis, daemons: usize) -> Rate {
    let shares = span.span().as_secs_f64() * daemons as f64;
    Rate {
        messages: sent.messages as f64 / shares,
        bytes: sent.bytes as f64 / shares,
    }
}
