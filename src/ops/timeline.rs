//! Merges the time lines of many daemons into one order, and filters their events.

use crate::state::timeline;

/// The filter of events; an absent field matches every event.
#[derive(Clone, Copy, Debug, Default)]
pub struct FilterOptions<'a> {
    /// The service of the event.
    pub service: Option<&'a str>,
    /// The target of the event.
    pub target: Option<&'a str>,
    /// The request of the event.
    pub request: Option<&'a str>,
    /// The daemon that recorded the event.
    pub daemon: Option<&'a str>,
}

/// Returns the events that match `options`, ordered by time stamp and daemon, without duplicates.
pub fn merge(
    mut events: Vec<timeline::Event>,
    options: &FilterOptions<'_>,
) -> Vec<timeline::Event> {
    events.retain(|e| matches(e, options));
    events.sort_by(|a, b| {
        (a.stamp, &a.daemon, a.incarnation).cmp(&(b.stamp, &b.daemon, b.incarnation))
    });
    events.dedup();
    events
}

fn matches(event: &timeline::Event, options: &FilterOptions<'_>) -> bool {
    let accepts = |wanted: Option<&str>, found: Option<&str>| wanted.is_none() || wanted == found;
    accepts(options.service, event.service.as_deref())
        && accepts(options.target, event.target.as_deref())
        && accepts(options.request, event.request.as_deref())
        && accepts(options.daemon, Some(&event.daemon))
}

/// Returns the events in a log or a saved time line, and skips all other lines.
pub fn parse_events(text: &str) -> Vec<timeline::Event> {
    text.lines().filter_map(parse_line).collect()
}

fn parse_line(line: &str) -> Option<timeline::Event> {
    if let Ok(event) = serde_json::from_str(line) {
        return Some(event);
    }
    let record: serde_json::Value = serde_json::from_str(line).ok()?;
    serde_json::from_str(record.get("message")?.as_str()?).ok()
}

/// Returns an event as one line of text.
pub fn format_event(event: &timeline::Event) -> String {
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
