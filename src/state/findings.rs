//! Findings of a check, collected with their places and reported together.
//!
//! The checks of bundles and settings add to one [`Findings`]; nothing is adopted unless it stays empty.

use std::fmt;

/// One fault, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct Finding {
    /// The file as the user named it.
    pub file: String,
    /// The line, counted from 1; 0 when the fault concerns the file as a whole.
    pub line: usize,
    /// The fault, with what to do about it.
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

/// All faults of one checked text.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Findings {
    /// The faults in the order of their places.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Adds a fault at byte `offset` of `text`.
    pub fn add_at(&mut self, file: &str, text: &str, offset: usize, message: &str) {
        let line = text.bytes().take(offset).filter(|b| *b == b'\n').count() + 1;
        self.list.push(Finding {
            file: file.to_owned(),
            line,
            message: message.to_owned(),
        });
    }

    /// Adds a fault of the file as a whole.
    pub fn add(&mut self, file: &str, message: &str) {
        self.list.push(Finding {
            file: file.to_owned(),
            line: 0,
            message: message.to_owned(),
        });
    }

    /// Returns `value` if nothing was found.
    ///
    /// # Errors
    ///
    /// Returns all findings, in the order of their places, if there is one.
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
