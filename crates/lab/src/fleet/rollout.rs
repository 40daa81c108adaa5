//! Rolls out bundles to a fleet, as an operator does.

use std::path;
use std::time;

use peridotspread::protocol::platform::{self, Platform};
use peridotspread::state::{bundle, clock, settings};
use peridotspread::transport;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::{Error, Fleet, RolloutSnafu, SettingsSnafu, files};

/// How long one call to the platform may take.
const CALL: clock::Millis = clock::Millis(1_000);
/// The row that decides which bundle is in force.
const ROW: &str = "bundle";

/// An operator who may sign bundles.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The operator's name.
    pub name: String,
    /// The file of the public key, for the daemons' settings.
    pub public: path::PathBuf,
}

#[derive(Debug, Serialize, Deserialize)]
struct Row {
    version: u64,
    digest: String,
    signer: String,
}

impl Operator {
    pub(super) fn create(files: &files::Files, name: &str) -> Result<Operator, Error> {
        Ok(Operator {
            name: name.to_owned(),
            public: files.write(&format!("{name}.pub.pem"), "")?,
        })
    }
}

impl Fleet {
    /// Rolls out a bundle, and returns how long the platform took to accept it.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not accept the bundle.
    pub async fn roll_out(&mut self, bundle: &bundle::Bundle) -> Result<time::Duration, Error> {
        let start = time::Instant::now();
        let text = toml::to_string(bundle).context(SettingsSnafu)?;
        let digest = super::digest(&text);
        let client = transport::platform::HttpPlatform::new(&settings::Platform {
            address: self.place,
            timeout_ms: CALL,
        });
        let row = Row {
            version: bundle.version,
            digest: digest.clone(),
            signer: self.operator.name.clone(),
        };
        let write = platform::Write {
            key: ROW.to_owned(),
            expect: platform::Expect::Any,
            value: serde_json::to_string(&row).ok(),
        };
        let reason = |e: platform::Error| {
            RolloutSnafu {
                reason: e.to_string(),
            }
            .build()
        };
        client
            .store(&digest, text.as_bytes())
            .await
            .map_err(reason)?;
        client.commit(&[write]).await.map_err(reason)?;
        self.bundle = bundle.clone();
        Ok(start.elapsed())
    }
}
