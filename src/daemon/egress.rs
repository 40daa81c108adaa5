//! The connector of a daemon: opens connections to targets by the paths that [`egress::Egress`] selects, and tells it
//! what they showed.
//!
//! The first path that is established is used. Nothing of a request is sent before, so trying several paths at once
//! can't make the request run twice.

use std::sync;

use futures_util::future;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::{sync as tokio_sync, time};

use crate::coordination::egress::{self, Change, Plan, RelayTry, Verdict};
use crate::coordination::member;
use crate::daemon::metrics;
use crate::protocol::{frame, peer, relay};
use crate::state::clock;
use crate::transport::pool::{self, Connector, Destination, Opened};

/// How much earlier than the daemon a relay gives up, so that its reply arrives in time: several round trips.
const REPLY_MARGIN: clock::Millis = clock::Millis(40);

/// Opens streams to relays.
pub trait Relays: Send + Sync {
    /// Opens a stream to the daemon `name`; returns `None` if it is unreachable or not known.
    fn open<'a>(&'a self, name: &'a str) -> future::BoxFuture<'a, Option<Box<dyn pool::Stream>>>;
}

/// Options of an [`EgressConnector`].
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The daemon's failure domain.
    pub domain: String,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// The live daemons.
    pub view: tokio_sync::watch::Receiver<sync::Arc<member::View>>,
    /// Opens direct connections.
    pub direct: sync::Arc<dyn Connector>,
    /// Opens streams to relays.
    pub relays: sync::Arc<dyn Relays>,
    /// The daemon's metrics.
    pub metrics: sync::Arc<metrics::Metrics>,
}

/// Opens connections to targets, directly or through relays.
pub struct EgressConnector {
    options: Options,
    egress: sync::Mutex<egress::Egress>,
}

/// The result of a try by one path.
enum Tried {
    Direct(Result<Opened, pool::Error>),
    /// The name of the relay, and what the try showed.
    Relay(String, Result<Opened, RelayTry>),
}

/// What the tries of one connection have shown so far.
#[derive(Default)]
struct Failures {
    direct: Option<pool::Error>,
    /// The relays whose connections to the target failed.
    agreeing: Vec<String>,
    /// Whether a relay does not send requests to the target.
    unlisted: bool,
}

impl EgressConnector {
    /// Creates a connector of a daemon that counts as connected.
    pub fn new(options: Options) -> EgressConnector {
        let egress = egress::Egress::new(&options.name, &options.domain);
        EgressConnector {
            options,
            egress: sync::Mutex::new(egress),
        }
    }

    /// Returns whether the daemon counts as cut off from the targets.
    pub fn is_cut_off(&self) -> bool {
        self.egress().is_cut_off()
    }

    fn egress(&self) -> sync::MutexGuard<'_, egress::Egress> {
        self.egress.lock().expect("lock is not poisoned")
    }

    fn now(&self) -> clock::Millis {
        self.options.clock.now()
    }

    /// Opens a direct connection, whose success is recorded.
    async fn connect_direct(&self, to: Destination<'_>) -> Result<Opened, pool::Error> {
        let opened = self.options.direct.connect(to).await?;
        let change = self.egress().record_direct(self.now());
        self.log_change(change);
        Ok(opened)
    }

    /// Tries the paths of a plan until one is established.
    async fn connect_by(&self, plan: &Plan, to: Destination<'_>) -> Result<Opened, pool::Error> {
        let began = time::Instant::now();
        let end = began + pool::CONNECT_TIMEOUT.span();
        let mut next_relay = began + plan.relays_after.span();
        let mut relays = plan.relays.iter();
        let mut tries = FuturesUnordered::new();
        if plan.direct {
            tries.push(self.try_direct(to));
        }
        let mut failures = Failures::default();
        loop {
            let tried = tokio::select! {
                biased;
                Some(tried) = tries.next() => tried,
                () = time::sleep_until(next_relay), if relays.len() > 0 => {
                    if let Some(relay) = relays.next() {
                        tries.push(self.try_relay(relay, to, end));
                    }
                    next_relay = time::Instant::now() + egress::STAGGER.span();
                    continue;
                }
                () = time::sleep_until(end) => break,
                else => break,
            };
            if let Some(opened) = self.record(tried, to, &mut failures) {
                return Ok(opened);
            }
            let is_exhausted = tries.is_empty() && relays.len() == 0;
            if is_exhausted || self.is_decided(&failures) {
                break;
            }
            next_relay = time::Instant::now();
        }
        drop(tries);
        Err(self.error(plan, to, failures))
    }

    fn try_direct<'a>(&'a self, to: Destination<'a>) -> future::BoxFuture<'a, Tried> {
        Box::pin(async move { Tried::Direct(self.connect_direct(to).await) })
    }

    fn try_relay<'a>(
        &'a self,
        name: &'a str,
        to: Destination<'a>,
        end: time::Instant,
    ) -> future::BoxFuture<'a, Tried> {
        let asked = ask_relay(self.options.relays.as_ref(), name, to, end);
        Box::pin(async move {
            let result = asked.await;
            Tried::Relay(name.to_owned(), result)
        })
    }

    /// Records what a try showed, and returns the stream if one was opened.
    fn record(&self, tried: Tried, to: Destination<'_>, failures: &mut Failures) -> Option<Opened> {
        let (name, result) = match tried {
            Tried::Direct(Ok(opened)) => return Some(opened),
            Tried::Direct(Err(e)) => {
                failures.direct = Some(e);
                return None;
            }
            Tried::Relay(name, result) => (name, result),
        };
        let shown = result.as_ref().map_or_else(|e| *e, |_| RelayTry::Connected);
        self.options.metrics.record_relay_try(label(shown));
        let change = {
            let mut egress = self.egress();
            egress.record_relay(self.now(), &name, shown);
            match shown {
                RelayTry::Connected => egress.record_missed(self.now(), to.address),
                _ => None,
            }
        };
        self.log_change(change);
        match shown {
            RelayTry::ConnectFailed => failures.agreeing.push(name),
            RelayTry::Unlisted => failures.unlisted = true,
            RelayTry::Connected => {}
            RelayTry::Unusable => {
                log::info!(relay = name, target = to.name; "a relay is not usable");
            }
        }
        result.ok()
    }

    /// Returns whether further tries would show nothing new: a relay that is believed reports the failure of the target.
    fn is_decided(&self, failures: &Failures) -> bool {
        let now = self.now();
        let egress = self.egress();
        failures.unlisted
            || failures
                .agreeing
                .iter()
                .any(|r| egress.trusts_relay(now, r))
    }

    /// Returns why no path of the plan was established.
    fn error(&self, plan: &Plan, to: Destination<'_>, failures: Failures) -> pool::Error {
        let address = to.address;
        if failures.unlisted {
            return pool::Error::Unlisted { address };
        }
        let verdict = self.egress().verdict(self.now(), plan, &failures.agreeing);
        match verdict {
            Verdict::NoPath => pool::Error::Unreachable { address },
            Verdict::TargetFailed => failures
                .direct
                .unwrap_or(pool::Error::ConnectTimeout { address }),
        }
    }

    fn log_change(&self, change: Option<Change>) {
        match change {
            Some(Change::CutOff) => {
                self.options.metrics.record_cut();
                log::warn!("cut off from the targets; requests go through other daemons");
            }
            Some(Change::Reached(after)) => {
                log::info!(away_ms = after.0; "the targets are reached again");
            }
            None => {}
        }
    }
}

