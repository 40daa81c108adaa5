//! Rolls out a signed bundle: stores its text as an object, then commits one conditional transaction.
//!
//! If two operators roll out at the same moment, the transaction of one succeeds, and the other learns who won. The
//! transaction writes two rows: the row that names the bundle in force, and a row under the version's own key. If the
//! platform's response is lost, the second row shows whether this rollout took effect, even after a later rollout.

use std::time;

use serde::Serialize;
use snafu::{OptionExt, ResultExt};

use crate::protocol::peer;
use crate::protocol::platform::{self, Expect, Write};
use crate::protocol::rollout;
use crate::state::bundle::edits;
use crate::state::clock;
use crate::state::operator;

/// The time between two tries of a call to the platform.
const RETRY_INTERVAL: clock::Millis = clock::Millis(200);

/// The rollouts whose rows are kept.
const KEPT_ROLLOUTS: usize = 200;

/// The most rows that one rollout removes.
const PRUNED_ROLLOUTS: usize = 50;

/// The options of [`rollout()`].
pub struct RolloutOptions<'a> {
    /// The platform that stores the bundle.
    pub platform: &'a dyn platform::Platform,
    /// The signed bundle, whose text has no findings.
    pub signed: &'a peer::SignedBundle,
    /// How long calls are tried again while the platform does not respond.
    pub timeout: clock::Millis,
}

/// The outcome of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// The bundle was accepted and comes into force.
    Accepted {
        /// The version of the bundle.
        version: u64,
        /// The version that was in force before; 0 for none.
        previous: u64,
    },
    /// The same bundle was already in force; nothing was written.
    InForce {
        /// The version of the bundle.
        version: u64,
    },
    /// The bundle's version is not above the one in force; nothing was written.
    NotNewer {
        /// The rollout in force.
        held: rollout::Record,
    },
    /// A concurrent rollout won; nothing of this one is in force.
    Beaten {
        /// The rollout that won.
        winner: rollout::Record,
    },
    /// The platform's response was lost, and the result could not be read back: the bundle may come into force.
    Unknown {
        /// The version of the bundle.
        version: u64,
    },
}

/// Why a rollout failed; nothing of it is in force.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// The platform did not execute a call within the timeout.
    #[snafu(display("the platform failed to {what}; nothing was rolled out, try again"))]
    Platform {
        /// The purpose of the call.
        what: &'static str,
        /// The error of the last try.
        source: platform::Error,
    },
    /// A row does not hold a record of a rollout.
    #[snafu(display("failed to parse the row {key}; nothing was rolled out"))]
    Row {
        /// The key of the row.
        key: String,
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// The record cannot be encoded, or the system has no randomness for its token.
    #[snafu(display("failed to prepare the rollout; nothing was rolled out"))]
    Prepare,
}

/// The rollout in force as read from the platform, and the precondition of the write that replaces it.
struct Current {
    expect: Expect,
    record: Option<rollout::Record>,
}

/// Rolls out a bundle.
///
/// # Errors
///
/// Returns an error if nothing was rolled out because the platform cannot be reached or holds invalid rows.
pub async fn rollout(options: &RolloutOptions<'_>) -> Result<Outcome, Error> {
    let deadline = time::Instant::now() + options.timeout.span();
    let attempt = Attempt { options, deadline };
    attempt.run().await
}

/// One rollout in progress.
struct Attempt<'a> {
    options: &'a RolloutOptions<'a>,
    deadline: time::Instant,
}

