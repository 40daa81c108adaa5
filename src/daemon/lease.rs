//! Leases of the ejection budget: acquires them in the platform's table and releases them.
//!
//! A cell needs a lease before it ejects a target, so that all cells together leave enough targets of a service in use.

use std::sync;

use futures_util::future;
use tokio::sync as tokio_sync;

use crate::coordination::lease;
use crate::daemon::cell;
use crate::protocol::platform::{self, Expect, Write};
use crate::state::bundle;
use crate::state::clock;
use crate::state::ids;

/// The most tries of one write, which fails if another daemon wrote the row first or if the reply is lost.
const MAX_TRIES: u32 = 5;

/// Options of [`Leases`].
pub struct Options {
    /// The daemon's name.
    pub name: String,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// Stores the leases of each service in one row.
    pub platform: sync::Arc<dyn platform::Platform>,
}

/// Leases shares of the ejection budgets of all services.
pub struct Leases {
    options: Options,
    /// Allows one write at a time, so that the writes of this daemon don't conflict with each other.
    write_lock: tokio_sync::Mutex<()>,
}

/// The row of a service, and what a write expects of it.
struct Current {
    expect: Expect,
    row: lease::Row,
}

/// An error of reading or writing a row.
#[derive(Debug, snafu::Snafu)]
enum Error {
    #[snafu(context(false), display("{source}"))]
    Platform { source: platform::Error },
    #[snafu(context(false), display("failed to decode the row: {source}"))]
    Row { source: serde_json::Error },
}

impl Leases {
    /// Creates a client that holds no leases.
    pub fn new(options: Options) -> Leases {
        Leases {
            options,
            write_lock: tokio_sync::Mutex::default(),
        }
    }

    /// Acquires or renews the lease for the ejection of a target; returns when it expires by this daemon's clock, or
    /// `None` if the budget is used up.
    ///
    /// No lease is granted while the table is unreachable.
    pub async fn acquire(&self, service: &bundle::Service, target: &str) -> Option<clock::Millis> {
        let _guard = self.write_lock.lock().await;
        match self.try_acquire(service, target).await {
            // If the process was paused since, the lease may have expired.
            Ok(until) => until.filter(|until| self.options.clock.now() < *until),
            Err(e) => {
                log::warn!(
                    "failed to acquire the ejection lease of {target} of {}: {e}",
                    service.name
                );
                None
            }
        }
    }

    /// Releases the lease for the ejection of a target; if that fails, the lease expires.
    pub async fn release(&self, service: &bundle::Service, target: &str) {
        let _guard = self.write_lock.lock().await;
        if let Err(e) = self.try_release(service, target).await {
            log::debug!(
                "failed to release the ejection lease of {target} of {}, which expires: {e}",
                service.name
            );
        }
    }

    async fn try_acquire(
        &self,
        service: &bundle::Service,
        target: &str,
    ) -> Result<Option<clock::Millis>, Error> {
        let token = ids::RequestId::random().to_string();
        let mut first_write = clock::Millis::ZERO;
        for _ in 0..MAX_TRIES {
            let current = self.read(&service.name).await?;
            if current.row.holds(&token) {
                // An earlier write succeeded, but its reply was lost.
                return Ok(Some(lease::holder_expiry(first_write, service)));
            }
            let before = self.options.clock.now();
            let request = lease::AcquireRequest {
                service,
                target,
                holder: &self.options.name,
                token: &token,
                wall: clock::wall(),
            };
            let Some(row) = current.row.grant(&request) else {
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
        for _ in 0..MAX_TRIES {
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

    /// Writes the row of a service; returns `false` if it must be read again, since another daemon wrote it first or
    /// the reply was lost.
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

impl cell::EjectionBudget for Leases {
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
