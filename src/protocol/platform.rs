//! The interface to the platform: a transactional table, an object store and a list of hosts.
//!
//! The HTTP client in [`crate::transport::platform`] implements [`Platform`]; tests use their own implementations. A
//! write can fail with [`Error::Lost`], after which it may have taken effect. The caller resolves this by writing a
//! unique token and reading it back.

use std::net;

use futures_util::future;
use serde::{Deserialize, Serialize};

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key of the row.
    pub key: String,
    /// The version of the row; every write of the row increases it.
    pub version: u64,
    /// The value of the row, as JSON.
    pub value: String,
}

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// There is no row with this key.
    Absent,
    /// The row has this version.
    Version(u64),
    /// There is no precondition.
    Any,
}

/// A write in a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key of the row.
    pub key: String,
    /// The precondition; if it does not hold, the whole transaction fails.
    pub expect: Expect,
    /// The new value; if absent, the row is removed.
    pub value: Option<String>,
}

/// A host in the platform's list, which lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The name of the daemon on the host.
    pub name: String,
    /// The address at which other daemons reach the daemon.
    pub peer: net::SocketAddr,
    /// The failure domain of the host.
    pub domain: String,
    /// Whether the host is being removed from the fleet.
    pub leaving: bool,
}

/// The error when a call to the platform fails.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The precondition of a write did not hold; nothing was written.
    #[snafu(display("the row {key} has changed since it was read; read it again"))]
    Conflict {
        /// The first key whose precondition did not hold.
        key: String,
    },
    /// The platform refused the call before acting on it.
    #[snafu(display("the platform is unavailable ({reason}); try again later"))]
    Unavailable {
        /// The reason that the platform gave.
        reason: String,
    },
    /// The answer was lost; the call may have taken effect.
    #[snafu(display(
        "the platform's answer was lost ({reason}); read back whether the call took effect"
    ))]
    Lost {
        /// The failure, for logs.
        reason: String,
    },
}

/// The future of one call to the platform.
pub type Call<'a, T> = future::BoxFuture<'a, Result<T, Error>>;

/// The platform's list of hosts.
pub trait Hosts: Send + Sync {
    /// Reads the list of all hosts.
    fn hosts(&self) -> Call<'_, Vec<Host>>;

    /// Writes the rows of this daemon again that the platform may have lost when it was restored from an earlier copy;
    /// returns how many were written.
    fn restore_rows(&self) -> Call<'_, usize> {
        Box::pin(async { Ok(0) })
    }
}

/// The platform, as the daemon and the command-line tool use it.
pub trait Platform: Hosts {
    /// Reads the row with this key, if there is one.
    fn read<'a>(&'a self, key: &'a str) -> Call<'a, Option<Row>>;

    /// Reads up to `limit` rows whose keys start with `prefix` and are greater than `after`, in the order of their
    /// keys.
    fn scan<'a>(&'a self, prefix: &'a str, after: &'a str, limit: usize) -> Call<'a, Vec<Row>>;

    /// Commits all of `writes` or none, and returns the new versions of the rows in the same order.
    fn commit<'a>(&'a self, writes: &'a [Write]) -> Call<'a, Vec<u64>>;

    /// Reads the object with this SHA-256 digest, in hexadecimal, if there is one.
    fn object<'a>(&'a self, digest: &'a str) -> Call<'a, Option<Vec<u8>>>;

    /// Stores an object under the SHA-256 digest of its content; the operation is idempotent.
    fn store<'a>(&'a self, digest: &'a str, content: &'a [u8]) -> Call<'a, ()>;
}
