//! Measurements of the latency of requests, the cost of an idle fleet, and the growth of costs with size.

use std::time;

pub mod connections;
pub mod fleet;
pub mod latency;
pub mod membership;
pub mod slopes;
mod usage;

/// Returns the quantile `q` of `spans` in milliseconds by the nearest-rank method; zero if `spans` is empty.
fn quantile_ms(spans: &mut [time::Duration], q: f64) -> f64 {
    spans.sort();
    let at = (q * spans.len() as f64).ceil() as usize;
    let span = spans.get(at.saturating_sub(1));
    round(span.map_or(0.0, time::Duration::as_secs_f64) * 1e3)
}

/// Rounds `value` to three decimal places.
fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}
