//! Probes of the members that a daemon watches: first direct, then through others, then given up.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::random::Random;
use crate::state::clock;

/// The time from one probe of a member to the next.
const INTERVAL: clock::Millis = clock::Millis(1_000);
/// How long a direct probe may take.
const DIRECT: clock::Millis = clock::Millis(400);
/// How long the probes through others may take in addition.
const INDIRECT: clock::Millis = clock::Millis(1_000);
/// How long a probe on behalf of another is remembered.
const ASKED: clock::Millis = clock::Millis(2_000);

/// What is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Sends the member a probe.
    Probe { name: String, seq: u32 },
    /// Asks others to probe the member.
    Ask { name: String, seq: u32 },
    /// The member answered neither; the probe began at `began`.
    Fail { name: String, began: clock::Millis },
}

/// What an answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Answered {
    /// A probe of this daemon's own.
    Own(String),
    /// A probe on behalf of another, which is to be told.
    Asked { by: String, seq: u32 },
}

/// The probes of one daemon.
#[derive(Debug, Default)]
pub(super) struct Probes {
    seq: u32,
    next: BTreeMap<String, clock::Millis>,
    open: BTreeMap<String, Probe>,
    asked: BTreeMap<u32, Asked>,
}

#[derive(Debug)]
struct Probe {
    seq: u32,
    began: clock::Millis,
    due: clock::Millis,
    indirect: bool,
}

#[derive(Debug)]
struct Asked {
    by: String,
    seq: u32,
    until: clock::Millis,
}

impl Probes {
    /// Watches exactly `members` from now on.
    pub(super) fn watch(
        &mut self,
        now: clock::Millis,
        members: &BTreeSet<String>,
        random: &mut Random,
    ) {
        self.next.retain(|name, _| members.contains(name));
        self.open.retain(|name, _| members.contains(name));
        for name in members {
            let first = now + clock::Millis(random.below(INTERVAL.0));
            self.next.entry(name.clone()).or_insert(first);
        }
    }

    /// Returns what is due, and takes it as done.
    pub(super) fn due(&mut self, now: clock::Millis) -> Vec<Step> {
        self.asked.retain(|_, asked| asked.until > now);
        let mut steps = self.overdue(now);
        let due: Vec<_> = self
            .next
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(n, _)| n.clone())
            .collect();
        for name in due {
            self.next.insert(name.clone(), now + INTERVAL);
            if self.open.contains_key(&name) {
                continue;
            }
            let seq = self.number();
            let probe = Probe {
                seq,
                began: now,
                due: now + DIRECT,
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
            if probe.due > now {
                return true;
            }
            let (name, seq, began) = (name.clone(), probe.seq, probe.began);
            if probe.indirect {
                steps.push(Step::Fail { name, began });
                return false;
            }
            probe.indirect = true;
            probe.due = now + INDIRECT;
            steps.push(Step::Ask { name, seq });
            true
        });
        steps
    }

    /// Notes a probe on behalf of `by`, and returns its number.
    pub(super) fn ask(&mut self, now: clock::Millis, by: &str, seq: u32) -> u32 {
        let own = self.number();
        let asked = Asked {
            by: by.to_owned(),
            seq,
            until: now + ASKED,
        };
        self.asked.insert(own, asked);
        own
    }

    /// Finds what the answer to the probe numbered `seq` belongs to.
    pub(super) fn answered(&mut self, seq: u32) -> Option<Answered> {
        if let Some(Asked { by, seq, .. }) = self.asked.remove(&seq) {
            return Some(Answered::Asked { by, seq });
        }
        let name = self
            .open
            .iter()
            .find(|(_, p)| p.seq == seq)
            .map(|(n, _)| n.clone())?;
        self.open.remove(&name);
        Some(Answered::Own(name))
    }

    /// Notes that something came from the member, which answers whatever was open.
    pub(super) fn heard(&mut self, name: &str) {
        self.open.remove(name);
    }

    /// Moves what is due by a time in which this daemon did not run.
    pub(super) fn shift(&mut self, lost: clock::Millis) {
        for probe in self.open.values_mut() {
            probe.due += lost;
        }
    }

    /// Forgets the open probes.
    pub(super) fn clear(&mut self) {
        self.open.clear();
    }

    fn number(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }
}
