//! `peridotspread targets`: prints the state of each target as its home reports it.

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
    #[options(no_short, meta = "NAME", help = "only the targets of this service")]
    service: Option<String>,
    #[options(no_short, help = "print one JSON object")]
    json: bool,
}

pub(crate) fn cli() -> Command {
    Command {
        name: "targets",
        about: "Prints the state of each target: normal, avoided or ejected",
        usage: "peridotspread targets [--admin ADDRESS] [--token FILE] [--service NAME] [--json]",
        exec,
    }
}

fn exec(args: &[&str]) -> Outcome {
    let args: Args = match commands::parse(&cli(), args) {
        Ok(args) => args,
        Err(status) => return Ok(status),
    };
    shared::with_daemon(args.admin, args.token.as_deref(), async |options| {
        let mut found = fleet::targets(options)
            .await
            .map_err(shared::daemon_failure)?;
        if let Some(service) = &args.service {
            found.targets.retain(|t| t.cell.service == *service);
        }
        output::print_report(args.json, &found, &describe(&found));
        Ok(if found.silent.is_empty() {
            Status::Success
        } else {
            Status::Negative
        })
    })
}

fn describe(found: &admin::Targets) -> String {
    let mut lines = Vec::new();
    for target in &found.targets {
        let line = format!(
            "{:<24} {:<16} {:<20} {:<8} {}/{} slots  ratio {:.1}  home {}",
            target.cell.service,
            target.cell.domain,
            target.name,
            target.standing,
            target.busy,
            target.slots,
            target.ratio,
            target.home
        );
        lines.push(line);
    }
    for home in &found.silent {
        lines.push(format!("no response from the home {home}"));
    }
    lines.join("\n")
}
