//! Assertions that are also checked in release builds.
//!
//! A failed check does not stop the process: it is counted, the message of the first
//! one is kept, and the caller takes the safe branch. Tests and the soak run fail if
//! [`failed_checks`] is not zero.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

static FAILED_CHECKS: AtomicU64 = AtomicU64::new(0);
static FIRST_MESSAGE: Mutex<Option<String>> = Mutex::new(None);

/// Checks an invariant. If `holds` is false, counts the failure and keeps the message
/// of the first one. Returns `holds`.
pub fn check(holds: bool, message: impl FnOnce() -> String) -> bool {
    if !holds {
        FAILED_CHECKS.fetch_add(1, Ordering::Relaxed);
        let mut first = FIRST_MESSAGE.lock().unwrap_or_else(|e| e.into_inner());
        first.get_or_insert_with(message);
    }
    holds
}

/// Number of checks that have failed in this process.
pub fn failed_checks() -> u64 {
    FAILED_CHECKS.load(Ordering::Relaxed)
}

/// The message of the first failed check of this process.
pub fn first_failure() -> Option<String> {
    FIRST_MESSAGE.lock().unwrap_or_else(|e| e.into_inner()).clone()
}
