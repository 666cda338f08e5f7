//! The queue of tasks of one service that wait for a worker.
//!
//! Tasks of one step request the same resources and have the same deadline, so a step takes a
//! single position in the queue, and the totals of all waiting tasks are kept up to date as steps
//! change.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use super::queue_order::{QueueOrder, QueuePosition, StartDeadlines, Timeliness};
use super::spec::{Resources, StepId, TaskId};
use super::step_demand::StepDemand;
use super::workspace::Owner;
use crate::ids::UnixMs;

/// Waiting tasks of one step.
#[derive(Debug)]
struct WaitingStep {
    position: QueuePosition,
    deadlines: StartDeadlines,
    /// Resources that each task requests.
    resources: Resources,
    /// Indexes of the waiting tasks.
    tasks: BTreeSet<u32>,
    /// What the tasks ask for, if the step is set aside.
    set_aside: Option<StepDemand>,
}

/// Number and total resources of waiting tasks.
#[derive(Clone, Copy, Debug, Default)]
struct TaskTotals {
    tasks: usize,
    resources: Resources,
}

/// Resources that waiting tasks request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestedResources {
    /// Resources requested by tasks whose job can still be in time.
    pub in_time: Resources,
    /// Resources requested by all other tasks.
    pub late: Resources,
}

/// A position ordered by remaining work instead of by deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ByRemainingWork(QueuePosition);

