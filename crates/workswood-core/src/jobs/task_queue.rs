//! Tasks of one service that wait for a worker, by steps.
//!
//! Tasks of a step are alike: they ask for the same room and stand alike. So a step
//! has one place in the queue however many of its tasks wait, and what all of them
//! ask for is a sum that is kept.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use super::queue_order::{QueueOrder, QueuePosition, StartDeadlines, Timeliness};
use super::spec::{Resources, StepId, TaskId};
use super::workspace::Owner;
use crate::ids::UnixMs;

/// Waiting tasks of one step.
#[derive(Debug)]
struct WaitingStep {
    position: QueuePosition,
    deadlines: StartDeadlines,
    /// Room that each task asks for.
    room: Resources,
    /// Numbers of the tasks.
    tasks: BTreeSet<u32>,
}

/// What waiting tasks ask for.
#[derive(Clone, Copy, Debug, Default)]
struct TaskTotals {
    tasks: usize,
    room: Resources,
}

/// A place, in the order of the work that is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ByRemainingWork(QueuePosition);

impl ByRemainingWork {
    fn key(&self) -> impl Ord {
        let QueuePosition { priority, timeliness: standing, over_rate: excess, work_key: work, step, .. } =
            self.0;
        (priority, standing, excess, work, step)
    }
}

impl Ord for ByRemainingWork {
    fn cmp(&self, other: &ByRemainingWork) -> Ordering {
        self.key().cmp(&other.key())
    }
}

impl PartialOrd for ByRemainingWork {
    fn partial_cmp(&self, other: &ByRemainingWork) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Waiting steps of one owner.
#[derive(Debug, Default)]
struct OwnerQueue {
    by_position: BTreeSet<QueuePosition>,
    by_work: BTreeSet<ByRemainingWork>,
    in_time: TaskTotals,
    late: TaskTotals,
}

/// Tasks of one service that wait for a worker.
#[derive(Debug, Default)]
pub struct TaskQueue {
    by_position: BTreeSet<QueuePosition>,
    by_owner: BTreeMap<Owner, OwnerQueue>,
    steps: BTreeMap<StepId, WaitingStep>,
    /// When steps stand worse.
    downgrade_at: BTreeSet<(UnixMs, StepId)>,
}

impl TaskQueue {
    /// Adds tasks of a step, which all take this place; each asks for so much room.
    pub fn insert(
        &mut self,
        place: QueuePosition,
        dues: StartDeadlines,
        room: Resources,
        tasks: impl IntoIterator<Item = u32>,
    ) {
        let before = self.take_step(&place.step);
        let mut all = before.map(|s| s.tasks).unwrap_or_default();
        all.extend(tasks);
        self.put_step(WaitingStep { position: place, deadlines: dues, room, tasks: all });
    }

    /// Takes a task out.
    pub fn remove(&mut self, task: &TaskId) {
        let step = task.step_id();
        let Some(s) = self.steps.get_mut(&step) else { return };
        if !s.tasks.remove(&task.index) {
            return;
        }
        let (place, room, empty) = (s.position, s.room, s.tasks.is_empty());
        if let Some(queue) = self.by_owner.get_mut(&place.owner) {
            queue.totals_mut(place.timeliness).remove(1, &room);
        }
        if empty {
            self.take_step(&step);
        }
    }

    /// Takes all tasks of a step out.
    pub fn remove_step(&mut self, step: &StepId) {
        self.take_step(step);
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.by_position.is_empty()
    }

    /// How many tasks wait.
    pub fn count(&self) -> usize {
        self.by_owner.values().map(|q| q.in_time.tasks + q.late.tasks).sum()
    }

    /// Room that is waited for: by tasks whose job can be in time, and by others.
    pub fn requested(&self) -> (Resources, Resources) {
        self.requested_within(|_| None)
    }

    /// Likewise, of each owner no more than what it may still use, if that is limited.
    pub fn requested_within(&self, left: impl Fn(Owner) -> Option<Resources>) -> (Resources, Resources) {
        let (mut in_time, mut late) = (Resources::default(), Resources::default());
        for (owner, queue) in &self.by_owner {
            let (first, second) = (queue.in_time.room, queue.late.room);
            let Some(left) = left(*owner) else {
                in_time.add(&first);
                late.add(&second);
                continue;
            };
            let first = first.min(&left);
            in_time.add(&first);
            late.add(&second.min(&left.minus(&first)));
        }
        (in_time, late)
    }

