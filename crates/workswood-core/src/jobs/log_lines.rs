//! Log lines that record the scheduler's decisions.

use std::fmt::{self, Arguments, Write};

/// A value of a log line, and the word for one that is not known.
pub(super) struct OrWord<T>(pub Option<T>, pub &'static str);

impl<T> OrWord<T> {
    /// A value, or `unknown`.
    pub(super) fn unknown(value: Option<T>) -> OrWord<T> {
        OrWord(value, "unknown")
    }
}

impl<T: fmt::Display> fmt::Display for OrWord<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str(self.1),
        }
    }
}

/// Log lines, kept in one buffer to avoid an allocation for each line.
#[derive(Debug, Default)]
pub struct LogLines {
    text: String,
}

impl LogLines {
    /// Adds a line, given without its newline.
    pub fn push(&mut self, line: Arguments<'_>) {
        // Writing to a string cannot fail.
        let _ = self.text.write_fmt(line);
        self.text.push('\n');
    }

    /// The lines, in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.text.lines()
    }

    /// Whether there are no lines.
    pub fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    /// Removes all lines.
    pub fn clear(&mut self) {
        self.text.clear();
    }
}
