//! Handling of worker reports: which runs continue, and which have ended and how.

use std::collections::HashSet;
use std::time::Duration;

use super::job::{Job, Outcome, Phase, Run, WorkerId};
use super::over_runs::{OverAs, ReturnedAs};
use super::scheduler::Scheduler;
use super::spec::TaskId;
use super::types::Action;
use super::worker::{EndKind, Report, ReportedEnd, ReportedRun, Worker};

impl Scheduler {
    /// Handles a report of a worker.
    pub(super) fn handle_report(&mut self, id: &WorkerId, report: &Report) {
        if self.workers.get(id).is_some_and(|w| !w.reachable) {
            self.withdraw_crashes(id);
        }
        self.withdraw_listed(report);
        self.settle_earlier_incarnations(id, report);
        self.mark_reachable(id, report.full);
        self.handle_ends(id, &report.ended);
        for run in &report.running {
            self.update_listed_run(id, run);
        }
        self.settle_unlisted_runs(id, report);
        self.resume_unanswered_starts(id);
        self.note_tasks_at_work(id);
        if report.full {
            self.settle_barrier(id);
        }
        self.update_open(id);
        self.update_load_reporting(id);
        self.pace_best_effort_tasks(id);
    }

    /// Marks a worker as reachable, and with a full report as one whose runs are known.
    fn mark_reachable(&mut self, id: &WorkerId, full: bool) {
        self.clear_lapsed_runs(id);
        let Some(mut w) = self.workers.get_mut(id) else { return };
        let known_before = w.reachable && w.runs_known;
        w.poll_overdue = false;
        w.reachable = true;
        w.runs_known |= full;
        if !known_before {
            self.services_to_place.extend(w.info.as_ref().map(|i| i.service.clone()));
            self.notes.push(format_args!(
                "event=worker_reached worker={id} token={} runs_known={}",
                self.token, w.runs_known
            ));
        }
    }

    /// Handles the reported ends that are not recorded yet.
    fn handle_ends(&mut self, id: &WorkerId, ended: &[ReportedEnd]) {
        let last_recorded = self.workers.get(id).map_or(0, |w| w.last_recorded_end);
        let mut last = last_recorded;
        for end in ended.iter().filter(|e| e.sequence_number > last_recorded) {
            last = last.max(end.sequence_number);
            self.handle_end(id, end);
        }
        if let Some(mut w) = self.workers.get_mut(id) {
            w.last_recorded_end = last;
        }
        if !ended.is_empty() {
            self.acked_ends.insert(id.clone(), last);
        }
    }

    /// Updates a run that a worker lists, and stops it if it is no longer wanted. Adopts or stops a
    /// run that is not known, and continues the eviction of a run that an earlier lease holder
    /// began to evict.
    fn update_listed_run(&mut self, id: &WorkerId, listed: &ReportedRun) {
        let now = self.now;
        let job = self.jobs.get_mut(&listed.task.job);
        let wanted = job.as_ref().is_some_and(|j| j.is_open());
        let Some((run, done)) = job.and_then(|j| update_run(j, id, listed, now)) else {
            self.handle_unknown_run(id, listed, wanted);
            return;
        };
        let (is_running, evicted) = (run.phase == Phase::Running, run.evicted);
        let keeps_running = wanted && !done || self.outlives_job(&listed.task);
        if is_running && !keeps_running {
            self.stop_run(id, &listed.task, listed.attempt);
        } else if is_running && evicted {
            self.inherited_evictions.insert((id.clone(), listed.task, listed.attempt));
            self.evict_inherited();
        }
    }

    /// Adopts a run that is not known, or stops it. Until it has ended, its resources stay
    /// reserved, so that a worker that does not check its capacity is not overfilled.
    fn handle_unknown_run(&mut self, id: &WorkerId, listed: &ReportedRun, wanted: bool) {
        if wanted && self.adopt_run(id, listed) {
            return;
        }
        self.notes.push(format_args!(
            "event=stray_run worker={id} task={} attempt={}",
            listed.task, listed.attempt
        ));
        self.note_settled_run_returned(id, (listed.task, listed.attempt), ReturnedAs::Stray);
        if let Some(reservation) = self.jobs.reservation(&listed.task)
            && let Some(mut w) = self.workers.get_mut(id)
        {
            w.add_run(listed.task, listed.attempt, reservation);
        }
        self.actions.push(Action::Stop(id.clone(), listed.task, listed.attempt));
    }