impl Attempt<'_> {
    async fn run(&self) -> Result<Outcome, Error> {
        let signed = self.options.signed;
        let current = self.read_current().await?;
        if let Some(held) = &current.record
            && held.version >= signed.version
        {
            return Ok(refused_outcome(held, signed));
        }
        self.store(&signed.digest, signed.text.as_bytes()).await?;
        let change = match &current.record {
            Some(held) => self.store_change(held).await,
            None => None,
        };
        let record = rollout::Record {
            version: signed.version,
            digest: signed.digest.clone(),
            signer: signed.signer.clone(),
            signature: signed.signature.clone(),
            token: random_token()?,
            time: clock::wall(),
            change,
        };
        let outcome = self.commit_rows(&current, &record).await?;
        if matches!(outcome, Outcome::Accepted { .. }) {
            self.prune_rows().await;
        }
        Ok(outcome)
    }

    async fn read_current(&self) -> Result<Current, Error> {
        let row = self.read(rollout::KEY, "read the bundle in force").await?;
        let Some(row) = row else {
            return Ok(Current {
                expect: Expect::Absent,
                record: None,
            });
        };
        Ok(Current {
            expect: Expect::Version(row.version),
            record: Some(decode(&row)?),
        })
    }

    async fn read(&self, key: &str, what: &'static str) -> Result<Option<platform::Row>, Error> {
        loop {
            match self.options.platform.read(key).await {
                Ok(row) => return Ok(row),
                Err(e) => self
                    .wait_to_retry(e)
                    .await
                    .context(PlatformSnafu { what })?,
            }
        }
    }

    async fn store(&self, digest: &str, content: &[u8]) -> Result<(), Error> {
        let what = "store the bundle's text";
        loop {
            match self.options.platform.store(digest, content).await {
                Ok(()) => return Ok(()),
                Err(e) => self
                    .wait_to_retry(e)
                    .await
                    .context(PlatformSnafu { what })?,
            }
        }
    }

    /// Stores the edits from the bundle in force to this one; returns nothing if they are not much shorter than the
    /// text, or if a call fails.
    async fn store_change(&self, held: &rollout::Record) -> Option<rollout::ChangeRef> {
        let old = self.options.platform.object(&held.digest).await.ok()??;
        let old = String::from_utf8(old).ok()?;
        let edits = edits::between(&old, &self.options.signed.text);
        let content = rollout::encode(&edits).ok()?;
        if content.len() >= self.options.signed.text.len() / 2 {
            return None;
        }
        let digest = operator::digest_bytes(&content);
        self.store(&digest, &content).await.ok()?;
        Some(rollout::ChangeRef {
            from: held.version,
            digest,
        })
    }

    /// Commits the rows, and determines the outcome even if responses are lost.
    async fn commit_rows(
        &self,
        current: &Current,
        record: &rollout::Record,
    ) -> Result<Outcome, Error> {
        let what = "roll the bundle out";
        let writes = row_writes(current, record)?;
        let accepted = Outcome::Accepted {
            version: record.version,
            previous: current.record.as_ref().map_or(0, |r| r.version),
        };
        let unknown = Outcome::Unknown {
            version: record.version,
        };
        let mut may_be_written = false;
        loop {
            let error = match self.options.platform.commit(&writes).await {
                Ok(_) => return Ok(accepted),
                Err(e) => e,
            };
            if let platform::Error::Unavailable { .. } = error {
                match self.wait_to_retry(error).await {
                    Ok(()) => continue,
                    Err(_) if may_be_written => return Ok(unknown),
                    Err(e) => return Err(e).context(PlatformSnafu { what }),
                }
            }
            // From here on an earlier commit may have taken effect, or may still do so.
            may_be_written = true;
            let found = self.find_own_row(record).await;
            match found {
                Ok(Some(true)) => return Ok(accepted),
                Ok(Some(false)) => return self.beaten_outcome(&unknown).await,
                Ok(None) if matches!(error, platform::Error::Conflict { .. }) => {
                    return self.beaten_outcome(&unknown).await;
                }
                Ok(None) => {}
                Err(_) => return Ok(unknown),
            }
            if self.wait_to_retry(error).await.is_err() {
                return Ok(unknown);
            }
        }
    }

    /// Looks up the row of this version; returns whether it holds this rollout's token, or nothing if there is no row.
    async fn find_own_row(&self, record: &rollout::Record) -> Result<Option<bool>, Error> {
        let key = rollout::log_key(record.version);
        let row = self.read(&key, "return the outcome of the rollout").await?;
        let Some(row) = row else { return Ok(None) };
        Ok(Some(decode(&row)?.token == record.token))
    }

    /// Returns the outcome of a lost race, with the rollout that is now in force as its winner.
    async fn beaten_outcome(&self, unknown: &Outcome) -> Result<Outcome, Error> {
        let current = self.read_current().await;
        match current.ok().and_then(|c| c.record) {
            Some(winner) => Ok(Outcome::Beaten { winner }),
            None => Ok(unknown.clone()),
        }
    }

    /// Waits until the next try, or returns `error` if the deadline would pass before.
    async fn wait_to_retry(&self, error: platform::Error) -> Result<(), platform::Error> {
        if time::Instant::now() + RETRY_INTERVAL.span() >= self.deadline {
            return Err(error);
        }
        tokio::time::sleep(RETRY_INTERVAL.span()).await;
        Ok(())
    }

    /// Removes the rows of old rollouts; the next rollout removes what a failed call leaves.
    async fn prune_rows(&self) {
        let limit = KEPT_ROLLOUTS + PRUNED_ROLLOUTS;
        let scan = self.options.platform.scan(rollout::LOG_PREFIX, "", limit);
        let Ok(rows) = scan.await else { return };
        let old = rows.len().saturating_sub(KEPT_ROLLOUTS);
        let removal = |row: &platform::Row| Write {
            key: row.key.clone(),
            expect: Expect::Any,
            value: None,
        };
        let writes: Vec<_> = rows.iter().take(old).map(removal).collect();
        if !writes.is_empty()
            && let Err(e) = self.options.platform.commit(&writes).await
        {
            log::debug!("failed to remove the rows of old rollouts: {e}");
        }
    }
}

/// Returns the outcome for a bundle whose version is not above the one in force.
fn refused_outcome(held: &rollout::Record, signed: &peer::SignedBundle) -> Outcome {
    if held.version == signed.version && held.digest == signed.digest {
        return Outcome::InForce {
            version: held.version,
        };
    }
    Outcome::NotNewer { held: held.clone() }
}

fn row_writes(current: &Current, record: &rollout::Record) -> Result<[Write; 2], Error> {
    let value = serde_json::to_string(record).ok().context(PrepareSnafu)?;
    let current_row = Write {
        key: rollout::KEY.to_owned(),
        expect: current.expect,
        value: Some(value.clone()),
    };
    let log_row = Write {
        key: rollout::log_key(record.version),
        expect: Expect::Absent,
        value: Some(value),
    };
    Ok([current_row, log_row])
}

fn decode(row: &platform::Row) -> Result<rollout::Record, Error> {
    serde_json::from_str(&row.value).context(RowSnafu { key: &row.key })
}

fn random_token() -> Result<String, Error> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).ok().context(PrepareSnafu)?;
    Ok(hex::encode(bytes))
}
