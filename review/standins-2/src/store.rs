//! The platform's store: tables of rows, transactions, a feed of changes, and a drill that brings back an earlier copy.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Json, quote};

#[derive(Clone, Debug)]
struct Row {
    /// The value in base64; absent if the row was dropped.
    value: Option<String>,
    ver: u64,
}

/// Table, part and key.
type Key = (String, String, String);

#[derive(Clone, Debug, Default)]
struct State {
    rows: BTreeMap<Key, Row>,
    ver: u64,
    era: u64,
    away: bool,
}

/// A copy of all rows, from which a drill brings the store back.
pub struct Copy(State);

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    began: Instant,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Store {
            address: listener.local_addr().expect("an address"),
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
        store
    }

    /// Writes a row as the operator, a server or another writer does.
    pub fn put(&self, table: &str, part: &str, key: &str, value: &str) {
        let row = Some(base64(value.as_bytes()));
        self.write(table, part, key, row);
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, part: &str, key: &str) {
        self.write(table, part, key, None);
    }

    fn write(&self, table: &str, part: &str, key: &str, value: Option<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.ver += 1;
        let ver = state.ver;
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        state.rows.insert(key, Row { value, ver });
        changed.notify_all();
    }

    /// Returns a copy of all rows as they are now.
    pub fn copy(&self) -> Copy {
        Copy(self.state.0.lock().unwrap().clone())
    }

    /// Has the store answer no call until [`Store::come_back`].
    pub fn go_away(&self) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().away = true;
        changed.notify_all();
    }

    /// Has the store answer again, from `copy`: what was written since is gone, and the era rises by one.
    pub fn come_back(&self, copy: Copy) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let era = state.era + 1;
        *state = State {
            era,
            away: false,
            ..copy.0
        };
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Ok(request) = http::read(&mut from) {
            let (status, body) = self.answer(&request);
            let era = self.state.0.lock().unwrap().era;
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let unavailable = (503, "{}".to_owned());
        if self.state.0.lock().unwrap().away {
            return unavailable;
        }
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs
                .find(|(n, _)| *n == name)
                .map_or(String::new(), |(_, v)| decode(v))
        };
        match path {
            "/peridotspread/rows-tx" => self.commit(&String::from_utf8_lossy(&request.body)),
            "/peridotspread/rows-get" => {
                let limit: usize = param("limit").parse().unwrap_or(500);
                self.list(
                    &param("table"),
                    &param("part"),
                    &param("from"),
                    limit.min(500),
                )
            }
            "/peridotspread/rows-feed" => {
                let after = param("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(param("wait_ms").parse().unwrap_or(0));
                self.feed(&param("table"), after, wait)
                    .unwrap_or(unavailable)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.began.elapsed().as_millis()
    }

    fn commit(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let entries = |name: &str| call.get(name).map_or(Vec::new(), |e| e.list().to_vec());
        let key_of = |row: &Json| {
            let text = |name: &str| row.get(name).map_or("", Json::text).to_owned();
            (text("table"), text("part"), text("key"))
        };
        for row in entries("expect") {
            let held = state.rows.get(&key_of(&row)).filter(|r| r.value.is_some());
            let held = held.map_or(0, |r| r.ver);
            if row.get("ver").map_or(0.0, Json::number) != held as f64 {
                let expected = entries("expect");
                let current = expected.iter().filter_map(|row| {
                    let key = key_of(row);
                    let row = state.rows.get(&key).filter(|r| r.value.is_some())?;
                    Some(write_row(&key, row))
                });
                let rows: Vec<_> = current.collect();
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                    rows.join(","),
                    state.ver,
                    self.now_ms()
                );
                return (412, body);
            }
        }
        state.ver += 1;
        let ver = state.ver;
        for row in entries("writes") {
            let value = row.get("value").map(|v| v.text().to_owned());
            state.rows.insert(key_of(&row), Row { value, ver });
        }
        for row in entries("remove") {
            state.rows.insert(key_of(&row), Row { value: None, ver });
        }
        changed.notify_all();
        (
            200,
            format!("{{\"ver\":{ver},\"now_ms\":{}}}", self.now_ms()),
        )
    }

    /// Returns the rows of one part of a table.
    fn list(&self, table: &str, part: &str, from: &str, limit: usize) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let rows = state.rows.iter().filter(|((t, p, k), row)| {
            t == table && p == part && k.as_str() >= from && row.value.is_some()
        });
        let all: Vec<_> = rows.map(|(key, row)| write_row(key, row)).collect();
        let truncated = all.len() > limit;
        let rows = all[..all.len().min(limit)].join(",");
        let body = format!(
            "{{\"rows\":[{rows}],\"truncated\":{truncated},\"ver\":{},\"now_ms\":{}}}",
            state.ver,
            self.now_ms()
        );
        (200, body)
    }

    /// Waits until rows of a table, of any part, have changed; returns nothing if the store went away meanwhile.
    fn feed(&self, table: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let end = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            if state.away {
                return None;
            }
            if after > state.ver {
                return Some((410, "{}".to_owned()));
            }
            let newer = state.rows.iter();
            let newer = newer.filter(|((t, _, _), row)| t == table && row.ver > after);
            let mut newer: Vec<_> = newer.collect();
            newer.sort_by_key(|(_, row)| row.ver);
            let left = end.saturating_duration_since(Instant::now());
            if !newer.is_empty() || left.is_zero() {
                let rows: Vec<_> = newer.iter().map(|(key, row)| write_row(key, row)).collect();
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                    rows.join(","),
                    state.ver,
                    self.now_ms()
                );
                return Some((200, body));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn write_row((table, part, key): &Key, row: &Row) -> String {
    let rest = match &row.value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"ver\":{},{rest}}}",
        quote(table),
        quote(part),
        quote(key),
        row.ver
    )
}

/// Decodes a value of a query.
fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        out.push(match byte {
            b'%' => {
                let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                u8::from_str_radix(&digits, 16).unwrap_or(b'?')
            }
            byte => byte,
        });
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let word = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for n in 0..4 {
            let digit = (word >> (18 - 6 * n)) & 63;
            out.push(match n <= chunk.len() {
                true => DIGITS[digit as usize] as char,
                false => '=',
            });
        }
    }
    out
}