    /// Takes back a run that was believed to be over, or that a predecessor started without a record,
    /// if its task is not done, belongs to no gang, has no other run, and was not started again with a
    /// later attempt. Inherited runs of earlier attempts do not count: the predecessor knew that they
    /// are over. Returns whether it did.
    fn adopt_run(&mut self, id: &WorkerId, listed: &ReportedRun) -> bool {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&listed.task.job) else { return false };
        if listed.attempt <= job.earlier_attempts {
            return false;
        }
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(usize::from(listed.task.step)) else { return false };
        let Some(task) = job.task_mut(&listed.task) else { return false };
        let is_over = |r: &Run| r.phase == Phase::Inherited && r.attempt < listed.attempt;
        if task.done || step.gang || !task.runs.iter().all(is_over) || listed.attempt < task.latest_attempt {
            return false;
        }
        task.latest_attempt = listed.attempt;
        let run = Run::new(id.clone(), listed.attempt, Phase::Running, now);
        task.runs.push(Run { confirmed_at: Some(now), ..run });
        if let Some(mut w) = self.workers.get_mut(id) {
            w.add_run(listed.task, listed.attempt, spec.reservation(step));
            w.note_task_kind(&listed.task, step);
        }
        self.dequeue(&listed.task);
        self.dirty_jobs.insert(listed.task.job);
        self.notes.push(format_args!(
            "event=run_adopted worker={id} task={} attempt={}",
            listed.task, listed.attempt
        ));
        self.note_settled_run_returned(id, (listed.task, listed.attempt), ReturnedAs::Adopted);
        true
    }

    /// Settles runs that a worker no longer has, without a reported end. A full report lists every
    /// run: the fencing token of its probe makes the worker reject starts that were sent earlier,
    /// and no start has been sent since. All ends were reported before it or with it.
    fn settle_unlisted_runs(&mut self, id: &WorkerId, report: &Report) {
        for (task, attempt) in &report.missing {
            self.settle_run(id, task, *attempt, "no_longer_listed");
        }
        if !report.full {
            return;
        }
        let listed: HashSet<(TaskId, u32)> = report.running.iter().map(|r| (r.task, r.attempt)).collect();
        let Some(w) = self.workers.get(id) else { return };
        let mut missing: Vec<(TaskId, u32)> =
            w.runs.keys().filter(|k| !listed.contains(k)).copied().collect();
        missing.sort_unstable();
        for (task, attempt) in missing {
            self.settle_run(id, &task, attempt, "not_listed");
        }
    }

    /// Handles the end of one run.
    fn handle_end(&mut self, id: &WorkerId, end: &ReportedEnd) {
        let (now, task_id) = (self.now, end.task);
        let info = self.workers.get_mut(id).and_then(|mut w| {
            w.remove_run(task_id, end.attempt);
            w.info.clone()
        });
        if let Some(info) = info {
            self.schedule_placement(&info.service);
        }
        self.notes.push(format_args!(
            "event=run_ended worker={id} task={task_id} attempt={} how={:?} number={}",
            end.attempt, end.kind, end.sequence_number
        ));
        if end.kind != EndKind::Lapsed {
            self.note_settled_run_returned(id, (task_id, end.attempt), ReturnedAs::Ended(end.kind));
        }
        let Some(job) = self.jobs.get_mut(&task_id.job) else { return };
        if end.attempt <= job.earlier_attempts {
            return;
        }
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(usize::from(task_id.step)) else { return };
        let Some(task) = job.task_mut(&task_id) else { return };
        let run = task.runs.iter().position(|r| r.worker == *id && r.attempt == end.attempt);
        let run = run.map(|n| task.runs.remove(n));
        let known = run.is_some();
        let ended_run = run.clone();
        let survived = matches!(end.kind, EndKind::Done | EndKind::Failed);
        if survived && run.as_ref().is_some_and(|r| r.trial_length.is_some()) {
            task.passed_trial(&self.policy.crashes);
        }
        if let Some(run) = run.filter(|r| end.kind == EndKind::Done && r.phase == Phase::Running) {
            self.durations.observe(&spec.queue, now.saturating_sub(run.phase_since), &self.policy.order);
            let placed_at = run.placed_at.unwrap_or(run.phase_since);
            self.sibling_times.note_completed(task_id.step_id(), now.saturating_sub(placed_at));
        }
        // An end that is reported again may be older than the known checkpoint.
        let newer = end.attempt > task.latest_attempt;
        task.latest_attempt = task.latest_attempt.max(end.attempt);
        if (known || newer) && step.checkpointing {
            task.save_checkpoint(&end.checkpoint);
        }
        self.dirty_jobs.insert(task_id.job);
        match end.kind {
            EndKind::Done => {
                self.count_second_run_win(&task_id, end.attempt);
                self.complete_task(id, &task_id, step.gang, step.long_running);
            }
            EndKind::Failed => self.record_failure(id, &task_id, end.attempt, step.long_running),
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
        }
        if let Some(run) = ended_run {
            self.note_run_over(&task_id, &run);
        }
        // A task that is done is not started again.
        if end.kind != EndKind::Done || step.long_running {
            self.remember_over(id, (task_id, end.attempt), OverAs::Ended(end.kind));
        }
        self.queue_task(&task_id);
    }

    /// Handles a run that completed: clears the faults of its worker, and marks the task, or all
    /// members of its gang, as done. A long-running task is never done.
    fn complete_task(&mut self, id: &WorkerId, task_id: &TaskId, gang: bool, long_running: bool) {
        if let Some(mut w) = self.workers.get_mut(id) {
            w.faults = 0;
        }
        if long_running {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task_id.job) else { return };
        let members: Vec<TaskId> = if gang {
            let count = job.step(task_id).map_or(0, |s| s.count);
            (0..count).map(|index| TaskId { index, ..*task_id }).collect()
        } else {
            vec![*task_id]
        };
        for m in &members {
            if let Some(t) = job.task_mut(m) {
                t.complete();
            }
        }
        let step_done = job.is_step_done(task_id.round, task_id.step);
        for m in &members {
            self.dequeue(m);
            self.stop_runs(m);
        }
        if step_done {
            self.queue_dependents(&task_id.step_id());
        }
    }

    /// Records a failed run of a task; fails the job when its attempts are used up, unless the task
    /// is long-running. Further members of a gang that fail in one attempt add nothing.
    fn record_failure(&mut self, id: &WorkerId, task_id: &TaskId, attempt: u32, long_running: bool) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&task_id.job) else { return };
        let max_attempts = job.spec.max_attempts.max(1) as usize;
        let before = job.count_failures(task_id);
        let Some(task) = job.task_mut(task_id) else { return };
        // Those of a long-running task are not limited, so their workers needn't be known.
        if !task.failed_runs.insert(attempt, Some(id).filter(|_| !long_running)) {
            return;
        }
        task.avoid_worker(id, now);
        let done = task.done;
        let failed = job.count_failures(task_id);
        if failed == before {
            return;
        }
        // A gang fails with any member there.
        job.members_mut(task_id).iter_mut().for_each(|m| m.avoid_worker(id, now));
        self.record_fault(id, task_id);
        // A second run may fail after the first one has completed the task.
        if !long_running && !done && failed >= max_attempts {
            self.end_job(task_id.job, Outcome::Failed);
        }
    }

    /// Attributes a fault to the worker or to the job: a job that fails on two workers is at fault
    /// itself, and one fault of the first worker is withdrawn.
    pub(super) fn record_fault(&mut self, id: &WorkerId, task_id: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task_id.job) else { return };
        match job.blamed_worker.clone() {
            Some(first) if first == *id => return,
            Some(first) => {
                if let Some(mut w) = self.workers.get_mut(&first) {
                    w.faults = w.faults.saturating_sub(1);
                }
                return;
            }
            None => job.blamed_worker = Some(id.clone()),
        }
        let now = self.now;
        let Some(mut w) = self.workers.get_mut(id) else { return };
        w.faults += 1;
        let faults = w.faults;
        drop(w);
        if faults < self.policy.health.faults_to_shun || !self.may_back_off(id) {
            return;
        }
        let until = now + (self.policy.health.shun_for * faults).min(self.policy.health.max_shun);
        if let Some(mut w) = self.workers.get_mut(id) {
            w.shunned_until = until;
        }
        self.notes.push(format_args!("event=worker_shunned worker={id} faults={faults}"));
    }

    /// Whether one more worker of the same service may be put into backoff without exceeding the
    /// allowed fraction.
    fn may_back_off(&self, id: &WorkerId) -> bool {
        let service = self.workers.get(id).and_then(|w| w.info.as_ref()).map(|i| &i.service);
        let same_service = |w: &&Worker| w.listed && w.info.as_ref().map(|i| &i.service) == service;
        let all = self.workers.values().filter(same_service).count();
        let in_backoff =
            self.workers.values().filter(same_service).filter(|w| w.in_backoff(self.now)).count();
        (in_backoff + 1) * self.policy.health.shun_one_of <= all
    }
}

/// Updates a known run from the listing of its worker. Returns the run, and whether its task is
/// done.
fn update_run<'a>(
    job: &'a mut Job,
    id: &WorkerId,
    listed: &ReportedRun,
    now: Duration,
) -> Option<(&'a mut Run, bool)> {
    let task = job.task_mut(&listed.task)?;
    let run = task.runs.iter().position(|r| r.worker == *id && r.attempt == listed.attempt)?;
    task.save_checkpoint(&listed.checkpoint);
    let run = &mut task.runs[run];
    run.load_metric = listed.load;
    run.progress_percent = listed.percent;
    run.progressed_at = now.saturating_sub(listed.stalled_for);
    run.stalled_since = (!listed.stalled_for.is_zero()).then_some(run.progressed_at);
    run.confirmed_at.get_or_insert(now);
    if matches!(run.phase, Phase::Starting | Phase::Unanswered | Phase::Inherited) {
        run.set_phase(Phase::Running, now);
    }
    Some((run, task.done))
}
