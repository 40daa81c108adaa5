//! `latency`: measures what the fleet adds to a request's time.

use std::time;

use gumdrop::Options;
use peridotspread_lab::measure::latency;

use super::Error;

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print one JSON line a case")]
    json: bool,
    #[options(help = "milliseconds of one turn", default = "1500", meta = "MS")]
    turn: u64,
    #[options(help = "turns of each way in a case", default = "3", meta = "N")]
    turns: usize,
    #[options(
        help = "a load in percent of what the fleet carries; may be repeated",
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
        named => named.to_vec(),
    };
    let options = latency::Options {
        turn: time::Duration::from_millis(args.turn),
        turns: args.turns,
        loads,
        seed: args.seed,
    };
    let json = args.json;
    let tell = |case: &latency::Case| match serde_json::to_string(case) {
        Ok(line) if json => println!("{line}"),
        _ => println!(
            "{} hops, {}, {} bytes, {} % ({:.0}/s): {} ms added at 50, {} ms at 99, {} ms at 99.9 in 100",
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
        done = latency::run(&options, tell) => done?,
        _ = tokio::signal::ctrl_c() => return Err("stopped before the end".into()),
    }
    Ok(())
}
