//! Rolls a signed bundle out: its content into the object store, then one conditional write that decides.
//!
//! Of two operators at the same moment one wins, and the other is told who did. The transaction writes two rows: the one
//! that names the bundle in force, and one under the version's own key. The second tells after a lost answer whether this
//! rollout took place, also when another has followed it.

use std::time;

use serde::Serialize;
use snafu::{OptionExt, ResultExt};

use crate::protocol::peer;
use crate::protocol::platform::{self, Expect, Write};
use crate::protocol::rollout;
use crate::state::bundle::edits;
use crate::state::clock;
use crate::state::operator;

/// The time between two tries.
const RETRY_SPAN: clock::Millis = clock::Millis(200);

/// The rollouts whose rows are kept.
const KEPT_ROLLOUTS: usize = 200;

/// The most rows that are removed at a time.
const PRUNED_ROLLOUTS: usize = 50;

/// What to roll out, and how.
pub struct RolloutOptions<'a> {
    /// The platform.
    pub platform: &'a dyn platform::Platform,
    /// The signed bundle, whose text was checked.
    pub signed: &'a peer::SignedBundle,
    /// How long to go on while the platform does not answer.
    pub timeout: clock::Millis,
}

/// What became of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// The bundle was accepted and comes into force.
    Accepted {
        /// The version.
        version: u64,
        /// The version that it follows; 0 for none.
        previous: u64,
    },
    /// The very bundle was in force already.
    InForce {
        /// The version.
        version: u64,
    },
    /// The version is not above the one in force; nothing was written.
    NotNewer {
        /// The rollout in force.
        held: rollout::Record,
    },
    /// Another rollout won; nothing of this one is in force.
    Beaten {
        /// The rollout that won.
        winner: rollout::Record,
    },
    /// The platform's answer was lost and could not be found out since: the bundle may come into force.
    Unknown {
        /// The version.
        version: u64,
    },
}

/// Why a rollout did not take place; nothing of it is in force.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// The platform did not do its part in time.
    #[snafu(display("the platform can't be reached to {what}; nothing was rolled out, try again"))]
    Platform {
        /// What it was to do.
        what: &'static str,
        /// What it said last.
        source: platform::Error,
    },
    /// A row does not hold what it must.
    #[snafu(display("the row {key} can't be understood; nothing was rolled out"))]
    Row {
        /// Its key.
        key: String,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// A record can't be encoded, or the system has no randomness for a token.
    #[snafu(display("the rollout can't be prepared; nothing was rolled out"))]
    Prepare,
}

/// The rollout in force, as it was read.
struct Current {
    expect: Expect,
    record: Option<rollout::Record>,
}

/// Rolls a bundle out.
///
/// # Errors
///
/// Returns an error if nothing was rolled out because the platform can't be reached.
pub async fn rollout(options: &RolloutOptions<'_>) -> Result<Outcome, Error> {
    let deadline = time::Instant::now() + options.timeout.span();
    let work = Work { options, deadline };
    work.run().await
}

struct Work<'a> {
    options: &'a RolloutOptions<'a>,
    deadline: time::Instant,
}

