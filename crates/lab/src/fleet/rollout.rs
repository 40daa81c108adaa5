//! Rolls out bundles to a fleet, as an operator does.

use std::path;
use std::time;

use peridotspread::ops::rollout;
use peridotspread::protocol::peer;
use peridotspread::state::{bundle, clock, operator, settings};
use peridotspread::transport;
use snafu::{OptionExt, ResultExt};

use super::{Error, Fleet, RolloutSnafu, SettingsSnafu, files};

/// How long one call to the platform may take.
const CALL: clock::Millis = clock::Millis(1_000);
/// How long a rollout goes on while the platform does not answer.
const PATIENCE: clock::Millis = clock::Millis(10_000);

/// An operator who may sign bundles.
#[derive(Debug)]
pub struct Operator {
    /// The file of the public key, for the daemons' settings.
    pub public: path::PathBuf,
    key: operator::Key,
}

impl Operator {
    pub(super) fn create(files: &files::Files, name: &str) -> Result<Operator, Error> {
        let no_key = || RolloutSnafu {
            reason: "an operator's key can't be made",
        };
        let pair = operator::generate().ok().with_context(no_key)?;
        let key = operator::Key::from_pem(name, &pair.private).with_context(no_key)?;
        let public = files.write(&format!("{name}.pub.pem"), &pair.public)?;
        Ok(Operator { public, key })
    }

    /// Signs a bundle off.
    pub(super) fn sign(&self, bundle: &bundle::Bundle) -> Result<peer::Signed, Error> {
        let text = toml::to_string(bundle).context(SettingsSnafu)?;
        let digest = operator::digest(&text);
        Ok(peer::Signed {
            version: bundle.version,
            signer: self.key.name.clone(),
            signature: self.key.sign(bundle.version, &digest),
            digest,
            text,
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
        let signed = self.operator.sign(bundle)?;
        let client = transport::platform::HttpPlatform::new(&settings::Platform {
            address: self.place,
            timeout_ms: CALL,
        });
        let options = rollout::RolloutOptions {
            platform: &client,
            signed: &signed,
            patience: PATIENCE,
        };
        let reason = match rollout::rollout(&options).await {
            Ok(rollout::Outcome::Accepted { .. } | rollout::Outcome::InForce { .. }) => {
                self.bundle = bundle.clone();
                return Ok(start.elapsed());
            }
            Ok(other) => format!("{other:?}"),
            Err(e) => e.to_string(),
        };
        RolloutSnafu { reason }.fail()
    }
}
