//! The difference between two texts by lines, compact enough to push to every daemon.
//!
//! Edits reproduce the later text byte by byte, comments included, so that the digest that was signed can be verified
//! after they are applied.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The most bytes of a text that edits may produce.
const TEXT_BYTES: usize = 64 * 1024 * 1024;

/// How often a range is split at its unique lines before the rest is replaced whole.
const SPLITS: usize = 32;

/// One step from the lines of an earlier text to the lines of a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Takes over as many lines of the earlier text.
    Keep(u32),
    /// Leaves out as many lines of the earlier text.
    Skip(u32),
    /// Inserts text.
    Insert(String),
}

/// Why edits don't apply to a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum Error {
    /// They name more lines than the text has, or fewer.
    #[snafu(display("the edits belong to another text"))]
    OtherText,
    /// The text would pass the limit.
    #[snafu(display("the edits make a text of more than {TEXT_BYTES} bytes"))]
    TooLong,
}

/// Returns the edits that turn `old` into `new`.
pub fn between(old: &str, new: &str) -> Vec<Edit> {
    let old: Vec<_> = old.split_inclusive('\n').collect();
    let new: Vec<_> = new.split_inclusive('\n').collect();
    let mut edits = Vec::new();
    split(&old, &new, SPLITS, &mut edits);
    edits
}

/// Applies `edits` to `old`.
///
/// # Errors
///
/// Returns an error if the edits don't cover the lines of `old`, or the text would be too long.
pub fn apply(old: &str, edits: &[Edit]) -> Result<String, Error> {
    let mut lines = old.split_inclusive('\n');
    let mut text = String::with_capacity(old.len());
    for edit in edits {
        match edit {
            Edit::Keep(n) => {
                for _ in 0..*n {
                    text.push_str(lines.next().ok_or(Error::OtherText)?);
                }
            }
            Edit::Skip(n) => {
                for _ in 0..*n {
                    lines.next().ok_or(Error::OtherText)?;
                }
            }
            Edit::Insert(new) => text.push_str(new),
        }
        if text.len() > TEXT_BYTES {
            return Err(Error::TooLong);
        }
    }
    match lines.next() {
        Some(_) => Err(Error::OtherText),
        None => Ok(text),
    }
}

/// Returns about how many bytes `edits` take when they are encoded.
pub fn size(edits: &[Edit]) -> usize {
    let bytes = |edit: &Edit| match edit {
        Edit::Keep(_) | Edit::Skip(_) => 6,
        Edit::Insert(text) => 6 + text.len(),
    };
    edits.iter().map(bytes).sum()
}

/// Keeps the lines that both ranges begin and end with, and splits what is between at lines that are unique in both.
fn split(old: &[&str], new: &[&str], splits: usize, edits: &mut Vec<Edit>) {
    let head = old.iter().zip(new).take_while(|(a, b)| a == b).count();
    keep(head, edits);
    let (old, new) = (&old[head..], &new[head..]);
    let backward = old.iter().rev().zip(new.iter().rev());
    let tail = backward.take_while(|(a, b)| a == b).count();
    let (old, new) = (&old[..old.len() - tail], &new[..new.len() - tail]);
    let anchors = if splits == 0 || old.is_empty() || new.is_empty() {
        Vec::new()
    } else {
        anchors(old, new)
    };
    let (mut i, mut j) = (0, 0);
    for (a, b) in &anchors {
        split(&old[i..*a], &new[j..*b], splits - 1, edits);
        keep(1, edits);
        (i, j) = (a + 1, b + 1);
    }
    if anchors.is_empty() {
        replace(old, new, edits);
    } else {
        split(&old[i..], &new[j..], splits - 1, edits);
    }
    keep(tail, edits);
}

fn keep(n: usize, edits: &mut Vec<Edit>) {
    if n == 0 {
        return;
    }
    let n = u32::try_from(n).unwrap_or(u32::MAX);
    match edits.last_mut() {
        Some(Edit::Keep(kept)) => *kept += n,
        _ => edits.push(Edit::Keep(n)),
    }
}

fn replace(old: &[&str], new: &[&str], edits: &mut Vec<Edit>) {
    if !old.is_empty() {
        edits.push(Edit::Skip(u32::try_from(old.len()).unwrap_or(u32::MAX)));
    }
    if !new.is_empty() {
        edits.push(Edit::Insert(new.concat()));
    }
}

/// Returns the longest ascending chain of lines that are unique in both ranges, by their indices in each.
fn anchors(old: &[&str], new: &[&str]) -> Vec<(usize, usize)> {
    let unique_old = unique(old);
    let unique_new = unique(new);
    let mut pairs: Vec<_> = unique_old
        .iter()
        .filter_map(|(line, i)| Some((*i, *unique_new.get(line)?)))
        .collect();
    pairs.sort_unstable();
    longest_ascending(&pairs)
}

fn unique<'a>(lines: &[&'a str]) -> BTreeMap<&'a str, usize> {
    let mut seen = BTreeMap::<&str, Option<usize>>::new();
    for (i, line) in lines.iter().enumerate() {
        let first = !seen.contains_key(line);
        seen.insert(line, first.then_some(i));
    }
    let once = |(line, at): (&'a str, Option<usize>)| Some((line, at?));
    seen.into_iter().filter_map(once).collect()
}

/// Returns the longest chain of `pairs`, sorted by their first parts, whose second parts ascend.
fn longest_ascending(pairs: &[(usize, usize)]) -> Vec<(usize, usize)> {
    let mut ends: Vec<usize> = Vec::new();
    let mut before: Vec<Option<usize>> = Vec::with_capacity(pairs.len());
    for (i, pair) in pairs.iter().enumerate() {
        let len = ends.partition_point(|end| pairs[*end].1 < pair.1);
        before.push(len.checked_sub(1).map(|l| ends[l]));
        match ends.get_mut(len) {
            Some(end) => *end = i,
            None => ends.push(i),
        }
    }
    let mut chain = Vec::with_capacity(ends.len());
    let mut at = ends.last().copied();
    while let Some(i) = at {
        chain.push(pairs[i]);
        at = before[i];
    }
    chain.reverse();
    chain
}
