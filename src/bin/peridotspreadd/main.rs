//! The daemon `peridotspreadd`: reads its settings and runs until SIGTERM or SIGINT.

use std::fs;
use std::path;
use std::process;

use gumdrop::Options;

use peridotspread::{daemon, state};

/// The exit status for an invalid command line.
const EXIT_USAGE: u8 = 2;
/// The exit status for invalid or unreadable settings.
const EXIT_CONFIG: u8 = 78;
/// The exit status for a daemon that failed to start or run.
const EXIT_SOFTWARE: u8 = 70;

/// Runs one daemon of the proxy fleet until SIGTERM, after which it finishes its requests in flight and stops.
#[derive(Debug, Options)]
struct Cli {
    #[options(
        free,
        required,
        help = "the settings, a TOML file; see docs/reference/settings.md"
    )]
    settings: path::PathBuf,
    #[options(help = "only check the settings, and exit")]
    check: bool,
    #[options(help = "print this help")]
    help: bool,
}

fn main() -> process::ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let cli = match Cli::parse_args_default(&args) {
        Ok(cli) if !cli.help => cli,
        Ok(_) => {
            println!(
                "Usage: peridotspreadd [--check] SETTINGS\n\n{}",
                Cli::usage()
            );
            return process::ExitCode::SUCCESS;
        }
        Err(e) if args.iter().any(|a| a == "--help" || a == "-h") => {
            log::trace!("{e}");
            println!(
                "Usage: peridotspreadd [--check] SETTINGS\n\n{}",
                Cli::usage()
            );
            return process::ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("error: {e}; see peridotspreadd --help");
            return process::ExitCode::from(EXIT_USAGE);
        }
    };
    let file = cli.settings.display().to_string();
    let text = match fs::read_to_string(&cli.settings) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("error: failed to read the settings {file}: {e}; name a readable file");
            return process::ExitCode::from(EXIT_CONFIG);
        }
    };
    let settings = match state::settings::parse(&file, &text) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return process::ExitCode::from(EXIT_CONFIG);
        }
    };
    if cli.check {
        return process::ExitCode::SUCCESS;
    }
    peridotspread::logs::start(&settings.name, &settings.log);
    serve(&settings)
}

#[tokio::main]
async fn serve(settings: &state::settings::Settings) -> process::ExitCode {
    match daemon::run(settings, Box::pin(daemon::stop_signal())).await {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {}", peridotspread::logs::error_chain(&e));
            process::ExitCode::from(EXIT_SOFTWARE)
        }
    }
}
