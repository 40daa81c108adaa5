//! Deterministic pseudo-random numbers for the state machines, so that their decisions can be replayed from a seed.

use crate::state::hash;

/// The increment of the generator's state, as in SplitMix64.
const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A pseudo-random number generator.
#[derive(Clone, Debug)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator with the given seed.
    pub(crate) fn new(seed: u64) -> Random {
        Random { state: seed }
    }

    /// Returns a number below `bound`.
    ///
    /// # Panics
    ///
    /// Panics if `bound` is zero.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.state = self.state.wrapping_add(STEP);
        hash::mix(self.state) % bound
    }

    /// Returns an index into a slice of `len` items.
    ///
    /// # Panics
    ///
    /// Panics if `len` is zero.
    pub(crate) fn index(&mut self, len: usize) -> usize {
        usize::try_from(self.below(len as u64)).unwrap_or(0)
    }
}
