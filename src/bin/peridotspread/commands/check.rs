//! `peridotspread check`: prints every finding in a bundle.

use std::path;

use gumdrop::Options;
use peridotspread::state::bundle;
use peridotspread::state::findings;
use serde::Serialize;

use crate::commands::{self, Command};
use crate::output::{self, Outcome, Status};

#[derive(Debug, Options)]
struct Args {
    #[options(free, required, help = "the bundle, a TOML file")]
    bundle: path::PathBuf,
    #[options(no_short, help = "print one JSON object")]
    json: bool,
}

#[derive(Serialize)]
struct Report {
    valid: bool,
    version: Option<u64>,
    findings: Vec<findings::Finding>,
}

pub(crate) fn cli() -> Command {
    Command {
        name: "check",
        about: "Prints every finding in a bundle, with file and line",
        usage: "peridotspread check BUNDLE [--json]",
        exec,
    }
}

fn exec(args: &[&str]) -> Outcome {
    let args: Args = match commands::parse(&cli(), args) {
        Ok(args) => args,
        Err(status) => return Ok(status),
    };
    let text = commands::read(&args.bundle)?;
    match bundle::parse(&args.bundle.display().to_string(), &text) {
        Ok(bundle) => {
            let report = Report {
                valid: true,
                version: Some(bundle.version),
                findings: Vec::new(),
            };
            let line = format!(
                "{} is valid: version {}, {} services, {} routes",
                args.bundle.display(),
                bundle.version,
                bundle.services.len(),
                bundle.routes.len()
            );
            output::print_report(args.json, &report, &line);
            Ok(Status::Success)
        }
        Err(found) => {
            let text = found.to_string();
            let report = Report {
                valid: false,
                version: None,
                findings: found.list,
            };
            output::print_report(args.json, &report, &text);
            Ok(Status::Negative)
        }
    }
}
