//! `peridotspread status`: prints the bundle version in force at each daemon.

use std::net;
use std::path;

use gumdrop::Options;
use peridotspread::ops::fleet;
use peridotspread::protocol::admin;

use crate::commands::{self, Command, admin as shared};
use crate::output::{self, Outcome, Status};

#[derive(Debug, Options)]
struct Args {
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "the admin address of any daemon; else PERIDOTSPREAD_ADMIN"
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

pub(crate) fn cli() -> Command {
    Command {
        name: "status",
        about: "Prints the bundle version in force at each daemon, and each daemon's liveness",
        usage: "peridotspread status [--admin ADDRESS] [--token FILE] [--json]",
        exec,
    }
}

fn exec(args: &[&str]) -> Outcome {
    let args: Args = match commands::parse(&cli(), args) {
        Ok(args) => args,
        Err(status) => return Ok(status),
    };
    shared::with_daemon(args.admin, args.token.as_deref(), async |options| {
        let status = fleet::status(options)
            .await
            .map_err(shared::daemon_failure)?;
        output::print_report(args.json, &status, &describe(&status));
        let agreed = status
            .members
            .iter()
            .all(|m| m.version == status.version && m.liveness == "alive");
        Ok(if agreed {
            Status::Success
        } else {
            Status::Negative
        })
    })
}

fn describe(status: &admin::Status) -> String {
    let mut lines = vec![format!(
        "version {} is in force at {}",
        status.version, status.daemon
    )];
    for member in &status.members {
        let lag = if member.version == status.version {
            ""
        } else {
            "  (differs)"
        };
        let line = format!(
            "  {:<24} {:<16} {:<8} version {}{lag}",
            member.name, member.domain, member.liveness, member.version
        );
        lines.push(line);
    }
    lines.join("\n")
}
