//! The memory of this daemon: reservations in the budget of [`crate::coordination::memory`], which are released when they are
//! dropped.

use std::collections::BTreeMap;
use std::sync;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, MeterProvider};
use tokio::sync::oneshot;

use crate::coordination::memory::{Admission, Amounts, Budget, Kind, Reservation};
use crate::daemon::metrics;
use crate::state::{clock, settings};
use crate::transport::stall;

/// The `Retry-After` of requests that do not fit: about the time in which a link of 10 Mbit/s carries 1 MB.
pub const RETRY_AFTER: clock::Millis = clock::Millis(1_000);
/// The bytes of a request's state: its tasks, its head, and its stream to a home.
const REQUEST_BYTES: u64 = 16 * 1024;
/// The bytes of one slot request of a daemon at its home.
const SLOT_REQUEST_BYTES: u64 = 8 * 1024;
/// The bytes of one relayed request: a receive window and a send window of its stream, and the buffers between.
const RELAY_BYTES: u64 = 192 * 1024;

/// The body of a request that is to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// The request has no body, or one of this length.
    Known(u64),
    /// The length is not known before the end.
    Unknown,
}

/// The memory that the daemon holds for callers, targets and other daemons.
pub struct Memory {
    /// Absent if there is no limit.
    state: Option<sync::Arc<sync::Mutex<State>>>,
    /// The bytes of a body that are buffered.
    replay_bytes: u64,
    /// The bytes of one buffer of the HTTP library.
    buffer_bytes: u64,
    displaced: Counter<u64>,
}

struct State {
    budget: Budget,
    /// Informs requests that they are displaced.
    signals: BTreeMap<Reservation, oneshot::Sender<()>>,
}

impl Memory {
    /// Creates the memory of a daemon with these limits, whose gauges are among `metrics`.
    pub fn new(limits: &settings::Limits, metrics: &metrics::Metrics) -> sync::Arc<Memory> {
        let meter = metrics.provider().meter("peridotspread");
        let state = limits.memory_bytes.map(|limit| {
            sync::Arc::new(sync::Mutex::new(State {
                budget: Budget::new(limit),
                signals: BTreeMap::new(),
            }))
        });
        if let Some(state) = state.clone() {
            meter
                .u64_observable_gauge("peridotspread.memory.held")
                .with_unit("By")
                .with_description("Bytes that are reserved for requests and responses by kind")
                .with_callback(move |observer| {
                    let held = lock(&state).budget.held();
                    for kind in Kind::ALL {
                        let labels = [KeyValue::new("kind", kind.as_str())];
                        observer.observe(held.of(kind), &labels);
                    }
                })
                .build();
        }
        sync::Arc::new(Memory {
            state,
            replay_bytes: limits.replay_bytes as u64,
            buffer_bytes: limits.head_bytes as u64,
            displaced: meter
                .u64_counter("peridotspread.memory.displaced")
                .with_description("Requests that lost their memory to others before they were sent")
                .build(),
        })
    }

    /// Returns whether there is a limit.
    pub fn is_limited(&self) -> bool {
        self.state.is_some()
    }

    /// Reserves memory for a request, or returns `None` if it does not fit.
    pub fn admit(&self, tier: u8, body: BodyLength) -> Option<Lease> {
        let Some(shared) = &self.state else {
            return Some(Lease::default());
        };
        let mut state = lock(shared);
        let amounts = self.amounts(body);
        let Admission::Admitted {
            reservation,
            displaced,
        } = state.budget.admit(tier, amounts)
        else {
            return None;
        };
        for other in displaced {
            self.displaced.add(1, &[]);
            if let Some(signal) = state.signals.remove(&other) {
                // The request may have ended.
                let _ = signal.send(());
            }
        }
        let (signal, displaced) = oneshot::channel();
        state.signals.insert(reservation, signal);
        let part = |kinds| Part {
            held: Some((shared.clone(), reservation)),
            kinds,
        };
        Some(Lease {
            kept: part(&[Kind::Queued, Kind::Replay]),
            upload: part(&[Kind::Upload]),
            response: part(&[Kind::Response]),
            displacement: Displacement(Some(displaced)),
        })
    }

