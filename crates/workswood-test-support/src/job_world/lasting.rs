//! Checks at every moment that long-running tasks are at work.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{JobKey, JobNumber, JobSpec, StepSpec, TaskId};

use super::adviser::may_run;
use super::worker::SimWorker;
use super::{STEP, WORKER_CAPACITY, World};

/// Time after the end of a task's last run in which it may be absent.
pub const RESTART_BOUND: Duration = Duration::from_secs(6);
/// Longest absence after that while there is room.
pub const ABSENCE_BOUND: Duration = Duration::from_secs(3);
/// Time before such an absence without faults.
pub const CALM_BEFORE: Duration = Duration::from_secs(4);
/// How often there has to be room for an absent task.
const ROOM_FACTOR: u64 = 2;

/// A long-running task that may start.
#[derive(Clone, Copy)]
struct Presence {
    /// When it last ran, or when it could first start.
    last_run: Duration,
    /// Since when there has been room for it.
    room_since: Option<Duration>,
    /// Whether this absence has been recorded as a violation.
    recorded: bool,
}

/// What is known of long-running tasks and of recent faults.
#[derive(Default)]
pub(super) struct LastingTasks {
    tasks: BTreeMap<TaskId, Presence>,
    /// Tasks that were recorded as given up while sound.
    pub(super) given_up: BTreeSet<TaskId>,
    /// The last moment with a fault.
    last_fault: Duration,
}

impl World {
    /// Records that there is a fault at this moment.
    pub(super) fn note_fault(&mut self) {
        self.lasting.last_fault = self.now;
    }

    /// Returns the first long-running task of a job.
    pub fn first_lasting_task(&self, key: JobNumber) -> Option<TaskId> {
        let step = self.jobs.get(&key)?.steps.iter().position(|s| s.long_running)?;
        Some(TaskId { job: JobKey::of_number(key), round: 0, step: step as u16, index: 0 })
    }

    /// Checks all long-running tasks.
    pub(super) fn check_lasting(&mut self) {
        if self.is_fault_on() {
            self.note_fault();
        }
        let due = self.due_lasting_tasks();
        self.lasting.tasks.retain(|id, _| due.contains_key(id));
        for (id, spec) in due {
            self.check_presence(id, &spec.steps[usize::from(id.step)]);
            if self.is_calm() {
                self.check_given_up(&id);
            }
        }
    }

    /// Whether the last fault is longer ago than the absence of a task is allowed near it.
    fn is_calm(&self) -> bool {
        self.lasting.last_fault + CALM_BEFORE + ABSENCE_BOUND <= self.now
    }

    /// Whether a fault lasts at this moment.
    fn is_fault_on(&self) -> bool {
        let now = self.now;
        self.holders.is_empty()
            || self.link_latency != STEP
            || !self.delayed_orders.is_empty()
            || self.holds_orders()
            || self.holders.iter().any(|h| h.paused_until > now || h.store_away_until > now)
            || self.relays.iter().any(|r| r.paused_until > now || r.partitioned || r.leaving)
            || self.workers.iter().any(|w| w.partitioned)
    }

    /// Long-running tasks of open jobs whose earlier steps are done, with their jobs.
    fn due_lasting_tasks(&self) -> BTreeMap<TaskId, Arc<JobSpec>> {
        let lasts = |spec: &JobSpec| spec.steps.iter().any(|s| s.long_running);
        let open = self.jobs.iter().filter(|(key, spec)| lasts(spec) && self.has_to_last(**key));
        let mut due = BTreeMap::new();
        for (key, spec) in open {
            for (n, step) in spec.steps.iter().enumerate().filter(|(_, s)| s.long_running && !s.gang) {
                let id = TaskId { job: JobKey::of_number(*key), round: 0, step: n as u16, index: 0 };
                if self.is_step_due(spec, &id) {
                    due.extend((0..step.count).map(|index| (TaskId { index, ..id }, spec.clone())));
                }
            }
        }
        due
    }

    /// Whether the long-running tasks of a job have to run. A job with a task that crashes its workers
    /// isn't missed.
    fn has_to_last(&self, key: JobNumber) -> bool {
        !self.limited
            && !self.has_crashing_task(key)
            && !self.cancelled.contains_key(&key)
            && !self.exhausted_attempts(key)
    }

    /// Whether the steps that the step of a task depends on are done.
    fn is_step_due(&self, spec: &JobSpec, id: &TaskId) -> bool {
        let earlier = spec.steps[usize::from(id.step)].depends_on.iter();
        earlier.copied().all(|step| {
            let count = spec.steps[usize::from(step)].count;
            (0..count).all(|index| self.done.contains(&TaskId { step, index, ..*id }))
        })
    }

    /// Records a violation for a task that is absent for too long.
    fn check_presence(&mut self, id: TaskId, step: &StepSpec) {
        let now = self.now;
        let runs = self.running(&id) > 0;
        let has_room = !runs && self.has_room(&id, step);
        let excused = !runs && self.may_stay_away(&id);
        let calm = self.is_calm();
        let fresh = Presence { last_run: now, room_since: None, recorded: false };
        let p = self.lasting.tasks.entry(id).or_insert(fresh);
        if runs {
            *p = fresh;
            return;
        }
        p.room_since = if has_room { p.room_since.or(Some(now)) } else { None };
        let long = p.last_run + RESTART_BOUND + ABSENCE_BOUND <= now;
        let room = p.room_since.is_some_and(|since| since + ABSENCE_BOUND <= now);
        if calm && long && room && !excused && !p.recorded {
            p.recorded = true;
            let since = p.last_run;
            self.seen.violations.push(format!("LOST: task {id} doesn't run since {since:?}, at {now:?}"));
        }
    }

    /// Whether the workers have room for a task [`ROOM_FACTOR`] times.
    fn has_room(&self, id: &TaskId, step: &StepSpec) -> bool {
        let usable = self.workers.iter().enumerate().filter(|(n, w)| self.is_usable(*n, w, id));
        let room: u64 = usable.map(|(_, w)| self.room_on(w, id, step)).sum();
        room >= ROOM_FACTOR
    }

    /// Whether a worker may take a task.
    fn is_usable(&self, n: usize, w: &SimWorker, id: &TaskId) -> bool {
        let evacuated = self.evacuated().contains(&self.data_centre(n));
        let suitable = !self.advised || may_run(&id.step_id(), n);
        w.up && !w.partitioned && w.draining_since.is_none() && !evacuated && suitable
    }

    /// How many tasks of a step fit on a worker beside what runs there.
    fn room_on(&self, w: &SimWorker, id: &TaskId, step: &StepSpec) -> u64 {
        let mut used = Resources::default();
        for other in w.running.keys() {
            used.add(&self.reserved_by(other));
        }
        let free = WORKER_CAPACITY.saturating_sub(&used);
        let needed = step.reserved_resources();
        let mut room = w.limits.runs.saturating_sub(w.running.len()) as u64;
        for (free, needed) in [(free.cpu_millis, needed.cpu_millis), (free.mem_mb, needed.mem_mb)] {
            room = room.min(free.checked_div(needed).unwrap_or(u64::MAX));
        }
        if step.max_per_worker > 0 {
            let beside = w.running.keys().filter(|t| t.step_id() == id.step_id()).count() as u64;
            room = room.min(u64::from(step.max_per_worker).saturating_sub(beside));
        }
        room
    }

    /// What a task reserves on its worker.
    fn reserved_by(&self, id: &TaskId) -> Resources {
        let spec = self.jobs.get(&id.job.number);
        spec.map(|s| s.steps[usize::from(id.step)].reserved_resources()).unwrap_or_default()
    }
}
