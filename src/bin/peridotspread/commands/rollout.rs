//! `peridotspread rollout`: rolls out a signed bundle to the fleet.

use std::net;
use std::path;

use gumdrop::Options;
use peridotspread::ops;
use peridotspread::ops::rollout;
use peridotspread::protocol::peer;
use peridotspread::state::clock;
use peridotspread::state::operator;
use peridotspread::state::settings;
use peridotspread::transport::platform;
use snafu::ResultExt;

use crate::commands::{self, Command, sign};
use crate::output::{self, Failure, Outcome, Status};

/// How long one call to the platform may take.
const CALL_TIMEOUT: clock::Millis = clock::Millis(5_000);

#[derive(Debug, Options)]
struct Args {
    #[options(free, required, help = "the bundle, a TOML file")]
    bundle: path::PathBuf,
    #[options(no_short, required, meta = "IP:PORT", help = "the platform's address")]
    platform: Option<net::SocketAddr>,
    #[options(
        no_short,
        meta = "FILE",
        help = "your private key; without it the signature in BUNDLE.sig is used, which `sign` writes"
    )]
    key: Option<path::PathBuf>,
    #[options(
        no_short,
        meta = "SECONDS",
        default = "30",
        help = "how long to retry while the platform does not respond"
    )]
    patience: u64,
    #[options(no_short, help = "print one JSON object")]
    json: bool,
}

/// The signature file is of another text or version than the bundle's file.
#[derive(Debug, snafu::Snafu)]
#[snafu(display(
    "the signature in {} does not belong to this bundle; sign the bundle again",
    path.display()
))]
struct StaleSignature {
    path: path::PathBuf,
}

pub(crate) fn cli() -> Command {
    Command {
        name: "rollout",
        about: "Checks a signed bundle and rolls it out to the fleet",
        usage: "peridotspread rollout BUNDLE --platform IP:PORT [--key FILE] [--patience SECONDS] [--json]",
        exec,
    }
}

fn exec(args: &[&str]) -> Outcome {
    let args: Args = match commands::parse(&cli(), args) {
        Ok(args) => args,
        Err(status) => return Ok(status),
    };
    let Some(address) = args.platform else {
        eprintln!("error: `--platform` is missing; see `peridotspread rollout --help`");
        return Ok(Status::Usage);
    };
    let signed = load_signed(&args)?;
    let settings = settings::Platform {
        address,
        timeout_ms: CALL_TIMEOUT,
    };
    let platform = platform::HttpPlatform::new(&settings);
    let options = ops::RolloutOptions {
        platform: &platform,
        signed: &signed,
        timeout: clock::Millis(args.patience.saturating_mul(1_000)),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Failure::new(Status::System, e))?;
    let outcome = runtime
        .block_on(ops::rollout(&options))
        .map_err(|e| Failure::new(Status::Unavailable, e))?;
    output::print_report(args.json, &outcome, &describe(&outcome));
    Ok(status(&outcome))
}

/// Signs the bundle with the key if one is given, else reads and checks its signature file.
fn load_signed(args: &Args) -> Result<peer::SignedBundle, Failure> {
    if let Some(key) = &args.key {
        let (text, signature) = sign::sign(&args.bundle, key)?;
        return Ok(signature.into_signed(text));
    }
    let (text, bundle) = commands::load_bundle(&args.bundle)?;
    let path = commands::signature_path(&args.bundle);
    let signature: commands::Signature = serde_json::from_str(&commands::read(&path)?)
        .context(commands::SignatureSnafu { path: &path })
        .map_err(|e| Failure::new(Status::Input, e))?;
    if signature.digest != operator::digest(&text) || signature.version != bundle.version {
        return Err(Failure::new(Status::Input, StaleSignature { path }));
    }
    Ok(signature.into_signed(text))
}

fn describe(outcome: &rollout::Outcome) -> String {
    match outcome {
        rollout::Outcome::Accepted { version, previous } => {
            format!(
                "version {version} is accepted and follows {previous}; it comes into force everywhere"
            )
        }
        rollout::Outcome::InForce { version } => {
            format!("version {version} was already in force; nothing was written")
        }
        rollout::Outcome::NotNewer { held } => format!(
            "version {} by {} is in force since {} (wall clock, ms); give the bundle a higher version",
            held.version, held.signer, held.time.0
        ),
        rollout::Outcome::Beaten { winner } => format!(
            "{} won with version {} (digest {}); nothing of this rollout is in force, compare and roll out again",
            winner.signer, winner.version, winner.digest
        ),
        rollout::Outcome::Unknown { version } => format!(
            "the platform's response was lost: version {version} may come into force; run the same rollout again to \
             find out"
        ),
    }
}

fn status(outcome: &rollout::Outcome) -> Status {
    match outcome {
        rollout::Outcome::Accepted { .. } | rollout::Outcome::InForce { .. } => Status::Success,
        rollout::Outcome::NotNewer { .. } | rollout::Outcome::Beaten { .. } => Status::Negative,
        rollout::Outcome::Unknown { .. } => Status::Unknown,
    }
}
