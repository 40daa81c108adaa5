//! `fleet`: measures the cost and speed of a whole fleet.

use std::time;

use gumdrop::Options;
use peridotspread_lab::fleet::sizes;
use peridotspread_lab::measure::fleet;

use super::Error;

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "end with one JSON object on the last line")]
    json: bool,
    #[options(help = "the number of daemons", default = "46", meta = "N")]
    daemons: usize,
    #[options(
        help = "the user whose services are measured: bagh or kozi",
        default = "bagh",
        meta = "USER"
    )]
    user: String,
    #[options(
        help = "seconds that an idle fleet is measured",
        default = "10",
        meta = "S"
    )]
    rest: u64,
    #[options(help = "the number of rollouts to measure", default = "10", meta = "N")]
    rollouts: usize,
    #[options(help = "the number of kills to measure", default = "5", meta = "N")]
    kills: usize,
    #[options(help = "the seed", default = "1")]
    seed: u64,
}

pub(crate) async fn exec(args: &Args) -> Result<(), Error> {
    let (services, domains) = match args.user.as_str() {
        "bagh" => (sizes::bagh(), 4),
        "kozi" => (sizes::kozi(), 3),
        other => return Err(format!("unknown user `{other}`; use bagh or kozi").into()),
    };
    let options = fleet::Options {
        daemons: args.daemons,
        domains,
        services,
        rest: time::Duration::from_secs(args.rest),
        rollouts: args.rollouts,
        kills: args.kills,
        seed: args.seed,
    };
    let outcome = tokio::select! {
        outcome = fleet::run(&options) => outcome?,
        _ = tokio::signal::ctrl_c() => return Err("interrupted by Ctrl-C".into()),
    };
    if args.json {
        println!("{}", serde_json::to_string(&outcome)?);
    }
    Ok(())
}
