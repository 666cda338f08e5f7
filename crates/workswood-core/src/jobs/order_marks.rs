//! Which hosts a new lease holder has to leave alone for a while.
//!
//! Orders for one host must not come from two holders within a short time of
//! each other. So a host is marked on record before an order for it is sent,
//! and the mark is dropped when nothing of that order can follow any more. A new
//! holder waits only for hosts that it finds marked; all others it may order
//! at once, which matters when demand turns while the holder changes. An entry that
//! takes its own lease back waits for nothing: orders of its former life are
//! those of the same holder, and carry a lower token.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::scheduler::Scheduler;
use crate::ids::HostId;

/// Who ordered something about a host last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mark {
    /// A predecessor may have, until it was overtaken.
    Inherited,
    /// This holder did, at this time.
    Own(Duration),
}

/// Marks of hosts, and which of them changed since the last batch.
#[derive(Debug, Default)]
pub(super) struct OrderMarks {
    /// Hosts that were ordered about lately.
    by_host: BTreeMap<HostId, Mark>,
    /// Hosts whose record has to be written or dropped.
    changed: BTreeSet<HostId>,
}

impl OrderMarks {
    /// Hosts whose mark changed, with whether they are marked now.
    pub(super) fn take_changes(&mut self) -> Vec<(HostId, bool)> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().map(|m| (m.clone(), self.by_host.contains_key(&m))).collect()
    }
}

impl Scheduler {
    /// Takes over a mark that a holder of this name recorded.
    pub fn restore_order_mark(&mut self, host: HostId, holder: &str) {
        let mark = if holder == self.holder { Mark::Own(self.claimed_at) } else { Mark::Inherited };
        self.order_marks.by_host.insert(host, mark);
    }

    /// Whether a host may be given an order now.
    pub(super) fn may_order(&self, host: &HostId) -> bool {
        let inherited = self.order_marks.by_host.get(host) == Some(&Mark::Inherited);
        !inherited || self.now >= self.claimed_at + self.limits.host_order_delay
    }

    /// Whether a host may have been given an order after a time.
    pub(super) fn is_ordered_since(&self, host: &HostId, since: Duration) -> bool {
        match self.order_marks.by_host.get(host) {
            Some(Mark::Own(at)) => *at >= since,
            Some(Mark::Inherited) => self.claimed_at >= since,
            None => false,
        }
    }

    /// Marks a host that is about to be given an order.
    pub(super) fn mark_order(&mut self, host: &HostId) {
        let own = Mark::Own(self.now);
        let before = self.order_marks.by_host.insert(host.clone(), own);
        if !matches!(before, Some(Mark::Own(_))) {
            self.order_marks.changed.insert(host.clone());
        }
    }

    /// Drops marks of hosts that no holder has ordered anything about lately.
    pub(super) fn drop_expired_marks(&mut self) {
        let marks = self.order_marks.by_host.iter();
        let over: Vec<HostId> =
            marks.filter(|(m, mark)| self.is_mark_expired(m, **mark)).map(|(m, _)| m.clone()).collect();
        for m in over {
            self.order_marks.by_host.remove(&m);
            self.order_marks.changed.insert(m);
        }
    }

    /// Whether nothing of the order that a mark stands for can follow any more.
    fn is_mark_expired(&self, host: &HostId, mark: Mark) -> bool {
        let handover = self.limits.host_order_delay;
        match mark {
            Mark::Inherited => self.now > self.claimed_at + handover,
            Mark::Own(at) => self.now > at + handover && !self.has_open_order(host),
        }
    }

    /// Whether an order for a host has no outcome yet, so that it is repeated.
    fn has_open_order(&self, host: &HostId) -> bool {
        self.pools.moves.contains_key(host) || self.wave_with_open_order(host).is_some()
    }
}
