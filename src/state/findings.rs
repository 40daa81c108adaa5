//! Findings: errors in a checked file, collected with their locations and reported together.
//!
//! The checks of bundles and settings collect [`Findings`]; a text with any finding is not used.

use std::fmt;

/// An error in a checked file, with its location.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct Finding {
    /// The name of the file, as given by the user.
    pub file: String,
    /// The line, counted from 1; 0 if the error concerns the file as a whole.
    pub line: usize,
    /// The description of the error and how to correct it.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return write!(f, "{}: {}", self.file, self.message);
        }
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

/// All errors of one checked file.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Findings {
    /// The errors; [`Findings::into_result`] sorts them by location.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Adds an error at byte `offset` of `text`.
    pub fn add_at(&mut self, file: &str, text: &str, offset: usize, message: &str) {
        let line = text.bytes().take(offset).filter(|b| *b == b'\n').count() + 1;
        self.list.push(Finding {
            file: file.to_owned(),
            line,
            message: message.to_owned(),
        });
    }

    /// Adds an error that concerns the file as a whole.
    pub fn add(&mut self, file: &str, message: &str) {
        self.list.push(Finding {
            file: file.to_owned(),
            line: 0,
            message: message.to_owned(),
        });
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns all findings, sorted by location, if there are any.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Findings> {
        if self.list.is_empty() {
            return Ok(value);
        }
        self.list.sort();
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.list {
            writeln!(f, "{finding}")?;
        }
        write!(f, "{} found; correct them and check again", self.list.len())
    }
}

impl std::error::Error for Findings {}
