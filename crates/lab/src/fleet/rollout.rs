//! Rollout of bundles to a fleet, as an operator performs it.

use std::path;
use std::time;

use peridotspread::ops::rollout;
use peridotspread::protocol::peer;
use peridotspread::state::{bundle, clock, operator, settings};
use peridotspread::transport;
use snafu::ResultExt;

use super::{Error, Fleet, OperatorSnafu, RolloutSnafu, SettingsSnafu, files};

/// The timeout of one call to the platform.
const CALL_TIMEOUT: clock::Millis = clock::Millis(1_000);
/// The time for which a rollout is retried while the platform does not respond.
const ROLLOUT_TIMEOUT: clock::Millis = clock::Millis(10_000);

/// An operator with a key that the daemons accept for signing bundles.
#[derive(Debug)]
pub struct Operator {
    key: operator::Key,
    /// The path of the public key, for the settings of the daemons.
    pub public: path::PathBuf,
}

impl Operator {
    pub(super) fn create(files: &files::Files, name: &str) -> Result<Operator, Error> {
        let pair = operator::generate().context(OperatorSnafu)?;
        let private = files.write(&format!("{name}.pem"), &pair.private)?;
        Ok(Operator {
            public: files.write(&format!("{name}.pub.pem"), &pair.public)?,
            key: operator::Key::load(&private).context(OperatorSnafu)?,
        })
    }

    fn sign(&self, bundle: &bundle::Bundle) -> Result<peer::SignedBundle, Error> {
        let text = toml::to_string(bundle).context(SettingsSnafu)?;
        let digest = operator::digest(&text);
        Ok(peer::SignedBundle {
            version: bundle.version,
            signer: self.key.name.clone(),
            signature: self.key.sign(bundle.version, &digest),
            digest,
            text,
        })
    }
}

impl Fleet {
    /// Rolls out a bundle as the operator with the index `operator`, and returns the outcome.
    ///
    /// # Errors
    ///
    /// Returns an error if the bundle cannot be serialised or the rollout fails, for example because the platform does
    /// not respond.
    pub async fn try_roll_out(
        &self,
        operator: usize,
        bundle: &bundle::Bundle,
    ) -> Result<rollout::Outcome, Error> {
        let platform = transport::platform::HttpPlatform::new(&settings::Platform {
            address: self.platform_address,
            timeout_ms: CALL_TIMEOUT,
        });
        let signed = self.operators[operator].sign(bundle)?;
        let options = rollout::RolloutOptions {
            platform: &platform,
            signed: &signed,
            timeout: ROLLOUT_TIMEOUT,
        };
        let outcome = rollout::rollout(&options).await;
        outcome.map_err(|e| {
            RolloutSnafu {
                reason: e.to_string(),
            }
            .build()
        })
    }

    /// Rolls out a bundle and returns the time until the platform accepted it.
    ///
    /// # Errors
    ///
    /// Returns an error if the bundle is not accepted.
    pub async fn roll_out(&mut self, bundle: &bundle::Bundle) -> Result<time::Duration, Error> {
        let start = time::Instant::now();
        match self.try_roll_out(0, bundle).await? {
            rollout::Outcome::Accepted { .. } => {}
            other => {
                let reason = format!("{other:?}");
                return RolloutSnafu { reason }.fail();
            }
        }
        self.bundle = bundle.clone();
        Ok(start.elapsed())
    }
}
