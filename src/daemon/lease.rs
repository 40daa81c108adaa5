//! Asks the platform's table for leases of the ejection budget, and gives them back.

use std::sync;

use futures_util::future;
use tokio::sync as tasks;

use crate::coordination::lease;
use crate::daemon::cell;
use crate::protocol::platform::{self, Expect, Write};
use crate::state::bundle;
use crate::state::clock;
use crate::state::ids;

/// The tries of one write whose row other daemons write too, or whose answer is lost.
const TRIES: u32 = 5;

/// What the leases work with.
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// The platform.
    pub platform: sync::Arc<dyn platform::Platform>,
}

/// The ejection budget of all services.
pub struct Leases {
    options: Options,
    /// Lets one write at a time go out, so that this daemon is in no conflict with itself.
    turn: tasks::Mutex<()>,
}

/// A service's row as it was read.
struct Current {
    expect: Expect,
    row: lease::Row,
}

/// Why a lease can't be asked for.
#[derive(Debug, snafu::Snafu)]
enum Error {
    #[snafu(context(false), display("{source}"))]
    Platform { source: platform::Error },
    #[snafu(context(false), display("the row can't be understood: {source}"))]
    Row { source: serde_json::Error },
}

impl Leases {
    /// Creates the client of the budget.
    pub fn new(options: Options) -> Leases {
        Leases {
            options,
            turn: tasks::Mutex::default(),
        }
    }

    /// Asks for the ejection of a target, and returns until when it is granted by this daemon's clock.
    ///
    /// Nothing is granted while the table can't be reached.
    pub async fn acquire(&self, service: &bundle::Service, target: &str) -> Option<clock::Millis> {
        let _turn = self.turn.lock().await;
        match self.try_acquire(service, target).await {
            // A process that was paused since may hold what has lapsed.
            Ok(until) => until.filter(|until| self.options.clock.now() < *until),
            Err(e) => {
                log::warn!("no ejection of {target} of {}: {e}", service.name);
                None
            }
        }
    }

    /// Gives the ejection of a target back; what can't be given back lapses.
    pub async fn release(&self, service: &bundle::Service, target: &str) {
        let _turn = self.turn.lock().await;
        if let Err(e) = self.try_release(service, target).await {
            log::debug!("the ejection of {target} of {} lapses: {e}", service.name);
        }
    }

    async fn try_acquire(
        &self,
        service: &bundle::Service,
        target: &str,
    ) -> Result<Option<clock::Millis>, Error> {
        let token = ids::RequestId::random().to_string();
        let mut first_write = clock::Millis::ZERO;
        for _ in 0..TRIES {
            let current = self.read(&service.name).await?;
            if current.row.holds(&token) {
                // An earlier write took effect, and its answer was lost.
                return Ok(Some(lease::holder_expiry(first_write, service)));
            }
            let before = self.options.clock.now();
            let ask = lease::AcquireRequest {
                service,
                target,
                holder: &self.options.name,
                token: &token,
                wall: clock::wall(),
            };
            let Some(row) = current.row.grant(&ask) else {
                return Ok(None);
            };
            if self.write(&service.name, current.expect, &row).await? {
                return Ok(Some(lease::holder_expiry(before, service)));
            }
            if first_write == clock::Millis::ZERO {
                first_write = before;
            }
        }
        Ok(None)
    }

    async fn try_release(&self, service: &bundle::Service, target: &str) -> Result<(), Error> {
        for _ in 0..TRIES {
            let current = self.read(&service.name).await?;
            let wall = clock::wall();
            let released = current.row.release(target, &self.options.name, wall);
            let Some(row) = released else { return Ok(()) };
            if self.write(&service.name, current.expect, &row).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn read(&self, service: &str) -> Result<Current, Error> {
        let row = self.options.platform.read(&lease::key(service)).await?;
        let Some(row) = row else {
            return Ok(Current {
                expect: Expect::Absent,
                row: lease::Row::default(),
            });
        };
        Ok(Current {
            expect: Expect::Version(row.version),
            row: serde_json::from_str(&row.value)?,
        })
    }

    /// Writes a service's row, and returns whether it is known to be written; if not, it must be read again.
    async fn write(&self, service: &str, expect: Expect, row: &lease::Row) -> Result<bool, Error> {
        let value = if row.list.is_empty() {
            None
        } else {
            Some(serde_json::to_string(row)?)
        };
        let write = Write {
            key: lease::key(service),
            expect,
            value,
        };
        match self.options.platform.commit(&[write]).await {
            Ok(_) => Ok(true),
            Err(platform::Error::Conflict { .. } | platform::Error::Lost { .. }) => Ok(false),
            Err(e @ platform::Error::Unavailable { .. }) => Err(e.into()),
        }
    }
}

impl cell::Budget for Leases {
    fn acquire<'a>(
        &'a self,
        service: &'a bundle::Service,
        target: &'a str,
    ) -> future::BoxFuture<'a, Option<clock::Millis>> {
        Box::pin(Leases::acquire(self, service, target))
    }

    fn release<'a>(
        &'a self,
        service: &'a bundle::Service,
        target: &'a str,
    ) -> future::BoxFuture<'a, ()> {
        Box::pin(Leases::release(self, service, target))
    }
}
