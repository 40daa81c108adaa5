//! Helpers of the commands that call running daemons.

use std::env;
use std::fs;
use std::net;
use std::path;

use peridotspread::ops::fleet;

use crate::output::{Failure, Outcome, Status};

/// The environment variable that holds the operators' token.
const TOKEN_VARIABLE: &str = "PERIDOTSPREAD_TOKEN";

/// The environment variable that holds the admin address of a daemon.
const ADMIN_VARIABLE: &str = "PERIDOTSPREAD_ADMIN";

/// Returns the admin address `explicit`, else the one in the environment.
fn address(explicit: Option<net::SocketAddr>) -> Result<net::SocketAddr, Failure> {
    let from_env = || env::var(ADMIN_VARIABLE).ok()?.parse().ok();
    explicit.or_else(from_env).ok_or_else(|| {
        let message =
            format!("no daemon is named; give its address by --admin or set {ADMIN_VARIABLE}");
        Failure::new(Status::Usage, message)
    })
}

/// Returns the operators' token from `file`, else from the environment.
pub(super) fn token(file: Option<&path::Path>) -> Result<String, Failure> {
    if let Some(file) = file {
        let text = fs::read_to_string(file).map_err(|e| {
            let message = format!("failed to read the token in {}: {e}", file.display());
            Failure::new(Status::Input, message)
        })?;
        return Ok(text.trim().to_owned());
    }
    env::var(TOKEN_VARIABLE).map_err(|_| {
        let message =
            format!("no token is given; name its file by --token or set {TOKEN_VARIABLE}");
        Failure::new(Status::Usage, message)
    })
}

/// Runs the calls of a subcommand to daemons on a single-threaded runtime.
pub(super) fn block_on(call: impl Future<Output = Outcome>) -> Outcome {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime
        .map_err(|e| Failure::new(Status::System, e))?
        .block_on(call)
}

/// Runs `call` with the options for the daemon at `admin`, else the one in the environment, and the operators' token.
pub(super) fn with_daemon(
    admin: Option<net::SocketAddr>,
    file: Option<&path::Path>,
    call: impl AsyncFnOnce(&fleet::AdminOptions<'_>) -> Outcome,
) -> Outcome {
    let address = address(admin)?;
    let token = token(file)?;
    let options = fleet::AdminOptions {
        address,
        token: &token,
    };
    block_on(call(&options))
}

/// Returns the failure for an error of a call: negative if the daemon refused, else unavailable.
pub(super) fn daemon_failure(error: fleet::Error) -> Failure {
    let status = if error.is_refusal() {
        Status::Negative
    } else {
        Status::Unavailable
    };
    Failure::new(status, error)
}
