//! Trials of tasks that are suspected of crashing their workers.
//!
//! A suspected task is started on a worker in *quarantine*: nothing else starts there until the
//! trial has lasted longer than the task's earlier runs. A crash of that worker can then be
//! attributed to the task. Few workers are in quarantine at a time, so that the rest of the service
//! goes on.
//!
//! Long-running tasks must be at work, so trials give way to them in time
//! ([`Safeguard::Trials`]). Such a task then starts in an *open trial*: nothing is kept from its
//! worker, which has no young run if there is such a worker. A crash is attributed to an open trial
//! as to any other unless a run that had just started was lost with it. If there is no other room,
//! the task starts on a worker in quarantine.

use std::time::Duration;

use super::crash_attribution::{CrashPolicy, PROVEN_SAFE_AFTER};
use super::job::{Task, WorkerId};
use super::restart_deadline::Safeguard;
use super::scheduler::Scheduler;
use super::spec::{StepId, StepSpec, TaskId};
use super::worker::Worker;
use crate::ids::ServiceId;

/// Length of a trial, as a multiple of the longest lost run.
const TRIAL_LENGTH_FACTOR: u32 = 2;
/// Longest trial of a task that has fewer crashes than [`CrashPolicy::suspect_after_crashes`].
const MAX_TRIAL_LENGTH: Duration = Duration::from_secs(3);
/// Length of a trial if the run times are unknown because runs were lost under an earlier lease
/// holder.
const DEFAULT_TRIAL_LENGTH: Duration = Duration::from_secs(1);
/// How long a worker is reserved for a trial after its youngest run is no longer suspect. Leaves
/// time for a few placement passes.
const TRIAL_RESERVATION_MARGIN: Duration = Duration::from_millis(500);

/// State of a worker that takes no work except a trial.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quarantine {
    /// The run on trial; `None` while the worker is reserved for one.
    pub trial: Option<(TaskId, u32)>,
    /// When the quarantine ends.
    pub until: Duration,
}

/// How a suspected task starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Trial {
    /// How long the trial lasts.
    pub length: Duration,
    /// Whether nothing else starts on the worker meanwhile.
    pub quarantined: bool,
}

/// Outcome of an attempt to place a trial.
enum TrialPlacement {
    Started,
    /// No worker can run it now.
    NoWorker,
    /// Its workspace has reached its limit.
    OverLimit,
    /// It may not be started yet, whatever workers there are.
    NotYet,
    /// The task does not wait for a trial any more.
    NotWaiting,
}

impl Scheduler {
    /// Whether a task may only be started in quarantine. A task with a single crash waits for a
    /// limited time only, since such a crash is usually not its fault; so does a long-running task.
    fn needs_trial(&self, id: &TaskId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else { return false };
        let Some((step, task)) = job.step(id).zip(job.task(id)) else { return false };
        let Some(s) = task.suspicion else { return false };
        if step.long_running {
            return !self.gives_way(Safeguard::Trials, id);
        }
        task.crashes.count() > 1 || self.now < s.suspected_at + self.policy.crashes.max_first_trial_wait
    }

    /// The trial in which a task starts now; `None` if it needs none.
    pub(super) fn trial(&self, id: &TaskId) -> Option<Trial> {
        let job = self.jobs.get(&id.job)?;
        let (step, task) = job.step(id).zip(job.task(id))?;
        let quarantined = self.needs_trial(id);
        let length = task.trial_length(step, &self.policy.crashes)?;
        (quarantined || step.long_running).then_some(Trial { length, quarantined })
    }

    /// Notes that long-running tasks that were not queued wait from now on.
    pub(super) fn note_waiting(&mut self, step: &StepId, service: &str, tasks: &[u32]) {
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let queue = self.ready.get(service);
        for id in tasks.iter().map(|index| step.task(*index)) {
            if queue.is_some_and(|q| q.contains(&id)) {
                continue;
            }
            if let Some(task) = job.task_mut(&id) {
                task.waiting_since = self.now;
            }
        }
    }

    /// Whether a task is long-running and starts without regard to trials.
    pub(super) fn is_overdue(&self, id: &TaskId) -> bool {
        self.is_long_running(&id.step_id()) && self.gives_way(Safeguard::Trials, id)
    }

