//! The version of the protocol between daemons.
//!
//! Both ends of a connection offer the versions that they speak by ALPN, and use the highest that both offer. Datagrams
//! state the version of their sender. Messages grow by the fields of an [`super::extension::Extension`], which every
//! version passes over where it does not know them; only a new kind of message needs a new version.

use serde::{Deserialize, Serialize};

use crate::protocol::extension;

/// A version of the protocol between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version(pub u32);

impl Version {
    /// The first version, whose builds offer only that one and send no extensions.
    pub const FIRST: Version = Version(1);
    /// The version with extensions and messages about tokens of quotas.
    pub const TOKENS: Version = Version(2);
    /// The version of this build.
    pub const CURRENT: Version = Version::TOKENS;

    /// The versions that this build speaks, the preferred one first.
    pub const SPOKEN: [Version; 2] = [Version::TOKENS, Version::FIRST];

    /// Returns the ALPN protocol of the version.
    pub fn alpn(self) -> Vec<u8> {
        format!("peridotspread/{}", self.0).into_bytes()
    }

    /// Returns the version that both ends have agreed on by ALPN; [`Version::FIRST`] if the protocol is unknown.
    pub fn from_alpn(protocol: &[u8]) -> Version {
        let spoken = Version::SPOKEN.into_iter();
        let mut matching = spoken.filter(|v| v.alpn() == protocol);
        matching.next().unwrap_or(Version::FIRST)
    }
}

impl Default for Version {
    /// Returns the version of a daemon that states none.
    fn default() -> Version {
        Version::FIRST
    }
}

impl extension::Field for Version {
    const TAG: u32 = 1;
}
