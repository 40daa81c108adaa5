//! Measurements: what one request costs, what a fleet costs at rest, and how the costs of single parts grow.

use std::time;

pub mod connections;
pub mod fleet;
pub mod latency;
pub mod membership;
pub mod slopes;
mod usage;

/// Returns the quantile `q` of `spans` in milliseconds; zero where there are none.
fn quantile_ms(spans: &mut [time::Duration], q: f64) -> f64 {
    spans.sort();
    let at = (q * spans.len() as f64).ceil() as usize;
    let span = spans.get(at.saturating_sub(1));
    round(span.map_or(0.0, time::Duration::as_secs_f64) * 1e3)
}

/// Rounds to three digits after the point.
fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}
