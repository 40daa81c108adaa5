//! Output and exit statuses of the tool; `docs/EXIT-STATUSES.md` lists the statuses.

use std::error;
use std::io::{self, Write};
use std::process;

use serde::Serialize;

/// The exit status of the tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Status {
    /// The operation is done, or the check passed.
    Success = 0,
    /// The result is negative: there are findings or differences, a rollout did not win, or a daemon refused.
    Negative = 1,
    /// The command line is invalid.
    Usage = 2,
    /// A file cannot be read, or its content is invalid.
    Input = 66,
    /// The platform or a daemon cannot be reached; nothing was done.
    Unavailable = 69,
    /// A file cannot be written, or a system resource is missing.
    System = 71,
    /// The outcome is unknown: the operation may have taken effect.
    Unknown = 75,
}

impl From<Status> for process::ExitCode {
    fn from(status: Status) -> process::ExitCode {
        process::ExitCode::from(status as u8)
    }
}

/// An error with the status that the tool exits with.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) status: Status,
    pub(crate) error: Box<dyn error::Error>,
}

impl Failure {
    /// Creates a failure that exits with `status`.
    pub(crate) fn new(status: Status, error: impl Into<Box<dyn error::Error>>) -> Failure {
        Failure {
            status,
            error: error.into(),
        }
    }
}

/// The result of a subcommand.
pub(crate) type Outcome = Result<Status, Failure>;

/// Prints `report` as one line of JSON if `json` is set, else `text`.
pub(crate) fn print_report<T: Serialize>(json: bool, report: &T, text: &str) {
    if !json {
        print_line(text);
        return;
    }
    match serde_json::to_string(report) {
        Ok(line) => print_line(&line),
        Err(e) => print_failure(&Failure::new(Status::System, e)),
    }
}

/// Prints a line, and ignores a closed output: a reader such as `head` may close it early.
fn print_line(line: &str) {
    if let Err(e) = writeln!(io::stdout(), "{line}") {
        log::debug!("failed to write the output: {e}");
    }
}

/// Prints a failure and its causes to standard error.
pub(crate) fn print_failure(failure: &Failure) {
    eprintln!("error: {}", failure.error);
    let mut source = failure.error.source();
    while let Some(cause) = source {
        eprintln!("  caused by: {cause}");
        source = cause.source();
    }
}
