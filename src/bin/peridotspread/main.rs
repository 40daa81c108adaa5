//! The command-line tool `peridotspread`: parses the command line and calls the library.

mod commands;
mod output;

use std::env;
use std::process;

fn main() -> process::ExitCode {
    let args: Vec<_> = env::args().skip(1).collect();
    let args: Vec<_> = args.iter().map(String::as_str).collect();
    commands::run(&args).into()
}
