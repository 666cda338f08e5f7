//! `late`: why jobs were late, told from the log lines of one or more hosts.
//!
//! [`mod@line`] reads lines, [`job`] follows the way of one job and names what it
//! lost most time by, and [`account`] sums that up by the second in which jobs
//! were handed in.

pub mod account;
pub mod job;
pub mod line;

use std::time::Duration;

use snafu::ResultExt;

pub use account::Account;

use crate::util::errors::{ReadFileSnafu, Result};

/// Reads log files and sums up, by spans of time, why jobs were late.
pub fn run(paths: &[String], span: Duration) -> Result<Account> {
    let mut account = Account::new(span);
    for path in paths {
        read_log(path)?.lines().filter_map(line::parse).for_each(|l| account.take(&l));
    }
    Ok(account)
}

/// Reads the log of a host; lines of other programs may stand between ours.
pub fn read_log(path: &str) -> Result<String> {
    let bytes = std::fs::read(path).context(ReadFileSnafu { path })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
