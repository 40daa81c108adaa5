//! An upstream: runs a number of requests at a time, queues a few more, and drops a request whose connection closes.

use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::record::Record;

/// The requests that wait for a slot.
const QUEUE: usize = 12;

/// Returns how long a request is at work; `None` if it crashes the upstream that begins to run it.
pub type Work = dyn Fn(&Message) -> Option<Duration> + Send + Sync;

/// One upstream, which can crash and come back.
pub struct Upstream {
    /// The id of this start.
    pub id: Mutex<String>,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub address: SocketAddr,
    record: Record,
    work: Box<Work>,
    busy: Mutex<usize>,
    freed: Condvar,
    waiting: AtomicUsize,
    crashes: AtomicU64,
    crashed_at: Mutex<Vec<Instant>>,
    streams: Mutex<Vec<TcpStream>>,
    /// When the upstream is back after a crash.
    down_until: Mutex<Option<Instant>>,
}

/// How a run ended.
enum Run {
    Done,
    Dropped,
    Crashed,
}

impl Upstream {
    /// Starts an upstream on a free port.
    pub fn start(
        ip: Ipv4Addr,
        (id, service, zone): (&str, &str, &str),
        slots: usize,
        record: &Record,
        work: Box<Work>,
    ) -> io::Result<Arc<Upstream>> {
        let listener = TcpListener::bind((ip, 0))?;
        let upstream = Arc::new(Upstream {
            id: Mutex::new(id.to_owned()),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            address: listener.local_addr()?,
            record: record.clone(),
            work,
            busy: Mutex::default(),
            freed: Condvar::new(),
            waiting: AtomicUsize::default(),
            crashes: AtomicU64::default(),
            crashed_at: Mutex::default(),
            streams: Mutex::default(),
            down_until: Mutex::default(),
        });
        let serving = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_down() {
                    reset(&stream);
                    continue;
                }
                if let Ok(copy) = stream.try_clone() {
                    serving.streams.lock().unwrap().push(copy);
                }
                let upstream = serving.clone();
                thread::spawn(move || upstream.serve(stream));
            }
        });
        Ok(upstream)
    }

    pub fn id(&self) -> String {
        self.id.lock().unwrap().clone()
    }

    /// Returns the entry that the upstream writes into the store.
    pub fn entry(&self) -> String {
        format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":{}}},\
             \"status\":{{\"state\":\"ready\",\"seq\":1,\"warmup_left_ms\":0}}}}",
            self.address, self.record.wall_ms(), self.service, self.zone, self.slots
        )
    }

    /// Breaks off everything, and refuses connections for `down`. The entry in the store stays meanwhile, as an upstream
    /// that crashes sends nothing, and the upstream is back under the id that it had.
    pub fn crash(&self, down: Duration) {
        *self.down_until.lock().unwrap() = Some(Instant::now() + down);
        self.crashes.fetch_add(1, Ordering::SeqCst);
        self.crashed_at.lock().unwrap().push(Instant::now());
        for stream in self.streams.lock().unwrap().drain(..) {
            reset(&stream);
        }
    }

    /// Returns when each of these upstreams that crashed did so first, in order.
    pub fn first_crashes(upstreams: &[Arc<Upstream>]) -> Vec<Instant> {
        let first = upstreams.iter().filter_map(|u| u.crashed_at.lock().unwrap().first().copied());
        let mut first: Vec<_> = first.collect();
        first.sort();
        first
    }

    /// Returns how often these upstreams crashed.
    pub fn crash_count(upstreams: &[Arc<Upstream>]) -> usize {
        upstreams.iter().map(|u| u.crashed_at.lock().unwrap().len()).sum()
    }

    fn is_down(&self) -> bool {
        let mut until = self.down_until.lock().unwrap();
        let is_down = until.is_some_and(|until| Instant::now() < until);
        if !is_down {
            *until = None;
        }
        is_down
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read() {
            match self.answer(&mut connection, &request) {
                Ok(true) => {}
                Ok(false) | Err(_) => return,
            }
        }
    }

    /// Runs a request and answers it; returns whether the connection is kept.
    fn answer(&self, connection: &mut Connection, request: &Message) -> io::Result<bool> {
        let began = Instant::now();
        let name = request.field("request-id").unwrap_or_default().to_owned();
        let id = self.id();
        if request.field("target-instance").is_some_and(|target| target != id) {
            let fields = [("Instance-Id", id.as_str()), ("Request-Id", &name)];
            connection.send("HTTP/1.1 421 Misdirected Request", &fields, b"")?;
            return Ok(true);
        }
        let limit = request.field("deadline-ms").and_then(|v| v.parse().ok()).unwrap_or(60_000);
        let deadline = began + Duration::from_millis(limit);
        let fields = [("Not-Executed", "1"), ("Request-Id", name.as_str())];
        if !self.take_slot(deadline) {
            self.record.add(&format!("upstream {id} refuses {name}"));
            connection.send("HTTP/1.1 503 Service Unavailable", &fields, b"")?;
            return Ok(true);
        }
        let path = request.word(1);
        self.record.add(&format!(
            "upstream {id} ({}) runs {name} {} {path}, {} bytes", self.service, request.word(0), request.body.len()
        ));
        self.record.count_run(&name, &self.service);
        let run = self.run(connection, request, deadline);
        *self.busy.lock().unwrap() -= 1;
        self.freed.notify_one();
        match run {
            Run::Done => {}
            Run::Dropped => {
                self.record.add(&format!("upstream {id} drops {name}, whose connection has closed"));
                return Ok(false);
            }
            Run::Crashed => return Ok(false),
        }
        if Instant::now() > deadline {
            let fields = [("Request-Id", name.as_str())];
            connection.send("HTTP/1.1 504 Gateway Timeout", &fields, b"")?;
            return Ok(true);
        }
        let signature = format!("{id}.{name}");
        let fields = [("Request-Id", name.as_str()), ("Response-Signature", &signature), ("Keep-Alive", "timeout=10")];
        let body = format!("{} {path}", self.service);
        connection.send("HTTP/1.1 200 OK", &fields, body.as_bytes())?;
        Ok(true)
    }

    fn take_slot(&self, deadline: Instant) -> bool {
        let mut busy = self.busy.lock().unwrap();
        if *busy >= self.slots && self.waiting.load(Ordering::SeqCst) >= QUEUE {
            return false;
        }
        self.waiting.fetch_add(1, Ordering::SeqCst);
        while *busy >= self.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                self.waiting.fetch_sub(1, Ordering::SeqCst);
                return false;
            }
            busy = self.freed.wait_timeout(busy, left).unwrap().0;
        }
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        *busy += 1;
        true
    }

    fn run(&self, connection: &Connection, request: &Message, deadline: Instant) -> Run {
        /// How often a run looks whether its connection has closed.
        const STEP: Duration = Duration::from_millis(5);
        let Some(work) = (self.work)(request) else {
            let name = request.field("request-id").unwrap_or_default();
            self.record.add(&format!("upstream {} crashes by {name}", self.id()));
            // A moment of work, in which others may begin.
            thread::sleep(Duration::from_millis(20));
            self.crash(Duration::from_millis(3_000));
            return Run::Crashed;
        };
        let crashes = self.crashes.load(Ordering::SeqCst);
        let end = (Instant::now() + work).min(deadline);
        let _ = connection.stream.set_nonblocking(true);
        let mut closed = false;
        while Instant::now() < end && !closed {
            thread::sleep(STEP.min(end.saturating_duration_since(Instant::now())));
            let mut byte = [0];
            closed = match connection.stream.peek(&mut byte) {
                Ok(count) => count == 0,
                Err(e) => e.kind() != io::ErrorKind::WouldBlock,
            };
        }
        let _ = connection.stream.set_nonblocking(false);
        if self.crashes.load(Ordering::SeqCst) != crashes {
            return Run::Crashed;
        }
        if closed { Run::Dropped } else { Run::Done }
    }
}

/// Makes the system reset a connection.
fn reset(stream: &TcpStream) {
    crate::system::reset_on_close(stream);
    let _ = stream.shutdown(Shutdown::Both);
}
