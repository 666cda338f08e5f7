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
    place: QueuePosition,
    dues: StartDeadlines,
    /// Room that each task asks for.
    room: Resources,
    /// Numbers of the tasks.
    tasks: BTreeSet<u32>,
}

/// What waiting tasks ask for.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    tasks: usize,
    room: Resources,
}

/// A place, in the order of the work that is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ByWork(QueuePosition);

impl ByWork {
    fn key(&self) -> impl Ord {
        let QueuePosition { priority, timeliness: standing, over_rate: excess, work_key: work, step, .. } =
            self.0;
        (priority, standing, excess, work, step)
    }
}

impl Ord for ByWork {
    fn cmp(&self, other: &ByWork) -> Ordering {
        self.key().cmp(&other.key())
    }
}

impl PartialOrd for ByWork {
    fn partial_cmp(&self, other: &ByWork) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Waiting steps of one owner.
#[derive(Debug, Default)]
struct OwnerQueue {
    order: BTreeSet<QueuePosition>,
    by_work: BTreeSet<ByWork>,
    in_time: Sum,
    late: Sum,
}

/// Tasks of one service that wait for a worker.
#[derive(Debug, Default)]
pub struct Waiting {
    order: BTreeSet<QueuePosition>,
    by_owner: BTreeMap<Owner, OwnerQueue>,
    steps: BTreeMap<StepId, WaitingStep>,
    /// When steps stand worse.
    worse_at: BTreeSet<(UnixMs, StepId)>,
}

impl Waiting {
    /// Adds tasks of a step, which all take this place; each asks for so much room.
    pub fn insert(
        &mut self,
        place: QueuePosition,
        dues: StartDeadlines,
        room: Resources,
        tasks: impl IntoIterator<Item = u32>,
    ) {
        let before = self.take(&place.step);
        let mut all = before.map(|s| s.tasks).unwrap_or_default();
        all.extend(tasks);
        self.put(WaitingStep { place, dues, room, tasks: all });
    }

    /// Takes a task out.
    pub fn remove(&mut self, task: &TaskId) {
        let step = task.step_id();
        let Some(s) = self.steps.get_mut(&step) else { return };
        if !s.tasks.remove(&task.index) {
            return;
        }
        let (place, room, empty) = (s.place, s.room, s.tasks.is_empty());
        if let Some(queue) = self.by_owner.get_mut(&place.owner) {
            queue.sum_mut(place.timeliness).remove(1, &room);
        }
        if empty {
            self.take(&step);
        }
    }

    /// Takes all tasks of a step out.
    pub fn remove_step(&mut self, step: &StepId) {
        self.take(step);
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// How many tasks wait.
    pub fn count(&self) -> usize {
        self.by_owner.values().map(|q| q.in_time.tasks + q.late.tasks).sum()
    }

    /// Room that is waited for: by tasks whose job can be in time, and by others.
    pub fn room(&self) -> (Resources, Resources) {
        self.room_within(|_| None)
    }

    /// Likewise, of each owner no more than what it may still use, if that is limited.
    pub fn room_within(&self, left: impl Fn(Owner) -> Option<Resources>) -> (Resources, Resources) {
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
    pub fn places(&self) -> impl Iterator<Item = &QueuePosition> {
        self.order.iter()
    }

    /// The step that comes after a place, or the first one.
    pub fn next_after(&self, place: Option<&QueuePosition>) -> Option<QueuePosition> {
        let from = place.map_or(Bound::Unbounded, Bound::Excluded);
        self.order.range((from, Bound::Unbounded)).next().copied()
    }

    /// The step of an owner that comes after a place in an order, or its first one.
    pub fn next_of(
        &self,
        owner: Owner,
        place: Option<&QueuePosition>,
        rank: QueueOrder,
    ) -> Option<QueuePosition> {
        let queue = self.by_owner.get(&owner)?;
        match rank {
            QueueOrder::EarliestDeadline => {
                let from = place.map_or(Bound::Unbounded, Bound::Excluded);
                queue.order.range((from, Bound::Unbounded)).next().copied()
            }
            QueueOrder::LeastWork => {
                let from = place.map_or(Bound::Unbounded, |p| Bound::Excluded(ByWork(*p)));
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
    pub fn age(&mut self, now: UnixMs) {
        while let Some((_, step)) = self.worse_at.first().copied().filter(|(at, _)| *at < now) {
            let Some(mut s) = self.take(&step) else { return };
            let (standing, begin) = (s.dues.timeliness_at(now), s.dues.available_at);
            s.place = QueuePosition { timeliness: standing, order_key: begin, work_key: begin, ..s.place };
            self.put(s);
        }
    }

    fn put(&mut self, s: WaitingStep) {
        if s.tasks.is_empty() {
            return;
        }
        self.order.insert(s.place);
        self.worse_at.extend(s.worse_at().map(|at| (at, s.place.step)));
        let queue = self.by_owner.entry(s.place.owner).or_default();
        queue.order.insert(s.place);
        queue.by_work.insert(ByWork(s.place));
        queue.sum_mut(s.place.timeliness).add(s.tasks.len(), &s.room);
        self.steps.insert(s.place.step, s);
    }

    fn take(&mut self, step: &StepId) -> Option<WaitingStep> {
        let s = self.steps.remove(step)?;
        self.order.remove(&s.place);
        if let Some(at) = s.worse_at() {
            self.worse_at.remove(&(at, *step));
        }
        if let Some(queue) = self.by_owner.get_mut(&s.place.owner) {
            queue.order.remove(&s.place);
            queue.by_work.remove(&ByWork(s.place));
            queue.sum_mut(s.place.timeliness).remove(s.tasks.len(), &s.room);
            if queue.order.is_empty() {
                self.by_owner.remove(&s.place.owner);
            }
        }
        Some(s)
    }
}

impl OwnerQueue {
    fn sum_mut(&mut self, standing: Timeliness) -> &mut Sum {
        match standing {
            Timeliness::InTime => &mut self.in_time,
            Timeliness::Late | Timeliness::Worthless => &mut self.late,
        }
    }
}

impl WaitingStep {
    /// The last moment at which it stands as it does.
    fn worse_at(&self) -> Option<UnixMs> {
        match self.place.timeliness {
            Timeliness::InTime => Some(self.dues.in_time_until),
            Timeliness::Late => Some(self.dues.worthwhile_until),
            Timeliness::Worthless => None,
        }
    }
}

impl Sum {
    fn add(&mut self, tasks: usize, room: &Resources) {
        self.tasks += tasks;
        self.room.add(&room.times(tasks as u64));
    }

    fn remove(&mut self, tasks: usize, room: &Resources) {
        self.tasks -= tasks;
        self.room = self.room.minus(&room.times(tasks as u64));
    }
}
