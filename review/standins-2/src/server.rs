//! An upstream: answers by the rules of `Target-Instance` and `Request-Id`, runs each request for a fixed time, and ends
//! when it has left.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::record::Record;

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub path: String,
    /// When the request arrived, since the start of the record.
    pub at: Duration,
    /// When its connection was closed while it ran, or its run ended.
    pub ended: Option<Duration>,
}

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    work: Duration,
    record: Record,
    /// The `Server-Limit` that it names in its answers.
    limit: Arc<Mutex<Option<u32>>>,
    /// Whether it says in its answers that it leaves.
    is_leaving: Arc<AtomicBool>,
    has_left: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Server {
    pub fn start(id: &str, work: Duration, record: &Record) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Server {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            work,
            record: record.clone(),
            limit: Arc::default(),
            is_leaving: Arc::default(),
            has_left: Arc::default(),
            connections: Arc::default(),
            runs: Arc::default(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_left.load(Ordering::SeqCst) {
                    return;
                }
                let server = serving.clone();
                if let Ok(copy) = stream.try_clone() {
                    server.connections.lock().unwrap().push(copy);
                }
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Returns the server's entry in the store.
    pub fn entry(&self, service: &str, state: &str, seq: u32) -> String {
        format!(
            r#"{{"address":"{}","info":{{"service":"{service}","version":"v1","zone":"a","slots":3}},"status":{{"state":"{state}","seq":{seq},"warmup_left_ms":0}},"born":1000}}"#,
            self.address
        )
    }

    pub fn name_limit(&self, limit: u32) {
        *self.limit.lock().unwrap() = Some(limit);
    }

    /// Has it say in all its answers from now on that it leaves.
    pub fn begin_leaving(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Ends the process of the server: its connections break, and it accepts no others.
    pub fn leave(&self) {
        self.has_left.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect(self.address);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Ok(request) = http::read(&mut from) {
            if self.has_left.load(Ordering::SeqCst) {
                return;
            }
            let Some(answer) = self.answer(&request, &mut from) else {
                return;
            };
            if out.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Runs a request, unless it is meant for another server; returns nothing if its connection was closed meanwhile.
    fn answer(&self, request: &Message, from: &mut BufReader<TcpStream>) -> Option<String> {
        let id = request.field("request-id");
        if request.field("target-instance") != self.id {
            self.record
                .line(&format!("server {} answers {id} 421", self.id));
            return Some(format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            ));
        }
        let at = self.record.now();
        let run = self.begin(request, at);
        let limit = *self.limit.lock().unwrap();
        let is_open = wait_while_open(from, self.work);
        self.runs.lock().unwrap()[run].ended = Some(self.record.now());
        let how = match is_open {
            true => "answers it",
            false => "drops it: its connection was closed",
        };
        let ran = (self.record.now() - at).as_millis();
        self.record.line(&format!(
            "server {} ran {id} for {ran} ms and {how}",
            self.id
        ));
        if !is_open {
            return None;
        }
        let limit = limit.map_or(String::new(), |l| format!("Server-Limit: {l}\r\n"));
        let leaving = match self.is_leaving.load(Ordering::SeqCst) {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        let body = format!("{} ran {id}", self.id);
        Some(format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {}.{id}\r\n{limit}{leaving}Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        ))
    }

    fn begin(&self, request: &Message, at: Duration) -> usize {
        let id = request.field("request-id").to_owned();
        let (method, path) = (request.method(), request.path().to_owned());
        self.record
            .line(&format!("server {} runs {id} ({method} {path})", self.id));
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run {
            id,
            path,
            at,
            ended: None,
        });
        runs.len() - 1
    }
}

/// Waits for `span`; returns whether the other end kept the connection open all the while.
fn wait_while_open(from: &mut BufReader<TcpStream>, span: Duration) -> bool {
    let end = Instant::now() + span;
    let stream = from.get_ref();
    let _ = stream.set_nonblocking(true);
    let mut is_open = true;
    while is_open && Instant::now() < end {
        thread::sleep(Duration::from_millis(5).min(end.saturating_duration_since(Instant::now())));
        is_open = match stream.peek(&mut [0]) {
            Ok(read) => read > 0,
            Err(e) => e.kind() == std::io::ErrorKind::WouldBlock,
        };
    }
    let _ = stream.set_nonblocking(false);
    is_open
}
