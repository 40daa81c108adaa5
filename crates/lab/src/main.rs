//! The command line of the lab, with a subcommand for each stand-in, demonstration and measurement.
//!
//! It is a development tool and the only binary that starts processes.

use std::process::ExitCode;

use gumdrop::Options;

mod commands;

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<commands::Command>,
}

fn main() -> ExitCode {
    env_logger::init();
    let args = Args::parse_args_default_or_exit();
    let Some(command) = args.command else {
        eprintln!(
            "{}\n\n{}",
            Args::usage(),
            Args::command_list().unwrap_or_default()
        );
        return ExitCode::from(commands::EXIT_USAGE);
    };
    match commands::exec(&command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}
