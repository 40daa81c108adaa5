//! Line-based edits between two texts (a patience diff), compact enough to push to every daemon.
//!
//! Applying the edits reproduces the new text byte by byte, including comments, so that its signed digest can be
//! verified.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The maximum size of a text that edits may produce, in bytes.
const MAX_TEXT_BYTES: usize = 64 * 1024 * 1024;

/// The maximum recursion depth; at this depth, a range is replaced as a whole instead of being split at unique lines.
const MAX_DEPTH: usize = 32;

/// One step in the conversion of an old text to a new one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Copies this number of lines of the old text.
    Keep(u32),
    /// Skips this number of lines of the old text.
    Skip(u32),
    /// Inserts new text.
    Insert(String),
}

/// The error when edits cannot be applied to a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum Error {
    /// The edits cover more or fewer lines than the text has.
    #[snafu(display("the edits do not apply to this text"))]
    OtherText,
    /// The resulting text exceeds the size limit.
    #[snafu(display("the edits produce a text of more than {MAX_TEXT_BYTES} bytes"))]
    TooLong,
}

/// Returns the edits that turn `old` into `new`.
pub fn between(old: &str, new: &str) -> Vec<Edit> {
    let old: Vec<_> = old.split_inclusive('\n').collect();
    let new: Vec<_> = new.split_inclusive('\n').collect();
    let mut edits = Vec::new();
    diff_range(&old, &new, MAX_DEPTH, &mut edits);
    edits
}

/// Applies `edits` to `old`.
///
/// # Errors
///
/// Returns an error if the edits don't cover exactly the lines of `old`, or if the resulting text is too long.
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
        if text.len() > MAX_TEXT_BYTES {
            return Err(Error::TooLong);
        }
    }
    match lines.next() {
        Some(_) => Err(Error::OtherText),
        None => Ok(text),
    }
}

/// Returns the approximate encoded size of `edits`, in bytes.
pub fn size(edits: &[Edit]) -> usize {
    let bytes = |edit: &Edit| match edit {
        Edit::Keep(_) | Edit::Skip(_) => 6,
        Edit::Insert(text) => 6 + text.len(),
    };
    edits.iter().map(bytes).sum()
}

/// Appends the edits between two ranges of lines.
///
/// It keeps the common prefix and suffix, and splits the rest at lines that are unique in both ranges, recursively up
/// to `depth` levels.
fn diff_range(old: &[&str], new: &[&str], depth: usize, edits: &mut Vec<Edit>) {
    let head = old.iter().zip(new).take_while(|(a, b)| a == b).count();
    push_keep(head, edits);
    let (old, new) = (&old[head..], &new[head..]);
    let backward = old.iter().rev().zip(new.iter().rev());
    let tail = backward.take_while(|(a, b)| a == b).count();
    let (old, new) = (&old[..old.len() - tail], &new[..new.len() - tail]);
    let anchors = if depth == 0 || old.is_empty() || new.is_empty() {
        Vec::new()
    } else {
        anchors(old, new)
    };
    let (mut i, mut j) = (0, 0);
    for (a, b) in &anchors {
        diff_range(&old[i..*a], &new[j..*b], depth - 1, edits);
        push_keep(1, edits);
        (i, j) = (a + 1, b + 1);
    }
    if anchors.is_empty() {
        push_replacement(old, new, edits);
    } else {
        diff_range(&old[i..], &new[j..], depth - 1, edits);
    }
    push_keep(tail, edits);
}

fn push_keep(n: usize, edits: &mut Vec<Edit>) {
    if n == 0 {
        return;
    }
    let n = u32::try_from(n).unwrap_or(u32::MAX);
    match edits.last_mut() {
        Some(Edit::Keep(kept)) => *kept += n,
        _ => edits.push(Edit::Keep(n)),
    }
}

fn push_replacement(old: &[&str], new: &[&str], edits: &mut Vec<Edit>) {
    if !old.is_empty() {
        edits.push(Edit::Skip(u32::try_from(old.len()).unwrap_or(u32::MAX)));
    }
    if !new.is_empty() {
        edits.push(Edit::Insert(new.concat()));
    }
}

/// Returns the anchors: the longest common subsequence of the lines that are unique in both ranges, as pairs of
/// indices.
fn anchors(old: &[&str], new: &[&str]) -> Vec<(usize, usize)> {
    let unique_old = unique_lines(old);
    let unique_new = unique_lines(new);
    let mut pairs: Vec<_> = unique_old
        .iter()
        .filter_map(|(line, i)| Some((*i, *unique_new.get(line)?)))
        .collect();
    pairs.sort_unstable();
    longest_increasing(&pairs)
}

/// Returns the index of each line that occurs exactly once.
fn unique_lines<'a>(lines: &[&'a str]) -> BTreeMap<&'a str, usize> {
    let mut seen = BTreeMap::<&str, Option<usize>>::new();
    for (i, line) in lines.iter().enumerate() {
        let first = !seen.contains_key(line);
        seen.insert(line, first.then_some(i));
    }
    let once = |(line, at): (&'a str, Option<usize>)| Some((line, at?));
    seen.into_iter().filter_map(once).collect()
}

/// Returns the longest subsequence of `pairs`, which are sorted by the first index, in which the second index
/// increases.
fn longest_increasing(pairs: &[(usize, usize)]) -> Vec<(usize, usize)> {
    let mut ends: Vec<usize> = Vec::new();
    let mut predecessors: Vec<Option<usize>> = Vec::with_capacity(pairs.len());
    for (i, pair) in pairs.iter().enumerate() {
        let len = ends.partition_point(|end| pairs[*end].1 < pair.1);
        predecessors.push(len.checked_sub(1).map(|l| ends[l]));
        match ends.get_mut(len) {
            Some(end) => *end = i,
            None => ends.push(i),
        }
    }
    let mut chain = Vec::with_capacity(ends.len());
    let mut at = ends.last().copied();
    while let Some(i) = at {
        chain.push(pairs[i]);
        at = predecessors[i];
    }
    chain.reverse();
    chain
}
