//! Workswood: which pool has which hosts, when hosts are maintained, and where
//! callers' requests go.
//!
//! The program is one binary. Every entry host runs the same process; which of
//! them holds a duty for a while is agreed through the platform's log. How the
//! pieces meet:
//!
//! * [`ops`] holds one operation for each command. [`ops::entry`] is the
//!   process of an entry host; the others are short.
//! * [`util`] holds settings, logs, metrics and errors.
//! * `workswood-core` decides; the packages `workswood-callers`,
//!   `-endpoints`, `-platform`, `-operators` and `-peers` speak with one kind
//!   of peer each.
//!
//! `docs/ARCHITECTURE.md` follows one request and one applied file through the
//! files of the program.

#![warn(clippy::print_stdout, clippy::print_stderr)]

pub mod ops;
pub mod util;

pub use util::errors::{Error, Result};
