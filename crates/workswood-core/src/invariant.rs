//! Assertions that stay on in release builds.
//!
//! A broken invariant does not stop the process: it is counted, its first
//! message is kept, and the caller takes the safe branch. Tests and the long
//! run fail when [`total`] is not zero.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

static BROKEN: AtomicU64 = AtomicU64::new(0);
static FIRST: Mutex<Option<String>> = Mutex::new(None);

/// Counts and keeps the first message when `holds` is false; returns `holds`.
pub fn check(holds: bool, message: impl FnOnce() -> String) -> bool {
    if !holds {
        BROKEN.fetch_add(1, Ordering::Relaxed);
        let mut first = FIRST.lock().unwrap_or_else(|e| e.into_inner());
        first.get_or_insert_with(message);
    }
    holds
}

/// How many checks have failed in this process.
pub fn total() -> u64 {
    BROKEN.load(Ordering::Relaxed)
}

/// The message of the first failed check of this process.
pub fn first() -> Option<String> {
    FIRST.lock().unwrap_or_else(|e| e.into_inner()).clone()
}
