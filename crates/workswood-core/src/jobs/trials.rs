//! Trials of tasks that are suspected of crashing their workers.
//!
//! A suspected task is started on a worker in *quarantine*: nothing else begins there until the
//! trial has lasted longer than the task's earlier runs. So when that worker crashes, it is known
//! what it crashed under. Workers in quarantine are few, so that the rest of a service goes on.

use std::time::Duration;

use super::crash::{CrashPolicy, PROVEN_AFTER};
use super::job::{Task, WorkerId};
use super::sched::Scheduler;
use super::spec::{StepSpec, TaskId};
use super::worker::Worker;
use crate::ids::ServiceId;

/// A trial lasts this many times as long as the run that was lost last.
const TRIAL_TIMES: u32 = 2;
/// Longest trial of a task that was lost fewer times than make it suspect by themselves.
const LONGEST_TRIAL: Duration = Duration::from_secs(3);
/// Length of a trial where it isn't known how long earlier runs lasted: they were lost
/// under an earlier lease holder.
const UNKNOWN_TRIAL: Duration = Duration::from_secs(1);
/// Time that a worker is kept from new work, beyond that after which its youngest run is no
/// longer suspected, so that a trial finds it: a few passes of the scheduler.
const KEPT_FOR: Duration = Duration::from_millis(500);

/// A worker that takes no work but a trial.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quarantine {
    /// The trial; before one has begun, the worker waits for one.
    pub trial: Option<(TaskId, u32)>,
    /// When it ends.
    pub until: Duration,
}

/// What came of placing a trial.
enum Placed {
    Started,
    /// No worker may run it now.
    Nowhere,
    /// Its workspace has as much at work as it may.
    Limited,
    /// It doesn't wait any more.
    Gone,
}

impl Scheduler {
    /// Whether a task is started as a trial only.
    fn wants_trial(&self, id: &TaskId) -> bool {
        let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
        task.is_some_and(|t| t.wants_trial(&self.policy.crashes, self.now))
    }

    /// A task waits; a suspected one waits for a trial.
    pub(super) fn queue_trial(&mut self, id: &TaskId, service: &ServiceId) {
        let Some(task) = self.jobs.get(&id.job).and_then(|j| j.task(id)) else { return };
        let Some(s) = task.suspicion else { return };
        self.trials.entry(service.clone()).or_default().insert((s.since, *id));
    }

    /// Whether a waiting task waits for a trial.
    pub(super) fn waits_for_trial(&self, id: &TaskId, service: &str) -> bool {
        self.trials.get(service).is_some_and(|t| !t.is_empty()) && self.wants_trial(id)
    }

    /// Starts suspected tasks of a service that wait, each on a worker of its own.
    pub(super) fn place_trials(&mut self, service: &ServiceId) {
        let Some(waiting) = self.trials.get(service).filter(|t| !t.is_empty()) else { return };
        let waiting: Vec<(Duration, TaskId)> = waiting.iter().copied().collect();
        let (on_trial, mut kept) = self.quarantined(service);
        let mut room = self.most_quarantined(service).saturating_sub(on_trial);
        let mut unplaced = 0;
        for (since, id) in waiting {
            if unplaced >= room {
                return;
            }
            match self.place_trial(service, &id) {
                Placed::Started => room -= 1,
                Placed::Nowhere => {
                    unplaced += 1;
                    if kept < unplaced && self.keep_for_trial(service, &id) {
                        kept += 1;
                    }
                    continue;
                }
                Placed::Limited => continue,
                Placed::Gone => {}
            }
            if let Some(t) = self.trials.get_mut(service) {
                t.remove(&(since, id));
            }
        }
    }

    /// How many workers of a service may be in quarantine: any while it has little to do.
    fn most_quarantined(&self, service: &str) -> usize {
        let takers = || self.workers.takers(service, 0).map(|(_, w)| w);
        let room: u64 = takers().filter_map(|w| w.info.as_ref()).map(|i| i.capacity.cpu_millis).sum();
        let light = self.workers.room_in_use(service).cpu_millis * 2 < room;
        let share = if light { 1.0 } else { self.policy.crashes.most_quarantined };
        (takers().count() as f64 * share).ceil() as usize
    }

    /// How many workers of a service have a trial in quarantine, and how many wait for one.
    fn quarantined(&self, service: &str) -> (usize, usize) {
        let all = self.workers.takers(service, 0).filter_map(|(_, w)| w.quarantine);
        let (on_trial, kept): (Vec<Quarantine>, Vec<Quarantine>) =
            all.filter(|q| q.until > self.now).partition(|q| q.trial.is_some());
        (on_trial.len(), kept.len())
    }

