//! The log: JSON lines by `env_logger`, with the key-values of each record as fields beside its message.
//!
//! [`start`] writes to standard error. [`start_on_stdout`] writes to standard output from a thread of its own, so that
//! a reader that is slow or stops does not block the daemon. Lines above the rate limit are dropped and counted; lines
//! about single requests leave room for all others ([`coordination::log_limit`]).

use std::collections::BTreeMap;
use std::error;
use std::io;
use std::io::Write;
use std::sync;
use std::sync::mpsc;
use std::thread;

use log::kv;

use crate::coordination::log_limit;
use crate::state::clock;

/// The key-value that names the request which a line is about.
const REQUEST_KEY: &str = "request";

/// Starts the log of the daemon called `name` with the minimum level `level`, which `RUST_LOG` overrides.
pub fn start(name: &str, level: &str) {
    init(builder(name, level));
}

/// Starts the log as [`start`] does, but on standard output, rate-limited and without blocking the callers.
pub fn start_on_stdout(name: &str, level: &str) {
    let (sender, lines) = mpsc::channel::<Vec<u8>>();
    let limit = sync::Arc::new(sync::Mutex::new(log_limit::LogLimit::default()));
    let written = limit.clone();
    let spawned = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines, &written));
    if let Err(e) = spawned {
        eprintln!("warning: failed to start the log thread, logging to standard error: {e}");
        return start(name, level);
    }
    let mut builder = builder(name, level);
    let queue = LineQueue {
        lines: sender.clone(),
    };
    builder.target(env_logger::Target::Pipe(Box::new(queue)));
    let lines = builder.build();
    let max_level = lines.filter();
    let logger = LimitedLog {
        lines,
        notes: sync::Mutex::new(sender),
        clock: clock::Clock::start(),
        limit,
    };
    match log::set_boxed_logger(Box::new(logger)) {
        Ok(()) => log::set_max_level(max_level),
        Err(e) => eprintln!("warning: the log was already started: {e}"),
    }
}

fn builder(name: &str, level: &str) -> env_logger::Builder {
    let name = name.to_owned();
    let env = env_logger::Env::default().default_filter_or(level);
    let mut builder = env_logger::Builder::from_env(env);
    builder.format(move |out, record| {
        let mut fields = Fields::default();
        if let Err(e) = record.key_values().visit(&mut fields) {
            fields.insert("unreadable", &e.to_string());
        }
        let line = serde_json::json!({
            "time_ms": clock::wall(),
            "level": record.level().as_str().to_lowercase(),
            "daemon": name,
            "module": record.target(),
            "message": record.args().to_string(),
        });
        let line = line.to_string();
        let rest = serde_json::to_string(&fields.0).unwrap_or_default();
        match fields.0.is_empty() {
            true => writeln!(out, "{line}"),
            false => writeln!(out, "{},{}", line.trim_end_matches('}'), &rest[1..]),
        }
    });
    builder
}

fn init(mut builder: env_logger::Builder) {
    if let Err(e) = builder.try_init() {
        eprintln!("warning: the log was already started: {e}");
    }
}

/// The key-values of one record as JSON.
#[derive(Default)]
struct Fields(BTreeMap<String, serde_json::Value>);

impl Fields {
    fn insert(&mut self, key: &str, value: &str) {
        self.0.insert(key.to_owned(), value.into());
    }
}

impl<'kvs> kv::VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(boolean) = value.to_bool() {
            boolean.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

/// Passes on the records that its limit admits.
struct LimitedLog {
    lines: env_logger::Logger,
    /// Receives the notes about lines that were dropped.
    notes: sync::Mutex<mpsc::Sender<Vec<u8>>>,
    clock: clock::Clock,
    limit: sync::Arc<sync::Mutex<log_limit::LogLimit>>,
}

impl LimitedLog {
    /// Returns whether a line may be written, and how many were dropped before it.
    fn admit(&self, kind: log_limit::LineKind) -> (bool, u64) {
        let Ok(mut limit) = self.limit.lock() else {
            return (false, 0);
        };
        match limit.admit(self.clock.now(), kind) {
            true => (true, limit.take_dropped()),
            false => (false, 0),
        }
    }
}

impl log::Log for LimitedLog {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        self.lines.enabled(metadata)
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.lines.matches(record) {
            return;
        }
        let is_of_request = record.key_values().get(REQUEST_KEY.into()).is_some();
        let (is_admitted, dropped) = self.admit(match is_of_request {
            true => log_limit::LineKind::Request,
            false => log_limit::LineKind::Other,
        });
        if !is_admitted {
            return;
        }
        self.lines.log(record);
        if dropped == 0 {
            return;
        }
        let note = serde_json::json!({
            "time_ms": clock::wall(), "level": "warn", "module": "log",
            "message": "lines were dropped", "dropped": dropped,
        });
        if let Ok(notes) = self.notes.lock() {
            // The writing thread ends only once nobody reads the log.
            let _ = notes.send(format!("{note}\n").into_bytes());
        }
    }

    fn flush(&self) {}
}

/// Hands lines to the writing thread.
struct LineQueue {
    lines: mpsc::Sender<Vec<u8>>,
}

impl io::Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // The writing thread ends only once nobody reads the log.
        let _ = self.lines.send(line.to_vec());
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the senders are dropped; all lines that wait are written in one call.
fn write_lines(lines: &mpsc::Receiver<Vec<u8>>, limit: &sync::Mutex<log_limit::LogLimit>) {
    let mut out = io::stdout();
    while let Ok(mut batch) = lines.recv() {
        let mut count = 1;
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
            count += 1;
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // The reader has closed standard output, and there is no other place to report that.
            return;
        }
        if let Ok(mut limit) = limit.lock() {
            limit.record_written(count);
        }
    }
}

/// Returns the message of an error followed by those of its causes, separated by colons.
pub fn error_chain(error: &dyn error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
