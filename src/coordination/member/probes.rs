//! Probes of the members that a daemon watches: first direct, then through other members, then failed.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::random::Random;
use crate::state::clock;

/// The time between two probes of a member.
const PROBE_INTERVAL: clock::Millis = clock::Millis(1_000);
/// How long a direct probe may take before other members are asked to probe.
const DIRECT_TIMEOUT: clock::Millis = clock::Millis(400);
/// How long the indirect probes may take in addition.
const INDIRECT_TIMEOUT: clock::Millis = clock::Millis(1_000);
/// How long a probe on behalf of another daemon is remembered.
const RELAY_TIMEOUT: clock::Millis = clock::Millis(2_000);

/// A step of a probe that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Send the member a probe.
    Probe { name: String, seq: u32 },
    /// Send the probe again, and ask other members to probe the member.
    ProbeIndirectly { name: String, seq: u32 },
    /// The member answered neither the direct nor the indirect probes, which began at `began`.
    Fail { name: String, began: clock::Millis },
}

/// The probe that an acknowledgement belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Acknowledged {
    /// A probe by this daemon of the member of this name.
    Own(String),
    /// A probe on behalf of `requester`, which numbered it `seq` and expects the acknowledgement.
    Relayed { requester: String, seq: u32 },
}

/// The probes of one daemon, by the names of the probed members.
#[derive(Debug, Default)]
pub(super) struct Probes {
    last_seq: u32,
    next_probe: BTreeMap<String, clock::Millis>,
    open: BTreeMap<String, Probe>,
    relayed: BTreeMap<u32, RelayedProbe>,
}

#[derive(Debug)]
struct Probe {
    seq: u32,
    began: clock::Millis,
    deadline: clock::Millis,
    indirect: bool,
}

#[derive(Debug)]
struct RelayedProbe {
    requester: String,
    seq: u32,
    until: clock::Millis,
}

impl Probes {
    /// Sets the watched members to exactly `members`. New members get their first probe at a random time within the
    /// interval.
    pub(super) fn set_watched(
        &mut self,
        now: clock::Millis,
        members: &BTreeSet<String>,
        random: &mut Random,
    ) {
        self.next_probe.retain(|name, _| members.contains(name));
        self.open.retain(|name, _| members.contains(name));
        for name in members {
            let first = now + clock::Millis(random.below(PROBE_INTERVAL.0));
            self.next_probe.entry(name.clone()).or_insert(first);
        }
    }

    /// Returns the steps that are due, and records them as done.
    pub(super) fn due_steps(&mut self, now: clock::Millis) -> Vec<Step> {
        self.relayed.retain(|_, relayed| relayed.until > now);
        let mut steps = self.overdue(now);
        let due: Vec<_> = self
            .next_probe
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(n, _)| n.clone())
            .collect();
        for name in due {
            self.next_probe.insert(name.clone(), now + PROBE_INTERVAL);
            if self.open.contains_key(&name) {
                continue;
            }
            let seq = self.next_seq();
            let probe = Probe {
                seq,
                began: now,
                deadline: now + DIRECT_TIMEOUT,
                indirect: false,
            };
            self.open.insert(name.clone(), probe);
            steps.push(Step::Probe { name, seq });
        }
        steps
    }

    fn overdue(&mut self, now: clock::Millis) -> Vec<Step> {
        let mut steps = Vec::new();
        self.open.retain(|name, probe| {
            if probe.deadline > now {
                return true;
            }
            let (name, seq, began) = (name.clone(), probe.seq, probe.began);
            if probe.indirect {
                steps.push(Step::Fail { name, began });
                return false;
            }
            probe.indirect = true;
            probe.deadline = now + INDIRECT_TIMEOUT;
            steps.push(Step::ProbeIndirectly { name, seq });
            true
        });
        steps
    }

    /// Records a probe on behalf of `requester`, which numbered it `seq`, and returns its number here.
    pub(super) fn relay(&mut self, now: clock::Millis, requester: &str, seq: u32) -> u32 {
        let relayed_seq = self.next_seq();
        let relayed = RelayedProbe {
            requester: requester.to_owned(),
            seq,
            until: now + RELAY_TIMEOUT,
        };
        self.relayed.insert(relayed_seq, relayed);
        relayed_seq
    }

    /// Closes the probe numbered `seq` and returns it, or `None` if no such probe is open.
    pub(super) fn acknowledge(&mut self, seq: u32) -> Option<Acknowledged> {
        if let Some(RelayedProbe { requester, seq, .. }) = self.relayed.remove(&seq) {
            return Some(Acknowledged::Relayed { requester, seq });
        }
        let name = self
            .open
            .iter()
            .find(|(_, p)| p.seq == seq)
            .map(|(n, _)| n.clone())?;
        self.open.remove(&name);
        Some(Acknowledged::Own(name))
    }

    /// Records that a message arrived from the member, which answers its open probe.
    pub(super) fn record_contact(&mut self, name: &str) {
        self.open.remove(name);
    }

    /// Extends the deadlines of the open probes by the time in which this daemon did not run.
    pub(super) fn postpone(&mut self, lost: clock::Millis) {
        for probe in self.open.values_mut() {
            probe.deadline += lost;
        }
    }

    /// Drops the open probes without a result.
    pub(super) fn clear(&mut self) {
        self.open.clear();
    }

    fn next_seq(&mut self) -> u32 {
        self.last_seq = self.last_seq.wrapping_add(1);
        self.last_seq
    }
}
