//! The queue of membership updates to gossip: each is sent a bounded number of times, the least sent first.

use std::collections::BTreeMap;

use crate::protocol::gossip;

/// The fewest times that an update is sent.
const MIN_SENDS: u32 = 8;

/// Returns the number of times that an update is sent in a fleet of `members` members; it grows with their logarithm.
pub(super) fn send_limit(members: usize) -> u32 {
    let log2 = usize::BITS - members.leading_zeros();
    MIN_SENDS.max(2 * log2)
}

/// The members with updates to gossip, with the number of times that each update was sent.
#[derive(Debug, Default)]
pub(super) struct Updates {
    sent: BTreeMap<String, u32>,
}

impl Updates {
    /// Queues the state of the member `name`, and resets its number of sends.
    pub(super) fn add(&mut self, name: &str) {
        self.sent.insert(name.to_owned(), 0);
    }

    /// Returns whether any update has not been sent yet.
    pub(super) fn has_unsent(&self) -> bool {
        self.sent.values().any(|sent| *sent == 0)
    }

    /// Returns as many records as fit into `room` bytes, and counts each as sent `copies` times.
    ///
    /// `record` returns the record of a member by name. An update leaves the queue once it was sent `send_limit` times.
    pub(super) fn take_records(
        &mut self,
        mut room: usize,
        copies: u32,
        send_limit: u32,
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
            self.record_sends(&name, copies, send_limit);
        }
        taken
    }

    /// Counts `copies` sends of the update on `name`, and removes it at the limit.
    fn record_sends(&mut self, name: &str, copies: u32, send_limit: u32) {
        let Some(sent) = self.sent.get_mut(name) else {
            return;
        };
        *sent += copies;
        if *sent >= send_limit {
            self.sent.remove(name);
        }
    }
}
