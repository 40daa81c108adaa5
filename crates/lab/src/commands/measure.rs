//! `membership` and `connections`: measure how the costs of the membership protocol and of the connections between
//! daemons grow with the size of the fleet.

use std::time;

use gumdrop::Options;
use peridotspread::state::clock::Millis;
use peridotspread_lab::measure::{connections, membership};
use serde::Serialize;

use super::Error;

#[derive(Debug, Options)]
pub(crate) struct MembershipArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "end with one JSON array on the last line")]
    json: bool,
    #[options(
        help = "fleet sizes to measure",
        meta = "N,N",
        default = "12,46,150,600"
    )]
    sizes: String,
    #[options(help = "seconds that an idle fleet is measured", default = "120")]
    rest: u64,
    #[options(
        help = "the number of daemons killed, one after the other",
        default = "5"
    )]
    kills: usize,
    #[options(help = "the seed of all random numbers", default = "1")]
    seed: u64,
}

#[derive(Debug, Options)]
pub(crate) struct ConnectionsArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "end with one JSON array on the last line")]
    json: bool,
    #[options(
        help = "sizes of full meshes of endpoints to measure",
        meta = "N,N",
        default = "40"
    )]
    meshes: String,
    #[options(
        help = "sizes of fleets with membership to measure",
        meta = "N,N",
        default = ""
    )]
    fleets: String,
    #[options(help = "milliseconds between liveness probes", default = "2000")]
    alive: u64,
    #[options(help = "seconds that each size is measured", default = "20")]
    watch: u64,
}

pub(crate) fn membership(args: &MembershipArgs) -> Result<(), Error> {
    let options = membership::Options {
        sizes: parse_sizes(&args.sizes)?,
        rest: Millis(args.rest * 1_000),
        kills: args.kills,
        seed: args.seed,
    };
    let rows = membership::run(&options, &print_row);
    print_json(args.json, &rows)
}

pub(crate) async fn connections(args: &ConnectionsArgs) -> Result<(), Error> {
    let options = connections::Options {
        meshes: parse_sizes(&args.meshes)?,
        fleets: parse_sizes(&args.fleets)?,
        probe: Millis(args.alive),
        watch: time::Duration::from_secs(args.watch),
    };
    let rows = connections::run(&options, &print_row).await?;
    print_json(args.json, &rows)
}

/// Parses a comma-separated list of sizes.
fn parse_sizes(list: &str) -> Result<Vec<usize>, Error> {
    let parts = list.split(',').filter(|p| !p.is_empty());
    Ok(parts.map(str::parse).collect::<Result<_, _>>()?)
}

fn print_row<R: Serialize + std::fmt::Debug>(row: &R) {
    println!("{row:?}");
}

/// Prints all rows as one JSON array if `json` is set.
fn print_json<R: Serialize>(json: bool, rows: &[R]) -> Result<(), Error> {
    if json {
        println!("{}", serde_json::to_string(rows)?);
    }
    Ok(())
}
