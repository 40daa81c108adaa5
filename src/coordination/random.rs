//! Numbers drawn within decisions: the same seed gives the same numbers, so that decisions can be replayed.

use crate::state::hash;

/// The step between the states of the sequence.
const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A sequence of numbers that depends on its seed alone.
#[derive(Clone, Debug)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    /// Starts the sequence of `seed`.
    pub(crate) fn new(seed: u64) -> Random {
        Random { state: seed }
    }

    /// Draws a number below `bound`, which must not be zero.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.state = self.state.wrapping_add(STEP);
        hash::mix(self.state) % bound
    }

    /// Draws an index into a sequence of `len` items, which must not be empty.
    pub(crate) fn index(&mut self, len: usize) -> usize {
        usize::try_from(self.below(len as u64)).unwrap_or(0)
    }
}
