//! Decisions worth a line of the log.

use std::fmt::{Arguments, Write};

/// Lines for the log, in one buffer: there are two for each task.
#[derive(Debug, Default)]
pub struct LogLines {
    text: String,
}

impl LogLines {
    /// Adds a line.
    pub fn push(&mut self, line: Arguments<'_>) {
        // A string takes whatever is written to it.
        let _ = self.text.write_fmt(line);
        self.text.push('\n');
    }

    /// The lines.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.text.lines()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    /// Forgets all lines.
    pub fn clear(&mut self) {
        self.text.clear();
    }
}
