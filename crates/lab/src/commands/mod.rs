//! The subcommands, one file each.

use gumdrop::Options;

mod curve;
mod demo;
mod fleet;
mod latency;
mod measure;
mod platform;
mod policy;
mod slopes;
mod target;

/// The exit status for a command line that names no subcommand.
pub(crate) const EXIT_USAGE: u8 = 64;

/// What a subcommand reports when it fails.
pub(crate) type Error = Box<dyn std::error::Error + Send + Sync>;

#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "show a fleet under load going through one fault after the other")]
    Demo(demo::Args),
    #[options(help = "replay all traces under both policies and print their measures")]
    Policy(policy::Args),
    #[options(help = "draw detection time against false ejections over thresholds")]
    Curve(curve::Args),
    #[options(help = "measure the membership's cost and speed, tables only")]
    Membership(measure::MembershipArgs),
    #[options(help = "measure connections between daemons, on the loopback")]
    Connections(measure::ConnectionsArgs),
    #[options(help = "measure what a whole fleet costs and how fast it acts")]
    Fleet(fleet::Args),
    #[options(help = "measure what the fleet adds to a request's time")]
    Latency(latency::Args),
    #[options(help = "measure how the bundle's costs grow")]
    Slopes(slopes::Args),
    #[options(help = "stand in for the platform")]
    Platform(platform::Args),
    #[options(help = "stand in for targets, as a TOML file describes them")]
    Target(target::Args),
}

/// Carries out a subcommand on a runtime of its own.
pub(crate) fn exec(command: &Command) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    match command {
        Command::Demo(args) => runtime.block_on(demo::exec(args)),
        Command::Policy(args) => policy::exec(args),
        Command::Curve(args) => curve::exec(args),
        Command::Membership(args) => measure::membership(args),
        Command::Connections(args) => runtime.block_on(measure::connections(args)),
        Command::Fleet(args) => runtime.block_on(fleet::exec(args)),
        Command::Latency(args) => runtime.block_on(latency::exec(args)),
        Command::Slopes(args) => runtime.block_on(slopes::exec(args)),
        Command::Platform(args) => runtime.block_on(platform::exec(args)),
        Command::Target(args) => runtime.block_on(target::exec(args)),
    }
}
