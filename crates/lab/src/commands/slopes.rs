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
    const SIZES_PCT: [u32; 3] = [1, 10, 100];
    if let Some(size_pct) = args.only {
        println!("{}", serde_json::to_string(&slopes::measure(size_pct))?);
        return Ok(());
    }
    for size_pct in SIZES_PCT {
        let line = slopes::measure_isolated(size_pct)
            .ok_or("failed to measure a size in a separate process")?;
        println!("{line}");
    }
    Ok(())
}
