//! `peridotspread drain`: shuts a daemon down once its requests in flight are finished.

use std::net;
use std::path;

use gumdrop::Options;
use peridotspread::ops::fleet;
use serde::Serialize;

use crate::commands::{self, Command, admin as shared};
use crate::output::{self, Outcome, Status};

#[derive(Debug, Options)]
struct Args {
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "the admin address of the daemon; else PERIDOTSPREAD_ADMIN"
    )]
    admin: Option<net::SocketAddr>,
    #[options(
        no_short,
        meta = "FILE",
        help = "the operators' token; else PERIDOTSPREAD_TOKEN"
    )]
    token: Option<path::PathBuf>,
    #[options(no_short, help = "print one JSON object")]
    json: bool,
}

#[derive(Serialize)]
struct Report {
    draining: net::SocketAddr,
}

pub(crate) fn cli() -> Command {
    Command {
        name: "drain",
        about: "Shuts a daemon down once its requests in flight are finished",
        usage: "peridotspread drain [--admin ADDRESS] [--token FILE] [--json]",
        exec,
    }
}

fn exec(args: &[&str]) -> Outcome {
    let args: Args = match commands::parse(&cli(), args) {
        Ok(args) => args,
        Err(status) => return Ok(status),
    };
    shared::with_daemon(args.admin, args.token.as_deref(), async |options| {
        fleet::drain(options)
            .await
            .map_err(shared::daemon_failure)?;
        let address = options.address;
        let line = format!("the daemon at {address} finishes its requests in flight and stops");
        output::print_report(args.json, &Report { draining: address }, &line);
        Ok(Status::Success)
    })
}
