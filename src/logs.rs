//! The log: JSON lines by `env_logger`, with the fields of each record beside its message.
//!
//! The product's daemon writes to standard error. [`start_on_stdout`] writes to standard output by a thread of its own:
//! a reader that is slow or stops holds up nobody. What passes the bounds is dropped and counted.

use std::collections::BTreeMap;
use std::error;
use std::io;
use std::io::Write;
use std::sync::mpsc;
use std::thread;

use log::kv;

use crate::state::clock;

/// The lines that wait for a slow reader.
const WAITING_LINES: usize = 2_048;
/// The lines that may come at once.
const BURST_LINES: f64 = 400.0;
/// The lines a second that are written in the long run; several for each request of a busy daemon.
const LINES_PER_S: f64 = 200.0;

/// Starts the log of the daemon called `name` at the least level `level`, which `RUST_LOG` overrides.
pub fn start(name: &str, level: &str) {
    begin(builder(name, level));
}

/// Starts the log as [`start`] does, on standard output, with bounds and without ever blocking its writers.
pub fn start_on_stdout(name: &str, level: &str) {
    let (sender, lines) = mpsc::sync_channel::<Vec<u8>>(WAITING_LINES);
    let spawned = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines));
    if let Err(e) = spawned {
        eprintln!("warning: no thread for the log, which goes to standard error: {e}");
        return start(name, level);
    }
    let mut builder = builder(name, level);
    builder.target(env_logger::Target::Pipe(Box::new(Bounded::new(sender))));
    begin(builder);
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

fn begin(mut builder: env_logger::Builder) {
    if let Err(e) = builder.try_init() {
        eprintln!("warning: the log was started before: {e}");
    }
}

/// The fields of one record.
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
        } else if let Some(truth) = value.to_bool() {
            truth.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

/// Passes lines on as long as the bounds allow, and counts the rest.
struct Bounded {
    lines: mpsc::SyncSender<Vec<u8>>,
    clock: clock::Clock,
    last: clock::Millis,
    allowed: f64,
    dropped: u64,
}

impl Bounded {
    fn new(lines: mpsc::SyncSender<Vec<u8>>) -> Bounded {
        Bounded {
            lines,
            clock: clock::Clock::start(),
            last: clock::Millis::ZERO,
            allowed: BURST_LINES,
            dropped: 0,
        }
    }

    fn is_allowed(&mut self) -> bool {
        let now = self.clock.now();
        let earned = (now - self.last).0 as f64 / 1_000.0 * LINES_PER_S;
        self.allowed = (self.allowed + earned).min(BURST_LINES);
        self.last = now;
        if self.allowed < 1.0 {
            return false;
        }
        self.allowed -= 1.0;
        true
    }

    fn pass(&mut self, line: &[u8]) -> bool {
        self.lines.try_send(line.to_vec()).is_ok()
    }
}

impl io::Write for Bounded {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !self.is_allowed() || !self.pass(line) {
            self.dropped += 1;
            return Ok(line.len());
        }
        if self.dropped > 0 {
            let dropped = self.dropped;
            let note = serde_json::json!({
                "time_ms": clock::wall(), "level": "warn", "module": "log",
                "message": "lines were dropped", "dropped": dropped,
            });
            if self.pass(format!("{note}\n").as_bytes()) {
                self.dropped = 0;
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the log ends; those that wait go out together.
fn write_lines(lines: &mpsc::Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(mut batch) = lines.recv() {
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // Nobody reads any more, and there is no other place to say so.
            return;
        }
    }
}

/// Returns an error with the chain of its causes, for a person.
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
