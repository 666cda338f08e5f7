//! Output of commands, for terminals and pipes.
//!
//! The reader of a pipe may close it early (`workswood explain --all | head -1`). The rest of the
//! output is then dropped; the command continues and its exit status is not affected.

use std::fmt::Arguments;
use std::io::{ErrorKind, Write};

/// Writes to standard output; does nothing if a pipe there is closed.
pub fn out(text: Arguments<'_>) {
    let mut out = std::io::stdout().lock();
    match out.write_fmt(text).and_then(|()| out.flush()) {
        Err(e) if e.kind() != ErrorKind::BrokenPipe => {
            err(format_args!("event=output_not_written error=\"{e}\"\n"));
        }
        Ok(()) | Err(_) => {}
    }
}

/// Writes to standard error. Errors are ignored, since they can't be reported anywhere.
pub fn err(text: Arguments<'_>) {
    let _ = std::io::stderr().lock().write_fmt(text);
}

/// Writes formatted text to standard output, like `print!`, but does not panic if a pipe is closed.
#[macro_export]
macro_rules! out {
    ($($text:tt)*) => { $crate::util::print::out(format_args!($($text)*)) };
}

/// Writes a formatted line to standard output, like `println!`, but does not panic if a pipe is
/// closed.
#[macro_export]
macro_rules! outln {
    ($($text:tt)*) => { $crate::util::print::out(format_args!("{}\n", format_args!($($text)*))) };
}

/// Writes formatted text to standard error, like `eprint!`, but ignores errors.
#[macro_export]
macro_rules! errout {
    ($($text:tt)*) => { $crate::util::print::err(format_args!($($text)*)) };
}
