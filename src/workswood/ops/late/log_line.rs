//! One line of a log.

use std::collections::HashMap;
use std::time::{Duration, UNIX_EPOCH};

use workswood_core::ids::UnixMs;

/// A line of a log: an event, and what it says.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine<'a> {
    /// When it was written, on the clock of its host.
    pub at: UnixMs,
    /// The event.
    pub event: &'a str,
    fields: HashMap<&'a str, &'a str>,
}

impl LogLine<'_> {
    /// The text of a field, if the line has it.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).copied()
    }

    /// The number of the job that it is about, itself or one of its tasks.
    pub fn job(&self) -> Option<&str> {
        self.text("job").or_else(|| self.text("task").and_then(|t| t.split('.').next()))
    }

    /// The value of a field that can be read as a `T`.
    pub fn value<T: std::str::FromStr>(&self, field: &str) -> Option<T> {
        self.text(field)?.parse().ok()
    }

    /// A field in milliseconds.
    pub fn millis(&self, field: &str) -> Option<Duration> {
        self.value(field).map(Duration::from_millis)
    }
}

/// Reads a line; whatever stands before its time is passed over. Lines that are
/// not ours are `None`.
pub fn parse(text: &str) -> Option<LogLine<'_>> {
    let begin = text.find("ts=")?;
    let fields: HashMap<&str, &str> =
        text[begin..].split_ascii_whitespace().filter_map(|word| word.split_once('=')).collect();
    let at = humantime::parse_rfc3339(fields.get("ts")?).ok()?;
    let at = at.duration_since(UNIX_EPOCH).ok()?.as_millis() as UnixMs;
    let event = fields.get("event").copied()?;
    Some(LogLine { at, event, fields })
}