    /// Queues a waiting task for a trial if it is suspected.
    pub(super) fn queue_trial(&mut self, id: &TaskId, service: &ServiceId) {
        let Some(task) = self.jobs.get(&id.job).and_then(|j| j.task(id)) else { return };
        let Some(s) = task.suspicion else { return };
        self.trials.entry(service.clone()).or_default().insert((s.suspected_at, *id));
    }

    /// Whether a waiting task may only be started as a trial, and trials are queued.
    pub(super) fn waits_for_trial(&self, id: &TaskId, service: &str) -> bool {
        self.trials.get(service).is_some_and(|t| !t.is_empty()) && self.needs_trial(id)
    }

    /// Starts the waiting suspected tasks of a service, each on a worker of its own.
    pub(super) fn place_trials(&mut self, service: &ServiceId) {
        let Some(waiting) = self.trials.get(service).filter(|t| !t.is_empty()) else { return };
        let waiting: Vec<(Duration, TaskId)> = waiting.iter().copied().collect();
        let waiting = self.place_open_trials(service, waiting);
        let (on_trial, mut reserved) = self.quarantine_counts(service);
        let mut quarantine_room = self.max_quarantined_workers(service).saturating_sub(on_trial);
        // Tasks that wait for one of the reserved workers.
        let mut unplaced = 0;
        for (since, id) in waiting {
            if unplaced >= quarantine_room {
                return;
            }
            match self.place_trial(service, &id) {
                TrialPlacement::Started => quarantine_room -= 1,
                TrialPlacement::NoWorker => {
                    // A task that no worker can be reserved for must not block the others.
                    if reserved <= unplaced && self.reserve_for_trial(service, &id) {
                        reserved += 1;
                    }
                    // Each reserved worker counts for one of the tasks that wait.
                    unplaced = reserved.min(unplaced + 1);
                    continue;
                }
                TrialPlacement::OverLimit | TrialPlacement::NotYet => continue,
                TrialPlacement::NotWaiting => {}
            }
            if let Some(t) = self.trials.get_mut(service) {
                t.remove(&(since, id));
            }
        }
    }

