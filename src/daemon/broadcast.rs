//! Broadcasts the quarantine: the fingerprints of requests that crashed targets reach all daemons.
//!
//! A cell at its home detects them. Each daemon that receives a new fingerprint sends it to its own cells and to its
//! fan-out peers. Entries refuse such requests before they reach a home.

use std::sync;

use tokio::sync as tokio_sync;

use crate::coordination::{fanout, member, quarantine};
use crate::daemon::{cell, home};
use crate::protocol::peer;
use crate::state::{clock, ids, timeline};

/// Options of a [`Broadcaster`].
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// The live daemons.
    pub view: tokio_sync::watch::Receiver<sync::Arc<member::View>>,
    /// Sends control messages to the fan-out peers.
    pub sender: sync::Arc<dyn peer::ControlSender>,
    /// Records events in the daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
}

/// The daemon's copy of the fleet's quarantine, which broadcasts each new fingerprint.
pub struct Broadcaster {
    options: Options,
    quarantine: sync::Mutex<quarantine::Quarantine>,
    home: sync::OnceLock<sync::Weak<home::Home>>,
}

impl Broadcaster {
    /// Creates a broadcaster with an empty quarantine.
    pub fn new(options: Options) -> sync::Arc<Broadcaster> {
        sync::Arc::new(Broadcaster {
            options,
            quarantine: sync::Mutex::default(),
            home: sync::OnceLock::new(),
        })
    }

    /// Sets the home whose cells receive each new fingerprint.
    pub fn attach(&self, home: &sync::Arc<home::Home>) {
        if self.home.set(sync::Arc::downgrade(home)).is_err() {
            log::error!("failed to attach a home: another one is attached already");
        }
    }

    /// Returns how long the fingerprint stays in quarantine, or `None` if it is not in quarantine.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn remaining(&self, fingerprint: ids::Fingerprint) -> Option<clock::Millis> {
        let quarantine = self.quarantine.lock().expect("lock is not poisoned");
        quarantine.remaining(self.options.clock.now(), fingerprint)
    }

    /// Adds a fingerprint from a cell or another daemon to the quarantine, and broadcasts it if it is new.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn add(&self, fingerprint: ids::Fingerprint, span: clock::Millis) {
        let now = self.options.clock.now();
        if !self
            .quarantine
            .lock()
            .expect("lock is not poisoned")
            .insert(now, fingerprint, span)
        {
            return;
        }
        let detail = format!("fingerprint {fingerprint} for {span}");
        self.options.recorder.record(
            timeline::Kind::Quarantined,
            timeline::Subject::default(),
            &detail,
        );
        if let Some(home) = self.home.get().and_then(sync::Weak::upgrade) {
            tokio::spawn(async move { home.quarantine(fingerprint, span).await });
        }
        let view = self.options.view.borrow().clone();
        for to in fanout::peers(&self.options.name, &view) {
            let sender = self.options.sender.clone();
            tokio::spawn(send_with_retry(
                sender,
                to,
                peer::ControlMessage::Quarantine {
                    fingerprint,
                    left: span,
                },
            ));
        }
    }
}

/// Sends a message to a peer, and once more if there is no reply to the first.
async fn send_with_retry(
    sender: sync::Arc<dyn peer::ControlSender>,
    to: String,
    message: peer::ControlMessage,
) {
    const TRIES: u32 = 2;
    for _ in 0..TRIES {
        match sender.send(&to, message.clone()).await {
            Ok(_) => return,
            Err(e) => log::debug!("{e}"),
        }
    }
}

impl cell::Broadcast for Broadcaster {
    fn quarantine(&self, fingerprint: ids::Fingerprint, span: clock::Millis) {
        self.add(fingerprint, span);
    }
}
