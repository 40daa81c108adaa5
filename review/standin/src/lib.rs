//! Stand-ins of the platform's store, of upstreams and of clients for the cases of this review, and the daemons as processes.

pub mod config;
pub mod fleet;
pub mod http;
pub mod json;
pub mod others;
pub mod record;
pub mod store;
pub mod system;
pub mod upstream;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// Returns whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Runs a case with the record in the folder that the command line names. The exit code is 1 if the rule was broken, 0 if
/// it held, and 2 if the case could not run.
pub fn main(run: impl FnOnce(&Record) -> std::io::Result<bool>) -> ExitCode {
    let Some(folder) = std::env::args().nth(1).map(PathBuf::from) else {
        eprintln!("usage: CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("no record: {e}");
            return ExitCode::from(2);
        }
    };
    match run(&record) {
        Ok(true) => {
            record.add("the rule was broken");
            println!("the rule was broken; see {}", folder.join("record.txt").display());
            ExitCode::from(1)
        }
        Ok(false) => {
            record.add("the rule held");
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Err(e) => {
            record.add(&format!("the case could not run: {e}"));
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