    /// Reserves memory for a slot request at this daemon's home, or returns `None` if it does not fit.
    pub fn admit_slot_request(&self) -> Option<Part> {
        self.admit_stream(Kind::Queued, SLOT_REQUEST_BYTES)
    }

    /// Reserves memory for a request that this daemon relays, or returns `None` if it does not fit.
    pub fn admit_relayed(&self) -> Option<Part> {
        self.admit_stream(Kind::Peer, RELAY_BYTES)
    }

    fn admit_stream(&self, kind: Kind, bytes: u64) -> Option<Part> {
        let Some(shared) = &self.state else {
            return Some(Part::default());
        };
        let amounts = Amounts::default().with(kind, bytes);
        let reservation = lock(shared).budget.admit_stream(amounts)?;
        Some(Part {
            held: Some((shared.clone(), reservation)),
            kinds: match kind {
                Kind::Peer => &[Kind::Peer],
                _ => &[Kind::Queued],
            },
        })
    }

    /// Returns the most bytes that a request with this body holds at a time.
    fn amounts(&self, body: BodyLength) -> Amounts {
        let socket = stall::SOCKET_BYTES as u64;
        // The last chunk that is read may exceed the limit of the buffered part.
        let most_kept = self.replay_bytes + self.buffer_bytes;
        let (kept, is_longer) = match body {
            BodyLength::Known(length) => (length.min(most_kept), length > self.replay_bytes),
            BodyLength::Unknown => (most_kept, true),
        };
        let upload = match is_longer {
            true => 2 * (socket + self.buffer_bytes),
            false => 0,
        };
        Amounts::default()
            .with(Kind::Queued, REQUEST_BYTES)
            .with(Kind::Replay, kept)
            .with(Kind::Upload, upload)
            .with(Kind::Response, socket + 2 * self.buffer_bytes)
    }
}

fn lock(state: &sync::Mutex<State>) -> sync::MutexGuard<'_, State> {
    state.lock().expect("lock is not poisoned")
}

/// The memory of one request; each part is released when it is dropped.
#[derive(Default)]
pub struct Lease {
    /// The state of the request and the buffered part of its body.
    pub kept: Part,
    /// The buffers that the rest of its body passes through.
    pub upload: Part,
    /// The buffers that its response passes through.
    pub response: Part,
    /// Resolves if the request is displaced.
    pub displacement: Displacement,
}

/// Kinds of bytes of one reservation, which are released when this is dropped.
#[derive(Default)]
pub struct Part {
    held: Option<(sync::Arc<sync::Mutex<State>>, Reservation)>,
    kinds: &'static [Kind],
}

impl Part {
    /// Protects the request from being displaced, before anything of it is sent to a target. Returns whether it may be
    /// sent.
    pub fn pin(&self) -> bool {
        let Some((state, reservation)) = &self.held else {
            return true;
        };
        let mut state = lock(state);
        state.signals.remove(reservation);
        state.budget.pin(*reservation)
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        let Some((state, reservation)) = &self.held else {
            return;
        };
        let mut state = lock(state);
        for kind in self.kinds {
            state.budget.release(*reservation, *kind);
        }
        if self.kinds.contains(&Kind::Queued) {
            state.signals.remove(reservation);
        }
    }
}

/// Resolves if a request is displaced.
#[derive(Default)]
pub struct Displacement(Option<oneshot::Receiver<()>>);

impl Displacement {
    /// Waits until the request is displaced; never resolves if it is protected from that, or has ended.
    pub async fn wait(&mut self) {
        let is_displaced = match &mut self.0 {
            Some(signal) => signal.await.is_ok(),
            None => false,
        };
        if !is_displaced {
            self.0 = None;
            std::future::pending::<()>().await;
        }
    }
}
