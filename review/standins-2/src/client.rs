//! Clients: each request goes over a new connection and is recorded with its answer.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// The host of all routes.
pub const HOST: &str = "hulo84.example";

/// Returns a request without a body.
pub fn get(id: &str, path: &str, deadline_ms: u32) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\r\n"
    )
}

/// Returns a request with a body.
pub fn post(id: &str, path: &str, deadline_ms: u32) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nContent-Length: 4\r\n\r\npaid"
    )
}

/// Sends a request and returns the status and the body of its answer; status 0 stands for no answer.
pub fn send(record: &Record, to: SocketAddr, id: &str, request: &str) -> (u16, String) {
    let line = request.lines().next().unwrap_or_default();
    record.line(&format!("client sends {id} to {to} ({line})"));
    let timeout = Duration::from_secs(8);
    match http::exchange(to, request, timeout) {
        Ok(answer) => {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            let after = answer.field("retry-after");
            record.line(&format!(
                "client gets {} for {id} {}",
                answer.status(),
                match answer.status() {
                    200 => format!("({body})"),
                    _ => format!("(Retry-After {after:?})"),
                }
            ));
            (answer.status(), body)
        }
        Err(e) => {
            record.line(&format!("client gets no answer for {id}: {e}"));
            (0, String::new())
        }
    }
}