    fn place_trial(&mut self, service: &ServiceId, id: &TaskId) -> Placed {
        let idle = self.jobs.get(&id.job).filter(|j| j.is_open());
        let idle = idle.and_then(|j| j.task(id)).is_some_and(Task::is_idle);
        let idle = idle && self.wants_trial(id);
        let Some(step) = self.jobs.get(&id.job).and_then(|j| j.step(id)).filter(|_| idle) else {
            return Placed::Gone;
        };
        if self.jobs.held_by(id).is_some_and(|h| !self.may_begin(h.owner, &h.charged)) {
            return Placed::Limited;
        }
        let Some(worker) = self.worker_for_trial(service, id, step) else { return Placed::Nowhere };
        self.start(id, &worker, None);
        Placed::Started
    }

    /// The worker with the least to lose where a trial can begin now.
    fn worker_for_trial(&self, service: &str, id: &TaskId, step: &StepSpec) -> Option<WorkerId> {
        let room = step.reserved_resources();
        let young = self.policy.crashes.young;
        let quiet = |w: &Worker| w.last_start.is_none_or(|at| at + young <= self.now);
        let free = |w: &Worker| !w.in_quarantine(self.now) || w.quarantine.is_some_and(|q| q.trial.is_none());
        let fits = |w: &Worker| quiet(w) && free(w) && w.free().contains(&room) && self.may_try(w, step, id);
        let open = self.workers.takers(service, room.cpu_millis).filter(|(_, w)| fits(w));
        open.min_by_key(|(_, w)| (self.cost(w, step, id).0, w.runs.len())).map(|(id, _)| id.clone())
    }

    /// Keeps new work from a worker until a trial can begin there; returns whether one
    /// could be found.
    fn keep_for_trial(&mut self, service: &str, id: &TaskId) -> bool {
        let Some(step) = self.jobs.get(&id.job).and_then(|j| j.step(id)) else { return false };
        let room = step.reserved_resources();
        let large = |w: &Worker| w.info.as_ref().is_some_and(|i| i.capacity.contains(&room));
        let open = |w: &Worker| !w.in_quarantine(self.now) && large(w) && self.may_try(w, step, id);
        let open = self.workers.takers(service, 0).filter(|(_, w)| open(w));
        let Some(worker) = open.min_by_key(|(_, w)| w.runs.len()).map(|(id, _)| id.clone()) else {
            return false;
        };
        let until = self.now + self.policy.crashes.young + KEPT_FOR;
        if let Some(mut w) = self.workers.get_mut(&worker) {
            w.quarantine = Some(Quarantine { trial: None, until });
        }
        true
    }

    /// Whether a task may be tried on a worker, but for its room.
    fn may_try(&self, w: &Worker, step: &StepSpec, id: &TaskId) -> bool {
        let ticket = !self.is_advised(&id.step_id()) || w.ticket(&id.step_id(), self.now).is_some();
        ticket && !w.is_shunned(self.now) && self.allowed(w, step, id)
    }
}

impl Task {
    /// Whether it is started as a trial only. One that was lost once does not wait for that
    /// for long: it is more often lost by chance.
    fn wants_trial(&self, policy: &CrashPolicy, now: Duration) -> bool {
        let Some(s) = self.suspicion else { return false };
        self.crashes.count() > 1 || now < s.since + policy.first_wait
    }

    /// A trial of it has ended, and its worker is still there.
    pub(super) fn passed_trial(&mut self, policy: &CrashPolicy) {
        if self.crashes.count() < policy.suspect_after {
            self.suspicion = None;
        }
    }

    /// How long a trial of it lasts; `None` if it needs none.
    pub(super) fn trial(&self, step: &StepSpec, policy: &CrashPolicy, now: Duration) -> Option<Duration> {
        let s = self.suspicion.filter(|_| self.wants_trial(policy, now))?;
        if self.crashes.count() >= policy.suspect_after {
            // Until it ends: no length of a run is known to be harmless.
            return Some(if step.long_running { PROVEN_AFTER } else { Duration::MAX });
        }
        let lasted = s.lasted.map_or(UNKNOWN_TRIAL, |d| d * TRIAL_TIMES);
        Some(lasted.clamp(policy.young * TRIAL_TIMES, LONGEST_TRIAL))
    }
}
