//! The log: JSON lines on standard error, by `env_logger`.

use std::error;
use std::io::Write;

use crate::state::clock;

/// Starts the log of the daemon called `name` at the least level `level`, which `RUST_LOG` overrides.
pub fn start(name: &str, level: &str) {
    let name = name.to_owned();
    let env = env_logger::Env::default().default_filter_or(level);
    let started = env_logger::Builder::from_env(env)
        .format(move |out, record| {
            let line = serde_json::json!({
                "time_ms": clock::wall(),
                "level": record.level().as_str().to_lowercase(),
                "daemon": name,
                "module": record.target(),
                "message": record.args().to_string(),
            });
            writeln!(out, "{line}")
        })
        .try_init();
    if let Err(e) = started {
        eprintln!("warning: the log was started before: {e}");
    }
}

/// Returns an error with the chain of its causes, for a person.
pub fn chain(error: &dyn error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
