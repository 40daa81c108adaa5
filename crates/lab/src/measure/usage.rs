//! What this process uses, as the system counts it.

use std::fs;

/// The bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;
/// The units of processor time in a second.
const TICKS_A_SECOND: f64 = 100.0;

/// Returns the memory that this process holds, in bytes.
pub(super) fn resident_bytes() -> u64 {
    field("/proc/self/statm", 1) * PAGE_BYTES
}

/// Returns the processor time that this process has used, in seconds.
pub(super) fn processor_s() -> f64 {
    let (user, system) = (field("/proc/self/stat", 13), field("/proc/self/stat", 14));
    (user + system) as f64 / TICKS_A_SECOND
}

/// Reads a number from a file of the system; zero where there is none.
fn field(path: &str, index: usize) -> u64 {
    let text = fs::read_to_string(path).unwrap_or_default();
    let number = text
        .split_whitespace()
        .nth(index)
        .and_then(|f| f.parse().ok());
    number.unwrap_or(0)
}
