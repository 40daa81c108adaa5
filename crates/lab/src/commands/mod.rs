//! The subcommands, one module each.

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

/// The error of a failed subcommand, printed to standard error.
pub(crate) type Error = Box<dyn std::error::Error + Send + Sync>;

#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "run a fleet under load through a series of faults")]
    Demo(demo::Args),
    #[options(help = "replay all traces under both policies and print their measures")]
    Policy(policy::Args),
    #[options(help = "draw detection time against false ejections over thresholds")]
    Curve(curve::Args),
    #[options(help = "measure cost and speed of the membership protocol in simulation")]
    Membership(measure::MembershipArgs),
    #[options(help = "measure connections between daemons, on the loopback")]
    Connections(measure::ConnectionsArgs),
    #[options(help = "measure the cost and speed of a whole fleet")]
    Fleet(fleet::Args),
    #[options(help = "measure the latency that the fleet adds to requests")]
    Latency(latency::Args),
    #[options(help = "measure how the costs of a bundle grow with its size")]
    Slopes(slopes::Args),
    #[options(help = "run a stand-in for the platform")]
    Platform(platform::Args),
    #[options(help = "run stand-ins for the targets described by a TOML file")]
    Target(target::Args),
}

/// Runs a subcommand, on a new Tokio runtime where it is asynchronous.
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
