//! What the tool prints, and the status that it exits with; `docs/EXIT-STATUSES.md` lists them.

use std::error;
use std::io::{self, Write};
use std::process;

use serde::Serialize;

/// How a run of the tool ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Status {
    /// What was asked for is done or holds.
    Good = 0,
    /// The answer is negative: there are findings, differences, or a rollout did not win.
    Negative = 1,
    /// The command line can't be understood.
    Usage = 2,
    /// A file can't be read, or holds nothing that can be used.
    Input = 66,
    /// The platform or a daemon can't be reached; nothing was done.
    Unavailable = 69,
    /// A file can't be written, or the system lacks something.
    System = 71,
    /// The outcome is not known: it may have been done.
    Unknown = 75,
}

impl From<Status> for process::ExitCode {
    fn from(status: Status) -> process::ExitCode {
        process::ExitCode::from(status as u8)
    }
}

/// A failure that ends the run.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) status: Status,
    pub(crate) error: Box<dyn error::Error>,
}

impl Failure {
    /// Ends the run with `status` for `error`.
    pub(crate) fn new(status: Status, error: impl Into<Box<dyn error::Error>>) -> Failure {
        Failure {
            status,
            error: error.into(),
        }
    }
}

/// How a subcommand ends.
pub(crate) type Outcome = Result<Status, Failure>;

/// Prints `report` as one line of JSON, or `text` for a person.
pub(crate) fn report<T: Serialize>(json: bool, report: &T, text: &str) {
    if !json {
        print(text);
        return;
    }
    match serde_json::to_string(report) {
        Ok(line) => print(&line),
        Err(e) => fail(&Failure::new(Status::System, e)),
    }
}

/// Prints a line; a reader that has gone away, such as `head`, is no fault.
fn print(line: &str) {
    if let Err(e) = writeln!(io::stdout(), "{line}") {
        log::debug!("the output is not read: {e}");
    }
}

/// Prints a failure with its causes.
pub(crate) fn fail(failure: &Failure) {
    eprintln!("error: {}", failure.error);
    let mut source = failure.error.source();
    while let Some(cause) = source {
        eprintln!("  caused by: {cause}");
        source = cause.source();
    }
}
