//! Which machines a new lease holder has to leave alone for a while.
//!
//! Orders for one machine must not come from two holders within a short time of
//! each other. So a machine is marked on record before an order for it is sent,
//! and the mark is dropped when nothing of that order can follow any more. A new
//! holder waits only for machines that it finds marked; all others it may order
//! at once, which matters when demand turns while the holder changes. An entry that
//! takes its own lease back waits for nothing: orders of its former life are
//! those of the same holder, and carry a lower token.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::sched::Scheduler;
use crate::ids::HostId;

/// Who ordered something about a machine last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mark {
    /// A predecessor may have, until it was overtaken.
    Inherited,
    /// This holder did, at this time.
    Own(Duration),
}

/// Marks of machines, and which of them changed since the last batch.
#[derive(Debug, Default)]
pub(super) struct OrderMarks {
    /// Machines that were ordered about lately.
    by_machine: BTreeMap<HostId, Mark>,
    /// Machines whose record has to be written or dropped.
    dirty: BTreeSet<HostId>,
}

impl OrderMarks {
    /// Machines whose mark changed, with whether they are marked now.
    pub(super) fn take_changes(&mut self) -> Vec<(HostId, bool)> {
        let changed = std::mem::take(&mut self.dirty);
        changed.into_iter().map(|m| (m.clone(), self.by_machine.contains_key(&m))).collect()
    }
}

impl Scheduler {
    /// Takes over a mark that a holder of this name recorded.
    pub fn restore_mark(&mut self, machine: HostId, holder: &str) {
        let mark = if holder == self.holder { Mark::Own(self.since) } else { Mark::Inherited };
        self.marks.by_machine.insert(machine, mark);
    }

    /// Whether a machine may be given an order now.
    pub(super) fn may_order(&self, machine: &HostId) -> bool {
        let inherited = self.marks.by_machine.get(machine) == Some(&Mark::Inherited);
        !inherited || self.now >= self.since + self.limits.machine_handover
    }

    /// Whether a machine may have been given an order after a time.
    pub(super) fn is_ordered_since(&self, machine: &HostId, since: Duration) -> bool {
        match self.marks.by_machine.get(machine) {
            Some(Mark::Own(at)) => *at >= since,
            Some(Mark::Inherited) => self.since >= since,
            None => false,
        }
    }

    /// Marks a machine that is about to be given an order.
    pub(super) fn mark_order(&mut self, machine: &HostId) {
        let own = Mark::Own(self.now);
        let before = self.marks.by_machine.insert(machine.clone(), own);
        if !matches!(before, Some(Mark::Own(_))) {
            self.marks.dirty.insert(machine.clone());
        }
    }

    /// Drops marks of machines that no holder has ordered anything about lately.
    pub(super) fn drop_marks(&mut self) {
        let marks = self.marks.by_machine.iter();
        let over: Vec<HostId> =
            marks.filter(|(m, mark)| self.is_over(m, **mark)).map(|(m, _)| m.clone()).collect();
        for m in over {
            self.marks.by_machine.remove(&m);
            self.marks.dirty.insert(m);
        }
    }

    /// Whether nothing of the order that a mark stands for can follow any more.
    fn is_over(&self, machine: &HostId, mark: Mark) -> bool {
        let handover = self.limits.machine_handover;
        match mark {
            Mark::Inherited => self.now > self.since + handover,
            Mark::Own(at) => self.now > at + handover && !self.order_open(machine),
        }
    }

    /// Whether an order for a machine has no outcome yet, so that it is repeated.
    fn order_open(&self, machine: &HostId) -> bool {
        self.pools.moving.contains_key(machine) || self.wave_of_order(machine).is_some()
    }
}
