//! The cases of the second review that are scripts: each starts daemons as processes between stand-ins of the platform's
//! store, upstreams and clients, and checks one rule.
//!
//! Usage: `review-standins-2 CASE RECORD FOLDER`. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod client;
mod daemon;
mod http;
mod json;
mod record;
mod server;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Broken,
    Held,
    CouldNotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = &args[..] else {
        eprintln!("usage: review-standins-2 CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let scene = cases::Scene {
        record: record::Record::new(record),
        folder: PathBuf::from(folder),
        has_trouble: std::env::var("TROUBLE").map_or(true, |t| t != "0"),
    };
    let verdict = match case.as_str() {
        "parts" => cases::parts::run(&scene),
        "authority" => cases::authority::run(&scene),
        "beats" => cases::beats::run(&scene),
        other => {
            eprintln!("no case {other}");
            Verdict::CouldNotRun
        }
    };
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    })
}