impl Work<'_> {
    async fn run(&self) -> Result<Outcome, Error> {
        let signed = self.options.signed;
        let current = self.current().await?;
        if let Some(held) = &current.record
            && held.version >= signed.version
        {
            return Ok(refused(held, signed));
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
            token: token()?,
            time: clock::wall(),
            change,
        };
        let outcome = self.decide(&current, &record).await?;
        if matches!(outcome, Outcome::Accepted { .. }) {
            self.prune().await;
        }
        Ok(outcome)
    }

    async fn current(&self) -> Result<Current, Error> {
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
                Err(e) => self.pause(e).await.context(PlatformSnafu { what })?,
            }
        }
    }

    async fn store(&self, digest: &str, content: &[u8]) -> Result<(), Error> {
        let what = "store the bundle's text";
        loop {
            match self.options.platform.store(digest, content).await {
                Ok(()) => return Ok(()),
                Err(e) => self.pause(e).await.context(PlatformSnafu { what })?,
            }
        }
    }

    /// Stores the difference from the bundle in force; absent where it is not worth it or that fails.
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

    /// Writes the rows, and finds out who won.
    async fn decide(&self, current: &Current, record: &rollout::Record) -> Result<Outcome, Error> {
        let what = "roll the bundle out";
        let writes = writes(current, record)?;
        let accepted = Outcome::Accepted {
            version: record.version,
            previous: current.record.as_ref().map_or(0, |r| r.version),
        };
        let unknown = Outcome::Unknown {
            version: record.version,
        };
        let mut doubtful = false;
        loop {
            let error = match self.options.platform.commit(&writes).await {
                Ok(_) => return Ok(accepted),
                Err(e) => e,
            };
            if let platform::Error::Unavailable { .. } = error {
                match self.pause(error).await {
                    Ok(()) => continue,
                    Err(_) if doubtful => return Ok(unknown),
                    Err(e) => return Err(e).context(PlatformSnafu { what }),
                }
            }
            // From here on an earlier write may have taken effect, or may still do so.
            doubtful = true;
            let found = self.find(record).await;
            match found {
                Ok(Some(true)) => return Ok(accepted),
                Ok(Some(false)) => return self.beaten(&unknown).await,
                Ok(None) if matches!(error, platform::Error::Conflict { .. }) => {
                    return self.beaten(&unknown).await;
                }
                Ok(None) => {}
                Err(_) => return Ok(unknown),
            }
            if self.pause(error).await.is_err() {
                return Ok(unknown);
            }
        }
    }

    /// Returns whether this rollout's own row is there: with its token, with another, or not at all.
    async fn find(&self, record: &rollout::Record) -> Result<Option<bool>, Error> {
        let key = rollout::log_key(record.version);
        let row = self
            .read(&key, "find out what became of the rollout")
            .await?;
        let Some(row) = row else { return Ok(None) };
        Ok(Some(decode(&row)?.token == record.token))
    }

    async fn beaten(&self, unknown: &Outcome) -> Result<Outcome, Error> {
        let current = self.current().await;
        match current.ok().and_then(|c| c.record) {
            Some(winner) => Ok(Outcome::Beaten { winner }),
            None => Ok(unknown.clone()),
        }
    }

    /// Waits until the next try, or returns the error once patience has run out.
    async fn pause(&self, error: platform::Error) -> Result<(), platform::Error> {
        if time::Instant::now() + RETRY_SPAN.span() >= self.deadline {
            return Err(error);
        }
        tokio::time::sleep(RETRY_SPAN.span()).await;
        Ok(())
    }

    /// Removes the rows of old rollouts; what fails is left to the next rollout.
    async fn prune(&self) {
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
            log::debug!("the rows of old rollouts stay: {e}");
        }
    }
}

fn refused(held: &rollout::Record, signed: &peer::SignedBundle) -> Outcome {
    if held.version == signed.version && held.digest == signed.digest {
        return Outcome::InForce {
            version: held.version,
        };
    }
    Outcome::NotNewer { held: held.clone() }
}

fn writes(current: &Current, record: &rollout::Record) -> Result<[Write; 2], Error> {
    let value = serde_json::to_string(record).ok().context(PrepareSnafu)?;
    let deciding = Write {
        key: rollout::KEY.to_owned(),
        expect: current.expect,
        value: Some(value.clone()),
    };
    let kept = Write {
        key: rollout::log_key(record.version),
        expect: Expect::Absent,
        value: Some(value),
    };
    Ok([deciding, kept])
}

fn decode(row: &platform::Row) -> Result<rollout::Record, Error> {
    serde_json::from_str(&row.value).context(RowSnafu { key: &row.key })
}

fn token() -> Result<String, Error> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).ok().context(PrepareSnafu)?;
    Ok(hex::encode(bytes))
}
