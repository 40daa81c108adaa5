//! What the daemon asks of the platform: a transactional table, an object store and a list of hosts.
//!
//! [`Platform`] is the border: the HTTP client in [`crate::transport::platform`] is one implementation, tests bring
//! their own. Whoever writes must expect [`Error::Lost`], and resolve it by reading back a token of its own.

use std::net;

use futures_util::future;
use serde::{Deserialize, Serialize};

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// Rises with every write of the row.
    pub version: u64,
    /// The row's value, JSON.
    pub value: String,
}

/// What a write expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// No row of this key.
    Absent,
    /// The row at this version.
    Version(u64),
    /// Anything.
    Any,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// What must hold for the transaction to happen.
    pub expect: Expect,
    /// The new value; removes the row where absent.
    pub value: Option<String>,
}

/// One host in the platform's list, which lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The daemon's name.
    pub name: String,
    /// The daemon's address for peers.
    pub peer: net::SocketAddr,
    /// The host's failure domain.
    pub domain: String,
    /// Whether the host is leaving.
    pub leaving: bool,
}

/// Why a call to the platform failed.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A write's expectation did not hold; nothing was written.
    #[snafu(display("the row {key} is not as the write expected; read it again"))]
    Conflict {
        /// The first key whose expectation did not hold.
        key: String,
    },
    /// The platform refused the call before acting on it.
    #[snafu(display("the platform does not take the call ({reason}); try again later"))]
    Unavailable {
        /// What it said.
        reason: String,
    },
    /// The answer was lost: the call may have taken effect.
    #[snafu(display(
        "the platform's answer was lost ({reason}); read back whether the call took effect"
    ))]
    Lost {
        /// What was seen.
        reason: String,
    },
}

/// The future of one call.
pub type Call<'a, T> = future::BoxFuture<'a, Result<T, Error>>;

/// The platform's list of hosts.
pub trait Hosts: Send + Sync {
    /// Reads the list.
    fn hosts(&self) -> Call<'_, Vec<Host>>;
}

/// The platform, as the daemon and the command-line tool use it.
pub trait Platform: Hosts {
    /// Reads one row.
    fn read<'a>(&'a self, key: &'a str) -> Call<'a, Option<Row>>;

    /// Reads up to `limit` rows whose keys start with `prefix`, in the order of their keys, from `after` on exclusively.
    fn scan<'a>(&'a self, prefix: &'a str, after: &'a str, limit: usize) -> Call<'a, Vec<Row>>;

    /// Writes all of `writes` or none, and returns the rows' new versions in their order.
    fn commit<'a>(&'a self, writes: &'a [Write]) -> Call<'a, Vec<u64>>;

    /// Reads an object by the SHA-256 digest of its content, in hexadecimal.
    fn object<'a>(&'a self, digest: &'a str) -> Call<'a, Option<Vec<u8>>>;

    /// Stores an object under the SHA-256 digest of its content; storing the same content twice does no harm.
    fn store<'a>(&'a self, digest: &'a str, content: &'a [u8]) -> Call<'a, ()>;
}
