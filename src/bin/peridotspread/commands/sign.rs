//! `peridotspread sign`: signs a bundle with an operator's key.

use std::fs;
use std::path;

use gumdrop::Options;
use peridotspread::state::operator;
use snafu::ResultExt;

use crate::commands::{self, Command, Signature};
use crate::output::{self, Failure, Outcome, Status};

#[derive(Debug, Options)]
struct Args {
    #[options(free, required, help = "the bundle, a TOML file")]
    bundle: path::PathBuf,
    #[options(no_short, required, meta = "FILE", help = "your private key")]
    key: path::PathBuf,
    #[options(no_short, help = "print one JSON object")]
    json: bool,
}

pub(crate) fn cli() -> Command {
    Command {
        name: "sign",
        about: "Checks a bundle and writes its signature to BUNDLE.sig",
        usage: "peridotspread sign BUNDLE --key FILE [--json]",
        exec,
    }
}

fn exec(args: &[&str]) -> Outcome {
    let args: Args = match commands::parse(&cli(), args) {
        Ok(args) => args,
        Err(status) => return Ok(status),
    };
    let signature = sign(&args.bundle, &args.key)?.1;
    let path = commands::signature_path(&args.bundle);
    let json = serde_json::to_string(&signature).map_err(|e| Failure::new(Status::System, e))?;
    let result = fs::write(&path, json).context(commands::WriteSnafu { path: &path });
    result.map_err(|e| Failure::new(Status::System, e))?;
    let line = format!(
        "{} signed version {} into {}",
        signature.signer,
        signature.version,
        path.display()
    );
    output::print_report(args.json, &signature, &line);
    Ok(Status::Success)
}

/// Checks and signs a bundle's file, and returns its text with the signature.
pub(crate) fn sign(bundle: &path::Path, key: &path::Path) -> Result<(String, Signature), Failure> {
    let (text, bundle) = commands::load_bundle(bundle)?;
    let key = operator::Key::load(key).map_err(|e| Failure::new(Status::Input, e))?;
    let digest = operator::digest(&text);
    let signature = Signature {
        version: bundle.version,
        signature: key.sign(bundle.version, &digest),
        signer: key.name,
        digest,
    };
    Ok((text, signature))
}
