//! `platform`: runs an in-memory stand-in for the platform that `docs/PLATFORM.md` describes.

use std::net;

use gumdrop::Options;
use peridotspread::protocol::platform::Host;
use peridotspread_lab::platform;

use super::Error;

#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the address to listen on, 127.0.0.1:9100 by default")]
    address: Option<net::SocketAddr>,
    #[options(
        no_short,
        meta = "NAME=ADDRESS@DOMAIN",
        help = "a daemon in the list of hosts; may be repeated"
    )]
    host: Vec<String>,
}

pub(crate) async fn exec(args: &Args) -> Result<(), Error> {
    let default = net::SocketAddr::from(([127, 0, 0, 1], 9100));
    let address = args.address.unwrap_or(default);
    let (bound, platform) = platform::serve(address, platform::Options::default()).await;
    let hosts = args.host.iter().map(|h| parse_host(h));
    platform.set_hosts(hosts.collect::<Result<_, _>>()?);
    println!("the platform's stand-in listens on {bound}; it keeps all data in memory");
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn parse_host(text: &str) -> Result<Host, Error> {
    let invalid = || format!("`{text}` does not have the form NAME=ADDRESS@DOMAIN");
    let (name, rest) = text.split_once('=').ok_or_else(invalid)?;
    let (peer, domain) = rest.split_once('@').ok_or_else(invalid)?;
    Ok(Host {
        name: name.to_owned(),
        peer: peer.parse()?,
        domain: domain.to_owned(),
        leaving: false,
    })
}
