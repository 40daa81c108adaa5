//! `slopes`: measures how the costs of a bundle grow with its size, and prints one JSON object per size.
//!
//! Sizes are given in percent of the largest one.

use gumdrop::Options;
use peridotspread_lab::measure::slopes;

use super::Error;

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "measure only this size, in percent of the largest, in this process",
        meta = "PCT"
    )]
    only: Option<u32>,
}

pub(crate) async fn exec(args: &Args) -> Result<(), Error> {
    const PARTS: [u32; 3] = [1, 10, 100];
    if let Some(part) = args.only {
        println!("{}", serde_json::to_string(&slopes::measure(part))?);
        return Ok(());
    }
    for part in PARTS {
        let line = slopes::measure_isolated(part)
            .ok_or("failed to measure a size in a separate process")?;
        println!("{line}");
    }
    Ok(())
}
