//! Permission to extend the leases of workers.
//!
//! Each renewal of the lease holder's own lease extends the permission. In its last part, which begins at
//! [`Grant::full_until`], leases get shorter: none ends later than one that is extended then. So tasks can be
//! started for longer without the store than leases are extended, and a successor need not wait for that.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Permission to extend the leases of workers until some time. The times never decrease; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Grant(Arc<GrantTimes>);

/// Times in milliseconds since the process started.
#[derive(Debug, Default)]
struct GrantTimes {
    /// Until when leases get their full length.
    full_until: AtomicU64,
    /// Until when leases may be extended.
    end: AtomicU64,
}

impl Grant {
    /// Creates a permission to give full leases until a time.
    pub fn until(end: Duration) -> Grant {
        let grant = Grant::default();
        grant.extend(end);
        grant
    }

    /// Extends the permission to give full leases, unless it already ends later.
    pub fn extend(&self, until: Duration) {
        self.extend_to(until, until);
    }

    /// Extends the permission: leases get their full length until `full_until`, and may be extended
    /// until `end`.
    pub fn extend_to(&self, full_until: Duration, end: Duration) {
        self.0.full_until.fetch_max(full_until.as_millis() as u64, Ordering::AcqRel);
        self.0.end.fetch_max(end.as_millis() as u64, Ordering::AcqRel);
    }

    /// Whether the permission is valid at a time.
    pub fn holds(&self, now: Duration) -> bool {
        self.end() > now
    }

    /// Until when leases get their full length.
    pub fn full_until(&self) -> Duration {
        Duration::from_millis(self.0.full_until.load(Ordering::Acquire))
    }

    /// When the permission ends.
    pub fn end(&self) -> Duration {
        Duration::from_millis(self.0.end.load(Ordering::Acquire))
    }

    /// Length of a lease that is extended now, of this full length.
    pub fn lease_from(&self, now: Duration, full: Duration) -> Duration {
        full.saturating_sub(now.saturating_sub(self.full_until()))
    }
}
