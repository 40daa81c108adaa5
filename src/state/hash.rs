//! A hash that is stable across hosts and versions, for decisions that all daemons must make identically.

/// The offset basis of 64-bit FNV-1a.
const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Hashes `parts` with FNV-1a and a final mix.
pub fn hash(parts: &[&str]) -> u64 {
    mix(parts.iter().fold(OFFSET, |h, part| update(h, part)))
}

/// Returns the intermediate state of a hash whose first parts are shared; [`finish`] adds the last part.
pub(crate) fn begin(parts: &[&str]) -> u64 {
    parts.iter().fold(OFFSET, |h, part| update(h, part))
}

/// Completes the hash of `state` with its last part.
pub(crate) fn finish(state: u64, part: &str) -> u64 {
    mix(update(state, part))
}

/// Updates the intermediate state of a hash with one part, which the byte 0xff terminates.
fn update(state: u64, part: &str) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = part.bytes().chain([0xff]);
    bytes.fold(state, |h, byte| (h ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// Mixes the bits of `h`, so that each input bit affects all output bits (the finalizer of MurmurHash3).
pub(crate) fn mix(mut h: u64) -> u64 {
    h = (h ^ (h >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    h = (h ^ (h >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    h ^ (h >> 33)
}
