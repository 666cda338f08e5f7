//! Output of commands, for terminals and pipes.
//!
//! A reader may close its end of a pipe (`workswood explain --all | head -1`).
//! What it does not want is dropped; the command goes on, and its exit status
//! says how it ended.

use std::fmt::Arguments;
use std::io::{ErrorKind, Write};

/// Writes to standard output.
pub fn out(text: Arguments<'_>) {
    let mut out = std::io::stdout().lock();
    match out.write_fmt(text).and_then(|()| out.flush()) {
        Err(e) if e.kind() != ErrorKind::BrokenPipe => {
            err(format_args!("event=output_not_written error=\"{e}\"\n"));
        }
        Ok(()) | Err(_) => {}
    }
}

/// Writes to standard error; there is nowhere to tell that it can't be written.
pub fn err(text: Arguments<'_>) {
    let _ = std::io::stderr().lock().write_fmt(text);
}

/// Writes formatted text to standard output, as `print!` does, but lets the
/// reader close a pipe.
#[macro_export]
macro_rules! out {
    ($($text:tt)*) => { $crate::util::print::out(format_args!($($text)*)) };
}

/// Writes a formatted line to standard output, as `println!` does, but lets the
/// reader close a pipe.
#[macro_export]
macro_rules! outln {
    ($($text:tt)*) => { $crate::util::print::out(format_args!("{}\n", format_args!($($text)*))) };
}

/// Writes formatted text to standard error, as `eprint!` does.
#[macro_export]
macro_rules! errout {
    ($($text:tt)*) => { $crate::util::print::err(format_args!($($text)*)) };
}
