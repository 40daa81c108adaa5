//! Merges the events of many processes into one order, and filters them.

use crate::state::timeline;

/// Which events to keep; absent fields keep all.
#[derive(Clone, Copy, Debug, Default)]
pub struct FilterOptions<'a> {
    /// The service concerned.
    pub service: Option<&'a str>,
    /// The target concerned.
    pub target: Option<&'a str>,
    /// The request concerned.
    pub request: Option<&'a str>,
    /// The daemon that recorded it.
    pub daemon: Option<&'a str>,
}

/// Sorts events of many processes into their one order, without those that come twice, and keeps what `options` ask for.
pub fn merge(
    mut events: Vec<timeline::Event>,
    options: &FilterOptions<'_>,
) -> Vec<timeline::Event> {
    events.retain(|e| keeps(e, options));
    events.sort_by(|a, b| {
        (a.stamp, &a.daemon, a.incarnation).cmp(&(b.stamp, &b.daemon, b.incarnation))
    });
    events.dedup();
    events
}

fn keeps(event: &timeline::Event, options: &FilterOptions<'_>) -> bool {
    let fits = |wanted: Option<&str>, found: Option<&str>| wanted.is_none() || wanted == found;
    fits(options.service, event.service.as_deref())
        && fits(options.target, event.target.as_deref())
        && fits(options.request, event.request.as_deref())
        && fits(options.daemon, Some(&event.daemon))
}

/// Reads the events among the lines of a log or of a saved time line; other lines are passed over.
pub fn read(text: &str) -> Vec<timeline::Event> {
    text.lines().filter_map(read_line).collect()
}

fn read_line(line: &str) -> Option<timeline::Event> {
    if let Ok(event) = serde_json::from_str(line) {
        return Some(event);
    }
    let record: serde_json::Value = serde_json::from_str(line).ok()?;
    serde_json::from_str(record.get("message")?.as_str()?).ok()
}

/// Returns an event as a line for a person.
pub fn line(event: &timeline::Event) -> String {
    let kind = serde_json::to_string(&event.kind).unwrap_or_default();
    let mut line = format!(
        "{}.{:03} {} {}",
        event.stamp.wall.0,
        event.stamp.count,
        event.daemon,
        kind.trim_matches('"')
    );
    for part in [&event.service, &event.target, &event.request]
        .into_iter()
        .flatten()
    {
        line.push(' ');
        line.push_str(part);
    }
    if !event.detail.is_empty() {
        line.push_str(": ");
        line.push_str(&event.detail);
    }
    line
}