impl ByRemainingWork {
    fn key(&self) -> impl Ord {
        let QueuePosition { priority, timeliness, over_rate, work_key, step, .. } = self.0;
        (priority, timeliness, over_rate, work_key, step)
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

/// Tasks of one service that wait for a worker, grouped by step.
#[derive(Debug, Default)]
pub struct TaskQueue {
    by_position: BTreeSet<QueuePosition>,
    by_owner: BTreeMap<Owner, OwnerQueue>,
    steps: BTreeMap<StepId, WaitingStep>,
    /// Steps by the last moment at which they keep their timeliness, without those whose timeliness
    /// cannot become worse.
    timely_until: BTreeSet<(UnixMs, StepId)>,
    /// Long-running steps, which are those without a deadline.
    long_running: BTreeSet<QueuePosition>,
    /// Where the next look at long-running steps that the placement order does not reach begins.
    long_running_cursor: Option<QueuePosition>,
    /// Steps that take no part in the placement order, by what they ask for.
    set_aside: BTreeMap<StepDemand, BTreeSet<StepId>>,
    /// The look at steps that the placement order does not reach.
    pub(super) sweep: Sweep,
}

/// A look at all steps of a queue in turns, by position. It begins anew after the last step.
#[derive(Debug, Default)]
pub(super) struct Sweep {
    /// The step that was looked at last.
    pub(super) cursor: Option<QueuePosition>,
    /// Owners whose limit leaves no room for a step that was looked at since the beginning.
    pub(super) owners_over_limit: BTreeSet<Owner>,
}

impl TaskQueue {
    /// Adds tasks of a step and moves the whole step to `position`. Each task requests `resources`.
    pub fn insert(
        &mut self,
        position: QueuePosition,
        deadlines: StartDeadlines,
        resources: Resources,
        tasks: impl IntoIterator<Item = u32>,
    ) {
        let earlier = self.take_step(&position.step);
        let mut all = earlier.map(|s| s.tasks).unwrap_or_default();
        all.extend(tasks);
        self.put_step(WaitingStep { position, deadlines, resources, tasks: all, set_aside: None });
    }

    /// Removes a task.
    pub fn remove(&mut self, task: &TaskId) {
        let step = task.step_id();
        let Some(s) = self.steps.get_mut(&step) else { return };
        if !s.tasks.remove(&task.index) {
            return;
        }
        let (position, resources, empty) = (s.position, s.resources, s.tasks.is_empty());
        if s.set_aside.is_none()
            && let Some(queue) = self.by_owner.get_mut(&position.owner)
        {
            queue.totals_mut(position.timeliness).remove(1, &resources);
        }
        if empty {
            self.take_step(&step);
        }
    }

    /// Removes all tasks of a step.
    pub fn remove_step(&mut self, step: &StepId) {
        self.take_step(step);
    }

    /// Takes a step out of the placement order until [`TaskQueue::restore_steps`], with what its tasks ask for.
    pub fn set_aside(&mut self, step: &StepId, demand: StepDemand) {
        let Some(s) = self.take_step(step) else { return };
        self.set_aside.entry(demand.clone()).or_default().insert(*step);
        self.steps.insert(*step, WaitingStep { set_aside: Some(demand), ..s });
    }

    /// Whether steps that ask for this are set aside.
    pub fn has_set_aside(&self, demand: &StepDemand) -> bool {
        self.set_aside.contains_key(demand)
    }

    /// Whether any step is set aside.
    pub fn has_any_set_aside(&self) -> bool {
        !self.set_aside.is_empty()
    }

    /// Whether a step is set aside.
    pub fn is_set_aside(&self, step: &StepId) -> bool {
        self.steps.get(step).is_some_and(|s| s.set_aside.is_some())
    }

    /// Puts steps that were set aside and ask for what `fits` back into the placement order; returns their number.
    pub fn restore_steps(&mut self, fits: impl Fn(&StepDemand) -> bool) -> usize {
        let restored: Vec<StepId> = self
            .set_aside
            .iter()
            .filter(|(demand, _)| fits(demand))
            .flat_map(|(_, steps)| steps.iter().copied())
            .collect();
        for step in &restored {
            let Some(s) = self.take_step(step) else { continue };
            self.put_step(WaitingStep { set_aside: None, ..s });
        }
        restored.len()
    }

    /// Whether no task waits in the placement order.
    pub fn is_empty(&self) -> bool {
        self.by_position.is_empty()
    }

    /// Number of waiting tasks, without those that are set aside.
    pub fn count(&self) -> usize {
        self.by_owner.values().map(|q| q.in_time.tasks + q.late.tasks).sum()
    }

    /// Resources that all waiting tasks request, without those that are set aside.
    pub fn requested(&self) -> RequestedResources {
        self.requested_within(|_| None)
    }

    /// Like [`TaskQueue::requested`], but counts for each owner at most what it may still use;
    /// `remaining` is `None` for an owner without a limit.
    pub fn requested_within(&self, remaining: impl Fn(Owner) -> Option<Resources>) -> RequestedResources {
        let mut total = RequestedResources::default();
        for (owner, queue) in &self.by_owner {
            let (owner_in_time, owner_late) = (queue.in_time.resources, queue.late.resources);
            let Some(remaining) = remaining(*owner) else {
                total.in_time.add(&owner_in_time);
                total.late.add(&owner_late);
                continue;
            };
            let owner_in_time = owner_in_time.min(&remaining);
            total.in_time.add(&owner_in_time);
            total.late.add(&owner_late.min(&remaining.saturating_sub(&owner_in_time)));
        }
        total
    }

    /// Positions of all steps, most urgent first.
    pub fn positions(&self) -> impl Iterator<Item = &QueuePosition> {
        self.by_position.iter()
    }

    /// The position that follows `position`, or the first one.
    pub fn next_after(&self, position: Option<&QueuePosition>) -> Option<QueuePosition> {
        let from = position.map_or(Bound::Unbounded, Bound::Excluded);
        self.by_position.range((from, Bound::Unbounded)).next().copied()
    }

    /// The position of the owner's step that follows `position` in the given order, or its first
    /// one.
    pub fn next_of_owner(
        &self,
        owner: Owner,
        position: Option<&QueuePosition>,
        order: QueueOrder,
    ) -> Option<QueuePosition> {
        let queue = self.by_owner.get(&owner)?;
        match order {
            QueueOrder::EarliestDeadline => {
                let from = position.map_or(Bound::Unbounded, Bound::Excluded);
                queue.by_position.range((from, Bound::Unbounded)).next().copied()
            }
            QueueOrder::LeastWork => {
                let from = position.map_or(Bound::Unbounded, |p| Bound::Excluded(ByRemainingWork(*p)));
                queue.by_work.range((from, Bound::Unbounded)).next().map(|p| p.0)
            }
        }
    }

    /// Long-running steps that follow those of the last call, at most `max` of them and without those
    /// of `reached`; after the last step, the next call begins anew.
    pub fn next_long_running(&mut self, max: usize, reached: &BTreeSet<StepId>) -> Vec<StepId> {
        let from = self.long_running_cursor.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
        let rest = self.long_running.range((from, Bound::Unbounded));
        let found: Vec<QueuePosition> =
            rest.filter(|p| !reached.contains(&p.step)).take(max).copied().collect();
        self.long_running_cursor = found.last().filter(|_| found.len() == max).copied();
        found.into_iter().map(|p| p.step).collect()
    }

    /// Number of long-running steps.
    pub fn long_running_steps(&self) -> usize {
        self.long_running.len()
    }

    /// Owners that have waiting tasks.
    pub fn owners(&self) -> impl Iterator<Item = Owner> {
        self.by_owner.keys().copied()
    }

    /// All steps in the placement order with the number of their waiting tasks.
    pub fn waiting_steps(&self) -> impl Iterator<Item = (&QueuePosition, usize)> {
        self.steps.values().filter(|s| s.set_aside.is_none()).map(|s| (&s.position, s.tasks.len()))
    }

    /// Whether a task waits.
    pub fn contains(&self, task: &TaskId) -> bool {
        self.steps.get(&task.step_id()).is_some_and(|s| s.tasks.contains(&task.index))
    }

    /// Waiting tasks of a step, by index.
    pub fn tasks_of(&self, step: &StepId) -> impl Iterator<Item = TaskId> {
        let tasks = self.steps.get(step).into_iter().flat_map(|s| &s.tasks);
        tasks.map(|index| step.task(*index))
    }

    /// Moves steps whose timeliness has become worse to their new position.
    pub fn downgrade_late_steps(&mut self, now: UnixMs) {
        while let Some((_, step)) = self.timely_until.first().copied().filter(|(at, _)| *at < now) {
            let Some(mut s) = self.take_step(&step) else { return };
            let (timeliness, available_at) = (s.deadlines.timeliness_at(now), s.deadlines.available_at);
            s.position = QueuePosition {
                timeliness,
                deadline_key: available_at,
                work_key: available_at,
                ..s.position
            };
            self.put_step(s);
        }
    }

    fn put_step(&mut self, s: WaitingStep) {
        if s.tasks.is_empty() {
            return;
        }
        self.by_position.insert(s.position);
        self.timely_until.extend(s.timely_until().map(|at| (at, s.position.step)));
        if s.deadlines.is_unlimited() {
            self.long_running.insert(s.position);
        }
        let queue = self.by_owner.entry(s.position.owner).or_default();
        queue.by_position.insert(s.position);
        queue.by_work.insert(ByRemainingWork(s.position));
        queue.totals_mut(s.position.timeliness).add(s.tasks.len(), &s.resources);
        self.steps.insert(s.position.step, s);
    }

    fn take_step(&mut self, step: &StepId) -> Option<WaitingStep> {
        let s = self.steps.remove(step)?;
        if let Some(demand) = &s.set_aside {
            self.remove_set_aside(demand, step);
            return Some(s);
        }
        self.by_position.remove(&s.position);
        self.long_running.remove(&s.position);
        if let Some(at) = s.timely_until() {
            self.timely_until.remove(&(at, *step));
        }
        if let Some(queue) = self.by_owner.get_mut(&s.position.owner) {
            queue.by_position.remove(&s.position);
            queue.by_work.remove(&ByRemainingWork(s.position));
            queue.totals_mut(s.position.timeliness).remove(s.tasks.len(), &s.resources);
            if queue.by_position.is_empty() {
                self.by_owner.remove(&s.position.owner);
            }
        }
        Some(s)
    }

    fn remove_set_aside(&mut self, demand: &StepDemand, step: &StepId) {
        let Some(steps) = self.set_aside.get_mut(demand) else { return };
        steps.remove(step);
        if steps.is_empty() {
            self.set_aside.remove(demand);
        }
    }
}

impl OwnerQueue {
    fn totals_mut(&mut self, timeliness: Timeliness) -> &mut TaskTotals {
        match timeliness {
            Timeliness::InTime => &mut self.in_time,
            Timeliness::Late | Timeliness::Worthless => &mut self.late,
        }
    }
}

impl WaitingStep {
    /// The last moment at which the step keeps its timeliness; `None` if that cannot become worse.
    fn timely_until(&self) -> Option<UnixMs> {
        match self.position.timeliness {
            Timeliness::InTime => Some(self.deadlines.in_time_until),
            Timeliness::Late => Some(self.deadlines.worthwhile_until),
            Timeliness::Worthless => None,
        }
    }
}

impl TaskTotals {
    fn add(&mut self, tasks: usize, resources: &Resources) {
        self.tasks += tasks;
        self.resources.add(&resources.times(tasks as u64));
    }

    fn remove(&mut self, tasks: usize, resources: &Resources) {
        self.tasks -= tasks;
        self.resources = self.resources.saturating_sub(&resources.times(tasks as u64));
    }
}
