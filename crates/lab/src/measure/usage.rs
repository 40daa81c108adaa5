//! The resource usage of this process, as the operating system reports it.

use std::fs;

/// The size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;
/// The number of clock ticks per second, in which the system reports processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the resident memory of this process, in bytes.
pub(super) fn resident_bytes() -> u64 {
    read_field("/proc/self/statm", 1) * PAGE_BYTES
}

/// Returns the processor time of this process in user and system mode, in seconds.
pub(super) fn processor_s() -> f64 {
    let (user, system) = (
        read_field("/proc/self/stat", 13),
        read_field("/proc/self/stat", 14),
    );
    (user + system) as f64 / TICKS_PER_SECOND
}

/// Returns the number in the field `index` of the file `path`, or zero if it cannot be read.
fn read_field(path: &str, index: usize) -> u64 {
    let text = fs::read_to_string(path).unwrap_or_default();
    let number = text
        .split_whitespace()
        .nth(index)
        .and_then(|f| f.parse().ok());
    number.unwrap_or(0)
}
