//! One daemon as a process of its own: started, signalled and ended by its id.

#![allow(clippy::disallowed_types)] // only the lab starts processes

use std::fs;
use std::path;
use std::process;
use std::time;

use rustix::process as unix;
use snafu::{OptionExt, ResultExt};
use tokio::process::{Child, Command};

/// Why a process can't be started or signalled.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// The program can't be found or built.
    #[snafu(display("no {name} beside the lab; run `cargo build --workspace` first"))]
    NoProgram {
        /// The program's name.
        name: String,
    },
    /// The process can't be started.
    #[snafu(display("can't start {}", path.display()))]
    Start {
        /// The program.
        path: path::PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The process has ended.
    #[snafu(display("the process has ended"))]
    Ended,
    /// The signal can't be sent.
    #[snafu(display("the signal can't be sent"))]
    Signal {
        /// What the system said.
        source: rustix::io::Errno,
    },
    /// The process did not end in time.
    #[snafu(display("the process did not end within {limit:?}"))]
    Runs {
        /// How long was waited.
        limit: time::Duration,
    },
}

/// Returns the path of a program of this workspace; builds it first where cargo started the lab.
///
/// # Errors
///
/// Returns an error if there is no such program beside the lab.
pub fn find_program(name: &str) -> Result<path::PathBuf, Error> {
    static BUILD: std::sync::Once = std::sync::Once::new();
    BUILD.call_once(build);
    let lab = std::env::current_exe().unwrap_or_default();
    // Test binaries stand one level below the programs.
    let mut places = lab.ancestors().skip(1).take(2).map(|dir| dir.join(name));
    places
        .find(|p| p.is_file())
        .context(NoProgramSnafu { name })
}

/// Builds the workspace's programs in the lab's own profile.
fn build() {
    let Some(cargo) = std::env::var_os("CARGO") else {
        return;
    };
    let mut command = process::Command::new(cargo);
    command.args(["build", "--quiet", "--workspace", "--bins"]);
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    // What cargo sets for the lab would make build scripts run again.
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
        log::warn!("the programs can't be built; those that stand beside the lab are used");
    }
}

/// A running process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    id: u32,
}

impl Process {
    /// Starts `program` with one argument; its output goes to the file `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
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
        let id = child.id().context(EndedSnafu)?;
        Ok(Process { child, id })
    }

    /// Returns the process's id.
    pub fn id(&self) -> u32 {
        self.id
    }

    fn signal(&self, signal: unix::Signal) -> Result<(), Error> {
        // The id is that of an unreaped child, so no other process has it.
        let id = self.child.id().context(EndedSnafu)?;
        let id = i32::try_from(id).ok().and_then(unix::Pid::from_raw);
        unix::kill_process(id.context(EndedSnafu)?, signal).context(SignalSnafu)
    }

    /// Stops the process where it stands.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn freeze(&self) -> Result<(), Error> {
        self.signal(unix::Signal::STOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn resume(&self) -> Result<(), Error> {
        self.signal(unix::Signal::CONT)
    }

    /// Asks the process to shut down gracefully.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn terminate(&self) -> Result<(), Error> {
        self.signal(unix::Signal::TERM)
    }

    /// Kills the process at once and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be killed.
    pub async fn kill(&mut self) -> Result<(), Error> {
        self.signal(unix::Signal::KILL)?;
        let _ = self.child.wait().await;
        Ok(())
    }

    /// Waits for the process's end.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has not ended within `limit`.
    pub async fn wait_for_exit(
        &mut self,
        limit: time::Duration,
    ) -> Result<process::ExitStatus, Error> {
        let ended = tokio::time::timeout(limit, self.child.wait()).await;
        ended.ok().and_then(Result::ok).context(RunsSnafu { limit })
    }
}

/// Runs the lab itself with `arguments`, and returns what it printed; none where it failed.
pub fn run_lab(arguments: &[&str]) -> Option<String> {
    let program = std::env::current_exe().ok()?;
    let output = process::Command::new(program)
        .args(arguments)
        .output()
        .ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then_some(text)
}

/// What the system accounts to one process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time in seconds, of user and system together.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub rss: u64,
}

/// Reads what the system accounts to the process `id`; none where it has ended.
pub fn usage(id: u32) -> Option<Usage> {
    const FIELDS_BEFORE_CPU: usize = 11;
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The program's name stands in parentheses and may hold spaces.
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
