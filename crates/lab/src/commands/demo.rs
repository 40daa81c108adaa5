//! `demo`: runs a fleet under load through a series of faults.

use gumdrop::Options;
use peridotspread_lab::demo;

use super::Error;

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "end with one JSON object on the last line")]
    json: bool,
    #[options(help = "the seed of load and service times", default = "1")]
    seed: u64,
}

pub(crate) async fn exec(args: &Args) -> Result<(), Error> {
    let options = demo::Options {
        seed: args.seed,
        ..demo::Options::default()
    };
    // Ctrl-C also stops the daemons: the fleet is dropped together with the future of the demonstration.
    let outcome = tokio::select! {
        outcome = demo::run(&options) => outcome?,
        _ = tokio::signal::ctrl_c() => return Err("interrupted by Ctrl-C".into()),
    };
    let fields = serde_json::to_value(&outcome)?;
    if args.json {
        println!("{}", serde_json::to_string(&outcome)?);
    } else if let Some(fields) = fields.as_object() {
        println!();
        for (name, value) in fields {
            println!("{name:>20}  {value}");
        }
    }
    if !outcome.has_no_violations() {
        return Err("a counter that must be zero is not".into());
    }
    Ok(())
}
