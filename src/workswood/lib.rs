//! Workswood decides which pool has which hosts, when hosts are maintained, where jobs run, and
//! to which endpoints the requests of callers go.
//!
//! The program is one binary, and every entry runs the same process. Entries agree through the
//! platform which of them holds a duty or a lease for a while.
//!
//! * [`ops`] has one operation for each command. [`ops::entry`] and [`ops::jobs`] are the
//!   processes of entries.
//! * [`util`] has settings, logging, metrics and errors.
//! * The package `workswood-core` makes the decisions. Each of the packages `workswood-callers`,
//!   `-endpoints`, `-platform`, `-operators` and `-peers` is the interface to one kind of peer.
//!
//! `docs/ARCHITECTURE.md` follows one request and one applied file through the files of the
//! program.

#![warn(clippy::print_stdout, clippy::print_stderr)]

pub mod ops;
pub mod util;

pub use util::errors::{Error, Result};
