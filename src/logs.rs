//! The log: JSON lines by `env_logger`, with the key-values of each record as fields beside its message.
//!
//! [`start`] writes to standard error. [`start_on_stdout`] writes to standard output from a thread of its own, so that
//! a reader that is slow or stops does not block the daemon; lines above the rate limit are dropped and counted.

use std::collections::BTreeMap;
use std::error;
use std::io;
use std::io::Write;
use std::sync::mpsc;
use std::thread;

use log::kv;

use crate::state::clock;

/// The most lines that wait for a slow reader.
const QUEUED_LINES: usize = 2_048;
/// The most lines that may be written in a burst.
const BURST_LINES: f64 = 400.0;
/// The sustained rate in lines per second; a busy daemon writes several lines per request.
const LINES_PER_S: f64 = 200.0;

/// Starts the log of the daemon called `name` with the minimum level `level`, which `RUST_LOG` overrides.
pub fn start(name: &str, level: &str) {
    init(builder(name, level));
}

/// Starts the log as [`start`] does, but on standard output, rate-limited and without blocking the callers.
pub fn start_on_stdout(name: &str, level: &str) {
    let (sender, lines) = mpsc::sync_channel::<Vec<u8>>(QUEUED_LINES);
    let spawned = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines));
    if let Err(e) = spawned {
        eprintln!("warning: failed to start the log thread, logging to standard error: {e}");
        return start(name, level);
    }
    let mut builder = builder(name, level);
    builder.target(env_logger::Target::Pipe(Box::new(LimitedWriter::new(
        sender,
    ))));
    init(builder);
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

/// Sends lines to the writing thread under a token bucket, and counts those that it drops.
struct LimitedWriter {
    lines: mpsc::SyncSender<Vec<u8>>,
    clock: clock::Clock,
    last: clock::Millis,
    tokens: f64,
    dropped: u64,
}

impl LimitedWriter {
    fn new(lines: mpsc::SyncSender<Vec<u8>>) -> LimitedWriter {
        LimitedWriter {
            lines,
            clock: clock::Clock::start(),
            last: clock::Millis::ZERO,
            tokens: BURST_LINES,
            dropped: 0,
        }
    }

    fn take_token(&mut self) -> bool {
        let now = self.clock.now();
        let refill = (now - self.last).0 as f64 / 1_000.0 * LINES_PER_S;
        self.tokens = (self.tokens + refill).min(BURST_LINES);
        self.last = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn try_send(&mut self, line: &[u8]) -> bool {
        self.lines.try_send(line.to_vec()).is_ok()
    }
}

impl io::Write for LimitedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !self.take_token() || !self.try_send(line) {
            self.dropped += 1;
            return Ok(line.len());
        }
        if self.dropped > 0 {
            let dropped = self.dropped;
            let note = serde_json::json!({
                "time_ms": clock::wall(), "level": "warn", "module": "log",
                "message": "lines were dropped", "dropped": dropped,
            });
            if self.try_send(format!("{note}\n").as_bytes()) {
                self.dropped = 0;
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the senders are dropped; all lines that wait are written in one call.
fn write_lines(lines: &mpsc::Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(mut batch) = lines.recv() {
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // The reader has closed standard output, and there is no other place to report that.
            return;
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
