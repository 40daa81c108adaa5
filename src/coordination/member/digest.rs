//! Digests of the membership table, for anti-entropy: they show cheaply where two tables differ.

use std::collections::BTreeMap;

use crate::coordination::member::table::MemberEntry;
use crate::protocol::gossip;
use crate::state::hash;

/// The number of groups into which members are divided by a hash of their names.
const GROUPS: usize = 64;

fn group(entry: &MemberEntry) -> usize {
    (entry.positions[1] % GROUPS as u64) as usize
}

/// Returns one hash per group over the states of its live members.
pub(super) fn digest(members: &BTreeMap<String, MemberEntry>) -> Vec<u32> {
    let mut groups = vec![0; GROUPS];
    for entry in members.values().filter(|e| e.is_live()) {
        let (incarnation, round, state) = entry.about.precedence();
        let state_hash = hash::mix(incarnation.0) ^ (u64::from(round) << 8) ^ state as u64;
        groups[group(entry)] ^= hash::mix(entry.positions[0] ^ hash::mix(state_hash)) as u32;
    }
    groups
}

/// Returns the members of the groups whose hashes differ, in the order of the groups, which starts at group `first` and
/// wraps around.
pub(super) fn difference<'a>(
    members: &'a BTreeMap<String, MemberEntry>,
    ours: &[u32],
    theirs: &[u32],
    first: usize,
) -> Vec<&'a str> {
    if ours.len() != theirs.len() {
        return Vec::new();
    }
    let differs = |g: usize| ours[g] != theirs[g];
    let mut found: Vec<_> = members
        .iter()
        .map(|(name, entry)| (group(entry), name.as_str()))
        .filter(|(g, _)| differs(*g))
        .collect();
    found.sort_by_key(|(g, _)| (*g + GROUPS - first % GROUPS) % GROUPS);
    found.into_iter().map(|(_, name)| name).collect()
}

/// Packs the records into as few messages as possible, and drops the rest once there are `limit` messages.
pub(super) fn pack(
    empty: &gossip::Message,
    records: &mut dyn Iterator<Item = gossip::Record>,
    limit: usize,
) -> Vec<gossip::Message> {
    let mut messages = Vec::new();
    let mut message = empty.clone();
    for record in records {
        if message.remaining_bytes() < record.max_bytes() {
            messages.push(std::mem::replace(&mut message, empty.clone()));
            if messages.len() == limit {
                return messages;
            }
        }
        message.records.push(record);
    }
    if !message.records.is_empty() {
        messages.push(message);
    }
    messages
}