impl Connector for EgressConnector {
    fn connect<'a>(
        &'a self,
        to: Destination<'a>,
    ) -> future::BoxFuture<'a, Result<Opened, pool::Error>> {
        Box::pin(async move {
            if to.direct {
                return self.connect_direct(to).await;
            }
            let view = self.options.view.borrow().clone();
            let plan = self.egress().plan(self.now(), &view);
            if !plan.direct && plan.relays.is_empty() {
                return Err(pool::Error::NoPath);
            }
            self.connect_by(&plan, to).await
        })
    }

    fn trusts_idle(&self) -> bool {
        !self.is_cut_off()
    }
}

/// Asks a relay to connect to a target until `end`; returns the stream that carries the request.
async fn ask_relay(
    relays: &dyn Relays,
    name: &str,
    to: Destination<'_>,
    end: time::Instant,
) -> Result<Opened, RelayTry> {
    let asked = async {
        let mut stream = relays.open(name).await?;
        let left = end.saturating_duration_since(time::Instant::now());
        let request = relay::RelayRequest {
            target: to.name.to_owned(),
            idempotent: to.idempotent,
            timeout: clock::Millis(left.as_millis() as u64) - REPLY_MARGIN,
        };
        // A stream that breaks makes the relay unusable, whatever the reason.
        frame::send(&mut stream, &request).await.ok()?;
        let reply = frame::receive(&mut stream).await.ok()?;
        Some((stream, reply))
    };
    let Ok(Some((stream, reply))) = time::timeout_at(end, asked).await else {
        return Err(RelayTry::Unusable);
    };
    match reply {
        relay::RelayReply::Ready => Ok(Opened {
            stream,
            relay: Some(name.to_owned()),
        }),
        relay::RelayReply::ConnectFailed => Err(RelayTry::ConnectFailed),
        relay::RelayReply::Unlisted => Err(RelayTry::Unlisted),
        relay::RelayReply::CutOff | relay::RelayReply::Busy => Err(RelayTry::Unusable),
    }
}

fn label(shown: RelayTry) -> &'static str {
    match shown {
        RelayTry::Connected => "connected",
        RelayTry::ConnectFailed => "connect-failed",
        RelayTry::Unlisted => "unlisted",
        RelayTry::Unusable => "unusable",
    }
}

/// Opens streams to relays over the connections to other daemons.
pub struct PeerRelays {
    /// The connections to other daemons.
    pub peers: crate::transport::quic::Peers,
    /// The live daemons and their addresses.
    pub view: tokio_sync::watch::Receiver<sync::Arc<member::View>>,
}

impl Relays for PeerRelays {
    fn open<'a>(&'a self, name: &'a str) -> future::BoxFuture<'a, Option<Box<dyn pool::Stream>>> {
        Box::pin(async move {
            let address = self.view.borrow().members.get(name).map(|m| m.peer)?;
            match self.peers.open(name, address, peer::Purpose::Relay).await {
                Ok((send, recv)) => {
                    Some(Box::new(tokio::io::join(recv, send)) as Box<dyn pool::Stream>)
                }
                Err(e) => {
                    log::debug!("failed to open a stream to the relay {name}: {e}");
                    None
                }
            }
        })
    }
}
