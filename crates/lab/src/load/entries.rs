//! The load balancer in front of the entries: selects them round robin and avoids those that failed recently.

use std::net;
use std::sync;

use peridotspread::state::clock;

use super::Addresses;

/// How long an entry is avoided after a failure.
const AVOID_SPAN: clock::Millis = clock::Millis(1_000);

/// The state of one entry.
#[derive(Clone, Debug)]
struct Entry {
    name: String,
    address: net::SocketAddr,
    listed: bool,
    /// The time of the last failure, or zero.
    failed_at: clock::Millis,
}

/// The entries that requests are balanced over.
#[derive(Debug)]
pub struct Entries {
    inner: sync::Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    list: Vec<Entry>,
    turn: usize,
}

impl Entries {
    /// Creates the balancer with all of `addresses` listed.
    pub fn new(addresses: &Addresses) -> Entries {
        let list = addresses.iter().map(|(name, address)| Entry {
            name: name.clone(),
            address: *address,
            listed: true,
            failed_at: clock::Millis::ZERO,
        });
        Entries {
            inner: sync::Mutex::new(Inner {
                list: list.collect(),
                turn: 0,
            }),
        }
    }

    /// Adds an entry to the rotation or removes it: no new request goes to an entry that is not listed.
    ///
    /// # Panics
    ///
    /// Panics if a user of the list panicked before.
    pub fn set_listed(&self, name: &str, listed: bool) {
        let mut inner = self.inner.lock().expect("no user of the list panicked");
        for entry in inner.list.iter_mut().filter(|e| e.name == name) {
            entry.listed = listed;
            entry.failed_at = clock::Millis::ZERO;
        }
    }

    /// Records that an entry failed at `now`.
    ///
    /// # Panics
    ///
    /// Panics if a user of the list panicked before.
    pub(super) fn record_failure(&self, name: &str, now: clock::Millis) {
        let mut inner = self.inner.lock().expect("no user of the list panicked");
        for entry in inner.list.iter_mut().filter(|e| e.name == name) {
            entry.failed_at = now;
        }
    }

    /// Returns the next listed entry in turn, or none if no entry is listed. Avoids `except` and entries that failed
    /// recently while there are others.
    ///
    /// # Panics
    ///
    /// Panics if a user of the list panicked before.
    pub(super) fn choose(
        &self,
        now: clock::Millis,
        except: Option<&str>,
    ) -> Option<(String, net::SocketAddr)> {
        let mut inner = self.inner.lock().expect("no user of the list panicked");
        inner.turn += 1;
        let turn = inner.turn;
        let listed: Vec<_> = inner.list.iter().filter(|e| e.listed).collect();
        let available: Vec<_> = listed
            .iter()
            .filter(|e| e.failed_at == clock::Millis::ZERO || e.failed_at + AVOID_SPAN < now)
            .filter(|e| except != Some(e.name.as_str()))
            .collect();
        let entry = match available.len() {
            0 if listed.is_empty() => return None,
            0 => listed[turn % listed.len()],
            n => available[turn % n],
        };
        Some((entry.name.clone(), entry.address))
    }
}
