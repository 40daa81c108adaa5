//! The record of what was sent, answered and run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Writes lines with the time since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
    /// The services that ran each request.
    runs: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
            runs: Arc::default(),
        })
    }

    pub fn add(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {line}");
    }

    pub fn count_run(&self, name: &str, service: &str) {
        let mut runs = self.runs.lock().unwrap();
        runs.entry(name.to_owned()).or_default().push(service.to_owned());
    }

    /// Returns the services that ran a request.
    pub fn runs(&self, name: &str) -> Vec<String> {
        self.runs.lock().unwrap().get(name).cloned().unwrap_or_default()
    }

    /// Returns the Unix time in milliseconds.
    pub fn wall_ms(&self) -> u128 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        now.map(|now| now.as_millis()).unwrap_or_default()
    }
}
