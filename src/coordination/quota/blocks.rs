//! The refusals that an entry repeats without asking a home.

use std::collections::BTreeMap;

use crate::coordination::quota::Limit;
use crate::coordination::quota::home::HeldBack;
use crate::state::clock;

/// How long the refusals of an organisation are counted after its last block.
const COUNTED: clock::Millis = clock::Millis(10_000);

/// The organisations that an entry refuses by itself, by service.
///
/// The load: an organisation that sends many times its quota. Only its first request after each block reaches a home.
#[derive(Clone, Debug, Default)]
pub struct Blocks {
    blocks: BTreeMap<(String, String), Block>,
}

#[derive(Clone, Copy, Debug)]
struct Block {
    until: clock::Millis,
    limit: Limit,
    refused: u64,
}

impl Blocks {
    /// Records that a home refused a request of the organisation, and that there is room after `wait`.
    pub fn insert(
        &mut self,
        now: clock::Millis,
        (organisation, service): (&str, &str),
        limit: Limit,
        wait: clock::Millis,
    ) {
        let key = (organisation.to_owned(), service.to_owned());
        let block = self.blocks.entry(key).or_insert(Block {
            until: now,
            limit,
            refused: 0,
        });
        block.until = now + wait;
        block.limit = limit;
    }

    /// Returns how much longer requests of the organisation are refused, and counts this one; `None` if they are not.
    /// A block ends when the limit changes, since a higher limit applies at once.
    pub fn refuse(
        &mut self,
        now: clock::Millis,
        (organisation, service): (&str, &str),
        limit: Limit,
    ) -> Option<clock::Millis> {
        if self.blocks.is_empty() {
            return None;
        }
        let key = (organisation.to_owned(), service.to_owned());
        let block = self.blocks.get_mut(&key)?;
        if block.limit != limit || block.until <= now {
            return None;
        }
        block.refused += 1;
        Some(block.until - now)
    }

    /// Returns whether there is neither a block nor a refusal to report.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns the refusals since the last call, and forgets blocks that ended some time ago.
    pub fn take_refused(&mut self, now: clock::Millis) -> Vec<HeldBack> {
        let mut held_back = Vec::new();
        for ((organisation, service), block) in &mut self.blocks {
            let refused = std::mem::take(&mut block.refused);
            if refused > 0 {
                held_back.push(HeldBack {
                    organisation: organisation.clone(),
                    service: service.clone(),
                    refused,
                    limit: block.limit,
                });
            }
        }
        self.blocks.retain(|_, b| now < b.until + COUNTED);
        held_back
    }
}
