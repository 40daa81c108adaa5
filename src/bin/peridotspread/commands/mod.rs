//! The subcommands; each file defines one by `cli()` and `exec()`.

mod admin;
mod check;
mod diff;
mod drain;
mod keys;
mod rollout;
mod sign;
mod status;
mod targets;
mod timeline;

use std::fs;
use std::path;

use gumdrop::Options;
use peridotspread::protocol::peer;
use peridotspread::state::bundle;
use peridotspread::state::findings;
use snafu::ResultExt;

use crate::output::{self, Failure, Outcome, Status};

/// A subcommand of the tool.
pub(crate) struct Command {
    /// The name on the command line.
    pub(crate) name: &'static str,
    /// The description in one line.
    pub(crate) about: &'static str,
    /// The synopsis of the command line.
    pub(crate) usage: &'static str,
    /// The function that runs the subcommand with its arguments.
    pub(crate) exec: fn(&[&str]) -> Outcome,
}

/// Returns all subcommands in the order of the help.
fn commands() -> Vec<Command> {
    vec![
        check::cli(),
        diff::cli(),
        sign::cli(),
        rollout::cli(),
        status::cli(),
        targets::cli(),
        drain::cli(),
        timeline::cli(),
        keys::cli(),
    ]
}

/// Runs the subcommand that the first of `args` names.
pub(crate) fn run(args: &[&str]) -> Status {
    let Some((name, rest)) = args.split_first() else {
        eprint!("{}", help());
        return Status::Usage;
    };
    if matches!(*name, "--help" | "-h" | "help") {
        print!("{}", help());
        return Status::Success;
    }
    let Some(command) = commands().into_iter().find(|c| c.name == *name) else {
        eprintln!("error: unknown command `{name}`; see `peridotspread --help`");
        return Status::Usage;
    };
    (command.exec)(rest).unwrap_or_else(|failure| {
        output::print_failure(&failure);
        failure.status
    })
}

fn help() -> String {
    let mut text = String::from(
        "Operates a peridotspread fleet.\n\nUsage: peridotspread COMMAND [OPTIONS]\n\nCommands:\n",
    );
    for command in commands() {
        text.push_str(&format!("  {:<10} {}\n", command.name, command.about));
    }
    text.push_str(
        "\nSee `peridotspread COMMAND --help` for one command, and docs/EXIT-STATUSES.md for exit statuses.\n",
    );
    text
}

/// Parses the options of `command`; `Err` holds the exit status after the help or an error was printed.
fn parse<T: Options>(command: &Command, args: &[&str]) -> Result<T, Status> {
    if args.iter().any(|a| matches!(*a, "--help" | "-h")) {
        println!(
            "{}\n\nUsage: {}\n\n{}",
            command.about,
            command.usage,
            T::usage()
        );
        return Err(Status::Success);
    }
    T::parse_args_default(args).map_err(|e| {
        eprintln!("error: {e}; see `peridotspread {} --help`", command.name);
        Status::Usage
    })
}

/// Why a file cannot be read, written or used.
#[derive(Debug, snafu::Snafu)]
enum FileError {
    #[snafu(display("failed to read {}; check the path", path.display()))]
    Read {
        path: path::PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("failed to write {}; check the directory", path.display()))]
    Write {
        path: path::PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("the bundle {} has findings; correct them first", path.display()))]
    Findings {
        path: path::PathBuf,
        source: findings::Findings,
    },
    #[snafu(display("{} holds no signature; create one with `peridotspread sign`", path.display()))]
    Signature {
        path: path::PathBuf,
        source: serde_json::Error,
    },
    #[snafu(display("{} already exists; keys are never overwritten", path.display()))]
    Exists { path: path::PathBuf },
}

fn read(path: &path::Path) -> Result<String, Failure> {
    let text = fs::read_to_string(path).context(ReadSnafu { path });
    text.map_err(|e| Failure::new(Status::Input, e))
}

/// Writes a new file that only its owner can read.
fn write_new(path: &path::Path, text: &str) -> Result<(), Failure> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;

    if path.exists() {
        let exists = ExistsSnafu { path }.build();
        return Err(Failure::new(Status::Input, exists));
    }
    let opened = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path);
    let result = opened.and_then(|mut file| file.write_all(text.as_bytes()));
    let result = result.context(WriteSnafu { path });
    result.map_err(|e| Failure::new(Status::System, e))
}

/// Reads and checks a bundle's file, and returns its text with the bundle; findings are a failure.
fn load_bundle(path: &path::Path) -> Result<(String, bundle::Bundle), Failure> {
    let text = read(path)?;
    let parsed = bundle::parse(&path.display().to_string(), &text).context(FindingsSnafu { path });
    let bundle = parsed.map_err(|e| Failure::new(Status::Negative, e))?;
    Ok((text, bundle))
}

/// Returns the path of the file that holds the signature of a bundle's file.
fn signature_path(bundle: &path::Path) -> path::PathBuf {
    let mut name = bundle.as_os_str().to_owned();
    name.push(".sig");
    path::PathBuf::from(name)
}

/// The content of a signature file, which is stored beside the bundle's file.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
struct Signature {
    version: u64,
    digest: String,
    signer: String,
    signature: String,
}

impl Signature {
    /// Returns the signed bundle of this signature and the bundle's text.
    fn into_signed(self, text: String) -> peer::SignedBundle {
        peer::SignedBundle {
            version: self.version,
            digest: self.digest,
            signer: self.signer,
            signature: self.signature,
            text,
        }
    }
}
