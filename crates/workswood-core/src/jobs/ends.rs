//! What a worker's report tells of runs: which go on and which have ended.

use std::collections::HashSet;
use std::time::Duration;

use super::job::{Job, Outcome, Phase, Run, WorkerId};
use super::scheduler::Scheduler;
use super::spec::TaskId;
use super::types::Action;
use super::worker::{EndKind, Report, ReportedEnd, ReportedRun, Worker};

impl Scheduler {
    /// Takes the answer of a worker in.
    pub(super) fn reported(&mut self, id: &WorkerId, report: &Report) {
        if report.full {
            self.settle_earlier_incarnations(id, report);
        }
        self.answered(id);
        self.take_ends(id, &report.ended);
        for run in &report.running {
            self.run_listed(id, run);
        }
        self.settle_missing(id, report);
        self.update_load_reporting(id);
        self.pace_best_effort_tasks(id);
    }

    /// Notes that a worker answered, and so knows our token.
    fn answered(&mut self, id: &WorkerId) {
        let Some(mut w) = self.workers.get_mut(id) else { return };
        let back = !w.reachable || !w.token_accepted;
        w.poll_overdue = false;
        w.lapsed_runs.clear();
        w.reachable = true;
        w.token_accepted = true;
        if back {
            self.services_to_place.extend(w.info.as_ref().map(|i| i.service.clone()));
            self.notes.push(format_args!("event=worker_reached worker={id} token={}", self.token));
        }
    }

    /// Takes in the ends that are not on record yet.
    fn take_ends(&mut self, id: &WorkerId, ended: &[ReportedEnd]) {
        let known = self.workers.get(id).map_or(0, |w| w.last_recorded_end);
        let mut last = known;
        for end in ended.iter().filter(|e| e.sequence_number > known) {
            last = last.max(end.sequence_number);
            self.run_ended(id, end);
        }
        if let Some(mut w) = self.workers.get_mut(id) {
            w.last_recorded_end = last;
        }
        if !ended.is_empty() {
            self.acked_ends.insert(id.clone(), last);
        }
    }

    /// Takes in that a worker lists a run; one that is not wanted is stopped.
    fn run_listed(&mut self, id: &WorkerId, listed: &ReportedRun) {
        let now = self.now;
        let job = self.jobs.get_mut(&listed.task.job);
        let wanted = job.as_ref().is_some_and(|j| j.open());
        let Some((run, done)) = job.and_then(|j| update_run(j, id, listed, now)) else {
            self.stray_run(id, listed, wanted);
            return;
        };
        let (runs, evicted) = (run.phase == Phase::Running, run.evicted);
        let stays = wanted && !done || self.outlives_job(&listed.task);
        if runs && !stays {
            if let Some(run) = self.run_mut(id, &listed.task, listed.attempt) {
                run.set_phase(Phase::Stopping, now);
            }
            self.actions.push(Action::Stop(id.clone(), listed.task, listed.attempt));
        } else if runs && evicted {
            self.inherited_evictions.insert((id.clone(), listed.task, listed.attempt));
            self.evict_inherited();
        }
    }

    /// Takes a run back in that is not known, or stops it; until it has ended, it takes its
    /// room: a worker that doesn't guard that would be filled beyond it.
    fn stray_run(&mut self, id: &WorkerId, listed: &ReportedRun, wanted: bool) {
        if wanted && self.adopt(id, listed) {
            return;
        }
        self.notes.push(format_args!(
            "event=stray_run worker={id} task={} attempt={}",
            listed.task, listed.attempt
        ));
        if let Some(held) = self.jobs.reservation(&listed.task)
            && let Some(mut w) = self.workers.get_mut(id)
        {
            w.add_run(listed.task, listed.attempt, held);
        }
        self.actions.push(Action::Stop(id.clone(), listed.task, listed.attempt));
    }

    /// Takes a run back in that was taken to be over, if nothing else runs
    /// the task.
    fn adopt(&mut self, id: &WorkerId, listed: &ReportedRun) -> bool {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&listed.task.job) else { return false };
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(usize::from(listed.task.step)) else { return false };
        let Some(task) = job.task_mut(&listed.task) else { return false };
        if task.done || step.gang || !task.runs.is_empty() || listed.attempt < task.latest_attempt {
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
        true
    }

    /// Settles runs that are over without an end. A whole report lists all there is: the
    /// token that its look carried keeps earlier starts out, and none was sent since.
    fn settle_missing(&mut self, id: &WorkerId, report: &Report) {
        for (task, attempt) in &report.missing {
            self.settle(id, task, *attempt, "not_listed");
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
            self.settle(id, &task, attempt, "not_listed");
        }
    }

