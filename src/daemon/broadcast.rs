//! Spreads the quarantine: fingerprints that crashed targets become known to all daemons.
//!
//! A cell's home finds them; each daemon that learns of one tells its own cells and its partners. Entries refuse such
//! requests before any home sees them.

use std::sync;

use tokio::sync as tasks;

use crate::coordination::{fanout, member, quarantine};
use crate::daemon::{cell, home};
use crate::protocol::peer;
use crate::state::{clock, ids, timeline};

/// What the spreading works with.
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// The live daemons.
    pub view: tasks::watch::Receiver<sync::Arc<member::View>>,
    /// The way to the partners.
    pub sender: sync::Arc<dyn peer::ControlSender>,
    /// The daemon's time line.
    pub recorder: sync::Arc<timeline::Recorder>,
}

/// The fingerprints that this daemon refuses.
pub struct Broadcaster {
    options: Options,
    known: sync::Mutex<quarantine::Quarantine>,
    home: sync::OnceLock<sync::Weak<home::Home>>,
}

impl Broadcaster {
    /// Creates a broadcaster that knows no fingerprint.
    pub fn new(options: Options) -> sync::Arc<Broadcaster> {
        sync::Arc::new(Broadcaster {
            options,
            known: sync::Mutex::default(),
            home: sync::OnceLock::new(),
        })
    }

    /// Names the home whose cells are told.
    pub fn attach(&self, home: &sync::Arc<home::Home>) {
        if self.home.set(sync::Arc::downgrade(home)).is_err() {
            log::error!("a home was attached before; its cells go on to be told");
        }
    }

    /// Returns how long the fingerprint stays refused; absent where it is not.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the lock panicked.
    pub fn left(&self, fingerprint: ids::Fingerprint) -> Option<clock::Millis> {
        let known = self.known.lock().expect("no holder panicked");
        known.remaining(self.options.clock.now(), fingerprint)
    }

    /// Takes in a fingerprint from a cell here or from another daemon, and passes it on if it is news.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the lock panicked.
    pub fn learn(&self, fingerprint: ids::Fingerprint, span: clock::Millis) {
        let now = self.options.clock.now();
        if !self
            .known
            .lock()
            .expect("no holder panicked")
            .insert(now, fingerprint, span)
        {
            return;
        }
        let detail = format!("fingerprint {:016x} for {span}", fingerprint.0);
        self.options.recorder.record(
            timeline::Kind::Quarantined,
            timeline::Subject::default(),
            &detail,
        );
        if let Some(home) = self.home.get().and_then(sync::Weak::upgrade) {
            tokio::spawn(async move { home.quarantine(fingerprint, span).await });
        }
        let view = self.options.view.borrow().clone();
        for partner in fanout::peers(&self.options.name, &view) {
            let sender = self.options.sender.clone();
            tokio::spawn(tell(
                sender,
                partner,
                peer::ControlMessage::Quarantine {
                    fingerprint,
                    left: span,
                },
            ));
        }
    }
}

/// Tells a partner, again after a pause where it gives no reply.
async fn tell(
    sender: sync::Arc<dyn peer::ControlSender>,
    partner: String,
    note: peer::ControlMessage,
) {
    const TRIES: u32 = 2;
    for _ in 0..TRIES {
        match sender.send(&partner, note.clone()).await {
            Ok(_) => return,
            Err(e) => log::debug!("{e}"),
        }
    }
}

impl cell::Broadcast for Broadcaster {
    fn quarantine(&self, fingerprint: ids::Fingerprint, span: clock::Millis) {
        self.learn(fingerprint, span);
    }
}
