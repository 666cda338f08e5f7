//! Marks of hosts that a lease holder has ordered recently.
//!
//! Orders for one host must not come from two holders within a short time of each other. So a host
//! is marked on record before an order for it is sent, and the mark is deleted once nothing more
//! can follow from that order. A new holder delays orders only to hosts that it finds marked. An
//! entry that takes its own lease back does not wait: the orders of its earlier term came from the
//! same holder and carry a lower token.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::scheduler::Scheduler;
use crate::ids::HostId;

/// Who ordered a host last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mark {
    /// A predecessor, at an unknown time before this holder claimed the lease.
    Inherited,
    /// This holder, at this time.
    Own(Duration),
}

/// Order marks, and which of them changed since the last batch.
#[derive(Debug, Default)]
pub(super) struct OrderMarks {
    /// Marked hosts.
    by_host: BTreeMap<HostId, Mark>,
    /// Hosts whose mark has to be stored or deleted.
    changed: BTreeSet<HostId>,
}

impl OrderMarks {
    /// Returns hosts whose mark changed, and whether they are marked now.
    pub(super) fn take_changes(&mut self) -> Vec<(HostId, bool)> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().map(|host| (host.clone(), self.by_host.contains_key(&host))).collect()
    }
}

impl Scheduler {
    /// Takes over a mark that the lease holder named `holder` recorded.
    pub fn restore_order_mark(&mut self, host: HostId, holder: &str) {
        let mark = if holder == self.holder { Mark::Own(self.claimed_at) } else { Mark::Inherited };
        self.order_marks.by_host.insert(host, mark);
    }

    /// Whether a host may be ordered now.
    pub(super) fn may_order(&self, host: &HostId) -> bool {
        let inherited = self.order_marks.by_host.get(host) == Some(&Mark::Inherited);
        !inherited || self.now >= self.claimed_at + self.limits.host_order_delay
    }

    /// Whether a host may have been ordered at or after a time.
    pub(super) fn may_have_been_ordered_since(&self, host: &HostId, since: Duration) -> bool {
        match self.order_marks.by_host.get(host) {
            Some(Mark::Own(at)) => *at >= since,
            Some(Mark::Inherited) => self.claimed_at >= since,
            None => false,
        }
    }

    /// Marks a host that is about to be ordered.
    pub(super) fn mark_order(&mut self, host: &HostId) {
        let own = Mark::Own(self.now);
        let before = self.order_marks.by_host.insert(host.clone(), own);
        if !matches!(before, Some(Mark::Own(_))) {
            self.order_marks.changed.insert(host.clone());
        }
    }

    /// Deletes marks whose orders can have no further effect.
    pub(super) fn drop_expired_marks(&mut self) {
        let marks = self.order_marks.by_host.iter();
        let expired: Vec<HostId> = marks
            .filter(|(host, mark)| self.is_mark_expired(host, **mark))
            .map(|(host, _)| host.clone())
            .collect();
        for host in expired {
            self.order_marks.by_host.remove(&host);
            self.order_marks.changed.insert(host);
        }
    }

    /// Whether the order that a mark stands for can have no further effect.
    fn is_mark_expired(&self, host: &HostId, mark: Mark) -> bool {
        let delay = self.limits.host_order_delay;
        match mark {
            Mark::Inherited => self.now > self.claimed_at + delay,
            Mark::Own(at) => self.now > at + delay && !self.has_open_order(host),
        }
    }

    /// Whether an order to a host has no final reply yet, so that it is repeated.
    fn has_open_order(&self, host: &HostId) -> bool {
        self.pools.moves.contains_key(host) || self.wave_with_open_order(host).is_some()
    }
}
