//! The platform's store: rows in memory, conditional transactions, reads and feeds.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::{self, Json};

/// The most rows of one response.
const PAGE: usize = 500;

#[derive(Clone)]
struct Row {
    /// The value in base64; absent once the row was removed.
    value: Option<String>,
    ver: u64,
}

/// The key of a row: table, part and key.
type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, Row>,
    ver: u64,
}

/// The store, which serves at `address` until the process ends.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Rows>, Condvar)>,
    began: Instant,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Store {
            address: listener.local_addr()?,
            state: Arc::default(),
            began: Instant::now(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator or an upstream does; returns once the store has accepted it.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.state.0.lock().unwrap();
        rows.ver += 1;
        let row = Row {
            value: Some(json::base64(value.as_bytes())),
            ver: rows.ver,
        };
        rows.rows.insert((table.to_owned(), String::new(), key.to_owned()), row);
        self.state.1.notify_all();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.state.0.lock().unwrap();
        rows.ver += 1;
        let row = Row {
            value: None,
            ver: rows.ver,
        };
        rows.rows.insert((table.to_owned(), String::new(), key.to_owned()), row);
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read() {
            let (status, body) = self.answer(&request);
            let start = format!("HTTP/1.1 {status} -");
            let fields = [("Content-Type", "application/json")];
            if connection.send(&start, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        match path {
            "/peridotspread/rows-get" => self.get(&query),
            "/peridotspread/rows-feed" => self.feed(&query),
            "/peridotspread/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn list(&self, rows: &[(&Key, &Row)], ver: u64, truncated: bool) -> String {
        let rows: Vec<_> = rows.iter().map(|(key, row)| write_row(key, row)).collect();
        let now = self.began.elapsed().as_millis();
        let rows = rows.join(",");
        format!("{{\"rows\":[{rows}],\"ver\":{ver},\"now_ms\":{now},\"truncated\":{truncated}}}")
    }

    fn get(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let limit = text("limit").parse().unwrap_or(PAGE).min(PAGE);
        let (table, part, from, target) = (text("table"), text("part"), text("from"), text("target"));
        let rows = self.state.0.lock().unwrap();
        let found = rows.rows.iter().filter(|((t, p, k), row)| {
            let is_in = *k >= from && (target.is_empty() || *k < target);
            *t == table && *p == part && is_in && row.value.is_some()
        });
        let found: Vec<_> = found.collect();
        let shown = &found[..found.len().min(limit)];
        (200, self.list(shown, rows.ver, shown.len() < found.len()))
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let number = |name: &str| query.get(name).and_then(|v| v.parse().ok()).unwrap_or(0);
        let table = query.get("table").cloned().unwrap_or_default();
        let after: u64 = number("after");
        let end = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut rows = self.state.0.lock().unwrap();
        loop {
            let changed = rows.rows.iter().filter(|((t, ..), row)| *t == table && row.ver > after);
            let mut changed: Vec<_> = changed.collect();
            let left = end.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort_by_key(|(_, row)| row.ver);
                return (200, self.list(&changed, rows.ver, false));
            }
            rows = self.state.1.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let key = |row: &Json| (row.text("table"), row.text("part"), row.text("key"));
        let mut rows = self.state.0.lock().unwrap();
        let changed = call.list("writes").iter().chain(call.list("remove"));
        if changed.clone().any(|row| ["op", "servers"].contains(&row.text("table").as_str())) {
            return (403, "{}".to_owned());
        }
        let holds = call.list("expect").iter().all(|row| {
            let held = rows.rows.get(&key(row)).filter(|r| r.value.is_some());
            held.map_or(0, |r| r.ver) == row.number("ver")
        });
        if !holds {
            let current: Vec<_> = call.list("expect").iter().map(key).collect();
            let current = rows.rows.iter().filter(|(k, r)| current.contains(k) && r.value.is_some());
            let current: Vec<_> = current.collect();
            return (412, self.list(&current, rows.ver, false));
        }
        rows.ver += 1;
        let ver = rows.ver;
        for row in call.list("writes") {
            let value = Some(row.text("value"));
            rows.rows.insert(key(row), Row { value, ver });
        }
        for row in call.list("remove") {
            rows.rows.insert(key(row), Row { value: None, ver });
        }
        self.state.1.notify_all();
        (200, self.list(&[], ver, false))
    }
}

fn write_row((table, part, key): &Key, row: &Row) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    let (table, part, key) = (json::quote(table), json::quote(part), json::quote(key));
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},{value},\"ver\":{}}}", row.ver)
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits: Vec<u8> = rest.by_ref().take(2).collect();
        let digits = String::from_utf8(digits).unwrap_or_default();
        bytes.push(u8::from_str_radix(&digits, 16).unwrap_or_default());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