    /// Places of steps in their order.
    pub fn positions(&self) -> impl Iterator<Item = &QueuePosition> {
        self.by_position.iter()
    }

    /// The step that comes after a place, or the first one.
    pub fn next_after(&self, place: Option<&QueuePosition>) -> Option<QueuePosition> {
        let from = place.map_or(Bound::Unbounded, Bound::Excluded);
        self.by_position.range((from, Bound::Unbounded)).next().copied()
    }

    /// The step of an owner that comes after a place in an order, or its first one.
    pub fn next_of_owner(
        &self,
        owner: Owner,
        place: Option<&QueuePosition>,
        rank: QueueOrder,
    ) -> Option<QueuePosition> {
        let queue = self.by_owner.get(&owner)?;
        match rank {
            QueueOrder::EarliestDeadline => {
                let from = place.map_or(Bound::Unbounded, Bound::Excluded);
                queue.by_position.range((from, Bound::Unbounded)).next().copied()
            }
            QueueOrder::LeastWork => {
                let from = place.map_or(Bound::Unbounded, |p| Bound::Excluded(ByRemainingWork(*p)));
                queue.by_work.range((from, Bound::Unbounded)).next().map(|p| p.0)
            }
        }
    }

    /// Owners of what waits.
    pub fn owners(&self) -> impl Iterator<Item = Owner> {
        self.by_owner.keys().copied()
    }

    /// Waiting tasks of a step, the first by number first.
    pub fn tasks_of(&self, step: &StepId) -> impl Iterator<Item = TaskId> {
        let tasks = self.steps.get(step).into_iter().flat_map(|s| &s.tasks);
        tasks.map(|index| step.task(*index))
    }

    /// Moves steps back that stand worse by now.
    pub fn downgrade_overdue(&mut self, now: UnixMs) {
        while let Some((_, step)) = self.downgrade_at.first().copied().filter(|(at, _)| *at < now) {
            let Some(mut s) = self.take_step(&step) else { return };
            let (standing, begin) = (s.deadlines.timeliness_at(now), s.deadlines.available_at);
            s.position =
                QueuePosition { timeliness: standing, order_key: begin, work_key: begin, ..s.position };
            self.put_step(s);
        }
    }

    fn put_step(&mut self, s: WaitingStep) {
        if s.tasks.is_empty() {
            return;
        }
        self.by_position.insert(s.position);
        self.downgrade_at.extend(s.downgrade_at().map(|at| (at, s.position.step)));
        let queue = self.by_owner.entry(s.position.owner).or_default();
        queue.by_position.insert(s.position);
        queue.by_work.insert(ByRemainingWork(s.position));
        queue.totals_mut(s.position.timeliness).add(s.tasks.len(), &s.room);
        self.steps.insert(s.position.step, s);
    }

    fn take_step(&mut self, step: &StepId) -> Option<WaitingStep> {
        let s = self.steps.remove(step)?;
        self.by_position.remove(&s.position);
        if let Some(at) = s.downgrade_at() {
            self.downgrade_at.remove(&(at, *step));
        }
        if let Some(queue) = self.by_owner.get_mut(&s.position.owner) {
            queue.by_position.remove(&s.position);
            queue.by_work.remove(&ByRemainingWork(s.position));
            queue.totals_mut(s.position.timeliness).remove(s.tasks.len(), &s.room);
            if queue.by_position.is_empty() {
                self.by_owner.remove(&s.position.owner);
            }
        }
        Some(s)
    }
}

impl OwnerQueue {
    fn totals_mut(&mut self, standing: Timeliness) -> &mut TaskTotals {
        match standing {
            Timeliness::InTime => &mut self.in_time,
            Timeliness::Late | Timeliness::Worthless => &mut self.late,
        }
    }
}

impl WaitingStep {
    /// The last moment at which it stands as it does.
    fn downgrade_at(&self) -> Option<UnixMs> {
        match self.position.timeliness {
            Timeliness::InTime => Some(self.deadlines.in_time_until),
            Timeliness::Late => Some(self.deadlines.worthwhile_until),
            Timeliness::Worthless => None,
        }
    }
}

impl TaskTotals {
    fn add(&mut self, tasks: usize, room: &Resources) {
        self.tasks += tasks;
        self.room.add(&room.times(tasks as u64));
    }

    fn remove(&mut self, tasks: usize, room: &Resources) {
        self.tasks -= tasks;
        self.room = self.room.minus(&room.times(tasks as u64));
    }
}
