//! `peridotspread diff`: prints the entries in which two bundles differ.

use std::path;

use gumdrop::Options;
use peridotspread::state::bundle::diff;
use serde::Serialize;

use crate::commands::{self, Command};
use crate::output::{self, Outcome, Status};

#[derive(Debug, Options)]
struct Args {
    #[options(free, required, help = "the earlier bundle, a TOML file")]
    old: path::PathBuf,
    #[options(free, required, help = "the later bundle, a TOML file")]
    new: path::PathBuf,
    #[options(no_short, help = "print one JSON object")]
    json: bool,
}

#[derive(Serialize)]
struct Report {
    old: u64,
    new: u64,
    differences: Vec<diff::Difference>,
}

pub(crate) fn cli() -> Command {
    Command {
        name: "diff",
        about: "Prints the entries in which two bundles differ",
        usage: "peridotspread diff OLD NEW [--json]",
        exec,
    }
}

fn exec(args: &[&str]) -> Outcome {
    let args: Args = match commands::parse(&cli(), args) {
        Ok(args) => args,
        Err(status) => return Ok(status),
    };
    let (_, old) = commands::load_bundle(&args.old)?;
    let (_, new) = commands::load_bundle(&args.new)?;
    let report = Report {
        old: old.version,
        new: new.version,
        differences: diff::between(&old, &new),
    };
    if report.differences.is_empty() {
        output::print_report(args.json, &report, "no difference");
        return Ok(Status::Success);
    }
    let lines: Vec<_> = report.differences.iter().map(ToString::to_string).collect();
    output::print_report(args.json, &report, &lines.join("\n"));
    Ok(Status::Negative)
}