    /// Starts the tasks that wait for no quarantine any more, each on a worker without a young run;
    /// returns the others. One for which there is no such worker is left to the usual placement.
    fn place_open_trials(
        &mut self,
        service: &ServiceId,
        waiting: Vec<(Duration, TaskId)>,
    ) -> Vec<(Duration, TaskId)> {
        let is_open = |id: &TaskId| self.is_overdue(id) && !self.is_held_by_pacing(id);
        let (open, others): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|(_, id)| is_open(id));
        for (since, id) in open {
            self.place_trial(service, &id);
            if let Some(t) = self.trials.get_mut(service) {
                t.remove(&(since, id));
            }
        }
        others
    }

    /// Most workers of a service that may be in quarantine: all of them while the service has
    /// little load.
    fn max_quarantined_workers(&self, service: &str) -> usize {
        let available = || self.workers.available(service, 0).map(|(_, w)| w);
        let capacity: u64 = available().filter_map(|w| w.info.as_ref()).map(|i| i.capacity.cpu_millis).sum();
        let lightly_loaded = self.workers.resources_in_use(service).cpu_millis * 2 < capacity;
        let share = if lightly_loaded { 1.0 } else { self.policy.crashes.max_quarantined_share };
        (available().count() as f64 * share).ceil() as usize
    }

    /// Number of quarantined workers of a service with a trial, and of those that are reserved for
    /// one.
    fn quarantine_counts(&self, service: &str) -> (usize, usize) {
        let all = self.workers.available(service, 0).filter_map(|(_, w)| w.quarantine);
        let (on_trial, reserved): (Vec<Quarantine>, Vec<Quarantine>) =
            all.filter(|q| q.until > self.now).partition(|q| q.trial.is_some());
        (on_trial.len(), reserved.len())
    }

    fn place_trial(&mut self, service: &ServiceId, id: &TaskId) -> TrialPlacement {
        let idle = self.jobs.get(&id.job).filter(|j| j.is_open());
        let idle = idle.and_then(|j| j.task(id)).is_some_and(Task::is_idle);
        let idle = idle && self.trial(id).is_some();
        let Some(step) = self.jobs.get(&id.job).and_then(|j| j.step(id)).filter(|_| idle) else {
            return TrialPlacement::NotWaiting;
        };
        let held_back =
            self.jobs.get(&id.job).is_some_and(|j| self.is_held_back(&j.spec, step, &id.step_id()));
        if held_back || self.is_held_by_pacing(id) {
            return TrialPlacement::NotYet;
        }
        if self.jobs.reservation(id).is_some_and(|h| !self.is_within_limit(h.owner, &h.charged)) {
            return TrialPlacement::OverLimit;
        }
        let Some(worker) = self.worker_for_trial(service, id, step) else { return TrialPlacement::NoWorker };
        self.start_task(id, &worker, None);
        TrialPlacement::Started
    }

    /// The worker for a trial that starts now: preferably one near the task's data, among these the
    /// one with the fewest runs.
    fn worker_for_trial(&self, service: &str, id: &TaskId, step: &StepSpec) -> Option<WorkerId> {
        let needed = step.reserved_resources();
        let young = self.policy.crashes.suspect_age;
        let no_young_run = |w: &Worker| w.last_start_at.is_none_or(|at| at + young <= self.now);
        let not_quarantined =
            |w: &Worker| !w.in_quarantine(self.now) || w.quarantine.is_some_and(|q| q.trial.is_none());
        let fits = |w: &Worker| {
            no_young_run(w)
                && not_quarantined(w)
                && w.free_resources().contains(&needed)
                && self.trial_allowed(w, step, id)
        };
        let open = self.workers.available(service, needed.cpu_millis).filter(|(_, w)| fits(w));
        let cost = |w: &Worker| {
            let (away_from_data, ..) = self.placement_cost(w, step, id);
            (away_from_data, w.runs.len())
        };
        open.min_by_key(|(_, w)| cost(w)).map(|(id, _)| id.clone())
    }

    /// Reserves a worker, so that a trial can start there soon; returns whether one was found.
    fn reserve_for_trial(&mut self, service: &str, id: &TaskId) -> bool {
        let Some(step) = self.jobs.get(&id.job).and_then(|j| j.step(id)) else { return false };
        let needed = step.reserved_resources();
        let large_enough = |w: &Worker| w.info.as_ref().is_some_and(|i| i.capacity.contains(&needed));
        let open =
            |w: &Worker| !w.in_quarantine(self.now) && large_enough(w) && self.trial_allowed(w, step, id);
        let open = self.workers.available(service, 0).filter(|(_, w)| open(w));
        let Some(worker) = open.min_by_key(|(_, w)| w.runs.len()).map(|(id, _)| id.clone()) else {
            return false;
        };
        let until = self.now + self.policy.crashes.suspect_age + TRIAL_RESERVATION_MARGIN;
        if let Some(mut w) = self.workers.get_mut(&worker) {
            w.quarantine = Some(Quarantine { trial: None, until });
        }
        true
    }

    /// Whether a task may be tried on a worker, free resources aside.
    fn trial_allowed(&self, w: &Worker, step: &StepSpec, id: &TaskId) -> bool {
        let ticket = !self.needs_ticket(&id.step_id()) || w.ticket(&id.step_id(), self.now).is_some();
        ticket && !w.in_backoff(self.now) && self.meets_constraints(w, step, id)
    }
}

impl Task {
    /// Handles the end of a trial that its worker survived.
    pub(super) fn passed_trial(&mut self, policy: &CrashPolicy) {
        if self.crashes.count() < policy.suspect_after_crashes {
            self.suspicion = None;
        }
    }

    /// How long a trial of the task lasts; `None` if it is not suspected.
    fn trial_length(&self, step: &StepSpec, policy: &CrashPolicy) -> Option<Duration> {
        let s = self.suspicion?;
        if self.crashes.count() >= policy.suspect_after_crashes {
            // Lasts until the run ends, since no run time is known to be harmless.
            return Some(if step.long_running { PROVEN_SAFE_AFTER } else { Duration::MAX });
        }
        let length = s.run_time.map_or(DEFAULT_TRIAL_LENGTH, |d| d * TRIAL_LENGTH_FACTOR);
        let min_length = policy.suspect_age * TRIAL_LENGTH_FACTOR;
        Some(length.clamp(min_length, MAX_TRIAL_LENGTH.max(min_length)))
    }
}
