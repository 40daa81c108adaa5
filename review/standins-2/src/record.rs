//! The record of a run: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    began: Instant,
    out: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record {
            began: Instant::now(),
            out: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: &str) {
        let now = self.now().as_secs_f64();
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{now:8.3}  {text}");
    }

    /// Writes a line that also goes to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
        let _ = self.out.lock().unwrap().flush();
    }
}
