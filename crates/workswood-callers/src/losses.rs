//! What clients lose to the limits of a listener: counters, and when a log line is due.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::connection_table::LOSS_LOG_INTERVAL;

/// What a client lost, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Its new connection, since there were too many and none could go.
    NotAccepted,
    /// Its connection without a whole request, for another connection or for memory.
    IdleClosed,
    /// Its connection with an unfinished body, likewise.
    BodyClosed,
    /// Its request, since there was no memory for the body.
    BodyRefused,
    /// Its request, since the body came too slowly.
    BodySlow,
    /// Its request, since the rest of the body did not come.
    BodySilent,
    /// Its request, since the body is too large.
    BodyTooLarge,
    /// Its request, since it ended the connection before the body.
    BodyBroken,
}

impl Loss {
    /// All of them.
    pub const ALL: [Loss; 8] = [
        Loss::NotAccepted,
        Loss::IdleClosed,
        Loss::BodyClosed,
        Loss::BodyRefused,
        Loss::BodySlow,
        Loss::BodySilent,
        Loss::BodyTooLarge,
        Loss::BodyBroken,
    ];

    /// Name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Loss::NotAccepted => "not_accepted",
            Loss::IdleClosed => "idle_closed",
            Loss::BodyClosed => "body_closed",
            Loss::BodyRefused => "body_refused",
            Loss::BodySlow => "body_slow",
            Loss::BodySilent => "body_silent",
            Loss::BodyTooLarge => "body_too_large",
            Loss::BodyBroken => "body_broken",
        }
    }
}

#[derive(Debug, Default)]
struct Count {
    total: AtomicU64,
    logged: AtomicU64,
    /// When the next line is due, in milliseconds since the table was created.
    next_line: AtomicU64,
}

/// Losses so far.
#[derive(Debug, Default)]
pub struct Losses([Count; Loss::ALL.len()]);

impl Losses {
    /// Number of losses of a kind.
    pub fn total(&self, loss: Loss) -> u64 {
        self.0[loss as usize].total.load(Ordering::Relaxed)
    }

    /// Counts a loss at `now`; returns how many there were since the last line if a line is due.
    pub fn count(&self, loss: Loss, now: Duration) -> Option<u64> {
        let count = &self.0[loss as usize];
        let total = count.total.fetch_add(1, Ordering::Relaxed) + 1;
        let now = now.as_millis() as u64;
        let due = count.next_line.load(Ordering::Relaxed);
        let next = now + LOSS_LOG_INTERVAL.as_millis() as u64;
        let line = now >= due
            && count.next_line.compare_exchange(due, next, Ordering::Relaxed, Ordering::Relaxed).is_ok();
        line.then(|| total - count.logged.swap(total, Ordering::Relaxed).min(total))
    }
}
