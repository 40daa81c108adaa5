//! A hash that is the same on all hosts and in all versions, for decisions that daemons take alike.

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Hashes `parts` with FNV-1a and a finishing mix.
pub fn hash(parts: &[&str]) -> u64 {
    mix(parts.iter().fold(OFFSET, |h, part| absorb(h, part)))
}

/// Begins a hash with parts that several hashes share; [`finish`] ends it with one more.
pub(crate) fn begin(parts: &[&str]) -> u64 {
    parts.iter().fold(OFFSET, |h, part| absorb(h, part))
}

/// Ends a hash with its last part.
pub(crate) fn finish(state: u64, part: &str) -> u64 {
    mix(absorb(state, part))
}

/// Takes one more part into a hash before its finishing mix.
fn absorb(state: u64, part: &str) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = part.bytes().chain([0xff]);
    bytes.fold(state, |h, byte| (h ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// Spreads every bit of `h` over the whole number.
pub(crate) fn mix(mut h: u64) -> u64 {
    h = (h ^ (h >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    h = (h ^ (h >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    h ^ (h >> 33)
}
