//! Log lines that record the scheduler's decisions.

use std::fmt::{Arguments, Write};

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
