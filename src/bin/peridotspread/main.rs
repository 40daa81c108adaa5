//! The command-line tool peridotspread.
fn main() {}
