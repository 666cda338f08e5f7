//! One pass over the waiting steps of a service: what it has found so far, and which step comes next.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use super::queue_order::{QueueOrder, QueuePosition, Timeliness};
use super::spec::StepId;
use super::step_demand::StepDemand;
use super::workspace::Owner;

/// One look at the waiting tasks of a service.
#[derive(Default)]
pub(super) struct PlacementPass {
    /// Steps that found no worker; see `PlacementPolicy::max_misses`.
    pub(super) misses: usize,
    /// Steps that were not tried.
    pub(super) skipped: usize,
    /// What steps asked for that found no worker. Room becomes only less while the pass goes on.
    pub(super) unmet: BTreeSet<StepDemand>,
    /// Owners that have reached their limit.
    pub(super) owners_over_limit: BTreeSet<Owner>,
    /// Long-running steps that were tried.
    pub(super) long_running: BTreeSet<StepId>,
    /// Whether all steps were tried.
    pub(super) reached_end: bool,
}

/// Outcome of placing the tasks of a step.
pub(super) enum StepPlacement {
    /// All tasks were placed, or need no placement any more.
    Done,
    /// A task found no worker.
    NoWorker {
        /// Whether no task that asks for the same would have found one.
        for_any_task: bool,
    },
    /// The workspace has reached its limit.
    OverLimit,
}

/// The next step of each owner, in the order of placement.
pub(super) struct StepQueue {
    pub(super) order: QueueOrder,
    heap: BinaryHeap<Reverse<QueuedStep>>,
}

/// A step to place. The fields before `position` order steps of different owners.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueuedStep {
    priority: u32,
    timeliness: Timeliness,
    over_rate: bool,
    owner_usage: u64,
    sort_key: u64,
    position: QueuePosition,
}

impl StepQueue {
    pub(super) fn new(order: QueueOrder) -> StepQueue {
        StepQueue { order, heap: BinaryHeap::new() }
    }

    pub(super) fn push(&mut self, position: QueuePosition, owner_usage: u64) {
        let QueuePosition { priority, timeliness, over_rate, .. } = position;
        let sort_key = position.sort_key(self.order);
        let step = QueuedStep { priority, timeliness, over_rate, owner_usage, sort_key, position };
        self.heap.push(Reverse(step));
    }

    pub(super) fn next(&mut self) -> Option<QueuePosition> {
        self.heap.pop().map(|Reverse(step)| step.position)
    }
}
