//! Checks TOML texts field by field, and collects all findings instead of stopping at the first.
//!
//! The checks of bundles and settings use this before deserialization. A text without findings has no unknown keys, no
//! values of a wrong type and no numbers out of range.

use std::cell;
use std::ops;
use std::str;

use toml::de;

use crate::state::findings;

/// The check of one text, with the findings collected so far.
#[derive(Debug)]
pub struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    findings: cell::RefCell<findings::Findings>,
    /// The byte offsets of the line ends; computed at the first finding.
    line_ends: cell::OnceCell<Vec<usize>>,
}

/// A table of the text.
#[derive(Clone, Copy, Debug)]
pub struct Table<'a> {
    reader: &'a Reader<'a>,
    fields: &'a de::DeTable<'a>,
    offset: usize,
}

/// A value of the text.
#[derive(Clone, Copy, Debug)]
pub struct Value<'a> {
    reader: &'a Reader<'a>,
    value: &'a de::DeValue<'a>,
    offset: usize,
}

/// A string of the text, with its location.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Text<'a> {
    /// The contents of the string.
    pub str: &'a str,
    /// The byte offset in the text.
    pub offset: usize,
}

impl<'a> Reader<'a> {
    /// Creates a reader of `text`; findings refer to it by the name `file`.
    pub fn new(file: &'a str, text: &'a str) -> Reader<'a> {
        Reader {
            file,
            text,
            findings: cell::RefCell::default(),
            line_ends: cell::OnceCell::new(),
        }
    }

    /// Adds a finding at byte `offset`.
    pub fn add(&self, offset: usize, message: &str) {
        let finding = findings::Finding {
            file: self.file.to_owned(),
            line: self.line(offset),
            message: message.to_owned(),
        };
        self.findings.borrow_mut().list.push(finding);
    }

    /// Returns the line of byte `offset`, counted from 1.
    fn line(&self, offset: usize) -> usize {
        let line_ends = self.line_ends.get_or_init(|| {
            let bytes = self.text.bytes().enumerate();
            bytes
                .filter(|(_, b)| *b == b'\n')
                .map(|(at, _)| at)
                .collect()
        });
        line_ends.partition_point(|end| *end < offset) + 1
    }

    /// Parses the text and adds a finding for each syntax error.
    pub fn parse(&self) -> toml::Spanned<de::DeTable<'a>> {
        let (table, errors) = de::DeTable::parse_recoverable(self.text);
        for e in errors {
            self.add(e.span().map_or(0, |s| s.start), e.message());
        }
        table
    }

    /// Returns the root table.
    pub fn root(&'a self, table: &'a toml::Spanned<de::DeTable<'a>>) -> Table<'a> {
        Table {
            reader: self,
            fields: table.get_ref(),
            offset: 0,
        }
    }

    /// Deserializes the text if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns all findings, or the error of the deserialization.
    pub fn finish<T: serde::de::DeserializeOwned>(self) -> Result<T, findings::Findings> {
        let Reader {
            file,
            text,
            findings,
            ..
        } = self;
        let mut findings = findings
            .into_inner()
            .into_result(())
            .err()
            .unwrap_or_default();
        if !findings.list.is_empty() {
            return Err(findings);
        }
        toml::from_str(text).map_err(|e| {
            let offset = e.span().map_or(0, |s| s.start);
            findings.add_at(file, text, offset, e.message());
            findings
        })
    }
}

impl<'a> Table<'a> {
    /// Adds a finding for each key of the table that is not in `known`.
    pub fn check_keys(&self, known: &[&str]) {
        for key in self.fields.keys() {
            if known.contains(&key.get_ref().as_ref()) {
                continue;
            }
            let message = format!(
                "unknown key `{}`; expected one of: {}",
                key.get_ref(),
                known.join(", ")
            );
            self.reader.add(key.span().start, &message);
        }
    }

