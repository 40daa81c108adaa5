//! `curve`: measures detection time against false ejections over a range of thresholds, and draws the curve.

use std::path;

use gumdrop::Options;
use peridotspread_lab::replay::curve;

use super::Error;

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the number of runs per point and family", default = "40")]
    seeds: u64,
    #[options(help = "the number of concurrent runs", default = "4")]
    threads: usize,
    #[options(help = "the directory of the traces", default = "tests/traces")]
    dir: path::PathBuf,
    #[options(help = "the SVG file to write", default = "docs/design/detection.svg")]
    out: path::PathBuf,
}

pub(crate) fn exec(args: &Args) -> Result<(), Error> {
    let options = curve::CurveOptions {
        dir: args.dir.clone(),
        seeds: args.seeds,
        threads: args.threads,
    };
    let points = curve::measure(&options, &mut |point| {
        if let Ok(text) = serde_json::to_string(point) {
            println!("{text}");
        }
    })?;
    curve::draw(&points, &args.out)?;
    Ok(())
}
