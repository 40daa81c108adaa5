//! Reads a TOML text field by field and collects every finding, in place of stopping at the first.
//!
//! The checks of bundles and settings walk a text with it before they deserialize; what it accepts has no unknown key,
//! no wrong type and no number out of its range.

use std::cell;
use std::ops;
use std::str;

use toml::de;

use crate::state::findings;

/// One text under check, with what was found in it so far.
#[derive(Debug)]
pub struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    found: cell::RefCell<findings::Findings>,
    /// The offsets at which lines end; filled at the first finding.
    ends: cell::OnceCell<Vec<usize>>,
}

/// One table of the text.
#[derive(Clone, Copy, Debug)]
pub struct Table<'a> {
    reader: &'a Reader<'a>,
    fields: &'a de::DeTable<'a>,
    offset: usize,
}

/// One value of the text.
#[derive(Clone, Copy, Debug)]
pub struct Value<'a> {
    reader: &'a Reader<'a>,
    value: &'a de::DeValue<'a>,
    offset: usize,
}

/// A string of the text, with its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Text<'a> {
    /// The string.
    pub str: &'a str,
    /// Its byte offset.
    pub offset: usize,
}

impl<'a> Reader<'a> {
    /// Starts the check of `text`; `file` is the name that findings give.
    pub fn new(file: &'a str, text: &'a str) -> Reader<'a> {
        Reader {
            file,
            text,
            found: cell::RefCell::default(),
            ends: cell::OnceCell::new(),
        }
    }

    /// Adds a finding at byte `offset`.
    pub fn add(&self, offset: usize, message: &str) {
        let finding = findings::Finding {
            file: self.file.to_owned(),
            line: self.line(offset),
            message: message.to_owned(),
        };
        self.found.borrow_mut().list.push(finding);
    }

    /// Returns the line of byte `offset`, counted from 1.
    fn line(&self, offset: usize) -> usize {
        let ends = self.ends.get_or_init(|| {
            let bytes = self.text.bytes().enumerate();
            bytes
                .filter(|(_, b)| *b == b'\n')
                .map(|(at, _)| at)
                .collect()
        });
        ends.partition_point(|end| *end < offset) + 1
    }

    /// Parses the text, and adds each fault of its syntax.
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

    /// Deserializes the text unless something was found.
    ///
    /// # Errors
    ///
    /// Returns all findings; among them what only deserialization sees.
    pub fn finish<T: serde::de::DeserializeOwned>(self) -> Result<T, findings::Findings> {
        let Reader {
            file, text, found, ..
        } = self;
        let mut found = found.into_inner().into_result(()).err().unwrap_or_default();
        if !found.list.is_empty() {
            return Err(found);
        }
        toml::from_str(text).map_err(|e| {
            let offset = e.span().map_or(0, |s| s.start);
            found.add_at(file, text, offset, e.message());
            found
        })
    }
}

impl<'a> Table<'a> {
    /// Adds a finding for each key that is not in `known`.
    pub fn check_keys(&self, known: &[&str]) {
        for key in self.fields.keys() {
            if known.contains(&key.get_ref().as_ref()) {
                continue;
            }
            let message = format!(
                "unknown key `{}`; known here: {}",
                key.get_ref(),
                known.join(", ")
            );
            self.reader.add(key.span().start, &message);
        }
    }

    /// Returns the value of `key` where there is one.
    pub fn optional(&self, key: &str) -> Option<Value<'a>> {
        let value = self.fields.get(key)?;
        Some(Value {
            reader: self.reader,
            value: value.get_ref(),
            offset: value.span().start,
        })
    }

    /// Returns the value of `key`, and adds a finding where there is none.
    pub fn required(&self, key: &str) -> Option<Value<'a>> {
        let value = self.optional(key);
        if value.is_none() {
            self.add(&format!("`{key}` is missing"));
        }
        value
    }

    /// Returns each key with its value.
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

    fn expected<T>(&self, what: &str) -> Option<T> {
        let message = format!("{what} expected, found {}", self.value.type_str());
        self.add(&message);
        None
    }

    /// Returns the table.
    pub fn table(&self) -> Option<Table<'a>> {
        match self.value {
            de::DeValue::Table(fields) => Some(Table {
                reader: self.reader,
                fields,
                offset: self.offset,
            }),
            _ => self.expected("a table"),
        }
    }

    /// Returns the elements of the array.
    pub fn array(&self) -> Vec<Value<'a>> {
        let de::DeValue::Array(array) = self.value else {
            return self.expected("an array").unwrap_or_default();
        };
        let element = |value: &'a toml::Spanned<de::DeValue<'a>>| Value {
            reader: self.reader,
            value: value.get_ref(),
            offset: value.span().start,
        };
        array.iter().map(element).collect()
    }

    /// Returns the tables of the array.
    pub fn tables(&self) -> Vec<Table<'a>> {
        self.array().iter().filter_map(Value::table).collect()
    }

    /// Returns the string.
    pub fn string(&self) -> Option<Text<'a>> {
        match self.value {
            de::DeValue::String(str) => Some(Text {
                str,
                offset: self.offset,
            }),
            _ => self.expected("a string"),
        }
    }

    /// Returns the strings of the array.
    pub fn strings(&self) -> Vec<Text<'a>> {
        self.array().iter().filter_map(Value::string).collect()
    }

    /// Returns the boolean.
    pub fn boolean(&self) -> Option<bool> {
        match self.value {
            de::DeValue::Boolean(b) => Some(*b),
            _ => self.expected("true or false"),
        }
    }

    /// Returns the whole number, which must lie in `range`.
    pub fn integer(&self, range: ops::RangeInclusive<u64>) -> Option<u64> {
        let de::DeValue::Integer(integer) = self.value else {
            return self.expected("a whole number");
        };
        let digits = integer.as_str().replace('_', "");
        let value = u64::from_str_radix(&digits, integer.radix()).ok();
        let inside = value.filter(|v| range.contains(v));
        if inside.is_none() {
            let (least, most) = range.into_inner();
            self.add(&format!(
                "{} is not between {least} and {most}",
                integer.as_str()
            ));
        }
        inside
    }

    /// Returns the number, which must lie in `range`.
    pub fn number(&self, range: ops::RangeInclusive<f64>) -> Option<f64> {
        let digits = match self.value {
            de::DeValue::Integer(integer) if integer.radix() == 10 => integer.as_str(),
            de::DeValue::Float(float) => float.as_str(),
            _ => return self.expected("a number"),
        };
        let value = digits.replace('_', "").parse().ok();
        let inside = value.filter(|v| range.contains(v));
        if inside.is_none() {
            let (least, most) = range.into_inner();
            self.add(&format!("{digits} is not between {least} and {most}"));
        }
        inside
    }

    /// Returns what the string says, such as an address; `what` names it in the finding.
    pub fn parsed<T: str::FromStr>(&self, what: &str) -> Option<T> {
        let text = self.string()?;
        let value = text.str.parse().ok();
        if value.is_none() {
            self.add(&format!("{what} expected, found `{}`", text.str));
        }
        value
    }
}
