//! Other clients, whose requests are on the same upstreams.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

use crate::config::HOST;
use crate::fleet::{self, Daemon};
use crate::record::Record;

/// Clients that each make one request after the other, at one daemon.
pub struct Others {
    stop: Arc<AtomicBool>,
    /// The requests that an upstream had begun and that ended without a success.
    broken: Arc<AtomicUsize>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Others {
    /// Starts a number of clients at each daemon, whose paths begin with `prefix`.
    pub fn start(record: &Record, daemons: &[Daemon], clients: usize, prefix: &'static str) -> Others {
        let (stop, broken) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let mut threads = Vec::new();
        for client in 0..clients * daemons.len() {
            let (record, stop, broken) = (record.clone(), stop.clone(), broken.clone());
            let front = daemons[client % daemons.len()].front;
            threads.push(thread::spawn(move || {
                for n in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let (name, path) = (format!("fee-{client}-{n}"), format!("{prefix}{client}/{n}"));
                    let fields = [("Host", HOST), ("Request-Id", name.as_str()), ("Deadline-Ms", "4000")];
                    let answer = fleet::request(front, &format!("POST {path} HTTP/1.1"), &fields, b"fee=1200");
                    let status = answer.map(|a| a.status()).unwrap_or_default();
                    if status != 200 {
                        let ran = record.runs(&name).len();
                        broken.fetch_add(ran.min(1), Ordering::SeqCst);
                        record.add(&format!("another client's {name} gets {status}; it was begun {ran} times"));
                    }
                }
            }));
        }
        Others { stop, broken, threads }
    }

    /// Stops the clients; returns the requests that an upstream had begun and that ended without a success.
    pub fn stop(self) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.broken.load(Ordering::SeqCst)
    }
}
