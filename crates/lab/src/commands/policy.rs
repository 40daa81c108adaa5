//! `policy`: replays the traces under the fleet's policy and under the baseline.

use std::path;

use gumdrop::Options;
use peridotspread_lab::replay::measures;
use peridotspread_lab::replay::policy;

use super::Error;

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print one JSON object per line")]
    json: bool,
    #[options(
        help = "the number of runs per family, user and policy",
        default = "20"
    )]
    seeds: u64,
    #[options(help = "the number of concurrent runs", default = "4")]
    threads: usize,
    #[options(help = "run only families whose names contain this text")]
    only: Option<String>,
    #[options(help = "the directory of the traces", default = "tests/traces")]
    dir: path::PathBuf,
}

pub(crate) fn exec(args: &Args) -> Result<(), Error> {
    let options = policy::PolicyOptions {
        dir: args.dir.clone(),
        seeds: args.seeds,
        only: args.only.clone(),
        threads: args.threads,
    };
    let mut lines = Vec::new();
    policy::run(&options, &mut |line| {
        if !args.json {
            println!("{}", describe(line));
        } else if let Ok(text) = serde_json::to_string(line) {
            println!("{text}");
        }
        lines.push(line.clone());
    })?;
    if lines.is_empty() {
        return Err("no family matches the name".into());
    }
    Ok(())
}

/// Formats the worth and the served share of each stream; empty without streams.
fn shares(line: &measures::Line) -> String {
    let text = |worth| {
        format!(
            ", worth {worth}, served by stream {:?}",
            line.served_by_stream
        )
    };
    line.worth.map_or(String::new(), text)
}

/// Formats a line of measures for people.
fn describe(line: &measures::Line) -> String {
    let detected = line
        .detect_p99_ms
        .map_or("-".to_owned(), |ms| format!("{ms} ms"));
    format!(
        "{:<14} {:<13} {:<9} detected p99 {:>10}, never {}/{}, harmed {}/{}, false ejections {}, floor breaches {}, \
         ran twice {}, ran though refused {}{}",
        line.family,
        line.user,
        line.policy,
        detected,
        line.never,
        line.gray,
        line.harmed,
        line.requests,
        line.false_ejections,
        line.floor_breaches,
        line.ran_twice,
        line.ran_though_refused,
        shares(line),
    )
}