    /// Returns the value of `key`, if there is one.
    pub fn optional(&self, key: &str) -> Option<Value<'a>> {
        let value = self.fields.get(key)?;
        Some(Value {
            reader: self.reader,
            value: value.get_ref(),
            offset: value.span().start,
        })
    }

    /// Returns the value of `key`; adds a finding if there is none.
    pub fn required(&self, key: &str) -> Option<Value<'a>> {
        let value = self.optional(key);
        if value.is_none() {
            self.add(&format!("`{key}` is missing"));
        }
        value
    }

    /// Returns all keys with their values.
    pub fn entries(&self) -> impl Iterator<Item = (Text<'a>, Value<'a>)> {
        let reader = self.reader;
        self.fields.iter().map(move |(key, value)| {
            let text = Text {
                str: key.get_ref(),
                offset: key.span().start,
            };
            let value = Value {
                reader,
                value: value.get_ref(),
                offset: value.span().start,
            };
            (text, value)
        })
    }

    /// Adds a finding about the table as a whole.
    pub fn add(&self, message: &str) {
        self.reader.add(self.offset, message);
    }
}

impl<'a> Value<'a> {
    /// Adds a finding about the value.
    pub fn add(&self, message: &str) {
        self.reader.add(self.offset, message);
    }

    /// Adds a finding that the value has the wrong type; `what` describes the expected one.
    fn wrong_type<T>(&self, what: &str) -> Option<T> {
        let message = format!("expected {what}, found {}", self.value.type_str());
        self.add(&message);
        None
    }

    /// Returns the value as a table; adds a finding if it has another type.
    pub fn table(&self) -> Option<Table<'a>> {
        match self.value {
            de::DeValue::Table(fields) => Some(Table {
                reader: self.reader,
                fields,
                offset: self.offset,
            }),
            _ => self.wrong_type("a table"),
        }
    }

    /// Returns the elements of the array; adds a finding if the value has another type.
    pub fn array(&self) -> Vec<Value<'a>> {
        let de::DeValue::Array(array) = self.value else {
            return self.wrong_type("an array").unwrap_or_default();
        };
        let element = |value: &'a toml::Spanned<de::DeValue<'a>>| Value {
            reader: self.reader,
            value: value.get_ref(),
            offset: value.span().start,
        };
        array.iter().map(element).collect()
    }

    /// Returns the tables in the array; adds a finding for each element of another type.
    pub fn tables(&self) -> Vec<Table<'a>> {
        self.array().iter().filter_map(Value::table).collect()
    }

    /// Returns the value as a string; adds a finding if it has another type.
    pub fn string(&self) -> Option<Text<'a>> {
        match self.value {
            de::DeValue::String(str) => Some(Text {
                str,
                offset: self.offset,
            }),
            _ => self.wrong_type("a string"),
        }
    }

    /// Returns the strings in the array; adds a finding for each element of another type.
    pub fn strings(&self) -> Vec<Text<'a>> {
        self.array().iter().filter_map(Value::string).collect()
    }

    /// Returns the value as a boolean; adds a finding if it has another type.
    pub fn boolean(&self) -> Option<bool> {
        match self.value {
            de::DeValue::Boolean(b) => Some(*b),
            _ => self.wrong_type("true or false"),
        }
    }

    /// Returns the value as an integer; adds a finding if it is not an integer in `range`.
    pub fn integer(&self, range: ops::RangeInclusive<u64>) -> Option<u64> {
        let de::DeValue::Integer(integer) = self.value else {
            return self.wrong_type("a whole number");
        };
        let digits = integer.as_str().replace('_', "");
        let value = u64::from_str_radix(&digits, integer.radix()).ok();
        let valid = value.filter(|v| range.contains(v));
        if valid.is_none() {
            let (least, most) = range.into_inner();
            self.add(&format!(
                "{} is not between {least} and {most}",
                integer.as_str()
            ));
        }
        valid
    }

    /// Returns the value as a number; adds a finding if it is not a number in `range`.
    pub fn number(&self, range: ops::RangeInclusive<f64>) -> Option<f64> {
        let digits = match self.value {
            de::DeValue::Integer(integer) if integer.radix() == 10 => integer.as_str(),
            de::DeValue::Float(float) => float.as_str(),
            _ => return self.wrong_type("a number"),
        };
        let value = digits.replace('_', "").parse().ok();
        let valid = value.filter(|v| range.contains(v));
        if valid.is_none() {
            let (least, most) = range.into_inner();
            self.add(&format!("{digits} is not between {least} and {most}"));
        }
        valid
    }

    /// Returns the parsed string, such as an address; adds a finding that describes it as `what` if it cannot be
    /// parsed.
    pub fn parsed<T: str::FromStr>(&self, what: &str) -> Option<T> {
        let text = self.string()?;
        let value = text.str.parse().ok();
        if value.is_none() {
            self.add(&format!("expected {what}, found `{}`", text.str));
        }
        value
    }
}
