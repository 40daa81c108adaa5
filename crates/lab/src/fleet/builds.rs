//! Earlier builds of the daemon, made from the history of the repository, for fleets of two builds side by side.

#![allow(clippy::disallowed_types)] // only the lab starts processes

use std::path;
use std::process;
use std::sync;

use snafu::{ResultExt, ensure};

/// The directory of earlier builds, below the directory of the workspace.
const BUILDS_DIR: &str = "target/builds";

/// An error of building an earlier commit.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// A program cannot be started.
    #[snafu(display("failed to start {program}"))]
    Start {
        /// The name of the program.
        program: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A program failed.
    #[snafu(display("{program} failed for the commit {commit}; the history must contain it"))]
    Failed {
        /// The name of the program.
        program: String,
        /// The commit.
        commit: String,
    },
}

/// Returns the path of the daemon of `commit`, which is built unless it was built before.
///
/// # Errors
///
/// Returns an error if the history does not contain the commit, or its build fails.
pub fn daemon_of(commit: &str) -> Result<path::PathBuf, Error> {
    // Tests of one process may need the same build at the same time.
    static BUILDING: sync::Mutex<()> = sync::Mutex::new(());
    let _building = BUILDING.lock().unwrap_or_else(|e| e.into_inner());
    let workspace = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let builds = workspace.join(BUILDS_DIR);
    let sources = builds.join(commit);
    let daemon = builds.join("target/debug/peridotspreadd");
    let kept = builds.join(format!("peridotspreadd-{commit}"));
    if kept.is_file() {
        return Ok(kept);
    }
    if !sources.join("Cargo.toml").is_file() {
        let archive = sources.with_extension("tar");
        std::fs::create_dir_all(&sources).context(StartSnafu { program: "mkdir" })?;
        let mut git = process::Command::new("git");
        git.current_dir(&workspace).arg("archive").arg("--output");
        run(git.arg(&archive).arg(commit), "git", commit)?;
        let mut tar = process::Command::new("tar");
        tar.arg("--extract").arg("--file").arg(&archive);
        run(tar.arg("--directory").arg(&sources), "tar", commit)?;
    }
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut cargo = process::Command::new(cargo);
    cargo
        .current_dir(&sources)
        .env("CARGO_TARGET_DIR", builds.join("target"))
        .args(["build", "--quiet", "--locked", "--bin", "peridotspreadd"]);
    // The variables that Cargo sets for the lab describe another package.
    for (name, _) in std::env::vars_os() {
        let text = name.to_string_lossy();
        if text.starts_with("CARGO_PKG_") || text.starts_with("CARGO_MANIFEST_") {
            cargo.env_remove(&name);
        }
    }
    run(&mut cargo, "cargo", commit)?;
    std::fs::copy(&daemon, &kept).context(StartSnafu { program: "copy" })?;
    Ok(kept)
}

fn run(command: &mut process::Command, program: &str, commit: &str) -> Result<(), Error> {
    let status = command.status().context(StartSnafu { program })?;
    ensure!(status.success(), FailedSnafu { program, commit });
    Ok(())
}
