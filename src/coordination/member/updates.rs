//! News to pass on: each is sent a bounded number of times, the least sent first.

use std::collections::BTreeMap;

use crate::protocol::gossip;

/// The times that a piece of news is sent at least.
const MIN_SENDS: u32 = 8;

/// Returns the times that a piece of news is sent in a fleet of `members`.
pub(super) fn limit(members: usize) -> u32 {
    let log = usize::BITS - members.leading_zeros();
    MIN_SENDS.max(2 * log)
}

/// The members about whom there is news, with the times that it was sent.
#[derive(Debug, Default)]
pub(super) struct Updates {
    sent: BTreeMap<String, u32>,
}

impl Updates {
    /// Begins to pass on the news about the member called `name`.
    pub(super) fn add(&mut self, name: &str) {
        self.sent.insert(name.to_owned(), 0);
    }

    /// Returns whether some news has not been sent at all.
    pub(super) fn has_fresh(&self) -> bool {
        self.sent.values().any(|sent| *sent == 0)
    }

    /// Returns as many records as fit into `room` bytes, and counts them as sent `copies` times.
    pub(super) fn take(
        &mut self,
        mut room: usize,
        copies: u32,
        limit: u32,
        record: &dyn Fn(&str) -> Option<gossip::Record>,
    ) -> Vec<gossip::Record> {
        let mut order: Vec<_> = self
            .sent
            .iter()
            .map(|(n, sent)| (*sent, n.clone()))
            .collect();
        order.sort();
        let mut taken = Vec::new();
        for (_, name) in order {
            let Some(record) = record(&name) else {
                self.sent.remove(&name);
                continue;
            };
            let Some(left) = room.checked_sub(record.max_bytes()) else {
                continue;
            };
            room = left;
            taken.push(record);
            self.count(&name, copies, limit);
        }
        taken
    }

    fn count(&mut self, name: &str, copies: u32, limit: u32) {
        let Some(sent) = self.sent.get_mut(name) else {
            return;
        };
        *sent += copies;
        if *sent >= limit {
            self.sent.remove(name);
        }
    }
}
