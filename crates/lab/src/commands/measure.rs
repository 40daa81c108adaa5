//! `membership` and `connections`: measure the membership and the connections between daemons as slopes.

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
    #[options(help = "numbers of daemons", meta = "N,N", default = "12,46,150,600")]
    sizes: String,
    #[options(help = "seconds that a fleet is watched at rest", default = "120")]
    rest: u64,
    #[options(help = "daemons killed one after the other", default = "5")]
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
        help = "numbers of endpoints in full meshes",
        meta = "N,N",
        default = "40"
    )]
    meshes: String,
    #[options(
        help = "numbers of daemons with membership",
        meta = "N,N",
        default = ""
    )]
    fleets: String,
    #[options(help = "milliseconds between signs of life", default = "2000")]
    alive: u64,
    #[options(help = "seconds that each is watched", default = "20")]
    watch: u64,
}

pub(crate) fn membership(args: &MembershipArgs) -> Result<(), Error> {
    let options = membership::Options {
        sizes: numbers(&args.sizes)?,
        rest: Millis(args.rest * 1_000),
        kills: args.kills,
        seed: args.seed,
    };
    let rows = membership::run(&options, &print);
    finish(args.json, &rows)
}

pub(crate) async fn connections(args: &ConnectionsArgs) -> Result<(), Error> {
    let options = connections::Options {
        meshes: numbers(&args.meshes)?,
        fleets: numbers(&args.fleets)?,
        probe: Millis(args.alive),
        watch: time::Duration::from_secs(args.watch),
    };
    let rows = connections::run(&options, &print).await?;
    finish(args.json, &rows)
}

fn numbers(list: &str) -> Result<Vec<usize>, Error> {
    let parts = list.split(',').filter(|p| !p.is_empty());
    Ok(parts.map(str::parse).collect::<Result<_, _>>()?)
}

fn print<R: Serialize + std::fmt::Debug>(row: &R) {
    println!("{row:?}");
}

fn finish<R: Serialize>(json: bool, rows: &[R]) -> Result<(), Error> {
    if json {
        println!("{}", serde_json::to_string(rows)?);
    }
    Ok(())
}
