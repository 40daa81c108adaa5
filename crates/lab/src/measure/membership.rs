//! Measurement of the cost and the detection times of the membership protocol by the size of the fleet, with all
//! membership tables in one process.

use std::time;

use peridotspread::coordination::member::Liveness;
use peridotspread::state::clock::Millis;
use serde::Serialize;

use crate::members;
use crate::members::Members;

/// The number of daemons that are seeds for the others.
const SEEDS: usize = 3;
/// The interval between the starts of two daemons.
const START_INTERVAL: Millis = Millis(10);
/// The timeout for all daemons to see each other, or to agree that a daemon is dead.
const TIMEOUT: Millis = Millis(180_000);
/// The time after joining until the fleet counts as idle.
const SETTLE_TIME: Millis = Millis(30_000);

/// Options of [`run`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The number of daemons of each fleet.
    pub sizes: Vec<usize>,
    /// The time for which the idle fleet is measured.
    pub rest: Millis,
    /// The number of daemons to kill, one after the other.
    pub kills: usize,
    /// The seed of the random numbers.
    pub seed: u64,
}

/// The measurements at one size; rates are per daemon and exclude the overhead of QUIC, UDP and IP.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The number of daemons.
    pub daemons: usize,
    /// The time from the start of the last daemon until all daemons see each other, in milliseconds; absent if it
    /// exceeded
    /// `TIMEOUT`.
    pub join_ms: Option<u64>,
    /// The number of messages sent per second while idle.
    pub messages_s: f64,
    /// The number of bytes sent per second while idle.
    pub bytes_s: f64,
    /// The average number of other daemons that a daemon sends to while idle.
    pub peers: f64,
    /// The processing time of the protocol, in microseconds per second while idle.
    pub decide_us_s: f64,
    /// The size of the longest message, in bytes.
    pub longest: usize,
    /// The time from each kill until no other daemon sees the killed one as alive, in milliseconds.
    pub suspect_ms: Vec<u64>,
    /// The time from each kill until every other daemon has declared the killed one dead, in milliseconds.
    pub dead_ms: Vec<u64>,
    /// The number of messages sent per second during the kills.
    pub kill_messages_s: f64,
    /// The number of bytes sent per second during the kills.
    pub kill_bytes_s: f64,
}

/// Measures each size in turn and passes each result to `report`.
pub fn run(options: &Options, report: &dyn Fn(&Row)) -> Vec<Row> {
    let sizes = options.sizes.iter();
    let measure = |size: &usize| {
        let row = measure(*size, options);
        report(&row);
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
        fleet.run(START_INTERVAL);
    }
    let join = fleet.run_until(TIMEOUT, &Members::counts_match);
    fleet.run(SETTLE_TIME);
    let rest = measure_rest(&mut fleet, daemons, options.rest);
    let (mut suspect_ms, mut dead_ms) = (Vec::new(), Vec::new());
    fleet.take_sent();
    let start = fleet.now();
    for victim in names.iter().rev().take(options.kills) {
        fleet.kill(victim);
        let killed = fleet.now();
        let unseen = |f: &Members| !f.any_sees(victim, Liveness::Alive);
        let confirmed_dead = |f: &Members| f.all_see(victim, None);
        fleet.run_until(TIMEOUT, &unseen);
        suspect_ms.push((fleet.now() - killed).0);
        fleet.run_until(TIMEOUT, &confirmed_dead);
        dead_ms.push((fleet.now() - killed).0);
    }
    let kill_rate = rate_per_daemon(fleet.take_sent(), fleet.now() - start, daemons);
    Row {
        daemons,
        join_ms: join.map(|span| span.0),
        suspect_ms,
        dead_ms,
        kill_messages_s: kill_rate.messages,
        kill_bytes_s: kill_rate.bytes,
        ..rest
    }
}

fn measure_rest(fleet: &mut Members, daemons: usize, span: Millis) -> Row {
    fleet.take_sent();
    fleet.take_links();
    let start = time::Instant::now();
    fleet.run(span);
    let decide = start.elapsed().as_micros() as f64;
    let sent = fleet.take_sent();
    let rate = rate_per_daemon(sent, span, daemons);
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

/// The average number of messages and bytes that a daemon sends per second.
struct Rate {
    messages: f64,
    bytes: f64,
}

fn rate_per_daemon(sent: members::Sent, span: Millis, daemons: usize) -> Rate {
    let daemon_seconds = span.span().as_secs_f64() * daemons as f64;
    Rate {
        messages: sent.messages as f64 / daemon_seconds,
        bytes: sent.bytes as f64 / daemon_seconds,
    }
}
