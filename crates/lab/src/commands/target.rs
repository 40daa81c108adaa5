//! `target`: runs stand-ins for the targets that a TOML file describes.

use std::net;
use std::path;
use std::sync;

use gumdrop::Options;
use peridotspread::state::clock;
use peridotspread_lab::target;
use serde::Deserialize;

use super::Error;

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        free,
        required,
        help = "TOML file: control = \"IP:PORT\" and [[targets]]"
    )]
    file: path::PathBuf,
}

/// The content of the TOML file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    /// The address of the control port.
    control: net::SocketAddr,
    targets: Vec<target::Plan>,
}

pub(crate) async fn exec(args: &Args) -> Result<(), Error> {
    let text = std::fs::read_to_string(&args.file)?;
    let file: File = toml::from_str(&text)?;
    let targets = target::serve(&file.targets, clock::Clock::start()).await?;
    let targets = sync::Arc::new(targets);
    for (name, address) in targets.addresses() {
        println!("target {name} at {address}");
    }
    let control = target::control::serve(file.control, targets.clone()).await?;
    println!("control at {control}");
    tokio::signal::ctrl_c().await?;
    Ok(())
}
