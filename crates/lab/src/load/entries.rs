//! The balancer before the entries: chooses one in turn, and passes over those that failed of late.

use std::net;
use std::sync;

use peridotspread::state::clock;

use super::Addresses;

/// How long an entry that failed is passed over.
const PENALTY: clock::Millis = clock::Millis(1_000);

/// One entry.
#[derive(Clone, Debug)]
struct Entry {
    name: String,
    address: net::SocketAddr,
    listed: bool,
    failed: clock::Millis,
}

/// The entries that a load may use.
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
    /// Lists entries by name.
    pub fn new(addresses: &Addresses) -> Entries {
        let list = addresses.iter().map(|(name, address)| Entry {
            name: name.clone(),
            address: *address,
            listed: true,
            failed: clock::Millis::ZERO,
        });
        Entries {
            inner: sync::Mutex::new(Inner {
                list: list.collect(),
                turn: 0,
            }),
        }
    }

    /// Lists an entry, or takes it from the list: no new request goes to it.
    ///
    /// # Panics
    ///
    /// Panics if a user of the list panicked before.
    pub fn set_listed(&self, name: &str, listed: bool) {
        let mut inner = self.inner.lock().expect("no user of the list panicked");
        for entry in inner.list.iter_mut().filter(|e| e.name == name) {
            entry.listed = listed;
            entry.failed = clock::Millis::ZERO;
        }
    }

    /// Notes that an entry failed at `now`.
    ///
    /// # Panics
    ///
    /// Panics if a user of the list panicked before.
    pub(super) fn fail(&self, name: &str, now: clock::Millis) {
        let mut inner = self.inner.lock().expect("no user of the list panicked");
        for entry in inner.list.iter_mut().filter(|e| e.name == name) {
            entry.failed = now;
        }
    }

    /// Chooses the next entry in turn that is not `but`; none where the list is empty.
    ///
    /// # Panics
    ///
    /// Panics if a user of the list panicked before.
    pub(super) fn choose(
        &self,
        now: clock::Millis,
        but: Option<&str>,
    ) -> Option<(String, net::SocketAddr)> {
        let mut inner = self.inner.lock().expect("no user of the list panicked");
        inner.turn += 1;
        let turn = inner.turn;
        let listed: Vec<_> = inner.list.iter().filter(|e| e.listed).collect();
        let fresh: Vec<_> = listed
            .iter()
            .filter(|e| e.failed == clock::Millis::ZERO || e.failed + PENALTY < now)
            .filter(|e| but != Some(e.name.as_str()))
            .collect();
        let entry = match fresh.len() {
            0 if listed.is_empty() => return None,
            0 => listed[turn % listed.len()],
            n => fresh[turn % n],
        };
        Some((entry.name.clone(), entry.address))
    }
}
