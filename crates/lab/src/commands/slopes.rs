//! `slopes`: measures how the bundle's costs grow; one JSON line a part of the largest size.

use gumdrop::Options;
use peridotspread_lab::measure::slopes;

use super::Error;

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "measure only this part, in percent, in this process",
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
        let line = slopes::measure_isolated(part).ok_or("a part can't be measured")?;
        println!("{line}");
    }
    Ok(())
}
