//! What the commands share that ask running daemons.

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

/// Returns the admin address that is `given`, else that of the environment.
fn address(given: Option<net::SocketAddr>) -> Result<net::SocketAddr, Failure> {
    let named = || env::var(ADMIN_VARIABLE).ok()?.parse().ok();
    given.or_else(named).ok_or_else(|| {
        let message =
            format!("no daemon is named; give its address by --admin or set {ADMIN_VARIABLE}");
        Failure::new(Status::Usage, message)
    })
}

/// Returns the operators' token from `file`, else from the environment.
pub(super) fn token(file: Option<&path::Path>) -> Result<String, Failure> {
    if let Some(file) = file {
        let text = fs::read_to_string(file).map_err(|e| {
            let message = format!("can't read the token in {}: {e}", file.display());
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

/// Runs a subcommand that waits for daemons.
pub(super) fn block_on(work: impl Future<Output = Outcome>) -> Outcome {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime
        .map_err(|e| Failure::new(Status::System, e))?
        .block_on(work)
}

/// Does `work` with the daemon at `admin`, else that of the environment, under the operators' token.
pub(super) fn ask(
    admin: Option<net::SocketAddr>,
    file: Option<&path::Path>,
    work: impl AsyncFnOnce(&fleet::AdminOptions<'_>) -> Outcome,
) -> Outcome {
    let address = address(admin)?;
    let token = token(file)?;
    let options = fleet::AdminOptions {
        address,
        token: &token,
    };
    block_on(work(&options))
}

/// Ends the run for a daemon that gave no answer.
pub(super) fn failure(error: fleet::Error) -> Failure {
    let status = if error.is_refusal() {
        Status::Negative
    } else {
        Status::Unavailable
    };
    Failure::new(status, error)
}
