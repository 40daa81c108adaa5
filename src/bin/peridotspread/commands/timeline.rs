//! `peridotspread timeline`: merges the events of many daemons into one order.

use std::fs;
use std::net;
use std::path;

use gumdrop::Options;
use peridotspread::ops::{fleet, timeline as ops};
use peridotspread::state::timeline;

use crate::commands::{self, Command, admin as shared};
use crate::output::{Failure, Outcome, Status};

#[derive(Debug, Options)]
struct Args {
    #[options(free, help = "logs or saved time lines")]
    files: Vec<path::PathBuf>,
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "the admin address of a daemon; may be given again"
    )]
    from: Vec<net::SocketAddr>,
    #[options(
        no_short,
        meta = "FILE",
        help = "the operators' token; else PERIDOTSPREAD_TOKEN"
    )]
    token: Option<path::PathBuf>,
    #[options(no_short, meta = "NAME", help = "only events of this service")]
    service: Option<String>,
    #[options(no_short, meta = "NAME", help = "only events of this target")]
    target: Option<String>,
    #[options(no_short, meta = "ID", help = "only events of this request")]
    request: Option<String>,
    #[options(no_short, meta = "NAME", help = "only events of this daemon")]
    daemon: Option<String>,
    #[options(no_short, help = "print one JSON object per line")]
    json: bool,
}

pub(crate) fn cli() -> Command {
    Command {
        name: "timeline",
        about: "Merges the events of many daemons into one order",
        usage: "peridotspread timeline [FILE...] [--from ADDRESS]... [--token FILE] [--service NAME] [--target NAME]\n       [--request ID] [--daemon NAME] [--json]",
        exec,
    }
}

fn exec(args: &[&str]) -> Outcome {
    let args: Args = match commands::parse(&cli(), args) {
        Ok(args) => args,
        Err(status) => return Ok(status),
    };
    if args.files.is_empty() && args.from.is_empty() {
        return Err(Failure::new(
            Status::Usage,
            "no source of events is given; name files, or daemons by --from",
        ));
    }
    let mut events = Vec::new();
    for file in &args.files {
        let text = fs::read_to_string(file).map_err(|e| {
            Failure::new(
                Status::Input,
                format!("failed to read {}: {e}", file.display()),
            )
        })?;
        events.extend(ops::parse_events(&text));
    }
    if args.from.is_empty() {
        return Ok(print_events(&args, events));
    }
    let token = shared::token(args.token.as_deref())?;
    shared::block_on(async {
        for address in &args.from {
            let options = fleet::AdminOptions {
                address: *address,
                token: &token,
            };
            events.extend(
                fleet::timeline(&options)
                    .await
                    .map_err(shared::daemon_failure)?,
            );
        }
        Ok(print_events(&args, events))
    })
}

fn print_events(args: &Args, events: Vec<timeline::Event>) -> Status {
    let options = ops::FilterOptions {
        service: args.service.as_deref(),
        target: args.target.as_deref(),
        request: args.request.as_deref(),
        daemon: args.daemon.as_deref(),
    };
    for event in ops::merge(events, &options) {
        match serde_json::to_string(&event) {
            Ok(line) if args.json => println!("{line}"),
            _ => println!("{}", ops::format_event(&event)),
        }
    }
    Status::Success
}
