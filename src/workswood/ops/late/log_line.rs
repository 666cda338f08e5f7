//! Parses log lines of `workswood jobs`.

use std::collections::HashMap;
use std::time::{Duration, UNIX_EPOCH};

use workswood_core::ids::UnixMs;

/// A log line: its time, event and fields.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine<'a> {
    /// When the line was written, by the clock of its host, in milliseconds since 1970.
    pub at: UnixMs,
    /// Value of the `event` field.
    pub event: &'a str,
    fields: HashMap<&'a str, &'a str>,
}

impl LogLine<'_> {
    /// Returns the text of a field, if the line has it.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).copied()
    }

    /// Returns the number of the job that the line is about, from its `job` or `task` field.
    pub fn job(&self) -> Option<&str> {
        self.text("job").or_else(|| self.text("task").and_then(|t| t.split('.').next()))
    }

    /// Parses a field; `None` if it is missing or not a `T`.
    pub fn value<T: std::str::FromStr>(&self, field: &str) -> Option<T> {
        self.text(field)?.parse().ok()
    }

    /// Parses a field in milliseconds.
    pub fn millis(&self, field: &str) -> Option<Duration> {
        self.value(field).map(Duration::from_millis)
    }
}

/// Parses a line, skipping any text before its `ts` field. Returns `None` for lines of other
/// programs.
pub fn parse(text: &str) -> Option<LogLine<'_>> {
    let start = text.find("ts=")?;
    let fields: HashMap<&str, &str> =
        text[start..].split_ascii_whitespace().filter_map(|word| word.split_once('=')).collect();
    let at = humantime::parse_rfc3339(fields.get("ts")?).ok()?;
    let at = at.duration_since(UNIX_EPOCH).ok()?.as_millis() as UnixMs;
    let event = fields.get("event").copied()?;
    Some(LogLine { at, event, fields })
}
