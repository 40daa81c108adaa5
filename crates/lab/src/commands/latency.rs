//! `latency`: measures the latency that the fleet adds to requests.

use std::time;

use gumdrop::Options;
use peridotspread_lab::measure::latency;

use super::Error;

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print one JSON object per case")]
    json: bool,
    #[options(
        help = "the length of a turn, in milliseconds",
        default = "1500",
        meta = "MS"
    )]
    turn: u64,
    #[options(
        help = "the number of turns per case, each with and without the fleet",
        default = "3",
        meta = "N"
    )]
    turns: usize,
    #[options(
        help = "a load, in percent of the fleet's capacity; may be repeated",
        meta = "PCT"
    )]
    load: Vec<u32>,
    #[options(help = "the seed", default = "1")]
    seed: u64,
}

pub(crate) async fn exec(args: &Args) -> Result<(), Error> {
    const LOADS: [u32; 4] = [10, 30, 60, 90];
    let loads = match args.load.as_slice() {
        [] => LOADS.to_vec(),
        given => given.to_vec(),
    };
    let options = latency::Options {
        turn: time::Duration::from_millis(args.turn),
        turns: args.turns,
        loads,
        seed: args.seed,
    };
    let json = args.json;
    let print_case = |case: &latency::Case| match serde_json::to_string(case) {
        Ok(line) if json => println!("{line}"),
        _ => println!(
            "{} hops, {}, {} bytes, {} % ({:.0}/s): added latency p50 {} ms, p99 {} ms, p99.9 {} ms",
            case.hops,
            case.proto,
            case.body_bytes,
            case.load_pct,
            case.rate,
            case.p50,
            case.p99,
            case.p999
        ),
    };
    tokio::select! {
        done = latency::run(&options, print_case) => done?,
        _ = tokio::signal::ctrl_c() => return Err("interrupted by Ctrl-C".into()),
    }
    Ok(())
}
