//! `workswood late`: the causes of late jobs, from the logs of one or more hosts.
//!
//! [`log_line`] parses log lines, [`timeline`] collects the events of one job and names
//! the main cause of its delay, and [`report`] counts the causes by the time window in
//! which jobs were submitted.

pub mod log_line;
pub mod report;
pub mod timeline;

use std::time::Duration;

use snafu::ResultExt;

pub use report::LatenessReport;

use crate::util::errors::{ReadFileSnafu, Result};

/// Reads log files and counts the causes of late jobs by time windows of length `window`.
///
/// Returns an error if a file can't be read.
pub fn run(paths: &[String], window: Duration) -> Result<LatenessReport> {
    let mut report = LatenessReport::new(window);
    for path in paths {
        read_log(path)?.lines().filter_map(log_line::parse).for_each(|l| report.add_line(&l));
    }
    Ok(report)
}

/// Reads the log file of a host. Invalid UTF-8 is replaced, as other programs may write to the
/// same file.
pub fn read_log(path: &str) -> Result<String> {
    let bytes = std::fs::read(path).context(ReadFileSnafu { path })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
