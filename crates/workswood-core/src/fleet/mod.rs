//! Fleet files: the types that operators declare, the parser, and offline checks.

mod check;
mod file;
mod parse;
mod time;

pub use check::check;
pub use file::*;
pub use parse::{Issue, parse};
pub use time::{format_rfc3339, parse_rfc3339};
