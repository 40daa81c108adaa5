//! Checks the text of a bundle as a whole, before anything is adopted from it.

use crate::state::bundle;
use crate::state::findings;

/// Parses and checks the text of a bundle; `file` is the name that findings give.
///
/// # Errors
///
/// Returns every finding with its line if the text is no valid bundle.
pub fn parse(file: &str, text: &str) -> Result<bundle::Bundle, findings::Findings> {
    let mut found = findings::Findings::default();
    match toml::from_str::<bundle::Bundle>(text) {
        Ok(bundle) => found.into_result(bundle),
        Err(e) => {
            let offset = e.span().map_or(0, |s| s.start);
            found.add_at(file, text, offset, e.message());
            Err(found)
        }
    }
}
