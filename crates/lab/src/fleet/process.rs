//! A daemon process, which is started, signalled and killed by its id.

#![allow(clippy::disallowed_types)] // only the lab starts processes

use std::fs;
use std::path;
use std::process;
use std::time;

use rustix::process as unix;
use snafu::{OptionExt, ResultExt};
use tokio::process::{Child, Command};

/// An error of starting, signalling or waiting for a process.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// The program was not found and could not be built.
    #[snafu(display(
        "no program {name} in the directory of the lab; run `cargo build --workspace` first"
    ))]
    NoProgram {
        /// The name of the program.
        name: String,
    },
    /// The process cannot be started.
    #[snafu(display("failed to start {}", path.display()))]
    Start {
        /// The path of the program.
        path: path::PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The process has exited.
    #[snafu(display("the process has exited"))]
    Exited,
    /// The signal cannot be sent.
    #[snafu(display("failed to send the signal"))]
    Signal {
        /// The error of the operating system.
        source: rustix::io::Errno,
    },
    /// The process did not exit in time.
    #[snafu(display("the process did not exit within {limit:?}"))]
    TimedOut {
        /// The timeout.
        limit: time::Duration,
    },
}

/// Returns the path of a program of this workspace. If Cargo started the lab, the programs are built first, once for
/// each process.
///
/// # Errors
///
/// Returns an error if the directory of the lab does not contain the program.
pub fn find_program(name: &str) -> Result<path::PathBuf, Error> {
    static BUILD: std::sync::Once = std::sync::Once::new();
    BUILD.call_once(build_programs);
    let lab = std::env::current_exe().unwrap_or_default();
    // Test binaries are in a subdirectory of the directory that contains the programs.
    let mut paths = lab.ancestors().skip(1).take(2).map(|dir| dir.join(name));
    paths.find(|p| p.is_file()).context(NoProgramSnafu { name })
}

/// Builds the programs of the workspace in the profile of the lab.
fn build_programs() {
    let Some(cargo) = std::env::var_os("CARGO") else {
        return;
    };
    let mut command = process::Command::new(cargo);
    command.args(["build", "--quiet", "--workspace", "--bins"]);
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    // The variables that Cargo sets for the lab would make build scripts run again.
    for (name, _) in std::env::vars_os() {
        let text = name.to_string_lossy();
        if text.starts_with("CARGO_PKG_") || text.starts_with("CARGO_MANIFEST_") {
            command.env_remove(&name);
        }
    }
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    if !command.status().is_ok_and(|s| s.success()) {
        log::warn!("failed to build the programs; using those in the directory of the lab");
    }
}

/// A running process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    id: u32,
}

impl Process {
    /// Starts `program` with one argument and appends its output to the file `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start(
        program: &path::Path,
        argument: &path::Path,
        log: &path::Path,
    ) -> Result<Process, Error> {
        let path = program;
        let context = StartSnafu { path };
        let options = fs::OpenOptions::new().create(true).append(true).to_owned();
        let output = options.open(log).context(context)?;
        let errors = output.try_clone().context(context)?;
        let child = Command::new(program)
            .arg(argument)
            .stdin(process::Stdio::null())
            .stdout(output)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .context(context)?;
        let id = child.id().context(ExitedSnafu)?;
        Ok(Process { child, id })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.id
    }

    fn signal(&self, signal: unix::Signal) -> Result<(), Error> {
        // The child has not been reaped, so no other process can have its id.
        let id = self.child.id().context(ExitedSnafu)?;
        let id = i32::try_from(id).ok().and_then(unix::Pid::from_raw);
        unix::kill_process(id.context(ExitedSnafu)?, signal).context(SignalSnafu)
    }

    /// Freezes the process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn freeze(&self) -> Result<(), Error> {
        self.signal(unix::Signal::STOP)
    }

    /// Resumes a frozen process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn resume(&self) -> Result<(), Error> {
        self.signal(unix::Signal::CONT)
    }

    /// Asks the process to shut down gracefully with SIGTERM.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn terminate(&self) -> Result<(), Error> {
        self.signal(unix::Signal::TERM)
    }

    /// Asks the process to read its settings again with SIGHUP.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn reload(&self) -> Result<(), Error> {
        self.signal(unix::Signal::HUP)
    }

    /// Kills the process with SIGKILL and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed.
    pub async fn kill(&mut self) -> Result<(), Error> {
        self.signal(unix::Signal::KILL)?;
        let _ = self.child.wait().await;
        Ok(())
    }

    /// Waits until the process has exited and returns its exit status.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has not exited within `limit`.
    pub async fn wait_for_exit(
        &mut self,
        limit: time::Duration,
    ) -> Result<process::ExitStatus, Error> {
        let status = tokio::time::timeout(limit, self.child.wait()).await;
        status
            .ok()
            .and_then(Result::ok)
            .context(TimedOutSnafu { limit })
    }
}

/// Runs the program of the lab with `arguments` and returns its standard output; `None` if it fails.
pub fn run_lab(arguments: &[&str]) -> Option<String> {
    let program = std::env::current_exe().ok()?;
    let output = process::Command::new(program)
        .args(arguments)
        .output()
        .ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then_some(text)
}

/// The resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// The processor time in user and system mode, in seconds.
    pub cpu_s: f64,
    /// The resident memory, in bytes.
    pub rss: u64,
}

/// Reads the resource usage of the process `id`; `None` if it has exited.
pub fn usage(id: u32) -> Option<Usage> {
    const FIELDS_BEFORE_CPU: usize = 11;
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name of the program is in parentheses and may contain spaces.
    let (_, rest) = stat.rsplit_once(") ")?;
    let mut fields = rest.split(' ').skip(FIELDS_BEFORE_CPU);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    let statm = fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
    let pages: u64 = statm.split(' ').nth(1)?.parse().ok()?;
    Some(Usage {
        cpu_s: (user + system) / rustix::param::clock_ticks_per_second() as f64,
        rss: pages * rustix::param::page_size() as u64,
    })
}
