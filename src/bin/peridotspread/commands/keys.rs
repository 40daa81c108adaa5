//! `peridotspread keys`: creates the keys of a fleet.

use std::fs;
use std::path;

use gumdrop::Options;
use peridotspread::state::operator;
use peridotspread::transport::keys;
use serde::Serialize;
use snafu::ResultExt;

use crate::commands::{self, Command};
use crate::output::{self, Failure, Outcome, Status};

/// The number of random bytes in a token.
const TOKEN_BYTES: usize = 32;

#[derive(Debug, Options)]
struct Args {
    #[options(free, required, help = "authority, daemon, operator or token")]
    kind: String,
    #[options(free, help = "the daemon's or operator's name")]
    name: Option<String>,
    #[options(
        no_short,
        meta = "DIR",
        default = ".",
        help = "the directory of the files"
    )]
    dir: path::PathBuf,
    #[options(no_short, help = "print one JSON object")]
    json: bool,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
enum Report {
    Files(Vec<path::PathBuf>),
    Token { token: String, digest: String },
}

pub(crate) fn cli() -> Command {
    Command {
        name: "keys",
        about: "Creates the keys of a fleet: its authority, daemons, operators and tokens",
        usage: "peridotspread keys authority|daemon NAME|operator NAME|token [--dir DIR] [--json]\n\n\
                authority  the fleet's certificate authority: authority.pem, authority.key.pem\n\
                daemon     a daemon's certificate and key from that authority: NAME.pem, NAME.key.pem\n\
                operator   a key pair that signs bundles: NAME.pem (private), NAME.pub.pem\n\
                token      a token for callers or operators, and its digest for the bundle or the settings",
        exec,
    }
}

fn exec(args: &[&str]) -> Outcome {
    let args: Args = match commands::parse(&cli(), args) {
        Ok(args) => args,
        Err(status) => return Ok(status),
    };
    let report = match (args.kind.as_str(), args.name.as_deref()) {
        ("authority", None) => create_authority(&args.dir)?,
        ("daemon", Some(name)) => issue_daemon_keys(&args.dir, name)?,
        ("operator", Some(name)) => create_operator_keys(&args.dir, name)?,
        ("token", None) => create_token()?,
        _ => {
            eprintln!(
                "error: the kind of keys or the name is invalid; see `peridotspread keys --help`"
            );
            return Ok(Status::Usage);
        }
    };
    output::print_report(args.json, &report, &describe(&report));
    Ok(Status::Success)
}

fn describe(report: &Report) -> String {
    match report {
        Report::Files(files) => {
            let files: Vec<_> = files.iter().map(|f| f.display().to_string()).collect();
            format!("wrote {}", files.join(" and "))
        }
        Report::Token { token, digest } => format!("token  {token}\ndigest {digest}"),
    }
}

fn create_authority(dir: &path::Path) -> Result<Report, Failure> {
    let authority = keys::create_authority().map_err(|e| Failure::new(Status::System, e))?;
    write_pair(
        dir,
        ["authority.key.pem", "authority.pem"],
        [&authority.key(), authority.certificate()],
    )
}

fn issue_daemon_keys(dir: &path::Path, name: &str) -> Result<Report, Failure> {
    let certificate = commands::read(&dir.join("authority.pem"))?;
    let key = commands::read(&dir.join("authority.key.pem"))?;
    let input = |e| Failure::new(Status::Input, e);
    let authority = keys::Authority::load(&certificate, &key).map_err(input)?;
    let issued = authority.issue(name).map_err(input)?;
    let files = [format!("{name}.key.pem"), format!("{name}.pem")];
    write_pair(
        dir,
        [&files[0], &files[1]],
        [&issued.key, &issued.certificate],
    )
}

fn create_operator_keys(dir: &path::Path, name: &str) -> Result<Report, Failure> {
    let pair = operator::generate().map_err(|e| Failure::new(Status::System, e))?;
    let files = [format!("{name}.pem"), format!("{name}.pub.pem")];
    write_pair(dir, [&files[0], &files[1]], [&pair.private, &pair.public])
}

fn create_token() -> Result<Report, Failure> {
    let mut bytes = [0; TOKEN_BYTES];
    getrandom::fill(&mut bytes).map_err(|e| Failure::new(Status::System, e.to_string()))?;
    let token = hex::encode(bytes);
    let digest = operator::digest(&token);
    Ok(Report::Token { token, digest })
}

fn write_pair(dir: &path::Path, names: [&str; 2], texts: [&str; 2]) -> Result<Report, Failure> {
    let created = fs::create_dir_all(dir).context(commands::WriteSnafu { path: dir });
    created.map_err(|e| Failure::new(Status::System, e))?;
    let mut files = Vec::new();
    for (name, text) in names.iter().zip(texts) {
        let path = dir.join(name);
        commands::write_new(&path, text)?;
        files.push(path);
    }
    Ok(Report::Files(files))
}
