//! `late`: why jobs were late, told from the log lines of one or more hosts.
//!
//! [`log_line`] reads lines, [`timeline`] follows the way of one job and names what it
//! lost most time by, and [`report`] sums that up by the second in which jobs
//! were handed in.

pub mod log_line;
pub mod report;
pub mod timeline;

use std::time::Duration;

use snafu::ResultExt;

pub use report::LatenessReport;

use crate::util::errors::{ReadFileSnafu, Result};

/// Reads log files and sums up, by spans of time, why jobs were late.
pub fn run(paths: &[String], span: Duration) -> Result<LatenessReport> {
    let mut report = LatenessReport::new(span);
    for path in paths {
        read_log(path)?.lines().filter_map(log_line::parse).for_each(|l| report.add_line(&l));
    }
    Ok(report)
}

/// Reads the log of a host; lines of other programs may stand between ours.
pub fn read_log(path: &str) -> Result<String> {
    let bytes = std::fs::read(path).context(ReadFileSnafu { path })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