    /// Takes one end in.
    fn run_ended(&mut self, id: &WorkerId, end: &ReportedEnd) {
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
        let Some(job) = self.jobs.get_mut(&task_id.job) else { return };
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(usize::from(task_id.step)) else { return };
        let Some(task) = job.task_mut(&task_id) else { return };
        let run = task.runs.iter().position(|r| r.worker == *id && r.attempt == end.attempt);
        let run = run.map(|n| task.runs.remove(n));
        let known = run.is_some();
        let survived = matches!(end.kind, EndKind::Done | EndKind::Failed);
        if survived && run.as_ref().is_some_and(|r| r.trial_quarantine.is_some()) {
            task.passed_trial(&self.policy.crashes);
        }
        if let Some(run) = run.filter(|r| end.kind == EndKind::Done && r.phase == Phase::Running) {
            self.durations.observe(&spec.queue, now.saturating_sub(run.phase_since), &self.policy.order);
        }
        // An end that is listed again may be older than the checkpoint we have.
        if known && step.checkpointing && !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        self.dirty_jobs.insert(task_id.job);
        match end.kind {
            EndKind::Done => self.task_done(id, &task_id, step.gang, step.long_running),
            EndKind::Failed => self.task_failed(id, &task_id, end.attempt, step.long_running),
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
        }
        self.queue_task(&task_id);
    }

    /// A task is done, and with it all members of its gang.
    fn task_done(&mut self, id: &WorkerId, task_id: &TaskId, gang: bool, lasting: bool) {
        if let Some(mut w) = self.workers.get_mut(id) {
            w.faults = 0;
        }
        if lasting {
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
                t.done = true;
            }
        }
        let step_done = job.step_done(task_id.round, task_id.step);
        for m in &members {
            self.dequeue(m);
            self.stop_runs(m);
        }
        if step_done {
            self.queue_job(task_id.job);
        }
    }

    /// A run of a task failed; too many of them end the job.
    fn task_failed(&mut self, id: &WorkerId, task_id: &TaskId, attempt: u32, lasting: bool) {
        let Some(job) = self.jobs.get_mut(&task_id.job) else { return };
        let most = job.spec.max_attempts.max(1);
        let gang = job.step(task_id).is_some_and(|s| s.gang);
        let Some(task) = job.task_mut(task_id) else { return };
        if !task.failed_attempts.insert(attempt) {
            return;
        }
        task.avoid_worker = Some(id.clone());
        let mut failed = task.failed_attempts.len() as u32;
        if gang {
            let step = job.rounds.get(task_id.round as usize).and_then(|r| r.get(usize::from(task_id.step)));
            failed = step.map_or(failed, |tasks| tasks.iter().map(|t| t.failed_attempts.len() as u32).sum());
        }
        self.blame(id, task_id);
        if !lasting && failed >= most {
            self.end_job(task_id.job, Outcome::Failed);
        }
    }

    /// Decides whether a fault was the worker's or the job's: a job that
    /// fails in two places is at fault itself.
    pub(super) fn blame(&mut self, id: &WorkerId, task_id: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task_id.job) else { return };
        match job.blamed.clone() {
            Some(first) if first == *id => return,
            Some(first) => {
                if let Some(mut w) = self.workers.get_mut(&first) {
                    w.faults = w.faults.saturating_sub(1);
                }
                return;
            }
            None => job.blamed = Some(id.clone()),
        }
        let now = self.now;
        let Some(mut w) = self.workers.get_mut(id) else { return };
        w.faults += 1;
        let faults = w.faults;
        drop(w);
        if faults < self.policy.health.faults_to_shun || !self.may_shun(id) {
            return;
        }
        let until = now + (self.policy.health.shun_for * faults).min(self.policy.health.max_shun);
        if let Some(mut w) = self.workers.get_mut(id) {
            w.backoff_until = until;
        }
        self.notes.push(format_args!("event=worker_shunned worker={id} faults={faults}"));
    }

    /// Whether few enough workers of the service are shunned for one more.
    fn may_shun(&self, id: &WorkerId) -> bool {
        let service = self.workers.get(id).and_then(|w| w.info.as_ref()).map(|i| &i.service);
        let same = |w: &&Worker| w.listed && w.info.as_ref().map(|i| &i.service) == service;
        let all = self.workers.values().filter(same).count();
        let shunned = self.workers.values().filter(same).filter(|w| w.in_backoff(self.now)).count();
        (shunned + 1) * self.policy.health.shun_one_of <= all
    }
}

/// Brings a known run up to what its worker lists; returns it, and whether its
/// task is done.
fn update_run<'a>(
    job: &'a mut Job,
    id: &WorkerId,
    listed: &ReportedRun,
    now: Duration,
) -> Option<(&'a mut Run, bool)> {
    let task = job.task_mut(&listed.task)?;
    let run = task.runs.iter_mut().find(|r| r.worker == *id && r.attempt == listed.attempt)?;
    if !listed.checkpoint.is_empty() {
        task.checkpoint.clone_from(&listed.checkpoint);
    }
    run.load_metric = listed.load;
    run.progress_percent = listed.percent;
    run.progressed_at = now.saturating_sub(listed.stalled_for);
    run.stalled_since = (!listed.stalled_for.is_zero()).then_some(run.progressed_at);
    run.confirmed_at.get_or_insert(now);
    if matches!(run.phase, Phase::Starting | Phase::Inherited) {
        run.set_phase(Phase::Running, now);
    }
    Some((run, task.done))
}
